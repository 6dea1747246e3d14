/// @file
/// The wire format of heartbeats: a CBOR map (RFC 8949) with short keys. Receivers ignore unknown keys.
/// Gateways of different versions run at the same time, so the keys and the types of their values must not
/// change.
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

/// Encodes a heartbeat as one datagram. Zones beyond coordination::kMaxZones are omitted.
std::vector<std::uint8_t> EncodeHeartbeat(const Heartbeat& heartbeat);

/// Decodes a datagram. Returns nullopt if it is too long, or if any field is missing, of another type or out
/// of range.
[[nodiscard]] std::optional<Heartbeat> DecodeHeartbeat(std::span<const std::uint8_t> datagram);

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_HEARTBEAT_CODEC_HPP_
