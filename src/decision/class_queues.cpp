#include "decision/class_queues.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace meadowyard::decision {
namespace {

constexpr double kMaxCredit = 4;                 // credit stays within +- this many requests
constexpr double kMaxWaitShare = 0.25;           // of its time that a request waits at most
constexpr double kMaxWaitShareOverQuota = 0.05;  // the same over quota: it occupies a client for little
constexpr double kMinQueueCapacity = 32;         // requests of a class
constexpr double kMillisPerSecond = 1000;

// A token must come soon: what waits longer is dispatched with too little time left, fails, and has the rate
// reduced again. And the answer must come before the client gives up.
Millis WaitsUntil(const RequestState& request) {
  const double share = request.within_quota ? kMaxWaitShare : kMaxWaitShareOverQuota;
  return std::min(request.arrived_at + share * (request.objective_at - request.arrived_at),
                  request.deadline_at - kAnswerMargin);
}

// Any endpoint of its zone may take it.
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
  // More can't be served in time.
  const double capacity =
      dispatch_rate * traffic_class.settings.latency_objective / kMillisPerSecond + kMinQueueCapacity;
  if (static_cast<double>(traffic_class.QueuedCount()) < capacity) return nullptr;
  if (!request.within_quota || traffic_class.over_quota.empty()) return &request;
  RequestState* const displaced = traffic_class.over_quota.back();
  Remove(*displaced);
  return displaced;
}

// All, not the heads alone: one with less time than those before it must not run out of it behind them.
std::vector<RequestState*> ClassQueues::CollectExpired(Millis now) {
  std::vector<RequestState*> expired;
  if (size_ == 0) return expired;
  for (TrafficClass& traffic_class : classes_.all()) {
    for (const RequestQueue* const queue : traffic_class.Queues()) {
      std::copy_if(queue->begin(), queue->end(), std::back_inserter(expired),
                   [now](const RequestState* request) { return now >= WaitsUntil(*request); });
    }
  }
  return expired;
}

std::optional<ClassQueues::Release> ClassQueues::TakeNext(double untimely_share, Millis now) {
  while (size_ > 0) {
    TrafficClass* const next = MostCredited();
    if (next == nullptr) return std::nullopt;
    const std::optional<Release> release = FirstReleasable(*next, untimely_share, now);
    if (!release) {
      next->blocked_round = round_;  // no endpoint can take its head now
      continue;
    }
    ChargeCredit(*next);
    Remove(*release->request);
    return release;
  }
  return std::nullopt;
}

// Of the backlogged classes that are not blocked in this round. Where all are in debt the least indebted is
// next: a token never idles.
TrafficClass* ClassQueues::MostCredited() {
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

std::optional<ClassQueues::Release> ClassQueues::FirstReleasable(TrafficClass& traffic_class,
                                                                 double untimely_share, Millis now) {
  for (RequestQueue* const queue : traffic_class.Queues()) {
    if (queue->empty()) continue;
    const std::optional<Release> release = FirstReleasable(*queue, untimely_share, now);
    if (release && release->request == nullptr) return std::nullopt;
    if (release) return release;
  }
  return std::nullopt;
}

// The first request with an endpoint for it. One that not every endpoint may take blocks no other, and one
// that waits for a zone blocks those for the same zone alone. A release without a request: all of the class
// is blocked, for its endpoints can take nothing.
std::optional<ClassQueues::Release> ClassQueues::FirstReleasable(RequestQueue& queue, double untimely_share,
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
