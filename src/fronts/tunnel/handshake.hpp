/// @file
/// The server side of a client's tunnel handshake, without I/O: the caller feeds it the bytes read from the
/// client and writes its output.
#ifndef MEADOWYARD_FRONTS_TUNNEL_HANDSHAKE_HPP_
#define MEADOWYARD_FRONTS_TUNNEL_HANDSHAKE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "meadowyard/policy.hpp"
#include "routing/destination.hpp"

namespace meadowyard {

/// The outcome of a tunnel request. Each protocol has a reply code for each outcome (docs/tunnels.md has the
/// table).
enum class TunnelReply {
  kOpen,
  kDenied,            // by the routing rules
  kUnavailable,       // rejected by the decision module before any dial, or by a limit
  kUnreachable,       // the dials to the host failed
  kDeadlineExceeded,  // the request's deadline passed
};

/// One client's handshake; subclasses implement the protocols.
class Handshake {
 public:
  enum class Step {
    kMore,             // needs more input
    kRequestComplete,  // the client requested destination(); the caller answers with Reply()
    kRejected,         // TakeOutput() has the error reply, if the protocol has one; the handshake has ended
  };
  /// Whether this user with this password may open tunnels. Null: no authentication is required.
  using Check = std::function<bool(std::string_view user, std::string_view password)>;

  virtual ~Handshake() = default;
  /// Removes the bytes it has parsed from the front of `input`. What remains after kRequestComplete is data
  /// that the client sent early, for the host.
  virtual Step Feed(std::string& input) = 0;
  /// The bytes of the reply. `retry_after` (0: none) is the recommended wait before the client retries.
  /// `bound` is the local endpoint of the connection to the host, if there is one.
  virtual std::string Reply(TunnelReply reply, Millis retry_after,
                            const boost::asio::ip::tcp::endpoint& bound) const = 0;

  /// Returns the bytes to be written to the client, and clears them.
  std::string TakeOutput() { return std::exchange(output_, {}); }
  const Destination& destination() const { return destination_; }
  /// The user name that the client sent; empty if authentication is not required.
  const std::string& user() const { return user_; }
  /// Why the handshake was rejected, for the log.
  const std::string& error() const { return error_; }

 protected:
  Step Reject(std::string output, std::string error) {
    output_ += output;
    error_ = std::move(error);
    return Step::kRejected;
  }

  std::string output_, user_, error_;
  Destination destination_;
};

/// SOCKS5 (RFC 1928), with username/password authentication (RFC 1929) if `check` is not null.
std::unique_ptr<Handshake> MakeSocksHandshake(Handshake::Check check);
/// HTTP CONNECT (RFC 9110, section 9.3.6), with Basic authentication (RFC 7617) if `check` is not null. A
/// request head of more than `max_head_bytes` is rejected.
std::unique_ptr<Handshake> MakeConnectHandshake(Handshake::Check check, std::size_t max_head_bytes);

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_HANDSHAKE_HPP_
