#include "edge/edge_config.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

#include "config_file/table_reader.hpp"
#include "config_file/toml_file.hpp"

namespace meadowyard {
namespace {

using config_file::TableReader;

constexpr double kMaxDurationMs = 24 * 3600 * 1000.0;  // 24 h
constexpr std::size_t kMaxCredentialBytes = 255;       // RFC 1929, section 2

TunnelProtocol ReadProtocol(TableReader& in, std::string_view key) {
  const std::string text = in.ReadString(key);
  if (text == "socks5") return TunnelProtocol::kSocks5;
  if (text == "connect") return TunnelProtocol::kConnect;
  in.Fail(key, "'" + text + "' is neither socks5 nor connect");
}

std::string ReadName(TableReader& in, std::string_view key, std::size_t max_bytes = kMaxCredentialBytes) {
  const std::string text = in.ReadString(key);
  if (text.empty() || text.size() > max_bytes)
    in.Fail(key, "must have 1 to " + std::to_string(max_bytes) + " bytes");
  return text;
}

void ReadTunnels(TableReader in, EdgeConfig& config) {
  TrafficClassSettings& tunnel_class = config.tunnel;
  tunnel_class.name = ReadName(in, "class");
  tunnel_class.idempotency = Idempotency::kNonIdempotent;  // not sent again once a byte may have been sent
  tunnel_class.latency_objective = in.ReadNumber("aim_ms", 2000, {.min = 1, .max = kMaxDurationMs});
  tunnel_class.deadline = in.ReadNumber("open_within_ms", 5000, {.min = 100, .max = kMaxDurationMs});
  if (tunnel_class.latency_objective > tunnel_class.deadline)
    in.Fail("aim_ms", "is more than open_within_ms");
  tunnel_class.priority_weight = in.ReadNumber("worth", 1, {.min = 0, .max = 1e6});
  TunnelLimits& tunnel_limits = config.limits;
  tunnel_limits.most = in.ReadCount("most", tunnel_limits.most, {.min = 1, .max = 1e6});
  tunnel_limits.most_per_address =
      in.ReadCount("most_per_address", tunnel_limits.most, {.min = 1, .max = 1e6});
  tunnel_limits.most_per_user = in.ReadCount("most_per_user", tunnel_limits.most, {.min = 1, .max = 1e6});
  tunnel_limits.most_per_host = static_cast<int>(in.ReadCount("most_per_host", 0, {.min = 0, .max = 1e6}));
  tunnel_limits.handshakes = in.ReadCount("handshakes", tunnel_limits.handshakes, {.min = 1, .max = 1e6});
  tunnel_limits.handshake_bytes =
      in.ReadCount("handshake_bytes", tunnel_limits.handshake_bytes, {.min = 1024, .max = 65536});
  tunnel_limits.handshake =
      in.ReadNumber("handshake_ms", tunnel_limits.handshake, {.min = 50, .max = kMaxDurationMs});
  tunnel_limits.idle = in.ReadNumber("idle_ms", tunnel_limits.idle, {.min = 100, .max = kMaxDurationMs});
  tunnel_limits.drain_grace =
      in.ReadNumber("drain_grace_ms", tunnel_limits.drain_grace, {.min = 0, .max = kMaxDurationMs});
  tunnel_limits.parent = in.ReadNumber("parent_ms", tunnel_limits.parent, {.min = 50, .max = kMaxDurationMs});
  in.Finish();
}

void ReadListener(TableReader& in, EdgeConfig& config) {
  EdgeListener listener;
  listener.protocol = ReadProtocol(in, "protocol");
  listener.address = in.ReadAddress("address");
  listener.credentials = in.ReadBool("credentials", false);
  const bool is_duplicate =
      std::any_of(config.listeners.begin(), config.listeners.end(), [&](const EdgeListener& other) {
        return other.address == listener.address && listener.address.port() != 0;
      });
  if (is_duplicate) in.Fail("address", "is there twice");
  config.listeners.push_back(listener);
}

void ReadUser(TableReader& in, EdgeConfig& config) {
  EdgeUser edge_user;
  edge_user.name = ReadName(in, "name");
  if (edge_user.name.find(':') != std::string::npos)
    in.Fail("name", "may have no colon (RFC 7617, section 2)");
  edge_user.password = ReadName(in, "password");
  edge_user.tenant = in.ReadString("tenant", "");
  for (const EdgeUser& other : config.users) {
    if (other.name == edge_user.name) in.Fail("name", "user '" + edge_user.name + "' is there twice");
  }
  config.users.push_back(edge_user);
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
  if (pool.discovered && !pool.hosts.empty())
    in.Fail("host", "a pool with discovered = true takes its hosts from discovery and may list none");
  if (!pool.discovered && pool.hosts.empty()) in.Fail("host", "the pool has no host, and is not discovered");
  if (auto parent = in.ReadTable("parent")) {
    ParentProxy parent_proxy;
    parent_proxy.protocol = ReadProtocol(*parent, "protocol");
    parent_proxy.address = parent->ReadAddress("address");
    parent_proxy.user = parent->ReadString("user", "");
    parent_proxy.password = parent->ReadString("password", "");
    if (parent_proxy.user.size() > kMaxCredentialBytes) parent->Fail("user", "has more than 255 bytes");
    if (parent_proxy.password.size() > kMaxCredentialBytes)
      parent->Fail("password", "has more than 255 bytes");
    if (parent_proxy.user.empty() != parent_proxy.password.empty())
      parent->Fail(parent_proxy.user.empty() ? "user" : "password",
                   "missing: user and password have to be set together");
    parent->Finish();
    pool.parent = parent_proxy;
  }
  config.pools.push_back(std::move(pool));
}

void ReadPorts(TableReader& in, Pattern& pattern) {
  if (!in.Has("ports")) return;
  const std::string text = in.ReadString("ports");
  const char* const text_end = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), text_end, pattern.first_port);
  pattern.last_port = pattern.first_port;
  if (error == std::errc() && end != text_end && *end == '-') {
    const auto range_end = std::from_chars(end + 1, text_end, pattern.last_port);
    end = range_end.ptr, error = range_end.ec;
  }
  if (error != std::errc() || end != text_end || pattern.first_port == 0 ||
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
  const bool host_exists = pool->discovered || std::any_of(pool->hosts.begin(), pool->hosts.end(),
                                                           [&](const discovery::EndpointRecord& pool_host) {
                                                             return pool_host.endpoint.id == route.host;
                                                           });
  if (!host_exists) in.Fail("host", "pool '" + route.pool + "' has no host '" + route.host + "'");
}

Route ReadRoute(TableReader& in, const EdgeConfig& config) {
  Route route;
  route.line = in.line();
  route.name = ReadName(in, "name");
  const int matcher_count = in.Has("to") + in.Has("suffix") + in.Has("network");
  if (matcher_count != 1) in.Fail("to", "a route has one of to, suffix and network");
  std::string reason;
  Pattern& route_pattern = route.pattern;
  if (in.Has("network")) {
    const auto network = ParseNetwork(in.ReadString("network"), reason);
    if (!network) in.Fail("network", reason);
    route_pattern = *network;
  } else {
    const std::string_view key = in.Has("to") ? "to" : "suffix";
    std::string text = in.ReadString(key);
    if (key == "suffix" && text.starts_with('.')) text.erase(0, 1);
    const auto destination = MakeDestination(text, 1, reason);
    if (!destination) in.Fail(key, reason);
    if (key == "suffix" && destination->address)
      in.Fail(key, "an address has no suffix; network is for those");
    route_pattern.kind = key == "to" ? Pattern::Kind::kExact : Pattern::Kind::kSuffix;
    route_pattern.name = destination->name;
    if (destination->address) route_pattern.network = *destination->address;
  }
  ReadPorts(in, route_pattern);
  ReadTarget(in, config, route);
  return route;
}

}  // namespace

const EdgePool* EdgeConfig::FindPool(const std::string& name) const {
  const auto found = std::find_if(pools.begin(), pools.end(),
                                  [&](const EdgePool& candidate) { return candidate.name == name; });
  return found == pools.end() ? nullptr : &*found;
}

EdgeConfig ParseEdge(const std::string& path, std::string text) {
  EdgeConfig config;
  config.path = path;
  const toml::table root = config_file::ParseToml(text, path);
  config.text = std::move(text);
  TableReader in(root, path, "");
  auto tunnels = in.ReadTable("tunnels");
  if (!tunnels) in.Fail("tunnels", "missing");
  ReadTunnels(*tunnels, config);
  in.ReadTables("listener", [&](TableReader& each) { ReadListener(each, config); });
  in.ReadTables("user", [&](TableReader& each) { ReadUser(each, config); });
  in.ReadTables("pool", [&](TableReader& each) { ReadPool(each, config); });
  if (config.listeners.empty()) in.Fail("listener", "missing: at least one");
  const bool needs_credentials =
      std::any_of(config.listeners.begin(), config.listeners.end(),
                  [](const EdgeListener& listener) { return listener.credentials; });
  if (needs_credentials && config.users.empty()) in.Fail("user", "missing: a listener asks for credentials");
  std::vector<Route> rules;
  in.ReadTables("route", [&](TableReader& each) {
    rules.push_back(ReadRoute(each, config));
    for (std::size_t i = 0; i + 1 < rules.size(); ++i) {
      if (rules[i].name == rules.back().name)
        each.Fail("name", "route '" + rules[i].name + "' is there twice");
    }
  });
  auto default_table = in.ReadTable("default");
  if (!default_table)
    in.Fail("default", "missing: set the pool for destinations that no route matches, or deny = true");
  Route default_route;
  default_route.name = "default";
  default_route.line = default_table->line();
  ReadTarget(*default_table, config, default_route);
  default_table->Finish();
  in.Finish();
  config.routes = std::make_shared<const RouteTable>(std::move(rules), std::move(default_route));
  for (const RouteTable::Shadow& shadow : config.routes->Shadows()) {
    config.warnings.push_back(path + ":" + std::to_string(shadow.shadowed->line) + ": route '" +
                              shadow.shadowed->name + "' is never reached: route '" + shadow.shadowing->name +
                              "' (line " + std::to_string(shadow.shadowing->line) +
                              ") takes all that it matches");
  }
  return config;
}

EdgeConfig LoadEdge(const std::string& path) { return ParseEdge(path, config_file::ReadText(path)); }

}  // namespace meadowyard
