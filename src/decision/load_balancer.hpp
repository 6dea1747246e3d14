/// @file
/// The load balancer: power of two random choices. Of two endpoints that can take a request it picks the one
/// with the lower cost, (requests in flight + 1) times smoothed latency.
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

class LoadBalancer {
 public:
  /// All arguments outlive it.
  LoadBalancer(const Settings& settings, EndpointRegistry& registry, EndpointTracker& tracker,
               const SubsetSelector& subset, const TrafficClassTable& classes, const ZoneRouter& zones,
               RandomSource& random);

  /// The endpoint for a request's next attempt, or null if none can take it now. `untimely_share`: of recent
  /// outcomes, see RateController.
  [[nodiscard]] EndpointRecord* Pick(const RequestState& request, double untimely_share, Millis now);

  /// Whether a request may still go to an endpoint: one with an idempotency key that may have been executed
  /// stays with the endpoints that drop its repeats, for as long as they do.
  [[nodiscard]] bool IsAllowed(const RequestState& request, const EndpointRecord& endpoint, Millis now) const;

 private:
  struct Candidate {
    double rank = 0;  // by key affinity; lowest first
    EndpointRecord* endpoint = nullptr;
  };
  // What a scan of the endpoints has found, beside the candidates.
  struct Scan {
    EndpointRecord* probe = nullptr;  // an ejected endpoint whose health probe is due
    bool found_trusted = false;       // some endpoint is not ejected, if only too busy
    bool probe_chosen = false;        // the request is to go to `probe`
  };

  Scan FindCandidates(const RequestState& request, double untimely_share, Millis now);
  [[nodiscard]] bool IsSelectable(const RequestState& request, const EndpointRecord& endpoint,
                                  const std::string* zone, Millis now) const;
  void AvoidZone(const std::string& zone);
  void MoveTwoToFront(const RequestState& request);
  [[nodiscard]] double CostOf(const EndpointRecord& endpoint) const;

  const Settings& settings_;
  EndpointRegistry& registry_;
  EndpointTracker& tracker_;
  const SubsetSelector& subset_;
  const TrafficClassTable& classes_;
  const ZoneRouter& zones_;
  RandomSource& random_;
  std::vector<Candidate> candidates_;  // kept for its memory
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_LOAD_BALANCER_HPP_
