#include "edge/edge_config.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

#include "config_file/table_reader.hpp"
#include "config_file/toml_file.hpp"

namespace meadowyard {
namespace {

using config_file::TableReader;

constexpr double kMostTime = 24 * 3600 * 1000.0;
constexpr std::size_t kMostCredential = 255;  // RFC 1929, section 2

TunnelProtocol ReadProtocol(TableReader& in, std::string_view key) {
  const std::string text = in.ReadString(key);
  if (text == "socks5") return TunnelProtocol::kSocks5;
  if (text == "connect") return TunnelProtocol::kConnect;
  in.Fail(key, "'" + text + "' is neither socks5 nor connect");
}

std::string ReadName(TableReader& in, std::string_view key, std::size_t most = kMostCredential) {
  const std::string text = in.ReadString(key);
  if (text.empty() || text.size() > most) in.Fail(key, "must have 1 to " + std::to_string(most) + " bytes");
  return text;
}

void ReadTunnels(TableReader in, EdgeConfig& config) {
  TrafficClassSettings& c = config.tunnel;
  c.name = ReadName(in, "class");
  c.idempotency = Idempotency::kNonIdempotent;  // once a byte may have gone, never again
  c.latency_objective = in.ReadNumber("aim_ms", 2000, {.min = 1, .max = kMostTime});
  c.deadline = in.ReadNumber("open_within_ms", 5000, {.min = 100, .max = kMostTime});
  if (c.latency_objective > c.deadline) in.Fail("aim_ms", "is more than open_within_ms");
  c.priority_weight = in.ReadNumber("worth", 1, {.min = 0, .max = 1e6});
  TunnelLimits& l = config.limits;
  l.most = in.ReadCount("most", l.most, {.min = 1, .max = 1e6});
  l.most_per_address = in.ReadCount("most_per_address", l.most, {.min = 1, .max = 1e6});
  l.most_per_user = in.ReadCount("most_per_user", l.most, {.min = 1, .max = 1e6});
  l.most_per_host = static_cast<int>(in.ReadCount("most_per_host", 0, {.min = 0, .max = 1e6}));
  l.handshakes = in.ReadCount("handshakes", l.handshakes, {.min = 1, .max = 1e6});
  l.handshake_bytes = in.ReadCount("handshake_bytes", l.handshake_bytes, {.min = 1024, .max = 65536});
  l.handshake = in.ReadNumber("handshake_ms", l.handshake, {.min = 50, .max = kMostTime});
  l.idle = in.ReadNumber("idle_ms", l.idle, {.min = 100, .max = kMostTime});
  l.drain_grace = in.ReadNumber("drain_grace_ms", l.drain_grace, {.min = 0, .max = kMostTime});
  l.parent = in.ReadNumber("parent_ms", l.parent, {.min = 50, .max = kMostTime});
  in.Finish();
}

void ReadListener(TableReader& in, EdgeConfig& config) {
  EdgeListener l;
  l.protocol = ReadProtocol(in, "protocol");
  l.address = in.ReadAddress("address");
  l.credentials = in.ReadBool("credentials", false);
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
  u.tenant = in.ReadString("tenant", "");
  for (const EdgeUser& other : config.users) {
    if (other.name == u.name) in.Fail("name", "user '" + u.name + "' is there twice");
  }
  config.users.push_back(u);
}

void ReadHost(TableReader& in, EdgePool& pool) {
  discovery::EndpointRecord host;
  host.endpoint.id = ReadName(in, "id");
  host.address = in.ReadAddress("address");
  host.endpoint.weight = in.ReadNumber("weight", 1, {.min = 0.001, .max = 1000});
  host.endpoint.zone = in.ReadString("hall", "");
  host.endpoint.kind = in.ReadString("kind", pool.name);
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
  pool.discovered = in.ReadBool("discovered", false);
  in.ReadTables("host", [&](TableReader& host) { ReadHost(host, pool); });
  if (pool.discovered && !pool.hosts.empty()) in.Fail("host", "discovery tells the hosts of this pool");
  if (!pool.discovered && pool.hosts.empty()) in.Fail("host", "the pool has no host, and is not discovered");
  if (auto parent = in.ReadTable("parent")) {
    ParentProxy p;
    p.protocol = ReadProtocol(*parent, "protocol");
    p.address = parent->ReadAddress("address");
    p.user = parent->ReadString("user", "");
    p.password = parent->ReadString("password", "");
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
  const std::string text = in.ReadString("ports");
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
  const bool deny = in.ReadBool("deny", false);
  if (deny && (in.Has("pool") || in.Has("host")))
    in.Fail("deny", "a route that denies has neither pool nor host");
  if (deny) return;
  route.pool = in.ReadString("pool", "");
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
    const auto network = ParseNetwork(in.ReadString("network"), why);
    if (!network) in.Fail("network", why);
    p = *network;
  } else {
    const std::string_view key = in.Has("to") ? "to" : "suffix";
    std::string text = in.ReadString(key);
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
  const toml::table file = config_file::ParseToml(text, path);
  config.text = std::move(text);
  TableReader in(file, path, "");
  auto tunnels = in.ReadTable("tunnels");
  if (!tunnels) in.Fail("tunnels", "missing");
  ReadTunnels(*tunnels, config);
  in.ReadTables("listener", [&](TableReader& each) { ReadListener(each, config); });
  in.ReadTables("user", [&](TableReader& each) { ReadUser(each, config); });
  in.ReadTables("pool", [&](TableReader& each) { ReadPool(each, config); });
  if (config.listeners.empty()) in.Fail("listener", "missing: at least one");
  const bool asks = std::any_of(config.listeners.begin(), config.listeners.end(),
                                [](const EdgeListener& l) { return l.credentials; });
  if (asks && config.users.empty()) in.Fail("user", "missing: a listener asks for credentials");
  std::vector<Route> rules;
  in.ReadTables("route", [&](TableReader& each) {
    rules.push_back(ReadRoute(each, config));
    for (std::size_t i = 0; i + 1 < rules.size(); ++i) {
      if (rules[i].name == rules.back().name)
        each.Fail("name", "route '" + rules[i].name + "' is there twice");
    }
  });
  auto otherwise = in.ReadTable("default");
  if (!otherwise) in.Fail("default", "missing: say where goes what no route matches, or deny = true");
  Route fallback;
  fallback.name = "default";
  fallback.line = otherwise->line();
  ReadTarget(*otherwise, config, fallback);
  otherwise->Finish();
  in.Finish();
  config.routes = std::make_shared<const RouteTable>(std::move(rules), std::move(fallback));
  for (const RouteTable::Shadow& s : config.routes->Shadows()) {
    config.warnings.push_back(path + ":" + std::to_string(s.shadowed->line) + ": route '" + s.shadowed->name +
                              "' is never reached: route '" + s.shadowing->name + "' (line " +
                              std::to_string(s.shadowing->line) + ") takes all that it matches");
  }
  return config;
}

EdgeConfig LoadEdge(const std::string& path) { return ParseEdge(path, config_file::ReadText(path)); }

}  // namespace meadowyard
