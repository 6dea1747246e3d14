#include "decision/class_queues.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace meadowyard::decision {
namespace {

constexpr double kMaxCredit = 4;  // requests; the credit of a class stays within +- this
// Share of the time from a request's arrival to its latency objective that it may be queued.
constexpr double kMaxWaitShare = 0.25;
// The same for a request over its tenant's quota. Lower, so that its client waits only briefly for a
// rejection.
constexpr double kMaxWaitShareOverQuota = 0.05;
constexpr double kMinQueueCapacity = 32;  // requests, per class
constexpr double kMillisPerSecond = 1000;

// When a queued request expires. A request that waits longer is dispatched with too little time left, misses
// its objective, and so reduces the dispatch rate again. It must also be answered before the client stops
// waiting.
Millis QueueExpiry(const RequestState& request) {
  const double share = request.within_quota ? kMaxWaitShare : kMaxWaitShareOverQuota;
  return std::min(request.arrived_at + share * (request.objective_at - request.arrived_at),
                  request.deadline_at - kAnswerMargin);
}

// Whether a request may go to any endpoint of its zone.
bool IsUnrestricted(const RequestState& request) {
  return !request.IsPinned() && request.IsFirstAttempt() && !request.is_tunnel;
}

}  // namespace

void ClassQueues::Add(RequestState& request) {
  TrafficClass& traffic_class = classes_[request.class_index];
  Insert(request, request.within_quota ? traffic_class.within_quota : traffic_class.over_quota);
}

void ClassQueues::AddRetry(RequestState& request) { Insert(request, classes_[request.class_index].retries); }

void ClassQueues::Insert(RequestState& request, RequestQueue& queue) {
  request.is_queued = true;
  ++size_;
  queue.push_back(&request);
}

void ClassQueues::Remove(RequestState& request) {
  if (!request.is_queued) return;
  for (RequestQueue* const queue : classes_[request.class_index].Queues()) {
    const auto found = std::find(queue->begin(), queue->end(), &request);
    if (found == queue->end()) continue;
    queue->erase(found);
    break;
  }
  request.is_queued = false;
  --size_;
}

RequestState* ClassQueues::ReserveSlot(RequestState& request, double dispatch_rate) {
  TrafficClass& traffic_class = classes_[request.class_index];
  // Requests in a longer queue could not be served within the objective at the current dispatch rate.
  const double capacity =
      dispatch_rate * traffic_class.settings.latency_objective / kMillisPerSecond + kMinQueueCapacity;
  if (static_cast<double>(traffic_class.QueuedCount()) < capacity) return nullptr;
  if (!request.within_quota || traffic_class.over_quota.empty()) return &request;
  RequestState* const displaced = traffic_class.over_quota.back();
  Remove(*displaced);
  return displaced;
}

// Checks all queued requests and not just the first of each queue: a request may have less time left than
// those in front of it.
std::vector<RequestState*> ClassQueues::CollectExpired(Millis now) {
  std::vector<RequestState*> expired;
  if (size_ == 0) return expired;
  for (TrafficClass& traffic_class : classes_.all()) {
    for (const RequestQueue* const queue : traffic_class.Queues()) {
      std::copy_if(queue->begin(), queue->end(), std::back_inserter(expired),
                   [now](const RequestState* request) { return now >= QueueExpiry(*request); });
    }
  }
  return expired;
}

std::optional<ClassQueues::Release> ClassQueues::TakeNext(double untimely_share, Millis now) {
  while (size_ > 0) {
    TrafficClass* const next = ClassWithMostCredit();
    if (next == nullptr) return std::nullopt;
    const std::optional<Release> release = FindRelease(*next, untimely_share, now);
    if (!release) {
      next->blocked_round = round_;  // no endpoint has capacity for its requests now
      continue;
    }
    ChargeCredit(*next);
    Remove(*release->request);
    return release;
  }
  return std::nullopt;
}

// The class with the most credit, including the weight that it earns by this release, among the backlogged
// classes that are not blocked in this round; null if there is none. A class with negative credit is eligible
// too, so that no available token is left unused.
TrafficClass* ClassQueues::ClassWithMostCredit() {
  TrafficClass* best = nullptr;
  for (TrafficClass& candidate : classes_.all()) {
    if (candidate.QueuedCount() == 0 || candidate.blocked_round == round_) continue;
    const bool is_better =
        best == nullptr || candidate.credit + candidate.weight > best->credit + best->weight;
    if (is_better) best = &candidate;
  }
  return best;
}

void ClassQueues::ChargeCredit(TrafficClass& released) {
  for (TrafficClass& traffic_class : classes_.all()) {
    const double earned = traffic_class.QueuedCount() > 0 ? traffic_class.weight : 0;
    traffic_class.credit = std::min(kMaxCredit, traffic_class.credit + earned);
  }
  released.credit = std::max(-kMaxCredit, released.credit - 1);
}

std::optional<ClassQueues::Release> ClassQueues::FindRelease(TrafficClass& traffic_class,
                                                             double untimely_share, Millis now) {
  for (RequestQueue* const queue : traffic_class.Queues()) {
    if (queue->empty()) continue;
    const std::optional<Release> release = FindRelease(*queue, untimely_share, now);
    if (release && release->request == nullptr) return std::nullopt;
    if (release) return release;
  }
  return std::nullopt;
}

// Finds the first request in the queue for which an endpoint has capacity. A request that is restricted to
// certain endpoints doesn't block those behind it; any other request blocks only those for the same zone.
// Returns a Release without a request if no endpoint has capacity for unrestricted requests of any zone: all
// queues of the class are blocked then.
std::optional<ClassQueues::Release> ClassQueues::FindRelease(RequestQueue& queue, double untimely_share,
                                                             Millis now) {
  std::set<const std::string*> blocked_zones;
  for (RequestState* const request : queue) {
    const bool is_unrestricted = IsUnrestricted(*request);
    const std::string* const zone = zones_.ZoneFor(*request);
    if (is_unrestricted && blocked_zones.contains(zone)) continue;
    if (EndpointRecord* const endpoint = balancer_.Pick(*request, untimely_share, now)) {
      return Release{.request = request, .endpoint = endpoint};
    }
    if (!is_unrestricted) continue;
    const bool is_newly_blocked = zone == nullptr || blocked_zones.insert(zone).second;
    if (is_newly_blocked && blocked_zones.size() >= zones_.weights().size()) return Release{};
  }
  return std::nullopt;
}

}  // namespace meadowyard::decision
