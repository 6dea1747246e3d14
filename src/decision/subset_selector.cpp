#include "decision/subset_selector.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include "decision/subset_assignment.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard::decision {
namespace {

// Above this number of gateways per endpoint no gateway keeps a concurrency limit for an endpoint: an eighth
// of an endpoint's requests is too few samples to assess it.
constexpr double kMaxGatewaysPerEndpointForLimits = 8;
// Fewer gateways than this each use all endpoints, unless connections are multiplexed.
constexpr double kTargetGatewaysPerEndpoint = 40;
constexpr double kMinSubsetSize = 6;  // endpoints; several of them may fail at the same time
// Factor on both values above if connections are multiplexed. Such connections stay open, and endpoints with
// full connection tables lose capacity.
constexpr double kMultiplexedSubsetFactor = 0.5;
constexpr int kDroppedHashBits = 11;  // a double represents the remaining 53 bits exactly

struct RingEntry {
  double position = 0;
  EndpointRecord* endpoint = nullptr;
};

// Returns the endpoints in ring order with the endpoints of each kind spaced evenly from 0 to 1. The order
// is the same at all gateways.
std::vector<RingEntry> SpaceKindsEvenly(std::vector<RingEntry> ring) {
  std::map<const EndpointKind*, double> kind_endpoint_count;
  std::map<const EndpointKind*, double> kind_next_index;
  for (const RingEntry& entry : ring) kind_endpoint_count[entry.endpoint->kind] += 1;
  std::sort(ring.begin(), ring.end(), [](const RingEntry& left, const RingEntry& right) {
    return std::pair(left.position, left.endpoint) < std::pair(right.position, right.endpoint);
  });
  for (RingEntry& entry : ring) {
    const EndpointKind* const kind = entry.endpoint->kind;
    entry.position = kind_next_index[kind] / kind_endpoint_count[kind];
    kind_next_index[kind] += 1;
  }
  std::sort(ring.begin(), ring.end(), [](const RingEntry& left, const RingEntry& right) {
    return std::pair(left.position, left.endpoint->hash) < std::pair(right.position, right.endpoint->hash);
  });
  return ring;
}

std::uint64_t RankHash(const EndpointRecord& endpoint, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&endpoint.hash, sizeof endpoint.hash, seed);
}

}  // namespace

bool SubsetSelector::IsHeavilyShared() const {
  return gateways_per_endpoint_ > kMaxGatewaysPerEndpointForLimits;
}

void SubsetSelector::Select() {
  if (membership_.knows_peers() && settings_.subset_size > 0) {
    SelectByRank();
  } else {
    SelectByRing();
  }
}

std::vector<EndpointRecord*> SubsetSelector::BuildRing() {
  std::vector<RingEntry> entries;
  for (auto& [id, record] : registry_.records()) {
    record.in_subset = false;
    if (record.up) entries.push_back({static_cast<double>(record.hash >> kDroppedHashBits), &record});
  }
  std::vector<EndpointRecord*> ring;
  for (const RingEntry& entry : SpaceKindsEvenly(std::move(entries))) ring.push_back(entry.endpoint);
  return ring;
}

void SubsetSelector::SelectByRing() {
  const std::vector<EndpointRecord*> ring = BuildRing();
  const auto endpoints = static_cast<double>(ring.size());
  const double multiplexing_factor = settings_.streams_per_connection > 1 ? kMultiplexedSubsetFactor : 1;
  const double target_size =
      multiplexing_factor *
      std::max(kMinSubsetSize, kTargetGatewaysPerEndpoint * endpoints / settings_.gateway_count);
  gateways_per_endpoint_ =
      std::max(1.0, settings_.gateway_count * std::min(1.0, target_size / std::max(1.0, endpoints)));
  const auto start = static_cast<std::size_t>(ring_position_ * endpoints);
  double usable_count = 0;
  for (std::size_t i = 0; i < ring.size() && usable_count < target_size; ++i) {
    EndpointRecord& endpoint = *ring[(i + start) % ring.size()];
    endpoint.in_subset = true;
    if (!endpoint.outlier.ejected) usable_count += 1;
  }
}

// Each gateway uses the endpoints that are assigned to its rank, plus one replacement for each ejected
// endpoint. Replacements are chosen by a hash with the gateway's own rank, so that an ejection changes no
// other subset.
void SubsetSelector::SelectByRank() {
  // Each gateway gets its share of the endpoints of each kind; with zone routing, of each kind
  // in each zone.
  std::map<std::pair<std::string, std::string>, std::vector<EndpointRecord*>> by_group;
  for (auto& [id, record] : registry_.records()) {
    record.in_subset = false;
    const std::string zone = settings_.zone_routing.enabled ? record.info.zone : std::string();
    if (record.up) by_group[{record.info.kind, zone}].push_back(&record);
  }
  std::vector<EndpointRecord*> endpoints;
  std::vector<int> groups;
  int group = 0;
  for (const auto& [key, members] : by_group) {
    endpoints.insert(endpoints.end(), members.begin(), members.end());
    groups.insert(groups.end(), members.size(), group);
    ++group;
  }
  AssignByRank(endpoints, groups, AssignedSubsetSize(endpoints.size()));
  int ejected = 0;
  for (const std::string& id : assigned_ids_) {
    EndpointRecord& endpoint = *registry_.Find(id);
    endpoint.in_subset = true;
    if (endpoint.outlier.ejected) ++ejected;
  }
  ReplaceEjected(endpoints, ejected);
}

// Ensures that at least two gateways use each endpoint. With a single gateway per endpoint, the loss of a
// gateway would leave its endpoints idle and overload the others.
std::size_t SubsetSelector::AssignedSubsetSize(std::size_t endpoints) const {
  const auto configured_count = static_cast<std::size_t>(membership_.configured_count());
  const std::size_t min_size = (2 * endpoints + configured_count - 1) / configured_count;
  return std::max(min_size, static_cast<std::size_t>(settings_.subset_size));
}

void SubsetSelector::AssignByRank(const std::vector<EndpointRecord*>& endpoints,
                                  const std::vector<int>& groups, std::size_t size) {
  const auto endpoint_count = static_cast<double>(endpoints.size());
  const auto assigned_count = static_cast<double>(std::min(size, endpoints.size()));
  gateways_per_endpoint_ =
      std::max(1.0, membership_.active() * assigned_count / std::max<double>(1, endpoint_count));
  const std::uint64_t fingerprint = Fingerprint(endpoints);
  if (std::exchange(assigned_fingerprint_, fingerprint) == fingerprint) return;
  std::vector<SubsetAssignment::Candidate> candidates;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    candidates.push_back({.group = groups[i], .hash = endpoints[i]->hash});
  }
  SubsetAssignment assignment(candidates, size);
  for (int rank = 0; rank < membership_.rank(); ++rank) assignment.ChooseNextSubset();
  assigned_ids_.clear();
  for (const std::size_t index : assignment.ChooseNextSubset())
    assigned_ids_.push_back(endpoints[index]->info.id);
}

std::uint64_t SubsetSelector::Fingerprint(const std::vector<EndpointRecord*>& endpoints) const {
  constexpr std::uint64_t kConfiguredCountLimit = 1000;  // packs the subset size and the count into one seed
  const int rank = membership_.rank();
  const auto seed_of_sizes = static_cast<std::uint64_t>(settings_.subset_size) * kConfiguredCountLimit +
                             static_cast<std::uint64_t>(membership_.configured_count());
  std::uint64_t fingerprint = XXH3_64bits_withSeed(&rank, sizeof rank, seed_of_sizes);
  for (const EndpointRecord* const endpoint : endpoints) fingerprint = RankHash(*endpoint, fingerprint);
  return fingerprint;
}

void SubsetSelector::ReplaceEjected(const std::vector<EndpointRecord*>& endpoints, int replacement_count) {
  const auto rank = static_cast<std::uint64_t>(membership_.rank());
  for (; replacement_count > 0; --replacement_count) {
    EndpointRecord* replacement = nullptr;
    std::uint64_t lowest_hash = 0;
    for (EndpointRecord* const endpoint : endpoints) {
      if (endpoint->in_subset || endpoint->outlier.ejected) continue;
      const std::uint64_t hash = RankHash(*endpoint, rank);
      if (replacement != nullptr && hash >= lowest_hash) continue;
      replacement = endpoint;
      lowest_hash = hash;
    }
    if (replacement == nullptr) return;
    replacement->in_subset = true;
  }
}

}  // namespace meadowyard::decision
