/// @file
/// The host's end of a tunnel.
#ifndef MEADOWYARD_CORE_TUNNEL_ENDPOINT_HPP_
#define MEADOWYARD_CORE_TUNNEL_ENDPOINT_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace meadowyard::core {

/// An open connection to the host of a tunnel.
struct TunnelEndpoint {
  std::string endpoint;  // id of the host
  boost::asio::ip::tcp::socket socket;
  std::string unread;  // bytes received from the host already, after the parent proxy's handshake
};

/// How a tunnel ended.
enum class TunnelEnd {
  kClosed,         // by either side, at any time
  kFailedAtStart,  // reset by its host right after it was opened: counts as a failure of the host
  kHandedOver,     // to the successor process in a hot restart, which counts its end
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_TUNNEL_ENDPOINT_HPP_
