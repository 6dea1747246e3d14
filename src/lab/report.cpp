#include "lab/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>

#include "lab/fleet_figures.hpp"
#include "lab/hall_figures.hpp"

namespace meadowyard::lab {
namespace {

namespace bh = boost::histogram;
constexpr double kLeastMs = 1e-3, kMostMs = 1e6;
constexpr double kUnanswered = 1e9;  // latency of what was never answered

struct Fate {  // of a request, over all its tries
  enum class How { kServed, kRefused, kFailed, kUnanswered } how = How::kUnanswered;
  double latency = kUnanswered;  // from when the first try was due
};

std::vector<Fate> Fates(const Run& run) {
  std::vector<Fate> fates(run.arrivals.size());
  for (const Try& t : run.tries) {
    Fate& fate = fates[t.arrival];
    if (fate.how == Fate::How::kServed) continue;
    const Millis due = run.start + run.arrivals[t.arrival].due;
    switch (t.outcome) {
      case Try::Outcome::kServed: fate = {Fate::How::kServed, t.ended - due}; break;
      case Try::Outcome::kRefused: fate = {Fate::How::kRefused, t.ended - due}; break;
      case Try::Outcome::kFailed: fate = {Fate::How::kFailed, t.ended - due}; break;
      default: fate = {Fate::How::kUnanswered, kUnanswered}; break;
    }
  }
  return fates;
}

void Count(Part& part, const Fate& fate, const ClassSpec& c) {
  ++part.asked;
  part.wanted += c.worth;
  part.served += fate.how == Fate::How::kServed;
  part.refused += fate.how == Fate::How::kRefused;
  part.failed += fate.how == Fate::How::kFailed;
  part.unanswered += fate.how == Fate::How::kUnanswered;
  if (fate.how != Fate::How::kServed || fate.latency > c.aim) return;
  ++part.timely;
  part.won += c.worth;
}

nlohmann::ordered_json ToJson(const Quantiles& q) {
  return {{"count", q.count}, {"mean_ms", q.mean},  {"p50_ms", q.p50},  {"p90_ms", q.p90},
          {"p99_ms", q.p99},  {"p99.9_ms", q.p999}, {"most_ms", q.most}};
}

nlohmann::ordered_json ToJson(const Part& p) {
  return {{"name", p.name},     {"goodput", p.goodput()},     {"asked", p.asked},
          {"served", p.served}, {"timely", p.timely},         {"refused", p.refused},
          {"failed", p.failed}, {"unanswered", p.unanswered}, {"latency", ToJson(p.latency)}};
}

std::string Row(const std::string& name, const Part& p) {
  return fmt::format("{:<18} {:>7} {:>8.1f}% {:>8} {:>8} {:>8} {:>8} {:>8.1f} {:>8.1f} {:>8.1f}\n", name,
                     p.asked, 100 * p.goodput(), p.served, p.refused, p.failed, p.unanswered, p.latency.p50,
                     p.latency.p99, p.latency.p999);
}

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '&') {
      out += "&amp;";
    } else if (c == '<') {
      out += "&lt;";
    } else {
      out += c;
    }
  }
  return out;
}

constexpr double kWidth = 900, kHeight = 180, kLeft = 60, kTop = 18;

// A plot over the seconds of a run, the troubles marked behind the lines.
std::string Plot(const Report& r, const std::string& title, const std::string& unit,
                 const std::vector<std::tuple<std::string, std::string, std::vector<double>>>& lines) {
  double most = 1e-9;
  for (const auto& [name, colour, values] : lines) {
    for (const double v : values) most = std::max(most, v);
  }
  const double seconds = std::max<double>(1, static_cast<double>(r.seconds.size()));
  const auto x = [&](double s) { return kLeft + kWidth * s / seconds; };
  const auto y = [&](double v) { return kTop + kHeight * (1 - v / most); };
  std::string svg = fmt::format("<h3>{}</h3><svg viewBox='0 0 {} {}' role='img' aria-label='{}'>",
                                Escape(title), kLeft + kWidth + 20, kTop + kHeight + 30, Escape(title));
  for (const Trouble& t : r.troubles) {
    svg += fmt::format(
        "<rect x='{:.1f}' y='{}' width='{:.1f}' height='{}' class='trouble'><title>{}</title></rect>",
        x(t.at / 1000), kTop, std::max(2.0, kWidth * t.len / 1000 / seconds), kHeight, Name(t.kind));
    svg += fmt::format("<text x='{:.1f}' y='{}' class='mark'>{}</text>", x(t.at / 1000) + 2, kTop - 4,
                       Name(t.kind));
  }
  for (int i = 0; i <= 4; ++i) {
    const double v = most * i / 4;
    svg += fmt::format(
        "<line x1='{}' x2='{}' y1='{:.1f}' y2='{:.1f}' class='grid'/><text x='{}' y='{:.1f}' "
        "class='axis'>{:.4g}{}</text>",
        kLeft, kLeft + kWidth, y(v), y(v), 2, y(v) + 4, v, unit);
  }
  for (int i = 0; i <= 6; ++i) {
    const double s = seconds * i / 6;
    svg +=
        fmt::format("<text x='{:.1f}' y='{}' class='axis'>{:.0f} s</text>", x(s) - 8, kTop + kHeight + 16, s);
  }
  std::string legend;
  for (const auto& [name, colour, values] : lines) {
    std::string points;
    for (std::size_t i = 0; i < values.size(); ++i)
      points += fmt::format("{:.1f},{:.1f} ", x(static_cast<double>(i) + 0.5), y(values[i]));
    svg += fmt::format("<polyline points='{}' fill='none' stroke='{}' stroke-width='1.6'/>", points, colour);
    legend += fmt::format("<span style='color:{}'>&#9632; {}</span> ", colour, Escape(name));
  }
  return svg + "</svg><p class='legend'>" + legend + "</p>";
}

}  // namespace

Quantiles QuantilesOf(const std::vector<double>& values) {
  Quantiles q;
  q.count = values.size();
  if (values.empty()) return q;
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  auto histogram = bh::make_histogram(Axis(2072, kLeastMs, kMostMs));  // 1% a bin
  double sum = 0;
  for (const double v : values) {
    histogram(std::clamp(v, kLeastMs, kMostMs * 0.999));
    sum += v;
    q.most = std::max(q.most, v);
  }
  q.mean = sum / static_cast<double>(values.size());
  const auto& axis = histogram.axis();
  const auto at = [&](double part) {
    const double rank = part * static_cast<double>(values.size());
    double seen = 0;
    for (int i = 0; i < axis.size(); ++i) {
      const double here = histogram.at(i);
      if (seen + here >= rank && here > 0) {
        return axis.bin(i).lower() *
               std::pow(axis.bin(i).upper() / axis.bin(i).lower(), (rank - seen) / here);
      }
      seen += here;
    }
    return q.most;
  };
  q.p50 = at(0.5), q.p90 = at(0.9), q.p99 = at(0.99), q.p999 = at(0.999);
  return q;
}

std::vector<double> ClosedLoop(const std::vector<Arrival>& arrivals, const std::vector<double>& latency,
                               int connections) {
  std::vector<double> seen;
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (int i = 0; i < connections; ++i) free_at.push(0);
  std::size_t next = 0;
  for (const Arrival& a : arrivals) {
    const double asks = std::max(a.due, free_at.top());
    free_at.pop();
    while (next + 1 < arrivals.size() && arrivals[next].due < asks) ++next;
    // What it would have met is what the first request due from then on met.
    if (latency[next] >= kUnanswered) {
      free_at.push(asks + arrivals[next].patience);
      continue;
    }
    seen.push_back(latency[next]);
    free_at.push(asks + latency[next]);
  }
  return seen;
}

Report MakeReport(const Run& run) {
  const Experiment& e = run.experiment;
  Report r;
  r.name = e.name, r.about = e.about, r.seed = run.seed, r.duration = e.duration;
  r.troubles = e.troubles, r.gateways = run.gateways, r.remarks = run.remarks;
  r.all.name = "all";
  for (const ClassSpec& c : e.classes) r.classes.emplace_back().name = c.name;
  for (const TenantSpec& t : e.tenants) r.tenants.emplace_back().name = t.name;
  r.seconds.resize(static_cast<std::size_t>(std::ceil(e.duration / 1000)));
  const auto fates = Fates(run);
  std::vector<double> all, latency;
  std::vector<std::vector<double>> by_class(e.classes.size()), by_tenant(e.tenants.size()),
      by_second(r.seconds.size());
  for (std::size_t i = 0; i < std::min(fates.size(), run.lateness.size()); ++i) {  // those that were sent
    const Arrival& a = run.arrivals[i];
    const ClassSpec& c = e.classes[a.cls];
    const auto second = std::min(r.seconds.size() - 1, static_cast<std::size_t>(a.due / 1000));
    Count(r.all, fates[i], c);
    Count(r.classes[a.cls], fates[i], c);
    if (a.tenant >= 0) Count(r.tenants[static_cast<std::size_t>(a.tenant)], fates[i], c);
    Second& s = r.seconds[second];
    const bool served = fates[i].how == Fate::How::kServed, timely = served && fates[i].latency <= c.aim;
    ++s.asked, s.served += served, s.timely += timely, s.refused += fates[i].how == Fate::How::kRefused;
    s.failed += !served && fates[i].how != Fate::How::kRefused;
    s.wanted += c.worth, s.won += timely ? c.worth : 0;
    latency.push_back(served ? fates[i].latency : kUnanswered);
    if (!served) continue;
    all.push_back(fates[i].latency);
    by_class[a.cls].push_back(fates[i].latency);
    if (a.tenant >= 0) by_tenant[static_cast<std::size_t>(a.tenant)].push_back(fates[i].latency);
    by_second[second].push_back(fates[i].latency);
  }
  r.all.latency = QuantilesOf(all);
  for (std::size_t i = 0; i < by_class.size(); ++i) r.classes[i].latency = QuantilesOf(by_class[i]);
  for (std::size_t i = 0; i < by_tenant.size(); ++i) r.tenants[i].latency = QuantilesOf(by_tenant[i]);
  for (std::size_t i = 0; i < by_second.size(); ++i) r.seconds[i].p99 = QuantilesOf(by_second[i]).p99;
  const auto window =
      std::max<std::size_t>(1, std::min(r.seconds.size(), static_cast<std::size_t>(e.window / 1000)));
  for (std::size_t from = 0; from + window <= r.seconds.size(); ++from) {
    double wanted = 0, won = 0;
    for (std::size_t i = from; i < from + window; ++i) wanted += r.seconds[i].wanted, won += r.seconds[i].won;
    if (wanted <= 0 || won / wanted >= r.worst_window) continue;
    r.worst_window = won / wanted;
    r.worst_at = 1000.0 * static_cast<double>(from);
  }
  const std::vector<Arrival> sent(run.arrivals.begin(),
                                  run.arrivals.begin() + static_cast<std::ptrdiff_t>(latency.size()));
  r.closed_loop = QuantilesOf(ClosedLoop(sent, latency, e.load.closed_loop));
  r.lateness = QuantilesOf({run.lateness.begin(), run.lateness.end()});
  if (r.lateness.p99 > e.load.most_late) {
    r.valid = false;
    r.remarks.push_back(
        fmt::format("the generator was late itself: p99 {:.2f} ms, {:.2f} ms at the most are allowed; "
                    "it wanted for CPU, and this run counts for nothing",
                    r.lateness.p99, e.load.most_late));
  }
  if (run.interrupted) {
    r.valid = false;
    r.remarks.push_back(
        fmt::format("interrupted after {} of {} requests", run.lateness.size(), run.arrivals.size()));
  }
  std::size_t whole = 0;
  for (const Execution& x : run.ledger.executions) whole += x.last > 0;
  r.attempts = r.all.asked > 0 ? static_cast<double>(whole) / static_cast<double>(r.all.asked) : 0;
  r.connections = run.ledger.connections, r.discovery_calls = run.ledger.discovery_calls,
  r.probes = run.ledger.probes;
  r.seen = run.seen;
  for (PeersSeen& s : r.seen) s.at -= run.start;
  const FleetFigures fleet = FiguresOf(run);
  if (e.fleet.halls.size() > 1 && !run.ledger.hosts.empty())
    r.halls = std::make_shared<HallFigures>(HallsOf(run));
  r.cold = fleet.cold, r.acts = fleet.acts, r.gaps = fleet.gaps;
  if (!run.ledger.hosts.empty()) r.findings = Judge({e, run.arrivals, run.tries, run.ledger, run.outages});
  return r;
}

std::string ToText(const Report& r) {
  std::string text =
      fmt::format("{}\nseed {}, {:.0f} s, {} requests\n", r.name, r.seed, r.duration / 1000, r.all.asked);
  if (!r.about.empty()) text += r.about + "\n";
  text += fmt::format("\n{:<18} {:>7} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "", "asked",
                      "goodput", "served", "refused", "failed", "no answer", "p50 ms", "p99 ms", "p99.9");
  text += Row("all", r.all);
  for (const Part& p : r.classes) text += Row("  " + p.name, p);
  for (const Part& p : r.tenants) text += Row("  owner " + p.name, p);
  text += fmt::format(
      "worst {:.0f} s: {:.1f}% from {:.0f} s on; {:.2f} attempts a request; {} connections to hosts, {} "
      "calls "
      "to discovery\n",
      std::min(10.0, r.duration / 1000), 100 * r.worst_window, r.worst_at / 1000, r.attempts, r.connections,
      r.discovery_calls);
  text += fmt::format(
      "latency from when each was due: p50 {:.1f}, p99 {:.1f}, p99.9 {:.1f} ms; a closed-loop client would "
      "claim "
      "{:.1f}, {:.1f}, {:.1f} ms\n",
      r.all.latency.p50, r.all.latency.p99, r.all.latency.p999, r.closed_loop.p50, r.closed_loop.p99,
      r.closed_loop.p999);
  text += fmt::format("the generator itself was late by p50 {:.3f}, p99 {:.3f}, at most {:.3f} ms\n",
                      r.lateness.p50, r.lateness.p99, r.lateness.most);
  for (const GatewayCost& g : r.gateways) {
    text += fmt::format("{}: {:.2f} s of CPU, at most {:.1f} MB, {} descriptors\n", g.name,
                        g.usage.cpu_ms / 1000, g.usage.peak_kb / 1024, g.usage.descriptors);
  }
  if (r.halls) {
    const HallFigures& h = *r.halls;
    text += fmt::format("in their own halls: {:.1f}% of attempts, {:.1f}% before the first trouble;",
                        100 * h.kept, 100 * h.kept_before);
    for (const auto& [hall, load] : h.most_load)
      text += fmt::format(" {} at most {:.2f} times its load before;", hall, load);
    text += "\n";
    if (!h.changes.empty()) {
      text += fmt::format(
          "halls: {} agreements, {} falls, {} of them flaps; first fall agreed after {:.0f} ms, known "
          "to all after {:.0f} ms; longest disagreement {:.0f} ms\n",
          h.changes.size(), h.falls, h.flaps, h.first_fall, h.moved, h.disagreed);
    }
  }
  text += "rules:";
  for (const Finding& f : r.findings) {
    text += f.count == 0 ? fmt::format(" {} kept;", Name(f.rule))
                         : fmt::format(" {} BROKEN {} times;", Name(f.rule), f.count);
  }
  text += "\n";
  for (const Finding& f : r.findings) {
    for (const std::string& example : f.examples) text += fmt::format("  {}: {}\n", Name(f.rule), example);
  }
  for (const std::string& remark : r.remarks) text += "note: " + remark + "\n";
  return text + (r.valid ? "" : "INVALID\n");
}

nlohmann::ordered_json ToJson(const Report& r) {
  nlohmann::ordered_json j = {{"name", r.name},
                              {"seed", r.seed},
                              {"duration_s", r.duration / 1000},
                              {"valid", r.valid},
                              {"all", ToJson(r.all)},
                              {"worst_window", {{"goodput", r.worst_window}, {"from_s", r.worst_at / 1000}}},
                              {"attempts_per_request", r.attempts},
                              {"closed_loop", ToJson(r.closed_loop)},
                              {"generator_lateness", ToJson(r.lateness)},
                              {"host_connections", r.connections},
                              {"discovery_calls", r.discovery_calls},
                              {"probes", r.probes}};
  for (const auto& [name, parts] : {std::pair("classes", &r.classes), std::pair("tenants", &r.tenants)}) {
    j[name] = nlohmann::ordered_json::array();
    for (const Part& p : *parts) j[name].push_back(ToJson(p));
  }
  for (const GatewayCost& g : r.gateways) {
    j["gateways"].push_back({{"name", g.name},
                             {"cpu_ms", g.usage.cpu_ms},
                             {"peak_kb", g.usage.peak_kb},
                             {"descriptors", g.usage.descriptors}});
  }
  for (const Finding& f : r.findings)
    j["rules"][Name(f.rule)] = {{"broken", f.count}, {"examples", f.examples}};
  for (const Second& s : r.seconds) {
    j["seconds"].push_back({{"asked", s.asked},
                            {"timely", s.timely},
                            {"served", s.served},
                            {"refused", s.refused},
                            {"failed", s.failed},
                            {"p99_ms", s.p99}});
  }
  if (!r.seen.empty()) j["cold_budget_used"] = r.cold;
  if (r.acts > 0) j["duty"] = {{"acts", r.acts}, {"gaps_ms", r.gaps}};
  if (r.halls) {
    const HallFigures& h = *r.halls;
    j["halls"] = {{"kept", h.kept},
                  {"kept_before", h.kept_before},
                  {"most_load", h.most_load},
                  {"falls", h.falls},
                  {"flaps", h.flaps},
                  {"first_fall_ms", h.first_fall},
                  {"moved_ms", h.moved},
                  {"disagreed_ms", h.disagreed},
                  {"changes", nlohmann::json::array()}};
    for (const HallChange& c : h.changes) {
      j["halls"]["changes"].push_back(
          {{"at_s", c.at / 1000},
           {"term", c.term},
           {"version", c.version},
           {"health", nlohmann::ordered_json(std::map(c.health.begin(), c.health.end()))},
           {"reached_ms", c.reached}});
    }
  }
  for (const PeersSeen& s : r.seen) {
    j["peers_seen"].push_back({{"at_s", s.at / 1000},
                               {"gateway", s.gateway},
                               {"listed", s.listed},
                               {"present", s.present},
                               {"place", s.place},
                               {"shared_among", s.shared_among},
                               {"hosts_used", s.hosts_used},
                               {"in_touch", s.in_touch}});
  }
  j["remarks"] = r.remarks;
  return j;
}

std::string ToHtml(const Report& r) {
  const auto series = [&](auto get) {
    std::vector<double> values;
    for (const Second& s : r.seconds) values.push_back(get(s));
    return values;
  };
  std::string page =
      "<!doctype html><html lang='en'><meta charset='utf-8'><title>" + Escape(r.name) +
      "</title><style>body{font:15px/1.45 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 "
      "1em}"
      "svg{width:100%}pre{background:#f4f4f1;padding:1em;overflow:auto}.grid{stroke:#ddd}.axis,.mark{font-"
      "size:11px;"
      "fill:#555}.trouble{fill:#f3d9c4}.mark{fill:#9a4a12}.legend span{margin-right:1em}</style><h1>" +
      Escape(r.name) + "</h1><p>" + Escape(r.about) + "</p>";
  page += Plot(
      r, "Requests a second", "",
      {{"asked", "#888", series([](const Second& s) { return static_cast<double>(s.asked); })},
       {"served in time", "#1b7837", series([](const Second& s) { return static_cast<double>(s.timely); })},
       {"refused", "#b35806", series([](const Second& s) { return static_cast<double>(s.refused); })},
       {"failed or unanswered", "#b2182b",
        series([](const Second& s) { return static_cast<double>(s.failed); })}});
  page += Plot(r, "Goodput", "%", {{"worth won of worth asked", "#1b7837", series([](const Second& s) {
                                      return s.wanted > 0 ? 100 * s.won / s.wanted : 0;
                                    })}});
  page += Plot(r, "Latency from when each request was due, p99", " ms",
               {{"p99", "#2166ac", series([](const Second& s) { return s.p99; })}});
  return page + "<pre>" + Escape(ToText(r)) + "</pre></html>\n";
}

}  // namespace meadowyard::lab
