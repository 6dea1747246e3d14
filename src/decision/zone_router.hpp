/// @file
/// Zone routing: a request stays in its gateway's zone unless the zone weights send it to another one. The
/// weights are computed from the ZoneAgreement, so that all gateways that are in contact with a majority
/// shift their traffic consistently.
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
  /// All arguments must outlive this object.
  ZoneRouter(const Settings& settings, const EndpointRegistry& registry, const SlowStart& slow_start)
      : settings_(settings), registry_(registry), slow_start_(slow_start) {}

  /// Applies an agreement and recomputes the weights. Ignores it unless it is newer than the one in force.
  void Apply(const ZoneAgreement& agreement);
  /// Recomputes the weights after a change of the settings.
  void Configure() { ComputeWeights(); }

  /// The zone that a request must go to; null: any zone. The pointer is valid until the next call of Apply or
  /// Configure.
  [[nodiscard]] const std::string* ZoneFor(const RequestState& request) const;
  /// Whether the request belongs to the share of requests that no zone has capacity for.
  [[nodiscard]] bool ExceedsCapacity(const RequestState& request) const {
    return !request.IsPinned() && request.zone_draw > 1 - overflow_share_;
  }
  /// Zone weights of this gateway by the agreement in force; see ComputeZoneWeights for when they are empty.
  [[nodiscard]] const std::vector<Policy::ZoneWeight>& weights() const { return weights_; }

  /// Counts an attempt at an endpoint of a zone that has ended, or a request that found no endpoint there in
  /// time.
  void CountAttempt(const std::string& zone, bool within_objective, Millis now);
  /// Returns this gateway's observations of all zones. `arrival_rate`: requests per millisecond at this
  /// gateway; the report states it in requests per second.
  [[nodiscard]] ZoneLoadReport CollectLoad(double arrival_rate, Millis now) const;

 private:
  // Exponentially decaying counts of the attempts in one zone.
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
  double overflow_share_ = 0;  // share of this gateway's requests that no zone has capacity for
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ZONE_ROUTER_HPP_
