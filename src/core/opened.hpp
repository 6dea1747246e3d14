// The host's end of a tunnel.
#ifndef MEADOWYARD_CORE_OPENED_HPP_
#define MEADOWYARD_CORE_OPENED_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace meadowyard {

struct Opened {
  std::string host;
  boost::asio::ip::tcp::socket socket;
  std::string unread;  // what the host said already, behind a parent proxy's handshake
};

enum class TunnelEnd {
  kEnded,     // however long it lived, and whoever ended it
  kBroken,    // by its host, at the very beginning: the host is held against it
  kPassedOn,  // to the next process, which counts it
};

}  // namespace meadowyard

#endif  // MEADOWYARD_CORE_OPENED_HPP_
