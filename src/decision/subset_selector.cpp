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

// Gateways sharing an endpoint above which none keeps a limit for it: an eighth of an endpoint's requests is
// too few to assess it alone.
constexpr double kMaxGatewaysWithLimits = 8;
constexpr double kGatewaysPerEndpoint = 40;  // target, where there are more gateways than that
constexpr double kMinSubsetSize = 6;         // some endpoints may fail together
constexpr double kMultiplexedShare = 0.5;    // of both where connections stay open: full tables cost capacity
constexpr int kHashBitsDropped = 11;         // the rest fits a double exactly

// An endpoint on the ring.
struct RingEntry {
  double position = 0;
  EndpointRecord* endpoint = nullptr;
};

// The endpoints that are up, by an order that all gateways share: those of each kind lie evenly.
std::vector<RingEntry> SpreadKinds(std::vector<RingEntry> ring) {
  std::map<const EndpointKind*, double> kind_size;
  std::map<const EndpointKind*, double> kind_rank;
  for (const RingEntry& entry : ring) kind_size[entry.endpoint->kind] += 1;
  std::sort(ring.begin(), ring.end(), [](const RingEntry& left, const RingEntry& right) {
    return std::pair(left.position, left.endpoint) < std::pair(right.position, right.endpoint);
  });
  for (RingEntry& entry : ring) {
    const EndpointKind* const kind = entry.endpoint->kind;
    entry.position = kind_rank[kind] / kind_size[kind];
    kind_rank[kind] += 1;
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

bool SubsetSelector::IsHeavilyShared() const { return gateways_per_endpoint_ > kMaxGatewaysWithLimits; }

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
    if (record.up) entries.push_back({static_cast<double>(record.hash >> kHashBitsDropped), &record});
  }
  std::vector<EndpointRecord*> ring;
  for (const RingEntry& entry : SpreadKinds(std::move(entries))) ring.push_back(entry.endpoint);
  return ring;
}

void SubsetSelector::SelectByRing() {
  const std::vector<EndpointRecord*> ring = BuildRing();
  const auto endpoints = static_cast<double>(ring.size());
  const double share = settings_.streams_per_connection > 1 ? kMultiplexedShare : 1;
  const double wanted =
      share * std::max(kMinSubsetSize, kGatewaysPerEndpoint * endpoints / settings_.gateway_count);
  gateways_per_endpoint_ =
      std::max(1.0, settings_.gateway_count * std::min(1.0, wanted / std::max(1.0, endpoints)));
  const auto start = static_cast<std::size_t>(ring_position_ * endpoints);
  double usable = 0;
  for (std::size_t i = 0; i < ring.size() && usable < wanted; ++i) {
    EndpointRecord& endpoint = *ring[(i + start) % ring.size()];
    endpoint.in_subset = true;
    if (!endpoint.outlier.ejected) usable += 1;
  }
}

// Each gateway has the endpoints of its rank among those present, and one more for each that is ejected, by
// its own ranking, so that no other subset changes.
void SubsetSelector::SelectByRank() {
  // Each gateway has its share of each kind; where requests are routed by zone, of each kind in each zone.
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
  AssignByRank(endpoints, groups, AssignedSize(endpoints.size()));
  int ejected = 0;
  for (const std::string& id : assigned_ids_) {
    EndpointRecord& endpoint = *registry_.Find(id);
    endpoint.in_subset = true;
    if (endpoint.outlier.ejected) ++ejected;
  }
  ReplaceEjected(endpoints, ejected);
}

// Each endpoint has two gateways at the least, or one that goes would leave endpoints idle and others
// crowded.
std::size_t SubsetSelector::AssignedSize(std::size_t endpoints) const {
  const auto configured = static_cast<std::size_t>(membership_.configured());
  const std::size_t two_each = (2 * endpoints + configured - 1) / configured;
  return std::max(two_each, static_cast<std::size_t>(settings_.subset_size));
}

void SubsetSelector::AssignByRank(const std::vector<EndpointRecord*>& endpoints,
                                  const std::vector<int>& groups, std::size_t size) {
  const auto all = static_cast<double>(endpoints.size());
  const auto used = static_cast<double>(std::min(size, endpoints.size()));
  gateways_per_endpoint_ = std::max(1.0, membership_.active() * used / std::max<double>(1, all));
  const std::uint64_t fingerprint = Fingerprint(endpoints);
  if (std::exchange(assigned_fingerprint_, fingerprint) == fingerprint) return;
  std::vector<SubsetAssignment::Candidate> candidates;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    candidates.push_back({.group = groups[i], .hash = endpoints[i]->hash});
  }
  SubsetAssignment assignment(candidates, size);
  for (int rank = 0; rank < membership_.rank(); ++rank) assignment.Next();
  assigned_ids_.clear();
  for (const std::size_t index : assignment.Next()) assigned_ids_.push_back(endpoints[index]->info.id);
}

std::uint64_t SubsetSelector::Fingerprint(const std::vector<EndpointRecord*>& endpoints) const {
  constexpr std::uint64_t kMaxConfigured = 1000;  // keeps the two numbers apart
  const int rank = membership_.rank();
  const auto sizes = static_cast<std::uint64_t>(settings_.subset_size) * kMaxConfigured +
                     static_cast<std::uint64_t>(membership_.configured());
  std::uint64_t fingerprint = XXH3_64bits_withSeed(&rank, sizeof rank, sizes);
  for (const EndpointRecord* const endpoint : endpoints) fingerprint = RankHash(*endpoint, fingerprint);
  return fingerprint;
}

void SubsetSelector::ReplaceEjected(const std::vector<EndpointRecord*>& endpoints, int replacements) {
  const auto rank = static_cast<std::uint64_t>(membership_.rank());
  for (; replacements > 0; --replacements) {
    EndpointRecord* next = nullptr;
    std::uint64_t lowest = 0;
    for (EndpointRecord* const endpoint : endpoints) {
      if (endpoint->in_subset || endpoint->outlier.ejected) continue;
      const std::uint64_t hash = RankHash(*endpoint, rank);
      if (next != nullptr && hash >= lowest) continue;
      next = endpoint;
      lowest = hash;
    }
    if (next == nullptr) return;
    next->in_subset = true;
  }
}

}  // namespace meadowyard::decision
