// A client's handshake for a tunnel, without I/O: what is read goes in, what is to be written comes out.
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

// What becomes of a tunnel that was asked for; each protocol has its code for each (docs/tunnels.md has the
// table).
enum class TunnelReply {
  kOpen,
  kDenied,       // by the routes
  kTurnedAway,   // by the decision module with no dial made, or by a limit
  kUnreachable,  // dials failed
  kOverdue,      // its time ran out
};

class Handshake {
 public:
  enum class Step {
    kMore,     // more is to be read
    kAsked,    // destination() is wanted; a Reply follows
    kRefused,  // output() says why, if the protocol has a way; then it is over
  };
  // Whether a user with this password may open tunnels. Null: nobody is asked.
  using Check = std::function<bool(std::string_view user, std::string_view password)>;

  virtual ~Handshake() = default;
  // Takes what it can off the front of `in`; what stays when it is kAsked is the client's first data.
  virtual Step Feed(std::string& in) = 0;
  // The answer's bytes. `bound` is this side of the way to the host, where there is one.
  virtual std::string Reply(TunnelReply reply, Millis retry_after,
                            const boost::asio::ip::tcp::endpoint& bound) const = 0;

  std::string TakeOutput() { return std::exchange(output_, {}); }
  const Destination& destination() const { return destination_; }
  const std::string& user() const { return user_; }
  // Why it was refused, for the log.
  const std::string& why() const { return why_; }

 protected:
  Step Refuse(std::string output, std::string why) {
    output_ += output;
    why_ = std::move(why);
    return Step::kRefused;
  }

  std::string output_, user_, why_;
  Destination destination_;
};

// RFC 1928, with user and password by RFC 1929 if there is a check.
std::unique_ptr<Handshake> MakeSocksHandshake(Handshake::Check check);
// RFC 9110, section 9.3.6, with Basic credentials (RFC 7617) if there is a check. `most` bytes of head.
std::unique_ptr<Handshake> MakeConnectHandshake(Handshake::Check check, std::size_t most);

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_HANDSHAKE_HPP_
