/// @file
/// Routing table: selects the pool or host for a destination. The first matching rule applies; if none
/// matches, the default route applies, which every table has. The table does no I/O and holds no state but
/// its rules.
#ifndef MEADOWYARD_ROUTING_TABLE_HPP_
#define MEADOWYARD_ROUTING_TABLE_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/destination.hpp"

namespace meadowyard {

/// The condition that a rule sets on a destination. A default-constructed pattern matches every destination.
struct Pattern {
  enum class Kind { kAny, kExact, kSuffix, kNetwork };
  Kind kind = Kind::kAny;
  std::string name;  // kExact: a host name; kSuffix: a domain, which matches itself and its subdomains
  boost::asio::ip::address network;                 // kExact: the address; kNetwork: the network's address
  int prefix = 0;                                   // kNetwork: prefix length in bits
  std::uint16_t first_port = 0, last_port = 65535;  // both inclusive

  bool Matches(const Destination& to) const;
  /// Whether this pattern matches every destination that `other` matches.
  bool Covers(const Pattern& other) const;
  /// Describes the pattern for operators.
  std::string ToText() const;
};

/// Parses a network such as "10.0.0.0/8". If the text is not a network, or has bits set after its prefix,
/// returns nullopt and sets `reason`.
std::optional<Pattern> ParseNetwork(std::string_view text, std::string& reason);

/// A rule of the routing table: the destinations it matches and the pool or host that serves them.
struct Route {
  enum class Kind { kPool, kHost, kDeny };
  std::string name;
  std::size_t line = 0;  // line number in the operators' edge.toml
  Pattern pattern;
  Kind kind = Kind::kDeny;
  std::string pool;
  std::string host;  // kHost: id of a host of `pool`
};

/// An ordered list of rules with a default route.
class RouteTable {
 public:
  /// A pair of rules of which the later can never apply. Both pointers are valid as long as the table.
  struct Shadow {
    const Route* shadowing;  // the earlier rule
    const Route* shadowed;   // the later rule: the earlier one matches all of its destinations
  };
  RouteTable(std::vector<Route> rules, Route default_route)
      : rules_(std::move(rules)), default_route_(std::move(default_route)) {}

  /// Returns the first rule that matches, or the default route.
  const Route& Find(const Destination& to) const;
  /// Explains which rule matches and why, and why each earlier rule does not; each line ends with '\n'.
  std::string Explain(const Destination& to) const;
  /// Returns each rule that can never apply, with the first rule that shadows it.
  std::vector<Shadow> Shadows() const;
  const std::vector<Route>& rules() const { return rules_; }
  const Route& default_route() const { return default_route_; }

 private:
  std::vector<Route> rules_;
  Route default_route_;
};

/// Describes where a route leads: "pool erp", "host erp-1 of pool erp" or "denied".
std::string Target(const Route& route);

}  // namespace meadowyard

#endif  // MEADOWYARD_ROUTING_TABLE_HPP_
