// Where requests go by zones: what each gateway makes of what was agreed, when that changes, and that nobody
// goes by what more than half have not agreed. No sockets, no real time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "coordination/zone_state_coordinator.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::testing {
namespace {

using namespace coordination;

using Zone = ZoneAgreement::Zone;

Settings Near(const std::string& zone) {
  Settings s;
  TrafficClassSettings c;
  c.name = "view", c.latency_objective = 1000, c.deadline = 2000, c.idempotency = Idempotency::kIdempotent;
  s.classes = {c};
  s.zone = zone;
  s.zone_routing.enabled = true;
  return s;
}

struct Spread {
  std::string name;
  std::vector<Zone> zones;  // this gateway stands in a; a and b are of one region
  std::map<std::string, double> parts;
  double refused = 0;
};
std::ostream& operator<<(std::ostream& out, const Spread& s) { return out << s.name; }

class Parts : public ::testing::TestWithParam<Spread> {};

TEST_P(Parts, GoNearFirstAndNoFurtherThanThereIsRoom) {
  const Spread& c = GetParam();
  Settings s = Near("a");
  s.zone_routing.regions = {{"a", 0}, {"b", 0}, {"c", 1}};
  Policy policy(s, 1);
  std::vector<Action> actions;
  policy.Handle(0, ZoneAgreement{5, 1, c.zones}, actions);
  std::map<std::string, double> parts;
  double all = 0;
  for (const auto& [zone, part] : policy.ZoneWeights()) parts[zone] += part, all += part;
  for (const auto& [zone, part] : c.parts) EXPECT_NEAR(parts[zone], part, 0.01) << zone;
  EXPECT_NEAR(1 - all, c.parts.empty() ? 1 : c.refused, 0.01);
  // What is refused is refused at once, and says so.
  actions.clear();
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    Request r;
    r.id = std::to_string(i), r.class_name = "view", r.time_left = 2000;
    policy.Handle(1, r, actions);
    policy.Handle(1, ClientDisconnected{r.id}, actions);  // or the queue would be full
  }
  for (const Action& a : actions) refused += std::holds_alternative<Reject>(a);
  EXPECT_NEAR(refused / 1000.0, c.refused, 0.06);
}

INSTANTIATE_TEST_SUITE_P(
    Of, Parts,
    ::testing::Values(
        Spread{"AllFit", {{"a", 1, 4, 100}, {"b", 1, 4, 100}, {"c", 1, 4, 100}}, {{"a", 1}}},
        Spread{"FitEnough", {{"a", 0.8, 4, 100}, {"b", 1, 4, 100}}, {{"a", 1}}},
        Spread{
            "HalfLost", {{"a", 0.5, 4, 100}, {"b", 1, 4, 100}, {"c", 1, 4, 100}}, {{"a", 0.7}, {"b", 0.3}}},
        Spread{"OnDiscoveryFailed",
               {{"a", 0, 4, 100}, {"b", 1, 4, 100}, {"c", 1, 4, 100}},
               {{"a", 0}, {"b", 0.67}, {"c", 0.33}}},
        Spread{"NoRoomNearby",  // b, twice as busy, takes nothing from others; c is in another region
               {{"a", 0, 4, 100}, {"b", 1, 4, 200}, {"c", 1, 4, 0}},
               {{"b", 0}, {"c", 1}}},
        Spread{"RoomForAPart",  // b has room for its own 90 again; c for none
               {{"a", 0, 4, 180}, {"b", 1, 4, 90}, {"c", 0.5, 4, 0}},
               {{"b", 0.5}, {"c", 0}},
               0.5},
        Spread{"NoRoomAnywhere",  // its own limits decide
               {{"a", 0.5, 4, 100}, {"b", 0.5, 4, 100}, {"c", 0.5, 4, 100}},
               {{"a", 1}}},
        Spread{"AllButOneFailed", {{"a", 0, 4, 100}, {"b", 0, 4, 100}, {"c", 1, 4, 100}}, {{"c", 0.5}}, 0.5},
        Spread{
            "MostFailedEverywhere", {{"a", 0.1, 4, 100}, {"b", 0.3, 4, 100}, {"c", 0.2, 4, 100}}, {{"a", 1}}},
        Spread{"ColdOnesTakeLittle",
               {{"a", 0, 4, 100}, {"b", 0.6, 4, 100}, {"c", 1, 4, 100}},
               {{"b", 0}, {"c", 0.87}},
               0.13},
        Spread{"NoHostsHere", {{"a", 0, 0, 50}, {"b", 1, 6, 100}, {"c", 1, 6, 100}}, {{"b", 1}}},
        Spread{"NothingAsked", {{"a", 0, 4, 0}, {"b", 1, 4, 0}}, {{"b", 1}}},
        Spread{"NotAmongThem", {{"b", 1, 4, 100}, {"c", 1, 4, 100}}, {}}),
    [](const auto& info) { return info.param.name; });

// A gateway that no quorum has told of anything does not leave its zone, however dead that is.
TEST(Locality, IsNoFailoverOfOnesOwn) {
  Policy policy(Near("a"), 1);
  EndpointUpdate news;
  for (const char* const id : {"a1", "a2", "b1", "b2"}) {
    Endpoint server;
    server.id = id, server.zone = std::string(id, 1);
    news.endpoints.push_back(server);
  }
  std::map<std::string, int> sent;  // by zone; each is answered at once
  std::function<void(Millis, const Event&)> tell = [&](Millis now, const Event& event) {
    std::vector<Action> out;
    policy.Handle(now, event, out);
    for (const Action& a : out) {
      const auto* const send = std::get_if<StartAttempt>(&a);
      if (send == nullptr) continue;
      ++sent[send->endpoint.substr(0, 1)];
      AttemptOutcome o;
      o.request = send->request, o.endpoint = send->endpoint, o.latency = 5;
      tell(now, o);
    }
  };
  int number = 0;
  const auto during = [&](Millis from, Millis to) {
    sent.clear();
    for (Millis now = from; now < to; now += 10) {
      Request r;
      r.id = std::to_string(++number), r.class_name = "view", r.time_left = 2000;
      tell(now, r);
      tell(now, TimerExpired{"sweep"});
    }
    return sent;
  };
  tell(0, news);
  tell(0, ZoneAgreement{9, 2, {{"a", 1, 2, 10}, {"b", 1, 2, 10}}});
  EXPECT_GT(during(0, 1000)["a"], 90);
  EXPECT_EQ(sent.count("b"), 0u);
  for (Endpoint& server : news.endpoints) {
    if (server.zone == "a") server.state = EndpointState::kRemoved;
  }
  tell(1000, news);
  EXPECT_TRUE(during(1000, 3000).empty()) << "nobody has agreed on that";
  tell(3000, ZoneAgreement{9, 1, {{"a", 0, 2, 10}, {"b", 1, 2, 10}}});
  EXPECT_TRUE(during(3000, 4000).empty()) << "older than what is in force";
  tell(4000, ZoneAgreement{9, 3, {{"a", 0, 2, 10}, {"b", 1, 2, 10}}});
  EXPECT_GT(during(4000, 5000)["b"], 90);
}

// ---- When a change is due --------------------------------------------------------------------

// Three gateways, one in each of three zones, and a judge whose proposals come into force at once.
struct Bench {
  // What each sees of zone a from now on: the share of its servers that is fit, and of its attempts that is
  // good.
  void Tick(Millis ms, const std::function<std::pair<double, double>(double level)>& of_a) {
    for (const Millis until = now + ms; now < until; now += 100) {
      for (int g = 0; g < 3; ++g) {
        ZoneLoadReport sights{std::string(1, static_cast<char>('a' + g)), 100, {}};
        for (const char* const zone : {"a", "b", "c"}) {
          const auto [fit, good] =
              zone == sights.zone && zone[0] == 'a' ? of_a(Level("a")) : std::pair(1.0, 1.0);
          const double ended = zone == sights.zone ? 100 : 0;
          sights.zones.push_back({zone, 4, 4 * fit, ended, ended * good});
        }
        judge.OnLoadReport(now, g, sights);
      }
      if (auto next = judge.Evaluate(now, agreed)) {
        judge.OnAgreement(now, agreed, *next);
        falls += agreed.empty() ? 0 : (*next)[0].health < Level("a");
        agreed = *next;
      }
    }
  }
  double Level(const std::string& zone) const {
    for (const Zone& z : agreed) {
      if (z.name == zone) return z.health;
    }
    return 1;
  }
  Millis now = 1000;
  ZoneHealthEvaluator judge{3, {}};
  std::vector<Zone> agreed;
  int falls = 0;
};

TEST(ZoneHealthEvaluator, FollowsWhatTheGatewaysOfAZoneSee) {
  struct Case {
    double fit, good, level;
  };
  for (const Case& c : {Case{1, 1, 1},
                        {0.9, 1, 1},
                        {0.75, 1, 0.8},
                        {0.5, 1, 0.5},
                        {1, 0.93, 1},
                        {1, 0.5, 0.4},
                        {0.5, 0.5, 0.4},
                        {1, 0.1, 0.1},
                        {0.2, 1, 0},
                        {1, 0.01, 0},
                        {0, 0, 0}}) {
    Bench bench;
    bench.Tick(1000, [](double) { return std::pair(1.0, 1.0); });
    EXPECT_EQ(bench.Level("a"), 1);
    bench.Tick(600, [&](double) { return std::pair(c.fit, c.good); });
    EXPECT_NEAR(bench.Level("a"), c.level, 0.01) << c.fit << ", " << c.good;
    EXPECT_EQ(bench.Level("b"), 1);
  }
}

TEST(ZoneHealthEvaluator, LetsABlinkPassAndComesBackInSteps) {
  Bench bench;
  bench.Tick(1000, [](double) { return std::pair(1.0, 1.0); });
  bench.Tick(200, [](double) { return std::pair(0.0, 0.0); });
  bench.Tick(1000, [](double) { return std::pair(1.0, 1.0); });
  EXPECT_EQ(bench.falls, 0);
  bench.Tick(1000, [](double) { return std::pair(0.0, 0.0); });
  EXPECT_EQ(bench.Level("a"), 0);
  bench.Tick(4000, [](double) { return std::pair(1.0, 1.0); });
  EXPECT_EQ(bench.Level("a"), 0) << "held for a while";
  bench.Tick(3000, [](double) { return std::pair(1.0, 1.0); });
  EXPECT_GT(bench.Level("a"), 0);
  EXPECT_LT(bench.Level("a"), 1) << "in steps";
  bench.Tick(10000, [](double) { return std::pair(1.0, 1.0); });
  EXPECT_EQ(bench.Level("a"), 1);
  EXPECT_EQ(bench.falls, 1);
}

// A zone that does well while it gets little and badly as soon as it gets more: an hour of it.
TEST(ZoneHealthEvaluator, TriesAGrayZoneMoreAndMoreSeldom) {
  Bench bench;
  bench.Tick(1000, [](double) { return std::pair(1.0, 1.0); });
  bench.Tick(3600000, [](double level) { return std::pair(1.0, level > 0.5 ? 0.2 : 1.0); });
  std::printf("falls in an hour: %d\n", bench.falls);
  EXPECT_GT(bench.falls, 3) << "it is tried";
  EXPECT_LE(bench.falls, 20);
  bench.Tick(400000, [](double) { return std::pair(1.0, 1.0); });
  EXPECT_EQ(bench.Level("a"), 1) << "and comes back in the end";
}

TEST(ZoneHealthEvaluator, SaysNothingWhileItHearsOfNoMoreThanHalf) {
  ZoneHealthEvaluator judge(3, {});
  for (Millis now = 1000; now < 5000; now += 100) {
    judge.OnLoadReport(now, 0, {"a", 100, {{"a", 4, 0, 100, 0}}});
    EXPECT_FALSE(judge.Evaluate(now, {{"a", 1, 4, 100}}));
  }
}

// A gateway that is cut off keeps its clients: when it comes back they have their part of the room.
TEST(ZoneHealthEvaluator, CountsOnTheDemandOfThoseItCantHear) {
  ZoneHealthEvaluator judge(3, {});
  std::vector<Zone> agreed;
  for (Millis now = 1000; now < 40000; now += 100) {
    for (int g = now < 3000 ? 0 : 1; g < 3; ++g) {
      const std::string zone(1, static_cast<char>('a' + g));
      judge.OnLoadReport(now, g, {zone, 100, {{"a", 4, 4, 0, 0}, {"b", 4, 4, 0, 0}, {"c", 4, 4, 0, 0}}});
    }
    if (auto next = judge.Evaluate(now, agreed)) judge.OnAgreement(now, agreed, *next), agreed = *next;
  }
  ASSERT_EQ(agreed.size(), 3u);
  EXPECT_EQ(agreed[0].name, "a");
  EXPECT_EQ(agreed[0].demand, 100);
}

// ---- Agreeing --------------------------------------------------------------------------------

// Gateways on a network that loses, delays and cuts, with clocks of their own; and a referee of its own.
struct Net {
  Net(int gateways, std::uint64_t with) : n(gateways), random(with) {
    for (int g = 0; g < n; ++g) {
      skew.push_back(1 + 0.01 * (2 * Chance() - 1));
      ahead.push_back(1e6 * Chance());
      gone_until.push_back(0);
      duties.emplace_back();
      known.emplace_back();
      Start(g);
    }
  }
  double Chance() { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
  Millis Clock(int g) const { return ahead[At(g)] + now * skew[At(g)]; }
  static std::size_t At(int g) { return static_cast<std::size_t>(g); }

  void Start(int g) {
    ZoneStateCoordinator::Times times;
    times.lease = {800, 0.02, 100};
    times.evaluator.hold_down = 1500;
    known[At(g)] = {};
    duties[At(g)] = std::make_unique<ZoneStateCoordinator>(
        g, n, times, Clock(g), 1000 + static_cast<FencingToken>(now),
        ZoneStateCoordinator::Handlers{
            [this, g](int to, const CoordinationMessage& word) { Post(g, to, word); },
            [this, g](const ZoneAgreement& state) { Adopted(g, state); }});
  }
  void Post(int from, int to, const CoordinationMessage& word) {
    ++words;
    if (const auto* const vote = std::get_if<ZoneStateVote>(&word))
      votes[{vote->token, vote->version}].insert(from);
    if (const auto* const w = std::get_if<ZoneStateAnnouncement>(&word);
        w != nullptr && w->kind == ZoneStateAnnouncement::Kind::kProposed)
      votes[{w->state.term, w->state.version}].insert(from);
    if (Chance() < loss) return;
    under_way.push_back({now + 1 + delay * Chance(), from, to, word});
  }
  void Adopted(int g, const ZoneAgreement& state) {
    const auto id = std::pair(state.term, state.version);
    if (2 * static_cast<int>(votes[id].size()) <= n) ++unagreed;
    const auto [same, added] = contents.emplace(id, state);
    if (!added && !(same->second == state)) ++unlike;
    if (!state.IsNewerThan(known[At(g)])) ++backwards;
    known[At(g)] = state;
  }
  void Tick(Millis ms) {
    for (const Millis until = now + ms; now < until; now += 10) {
      for (std::size_t i = 0; i < under_way.size(); ++i) {
        const auto [at, from, to, word] = under_way[i];
        if (at > now || gone_until[At(to)] > now) continue;  // what comes to a stopped one waits
        under_way.erase(under_way.begin() + static_cast<std::ptrdiff_t>(i--));
        if (!cut(from, to)) duties[At(to)]->OnMessage(Clock(to), from, word);
      }
      for (int g = 0; g < n; ++g) {
        if (gone_until[At(g)] > now || static_cast<int>(now / 10) % 10 != g % 10) continue;
        const ZoneLoadReport own = OnLoadReport(g);
        duties[At(g)]->Tick(Clock(g), Chance(), own);
        for (int to = 0; to < n; ++to) {
          if (to != g && !cut(g, to) && Chance() >= loss && gone_until[At(to)] <= now)
            duties[At(to)]->OnLoadReport(Clock(to), g, own);
        }
      }
      int holders = 0;
      for (int g = 0; g < n; ++g)
        holders += gone_until[At(g)] <= now && duties[At(g)]->Status(Clock(g))["holds"];
      two += holders > 1;
    }
  }
  ZoneLoadReport OnLoadReport(int g) const {
    ZoneLoadReport sights{Home(g), 100, {}};
    for (const char* const zone : {"a", "b", "c"}) {
      const double fit = health.contains(zone) ? health.at(zone) : 1;
      const double ended = zone == sights.zone ? 50 : 0;
      sights.zones.push_back({zone, 4, zone == sights.zone ? 4 * fit : 4, ended, ended * fit});
    }
    return sights;
  }
  static std::string Home(int g) { return std::string(1, static_cast<char>('a' + g % 3)); }
  double Level(int g, const std::string& zone) const {
    for (const Zone& z : known[At(g)].zones) {
      if (z.name == zone) return z.health;
    }
    return 1;
  }
  int Owner() const {
    for (int g = 0; g < n; ++g) {
      if (duties[At(g)]->Status(Clock(g))["holds"]) return g;
    }
    return -1;
  }
  bool Alike() const {
    return std::all_of(known.begin(), known.end(), [&](const ZoneAgreement& k) { return k == known[0]; });
  }
  void ExpectRules() const {
    EXPECT_EQ(unagreed, 0) << "gone by what no more than half had voted for";
    EXPECT_EQ(unlike, 0) << "two states under one number";
    EXPECT_EQ(backwards, 0) << "back to what was in force before";
    EXPECT_EQ(two, 0) << "two holders";
  }

  struct Letter {
    Millis at;
    int from, to;
    CoordinationMessage word;
  };
  const int n;
  std::mt19937_64 random;
  Millis now = 1000;
  double loss = 0, delay = 5;
  std::function<bool(int, int)> cut = [](int, int) { return false; };
  std::map<std::string, double> health;
  std::vector<double> skew, ahead;
  std::vector<Millis> gone_until;
  std::vector<std::unique_ptr<ZoneStateCoordinator>> duties;
  std::vector<ZoneAgreement> known;
  std::vector<Letter> under_way;
  std::map<std::pair<FencingToken, std::uint64_t>, std::set<int>> votes;
  std::map<std::pair<FencingToken, std::uint64_t>, ZoneAgreement> contents;
  int unagreed = 0, unlike = 0, backwards = 0, two = 0;
  std::uint64_t words = 0;
};

TEST(ZoneStateCoordinator, AllMoveTogetherAndComeBackTogether) {
  for (const int n : {3, 5, 9, 30, 100}) {
    Net net(n, 7);
    net.Tick(3000);
    ASSERT_TRUE(net.Alike()) << n;
    ASSERT_GT(net.known[0].term, 0u) << n;
    net.health["a"] = 0;
    const std::uint64_t before = net.words;
    Millis took = 0;
    while (took < 3000 && (!net.Alike() || net.Level(0, "a") > 0)) net.Tick(10), took += 10;
    EXPECT_LE(took, 1000) << n;
    net.Tick(1000);
    std::printf("%d gateways: moved in %.0f ms; %.1f words a gateway and second\n", n, took,
                static_cast<double>(net.words - before) / n / (1 + took / 1000));
    EXPECT_TRUE(net.Alike());
    EXPECT_EQ(net.Level(0, "b"), 1);
    net.health["a"] = 1;
    net.Tick(20000);
    EXPECT_TRUE(net.Alike());
    EXPECT_EQ(net.Level(n - 1, "a"), 1);
    net.ExpectRules();
  }
}

// A quorum lost in the middle of a failover; two zones that fail one after the other.
TEST(ZoneStateCoordinator, WhoIsCutOffKeepsToTheLastThatWasAgreed) {
  Net net(5, 3);
  net.Tick(3000);
  net.health["a"] = 0;
  net.Tick(200);  // seen, not yet agreed on
  net.cut = [](int a, int b) { return a != b; };
  net.Tick(5000);
  for (int g = 0; g < 5; ++g) EXPECT_EQ(net.Level(g, "a"), 1) << "nobody could agree on it";
  net.cut = [](int a, int b) { return (a < 2) != (b < 2); };
  net.Tick(4000);
  for (int g = 0; g < 5; ++g) EXPECT_EQ(net.Level(g, "a"), g < 2 ? 1 : 0) << g;
  net.health["b"] = 0;
  net.Tick(2000);
  for (int g = 0; g < 5; ++g) EXPECT_EQ(net.Level(g, "b"), g < 2 ? 1 : 0) << g;
  net.cut = [](int, int) { return false; };
  net.Tick(3000);
  EXPECT_TRUE(net.Alike()) << "all know what was agreed meanwhile";
  net.ExpectRules();
}

// Whoever takes the duty over goes on from the newest that any had agreed on, though it was not told of it.
TEST(ZoneStateCoordinator, AHolderThatIsBehindIsToldBetter) {
  Net net(3, 5);
  net.Tick(3000);
  const int holder = net.Owner(), other = (holder + 1) % 3, third = (holder + 2) % 3;
  net.cut = [=](int a, int b) { return a == other || b == other; };
  const std::string zone = Net::Home(third);  // which goes on seeing it
  net.health[zone] = 0;
  net.Tick(1000);
  ASSERT_EQ(net.Level(third, zone), 0);
  ASSERT_EQ(net.Level(other, zone), 1);
  net.gone_until[Net::At(holder)] = net.now + 60000;
  net.cut = [](int, int) { return false; };
  net.Tick(4000);
  EXPECT_EQ(net.Level(other, zone), 0);
  EXPECT_TRUE(net.known[Net::At(other)] == net.known[Net::At(third)]);
  net.ExpectRules();
}

// Anything, at random: losses, delays, stops, restarts, cuts both ways and one way, zones that come and go.
TEST(ZoneStateCoordinator, KeepsItsRulesWhateverHappens) {
  constexpr int kRuns = 60;
  int moved = 0;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Net net(3 + static_cast<int>(seed % 3), seed);
    net.loss = 0.2 * net.Chance(), net.delay = 300 * net.Chance();
    for (int event = 0; event < 25; ++event) {
      const int g = static_cast<int>(net.random() % static_cast<unsigned>(net.n));
      const int way = static_cast<int>(net.random() % 3);
      switch (net.random() % 6) {
        case 0: net.gone_until[Net::At(g)] = net.now + 3000 * net.Chance(); break;
        case 1: net.Start(g); break;
        case 2:
          net.cut = [=](int a, int b) { return way != 1 && a == g ? b != g : way != 2 && b == g && a != g; };
          break;
        case 3: net.cut = [](int, int) { return false; }; break;
        default: net.health[Net::Home(g)] = 0.25 * static_cast<double>(net.random() % 5); break;
      }
      net.Tick(1500 * net.Chance());
    }
    net.loss = 0, net.delay = 5, net.health.clear();
    net.cut = [](int, int) { return false; };
    for (Millis& until : net.gone_until) until = 0;
    net.Tick(5000);
    EXPECT_TRUE(net.Alike());
    moved += net.known[0].version > 2;
    net.ExpectRules();
    if (HasFailure()) break;
  }
  EXPECT_GT(moved, kRuns / 2) << "what is tried here has to come to something";
}

// The referee of these tests finds one that does not wait for votes.
TEST(ZoneStateCoordinator, ThatGoesByItsOwnOfferIsFoundOut) {
  Net net(3, 1);
  net.Tick(3000);
  net.cut = [](int a, int b) { return a != b; };
  net.Adopted(0, {net.known[0].term + 256, net.known[0].version + 1, {{"a", 0, 4, 100}}});
  EXPECT_EQ(net.unagreed, 1);
}

}  // namespace
}  // namespace meadowyard::testing
