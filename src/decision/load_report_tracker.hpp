/// @file
/// Load reports: tracks the utilization that endpoints report with their answers.
#ifndef MEADOWYARD_DECISION_LOAD_REPORT_TRACKER_HPP_
#define MEADOWYARD_DECISION_LOAD_REPORT_TRACKER_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "decision/endpoint_record.hpp"
#include "decision/gateway_membership.hpp"

namespace meadowyard::decision {

class LoadReportTracker {
 public:
  /// Keeps a reference to `membership`, which must outlive the tracker.
  explicit LoadReportTracker(const GatewayMembership& membership) : membership_(membership) {}

  /// Sets the names of the values in a report, in their order.
  void Configure(const std::vector<std::string>& fields);
  /// Whether reports contain the utilization.
  [[nodiscard]] bool is_utilization_reported() const { return is_utilization_reported_; }

  /// Discards what was reported by an endpoint, because it is a new process.
  static void Reset(EndpointRecord& endpoint) { endpoint.utilization = 0; }
  /// Updates the utilization of an endpoint and of its kind from a load report. Reports that are too short
  /// and values that are negative or not a number are ignored.
  void Record(EndpointRecord& endpoint, const std::vector<double>& load) const;
  /// How far an endpoint's utilization exceeds its target; negative if it is below. The target leaves a
  /// reserve, because no gateway knows what the others are about to send.
  [[nodiscard]] double ExcessUtilization(const EndpointRecord& endpoint) const;

 private:
  const GatewayMembership& membership_;
  std::size_t utilization_index_ = 0;  // in a report; past its end if it is not contained
  bool is_utilization_reported_ = false;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_LOAD_REPORT_TRACKER_HPP_
