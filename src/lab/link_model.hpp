// What a poor link does to what crosses it, without I/O: when bytes or datagrams arrive at the other end.
#ifndef MEADOWYARD_LAB_LINK_MODEL_HPP_
#define MEADOWYARD_LAB_LINK_MODEL_HPP_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "lab/random.hpp"
#include "lab/spec.hpp"

namespace meadowyard::lab {

constexpr std::size_t kSegment = 1460;  // bytes, of an Ethernet frame's worth of TCP
constexpr int kMostDoublings = 4;       // of a stall, while a segment goes on being lost

// One direction of a TCP connection. A lost segment holds back all that is behind it until it was sent again,
// which TCP does after a time-out that doubles (RFC 6298): bytes come late, and in order, and none is
// missing.
class LinkModel {
 public:
  LinkModel(const LinkSpec& spec, std::uint64_t seed, std::string_view name)
      : spec_(spec), random_(seed, name) {}

  // Until then nothing crosses.
  void CutUntil(Millis until) { cut_until_ = std::max(cut_until_, until); }

  // When `bytes` handed over at `now` are all there.
  Millis Arrives(Millis now, std::size_t bytes) {
    Millis begins = std::max(now, free_at_);
    if (spec_.bandwidth > 0) begins += 1000.0 * static_cast<double>(bytes) / spec_.bandwidth;
    free_at_ = begins;
    for (std::size_t at = 0; at < bytes; at += kSegment) {
      Millis stall = spec_.stall;
      for (int lost = 0; lost < kMostDoublings && random_.Chance(spec_.loss); ++lost, stall *= 2)
        free_at_ += stall;
    }
    const Millis crossed = free_at_ + spec_.delay + spec_.jitter * random_.Uniform();
    return last_ = std::max({last_, crossed, cut_until_});
  }

 private:
  const LinkSpec spec_;
  Random random_;
  Millis free_at_ = 0, last_ = 0, cut_until_ = 0;
};

// Datagrams are lost, doubled and overtake each other.
class DatagramModel {
 public:
  DatagramModel(const DatagramSpec& spec, std::uint64_t seed, std::string_view name)
      : spec_(spec), random_(seed, name) {}
  void CutUntil(Millis until) { cut_until_ = std::max(cut_until_, until); }

  // When each copy of a datagram arrives; none if it is lost.
  std::vector<Millis> Arrives(Millis now) {
    std::vector<Millis> copies;
    const bool lost = random_.Chance(spec_.loss), twice = random_.Chance(spec_.twice);
    for (int i = 0; i <= (twice ? 1 : 0); ++i) {
      const Millis held = random_.Chance(spec_.late) ? spec_.late_by : 0;
      const Millis at = now + spec_.delay + spec_.jitter * random_.Uniform() + held;
      if (!lost && now >= cut_until_) copies.push_back(at);  // UDP keeps nothing for a link that is down
    }
    return copies;
  }

 private:
  const DatagramSpec spec_;
  Random random_;
  Millis cut_until_ = 0;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_LINK_MODEL_HPP_
