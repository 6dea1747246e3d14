#include "app/decision_log.hpp"

#include <string>

#include "log/log.hpp"

namespace meadowyard::app {
namespace {

const char* EventName(Log::Event event) {
  switch (event) {
    case Log::Event::kEndpointEjected: return "endpoint_ejected";
    case Log::Event::kEndpointRestored: return "endpoint_restored";
    case Log::Event::kMaintenanceStarted: return "maintenance_started";
    case Log::Event::kMaintenanceEnded: return "maintenance_ended";
    case Log::Event::kDispatchRateReduced: return "dispatch_rate_reduced";
  }
  return "decision";
}

}  // namespace

void LogDecision(const Log& entry) {
  log::Fields fields;
  if (!entry.endpoint.empty()) fields.emplace_back("endpoint", entry.endpoint);
  if (entry.event == Log::Event::kDispatchRateReduced) {
    fields.emplace_back("rate_per_s", std::to_string(entry.rate_per_s));
  }
  log::Write(log::Level::kInfo, EventName(entry.event), fields);
}

}  // namespace meadowyard::app
