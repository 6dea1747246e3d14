/// @file
/// Helpers of the characterization test: a random generator, a digest and an unreliable network. They give
/// the same results with every compiler, library and optimization level.
#ifndef MEADOWYARD_TESTS_COORDINATION_RANDOM_SEQUENCE_HPP_
#define MEADOWYARD_TESTS_COORDINATION_RANDOM_SEQUENCE_HPP_

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace meadowyard::testing {

/// The SplitMix64 generator. The standard library's distributions differ between implementations.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  int Below(int bound) { return static_cast<int>(Next() % static_cast<std::uint64_t>(bound)); }
  std::size_t Index(std::size_t size) { return static_cast<std::size_t>(Next() % size); }
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
    for (int shift = 0; shift < 64; shift += 8) AddByte(static_cast<unsigned char>(value >> shift));
  }
  void Add(int value) { Add(static_cast<std::uint64_t>(static_cast<std::int64_t>(value))); }
  void Add(bool value) { Add(value ? 1 : 0); }
  void Add(double value) { Add(std::bit_cast<std::uint64_t>(value)); }
  void Add(const std::string& text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
  }
  void Add(const std::vector<std::uint8_t>& bytes) {
    Add(static_cast<std::uint64_t>(bytes.size()));
    for (const std::uint8_t byte : bytes) AddByte(byte);
  }
  [[nodiscard]] std::uint64_t value() const { return hash_; }

 private:
  void AddByte(unsigned char byte) { hash_ = (hash_ ^ byte) * 1099511628211ULL; }

  std::uint64_t hash_ = 1469598103934665603ULL;
};

/// Messages in flight between gateways, which are given by their index. They arrive in any order, some more
/// than once and some never.
template <class Message>
class UnreliableNetwork {
 public:
  struct Datagram {
    int from = 0;
    int to = 0;
    Message message;
  };

  /// A longer queue drops its oldest message, so that it does not grow while more is sent than delivered.
  static constexpr std::size_t kMaxDatagrams = 200;

  UnreliableNetwork(double loss, double duplication) : loss_(loss), duplication_(duplication) {}

  void Send(int from, int to, Message message) {
    in_flight_.push_back({from, to, std::move(message)});
    if (in_flight_.size() > kMaxDatagrams) in_flight_.erase(in_flight_.begin());
  }
  [[nodiscard]] bool empty() const { return in_flight_.empty(); }

  /// Passes one message, mostly the oldest, to `deliver` unless it is lost. A duplicated one stays in flight.
  template <class Deliver>
  void DeliverOne(SplitMix64& random, const Deliver& deliver) {
    if (in_flight_.empty()) return;
    const bool in_order = random.Chance(0.7);
    const std::size_t index = in_order ? 0 : random.Index(in_flight_.size());
    const Datagram datagram = in_flight_[index];
    if (!random.Chance(duplication_)) {
      in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (random.Chance(loss_)) return;
    deliver(datagram);
  }

 private:
  const double loss_;
  const double duplication_;
  std::vector<Datagram> in_flight_;
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_COORDINATION_RANDOM_SEQUENCE_HPP_
