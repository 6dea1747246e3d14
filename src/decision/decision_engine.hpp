/// @file
/// Wires the mechanisms of the decision module together and passes each event to the one that it concerns.
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

/// See Policy for what each public function promises.
class DecisionEngine : private EjectionObserver {
 public:
  DecisionEngine(Settings settings, std::uint64_t seed);
  // The mechanisms hold references to each other.
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
    return zones_.CollectLoad(arrivals_.per_ms(), now_);
  }
  [[nodiscard]] const std::vector<Policy::ZoneWeight>& zone_weights() const { return zones_.weights(); }
  [[nodiscard]] LearnedState Snapshot() const;

 private:
  void OnEjected(const EndpointRecord& endpoint) override;
  void OnRestored(const EndpointRecord& endpoint) override;

  void On(const Request& event) { requests_.OnRequest(event, now_); }
  void On(const RequestBodyComplete& event) { requests_.OnBodyComplete(event, now_); }
  void On(const ResponseStarted& event) { requests_.OnResponseStarted(event, now_); }
  void On(const AttemptOutcome& event) { requests_.OnOutcome(event, now_); }
  void On(const ClientDisconnected& event) { requests_.OnClientDisconnected(event); }
  void On(const TimerExpired&) { Sweep(); }
  void On(const EndpointUpdate& event);
  void On(const MaintenanceStarted& event);
  void On(const MaintenanceEnded& event);
  void On(const SettingsChanged& event);
  void On(const LearnedState& event);
  void On(const TunnelCountChanged& event);
  void On(const MembershipUpdate& event);
  void On(const ZoneAgreement& event) { zones_.Apply(event); }

  void AdvanceClock(Millis now);
  void ApplySettings();
  void Sweep();
  [[nodiscard]] EndpointRegistry::RestartHandler ResetOnRestart();

  Settings settings_;
  RandomSource random_;
  ActionWriter actions_;
  GatewayMembership membership_;
  EndpointRegistry registry_;
  SubsetSelector subset_;
  EndpointTracker tracker_;
  PollSchedule polls_;
  ZoneRouter zones_;
  TrafficClassTable classes_;
  TenantQuotas quotas_;
  RateController rate_;
  ArrivalRate arrivals_;
  LoadBalancer balancer_;
  ClassQueues queues_;
  RequestProcessor requests_;
  bool started_ = false;
  Millis now_ = 0;
  Millis swept_at_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_DECISION_ENGINE_HPP_
