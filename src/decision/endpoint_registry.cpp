#include "decision/endpoint_registry.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "decision/hashing.hpp"

namespace meadowyard::decision {
namespace {

constexpr std::size_t kMaxRecentlyUnlisted = 256;  // ids kept after removal from the list; bounds memory

bool IsUsableWeight(double weight) { return weight > 0 && std::isfinite(weight); }

}  // namespace

EndpointRecord* EndpointRegistry::Find(const std::string& id) {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

const EndpointRecord* EndpointRegistry::Find(const std::string& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

bool EndpointRegistry::IsKnown(const std::string& id) const {
  const EndpointRecord* const record = Find(id);
  if (record != nullptr && record->listed) return true;
  if (in_maintenance_.contains(id)) return true;
  return std::find(recently_unlisted_.begin(), recently_unlisted_.end(), id) != recently_unlisted_.end();
}

double EndpointRegistry::MedianLatency() const {
  std::vector<double> latencies;
  for (const auto& [id, record] : records_) {
    if (record.up && record.latency.smoothed > 0) latencies.push_back(record.latency.smoothed);
  }
  if (latencies.empty()) return 0;
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

void EndpointRegistry::Apply(const EndpointUpdate& update, Millis now, const RestartHandler& on_restart) {
  if (update.kind == EndpointUpdate::Kind::kSnapshot) {
    for (auto& [id, record] : records_) {
      record.listed = false;
      record.up = false;
    }
  }
  for (const Endpoint& endpoint : update.endpoints) ApplyEndpoint(endpoint, now, on_restart);
  RemoveUnlisted();
  UpdateUpCount();
}

void EndpointRegistry::ApplyEndpoint(const Endpoint& endpoint, Millis now, const RestartHandler& on_restart) {
  const auto [entry, added] = records_.try_emplace(endpoint.id);
  EndpointRecord& record = entry->second;
  const bool restarted = added || endpoint.started_at > record.info.started_at;
  record.info = endpoint;
  record.kind = &kinds_[endpoint.kind];
  record.hash = HashId(endpoint.id);
  record.listed = endpoint.state != EndpointState::kRemoved;
  record.up = endpoint.state == EndpointState::kUp && !in_maintenance_.contains(endpoint.id);
  if (!IsUsableWeight(record.info.weight)) record.info.weight = 1;
  if (!restarted) return;
  const bool start_is_known = endpoint.started_at > 0;  // 0: started long ago
  on_restart(record, start_is_known ? std::min(endpoint.started_at, now) : kNever);
  if (start_is_known) record.slow_start.start_confirmed = true;
}

void EndpointRegistry::RemoveUnlisted() {
  for (auto entry = records_.begin(); entry != records_.end();) {
    if (entry->second.listed || entry->second.references > 0) {
      ++entry;
      continue;
    }
    recently_unlisted_.push_back(entry->first);
    if (recently_unlisted_.size() > kMaxRecentlyUnlisted) recently_unlisted_.pop_front();
    entry = records_.erase(entry);
  }
}

void EndpointRegistry::UpdateUpCount() {
  up_count_ = 0;
  for (const auto& [id, record] : records_) {
    if (record.up) ++up_count_;
  }
}

bool EndpointRegistry::StartMaintenance(const std::string& id, bool even_if_unknown) {
  if (!even_if_unknown && !IsKnown(id)) return false;
  const bool started = in_maintenance_.insert(id).second;
  if (!started) return false;
  if (EndpointRecord* const record = Find(id)) record->up = false;
  UpdateUpCount();
  return true;
}

bool EndpointRegistry::EndMaintenance(const std::string& id, Millis now, const RestartHandler& on_restart) {
  if (in_maintenance_.erase(id) == 0) return false;
  if (EndpointRecord* const record = Find(id)) {
    on_restart(*record, now);  // may just have been restarted, even if the list does not show it yet
    record->up = record->listed && record->info.state == EndpointState::kUp;
  }
  UpdateUpCount();
  return true;
}

void EndpointRegistry::Save(LearnedState& state) const {
  for (const auto& [name, kind] : kinds_) {
    state.kinds.push_back({.name = name,
                           .latency = kind.latency.smoothed,
                           .average_latency = kind.latency.average,
                           .uncongested_latency = kind.latency.uncongested,
                           .samples = kind.latency.samples});
  }
  state.in_maintenance.assign(in_maintenance_.begin(), in_maintenance_.end());
}

void EndpointRegistry::Restore(const LearnedState& state) {
  for (const LearnedState::OfKind& learned : state.kinds) {
    kinds_[learned.name].latency = {.smoothed = learned.latency,
                                    .average = learned.average_latency,
                                    .uncongested = learned.uncongested_latency,
                                    .samples = learned.samples};
  }
  for (const std::string& id : state.in_maintenance) {
    in_maintenance_.insert(id);
    if (EndpointRecord* const record = Find(id)) record->up = false;
  }
  UpdateUpCount();
}

}  // namespace meadowyard::decision
