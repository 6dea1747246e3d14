// The servers as they stand: how warm each surely is, and which of them this gateway uses.
#ifndef MEADOWYARD_DECISION_FLEET_HPP_
#define MEADOWYARD_DECISION_FLEET_HPP_

#include "decision/state.hpp"
#include "decision/subset.hpp"

namespace meadowyard {

constexpr double kManySharers = 8;   // gateways sharing a server beyond which none keeps a limit for it
constexpr double kSharers = 40;      // gateways that use a server, where there are more than that
constexpr double kLeastServers = 6;  // servers that a gateway uses at the least: some may fail together
constexpr double kHeldPart = 0.5;    // part of both where connections stay open: full tables cost capacity

class Fleet : protected State {
 protected:
  void Emit(Action action) { out_->push_back(std::move(action)); }

  // A log line, at most a few a second: trouble must not flood the gateway's log.
  void Say(Log entry) {
    if (now_ < quiet_until_) return;
    quiet_until_ = now_ + 200;
    Emit(std::move(entry));
  }

  bool Many() const { return sharers_ > kManySharers; }

  // The share of its capacity that a started server surely has by now.
  double Warmth(const Backend& b) const {
    const Millis age = now_ - b.cold_since;
    if (age >= set_.slow_start_duration) return 1;
    return set_.slow_start_fraction +
           (1 - set_.slow_start_fraction) * std::max(0.0, age) / set_.slow_start_duration;
  }

  // Subsetting: where many gateways share the servers each keeps to a few, for a few requests a second over
  // all tell nothing of any, and connections fill the servers' tables. Gateways start by the golden ratio of
  // their index: any run of them covers the ring, on which kinds lie evenly. The next comes in for one that
  // is ejected.
  void ChooseSubset() {
    if (shared_ && set_.subset_size > 0) return ChooseShared();
    OrderRing();
    const double all = static_cast<double>(ring_.size());
    const double part = set_.streams_per_connection > 1 ? kHeldPart : 1;
    const double wanted = part * std::max(kLeastServers, kSharers * all / set_.gateway_count);
    sharers_ = std::max(1.0, set_.gateway_count * std::min(1.0, wanted / std::max(1.0, all)));
    double chosen = 0;
    for (std::size_t i = 0; i < ring_.size() && chosen < wanted; ++i) {
      Backend& b = *ring_[(i + static_cast<std::size_t>(place_ * all)) % ring_.size()].second;
      b.mine = true;
      chosen += !b.suspect;
    }
  }

  // The same where gateways know of each other: each has the servers of its place among those present, and
  // one more for each that is ejected, by its own rank, so that nobody else's change.
  void ChooseShared() {
    std::vector<Subsets::Item> items;
    std::vector<Backend*> all;
    // Each gateway has its part of each kind; where requests go by zones, of each kind in each of them.
    std::map<std::pair<std::string, std::string>, std::vector<Backend*>> groups;
    for (auto& [id, b] : servers_) {
      b.mine = false;
      if (b.up) groups[{b.info.kind, set_.zone_routing.enabled ? b.info.zone : std::string()}].push_back(&b);
    }
    int group = 0;
    std::uint64_t of = XXH3_64bits_withSeed(&slot_, sizeof slot_,
                                            static_cast<std::uint64_t>(set_.subset_size * 1000 + listed_));
    for (const auto& [of_group, members] : groups) {
      for (Backend* const b : members) {
        items.push_back({group, b->hash});
        all.push_back(b);
        of = XXH3_64bits_withSeed(&b->hash, sizeof b->hash, of);
      }
      ++group;
    }
    // Each server has two gateways at the least, or one that goes would leave servers idle and others
    // crowded.
    const std::size_t two =
        (2 * all.size() + static_cast<std::size_t>(listed_) - 1) / static_cast<std::size_t>(listed_);
    const std::size_t asked = std::max(two, static_cast<std::size_t>(set_.subset_size));
    const double size = static_cast<double>(std::min(asked, all.size()));
    sharers_ = std::max(1.0, Gateways() * size / std::max<double>(1, static_cast<double>(all.size())));
    if (std::exchange(subset_of_, of) != of) {
      Subsets subsets(items, asked);
      for (int place = 0; place < slot_; ++place) subsets.Next();
      subset_.clear();
      for (const std::size_t i : subsets.Next()) subset_.push_back(all[i]->info.id);
    }
    double wanted = 0;
    for (const std::string& id : subset_) {
      Backend& b = servers_.at(id);
      b.mine = true;
      wanted += b.suspect;
    }
    while (wanted-- > 0) {
      Backend* next = nullptr;
      std::uint64_t least = 0;
      for (Backend* const b : all) {
        const std::uint64_t rank =
            XXH3_64bits_withSeed(&b->hash, sizeof b->hash, static_cast<std::uint64_t>(slot_));
        if (!b->mine && !b->suspect && (next == nullptr || rank < least)) next = b, least = rank;
      }
      if (next == nullptr) return;
      next->mine = true;
    }
  }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_FLEET_HPP_
