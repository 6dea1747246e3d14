/// @file
/// Load reports: the utilization that endpoints report with their answers.
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
  /// `membership` outlives it.
  explicit LoadReportTracker(const GatewayMembership& membership) : membership_(membership) {}

  /// The names of the values in a report.
  void Configure(const std::vector<std::string>& fields);
  /// Whether endpoints report their utilization at all.
  [[nodiscard]] bool is_reported() const { return is_reported_; }

  /// The endpoint is a new process.
  static void Reset(EndpointRecord& endpoint) { endpoint.utilization = 0; }
  void Record(EndpointRecord& endpoint, const std::vector<double>& load) const;
  /// How far an endpoint's utilization is above what leaves a reserve for the gateways, none of which knows
  /// what the others send next; negative: below.
  [[nodiscard]] double Overuse(const EndpointRecord& endpoint) const;

 private:
  const GatewayMembership& membership_;
  std::size_t utilization_index_ = 0;  // in a report; past its end if it is not reported
  bool is_reported_ = false;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_LOAD_REPORT_TRACKER_HPP_
