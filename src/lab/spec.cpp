#include "lab/spec.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace meadowyard::lab {
namespace {

constexpr double kAny = std::numeric_limits<double>::infinity();
constexpr double kMostSeconds = 3600;

const std::vector<std::pair<std::string, Trouble::Kind>>& TroubleNames() {
  using K = Trouble::Kind;
  static const std::vector<std::pair<std::string, K>> names = {{"crash", K::kCrash},
                                                               {"slow", K::kSlow},
                                                               {"errors", K::kErrors},
                                                               {"freeze", K::kFreeze},
                                                               {"hall_dead", K::kHallDead},
                                                               {"hall_silent", K::kHallSilent},
                                                               {"discovery_down", K::kDiscoveryDown},
                                                               {"flap", K::kFlap},
                                                               {"replace", K::kReplace},
                                                               {"reset_answers", K::kReset},
                                                               {"spoil_answers", K::kSpoil},
                                                               {"drain", K::kDrain},
                                                               {"host_cut", K::kHostCut},
                                                               {"peer_cut", K::kPeerCut},
                                                               {"link_cut", K::kLinkCut},
                                                               {"gateway_kill", K::kGatewayKill},
                                                               {"gateway_stall", K::kGatewayStall},
                                                               {"gateway_restart", K::kGatewayRestart},
                                                               {"gateway_upgrade", K::kGatewayUpgrade}};
  return names;
}

// One table of the file: each field is read with its bounds, and what nobody asked for is an error.
class Section {
 public:
  Section(const std::string& file, const toml::table& table, std::string path)
      : file_(file), table_(table), path_(std::move(path)) {}

  [[noreturn]] void Fail(const toml::node* node, const std::string& field, const std::string& why) const {
    const auto line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
    throw SpecError(file_ + ":" + std::to_string(line) + ": " + path_ + field + ": " + why);
  }

  void Number(const std::string& field, double& value, double least, double most, double scale = 1) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    const auto read = node->value<double>();
    if (!node->is_number() || !read || !(*read >= least && *read <= most)) {
      std::ostringstream range;
      range << "must be a number from " << least;
      if (most < kAny) range << " to " << most;
      Fail(node, field, range.str());
    }
    value = *read * scale;
  }
  void Seconds(const std::string& field, Millis& value) { Number(field, value, 0, kMostSeconds, 1000); }
  template <typename T>
  void Count(const std::string& field, T& value, double least, double most) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    const auto read = node->value_exact<std::int64_t>();
    if (!read || static_cast<double>(*read) < least || static_cast<double>(*read) > most) {
      std::ostringstream range;
      range << "must be a whole number from " << least << " to " << most;
      Fail(node, field, range.str());
    }
    value = static_cast<T>(*read);
  }
  void Text(const std::string& field, std::string& value) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    const auto read = node->value_exact<std::string>();
    if (!read) Fail(node, field, "must be a text");
    value = *read;
  }
  void Flag(const std::string& field, bool& value) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    const auto read = node->value_exact<bool>();
    if (!read) Fail(node, field, "must be true or false");
    value = *read;
  }
  template <typename T>
  void Choice(const std::string& field, T& value, const std::vector<std::pair<std::string, T>>& choices,
              bool needed = false) {
    const toml::node* node = Find(field);
    if (node == nullptr && !needed) return;
    std::string all;
    for (const auto& [name, choice] : choices) {
      if (node != nullptr && node->value_or(std::string()) == name) {
        value = choice;
        return;
      }
      all += (all.empty() ? "" : ", ") + name;
    }
    Fail(node, field, "must be one of " + all);
  }
  void Texts(const std::string& field, std::vector<std::string>& values) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr || array->empty()) Fail(node, field, "must be a list of texts");
    values.clear();
    for (const toml::node& item : *array) {
      const auto text = item.value_exact<std::string>();
      if (!text) Fail(&item, field, "must be a list of texts");
      values.push_back(*text);
    }
  }
  void Numbers(const std::string& field, std::vector<double>& values, double least, double most) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) Fail(node, field, "must be a list of numbers");
    values.clear();
    for (const toml::node& item : *array) {
      const auto number = item.is_number() ? item.value<double>() : std::nullopt;
      if (!number || !(*number >= least && *number <= most)) Fail(&item, field, "holds what it can't");
      values.push_back(*number);
    }
  }
  // Calls `read` with the table of that name, or with each of a list of them; then nothing in it may be left.
  template <typename Read>
  void Table(const std::string& field, Read read) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    if (!node->is_table()) Fail(node, field, "must be a table");
    Section section(file_, *node->as_table(), path_ + field + ".");
    read(section);
    section.Done();
  }
  template <typename Read>
  void Tables(const std::string& field, Read read) {
    const toml::node* node = Find(field);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) Fail(node, field, "must be a list of tables, each under [[" + path_ + field + "]]");
    for (const toml::node& item : *array) {
      if (!item.is_table()) Fail(&item, field, "must be a list of tables");
      Section section(file_, *item.as_table(), path_ + field + ".");
      read(section);
      section.Done();
    }
  }
  void Done() const {
    for (const auto& [key, node] : table_) {
      if (!read_.contains(std::string(key.str()))) Fail(&node, std::string(key.str()), "unknown field");
    }
  }
  const toml::node* Find(const std::string& field) {
    read_.insert(field);
    return table_.get(field);
  }

 private:
  const std::string& file_;
  const toml::table& table_;
  const std::string path_;
  std::set<std::string> read_;
};

void ReadClass(Section& s, Experiment& e) {
  ClassSpec c;
  s.Text("name", c.name);
  if (c.name.empty()) s.Fail(nullptr, "name", "missing");
  for (const ClassSpec& other : e.classes) {
    if (other.name == c.name) s.Fail(s.Find("name"), "name", "'" + c.name + "' is there twice");
  }
  s.Choice<Idempotency>("repeats", c.effect,
                        {{"safe", Idempotency::kIdempotent},
                         {"keyed", Idempotency::kIdempotencyKey},
                         {"never", Idempotency::kNonIdempotent}});
  s.Number("aim_ms", c.aim, 1, 1e6);
  s.Number("deadline_ms", c.deadline, 1, 1e6);
  if (c.deadline < c.aim) s.Fail(s.Find("deadline_ms"), "deadline_ms", "must not be below aim_ms");
  s.Number("worth", c.worth, 0, 1e6);
  s.Number("share", c.share, 0, 1e6);
  s.Number("work_ms", c.work, 0, 1e6);
  s.Choice<WorkShape>("work", c.shape,
                      {{"fixed", WorkShape::kFixed},
                       {"exponential", WorkShape::kExponential},
                       {"uniform", WorkShape::kUniform}});
  s.Count("body_bytes", c.body_bytes, 0, 32 << 20);
  s.Count("answer_bytes", c.answer_bytes, 0, 32 << 20);
  e.classes.push_back(c);
}

void ReadKind(Section& s, FleetSpec& fleet) {
  KindSpec k;
  s.Text("name", k.name);
  s.Count("count", k.count, 1, 2000);
  s.Count("cores", k.cores, 1, 1000);
  s.Number("speed", k.speed, 0.001, 1000);
  s.Count("slots", k.slots, 0, 100000);
  s.Count("waiting", k.waiting, 0, 1e9);
  s.Count("connections", k.connections, 0, 1e6);
  s.Number("connect_work_ms", k.connect_work, 0, 1000);
  s.Number("cold_from", k.cold_from, 0.001, 1);
  s.Seconds("cold_for_s", k.cold_for);
  s.Number("fall_multiple", k.fall_multiple, 0, 1000);
  s.Number("warm_gain", k.warm_gain, 0, 1);
  s.Seconds("warm_for_s", k.warm_for);
  s.Count("warm_keys", k.warm_keys, 0, 1e6);
  fleet.kinds.push_back(k);
}

void ReadLoad(Section& s, Experiment& e) {
  LoadSpec& l = e.load;
  using A = LoadSpec::Arrivals;
  s.Choice<A>("arrivals", l.arrivals,
              {{"poisson", A::kPoisson}, {"uniform", A::kUniform}, {"bursts", A::kBursts}});
  s.Number("rate", l.rate, 0.001, 1e6);
  s.Count("burst", l.burst, 1, 100000);
  s.Count("keys", l.keys, 1, 10000000);
  s.Number("zipf", l.zipf, 0, 10);
  s.Count("retries", l.retries, 0, 100);
  s.Seconds("retry_wait_s", l.retry_wait);
  s.Number("cost_noise", l.cost_noise, -1, 10);
  s.Text("trace", l.trace);
  s.Flag("keep", l.keep);
  s.Count("connections", l.connections, 1, 20000);
  s.Number("slow_readers", l.slow_readers, 0, 1);
  s.Number("slow_writers", l.slow_writers, 0, 1);
  s.Number("slow_rate", l.slow_rate, 1, 1e9);
  s.Count("closed_loop", l.closed_loop, 1, 10000);
  s.Number("most_late_ms", l.most_late, 0.01, 1e6);
  s.Tables("shape", [&](Section& t) {
    LoadShape shape;
    using K = LoadShape::Kind;
    t.Choice<K>("kind", shape.kind,
                {{"step", K::kStep}, {"ramp", K::kRamp}, {"sine", K::kSine}, {"spike", K::kSpike}}, true);
    shape.to = e.duration;
    t.Seconds("from_s", shape.from);
    t.Seconds("to_s", shape.to);
    t.Number("factor", shape.factor, 0, 1000);
    t.Seconds("period_s", shape.period);
    t.Text("tenant", shape.tenant);
    if (shape.to <= shape.from) t.Fail(t.Find("to_s"), "to_s", "must come after from_s");
    const auto known = [&](const TenantSpec& tenant) { return tenant.name == shape.tenant; };
    if (!shape.tenant.empty() && std::none_of(e.tenants.begin(), e.tenants.end(), known)) {
      t.Fail(t.Find("tenant"), "tenant", "no [[tenant]] is named '" + shape.tenant + "'");
    }
    l.shapes.push_back(shape);
  });
}

void ReadTrouble(Section& s, Experiment& e) {
  Trouble t;
  s.Choice<Trouble::Kind>("kind", t.kind, TroubleNames(), true);
  s.Seconds("at_s", t.at);
  s.Seconds("for_s", t.len);
  s.Number("share", t.share, 0, 1);
  s.Number("factor", t.factor, 0, 1000);
  s.Text("hall", t.hall);
  s.Count("gateway", t.gateway, 0, 1000);
  const auto& halls = e.fleet.halls;
  if (!t.hall.empty() && std::find(halls.begin(), halls.end(), t.hall) == halls.end()) {
    s.Fail(s.Find("hall"), "hall", "fleet.halls has no '" + t.hall + "'");
  }
  const bool whole_hall = t.kind == Trouble::Kind::kHallDead || t.kind == Trouble::Kind::kHallSilent;
  if (whole_hall && t.hall.empty()) s.Fail(nullptr, "hall", "missing");
  if (t.gateway >= e.gateways.count) s.Fail(s.Find("gateway"), "gateway", "there are fewer gateways");
  std::vector<double> side;
  s.Numbers("side", side, 0, e.gateways.count - 1);
  t.side.assign(side.begin(), side.end());
  if (t.side.empty() && t.gateway >= 0) t.side = {t.gateway};
  s.Flag("holder", t.holder);
  if (t.holder && !e.peers.share_list && !e.zones.on)
    s.Fail(s.Find("holder"), "holder", "nobody has a duty: peers.share_list is off, and there is no [zones]");
  using W = Trouble::Way;
  s.Choice<W>("way", t.way, {{"both", W::kBoth}, {"to", W::kTo}, {"from", W::kFrom}});
  const bool host_cut = t.kind == Trouble::Kind::kHostCut, peer_cut = t.kind == Trouble::Kind::kPeerCut;
  if ((host_cut || peer_cut) && t.side.empty() && !t.holder)
    s.Fail(nullptr, "side", "missing: which gateways are cut off");
  if (host_cut && !e.host_link.on) s.Fail(s.Find("kind"), "kind", "there is no [host_link]");
  if (peer_cut && !e.peers.on) s.Fail(s.Find("kind"), "kind", "there is no [peers]");
  if (t.kind == Trouble::Kind::kLinkCut && !e.link.on) s.Fail(s.Find("kind"), "kind", "there is no [link]");
  int times = 1;
  Millis every = t.len;
  s.Count("times", times, 1, 1000);
  s.Seconds("every_s", every);
  for (int i = 0; i < times; ++i, t.at += every) e.troubles.push_back(t);
}

}  // namespace

const char* Name(Trouble::Kind kind) {
  for (const auto& [name, known] : TroubleNames()) {
    if (known == kind) return name.c_str();
  }
  return "?";
}

Experiment ParseExperiment(const std::string& text, const std::string& file) {
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw SpecError(file + ":" + std::to_string(error.source().begin.line) + ": " +
                    std::string(error.description()));
  }
  Experiment e;
  e.file = file;
  Section s(file, table, "");
  s.Text("name", e.name);
  s.Text("about", e.about);
  s.Count("seed", e.seed, 0, 1e15);
  s.Seconds("duration_s", e.duration);
  if (e.duration <= 0) s.Fail(s.Find("duration_s"), "duration_s", "must be above 0");
  s.Seconds("window_s", e.window);
  s.Tables("class", [&](Section& t) { ReadClass(t, e); });
  if (e.classes.empty()) s.Fail(nullptr, "class", "there is no [[class]]");
  s.Tables("tenant", [&](Section& t) {
    TenantSpec tenant;
    t.Text("name", tenant.name);
    if (tenant.name.empty()) t.Fail(nullptr, "name", "missing");
    t.Number("share", tenant.share, 0, 1e6);
    t.Number("quota_per_s", tenant.quota_per_s, 0, 1e9);
    e.tenants.push_back(tenant);
  });
  s.Table("fleet", [&](Section& t) {
    t.Texts("halls", e.fleet.halls);
    t.Flag("drops_waiting", e.fleet.drops_waiting);
    t.Seconds("idle_s", e.fleet.idle);
    t.Tables("kind", [&](Section& k) { ReadKind(k, e.fleet); });
  });
  if (e.fleet.kinds.empty()) e.fleet.kinds.emplace_back();
  s.Table("discovery", [&](Section& t) {
    t.Number("delay_ms", e.discovery.delay, 0, 60000);
    t.Number("call_work_ms", e.discovery.call_work, 0, 10000);
    t.Number("most_wait_ms", e.discovery.most_wait, 0, 60000);
  });
  s.Table("gateways", [&](Section& t) {
    t.Count("count", e.gateways.count, 1, 64);
    t.Number("memory_mb", e.gateways.memory_mb, 16, 65536);
    t.Count("sockets", e.gateways.sockets, 64, 65536);
    t.Text("program", e.gateways.program);
    t.Count("attempts", e.gateways.attempts, 1, 100);
    t.Flag("retry_after", e.gateways.retry_after);
    t.Numbers("clock_ms", e.gateways.clocks, -1e9, 1e9);
  });
  for (LinkSpec* const link : {&e.link, &e.host_link}) {
    s.Table(link == &e.link ? "link" : "host_link", [&](Section& t) {
      link->on = true;
      t.Number("delay_ms", link->delay, 0, 60000);
      t.Number("jitter_ms", link->jitter, 0, 60000);
      t.Number("loss", link->loss, 0, 0.9);
      t.Number("stall_ms", link->stall, 0, 60000);
      t.Number("bandwidth", link->bandwidth, 0, 1e10);
      t.Number("reset", link->reset, 0, 1);
    });
  }
  s.Table("peers", [&](Section& t) {
    e.peers.on = true;
    t.Count("subset", e.peers.subset, 0, 1e6);
    t.Number("beat_ms", e.peers.beat, 20, 10000);
    t.Number("silent_ms", e.peers.silent, 50, 60000);
    t.Number("gone_ms", e.peers.gone, 50, 600000);
    t.Number("delay_ms", e.peers.link.delay, 0, 60000);
    t.Number("jitter_ms", e.peers.link.jitter, 0, 60000);
    t.Number("loss", e.peers.link.loss, 0, 1);
    t.Number("twice", e.peers.link.twice, 0, 1);
    t.Flag("share_list", e.peers.share_list);
    t.Number("lease_ms", e.peers.lease, 100, 600000);
    std::vector<double> old_lists;
    t.Numbers("old_lists", old_lists, 0, e.gateways.count - 2);
    e.peers.old_lists.assign(old_lists.begin(), old_lists.end());
  });
  // There each gateway is told other addresses or times, which one could not pass on to another.
  if (e.peers.share_list && (e.host_link.on || !e.gateways.clocks.empty()))
    s.Fail(s.Find("peers"), "peers.share_list", "does not go with [host_link] or gateways.clock_ms");
  s.Table("zones", [&](Section& t) {
    e.zones.on = true;
    if (!e.peers.on) t.Fail(nullptr, "", "there is no [peers]");
    t.Number("spare", e.zones.spare, 1, 100);
    t.Number("panic", e.zones.panic, 0, 1);
    t.Number("most_extra", e.zones.most_extra, 0, 100);
    t.Number("hold_ms", e.zones.hold, 100, 300000);
    t.Tables("region", [&](Section& r) { r.Texts("halls", e.zones.regions.emplace_back()); });
  });
  s.Table("load", [&](Section& t) { ReadLoad(t, e); });
  s.Tables("trouble", [&](Section& t) { ReadTrouble(t, e); });
  s.Done();
  if (e.name.empty()) e.name = file.substr(file.rfind('/') + 1);
  return e;
}

Experiment ReadExperiment(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) throw SpecError(file + ": can't be read");
  std::stringstream text;
  text << stream.rdbuf();
  return ParseExperiment(text.str(), file);
}

nlohmann::json GatewaySettings(const Experiment& e, int index) {
  using nlohmann::json;
  json classes = json::array(), tenants = json::array();
  for (const ClassSpec& c : e.classes) {
    const char* const effect = c.effect == Idempotency::kIdempotent       ? "pure"
                               : c.effect == Idempotency::kIdempotencyKey ? "token"
                                                                          : "side_effect";
    classes.push_back({{"name", c.name},
                       {"sloMs", c.aim},
                       {"deadlineMs", c.deadline},
                       {"importance", c.worth},
                       {"lateWorth", 0.0},
                       {"idempotency", effect},
                       {"group", "all"},
                       {"repeatWindowMs", 10000.0}});
  }
  for (const TenantSpec& t : e.tenants) tenants.push_back({{"name", t.name}, {"quotaPerS", t.quota_per_s}});
  double cold_from = 1, fall = 0;
  Millis cold_for = 0;
  bool warm = false;
  for (const KindSpec& k : e.fleet.kinds) {
    cold_from = std::min(cold_from, k.cold_from);
    cold_for = std::max(cold_for, k.cold_for);
    if (k.fall_multiple > 0) fall = fall > 0 ? std::min(fall, k.fall_multiple) : k.fall_multiple;
    warm = warm || k.warm_gain > 0;
  }
  return {{"categories", classes},
          {"projects", tenants},
          {"zone", e.fleet.halls[static_cast<std::size_t>(index) % e.fleet.halls.size()]},
          {"peersTotal", e.gateways.count},
          {"selfIndex", index},
          {"membershipMode", "ask"},
          {"limits",
           {{"maxAttempts", e.gateways.attempts},
            {"dialTimeoutMs", 250.0},
            {"connIdleMs", e.fleet.idle},
            {"cancelling", true},
            {"retryAfter", e.gateways.retry_after},
            {"maxRetryAfterMs", 2000.0}}},
          {"clientHabits", {{"marksRetry", true}}},
          {"familyInfo", {{"warmKeys", warm}}},
          {"rules",
           {{"askWithinMs", 6000.0},
            {"coldFrom", cold_from},
            {"coldMs", cold_for},
            {"fallMultiple", fall > 0 ? fall : 3.0}}}};
}

}  // namespace meadowyard::lab
