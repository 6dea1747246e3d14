// The pick: the better of two ready servers by (own in-flight + 1) x smoothed latency.
#ifndef MEADOWYARD_DECISION_PICKER_HPP_
#define MEADOWYARD_DECISION_PICKER_HPP_

#include "decision/locality.hpp"

namespace meadowyard {

constexpr double kCrossing = 1.3;  // cost of a server in another zone, times its own: crossing is priced
constexpr double kPooled = 2;      // samples that the latency of a server's kind counts for

class Picker : protected Zones {
 protected:
  double Cost(const Backend& b) {
    // A few samples of a server tell little: where many share it they are shrunk toward those of its kind.
    const double pooled = sharers_ > kManySharers && b.kind->latency > 0 ? kPooled : 0;
    const double own = std::min(1.0 * b.samples, 1 / kFast), all = own + pooled;
    const double latency = (own * b.latency + pooled * b.kind->latency) / std::max(1.0, all);
    const double crossing = b.info.zone == set_.zone ? 1 : kCrossing;
    const double median = all > 0 ? 0 : Median();  // 0 too where nothing was measured yet
    return crossing * (b.in_flight + b.held + 1) * (all > 0 ? latency : median > 0 ? median : 1);
  }

  // Rule 2: a keyed request that may have run stays with the servers that drop its repeats.
  bool Allowed(const Flow& flow, const Backend& b) const {
    const TrafficClassSettings& c = classes_[flow.cls].set;
    const Attempt* first = c.idempotency == Idempotency::kIdempotencyKey ? flow.FirstRun() : nullptr;
    if (first == nullptr || first->out) return true;  // none, or it is the one that is on its way
    if (now_ - first->sent >= c.dedup_window) return false;
    const Endpoint& at = first->server->info;
    if (c.dedup_scope == DedupScope::kZone) return at.zone == b.info.zone;
    return c.dedup_scope == DedupScope::kAll || at.cell == b.info.cell;
  }

  // The better of two ready servers by (own in-flight + 1) x smoothed latency, or null.
  Backend* Pick(const Flow& flow) {
    const bool repeatable =
        classes_[flow.cls].set.idempotency == Idempotency::kIdempotent && flow.attempts.empty();
    const Backend* last = flow.attempts.empty() ? nullptr : flow.attempts.back().server;
    const std::string* const zone = ZoneFor(flow);
    Backend* trial = nullptr;
    bool trusted = false;
    candidates_.clear();
    for (auto& [id, b] : servers_) {
      // One limited to a single server goes there whatever the subset, and again.
      if (!b.up || (flow.only != 0 ? (b.hash | 1) != flow.only : !b.mine || &b == last) || !Allowed(flow, b))
        continue;
      if (flow.holds && set_.max_tunnels_per_endpoint > 0 &&
          b.held + b.in_flight >= set_.max_tunnels_per_endpoint)
        continue;
      // Suspects of the own zone are tried wherever requests go: nobody else may be there to find out.
      if (zone != nullptr && b.info.zone != *zone && !(b.suspect && b.info.zone == set_.zone)) continue;
      // A suspect returns by one trial at a time, with a request that may run again; with any where nobody is
      // trusted, for else it would never return where none may.
      if (b.suspect) {
        if (now_ >= b.next_trial && b.in_flight == 0 && WithinBudget(b)) trial = &b;
        if (repeatable && trial != nullptr) return trial;
        continue;
      }
      trusted = true;
      if (Ready(b, flow.in_share)) candidates_.push_back({0, &b});
    }
    if (candidates_.empty()) return trusted || !flow.attempts.empty() ? nullptr : trial;
    // A zone that has gone fails one dial after another: the next try goes elsewhere, if there is another.
    if (last != nullptr && flow.attempts.back().unreached) {
      const auto there = std::partition(candidates_.begin(), candidates_.end(), [&](const auto& candidate) {
        return candidate.second->info.zone != last->info.zone;
      });
      if (there != candidates_.begin()) candidates_.erase(there, candidates_.end());
    }
    if (candidates_.size() > 2) {
      if (set_.key_affinity && flow.key != 0) {
        // Weighted rendezvous: lowest first; a server's coming or going moves only its own keys.
        for (auto& [rank, b] : candidates_) rank = -std::log(Fraction(flow.key ^ b->hash)) / b->info.weight;
        std::partial_sort(candidates_.begin(), candidates_.begin() + 2, candidates_.end(),
                          [](const auto& x, const auto& y) { return x.first < y.first; });
      } else {
        const std::size_t n = candidates_.size();
        std::swap(candidates_[0], candidates_[random_() % n]);
        std::swap(candidates_[1], candidates_[1 + random_() % (n - 1)]);
      }
    }
    Backend* const one = candidates_.front().second;
    Backend* const two = candidates_.size() > 1 ? candidates_[1].second : one;
    return Cost(*two) < Cost(*one) ? two : one;
  }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_PICKER_HPP_
