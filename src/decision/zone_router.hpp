/// @file
/// Zone routing: requests stay in the gateway's zone, and leave it only as the gateways have agreed
/// (ZoneAgreement), so that all that are in contact move traffic together.
#ifndef MEADOWYARD_DECISION_ZONE_ROUTER_HPP_
#define MEADOWYARD_DECISION_ZONE_ROUTER_HPP_

#include <map>
#include <string>
#include <vector>

#include "decision/endpoint_registry.hpp"
#include "decision/request_state.hpp"
#include "decision/slow_start.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class ZoneRouter {
 public:
  /// All arguments outlive it.
  ZoneRouter(const Settings& settings, const EndpointRegistry& registry, const SlowStart& slow_start)
      : settings_(settings), registry_(registry), slow_start_(slow_start) {}

  /// Takes over an agreement unless it is older than the one in force.
  void Apply(const ZoneAgreement& agreement);
  /// The settings have changed.
  void Configure() { ComputeWeights(); }

  /// The zone that a request is to go to; null: any. The text stays valid until the next change.
  [[nodiscard]] const std::string* ZoneFor(const RequestState& request) const;
  /// Whether no zone has capacity for a request.
  [[nodiscard]] bool ExceedsCapacity(const RequestState& request) const {
    return !request.IsPinned() && request.zone_draw > 1 - overflow_share_;
  }
  /// By the agreement in force; empty: there is none.
  [[nodiscard]] const std::vector<Policy::ZoneWeight>& weights() const { return weights_; }

  /// An attempt at a zone has ended, or a request found no endpoint there in time.
  void CountAttempt(const std::string& zone, bool within_objective, Millis now);
  /// `arrival_rate`: requests per millisecond at this gateway.
  [[nodiscard]] ZoneLoadReport CollectLoad(double arrival_rate, Millis now) const;

 private:
  // Attempts of one zone, fading.
  struct AttemptCounts {
    double completed = 0;
    double within_objective = 0;
    Millis updated_at = 0;
  };

  void ComputeWeights();

  const Settings& settings_;
  const EndpointRegistry& registry_;
  const SlowStart& slow_start_;
  std::map<std::string, AttemptCounts> attempts_;
  ZoneAgreement agreement_;
  std::vector<Policy::ZoneWeight> weights_;
  double overflow_share_ = 0;  // of this gateway's requests, that no zone has capacity for
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ZONE_ROUTER_HPP_
