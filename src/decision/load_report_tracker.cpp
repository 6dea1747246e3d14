#include "decision/load_report_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace meadowyard::decision {
namespace {

constexpr const char* kUtilizationField = "util";
// Weights of a new report in the smoothed utilization of an endpoint and of its kind.
constexpr double kEndpointReportWeight = 0.3;
constexpr double kKindReportWeight = kEndpointReportWeight / 3;
constexpr double kMaxUtilization = 1.1;  // higher reports are clamped; noise may exceed 1
// The utilization that is kept free is this times the square root of the number of gateways.
constexpr double kReservePerSquareRootOfGateways = 0.07;

}  // namespace

void LoadReportTracker::Configure(const std::vector<std::string>& fields) {
  const auto found = std::find(fields.begin(), fields.end(), kUtilizationField);
  is_utilization_reported_ = found != fields.end();
  utilization_index_ = static_cast<std::size_t>(found - fields.begin());
}

void LoadReportTracker::Record(EndpointRecord& endpoint, const std::vector<double>& load) const {
  if (utilization_index_ >= load.size()) return;
  const double reported = load[utilization_index_];
  if (!(reported >= 0)) return;  // negative or not a number
  const double utilization = std::min(reported, kMaxUtilization);
  endpoint.utilization += kEndpointReportWeight * (utilization - endpoint.utilization);
  endpoint.kind->utilization += kKindReportWeight * (utilization - endpoint.kind->utilization);
}

double LoadReportTracker::ExcessUtilization(const EndpointRecord& endpoint) const {
  const double utilization = (endpoint.utilization + endpoint.kind->utilization) / 2;
  return utilization - (1 - kReservePerSquareRootOfGateways * std::sqrt(membership_.active()));
}

}  // namespace meadowyard::decision
