#include "decision/settings_validation.hpp"

#include <cmath>
#include <cstddef>

#include "meadowyard/error.hpp"

namespace meadowyard::decision {
namespace {

constexpr std::size_t kMaxClasses = 64;

void Require(bool is_valid, const char* field, const char* problem) {
  if (!is_valid) throw ConfigurationError(field, problem);
}

void RequireNotNegative(double value, const char* field) {
  Require(std::isfinite(value) && value >= 0, field, "must not be negative");
}

void RequirePositive(double value, const char* field) {
  Require(std::isfinite(value) && value > 0, field, "must be above 0");
}

void RequireAtLeastOne(double value, const char* field) {
  Require(std::isfinite(value) && value >= 1, field, "must be at least 1");
}

void ValidateClass(const TrafficClassSettings& settings) {
  RequirePositive(settings.deadline, "classes.deadline");
  RequirePositive(settings.latency_objective, "classes.latency_objective");
  RequireNotNegative(settings.priority_weight, "classes.priority_weight");
  RequireNotNegative(settings.late_weight, "classes.late_weight");
  RequireNotNegative(settings.dedup_window, "classes.dedup_window");
}

void ValidateZoneRouting(const ZoneRoutingSettings& settings) {
  RequireAtLeastOne(settings.overprovisioning, "zone_routing.overprovisioning");
  Require(settings.panic_threshold >= 0 && settings.panic_threshold <= 1, "zone_routing.panic_threshold",
          "must be in [0, 1]");
  RequireNotNegative(settings.max_overflow, "zone_routing.max_overflow");
}

}  // namespace

void ValidateSettings(const Settings& settings) {
  Require(!settings.classes.empty(), "classes", "there must be at least one");
  Require(settings.classes.size() <= kMaxClasses, "classes", "must have at most 64 entries");
  RequireAtLeastOne(settings.gateway_count, "gateway_count");
  RequireAtLeastOne(settings.max_attempts, "max_attempts");
  const double fraction = settings.slow_start_fraction;
  Require(std::isfinite(fraction) && fraction > 0 && fraction <= 1, "slow_start_fraction",
          "must be in (0, 1]");
  RequireNotNegative(settings.slow_start_duration, "slow_start_duration");
  RequirePositive(settings.overload_multiple, "overload_multiple");
  RequireNotNegative(settings.subset_size, "subset_size");
  ValidateZoneRouting(settings.zone_routing);
  RequireAtLeastOne(settings.streams_per_connection, "streams_per_connection");
  RequirePositive(settings.max_poll_interval, "max_poll_interval");
  RequireNotNegative(settings.max_retry_after, "max_retry_after");
  for (const TrafficClassSettings& each : settings.classes) ValidateClass(each);
  for (const TenantSettings& each : settings.tenants) {
    RequireNotNegative(each.quota_per_s, "tenants.quota_per_s");
  }
}

double TotalPriorityWeight(const Settings& settings) {
  double total = 0;
  for (const TrafficClassSettings& each : settings.classes) total += each.priority_weight;
  return total;
}

}  // namespace meadowyard::decision
