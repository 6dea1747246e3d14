/// @file
/// Subsetting: which endpoints this gateway uses.
///
/// Where many gateways share the endpoints each keeps to a few: a few requests a second over all of them tell
/// nothing of any, and connections would fill the endpoints' tables. Without membership, gateways start at a
/// multiple of the golden ratio on a ring of the endpoints, on which kinds lie evenly, so that any run of
/// gateways covers it. With membership the subset is that of SubsetAssignment. The next endpoint replaces one
/// that is ejected.
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
  /// `settings`, `membership` and `registry` outlive it. `ring_position`: of this gateway, from 0 to 1, where
  /// gateways don't know each other.
  SubsetSelector(const Settings& settings, const GatewayMembership& membership, EndpointRegistry& registry,
                 double ring_position)
      : settings_(settings), membership_(membership), registry_(registry), ring_position_(ring_position) {}

  /// Marks the endpoints of the subset (EndpointRecord::in_subset). To be called whenever endpoints come, go,
  /// are ejected or restored, and when the settings or the membership have changed.
  void Select();

  /// Gateways that use each endpoint, on average; at least 1.
  [[nodiscard]] double gateways_per_endpoint() const { return gateways_per_endpoint_; }
  /// Whether so many gateways share an endpoint that none sees enough of it to keep a limit for it.
  [[nodiscard]] bool IsHeavilyShared() const;

 private:
  void SelectByRing();
  void SelectByRank();
  std::vector<EndpointRecord*> BuildRing();
  std::size_t AssignedSize(std::size_t endpoints) const;
  void AssignByRank(const std::vector<EndpointRecord*>& endpoints, const std::vector<int>& groups,
                    std::size_t size);
  void ReplaceEjected(const std::vector<EndpointRecord*>& endpoints, int replacements);
  std::uint64_t Fingerprint(const std::vector<EndpointRecord*>& endpoints) const;

  const Settings& settings_;
  const GatewayMembership& membership_;
  EndpointRegistry& registry_;
  const double ring_position_;
  double gateways_per_endpoint_ = 1;
  std::vector<std::string> assigned_ids_;   // by rank, cached
  std::uint64_t assigned_fingerprint_ = 0;  // what they were computed from
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SUBSET_SELECTOR_HPP_
