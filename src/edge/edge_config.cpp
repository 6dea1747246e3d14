#include "edge/edge_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>

#include "edge/table_reader.hpp"

namespace meadowyard {
namespace {

constexpr double kMostTime = 24 * 3600 * 1000.0;
constexpr std::size_t kMostCredential = 255;  // RFC 1929, section 2

TunnelProtocol ReadProtocol(TableReader& in, std::string_view key) {
  const std::string text = in.Text(key);
  if (text == "socks5") return TunnelProtocol::kSocks5;
  if (text == "connect") return TunnelProtocol::kConnect;
  in.Fail(key, "'" + text + "' is neither socks5 nor connect");
}

std::string ReadName(TableReader& in, std::string_view key, std::size_t most = kMostCredential) {
  const std::string text = in.Text(key);
  if (text.empty() || text.size() > most) in.Fail(key, "must have 1 to " + std::to_string(most) + " bytes");
  return text;
}

void ReadTunnels(TableReader in, EdgeConfig& config) {
  TrafficClassSettings& c = config.tunnel;
  c.name = ReadName(in, "class");
  c.idempotency = Idempotency::kNonIdempotent;  // once a byte may have gone, never again
  c.latency_objective = in.Number("aim_ms", 2000, 1, kMostTime);
  c.deadline = in.Number("open_within_ms", 5000, 100, kMostTime);
  if (c.latency_objective > c.deadline) in.Fail("aim_ms", "is more than open_within_ms");
  c.priority_weight = in.Number("worth", 1, 0, 1e6);
  TunnelLimits& l = config.limits;
  l.most = in.Count("most", l.most, 1, 1e6);
  l.most_per_address = in.Count("most_per_address", l.most, 1, 1e6);
  l.most_per_user = in.Count("most_per_user", l.most, 1, 1e6);
  l.most_per_host = static_cast<int>(in.Count("most_per_host", 0, 0, 1e6));
  l.handshakes = in.Count("handshakes", l.handshakes, 1, 1e6);
  l.handshake_bytes = in.Count("handshake_bytes", l.handshake_bytes, 1024, 65536);
  l.handshake = in.Number("handshake_ms", l.handshake, 50, kMostTime);
  l.idle = in.Number("idle_ms", l.idle, 100, kMostTime);
  l.drain_grace = in.Number("drain_grace_ms", l.drain_grace, 0, kMostTime);
  l.parent = in.Number("parent_ms", l.parent, 50, kMostTime);
  in.Finish();
}

void ReadListener(TableReader& in, EdgeConfig& config) {
  EdgeListener l;
  l.protocol = ReadProtocol(in, "protocol");
  l.address = in.Address("address");
  l.credentials = in.Flag("credentials", false);
  const bool twice = std::any_of(
      config.listeners.begin(), config.listeners.end(),
      [&](const EdgeListener& other) { return other.address == l.address && l.address.port() != 0; });
  if (twice) in.Fail("address", "is there twice");
  config.listeners.push_back(l);
}

void ReadUser(TableReader& in, EdgeConfig& config) {
  EdgeUser u;
  u.name = ReadName(in, "name");
  if (u.name.find(':') != std::string::npos) in.Fail("name", "may have no colon (RFC 7617, section 2)");
  u.password = ReadName(in, "password");
  u.tenant = in.Text("tenant", "");
  for (const EdgeUser& other : config.users) {
    if (other.name == u.name) in.Fail("name", "user '" + u.name + "' is there twice");
  }
  config.users.push_back(u);
}

void ReadHost(TableReader& in, EdgePool& pool) {
  discovery::EndpointRecord host;
  host.endpoint.id = ReadName(in, "id");
  host.address = in.Address("address");
  host.endpoint.weight = in.Number("weight", 1, 0.001, 1000);
  host.endpoint.zone = in.Text("hall", "");
  host.endpoint.kind = in.Text("kind", pool.name);
  host.endpoint.cell = host.endpoint.id;
  for (const discovery::EndpointRecord& other : pool.hosts) {
    if (other.endpoint.id == host.endpoint.id)
      in.Fail("id", "host '" + host.endpoint.id + "' is there twice");
  }
  pool.hosts.push_back(std::move(host));
}

void ReadPool(TableReader& in, EdgeConfig& config) {
  EdgePool pool;
  pool.name = ReadName(in, "name");
  if (config.FindPool(pool.name) != nullptr) in.Fail("name", "pool '" + pool.name + "' is there twice");
  pool.discovered = in.Flag("discovered", false);
  in.Tables("host", [&](TableReader& host) { ReadHost(host, pool); });
  if (pool.discovered && !pool.hosts.empty()) in.Fail("host", "discovery tells the hosts of this pool");
  if (!pool.discovered && pool.hosts.empty()) in.Fail("host", "the pool has no host, and is not discovered");
  if (auto parent = in.Table("parent")) {
    ParentProxy p;
    p.protocol = ReadProtocol(*parent, "protocol");
    p.address = parent->Address("address");
    p.user = parent->Text("user", "");
    p.password = parent->Text("password", "");
    if (p.user.size() > kMostCredential) parent->Fail("user", "has more than 255 bytes");
    if (p.password.size() > kMostCredential) parent->Fail("password", "has more than 255 bytes");
    if (p.user.empty() != p.password.empty())
      parent->Fail(p.user.empty() ? "user" : "password", "missing beside the other");
    parent->Finish();
    pool.parent = p;
  }
  config.pools.push_back(std::move(pool));
}

void ReadPorts(TableReader& in, Pattern& pattern) {
  if (!in.Has("ports")) return;
  const std::string text = in.Text("ports");
  const char* const last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, pattern.first_port);
  pattern.last_port = pattern.first_port;
  if (error == std::errc() && end != last && *end == '-') {
    const auto second = std::from_chars(end + 1, last, pattern.last_port);
    end = second.ptr, error = second.ec;
  }
  if (error != std::errc() || end != last || pattern.first_port == 0 ||
      pattern.last_port < pattern.first_port) {
    in.Fail("ports", "'" + text + "' is neither a port such as \"443\" nor a span such as \"8000-8100\"");
  }
}

void ReadTarget(TableReader& in, const EdgeConfig& config, Route& route) {
  const bool deny = in.Flag("deny", false);
  if (deny && (in.Has("pool") || in.Has("host")))
    in.Fail("deny", "a route that denies has neither pool nor host");
  if (deny) return;
  route.pool = in.Text("pool", "");
  if (route.pool.empty()) in.Fail("pool", "missing: a route has a pool, or denies");
  const EdgePool* const pool = config.FindPool(route.pool);
  if (pool == nullptr) in.Fail("pool", "no pool has the name '" + route.pool + "'");
  route.kind = Route::Kind::kPool;
  if (!in.Has("host")) return;
  route.kind = Route::Kind::kHost;
  route.host = ReadName(in, "host");
  const bool known = pool->discovered || std::any_of(pool->hosts.begin(), pool->hosts.end(),
                                                     [&](const discovery::EndpointRecord& h) {
                                                       return h.endpoint.id == route.host;
                                                     });
  if (!known) in.Fail("host", "pool '" + route.pool + "' has no host '" + route.host + "'");
}

Route ReadRoute(TableReader& in, const EdgeConfig& config) {
  Route route;
  route.line = in.line();
  route.name = ReadName(in, "name");
  const int ways = in.Has("to") + in.Has("suffix") + in.Has("network");
  if (ways != 1) in.Fail("to", "a route has one of to, suffix and network");
  std::string why;
  Pattern& p = route.pattern;
  if (in.Has("network")) {
    const auto network = ParseNetwork(in.Text("network"), why);
    if (!network) in.Fail("network", why);
    p = *network;
  } else {
    const std::string_view key = in.Has("to") ? "to" : "suffix";
    std::string text = in.Text(key);
    if (key == "suffix" && text.starts_with('.')) text.erase(0, 1);
    const auto to = MakeDestination(text, 1, why);
    if (!to) in.Fail(key, why);
    if (key == "suffix" && to->address) in.Fail(key, "an address has no suffix; network is for those");
    p.kind = key == "to" ? Pattern::Kind::kExact : Pattern::Kind::kSuffix;
    p.name = to->name;
    if (to->address) p.network = *to->address;
  }
  ReadPorts(in, p);
  ReadTarget(in, config, route);
  return route;
}

}  // namespace

const EdgePool* EdgeConfig::FindPool(const std::string& name) const {
  const auto found =
      std::find_if(pools.begin(), pools.end(), [&](const EdgePool& p) { return p.name == name; });
  return found == pools.end() ? nullptr : &*found;
}

EdgeConfig ParseEdge(const std::string& path, std::string text) {
  EdgeConfig config;
  config.path = path;
  toml::table file;
  try {
    file = toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    throw EdgeError(path + ":" + std::to_string(error.source().begin.line) + ": " +
                    std::string(error.description()));
  }
  config.text = std::move(text);
  TableReader in(file, path, "");
  auto tunnels = in.Table("tunnels");
  if (!tunnels) in.Fail("tunnels", "missing");
  ReadTunnels(*tunnels, config);
  in.Tables("listener", [&](TableReader& each) { ReadListener(each, config); });
  in.Tables("user", [&](TableReader& each) { ReadUser(each, config); });
  in.Tables("pool", [&](TableReader& each) { ReadPool(each, config); });
  if (config.listeners.empty()) in.Fail("listener", "missing: at least one");
  const bool asks = std::any_of(config.listeners.begin(), config.listeners.end(),
                                [](const EdgeListener& l) { return l.credentials; });
  if (asks && config.users.empty()) in.Fail("user", "missing: a listener asks for credentials");
  std::vector<Route> rules;
  in.Tables("route", [&](TableReader& each) {
    rules.push_back(ReadRoute(each, config));
    for (std::size_t i = 0; i + 1 < rules.size(); ++i) {
      if (rules[i].name == rules.back().name)
        each.Fail("name", "route '" + rules[i].name + "' is there twice");
    }
  });
  auto otherwise = in.Table("default");
  if (!otherwise) in.Fail("default", "missing: say where goes what no route matches, or deny = true");
  Route fallback;
  fallback.name = "default";
  fallback.line = otherwise->line();
  ReadTarget(*otherwise, config, fallback);
  otherwise->Finish();
  in.Finish();
  config.routes = std::make_shared<const RouteTable>(std::move(rules), std::move(fallback));
  for (const RouteTable::Shadow& s : config.routes->Shadows()) {
    config.warnings.push_back(path + ":" + std::to_string(s.lost->line) + ": route '" + s.lost->name +
                              "' is never reached: route '" + s.by->name + "' (line " +
                              std::to_string(s.by->line) + ") takes all that it matches");
  }
  return config;
}

EdgeConfig LoadEdge(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) throw EdgeError(path + ": can't be read");
  return ParseEdge(path, text.str());
}

}  // namespace meadowyard
