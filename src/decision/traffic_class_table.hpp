/// @file
/// The configured traffic classes, with the statistics and the request queues of each.
///
/// A class whose settings change gets a new entry. The old entry is kept for the requests that arrived under
/// it.
#ifndef MEADOWYARD_DECISION_TRAFFIC_CLASS_TABLE_HPP_
#define MEADOWYARD_DECISION_TRAFFIC_CLASS_TABLE_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "decision/instants.hpp"
#include "decision/request_state.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

using RequestQueue = std::deque<RequestState*>;

/// One traffic class. Its credit and its queues are managed by ClassQueues.
struct TrafficClass {
  TrafficClassSettings settings;
  Millis accepts_until = kForever;  ///< Requests that arrive later are not accepted under it.
  int open_requests = 0;            ///< Requests that arrived under it and are not finished.
  std::uint64_t blocked_round = 0;  ///< Last round of releases in which no endpoint had capacity for it.
  double weight = 0;                ///< Its share of the sum of all priority weights.
  double credit = 0;                ///< In requests; see ClassQueues.
  Millis observed_time_budget = 0;  ///< Time that clients have left at a first attempt, in ms.
  double latency = 0;               ///< Smoothed, in milliseconds; 0: unmeasured.
  int samples = 0;
  RequestQueue retries;
  RequestQueue within_quota;
  RequestQueue over_quota;

  [[nodiscard]] std::size_t QueuedCount() const {
    return retries.size() + within_quota.size() + over_quota.size();
  }
  /// The queues, in the order in which they are served.
  [[nodiscard]] std::array<RequestQueue*, 3> Queues() { return {&retries, &within_quota, &over_quota}; }
};

class TrafficClassTable {
 public:
  /// Sets the configured classes. The learned latency of a class is kept if a class of the same name is
  /// configured again. `total_weight`: sum of the priority weights of `classes`.
  void Configure(const std::vector<TrafficClassSettings>& classes, double total_weight, Millis now);

  /// The class that a request with this class name and idempotency is accepted under: the newest entry that
  /// is compatible, or null. Without `idempotency` any idempotency is compatible.
  TrafficClass* Find(const std::string& name, const std::optional<Idempotency>& idempotency, Millis now);
  [[nodiscard]] const TrafficClass* Find(const std::string& name,
                                         const std::optional<Idempotency>& idempotency, Millis now) const;
  [[nodiscard]] std::size_t IndexOf(const TrafficClass& traffic_class) const;

  TrafficClass& operator[](std::size_t index) { return classes_[index]; }
  const TrafficClass& operator[](std::size_t index) const { return classes_[index]; }
  std::vector<TrafficClass>& all() { return classes_; }

  /// Adds the latency of a served request to the class's average and to that of all classes.
  void LearnLatency(TrafficClass& traffic_class, Millis latency);
  /// Ratio of a class's latency to the mean over all classes; 1 until both are measured.
  [[nodiscard]] double RelativeLatency(std::size_t index) const;
  /// Latency over all classes, smoothed, in milliseconds; 0: unmeasured.
  [[nodiscard]] Millis mean_latency() const { return mean_latency_; }

  void Save(LearnedState& state) const;
  void Restore(const LearnedState& state, Millis now);

 private:
  TrafficClass& AddEntry(Millis now);

  std::vector<TrafficClass> classes_;
  Millis mean_latency_ = 0;
  int samples_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_TRAFFIC_CLASS_TABLE_HPP_
