#include "decision/traffic_class_table.hpp"

#include <algorithm>
#include <utility>

namespace meadowyard::decision {
namespace {

constexpr double kClassLatencyWeight = 0.01;  // of a new sample in a class's smoothed latency
// How long requests for a class are still accepted after it was changed or removed, in ms.
constexpr Millis kAcceptanceAfterChange = 1500;

// Whether a request that declares `request_idempotency` may use a class with `class_idempotency`. An
// idempotency key does no harm in a non-idempotent class, which doesn't need it.
bool IsCompatible(Idempotency request_idempotency, Idempotency class_idempotency) {
  if (request_idempotency == class_idempotency) return true;
  return request_idempotency == Idempotency::kIdempotencyKey &&
         class_idempotency == Idempotency::kNonIdempotent;
}

}  // namespace

void TrafficClassTable::Configure(const std::vector<TrafficClassSettings>& classes, double total_weight,
                                  Millis now) {
  const Millis last_accepted = now + kAcceptanceAfterChange;
  for (TrafficClass& entry : classes_) entry.accepts_until = std::min(entry.accepts_until, last_accepted);
  for (const TrafficClassSettings& settings : classes) {
    const TrafficClass* const previous = Find(settings.name, std::nullopt, now);
    const TrafficClass old_entry = previous != nullptr ? *previous : TrafficClass();
    const bool is_unchanged =
        previous != nullptr && previous->settings == settings && previous->accepts_until == last_accepted;
    TrafficClass& entry = is_unchanged ? classes_[IndexOf(*previous)] : AddEntry(now);
    entry.settings = settings;
    entry.accepts_until = kForever;
    entry.weight = total_weight > 0 ? settings.priority_weight / total_weight
                                    : 1.0 / static_cast<double>(classes.size());
    entry.latency = old_entry.latency;
    entry.samples = old_entry.samples;
  }
}

// Reuses the entry of a class that accepts no requests any more and has none open, or appends a new entry.
TrafficClass& TrafficClassTable::AddEntry(Millis now) {
  for (TrafficClass& entry : classes_) {
    if (entry.open_requests > 0 || now < entry.accepts_until) continue;
    entry = TrafficClass();
    return entry;
  }
  return classes_.emplace_back();
}

TrafficClass* TrafficClassTable::Find(const std::string& name, const std::optional<Idempotency>& idempotency,
                                      Millis now) {
  const TrafficClass* const found = std::as_const(*this).Find(name, idempotency, now);
  return found == nullptr ? nullptr : &classes_[IndexOf(*found)];
}

const TrafficClass* TrafficClassTable::Find(const std::string& name,
                                            const std::optional<Idempotency>& idempotency, Millis now) const {
  const TrafficClass* newest = nullptr;
  for (const TrafficClass& entry : classes_) {
    if (entry.settings.name != name || now >= entry.accepts_until) continue;
    if (idempotency && !IsCompatible(*idempotency, entry.settings.idempotency)) continue;
    if (newest == nullptr || entry.accepts_until > newest->accepts_until) newest = &entry;
  }
  return newest;
}

std::size_t TrafficClassTable::IndexOf(const TrafficClass& traffic_class) const {
  return static_cast<std::size_t>(&traffic_class - classes_.data());
}

void TrafficClassTable::LearnLatency(TrafficClass& traffic_class, Millis latency) {
  ++traffic_class.samples;
  traffic_class.latency +=
      std::max(kClassLatencyWeight, 1.0 / traffic_class.samples) * (latency - traffic_class.latency);
  ++samples_;
  mean_latency_ += std::max(kClassLatencyWeight, 1.0 / samples_) * (latency - mean_latency_);
}

double TrafficClassTable::RelativeLatency(std::size_t index) const {
  const double latency = classes_[index].latency;
  return latency > 0 && mean_latency_ > 0 ? latency / mean_latency_ : 1;
}

void TrafficClassTable::Save(LearnedState& state) const {
  for (const TrafficClass& entry : classes_) {
    state.classes.push_back({.name = entry.settings.name,
                             .latency = entry.latency,
                             .observed_time_budget = entry.observed_time_budget,
                             .samples = entry.samples});
  }
  state.mean_latency = mean_latency_;
  state.samples = samples_;
}

void TrafficClassTable::Restore(const LearnedState& state, Millis now) {
  for (const LearnedState::OfClass& learned : state.classes) {
    TrafficClass* const entry = Find(learned.name, std::nullopt, now);
    if (entry == nullptr) continue;
    entry->latency = learned.latency;
    entry->observed_time_budget = learned.observed_time_budget;
    entry->samples = learned.samples;
  }
  mean_latency_ = state.mean_latency;
  samples_ = state.samples;
}

}  // namespace meadowyard::decision
