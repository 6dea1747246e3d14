/// @file
/// The queues of the traffic classes, and most credit first between them.
///
/// A request that can't be dispatched at once waits for a token or an endpoint, for a part of its time. Most
/// credit first: each release gives every backlogged class credit by its weight, and the class with the most
/// credit pays one for the release.
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

/// Time before a client gives up, in milliseconds, by which its request is answered: timers may be late by
/// two sweeps.
constexpr Millis kAnswerMargin = 20;

class ClassQueues {
 public:
  /// A request that is to be dispatched, and where.
  struct Release {
    RequestState* request = nullptr;
    EndpointRecord* endpoint = nullptr;
  };

  /// All arguments outlive it.
  ClassQueues(TrafficClassTable& classes, LoadBalancer& balancer, const ZoneRouter& zones)
      : classes_(classes), balancer_(balancer), zones_(zones) {}

  [[nodiscard]] std::size_t size() const { return size_; }
  void Add(RequestState& request);
  void AddRetry(RequestState& request);
  /// Nothing happens if it does not wait.
  void Remove(RequestState& request);

  /// Reserves a slot in its class's queues for a request: returns the one that has to be rejected for it,
  /// which is the request itself, or one over quota that is removed from its queue; null: there is a free
  /// slot. `dispatch_rate`: attempts per second.
  RequestState* ReserveSlot(RequestState& request, double dispatch_rate);

  /// Requests that can't wait any longer.
  [[nodiscard]] std::vector<RequestState*> CollectExpired(Millis now);

  /// A new round of releases begins: what found no endpoint is looked at again.
  void BeginRound() { ++round_; }
  /// Takes the request that the next token goes to, if some endpoint can take it.
  std::optional<Release> TakeNext(double untimely_share, Millis now);

 private:
  void Insert(RequestState& request, RequestQueue& queue);
  TrafficClass* MostCredited();
  std::optional<Release> FirstReleasable(TrafficClass& traffic_class, double untimely_share, Millis now);
  std::optional<Release> FirstReleasable(RequestQueue& queue, double untimely_share, Millis now);
  void ChargeCredit(TrafficClass& released);

  TrafficClassTable& classes_;
  LoadBalancer& balancer_;
  const ZoneRouter& zones_;
  std::size_t size_ = 0;
  std::uint64_t round_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_CLASS_QUEUES_HPP_
