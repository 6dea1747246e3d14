/// @file
/// What the characterization tests of the membership package share: a generator of seeded sequences, a
/// digest, and the file of recorded digests, tests/fixtures/membership_digests.txt.
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

/// The generator of the sequences; the standard distributions differ between libraries.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  /// Uniform from 0 to `bound` - 1; `bound` is not 0.
  std::size_t Below(std::size_t bound) { return static_cast<std::size_t>(Next() % bound); }
  double Fraction() { return static_cast<double>(Next() >> 11) / 9007199254740992.0; }
  double Between(double low, double high) { return low + (high - low) * Fraction(); }
  bool Chance(double probability) { return Fraction() < probability; }

 private:
  std::uint64_t state_;
};

/// FNV-1a over the bytes of what is added.
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

/// The digest that the file records for `name` and `seed`; "nothing recorded" without one.
inline std::string RecordedDigest(std::string_view name, std::uint64_t seed) {
  std::ifstream file(MEADOWYARD_FIXTURES "/membership_digests.txt");
  std::string line;
  const std::string wanted = std::string(name) + " " + std::to_string(seed) + " ";
  while (std::getline(file, line)) {
    if (line.starts_with(wanted)) return line.substr(wanted.size());
  }
  return "nothing recorded";
}

/// Expects the recorded digest. With MEADOWYARD_WRITE_DIGESTS=FILE in the environment it is also appended to
/// FILE; the head of membership_digests.txt says when that may become the recorded one.
inline void ExpectRecorded(std::string_view name, std::uint64_t seed, const Digest& digest) {
  if (const char* const write_to = std::getenv("MEADOWYARD_WRITE_DIGESTS")) {
    std::ofstream(write_to, std::ios::app) << name << ' ' << seed << ' ' << digest.ToHex() << '\n';
  }
  EXPECT_EQ(RecordedDigest(name, seed), digest.ToHex()) << name << ", seed " << seed;
}

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_MEMBERSHIP_CHARACTERIZATION_HPP_
