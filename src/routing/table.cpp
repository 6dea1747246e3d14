#include "routing/table.hpp"

#include <boost/asio/ip/network_v6.hpp>
#include <charconv>

namespace meadowyard {
namespace {

namespace ip = boost::asio::ip;

// Whether the first `bits` bits of two addresses of the same family are equal.
template <typename Bytes>
bool HaveSamePrefix(const Bytes& left, const Bytes& right, int bits) {
  for (std::size_t i = 0; i < left.size() && bits > 0; ++i, bits -= 8) {
    const int shift = bits >= 8 ? 0 : 8 - bits;
    if ((left[i] >> shift) != (right[i] >> shift)) return false;
  }
  return true;
}

bool IsInNetwork(const ip::address& address, const ip::address& network, int bits) {
  if (address.is_v4() != network.is_v4()) return false;
  return address.is_v4() ? HaveSamePrefix(address.to_v4().to_bytes(), network.to_v4().to_bytes(), bits)
                         : HaveSamePrefix(address.to_v6().to_bytes(), network.to_v6().to_bytes(), bits);
}

int AddressBits(const ip::address& address) { return address.is_v4() ? 32 : 128; }

bool IsSameOrSubdomain(const std::string& name, const std::string& domain) {
  if (name.size() == domain.size()) return name == domain;
  return name.size() > domain.size() && name.ends_with(domain) &&
         name[name.size() - domain.size() - 1] == '.';
}

}  // namespace

bool Pattern::Matches(const Destination& to) const {
  if (to.port < first_port || to.port > last_port) return false;
  switch (kind) {
    case Kind::kAny: return true;
    case Kind::kExact: return name.empty() ? to.address == network : !to.address && to.name == name;
    case Kind::kSuffix: return !to.address && IsSameOrSubdomain(to.name, name);
    case Kind::kNetwork: return to.address && IsInNetwork(*to.address, network, prefix);
  }
  return false;
}

bool Pattern::Covers(const Pattern& other) const {
  if (other.first_port < first_port || other.last_port > last_port) return false;
  if (kind == Kind::kAny) return true;
  const bool other_is_name = !other.name.empty();
  if (other.kind == Kind::kAny) return false;
  if (other_is_name != !name.empty()) return false;
  switch (kind) {
    case Kind::kExact:
      return other.kind == Kind::kExact && (other_is_name ? name == other.name : network == other.network);
    case Kind::kSuffix: return IsSameOrSubdomain(other.name, name);
    case Kind::kNetwork: {
      const int bits = other.kind == Kind::kNetwork ? other.prefix : AddressBits(other.network);
      return bits >= prefix && IsInNetwork(other.network, network, prefix);
    }
    case Kind::kAny: break;
  }
  return true;
}

std::string Pattern::ToText() const {
  std::string text;
  switch (kind) {
    case Kind::kAny: text = "anything"; break;
    case Kind::kExact: text = name.empty() ? network.to_string() : name; break;
    case Kind::kSuffix: text = name + " and what is below it"; break;
    case Kind::kNetwork: text = network.to_string() + "/" + std::to_string(prefix); break;
  }
  if (first_port == 0 && last_port == 65535) return text;
  const std::string ports = std::to_string(first_port);
  return text + (first_port == last_port ? ", port " + ports
                                         : ", ports " + ports + " to " + std::to_string(last_port));
}

std::optional<Pattern> ParseNetwork(std::string_view text, std::string& reason) {
  const std::size_t slash = text.find('/');
  boost::system::error_code ec;
  Pattern pattern;
  pattern.kind = Pattern::Kind::kNetwork;
  pattern.network = ip::make_address(std::string(text.substr(0, slash)), ec);
  const std::string_view digits = slash == std::string_view::npos ? "" : text.substr(slash + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), pattern.prefix);
  if (ec || digits.empty() || error != std::errc() || end != digits.data() + digits.size() ||
      pattern.prefix < 0 || pattern.prefix > AddressBits(pattern.network)) {
    reason = "'" + std::string(text) + "' is not a network such as 10.0.0.0/8";
    return std::nullopt;
  }
  const bool has_host_bits =
      pattern.network.is_v4()
          ? (pattern.prefix < 32 &&
             (pattern.network.to_v4().to_uint() & (0xffffffffu >> pattern.prefix)) != 0)
          : !(ip::make_network_v6(pattern.network.to_v6(), static_cast<unsigned short>(pattern.prefix))
                  .canonical()
                  .address() == pattern.network.to_v6());
  if (has_host_bits) {
    reason = "'" + std::string(text) + "' has bits beyond its prefix";
    return std::nullopt;
  }
  return pattern;
}

const Route& RouteTable::Find(const Destination& to) const {
  for (const Route& rule : rules_) {
    if (rule.pattern.Matches(to)) return rule;
  }
  return default_route_;
}

std::string RouteTable::Explain(const Destination& to) const {
  std::string text;
  const Route& selected = Find(to);
  for (const Route& rule : rules_) {
    const std::string route_label = "route '" + rule.name + "' (line " + std::to_string(rule.line) + "): ";
    if (&rule == &selected)
      return text + route_label + to.ToText() + " matches " + rule.pattern.ToText() + "; " + Target(rule) +
             "\n";
    Pattern any_port = rule.pattern;
    any_port.first_port = 0, any_port.last_port = 65535;
    text +=
        route_label + (any_port.Matches(to) ? "the port is another" : "is for " + any_port.ToText()) + "\n";
  }
  return text + "default (line " + std::to_string(default_route_.line) + "): " + Target(default_route_) +
         "\n";
}

std::vector<RouteTable::Shadow> RouteTable::Shadows() const {
  std::vector<Shadow> shadows;
  for (std::size_t i = 0; i < rules_.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (!rules_[j].pattern.Covers(rules_[i].pattern)) continue;
      shadows.push_back({&rules_[j], &rules_[i]});
      break;
    }
  }
  return shadows;
}

std::string Target(const Route& route) {
  if (route.kind == Route::Kind::kDeny) return "denied";
  if (route.kind == Route::Kind::kHost) return "host " + route.host + " of pool " + route.pool;
  return "pool " + route.pool;
}

}  // namespace meadowyard
