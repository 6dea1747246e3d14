#include "decision/subset_assignment.hpp"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard::decision {
namespace {

constexpr double kInverseGoldenRatio = 0.6180339887498949;
// A sum of fractions may be slightly less than the integer that it represents.
constexpr double kRoundingTolerance = 1e-9;

// The fractional part of a multiple of the golden ratio. Consecutive multiples are spread evenly from 0 to 1.
double GoldenRatioFraction(std::uint64_t factor) {
  return std::fmod(static_cast<double>(factor) * kInverseGoldenRatio, 1.0);
}

double SubsetShare(std::size_t subset_size, std::size_t endpoints) {
  return std::min(1.0,
                  static_cast<double>(subset_size) / std::max<double>(1, static_cast<double>(endpoints)));
}

// Number of ranks in which every endpoint is chosen about once, rounded to a power of 2.
std::uint64_t RanksPerRound(double share) {
  if (share <= 0) return 1;
  return static_cast<std::uint64_t>(std::exp2(std::max(0.0, std::round(-std::log2(share)))));
}

}  // namespace

SubsetAssignment::SubsetAssignment(const std::vector<Candidate>& candidates, std::size_t subset_size)
    : subset_share_(SubsetShare(subset_size, candidates.size())),
      ranks_per_round_(RanksPerRound(subset_share_)) {
  states_.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    states_.push_back({.group = candidates[i].group, .hash = candidates[i].hash, .index = i});
  }
  std::sort(states_.begin(), states_.end(), [](const CandidateState& left, const CandidateState& right) {
    return left.group != right.group ? left.group < right.group : left.hash < right.hash;
  });
  ForEachGroup([](Iterator first, Iterator last) {
    double offset = 0.5;
    for (auto state = first; state != last; ++state) {
      state->position = offset / static_cast<double>(last - first);
      offset += 1;
    }
  });
}

const std::vector<std::size_t>& SubsetAssignment::ChooseNextSubset() {
  subset_.clear();
  if (next_rank_ % ranks_per_round_ == 0) BeginRound();
  // A group's share of the subset size is a fraction. Adding multiples of the golden ratio before rounding
  // down spreads the rounding evenly over the ranks.
  const double rotation = GoldenRatioFraction(next_rank_);
  std::size_t assigned_count = 0;
  ForEachGroup([&](Iterator first, Iterator last) {
    const double expected_choices = subset_share_ * static_cast<double>(last - states_.begin()) + rotation;
    const auto choice_count =
        static_cast<std::size_t>(expected_choices + kRoundingTolerance) - assigned_count;
    assigned_count += choice_count;
    Choose(first, last, std::min(choice_count, static_cast<std::size_t>(last - first)));
  });
  ++next_rank_;
  return subset_;
}

void SubsetAssignment::ForEachGroup(const std::function<void(Iterator first, Iterator last)>& visit) {
  auto first = states_.begin();
  while (first != states_.end()) {
    const auto last = std::find_if(first, states_.end(),
                                   [&](const CandidateState& state) { return state.group != first->group; });
    visit(first, last);
    first = last;
  }
}

void SubsetAssignment::BeginRound() {
  const double expected_choices = subset_share_ * static_cast<double>(ranks_per_round_);
  const double extra_choice_share = expected_choices - std::floor(expected_choices);
  const double rotation = GoldenRatioFraction(next_rank_ / ranks_per_round_);
  for (CandidateState& state : states_) {
    state.times_chosen = std::fmod(state.position - rotation + 1, 1.0) < extra_choice_share ? -1 : 0;
  }
}

void SubsetAssignment::Choose(Iterator first, Iterator last, std::size_t choice_count) {
  for (auto state = first; state != last; ++state) {
    state->preference_hash = XXH3_64bits_withSeed(&state->hash, sizeof state->hash, next_rank_);
  }
  const auto is_preferred = [](const CandidateState& left, const CandidateState& right) {
    if (left.times_chosen != right.times_chosen) return left.times_chosen < right.times_chosen;
    return left.preference_hash != right.preference_hash ? left.preference_hash < right.preference_hash
                                                         : left.hash < right.hash;
  };
  const auto end = first + static_cast<std::ptrdiff_t>(choice_count);
  if (end != last) std::nth_element(first, end, last, is_preferred);
  for (auto state = first; state != end; ++state) {
    ++state->times_chosen;
    subset_.push_back(state->index);
  }
}

}  // namespace meadowyard::decision
