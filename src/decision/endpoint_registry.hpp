/// @file
/// Keeps a record of each endpoint that service discovery lists, and which endpoints operators have put into
/// maintenance.
#ifndef MEADOWYARD_DECISION_ENDPOINT_REGISTRY_HPP_
#define MEADOWYARD_DECISION_ENDPOINT_REGISTRY_HPP_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decision/endpoint_record.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Owns the EndpointRecords.
class EndpointRegistry {
 public:
  /// Called for an endpoint that is new or has been restarted, with the start time of its process.
  using RestartHandler = std::function<void(EndpointRecord& endpoint, Millis started_at)>;
  /// Ordered by id, so that iteration, and with it each decision, is repeatable.
  using Records = std::map<std::string, EndpointRecord>;

  /// The record of an endpoint, or null if there is none.
  EndpointRecord* Find(const std::string& id);
  [[nodiscard]] const EndpointRecord* Find(const std::string& id) const;
  Records& records() { return records_; }
  [[nodiscard]] const Records& records() const { return records_; }

  /// Whether an endpoint is listed, was listed recently, or is in maintenance.
  [[nodiscard]] bool IsKnown(const std::string& id) const;
  /// Number of endpoints that are up (EndpointRecord::up).
  [[nodiscard]] int up_count() const { return up_count_; }
  /// Median of the smoothed latencies of the endpoints that are up, in milliseconds; 0 if none was measured.
  [[nodiscard]] double MedianLatency() const;

  /// Applies a snapshot or a delta of the endpoint list.
  void Apply(const EndpointUpdate& update, Millis now, const RestartHandler& on_restart);

  /// Puts an endpoint into maintenance. This is stored apart from the endpoint list, so that no update of the
  /// list can end it. Returns false if the endpoint is already in maintenance, or unknown without
  /// `even_if_unknown`.
  bool StartMaintenance(const std::string& id, bool even_if_unknown);
  /// Ends an endpoint's maintenance; returns false if it was not in maintenance. An endpoint that has a
  /// record is treated as restarted at `now`.
  bool EndMaintenance(const std::string& id, Millis now, const RestartHandler& on_restart);

  void Save(LearnedState& state) const;
  /// Restores the latencies of the kinds, and which endpoints are in maintenance.
  void Restore(const LearnedState& state);

 private:
  void ApplyEndpoint(const Endpoint& endpoint, Millis now, const RestartHandler& on_restart);
  void RemoveUnlisted();
  void UpdateUpCount();

  Records records_;
  std::map<std::string, EndpointKind> kinds_;
  std::set<std::string> in_maintenance_;
  std::deque<std::string> recently_unlisted_;  // ids, oldest first
  int up_count_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ENDPOINT_REGISTRY_HPP_
