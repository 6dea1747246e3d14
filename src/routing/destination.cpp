#include "routing/destination.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace meadowyard {
namespace {

namespace ip = boost::asio::ip;

constexpr std::size_t kMaxNameBytes = 255;  // a SOCKS5 request holds the length in one octet (RFC 1928)
constexpr std::size_t kMaxLabelBytes = 63;  // RFC 1035, section 2.3.4

bool IsValidHostName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  std::size_t label_bytes = 0;
  for (std::size_t i = 0; i <= name.size(); ++i) {
    if (i == name.size() || name[i] == '.') {
      if (label_bytes == 0 || label_bytes > kMaxLabelBytes || name[i - 1] == '-') return false;
      label_bytes = 0;
      continue;
    }
    const auto character = static_cast<unsigned char>(name[i]);
    if (!std::isalnum(character) && character != '_' && !(character == '-' && label_bytes > 0)) return false;
    ++label_bytes;
  }
  // Rejects text of digits and dots that is not a valid address: some resolvers would still accept it as
  // an address.
  return name.find_first_not_of("0123456789.") != std::string_view::npos;
}

}  // namespace

std::string Destination::ToText() const {
  const std::string host = !address           ? name
                           : address->is_v6() ? "[" + address->to_string() + "]"
                                              : address->to_string();
  return host + ":" + std::to_string(port);
}

std::optional<Destination> MakeDestination(std::string_view host, std::uint16_t port, std::string& reason) {
  Destination destination;
  destination.port = port;
  if (port == 0) {
    reason = "port 0";
    return std::nullopt;
  }
  boost::system::error_code ec;
  const ip::address address = ip::make_address(std::string(host), ec);
  if (!ec) {
    const bool is_v4_mapped_address = address.is_v6() && address.to_v6().is_v4_mapped();
    destination.address =
        is_v4_mapped_address ? ip::address(ip::make_address_v4(ip::v4_mapped, address.to_v6())) : address;
    return destination;
  }
  if (host.ends_with('.')) host.remove_suffix(1);
  if (!IsValidHostName(host)) {
    reason = "neither an address nor a name";
    return std::nullopt;
  }
  destination.name.resize(host.size());
  std::transform(host.begin(), host.end(), destination.name.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return destination;
}

std::optional<Destination> ParseDestination(std::string_view text, std::string& reason) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    reason = "no port";
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size() || port == 0 ||
      port > 65535) {
    reason = "the port is not a number from 1 to 65535";
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  auto parsed = MakeDestination(host, static_cast<std::uint16_t>(port), reason);
  const bool is_ipv6 = host.find(':') != std::string_view::npos;
  if (parsed && (bracketed != is_ipv6)) {
    reason = "an IPv6 address has to be in brackets, and nothing else may be";
    return std::nullopt;
  }
  return parsed;
}

}  // namespace meadowyard
