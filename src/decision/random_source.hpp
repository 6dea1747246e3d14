/// @file
/// The random number generator of a Policy, seeded by the Policy's owner.
///
/// All parts of the Policy draw from it in a fixed order. Which endpoint a request goes to thus depends on
/// the engine and on how its output is converted: a change of either changes decisions.
#ifndef MEADOWYARD_DECISION_RANDOM_SOURCE_HPP_
#define MEADOWYARD_DECISION_RANDOM_SOURCE_HPP_

#include <cstddef>
#include <cstdint>
#include <random>

namespace meadowyard::decision {

/// A generator of random numbers, deterministic for a given seed.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, 1).
  double Uniform() { return static_cast<double>(engine_() >> kDiscardedBits) / kTwoToThe53; }
  /// Uniform in [0, bound). `bound` must be above 0, and far below 2^64 so that the modulo bias is
  /// negligible.
  std::size_t Index(std::size_t bound) { return engine_() % bound; }

 private:
  static constexpr int kDiscardedBits = 11;  // a double holds 53 of the engine's 64 bits exactly
  static constexpr double kTwoToThe53 = 9007199254740992.0;

  std::mt19937_64 engine_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_RANDOM_SOURCE_HPP_
