#include "decision/traffic_class_table.hpp"

#include <algorithm>
#include <utility>

namespace meadowyard::decision {
namespace {

constexpr double kLatencyWeight = 0.01;        // of a new sample in a class's latency
constexpr Millis kAcceptedAfterChange = 1500;  // ms that a class is accepted after it was changed or removed

// An idempotency key does no harm to a class that needs none.
bool Fits(Idempotency requested, Idempotency offered) {
  if (requested == offered) return true;
  return requested == Idempotency::kIdempotencyKey && offered == Idempotency::kNonIdempotent;
}

}  // namespace

void TrafficClassTable::Configure(const std::vector<TrafficClassSettings>& classes, double total_weight,
                                  Millis now) {
  const Millis last_accepted = now + kAcceptedAfterChange;
  for (TrafficClass& entry : classes_) entry.accepts_until = std::min(entry.accepts_until, last_accepted);
  for (const TrafficClassSettings& settings : classes) {
    const TrafficClass* const known = Find(settings.name, std::nullopt, now);
    const TrafficClass old = known != nullptr ? *known : TrafficClass();
    const bool is_unchanged =
        known != nullptr && known->settings == settings && known->accepts_until == last_accepted;
    TrafficClass& entry = is_unchanged ? classes_[IndexOf(*known)] : AddEntry(now);
    entry.settings = settings;
    entry.accepts_until = kForever;
    entry.weight = total_weight > 0 ? settings.priority_weight / total_weight
                                    : 1.0 / static_cast<double>(classes.size());
    entry.latency = old.latency;
    entry.samples = old.samples;
  }
}

// Takes the place of a class that no request needs any more, if there is one.
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
    if (idempotency && !Fits(*idempotency, entry.settings.idempotency)) continue;
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
      std::max(kLatencyWeight, 1.0 / traffic_class.samples) * (latency - traffic_class.latency);
  ++samples_;
  mean_latency_ += std::max(kLatencyWeight, 1.0 / samples_) * (latency - mean_latency_);
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
