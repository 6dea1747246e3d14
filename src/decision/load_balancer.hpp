/// @file
/// The load balancer: power of two random choices. Of two random endpoints that can take a request, it picks
/// the one with the lower cost: (attempts in flight + open tunnels + 1) times smoothed latency, with a
/// surcharge for endpoints in another zone. With key affinity, the two choices depend on the request's key
/// instead of chance.
#ifndef MEADOWYARD_DECISION_LOAD_BALANCER_HPP_
#define MEADOWYARD_DECISION_LOAD_BALANCER_HPP_

#include <string>
#include <vector>

#include "decision/endpoint_registry.hpp"
#include "decision/endpoint_tracker.hpp"
#include "decision/random_source.hpp"
#include "decision/request_state.hpp"
#include "decision/subset_selector.hpp"
#include "decision/traffic_class_table.hpp"
#include "decision/zone_router.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Picks the endpoint of each attempt.
class LoadBalancer {
 public:
  /// All arguments must outlive this object.
  LoadBalancer(const Settings& settings, EndpointRegistry& registry, EndpointTracker& tracker,
               const SubsetSelector& subset, const TrafficClassTable& classes, const ZoneRouter& zones,
               RandomSource& random);

  /// The endpoint for a request's next attempt, or null if none can take it now. `untimely_share`: share of
  /// recent outcomes that were not timely, see RateController.
  [[nodiscard]] EndpointRecord* Pick(const RequestState& request, double untimely_share, Millis now);

  /// Whether the request's idempotency key allows it to be sent to an endpoint: a request that may have been
  /// executed may only go to endpoints that drop its repeats (TrafficClassSettings::dedup_scope), and only
  /// until the dedup_window is over. Always true for requests without an idempotency key.
  [[nodiscard]] bool IsAllowed(const RequestState& request, const EndpointRecord& endpoint, Millis now) const;

 private:
  struct Candidate {
    double rank = 0;  // order by key affinity, lowest first
    EndpointRecord* endpoint = nullptr;
  };
  // The result of a scan of all endpoints, besides candidates_.
  struct Scan {
    EndpointRecord* probe = nullptr;  // an ejected endpoint whose health probe is due
    bool found_not_ejected = false;   // some selectable endpoint is not ejected, though it may be busy
    bool probe_chosen = false;        // the request is sent to `probe` as its health probe
  };

  Scan FindCandidates(const RequestState& request, double untimely_share, Millis now);
  [[nodiscard]] bool IsSelectable(const RequestState& request, const EndpointRecord& endpoint,
                                  const std::string* zone, Millis now) const;
  void RemoveCandidatesOfZone(const std::string& zone);
  void MoveTwoChoicesToFront(const RequestState& request);
  [[nodiscard]] double CostOf(const EndpointRecord& endpoint) const;

  const Settings& settings_;
  EndpointRegistry& registry_;
  EndpointTracker& tracker_;
  const SubsetSelector& subset_;
  const TrafficClassTable& classes_;
  const ZoneRouter& zones_;
  RandomSource& random_;
  std::vector<Candidate> candidates_;  // a member only to reuse its memory
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_LOAD_BALANCER_HPP_
