// An open tunnel: a client, a host, and what crosses between them. Nothing is held while nothing crosses:
// what can be read goes through one piece that all tunnels share, and only what the other side did not take
// is kept.
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

constexpr std::size_t kTunnelPiece = 32 * 1024;  // held each way at the most
using SharedPiece = std::array<char, kTunnelPiece>;

struct TunnelFacts {
  std::uint64_t id = 0;  // of this process
  std::string client, user, to, route, pool, host;
  Millis since = 0;
};

class Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // `ended` is told once, with the cause, when both sockets are closed.
  using Ended = std::function<void(Tunnel& tunnel, const std::string& cause, core::TunnelEnd end)>;
  // What stands for each way at its beginning: bytes that were read but not yet passed on, whether its source
  // has ended, and whether that was passed on.
  struct Way {
    std::string left;
    std::uint64_t bytes = 0;
    bool ended = false, shut = false;
  };
  Tunnel(TunnelFacts facts, Socket client, Socket host, SharedPiece& piece, Ended ended);

  void Start(Way up, Way down);
  // Closes both sides; with a reset the peers learn that it did not end well.
  void Close(const std::string& cause, bool reset, core::TunnelEnd end = core::TunnelEnd::kClosed);

  const TunnelFacts& facts() const { return facts_; }
  std::uint64_t bytes_up() const { return up_.way.bytes; }
  std::uint64_t bytes_down() const { return down_.way.bytes; }
  Millis last_active() const { return last_active_; }
  // Since when its host is to be left; 0: it is not.
  Millis condemned = 0;

  // For another process: gives both descriptors and what is half written to `pass`; if that is taken, the
  // tunnel goes on there and ends here. False: it stays.
  using Pass = std::function<bool(int client, int host, std::string_view text)>;
  bool PassOn(const Pass& pass);
  // The way back: facts and ways as the text has them; nothing if it is broken.
  struct Passed {
    TunnelFacts facts;
    Way up, down;
  };
  static std::optional<Passed> Parse(std::string_view text);

 private:
  struct Flow {
    Socket& from;
    Socket& to;
    Way way;
    bool waiting = false;  // for its source, or for room at the other side
  };
  void Run(Flow& flow);
  // False: not all could be written now, or the tunnel is closed.
  bool Flush(Flow& flow);
  void AwaitRead(Flow& flow);
  void AwaitRoom(Flow& flow);
  void AwaitError(Socket& socket);
  void Finish(Flow& flow);
  void Broke(const Socket& by);

  TunnelFacts facts_;
  Socket client_, host_;
  SharedPiece& piece_;
  Ended ended_;
  Flow up_, down_;  // from the client to the host, and back
  Millis last_active_;
  bool closed_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_TUNNEL_HPP_
