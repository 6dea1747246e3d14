/// @file
/// An open tunnel: relays the bytes between a client and a host. An idle tunnel holds no buffer: data is
/// received into one buffer that all tunnels share, and only what the other side did not accept is kept.
#ifndef MEADOWYARD_FRONTS_TUNNEL_TUNNEL_HPP_
#define MEADOWYARD_FRONTS_TUNNEL_TUNNEL_HPP_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/tunnel_endpoint.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

/// Size of the shared receive buffer. Since data is received only after all earlier data was sent, this is
/// also the most unsent data that a tunnel keeps in each direction once its initial data is sent.
constexpr std::size_t kRelayBufferBytes = 32 * 1024;
using RelayBuffer = std::array<char, kRelayBufferBytes>;

/// Describes a tunnel for status and logs; `to` is the destination that the client requested, and `since` the
/// time at which the tunnel opened.
struct TunnelInfo {
  std::uint64_t id = 0;  // unique within this process
  std::string client, user, to, route, pool, host;
  Millis since = 0;
};

/// Relays between two sockets, which it owns, until both directions have ended, a side resets, or Close() is
/// called.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Called once, with the cause, after both sockets are closed.
  using EndedHandler = std::function<void(Tunnel& tunnel, const std::string& cause, core::TunnelEnd end)>;
  /// The state of one direction: data that was received but not yet sent (`left`), the number of bytes
  /// received (`bytes`), whether the source has ended its stream (`ended`), and whether that end was
  /// propagated to the other side (`shut`).
  struct DirectionState {
    std::string left;
    std::uint64_t bytes = 0;
    bool ended = false, shut = false;
  };
  Tunnel(TunnelInfo info, Socket client, Socket host, RelayBuffer& relay_buffer, EndedHandler on_ended);

  /// Begins to relay, from the given state of each direction (`up`: client to host, `down`: host to client).
  void Start(DirectionState up, DirectionState down);
  /// Closes both sockets; with `reset`, by a TCP reset, which shows both peers that the tunnel ended
  /// abnormally.
  void Close(const std::string& cause, bool reset, core::TunnelEnd end = core::TunnelEnd::kClosed);

  const TunnelInfo& info() const { return info_; }
  std::uint64_t bytes_up() const { return up_.state.bytes; }
  std::uint64_t bytes_down() const { return down_.state.bytes; }
  Millis last_active() const { return last_active_; }
  /// When the host was found unusable, which started the drain grace period; 0: the host is usable.
  Millis unusable_since = 0;

  /// Hands the tunnel over to another process: calls `pass_descriptors` with both descriptors and the
  /// serialized state, including the bytes not yet sent. If that succeeds, the other process continues the
  /// tunnel, and it ends here. False: the tunnel remains in this process.
  using PassDescriptors = std::function<bool(int client, int host, std::string_view text)>;
  bool PassToSuccessor(const PassDescriptors& pass_descriptors);
  /// Parses the text that PassToSuccessor() serialized; nullopt if it is malformed.
  struct SavedState {
    TunnelInfo info;
    DirectionState up, down;
  };
  static std::optional<SavedState> Parse(std::string_view text);

 private:
  // One direction of the relay: forwards the bytes received from `from` to `to`.
  struct Direction {
    Socket& from;
    Socket& to;
    DirectionState state;
    bool waiting = false;  // for `from` to become readable, or for `to` to become writable
  };
  void Relay(Direction& direction);
  // Sends the unsent data (`left`). False: not all of it could be sent now, or the tunnel is closed.
  bool Flush(Direction& direction);
  void AwaitReadable(Direction& direction);
  void AwaitWritable(Direction& direction);
  void AwaitError(Socket& socket);
  void PropagateEndOfStream(Direction& direction);
  void OnSocketError(const Socket& failed_socket);

  TunnelInfo info_;
  Socket client_, host_;
  RelayBuffer& relay_buffer_;
  EndedHandler on_ended_;
  Direction up_, down_;  // from the client to the host, and from the host to the client
  Millis last_active_;
  bool closed_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_TUNNEL_HPP_
