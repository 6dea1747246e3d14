/// @file
/// The traffic classes in force, what was learned of each, and the queues that its requests wait in.
///
/// A class whose settings change gets a new entry, and the old one stays for the requests that arrived under
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

struct TrafficClass {
  TrafficClassSettings settings;
  Millis accepts_until = kForever;
  int open_requests = 0;            ///< That arrived under it and are not forgotten.
  std::uint64_t blocked_round = 0;  ///< The round of releases that found no endpoint for its head.
  double weight = 0;                ///< Of its priority weight in the sum of all.
  double credit = 0;                ///< Most credit first: see ClassQueues.
  Millis observed_time_budget = 0;  ///< Time that clients have left at a first attempt.
  double latency = 0;               ///< Smoothed, in milliseconds; 0: unmeasured.
  int samples = 0;
  RequestQueue retries;
  RequestQueue within_quota;
  RequestQueue over_quota;

  [[nodiscard]] std::size_t QueuedCount() const {
    return retries.size() + within_quota.size() + over_quota.size();
  }
  /// In the order in which they are served.
  [[nodiscard]] std::array<RequestQueue*, 3> Queues() { return {&retries, &within_quota, &over_quota}; }
};

class TrafficClassTable {
 public:
  /// Puts classes into force. What was learned of a class by the same name stays. `total_weight`: sum of
  /// their priority weights.
  void Configure(const std::vector<TrafficClassSettings>& classes, double total_weight, Millis now);

  /// The class that a request of this name and idempotency arrives under: the newest that fits, or null.
  TrafficClass* Find(const std::string& name, const std::optional<Idempotency>& idempotency, Millis now);
  [[nodiscard]] const TrafficClass* Find(const std::string& name,
                                         const std::optional<Idempotency>& idempotency, Millis now) const;
  [[nodiscard]] std::size_t IndexOf(const TrafficClass& traffic_class) const;

  TrafficClass& operator[](std::size_t index) { return classes_[index]; }
  const TrafficClass& operator[](std::size_t index) const { return classes_[index]; }
  std::vector<TrafficClass>& all() { return classes_; }

  void LearnLatency(TrafficClass& traffic_class, Millis latency);
  /// A class's latency over the mean of all; 1 until something was learned.
  [[nodiscard]] double RelativeLatency(std::size_t index) const;
  /// Over all classes, smoothed; 0: unmeasured.
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
