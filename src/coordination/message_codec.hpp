// What gateways tell each other of a duty, and its form on the way: CBOR, a map of short names.
#ifndef MEADOWYARD_COORDINATION_MESSAGE_CODEC_HPP_
#define MEADOWYARD_COORDINATION_MESSAGE_CODEC_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/lease.hpp"
#include "discovery/discovery.hpp"

namespace meadowyard::coordination {

constexpr std::size_t kMaxMessageSize = 8192;     // bytes
constexpr std::size_t kMaxEndpointsPerPart = 20;  // of a list: a part stays far below that
constexpr std::size_t kMaxZones = 32;             // the same of zones

// From whoever reads the list of hosts for all: that it is at a revision, or a part of what leads there.
struct EndpointListPart {
  FencingToken token = 0;
  std::int64_t revision = 0, after = 0;  // after: from which it leads; a complete list from any
  bool complete = false;
  std::uint32_t part = 0, parts = 0;  // no parts: nothing but the revision
  std::vector<discovery::EndpointRecord> hosts;
};
// To it: the sender is at another revision.
struct EndpointListRequest {
  FencingToken token = 0;  // as it was told
};

// How the zones stand: offered to all, agreed by more than half, or known to the sender where the holder of
// the duty is behind.
struct ZoneStateAnnouncement {
  enum class Kind { kProposed, kCommitted, kNewer } kind = Kind::kProposed;
  FencingToken token = 0;  // of the holder; none of one that knows better
  ZoneAgreement state;
};
// To the holder: the sender goes along with what it offered.
struct ZoneStateVote {
  FencingToken token = 0;
  std::uint64_t version = 0;
};

using CoordinationMessage =
    std::variant<Lease::Message, EndpointListPart, EndpointListRequest, ZoneStateAnnouncement, ZoneStateVote>;
enum class LeaseRole { kEndpointList, kZoneState };  // each has a lease of its own

std::vector<std::uint8_t> ToBytes(const std::string& from, LeaseRole role, const CoordinationMessage& word);
struct ReceivedMessage {
  std::string sender;
  LeaseRole role = LeaseRole::kEndpointList;
  CoordinationMessage message;
};
// Nothing if it is no such word, or any part of it is not what it should be.
std::optional<ReceivedMessage> DecodeMessage(const std::uint8_t* bytes, std::size_t size);

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_MESSAGE_CODEC_HPP_
