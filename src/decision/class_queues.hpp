/// @file
/// The queues of the traffic classes and the scheduler that selects the next request from them.
///
/// A request that can't be dispatched at once waits for a token or an endpoint, for at most a fixed share
/// of the time to its latency objective. The classes share the capacity by weight (smooth weighted round
/// robin): each release adds the weight of every backlogged class to its credit, and the class with the most
/// credit is selected and its credit is reduced by one.
#ifndef MEADOWYARD_DECISION_CLASS_QUEUES_HPP_
#define MEADOWYARD_DECISION_CLASS_QUEUES_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision/load_balancer.hpp"
#include "decision/request_state.hpp"
#include "decision/traffic_class_table.hpp"
#include "decision/zone_router.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// A queued request is answered at least this long before its client stops waiting, in milliseconds: the
/// timer that sweeps the queues may be late by two intervals.
constexpr Millis kAnswerMargin = 20;

class ClassQueues {
 public:
  /// A request to dispatch and the endpoint that it goes to.
  struct Release {
    RequestState* request = nullptr;
    EndpointRecord* endpoint = nullptr;
  };

  /// Keeps references to all arguments, which must outlive the queues.
  ClassQueues(TrafficClassTable& classes, LoadBalancer& balancer, const ZoneRouter& zones)
      : classes_(classes), balancer_(balancer), zones_(zones) {}

  /// Number of queued requests, over all classes.
  [[nodiscard]] std::size_t size() const { return size_; }
  /// Queues a request that has had no attempt yet.
  void Add(RequestState& request);
  /// Queues a request for another attempt, ahead of requests without one.
  void AddRetry(RequestState& request);
  /// Removes a request from its queue. Idempotent: does nothing if the request is not queued.
  void Remove(RequestState& request);

  /// Reserves a slot for a request in the queues of its class. Returns null if a slot is free. Otherwise
  /// returns the request that has to be rejected: either `request` itself, or a request over its tenant's
  /// quota, which has been removed from its queue. `dispatch_rate`: attempts per second.
  RequestState* ReserveSlot(RequestState& request, double dispatch_rate);

  /// Queued requests whose waiting time has expired. They stay queued until they are removed.
  [[nodiscard]] std::vector<RequestState*> CollectExpired(Millis now);

  /// Starts a new round of releases: classes for which no endpoint had capacity are tried again.
  void BeginRound() { ++round_; }
  /// Removes the request that the next token goes to and returns it with its endpoint; nullopt if no endpoint
  /// has capacity for any queued request. `untimely_share`: see RateController.
  std::optional<Release> TakeNext(double untimely_share, Millis now);

 private:
  void Insert(RequestState& request, RequestQueue& queue);
  TrafficClass* ClassWithMostCredit();
  std::optional<Release> FindRelease(TrafficClass& traffic_class, double untimely_share, Millis now);
  std::optional<Release> FindRelease(RequestQueue& queue, double untimely_share, Millis now);
  void ChargeCredit(TrafficClass& released);

  TrafficClassTable& classes_;
  LoadBalancer& balancer_;
  const ZoneRouter& zones_;
  std::size_t size_ = 0;
  std::uint64_t round_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_CLASS_QUEUES_HPP_
