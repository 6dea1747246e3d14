#include "lab/referee.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

#include "coordination/lease.hpp"

namespace meadowyard::lab {
namespace {

constexpr Millis kDrainLimit = 1050;  // 50 ms for the way, as on sockets everywhere
constexpr Millis kSlack = 60;         // for a busy machine's timers
constexpr Millis kBarelySent = 100;   // a request sent with less time left could not be answered
constexpr std::size_t kExamples = 3;
constexpr std::size_t kStreamed = 64 * 1024;  // longer answers go to the client before they are whole
constexpr Millis kAfterKill = 100;            // ends that a kill explains
constexpr Millis kChange = 2000;              // for what was sent by the state before to come to its host
constexpr double kRetryShare = 0.1;           // further tries that a gateway has for each first one
constexpr double kRetryBurst = 20;            // and may have saved up

class Court {
 public:
  explicit Court(const Evidence& e) : e_(e) {
    for (int i = 0; i < kRules; ++i) findings_.push_back({static_cast<Rule>(i), 0, {}});
    for (const Try& t : e.tries) tries_.emplace(t.id, &t);
    for (const Execution& x : e.ledger.executions) runs_[x.id].push_back(&x);
  }

  std::vector<Finding> Judge() {
    for (const Try& t : e_.tries) JudgeTry(t);
    for (auto& [id, runs] : runs_) JudgeRuns(id, runs);
    JudgeDrains();
    for (const int duty : {0, 1}) JudgeDuty(duty);
    JudgeAgreements();
    JudgeHalls();
    for (const HostEvent& event : e_.ledger.events) {
      if (event.what == "fell")
        Found(Rule::kColdHosts, event.at, "host " + HostName(event.host) + " fell over");
    }
    if (e_.ledger.bad_requests > 0) Found(Rule::kKnownRequests, 0, "requests with no usable id");
    std::sort(findings_.begin(), findings_.end(),
              [](const auto& a, const auto& b) { return a.rule < b.rule; });
    return std::move(findings_);
  }

 private:
  void Found(Rule rule, Millis at, const std::string& what) {
    Finding& finding = findings_[static_cast<std::size_t>(rule)];
    ++finding.count;
    if (finding.examples.size() < kExamples) {
      finding.examples.push_back(
          at > 0 && !e_.tries.empty() ? fmt::format("{} at {:.3f} s", what, (at - Start()) / 1000) : what);
    }
  }
  Millis Start() const { return e_.tries.front().due - e_.arrivals[e_.tries.front().arrival].due; }
  std::string HostName(int host) const { return e_.ledger.hosts[static_cast<std::size_t>(host)]; }
  const ClassSpec& ClassOf(const Try& t) const { return e_.experiment.classes[e_.arrivals[t.arrival].cls]; }

  bool Excused(const Try& t) const {
    return std::any_of(e_.outages.begin(), e_.outages.end(), [&](const Outage& o) {
      return o.gateway == t.gateway && t.due <= o.to + kAfterKill && t.ended >= o.from - kAfterKill;
    });
  }

  // How long a request that no host has seen may stay without its answer: half of its time. While hosts are
  // silent it may lie unread on a connection that was up, where nothing tells it from one that is at work:
  // there the aim is what a gateway may wait for.
  Millis MostHeld(const Try& t) const {
    const auto silent = [&](const Trouble& trouble) {
      const bool kind = trouble.kind == Trouble::Kind::kHallSilent ||
                        trouble.kind == Trouble::Kind::kFreeze || trouble.kind == Trouble::Kind::kHostCut;
      const Millis from = Start() + trouble.at;
      return kind && t.ended >= from && t.sent <= from + trouble.len;
    };
    const auto& troubles = e_.experiment.troubles;
    const bool any = std::any_of(troubles.begin(), troubles.end(), silent);
    return any ? std::max(t.patience / 2, ClassOf(t).aim) : t.patience / 2;
  }

  void JudgeTry(const Try& t) {
    const std::string what = fmt::format("{} {:016x}", ClassOf(t).name, t.id);
    if (t.outcome == Try::Outcome::kTwice) Found(Rule::kOneAnswer, t.ended, what + " answered twice");
    if (t.outcome == Try::Outcome::kWrong)
      Found(Rule::kTrueAnswer, t.ended, what + " served with another's answer");
    const auto runs = runs_.find(t.id);
    if (t.outcome == Try::Outcome::kServed) {
      const auto answered = [](const Execution* x) { return x->outcome == Execution::Outcome::kAnswered; };
      if (runs == runs_.end() || std::none_of(runs->second.begin(), runs->second.end(), answered)) {
        Found(Rule::kTrueAnswer, t.ended, what + " served, though no host answered it");
      }
    }
    // Over a poor link what the client doesn't see may have been the link's doing.
    if (e_.experiment.link.on || Excused(t)) return;
    const bool in_time = t.sent > 0 && t.sent < t.due + t.patience - kBarelySent;
    // Of a streamed answer only the beginning is the gateway's to have in time.
    const bool begun = t.first > 0 && ClassOf(t).answer_bytes > kStreamed;
    if (t.outcome == Try::Outcome::kGaveUp && in_time && !begun)
      Found(Rule::kOneAnswer, t.ended, what + " never answered");
    if (t.outcome == Try::Outcome::kCut && in_time && ClassOf(t).answer_bytes <= kStreamed) {
      Found(Rule::kOneAnswer, t.ended, what + " cut off without an answer");
    }
    const bool given_up = t.outcome == Try::Outcome::kRefused || t.outcome == Try::Outcome::kFailed;
    if (given_up && runs == runs_.end() && t.ended - t.sent > MostHeld(t) + kSlack) {
      Found(Rule::kPrompt, t.ended,
            fmt::format("{} answered {} unsent after {:.0f} of {:.0f} ms", what, t.status, t.ended - t.sent,
                        t.patience));
    }
  }

  void JudgeRuns(std::uint64_t id, std::vector<const Execution*>& runs) {
    std::sort(runs.begin(), runs.end(), [](const auto* a, const auto* b) { return a->first < b->first; });
    if (!tries_.contains(id))
      return Found(Rule::kKnownRequests, runs.front()->first, fmt::format("{:016x}", id));
    for (std::size_t i = 1; i < runs.size(); ++i) {
      const bool may_have_run = runs[i - 1]->outcome != Execution::Outcome::kDeclined;
      if (runs[i]->unsafe && may_have_run) {
        Found(Rule::kNoRepeat, runs[i]->first,
              fmt::format("{:016x} sent to {} after {}", id, HostName(runs[i]->host),
                          HostName(runs[i - 1]->host)));
      }
    }
  }

  // Each act carries a token. Once a gateway has acted with a higher one, no other acts with a lower, and
  // none has another's.
  void JudgeDuty(int duty) {
    coordination::FencingToken highest = 0;
    int holder = -1;
    for (const DutyAct& act : e_.ledger.acts) {
      if (act.duty != duty) continue;
      if (act.gateway != holder && holder >= 0 && act.token <= highest) {
        Found(Rule::kOneHolder, act.at,
              fmt::format("gateway {} acted with {:x} after gateway {} had with {:x}", act.gateway, act.token,
                          holder, highest));
      }
      if (act.token > highest) highest = act.token, holder = act.gateway;
    }
  }

  // Whoever says that something was agreed says so after more than half had voted for it, or itself had heard
  // so; and what was agreed under one number is one thing.
  void JudgeAgreements() {
    using Kind = HallsWord::Kind;
    using Id = std::pair<std::uint64_t, std::uint64_t>;
    std::map<Id, std::set<int>> votes;  // that have come to whoever had asked for them; and itself
    std::map<Id, std::vector<std::pair<std::string, double>>> states;
    for (const HallsWord& w : e_.ledger.words) {
      const Id id{w.term, w.version};
      if (w.kind == Kind::kVote && w.arrived > 0) votes[id].insert(w.from), votes[id].insert(w.to);
      if (w.kind == Kind::kVote || w.left <= 0) continue;
      const auto [known, added] = states.emplace(id, w.health);
      if (!added && known->second != w.health)
        Found(Rule::kAgreedHalls, w.left, fmt::format("two states under {:x}.{}", w.term, w.version));
      if (w.kind == Kind::kOffer) continue;
      const std::size_t for_it = std::max<std::size_t>(1, votes[id].size());
      if (2 * for_it <= static_cast<std::size_t>(e_.experiment.gateways.count)) {
        Found(Rule::kAgreedHalls, w.left,
              fmt::format("gateway {} takes {:x}.{} for agreed with {} for it", w.from, w.term, w.version,
                          for_it));
      }
    }
  }

  // While all that a gateway has been told keeps its requests in its own hall it sends others but further
  // tries, which its budget bounds.
  void JudgeHalls() {
    const ZonesSpec& zones = e_.experiment.zones;
    if (!zones.on) return;
    const int gateways = e_.experiment.gateways.count;
    std::vector<std::vector<std::pair<Millis, bool>>> home(static_cast<std::size_t>(gateways));
    for (const HallsWord& w : e_.ledger.words) {
      if (w.kind == HallsWord::Kind::kOffer || w.kind == HallsWord::Kind::kVote) continue;
      const int g = w.arrived > 0 ? w.to : w.from;  // who says it has it, too
      double fit = 0;
      for (const auto& [hall, health] : w.health) {
        if (hall == HallOf(g)) fit = health;
      }
      home[static_cast<std::size_t>(g)].push_back({std::max(w.left, w.arrived), zones.spare * fit >= 1});
    }
    std::vector<double> crossed(home.size(), 0), tries(home.size(), 0);
    for (const Try& t : e_.tries) ++tries[static_cast<std::size_t>(t.gateway)];
    for (const Execution& x : e_.ledger.executions) {
      const auto t = tries_.find(x.id);
      if (t == tries_.end()) continue;
      const int gateway = t->second->gateway;
      const auto g = static_cast<std::size_t>(gateway);
      if (e_.ledger.halls[static_cast<std::size_t>(x.host)] == HallOf(gateway)) continue;
      bool any = false, away = false;  // told anything yet; told a moment ago that its hall is not whole
      for (std::size_t i = 0; i < home[g].size() && home[g][i].first <= x.first; ++i) {
        const bool in_force = i + 1 == home[g].size() || home[g][i + 1].first > x.first - kChange;
        any = true;
        away = away || (in_force && !home[g][i].second);
      }
      crossed[g] += any && !away;
    }
    for (std::size_t g = 0; g < home.size(); ++g) {
      if (crossed[g] > kRetryBurst + kRetryShare * tries[g]) {
        Found(
            Rule::kAgreedHalls, 0,
            fmt::format("gateway {} sent {:.0f} of {:.0f} to other halls, though its own was held for whole",
                        g, crossed[g], tries[g]));
      }
    }
  }
  const std::string& HallOf(int gateway) const {
    const auto& halls = e_.experiment.fleet.halls;
    return halls[static_cast<std::size_t>(gateway) % halls.size()];
  }

  void JudgeDrains() {
    std::map<std::pair<int, int>, std::vector<const Told*>> told;  // by gateway and host, in time
    for (const Told& t : e_.ledger.told) told[{t.gateway, t.host}].push_back(&t);
    for (const Execution& x : e_.ledger.executions) {
      const auto t = tries_.find(x.id);
      if (t == tries_.end()) continue;
      const auto news = told.find({t->second->gateway, x.host});
      if (news == told.end()) continue;
      Millis down_since = 0;
      for (const Told* n : news->second) {
        if (n->at > x.first) break;
        down_since = n->up ? 0 : down_since > 0 ? down_since : n->at;
      }
      if (down_since > 0 && x.first > down_since + kDrainLimit) {
        Found(Rule::kDrains, x.first,
              fmt::format("{:016x} sent to {} {:.0f} ms after it was told", x.id, HostName(x.host),
                          x.first - down_since));
      }
    }
  }

  const Evidence& e_;
  std::vector<Finding> findings_;
  std::unordered_map<std::uint64_t, const Try*> tries_;
  std::unordered_map<std::uint64_t, std::vector<const Execution*>> runs_;
};

}  // namespace

const char* Name(Rule rule) {
  constexpr const char* kNames[] = {"one answer", "true answer",    "no repeat",  "drains",      "cold hosts",
                                    "prompt",     "known requests", "one holder", "agreed halls"};
  return kNames[static_cast<int>(rule)];
}

std::vector<Finding> Judge(const Evidence& evidence) { return Court(evidence).Judge(); }

bool Clean(const std::vector<Finding>& findings) {
  return std::all_of(findings.begin(), findings.end(), [](const Finding& f) { return f.count == 0; });
}

}  // namespace meadowyard::lab
