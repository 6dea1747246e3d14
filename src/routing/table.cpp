#include "routing/table.hpp"

#include <boost/asio/ip/network_v6.hpp>
#include <charconv>

namespace meadowyard {
namespace {

namespace ip = boost::asio::ip;

// Whether the first `bits` of two addresses of one family are the same.
template <typename Bytes>
bool SameBits(const Bytes& a, const Bytes& b, int bits) {
  for (std::size_t i = 0; i < a.size() && bits > 0; ++i, bits -= 8) {
    const int shift = bits >= 8 ? 0 : 8 - bits;
    if ((a[i] >> shift) != (b[i] >> shift)) return false;
  }
  return true;
}

bool Within(const ip::address& address, const ip::address& network, int bits) {
  if (address.is_v4() != network.is_v4()) return false;
  return address.is_v4() ? SameBits(address.to_v4().to_bytes(), network.to_v4().to_bytes(), bits)
                         : SameBits(address.to_v6().to_bytes(), network.to_v6().to_bytes(), bits);
}

int Bits(const ip::address& address) { return address.is_v4() ? 32 : 128; }

bool EndsWith(const std::string& name, const std::string& suffix) {
  if (name.size() == suffix.size()) return name == suffix;
  return name.size() > suffix.size() && name.ends_with(suffix) &&
         name[name.size() - suffix.size() - 1] == '.';
}

}  // namespace

bool Pattern::Matches(const Destination& to) const {
  if (to.port < first_port || to.port > last_port) return false;
  switch (kind) {
    case Kind::kAny: return true;
    case Kind::kExact: return name.empty() ? to.address == network : !to.address && to.name == name;
    case Kind::kSuffix: return !to.address && EndsWith(to.name, name);
    case Kind::kNetwork: return to.address && Within(*to.address, network, prefix);
  }
  return false;
}

bool Pattern::Covers(const Pattern& other) const {
  if (other.first_port < first_port || other.last_port > last_port) return false;
  if (kind == Kind::kAny) return true;
  const bool names = !other.name.empty();
  if (other.kind == Kind::kAny) return false;
  if (names != !name.empty()) return false;
  switch (kind) {
    case Kind::kExact:
      return other.kind == Kind::kExact && (names ? name == other.name : network == other.network);
    case Kind::kSuffix: return EndsWith(other.name, name);
    case Kind::kNetwork: {
      const int bits = other.kind == Kind::kNetwork ? other.prefix : Bits(other.network);
      return bits >= prefix && Within(other.network, network, prefix);
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

std::optional<Pattern> ParseNetwork(std::string_view text, std::string& why) {
  const std::size_t slash = text.find('/');
  boost::system::error_code ec;
  Pattern pattern;
  pattern.kind = Pattern::Kind::kNetwork;
  pattern.network = ip::make_address(std::string(text.substr(0, slash)), ec);
  const std::string_view digits = slash == std::string_view::npos ? "" : text.substr(slash + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), pattern.prefix);
  if (ec || digits.empty() || error != std::errc() || end != digits.data() + digits.size() ||
      pattern.prefix < 0 || pattern.prefix > Bits(pattern.network)) {
    why = "'" + std::string(text) + "' is not a network such as 10.0.0.0/8";
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
    why = "'" + std::string(text) + "' has bits beyond its prefix";
    return std::nullopt;
  }
  return pattern;
}

const Route& RouteTable::Find(const Destination& to) const {
  for (const Route& rule : rules_) {
    if (rule.pattern.Matches(to)) return rule;
  }
  return otherwise_;
}

std::string RouteTable::Explain(const Destination& to) const {
  std::string text;
  const Route& taken = Find(to);
  for (const Route& rule : rules_) {
    const std::string head = "route '" + rule.name + "' (line " + std::to_string(rule.line) + "): ";
    if (&rule == &taken)
      return text + head + to.ToText() + " matches " + rule.pattern.ToText() + "; " + Target(rule) + "\n";
    Pattern any_port = rule.pattern;
    any_port.first_port = 0, any_port.last_port = 65535;
    text += head + (any_port.Matches(to) ? "the port is another" : "is for " + any_port.ToText()) + "\n";
  }
  return text + "default (line " + std::to_string(otherwise_.line) + "): " + Target(otherwise_) + "\n";
}

std::vector<RouteTable::Shadow> RouteTable::Shadows() const {
  std::vector<Shadow> all;
  for (std::size_t i = 0; i < rules_.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (!rules_[j].pattern.Covers(rules_[i].pattern)) continue;
      all.push_back({&rules_[j], &rules_[i]});
      break;
    }
  }
  return all;
}

std::string Target(const Route& route) {
  if (route.kind == Route::Kind::kDeny) return "denied";
  if (route.kind == Route::Kind::kHost) return "host " + route.host + " of pool " + route.pool;
  return "pool " + route.pool;
}

}  // namespace meadowyard
