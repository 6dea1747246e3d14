// What one gateway tells another, again and again, and its form on the way: CBOR (RFC 8949), a map of short
// names. A reader passes over names it does not know.
#ifndef MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_
#define MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::membership {

constexpr std::size_t kMostBeat = 8192;  // bytes

struct Beat {
  std::string from;
  std::uint64_t life = 0;    // drawn at its start
  std::uint64_t number = 0;  // counts up within a life
  std::uint64_t list = 0;    // hash of the names in its list
  int listed = 0;            // gateways that its list names, or that it has heard of
  struct Echo {
    std::string name;
    std::uint64_t life = 0, number = 0;
  };
  std::vector<Echo> hears;  // whom it has heard lately, and their last word
  struct Start {
    std::string server;
    Millis age = 0;  // ages cross, not times: each has a clock of its own
  };
  std::vector<Start> started;
  std::vector<std::string> recovered;
  std::optional<ZoneLoadReport> sights;  // of the zones, where requests go by them
};

std::vector<std::uint8_t> ToBytes(const Beat& beat);
// Nothing if any part of it is not what it should be.
std::optional<Beat> ParseBeat(const std::uint8_t* bytes, std::size_t size);

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_
