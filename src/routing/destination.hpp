/// @file
/// The destination that a client requests for a tunnel: a host name or an IP address, and a port. Host names
/// are never resolved.
#ifndef MEADOWYARD_ROUTING_DESTINATION_HPP_
#define MEADOWYARD_ROUTING_DESTINATION_HPP_

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace meadowyard {

/// A host name or an IP address, and a port. MakeDestination() sets exactly one of `name` and `address`.
struct Destination {
  std::string name;  // lower case, without a trailing dot; empty for an address
  std::optional<boost::asio::ip::address> address;  // an IPv4-mapped IPv6 address is stored as IPv4
  std::uint16_t port = 0;

  /// Formats the destination as "name:443", "127.0.0.1:443" or "[::1]:443".
  std::string ToText() const;
};

/// Makes a destination of a host as clients write it: an address in text form is parsed as an address. If the
/// host is neither an address nor a name (RFC 1123, section 2.1) or the port is 0, returns nullopt and sets
/// `reason`. Underscores are allowed because names with underscores are in use.
std::optional<Destination> MakeDestination(std::string_view host, std::uint16_t port, std::string& reason);
/// Parses "host:port"; the port is required (RFC 9110, section 9.3.6) and an IPv6 address has to be in
/// brackets. On an error, returns nullopt and sets `reason`.
std::optional<Destination> ParseDestination(std::string_view text, std::string& reason);

}  // namespace meadowyard

#endif  // MEADOWYARD_ROUTING_DESTINATION_HPP_
