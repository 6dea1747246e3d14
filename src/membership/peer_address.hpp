/// @file
/// The name and the address of one gateway.
#ifndef MEADOWYARD_MEMBERSHIP_PEER_ADDRESS_HPP_
#define MEADOWYARD_MEMBERSHIP_PEER_ADDRESS_HPP_

#include <boost/asio/ip/udp.hpp>
#include <string>

namespace meadowyard::membership {

struct PeerAddress {
  std::string name;
  boost::asio::ip::udp::endpoint address;  ///< Destination of datagrams to it, and source of its own.
};

/// Formats an address as "10.1.0.18:7100".
inline std::string ToText(const boost::asio::ip::udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_PEER_ADDRESS_HPP_
