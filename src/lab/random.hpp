// Seeded random numbers that give the same draws on every machine: the generator is PCG (O'Neill 2014), and
// the distributions are by inversion, for the standard library's differ from one library to the next.
#ifndef MEADOWYARD_LAB_RANDOM_HPP_
#define MEADOWYARD_LAB_RANDOM_HPP_

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>
#include <vector>

namespace meadowyard::lab {

// Each purpose has a stream of its own: drawing more for one moves no other.
class Random {
 public:
  Random(std::uint64_t seed, std::string_view purpose) : engine_(seed, Stream(purpose)) {}

  double Uniform() { return (static_cast<double>(engine_() >> 11) + 0.5) / 9007199254740992.0; }
  double Between(double low, double high) { return low + (high - low) * Uniform(); }
  double Exponential(double mean) { return -mean * std::log(Uniform()); }
  bool Chance(double probability) { return Uniform() < probability; }
  std::uint64_t Bits() { return engine_(); }
  std::size_t Below(std::size_t n) {
    return static_cast<std::size_t>(Uniform() * static_cast<double>(n)) % n;
  }

 private:
  static std::uint64_t Stream(std::string_view purpose) {
    std::uint64_t h = 1469598103934665603ULL;  // FNV-1a
    for (const unsigned char c : purpose) h = (h ^ c) * 1099511628211ULL;
    return h;
  }
  pcg64 engine_;
};

// Draws an index by weight.
class Weighted {
 public:
  explicit Weighted(const std::vector<double>& weights) {
    double sum = 0;
    for (const double weight : weights) sums_.push_back(sum += weight);
  }
  static Weighted Zipf(std::size_t n, double exponent) {
    std::vector<double> weights;
    for (std::size_t i = 1; i <= n; ++i) weights.push_back(std::pow(static_cast<double>(i), -exponent));
    return Weighted(weights);
  }
  std::size_t Draw(Random& random) const {
    const double at = random.Uniform() * sums_.back();
    std::size_t low = 0, high = sums_.size() - 1;
    while (low < high) {
      const std::size_t middle = (low + high) / 2;
      sums_[middle] > at ? high = middle : low = middle + 1;
    }
    return low;
  }

 private:
  std::vector<double> sums_;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_RANDOM_HPP_
