#include "decision/subset_assignment.hpp"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard::decision {
namespace {

constexpr double kGoldenRatio = 0.6180339887498949;
constexpr double kRoundingSlack = 1e-9;  // a sum of fractions may fall just short of an integer

double GoldenRatioMultiple(std::uint64_t factor) {
  return std::fmod(static_cast<double>(factor) * kGoldenRatio, 1.0);
}

double ShareOf(std::size_t subset_size, std::size_t endpoints) {
  return std::min(1.0,
                  static_cast<double>(subset_size) / std::max<double>(1, static_cast<double>(endpoints)));
}

std::uint64_t RoundLength(double share) {
  if (share <= 0) return 1;
  return static_cast<std::uint64_t>(std::exp2(std::max(0.0, std::round(-std::log2(share)))));
}

}  // namespace

SubsetAssignment::SubsetAssignment(const std::vector<Candidate>& candidates, std::size_t subset_size)
    : share_(ShareOf(subset_size, candidates.size())), round_length_(RoundLength(share_)) {
  items_.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    items_.push_back({.group = candidates[i].group, .hash = candidates[i].hash, .index = i});
  }
  std::sort(items_.begin(), items_.end(), [](const Item& left, const Item& right) {
    return left.group != right.group ? left.group < right.group : left.hash < right.hash;
  });
  ForEachGroup([](Iterator first, Iterator last) {
    double place = 0.5;
    for (auto item = first; item != last; ++item) {
      item->position = place / static_cast<double>(last - first);
      place += 1;
    }
  });
}

const std::vector<std::size_t>& SubsetAssignment::Next() {
  chosen_.clear();
  if (next_rank_ % round_length_ == 0) BeginRound();
  // Each group's share of the size is a fraction; the golden ratio evens out who rounds up.
  const double rotation = GoldenRatioMultiple(next_rank_);
  std::size_t taken = 0;
  ForEachGroup([&](Iterator first, Iterator last) {
    const double due = share_ * static_cast<double>(last - items_.begin()) + rotation;
    const auto wanted = static_cast<std::size_t>(due + kRoundingSlack) - taken;
    taken += wanted;
    Choose(first, last, std::min(wanted, static_cast<std::size_t>(last - first)));
  });
  ++next_rank_;
  return chosen_;
}

void SubsetAssignment::ForEachGroup(const std::function<void(Iterator first, Iterator last)>& visit) {
  auto first = items_.begin();
  while (first != items_.end()) {
    const auto last =
        std::find_if(first, items_.end(), [&](const Item& item) { return item.group != first->group; });
    visit(first, last);
    first = last;
  }
}

void SubsetAssignment::BeginRound() {
  const double due = share_ * static_cast<double>(round_length_);
  const double due_once_more = due - std::floor(due);
  const double rotation = GoldenRatioMultiple(next_rank_ / round_length_);
  for (Item& item : items_) {
    item.times_chosen = std::fmod(item.position - rotation + 1, 1.0) < due_once_more ? -1 : 0;
  }
}

void SubsetAssignment::Choose(Iterator first, Iterator last, std::size_t wanted) {
  for (auto item = first; item != last; ++item) {
    item->rank = XXH3_64bits_withSeed(&item->hash, sizeof item->hash, next_rank_);
  }
  const auto is_preferred = [](const Item& left, const Item& right) {
    if (left.times_chosen != right.times_chosen) return left.times_chosen < right.times_chosen;
    return left.rank != right.rank ? left.rank < right.rank : left.hash < right.hash;
  };
  const auto end = first + static_cast<std::ptrdiff_t>(wanted);
  if (end != last) std::nth_element(first, end, last, is_preferred);
  for (auto item = first; item != end; ++item) {
    ++item->times_chosen;
    chosen_.push_back(item->index);
  }
}

}  // namespace meadowyard::decision
