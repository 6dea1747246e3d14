/// @file
/// Shared by the characterization tests of the membership package: a random number generator, a digest, and
/// access to the recorded digests in tests/fixtures/membership_digests.txt.
#ifndef MEADOWYARD_TESTS_MEMBERSHIP_CHARACTERIZATION_HPP_
#define MEADOWYARD_TESTS_MEMBERSHIP_CHARACTERIZATION_HPP_

#include <gtest/gtest.h>

#include <bit>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <span>
#include <string>
#include <string_view>

namespace meadowyard::testing {

/// Random number generator of the test inputs. The distributions of the standard library are not used,
/// because they differ between implementations.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  /// Uniformly distributed from 0 to `bound` - 1; `bound` must not be 0.
  std::size_t Below(std::size_t bound) { return static_cast<std::size_t>(Next() % bound); }
  double Fraction() { return static_cast<double>(Next() >> 11) / 9007199254740992.0; }
  double Between(double low, double high) { return low + (high - low) * Fraction(); }
  bool Chance(double probability) { return Fraction() < probability; }

 private:
  std::uint64_t state_;
};

/// FNV-1a hash over the bytes of all added values.
class Digest {
 public:
  void Add(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) AddByte(static_cast<std::uint8_t>(value >> shift));
  }
  void Add(int value) { Add(static_cast<std::uint64_t>(static_cast<std::int64_t>(value))); }
  void Add(bool value) { Add(value ? 1 : 0); }
  void Add(double value) { Add(std::bit_cast<std::uint64_t>(value)); }
  void Add(std::string_view text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const char character : text) AddByte(static_cast<std::uint8_t>(character));
  }
  void Add(const char* text) { Add(std::string_view(text)); }
  void Add(std::span<const std::uint8_t> bytes) {
    Add(static_cast<std::uint64_t>(bytes.size()));
    for (const std::uint8_t byte : bytes) AddByte(byte);
  }
  [[nodiscard]] std::string ToHex() const {
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) text += "0123456789abcdef"[(hash_ >> shift) & 15];
    return text;
  }

 private:
  void AddByte(std::uint8_t byte) { hash_ = (hash_ ^ byte) * 1099511628211ULL; }

  std::uint64_t hash_ = 1469598103934665603ULL;
};

/// Returns the recorded digest of `name` and `seed`, or "nothing recorded" if there is none.
inline std::string RecordedDigest(std::string_view name, std::uint64_t seed) {
  std::ifstream file(MEADOWYARD_FIXTURES "/membership_digests.txt");
  std::string line;
  const std::string prefix = std::string(name) + " " + std::to_string(seed) + " ";
  while (std::getline(file, line)) {
    if (line.starts_with(prefix)) return line.substr(prefix.size());
  }
  return "nothing recorded";
}

/// Expects that `digest` is the recorded one. With MEADOWYARD_WRITE_DIGESTS=FILE in the environment it is
/// also appended to FILE; the head of membership_digests.txt says when the recorded digests may be replaced.
inline void ExpectRecorded(std::string_view name, std::uint64_t seed, const Digest& digest) {
  if (const char* const output_path = std::getenv("MEADOWYARD_WRITE_DIGESTS")) {
    std::ofstream(output_path, std::ios::app) << name << ' ' << seed << ' ' << digest.ToHex() << '\n';
  }
  EXPECT_EQ(RecordedDigest(name, seed), digest.ToHex()) << name << ", seed " << seed;
}

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_MEMBERSHIP_CHARACTERIZATION_HPP_
