#include "decision/load_report_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace meadowyard::decision {
namespace {

constexpr const char* kUtilizationField = "util";
constexpr double kReportWeight = 0.3;              // of a new report in an endpoint's utilization
constexpr double kKindWeight = kReportWeight / 3;  // the same in its kind's
constexpr double kMaxUtilization = 1.1;            // noise may show more than all
constexpr double kReservePerRootGateway = 0.07;    // utilization kept free, times the root of the gateways

}  // namespace

void LoadReportTracker::Configure(const std::vector<std::string>& fields) {
  const auto found = std::find(fields.begin(), fields.end(), kUtilizationField);
  is_reported_ = found != fields.end();
  utilization_index_ = static_cast<std::size_t>(found - fields.begin());
}

void LoadReportTracker::Record(EndpointRecord& endpoint, const std::vector<double>& load) const {
  if (utilization_index_ >= load.size()) return;
  const double reported = load[utilization_index_];
  if (!(reported >= 0)) return;  // or not a number
  const double utilization = std::min(reported, kMaxUtilization);
  endpoint.utilization += kReportWeight * (utilization - endpoint.utilization);
  endpoint.kind->utilization += kKindWeight * (utilization - endpoint.kind->utilization);
}

double LoadReportTracker::Overuse(const EndpointRecord& endpoint) const {
  const double utilization = (endpoint.utilization + endpoint.kind->utilization) / 2;
  return utilization - (1 - kReservePerRootGateway * std::sqrt(membership_.active()));
}

}  // namespace meadowyard::decision
