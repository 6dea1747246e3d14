/// @file
/// The client side of the handshake with a parent proxy, without I/O: SOCKS5 (RFC 1928, RFC 1929) or HTTP
/// CONNECT (RFC 9110, section 9.3.6; Basic credentials, RFC 7617).
#ifndef MEADOWYARD_UPSTREAM_PARENT_HANDSHAKE_HPP_
#define MEADOWYARD_UPSTREAM_PARENT_HANDSHAKE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "meadowyard/policy.hpp"

namespace meadowyard {

/// Address and credentials of a parent proxy.
struct ParentAccess {
  bool socks = true;  // false: HTTP CONNECT
  boost::asio::ip::tcp::endpoint address;
  std::string user, password;  // empty user: no authentication
};

/// State of one handshake. The caller writes the output and feeds the bytes that it reads.
class ParentHandshake {
 public:
  ParentHandshake(const ParentAccess& parent, const boost::asio::ip::tcp::endpoint& target);

  /// Bytes to write now; empty if the parent's response is awaited.
  std::string TakeOutput() { return std::exchange(output_, {}); }
  /// Consumes the parent's bytes from the front of `input`; bytes that remain after the handshake are the
  /// host's. kServed: the tunnel is open. kRejected: the parent rejected it. kConnectFailed: the parent could
  /// not reach the host, or does not speak the protocol. In neither failure did the host get anything from
  /// the client. Empty: more input is needed.
  std::optional<AttemptResult> Feed(std::string& input);

 private:
  enum class Stage { kSocksMethod, kSocksPassword, kSocksReply, kConnectResponse };
  void WriteSocksRequest();
  std::optional<AttemptResult> FeedSocks(std::string& input);
  std::optional<AttemptResult> FeedConnectResponse(std::string& input);

  const ParentAccess parent_;
  const boost::asio::ip::tcp::endpoint target_;
  Stage stage_ = Stage::kSocksMethod;
  std::string output_;
};

/// Encodes with padding (RFC 4648, section 4).
std::string ToBase64(std::string_view bytes);

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_PARENT_HANDSHAKE_HPP_
