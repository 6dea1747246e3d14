/// @file
/// The wire format of heartbeats: a CBOR map (RFC 8949) with short keys. Readers ignore keys that they do not
/// know. Gateways of different versions run side by side, so keys and kinds of values do not change.
#ifndef MEADOWYARD_MEMBERSHIP_HEARTBEAT_CODEC_HPP_
#define MEADOWYARD_MEMBERSHIP_HEARTBEAT_CODEC_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "membership/heartbeat.hpp"

namespace meadowyard::membership {

/// Longest datagram that is decoded, in bytes.
constexpr std::size_t kMaxHeartbeatBytes = 8192;

/// The datagram of a heartbeat. Zones beyond the limit of a message are left out.
std::vector<std::uint8_t> EncodeHeartbeat(const Heartbeat& heartbeat);

/// Reads a datagram. Nothing if it is too long, or if any field is missing, of another kind or out of range.
[[nodiscard]] std::optional<Heartbeat> DecodeHeartbeat(std::span<const std::uint8_t> datagram);

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_HEARTBEAT_CODEC_HPP_
