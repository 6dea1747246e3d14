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

TunnelProtocol ReadProtocol(TableReader& reader, std::string_view key) {
  const std::string text = reader.ReadString(key);
  if (text == "socks5") return TunnelProtocol::kSocks5;
  if (text == "connect") return TunnelProtocol::kConnect;
  reader.Fail(key, "'" + text + "' is neither socks5 nor connect");
}

std::string ReadName(TableReader& reader, std::string_view key, std::size_t max_bytes = kMaxCredentialBytes) {
  const std::string text = reader.ReadString(key);
  if (text.empty() || text.size() > max_bytes)
    reader.Fail(key, "must have 1 to " + std::to_string(max_bytes) + " bytes");
  return text;
}

void ReadTunnels(TableReader reader, EdgeConfig& config) {
  TrafficClassSettings& tunnel_class = config.tunnel;
  tunnel_class.name = ReadName(reader, "class");
  tunnel_class.idempotency = Idempotency::kNonIdempotent;  // not sent again once a byte may have been sent
  tunnel_class.latency_objective = reader.ReadNumber("aim_ms", 2000, {.min = 1, .max = kMaxDurationMs});
  tunnel_class.deadline = reader.ReadNumber("open_within_ms", 5000, {.min = 100, .max = kMaxDurationMs});
  if (tunnel_class.latency_objective > tunnel_class.deadline)
    reader.Fail("aim_ms", "is more than open_within_ms");
  tunnel_class.priority_weight = reader.ReadNumber("worth", 1, {.min = 0, .max = 1e6});
  TunnelLimits& tunnel_limits = config.limits;
  tunnel_limits.most = reader.ReadCount("most", tunnel_limits.most, {.min = 1, .max = 1e6});
  tunnel_limits.most_per_address =
      reader.ReadCount("most_per_address", tunnel_limits.most, {.min = 1, .max = 1e6});
  tunnel_limits.most_per_user = reader.ReadCount("most_per_user", tunnel_limits.most, {.min = 1, .max = 1e6});
  tunnel_limits.most_per_host =
      static_cast<int>(reader.ReadCount("most_per_host", 0, {.min = 0, .max = 1e6}));
  tunnel_limits.handshakes = reader.ReadCount("handshakes", tunnel_limits.handshakes, {.min = 1, .max = 1e6});
  tunnel_limits.handshake_bytes =
      reader.ReadCount("handshake_bytes", tunnel_limits.handshake_bytes, {.min = 1024, .max = 65536});
  tunnel_limits.handshake =
      reader.ReadNumber("handshake_ms", tunnel_limits.handshake, {.min = 50, .max = kMaxDurationMs});
  tunnel_limits.idle = reader.ReadNumber("idle_ms", tunnel_limits.idle, {.min = 100, .max = kMaxDurationMs});
  tunnel_limits.drain_grace =
      reader.ReadNumber("drain_grace_ms", tunnel_limits.drain_grace, {.min = 0, .max = kMaxDurationMs});
  tunnel_limits.parent =
      reader.ReadNumber("parent_ms", tunnel_limits.parent, {.min = 50, .max = kMaxDurationMs});
  reader.Finish();
}

void ReadListener(TableReader& reader, EdgeConfig& config) {
  EdgeListener listener;
  listener.protocol = ReadProtocol(reader, "protocol");
  listener.address = reader.ReadAddress("address");
  listener.credentials = reader.ReadBool("credentials", false);
  const bool is_duplicate =
      std::any_of(config.listeners.begin(), config.listeners.end(), [&](const EdgeListener& other) {
        return other.address == listener.address && listener.address.port() != 0;
      });
  if (is_duplicate) reader.Fail("address", "is there twice");
  config.listeners.push_back(listener);
}

void ReadUser(TableReader& reader, EdgeConfig& config) {
  EdgeUser edge_user;
  edge_user.name = ReadName(reader, "name");
  if (edge_user.name.find(':') != std::string::npos)
    reader.Fail("name", "may have no colon (RFC 7617, section 2)");
  edge_user.password = ReadName(reader, "password");
  edge_user.tenant = reader.ReadString("tenant", "");
  for (const EdgeUser& other : config.users) {
    if (other.name == edge_user.name) reader.Fail("name", "user '" + edge_user.name + "' is there twice");
  }
  config.users.push_back(edge_user);
}

void ReadHost(TableReader& reader, EdgePool& pool) {
  discovery::EndpointRecord host;
  host.endpoint.id = ReadName(reader, "id");
  host.address = reader.ReadAddress("address");
  host.endpoint.weight = reader.ReadNumber("weight", 1, {.min = 0.001, .max = 1000});
  host.endpoint.zone = reader.ReadString("hall", "");
  host.endpoint.kind = reader.ReadString("kind", pool.name);
  host.endpoint.cell = host.endpoint.id;
  for (const discovery::EndpointRecord& other : pool.hosts) {
    if (other.endpoint.id == host.endpoint.id)
      reader.Fail("id", "host '" + host.endpoint.id + "' is there twice");
  }
  pool.hosts.push_back(std::move(host));
}

void ReadPool(TableReader& reader, EdgeConfig& config) {
  EdgePool pool;
  pool.name = ReadName(reader, "name");
  if (config.FindPool(pool.name) != nullptr) reader.Fail("name", "pool '" + pool.name + "' is there twice");
  pool.discovered = reader.ReadBool("discovered", false);
  reader.ReadTables("host", [&](TableReader& host) { ReadHost(host, pool); });
  if (pool.discovered && !pool.hosts.empty())
    reader.Fail("host", "a pool with discovered = true takes its hosts from discovery and may list none");
  if (!pool.discovered && pool.hosts.empty())
    reader.Fail("host", "the pool has no host, and is not discovered");
  if (auto parent = reader.ReadTable("parent")) {
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

void ReadPorts(TableReader& reader, Pattern& pattern) {
  if (!reader.Has("ports")) return;
  const std::string text = reader.ReadString("ports");
  const char* const text_end = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), text_end, pattern.first_port);
  pattern.last_port = pattern.first_port;
  if (error == std::errc() && end != text_end && *end == '-') {
    const auto range_end = std::from_chars(end + 1, text_end, pattern.last_port);
    end = range_end.ptr, error = range_end.ec;
  }
  if (error != std::errc() || end != text_end || pattern.first_port == 0 ||
      pattern.last_port < pattern.first_port) {
    reader.Fail("ports", "'" + text + "' is neither a port such as \"443\" nor a span such as \"8000-8100\"");
  }
}

void ReadTarget(TableReader& reader, const EdgeConfig& config, Route& route) {
  const bool deny = reader.ReadBool("deny", false);
  if (deny && (reader.Has("pool") || reader.Has("host")))
    reader.Fail("deny", "a route that denies has neither pool nor host");
  if (deny) return;
  route.pool = reader.ReadString("pool", "");
  if (route.pool.empty()) reader.Fail("pool", "missing: a route has a pool, or denies");
  const EdgePool* const pool = config.FindPool(route.pool);
  if (pool == nullptr) reader.Fail("pool", "no pool has the name '" + route.pool + "'");
  route.kind = Route::Kind::kPool;
  if (!reader.Has("host")) return;
  route.kind = Route::Kind::kHost;
  route.host = ReadName(reader, "host");
  const bool host_exists = pool->discovered || std::any_of(pool->hosts.begin(), pool->hosts.end(),
                                                           [&](const discovery::EndpointRecord& pool_host) {
                                                             return pool_host.endpoint.id == route.host;
                                                           });
  if (!host_exists) reader.Fail("host", "pool '" + route.pool + "' has no host '" + route.host + "'");
}

Route ReadRoute(TableReader& reader, const EdgeConfig& config) {
  Route route;
  route.line = reader.line();
  route.name = ReadName(reader, "name");
  const int matcher_count = reader.Has("to") + reader.Has("suffix") + reader.Has("network");
  if (matcher_count != 1) reader.Fail("to", "a route has one of to, suffix and network");
  std::string reason;
  Pattern& route_pattern = route.pattern;
  if (reader.Has("network")) {
    const auto network = ParseNetwork(reader.ReadString("network"), reason);
    if (!network) reader.Fail("network", reason);
    route_pattern = *network;
  } else {
    const std::string_view key = reader.Has("to") ? "to" : "suffix";
    std::string text = reader.ReadString(key);
    if (key == "suffix" && text.starts_with('.')) text.erase(0, 1);
    const auto destination = MakeDestination(text, 1, reason);
    if (!destination) reader.Fail(key, reason);
    if (key == "suffix" && destination->address)
      reader.Fail(key, "an address has no suffix; network is for those");
    route_pattern.kind = key == "to" ? Pattern::Kind::kExact : Pattern::Kind::kSuffix;
    route_pattern.name = destination->name;
    if (destination->address) route_pattern.network = *destination->address;
  }
  ReadPorts(reader, route_pattern);
  ReadTarget(reader, config, route);
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
  TableReader reader(root, path, "");
  auto tunnels = reader.ReadTable("tunnels");
  if (!tunnels) reader.Fail("tunnels", "missing");
  ReadTunnels(*tunnels, config);
  reader.ReadTables("listener", [&](TableReader& table_reader) { ReadListener(table_reader, config); });
  reader.ReadTables("user", [&](TableReader& table_reader) { ReadUser(table_reader, config); });
  reader.ReadTables("pool", [&](TableReader& table_reader) { ReadPool(table_reader, config); });
  if (config.listeners.empty()) reader.Fail("listener", "missing: at least one");
  const bool needs_credentials =
      std::any_of(config.listeners.begin(), config.listeners.end(),
                  [](const EdgeListener& listener) { return listener.credentials; });
  if (needs_credentials && config.users.empty())
    reader.Fail("user", "missing: a listener asks for credentials");
  std::vector<Route> rules;
  reader.ReadTables("route", [&](TableReader& table_reader) {
    rules.push_back(ReadRoute(table_reader, config));
    for (std::size_t i = 0; i + 1 < rules.size(); ++i) {
      if (rules[i].name == rules.back().name)
        table_reader.Fail("name", "route '" + rules[i].name + "' is there twice");
    }
  });
  auto default_table = reader.ReadTable("default");
  if (!default_table)
    reader.Fail("default", "missing: set the pool for destinations that no route matches, or deny = true");
  Route default_route;
  default_route.name = "default";
  default_route.line = default_table->line();
  ReadTarget(*default_table, config, default_route);
  default_table->Finish();
  reader.Finish();
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
