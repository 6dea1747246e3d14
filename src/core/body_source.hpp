// A body that is still on its way: whoever passes it on asks for a piece at a time, so that no more of it is
// held than one side has given and the other has not taken yet.
#ifndef MEADOWYARD_BODY_SOURCE_HPP_
#define MEADOWYARD_BODY_SOURCE_HPP_

#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace meadowyard::core {

constexpr std::size_t kMaxPieceBytes = 16 * 1024;   // of a body, at the most
constexpr std::uint64_t kMaxBodyBytes = 33u << 20;  // bodies of 32 MB occur

class BodySource {
 public:
  enum class Status { kData, kComplete, kBroken };
  // Called once for each Ask, never before Ask returns; a piece is gone after the call.
  using DataCallback = std::function<void(Status next, std::string_view piece)>;

  virtual ~BodySource() = default;
  virtual void RequestData(DataCallback take) = 0;
  // Nobody wants the rest.
  virtual void Cancel() = 0;
  // Of the whole body; nothing if it shows only at its end.
  virtual std::optional<std::uint64_t> length() const = 0;
  // Whether a piece was asked for: who sends the body again from its start can't have it any more.
  virtual bool data_requested() const = 0;
};

// A piece as it goes on the wire: in a chunk of its own where the length was not told.
inline std::string EncodeBodyData(std::string_view piece, bool chunked) {
  if (!chunked) return std::string(piece);
  if (piece.empty()) return {};  // would be the end
  char head[24];
  const int size = std::snprintf(head, sizeof head, "%zx\r\n", piece.size());
  std::string text(head, static_cast<std::size_t>(size));
  text.append(piece).append("\r\n");
  return text;
}
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace meadowyard::core

#endif  // MEADOWYARD_BODY_SOURCE_HPP_
