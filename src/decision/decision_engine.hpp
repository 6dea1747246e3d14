/// @file
/// Owns the mechanisms of the decision module, connects them and passes each event to the one that handles
/// it.
#ifndef MEADOWYARD_DECISION_DECISION_ENGINE_HPP_
#define MEADOWYARD_DECISION_DECISION_ENGINE_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "decision/action_writer.hpp"
#include "decision/arrival_rate.hpp"
#include "decision/class_queues.hpp"
#include "decision/endpoint_registry.hpp"
#include "decision/endpoint_tracker.hpp"
#include "decision/gateway_membership.hpp"
#include "decision/load_balancer.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/poll_schedule.hpp"
#include "decision/random_source.hpp"
#include "decision/rate_controller.hpp"
#include "decision/request_processor.hpp"
#include "decision/subset_selector.hpp"
#include "decision/tenant_quotas.hpp"
#include "decision/traffic_class_table.hpp"
#include "decision/zone_router.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Implements Policy, which documents the public functions.
class DecisionEngine : private EjectionObserver {
 public:
  DecisionEngine(Settings settings, std::uint64_t seed);
  // Neither copied nor moved: the mechanisms hold references to each other.
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;
  ~DecisionEngine() = default;

  void Handle(Millis now, const Event& event, std::vector<Action>& actions);

  [[nodiscard]] bool IsKnown(const std::string& endpoint) const { return registry_.IsKnown(endpoint); }
  [[nodiscard]] bool IsEligible(const std::string& endpoint, const std::string& request) const;
  [[nodiscard]] Policy::Admission CheckAdmission(Millis now, const std::string& class_name,
                                                 Idempotency idempotency) const;
  [[nodiscard]] Policy::Stats CollectStats() const;
  [[nodiscard]] Gossip CollectGossip() const { return tracker_.CollectGossip(now_); }
  [[nodiscard]] ZoneLoadReport CollectZoneLoad() const {
    return zones_.CollectLoad(arrival_rate_.per_ms(), now_);
  }
  [[nodiscard]] const std::vector<Policy::ZoneWeight>& zone_weights() const { return zones_.weights(); }
  [[nodiscard]] LearnedState Snapshot() const;

 private:
  void OnEjected(const EndpointRecord& endpoint) override;
  void OnRestored(const EndpointRecord& endpoint) override;

  void OnEvent(const Request& event) { requests_.OnRequest(event, now_); }
  void OnEvent(const RequestBodyComplete& event) { requests_.OnBodyComplete(event, now_); }
  void OnEvent(const ResponseStarted& event) { requests_.OnResponseStarted(event, now_); }
  void OnEvent(const AttemptOutcome& event) { requests_.OnOutcome(event, now_); }
  void OnEvent(const ClientDisconnected& event) { requests_.OnClientDisconnected(event); }
  void OnEvent(const TimerExpired&) { Sweep(); }
  void OnEvent(const EndpointUpdate& event);
  void OnEvent(const MaintenanceStarted& event);
  void OnEvent(const MaintenanceEnded& event);
  void OnEvent(const SettingsChanged& event);
  void OnEvent(const LearnedState& event);
  void OnEvent(const TunnelCountChanged& event);
  void OnEvent(const MembershipUpdate& event);
  void OnEvent(const ZoneAgreement& event) { zones_.Apply(event); }

  // Sets the time of the event. A `now` that is earlier than the last one, or NaN, leaves the clock
  // unchanged.
  void AdvanceClock(Millis now);
  void ApplySettings();
  // Runs periodically: polls service discovery if due, updates slow start and answers expired requests.
  void Sweep();
  // A handler that resets the estimates of an endpoint that has restarted.
  [[nodiscard]] EndpointRegistry::RestartHandler MakeRestartHandler();

  Settings settings_;
  RandomSource random_;
  ActionWriter actions_;
  GatewayMembership membership_;
  EndpointRegistry registry_;
  SubsetSelector subset_;
  EndpointTracker tracker_;
  PollSchedule poll_schedule_;
  ZoneRouter zones_;
  TrafficClassTable classes_;
  TenantQuotas quotas_;
  RateController rate_;
  ArrivalRate arrival_rate_;
  LoadBalancer balancer_;
  ClassQueues queues_;
  RequestProcessor requests_;
  bool started_ = false;  // whether the first event was handled
  Millis now_ = 0;
  Millis last_sweep_at_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_DECISION_ENGINE_HPP_
