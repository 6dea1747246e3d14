// The check of a Policy's settings: what can't work is said at once, by the field's name.
#include <cmath>
#include <stdexcept>

#include "decision/state.hpp"

namespace meadowyard {
namespace {

void Check(bool good, const char* what) {
  if (!good) throw std::invalid_argument(what);
}

bool NotNegative(double value) { return std::isfinite(value) && value >= 0; }
bool Positive(double value) { return std::isfinite(value) && value > 0; }

}  // namespace

double Validate(const Settings& s) {
  Check(!s.classes.empty(), "classes: there is none");
  Check(s.classes.size() <= 64, "classes: more than 64");
  Check(s.gateway_count >= 1, "gateways: must be at least 1");
  Check(s.max_attempts >= 1, "max_attempts: must be at least 1");
  Check(Positive(s.slow_start_fraction) && s.slow_start_fraction <= 1, "cold_from: must be in (0, 1]");
  Check(NotNegative(s.slow_start_duration), "cold_for: must not be negative");
  Check(Positive(s.overload_multiple), "fall_multiple: must be above 0");
  Check(s.subset_size >= 0, "subset: must not be negative");
  Check(std::isfinite(s.zone_routing.overprovisioning) && s.zone_routing.overprovisioning >= 1,
        "locality.spare: must be at least 1");
  Check(s.zone_routing.panic_threshold >= 0 && s.zone_routing.panic_threshold <= 1,
        "locality.panic: must be in [0, 1]");
  Check(NotNegative(s.zone_routing.max_overflow), "locality.most_extra: must not be negative");
  Check(s.streams_per_connection >= 1, "streams: must be at least 1");
  Check(Positive(s.max_poll_interval), "ask_within: must be above 0");
  Check(NotNegative(s.max_retry_after), "max_retry_after: must not be negative");
  double worth = 0;
  for (const TrafficClassSettings& c : s.classes) {
    Check(Positive(c.deadline), "classes.deadline: must be above 0");
    Check(Positive(c.latency_objective), "classes.aim: must be above 0");
    Check(NotNegative(c.priority_weight), "classes.worth: must not be negative");
    Check(NotNegative(c.late_weight), "classes.late_worth: must not be negative");
    Check(NotNegative(c.dedup_window), "classes.repeat_window: must not be negative");
    worth += c.priority_weight;
  }
  for (const TenantSettings& t : s.tenants) {
    Check(NotNegative(t.quota_per_s), "tenants.quota_per_s: must not be negative");
  }
  return worth;
}

}  // namespace meadowyard
