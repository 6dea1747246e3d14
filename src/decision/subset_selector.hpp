/// @file
/// Subsetting: which endpoints this gateway uses.
///
/// Where many gateways share the endpoints, each gateway uses only a subset. If a gateway spread its few
/// requests per second over all endpoints, it would have too few samples of each to assess it, and
/// connections from every gateway would fill the endpoints' connection tables.
///
/// Unless membership updates arrive and Settings::subset_size is set, the subset is a run of consecutive
/// endpoints on a ring. Endpoints of each kind are spaced evenly on the ring, and each gateway starts at its
/// own multiple of the golden ratio, so that gateways with consecutive indexes cover the ring evenly.
/// Otherwise the subset is the one of SubsetAssignment. In both cases each ejected endpoint of the subset is
/// replaced by the next one.
#ifndef MEADOWYARD_DECISION_SUBSET_SELECTOR_HPP_
#define MEADOWYARD_DECISION_SUBSET_SELECTOR_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "decision/endpoint_registry.hpp"
#include "decision/gateway_membership.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class SubsetSelector {
 public:
  /// `settings`, `membership` and `registry` must outlive this object. `ring_position`: where this gateway's
  /// subset starts on the ring, from 0 to 1; used only where the subset is taken from the ring.
  SubsetSelector(const Settings& settings, const GatewayMembership& membership, EndpointRegistry& registry,
                 double ring_position)
      : settings_(settings), membership_(membership), registry_(registry), ring_position_(ring_position) {}

  /// Marks the endpoints of the subset (EndpointRecord::in_subset). Must be called whenever endpoints are
  /// added, removed, ejected or restored, and when the settings or the membership have changed.
  void Select();

  /// Average number of gateways that use an endpoint; at least 1.
  [[nodiscard]] double gateways_per_endpoint() const { return gateways_per_endpoint_; }
  /// Whether so many gateways share each endpoint that one gateway has too few samples of an endpoint to keep
  /// a concurrency limit for it.
  [[nodiscard]] bool IsHeavilyShared() const;

 private:
  void SelectByRing();
  void SelectByRank();
  std::vector<EndpointRecord*> BuildRing();
  std::size_t AssignedSubsetSize(std::size_t endpoints) const;
  void AssignByRank(const std::vector<EndpointRecord*>& endpoints, const std::vector<int>& groups,
                    std::size_t size);
  void ReplaceEjected(const std::vector<EndpointRecord*>& endpoints, int replacement_count);
  // Hash of all inputs of the assignment.
  std::uint64_t Fingerprint(const std::vector<EndpointRecord*>& endpoints) const;

  const Settings& settings_;
  const GatewayMembership& membership_;
  EndpointRegistry& registry_;
  const double ring_position_;
  double gateways_per_endpoint_ = 1;
  std::vector<std::string> assigned_ids_;   // subset of this gateway's rank, before replacements
  std::uint64_t assigned_fingerprint_ = 0;  // of the inputs that `assigned_ids_` was computed from
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SUBSET_SELECTOR_HPP_
