// What a client asks a tunnel to: a name or an address, and a port. A name is never looked up.
#ifndef MEADOWYARD_ROUTING_DESTINATION_HPP_
#define MEADOWYARD_ROUTING_DESTINATION_HPP_

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace meadowyard {

struct Destination {
  std::string name;                                 // lower case, no dot at its end; empty for an address
  std::optional<boost::asio::ip::address> address;  // IPv4-mapped IPv6 counts as IPv4
  std::uint16_t port = 0;

  // "name:443", "127.0.0.1:443", "[::1]:443".
  std::string ToText() const;
};

// A host as clients write it: an address in text form becomes one. Nothing, with `why` set, if it is neither
// an address nor a name (RFC 1123, section 2.1; underscores are in use and allowed).
std::optional<Destination> MakeDestination(std::string_view host, std::uint16_t port, std::string& why);
// "host:port" with the port required (RFC 9110, section 9.3.6).
std::optional<Destination> ParseDestination(std::string_view text, std::string& why);

}  // namespace meadowyard

#endif  // MEADOWYARD_ROUTING_DESTINATION_HPP_
