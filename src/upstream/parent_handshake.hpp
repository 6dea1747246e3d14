// The client's side of a parent proxy's handshake, without I/O: SOCKS5 (RFC 1928, RFC 1929) or CONNECT (RFC
// 9110, section 9.3.6; Basic credentials, RFC 7617).
#ifndef MEADOWYARD_UPSTREAM_PARENT_HANDSHAKE_HPP_
#define MEADOWYARD_UPSTREAM_PARENT_HANDSHAKE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "meadowyard/policy.hpp"

namespace meadowyard {

struct ParentAccess {
  bool socks = true;  // else CONNECT
  boost::asio::ip::tcp::endpoint address;
  std::string user, password;
};

class ParentHandshake {
 public:
  ParentHandshake(const ParentAccess& parent, const boost::asio::ip::tcp::endpoint& target);

  // What is to be written now; empty if an answer is awaited.
  std::string TakeOutput() { return std::exchange(output_, {}); }
  // Takes what the parent wrote off the front of `in`; what stays when it is done came from the host.
  // kServed: the way is open. kRejected: the parent turned it away. kConnectFailed: the parent could not
  // reach the host, or speaks something else. None of these ever ran. Nothing: more is awaited.
  std::optional<AttemptResult> Feed(std::string& in);

 private:
  enum class Stage { kMethod, kPassword, kReply, kHead };
  void AskSocks();
  std::optional<AttemptResult> FeedSocks(std::string& in);
  std::optional<AttemptResult> FeedHead(std::string& in);

  const ParentAccess parent_;
  const boost::asio::ip::tcp::endpoint target_;
  Stage stage_ = Stage::kMethod;
  std::string output_;
};

// RFC 4648, section 4.
std::string ToBase64(std::string_view bytes);

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_PARENT_HANDSHAKE_HPP_
