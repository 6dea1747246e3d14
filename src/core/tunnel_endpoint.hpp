// The host's end of a tunnel.
#ifndef MEADOWYARD_CORE_TUNNEL_ENDPOINT_HPP_
#define MEADOWYARD_CORE_TUNNEL_ENDPOINT_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace meadowyard::core {

struct TunnelEndpoint {
  std::string endpoint;
  boost::asio::ip::tcp::socket socket;
  std::string unread;  // what the host said already, behind a parent proxy's handshake
};

enum class TunnelEnd {
  kClosed,         // however long it lived, and whoever ended it
  kFailedAtStart,  // by its host, at the very beginning: the host is held against it
  kHandedOver,     // to the next process, which counts it
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_TUNNEL_ENDPOINT_HPP_
