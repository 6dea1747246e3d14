/// @file
/// The coordination messages of the lease-held roles and their wire format: a CBOR map (RFC 8949) with short
/// keys. Gateways of different versions run at the same time, so the keys and the types of their values must
/// not change.
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

constexpr std::size_t kMaxMessageSize = 8192;     ///< In bytes; longer messages are rejected.
constexpr std::size_t kMaxEndpointsPerPart = 20;  ///< Keeps a list part far below kMaxMessageSize.
constexpr std::size_t kMaxZones = 32;             ///< Keeps a zone state far below kMaxMessageSize.

/// From the leader of the endpoint list: its revision, or one part of a list that leads to that revision.
struct EndpointListPart {
  FencingToken token = 0;
  /// Of the leader's list, and the revision that a delta applies to; a complete list applies to any.
  std::int64_t revision = 0, base_revision = 0;
  bool complete = false;              ///< A complete list, not a delta.
  std::uint32_t part = 0, parts = 0;  ///< Index and number of parts; 0 parts: the revision only.
  std::vector<discovery::EndpointRecord> hosts;
};
/// To the leader: the sender has another revision and needs the complete list.
struct EndpointListRequest {
  FencingToken token = 0;  ///< Of the message that announced the revision.
};

/// A zone state: proposed by the lease holder, committed by a majority of votes, or a newer committed one
/// that is sent to a lease holder whose state is older.
struct ZoneStateAnnouncement {
  enum class Kind { kProposed, kCommitted, kNewer } kind = Kind::kProposed;
  FencingToken token = 0;  ///< Of the lease holder; 0 with kNewer.
  ZoneAgreement state;
};
/// To the lease holder: the sender accepts the proposal with this version.
struct ZoneStateVote {
  FencingToken token = 0;
  std::uint64_t version = 0;
};

using CoordinationMessage =
    std::variant<Lease::Message, EndpointListPart, EndpointListRequest, ZoneStateAnnouncement, ZoneStateVote>;
/// Each role has a lease of its own.
enum class LeaseRole { kEndpointList, kZoneState };

/// Encodes a message as a datagram; `from` is the sender's name in the peers file.
std::vector<std::uint8_t> ToBytes(const std::string& from, LeaseRole role,
                                  const CoordinationMessage& payload);
struct ReceivedMessage {
  std::string sender;
  LeaseRole role = LeaseRole::kEndpointList;
  CoordinationMessage message;
};
/// Decodes a datagram. Returns nullopt if it is too long, is not a coordination message, or if any field is
/// missing, of another type or out of range.
std::optional<ReceivedMessage> DecodeMessage(const std::uint8_t* bytes, std::size_t size);

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_MESSAGE_CODEC_HPP_
