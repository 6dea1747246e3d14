/// @file
/// The one source of chance of a Policy, seeded by its owner.
///
/// All mechanisms draw from it in a fixed order, so the engine and this way to use it decide which endpoint a
/// request goes to: a change of either changes decisions.
#ifndef MEADOWYARD_DECISION_RANDOM_SOURCE_HPP_
#define MEADOWYARD_DECISION_RANDOM_SOURCE_HPP_

#include <cstddef>
#include <cstdint>
#include <random>

namespace meadowyard::decision {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, 1).
  double Uniform() { return static_cast<double>(engine_() >> kUnusedBits) / kTwoToThe53; }
  /// Uniform in [0, bound); `bound` is above 0 and small beside 2^64.
  std::size_t Index(std::size_t bound) { return engine_() % bound; }

 private:
  static constexpr int kUnusedBits = 11;  // a double holds 53 of the 64 bits
  static constexpr double kTwoToThe53 = 9007199254740992.0;

  std::mt19937_64 engine_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_RANDOM_SOURCE_HPP_
