/// @file
/// A body that is still arriving. The writing side requests it piece by piece, so that at most one piece is
/// buffered between the peer that sends it and the peer that receives it.
#ifndef MEADOWYARD_BODY_SOURCE_HPP_
#define MEADOWYARD_BODY_SOURCE_HPP_

#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "meadowyard/policy.hpp"

namespace meadowyard::core {

constexpr std::size_t kMaxPieceBytes = 16 * 1024;   // largest piece of a streamed body
constexpr std::uint64_t kMaxBodyBytes = 33u << 20;  // larger than the bodies of 32 MB that occur in use
constexpr double kSlowestPace = 64;                 // of a long body, in bytes per ms
/// How long the longest body takes at the slowest pace.
constexpr Millis kMaxBodyTime = static_cast<double>(kMaxBodyBytes) / kSlowestPace;

/// A body, or the remainder of one, that is read on request.
class BodySource {
 public:
  /// kData: a piece follows. kComplete: the body has ended. kBroken: it was cut off and stays incomplete.
  enum class Status { kData, kComplete, kBroken };
  /// Called once for each RequestData, never before that returns. `piece` is valid during the call only.
  using DataCallback = std::function<void(Status next, std::string_view piece)>;

  virtual ~BodySource() = default;
  /// Requests the next piece. One request may be outstanding at a time.
  virtual void RequestData(DataCallback on_data) = 0;
  /// The remainder is not needed any more.
  virtual void Cancel() = 0;
  /// Length of the complete body in bytes; empty if it is not known before the body ends.
  virtual std::optional<std::uint64_t> length() const = 0;
  /// Whether RequestData was called: the body can't be sent again from its start then.
  virtual bool data_requested() const = 0;
};

/// The remainder of a request's body, which the client may still be sending.
class RequestBody : public BodySource {
 public:
  /// Earliest time at which the client can have sent the last byte, from which its timeout counts. That byte
  /// may wait unread in a socket buffer while a host accepts no data. The time advances for as long as bytes
  /// are known to be missing.
  virtual Millis EarliestCompleteAt() = 0;
};

/// A piece as it is written to the wire: as it is, or as one chunk of the chunked transfer coding (RFC 9112,
/// section 7.1) where the length was not declared.
inline std::string EncodeBodyData(std::string_view piece, bool chunked) {
  if (!chunked) return std::string(piece);
  if (piece.empty()) return {};  // a chunk of length 0 would end the body
  char head[24];
  const int size = std::snprintf(head, sizeof head, "%zx\r\n", piece.size());
  std::string text(head, static_cast<std::size_t>(size));
  text.append(piece).append("\r\n");
  return text;
}
/// Ends a body in the chunked transfer coding.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace meadowyard::core

#endif  // MEADOWYARD_BODY_SOURCE_HPP_
