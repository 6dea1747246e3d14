// Subsets: which servers each of several gateways uses. Rendezvous hashing with bounded load: in the order of
// their places the gateways choose the servers that the fewest before them have, and among those the ones
// that a hash of place and server ranks first. All see the same choice without asking each other; a gateway
// that joins at the end moves nobody, and one that takes over a place takes over its servers. Counting begins
// anew with each round of places in which every server is due about once: so a server that comes or goes
// moves few choices, not those of all later places. Who is due once more than others in a round turns by the
// golden ratio. Costs servers x places.
#ifndef MEADOWYARD_DECISION_SUBSET_HPP_
#define MEADOWYARD_DECISION_SUBSET_HPP_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard {

class Subsets {
 public:
  struct Item {
    int group = 0;           // servers of a kind: every gateway gets its part of each
    std::uint64_t hash = 0;  // of its id
    double at = 0;           // among its group, from 0 to 1
    int chosen = 0;          // in this round, less what it is due beyond others
    std::uint64_t rank = 0;  // for the gateway that chooses
    std::size_t number = 0;  // as it was given
  };

  // `size` servers for each gateway; all of them if there are fewer.
  Subsets(std::vector<Item> servers, std::size_t size)
      : servers_(std::move(servers)),
        part_(std::min(
            1.0, static_cast<double>(size) / std::max<double>(1, static_cast<double>(servers_.size())))),
        round_(part_ > 0 ? static_cast<std::uint64_t>(std::exp2(std::max(0.0, std::round(-std::log2(part_)))))
                         : 1) {
    for (std::size_t i = 0; i < servers_.size(); ++i) servers_[i].number = i;
    std::sort(servers_.begin(), servers_.end(), [](const Item& x, const Item& y) {
      return x.group != y.group ? x.group < y.group : x.hash < y.hash;
    });
    EachGroup([](Iterator first, Iterator last) {
      double rank = 0.5;
      for (auto i = first; i != last; ++i) i->at = rank++ / static_cast<double>(last - first);
    });
  }

  // The choice of the next place (0, 1, 2 ...), as numbers of servers.
  const std::vector<std::size_t>& Next() {
    chosen_.clear();
    if (place_ % round_ == 0) BeginRound();
    // Each group's part of the size is a fraction; the golden ratio evens out who rounds up.
    const double turn = Turn(place_);
    std::size_t taken = 0;
    EachGroup([&](Iterator first, Iterator last) {
      const double upto = part_ * static_cast<double>(last - servers_.begin()) + turn;
      const auto wanted = static_cast<std::size_t>(upto + 1e-9) - taken;
      taken += wanted;
      Choose(first, last, std::min(wanted, static_cast<std::size_t>(last - first)));
    });
    ++place_;
    return chosen_;
  }

 private:
  using Iterator = std::vector<Item>::iterator;

  static double Turn(std::uint64_t n) { return std::fmod(static_cast<double>(n) * 0.6180339887498949, 1.0); }

  template <typename Each>
  void EachGroup(Each each) {
    for (auto first = servers_.begin(); first != servers_.end();) {
      const auto last =
          std::find_if(first, servers_.end(), [&](const Item& i) { return i.group != first->group; });
      each(first, last);
      first = last;
    }
  }

  void BeginRound() {
    const double due = part_ * static_cast<double>(round_), more = due - std::floor(due);
    const double from = Turn(place_ / round_);
    for (Item& i : servers_) i.chosen = std::fmod(i.at - from + 1, 1.0) < more ? -1 : 0;
  }

  void Choose(Iterator first, Iterator last, std::size_t wanted) {
    for (auto i = first; i != last; ++i) i->rank = XXH3_64bits_withSeed(&i->hash, sizeof i->hash, place_);
    const auto before = [](const Item& x, const Item& y) {
      if (x.chosen != y.chosen) return x.chosen < y.chosen;
      return x.rank != y.rank ? x.rank < y.rank : x.hash < y.hash;
    };
    const auto end = first + static_cast<std::ptrdiff_t>(wanted);
    if (end != last) std::nth_element(first, end, last, before);
    for (auto i = first; i != end; ++i) {
      ++i->chosen;
      chosen_.push_back(i->number);
    }
  }

  std::vector<Item> servers_;
  const double part_;          // of all servers that each gateway uses
  const std::uint64_t round_;  // places
  std::uint64_t place_ = 0;
  std::vector<std::size_t> chosen_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_SUBSET_HPP_
