// Which pool or host a destination goes to. The first rule that matches wins, and a default is always stated.
// No I/O, no state beyond the rules.
#ifndef MEADOWYARD_ROUTING_TABLE_HPP_
#define MEADOWYARD_ROUTING_TABLE_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/destination.hpp"

namespace meadowyard {

// What a rule asks of a destination; an empty one matches everything.
struct Pattern {
  enum class Kind { kAny, kExact, kSuffix, kNetwork };
  Kind kind = Kind::kAny;
  std::string name;                  // kExact: a name; kSuffix: "kaffi.is", which also matches itself
  boost::asio::ip::address network;  // kExact of an address, kNetwork
  int prefix = 0;                    // bits that count, kNetwork
  std::uint16_t first_port = 0, last_port = 65535;

  bool Matches(const Destination& to) const;
  // Whether everything that matches `other` matches this one.
  bool Covers(const Pattern& other) const;
  std::string ToText() const;
};

// "10.0.0.0/8"; nothing, with `why` set, if it is none or has bits beyond its prefix.
std::optional<Pattern> ParseNetwork(std::string_view text, std::string& why);

struct Route {
  enum class Kind { kPool, kHost, kDeny };
  std::string name;
  std::size_t line = 0;  // of the operators' file
  Pattern pattern;
  Kind kind = Kind::kDeny;
  std::string pool;
  std::string host;  // kHost: an id of that pool's
};

class RouteTable {
 public:
  struct Shadow {
    const Route* by;    // the earlier one
    const Route* lost;  // the later one, which nothing reaches
  };
  RouteTable(std::vector<Route> rules, Route otherwise)
      : rules_(std::move(rules)), otherwise_(std::move(otherwise)) {}

  const Route& Find(const Destination& to) const;
  // Which rule matches and why, and why each earlier one does not; lines end with '\n'.
  std::string Explain(const Destination& to) const;
  std::vector<Shadow> Shadows() const;
  const std::vector<Route>& rules() const { return rules_; }
  const Route& otherwise() const { return otherwise_; }

 private:
  std::vector<Route> rules_;
  Route otherwise_;
};

// "pool erp", "host erp-1 of pool erp", "denied".
std::string Target(const Route& route);

}  // namespace meadowyard

#endif  // MEADOWYARD_ROUTING_TABLE_HPP_
