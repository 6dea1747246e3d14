/// @file
/// The endpoints that service discovery lists, and those that operators have put into maintenance.
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

class EndpointRegistry {
 public:
  /// Called for an endpoint that is new or has been restarted, with the start of its process.
  using RestartHandler = std::function<void(EndpointRecord& endpoint, Millis started_at)>;
  /// By id: iteration has to be repeatable.
  using Records = std::map<std::string, EndpointRecord>;

  EndpointRecord* Find(const std::string& id);
  [[nodiscard]] const EndpointRecord* Find(const std::string& id) const;
  Records& records() { return records_; }
  [[nodiscard]] const Records& records() const { return records_; }

  /// Whether an endpoint is listed, was listed recently, or is in maintenance.
  [[nodiscard]] bool IsKnown(const std::string& id) const;
  /// Endpoints that may be sent to.
  [[nodiscard]] int up_count() const { return up_count_; }
  /// Median of the measured latencies of the endpoints that are up; 0: none was measured.
  [[nodiscard]] double MedianLatency() const;

  /// Takes over a snapshot or a delta.
  void Apply(const EndpointUpdate& update, Millis now, const RestartHandler& on_restart);

  /// Maintenance is kept apart from the list, so that no list can end it. False: unknown, or in it already.
  bool StartMaintenance(const std::string& id);
  /// False: it was not in maintenance. An endpoint that is known counts as restarted now.
  bool EndMaintenance(const std::string& id, Millis now, const RestartHandler& on_restart);

  void Save(LearnedState& state) const;
  /// Takes over the kinds, and which endpoints are in maintenance.
  void Restore(const LearnedState& state);

 private:
  void Learn(const Endpoint& endpoint, Millis now, const RestartHandler& on_restart);
  void ForgetUnlisted();
  void CountUp();

  Records records_;
  std::map<std::string, EndpointKind> kinds_;
  std::set<std::string> in_maintenance_;
  std::deque<std::string> departed_;  // ids that were listed recently
  int up_count_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ENDPOINT_REGISTRY_HPP_
