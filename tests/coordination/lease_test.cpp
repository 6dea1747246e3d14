// The lease among three gateways, model-checked: every order of events is explored up to a depth, with
// messages that arrive late, twice or never, pauses, clocks of different rates, and a restart. Also failover
// among more gateways, replication of the endpoint list by the lease holder, and the message codec. No
// sockets, no real time.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "coordination/endpoint_list_leader.hpp"
#include "coordination/lease.hpp"

namespace meadowyard::testing {
namespace {

using namespace coordination;

constexpr int kGateways = 3;
// The term is 4 steps of time. With a drift of 0.25 clocks may run at 0.75 to 1.25 of real time.
constexpr Lease::Times kTimes = {4, 0.25, 0};

struct Datagram {
  int from = 0, to = 0;
  Lease::Message payload;
  bool operator==(const Datagram&) const = default;
};

// Bounds of the exploration.
struct Limits {
  int depth = 0;
  int time_steps = 4;  // a quarter of a term each
  int rounds = 2;      // per gateway
  int restarts = 1;
};

struct Faults {                 // injected to show that the model check detects violations
  bool skips_recovery = false;  // a restarted gateway grants at once
  std::array<double, kGateways> clock_rates = {0.75, 1.25, 1};  // by default as far apart as is allowed
};

// State of the gateways and of the network, with what the invariants need: the last holder and its token.
struct ModelState {
  std::vector<Lease> gateways;
  std::vector<Datagram> in_flight;
  std::array<int, kGateways> rounds = {};
  int time = 0, restarts = 0, holder = -1;
  FencingToken token = 0;
};

// Depth-first exploration of all states that are reachable within the limits, up to the first violation.
class ModelChecker {
 public:
  ModelChecker(Limits limits, Faults faults) : limits_(limits), faults_(faults) {
    ModelState initial_state;
    // Started long ago, so that the recovery time is over.
    for (int gateway = 0; gateway < kGateways; ++gateway)
      initial_state.gateways.emplace_back(gateway, kGateways, kTimes, ClockAt(gateway, 0) - 100, 1);
    Explore(initial_state, limits.depth);
  }
  std::size_t states() const { return explored_depths_.size(); }
  std::size_t steps_held() const { return steps_held_; }
  const std::string& violation() const { return violation_; }

 private:
  Millis ClockAt(int gateway, int time) const {
    return 1000.0 * gateway + faults_.clock_rates[static_cast<std::size_t>(gateway)] * time;
  }

  static void Append(std::string& key, const auto& value) {
    char bytes[sizeof value];
    std::memcpy(bytes, &value, sizeof value);
    key.append(bytes, sizeof value);
  }
  static void Append(std::string& key, const std::set<int>& set) {
    for (const int member : set) Append(key, member);
    Append(key, -1);
  }
  std::uint64_t HashOf(const ModelState& current) const {
    std::string key;
    for (const Lease& lease : current.gateways)
      std::apply([&](const auto&... field) { (Append(key, field), ...); }, lease.state());
    std::vector<std::string> messages;
    for (const Datagram& datagram : current.in_flight) {
      std::string encoded;
      for (const int number :
           {datagram.from, datagram.to, static_cast<int>(datagram.payload.type), datagram.payload.owner})
        Append(encoded, number);
      Append(encoded, datagram.payload.token);
      Append(encoded, datagram.payload.highest_promised);
      messages.push_back(encoded);
    }
    std::sort(messages.begin(), messages.end());
    for (const std::string& encoded : messages) key += encoded;
    for (const int number : current.rounds) Append(key, number);
    for (const int number : {current.time, current.restarts, current.holder}) Append(key, number);
    Append(key, current.token);
    return XXH3_64bits(key.data(), key.size());
  }

  static void Send(ModelState& current, int from, const std::vector<Lease::Envelope>& messages) {
    for (const Lease::Envelope& envelope : messages) {
      const Datagram sent{from, envelope.to, envelope.message};
      if (std::find(current.in_flight.begin(), current.in_flight.end(), sent) == current.in_flight.end())
        current.in_flight.push_back(sent);
    }
  }

  bool CheckInvariants(ModelState& current, const std::string& event) {
    events_.push_back(event);
    int holders = 0;
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      if (!current.gateways[static_cast<std::size_t>(gateway)].IsHeld(ClockAt(gateway, current.time)))
        continue;
      ++holders, ++steps_held_;
      const FencingToken token = current.gateways[static_cast<std::size_t>(gateway)].token();
      if (gateway != current.holder && token <= current.token)
        ReportViolation("a later holder without a higher token");
      if (token > current.token) current.token = token, current.holder = gateway;
    }
    if (holders > 1) ReportViolation("two holders at once");
    return violation_.empty();
  }
  void ReportViolation(const std::string& rule) {
    if (!violation_.empty()) return;
    violation_ = rule + ":";
    for (const std::string& event : events_) violation_ += " " + event;
  }

  void ExploreNext(ModelState next, const std::string& event, int depth_left) {
    if (CheckInvariants(next, event)) Explore(next, depth_left - 1);
    events_.pop_back();
  }

  void Explore(const ModelState& current, int depth_left) {
    if (depth_left == 0 || !violation_.empty()) return;
    // Greatest remaining depth with which this state was explored.
    int& explored_depth = explored_depths_[HashOf(current)];
    if (explored_depth >= depth_left) return;
    explored_depth = depth_left;
    // A message in flight may arrive now, later or never. It is not removed when it arrives, so it may also
    // arrive twice; loss needs no event of its own, because a message may never be picked.
    for (std::size_t i = 0; i < current.in_flight.size(); ++i) {
      ModelState next = current;
      const Datagram datagram = current.in_flight[i];
      std::vector<Lease::Envelope> outgoing;
      Lease& lease = next.gateways[static_cast<std::size_t>(datagram.to)];
      lease.OnMessage(ClockAt(datagram.to, current.time), datagram.from, datagram.payload, outgoing);
      if (lease.state() == current.gateways[static_cast<std::size_t>(datagram.to)].state() &&
          outgoing.empty())
        continue;
      Send(next, datagram.to, outgoing);
      ExploreNext(std::move(next),
                  "message" + std::to_string(datagram.from) + std::to_string(datagram.to) +
                      std::to_string(static_cast<int>(datagram.payload.type)),
                  depth_left);
    }
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      const auto index = static_cast<std::size_t>(gateway);
      if (current.rounds[index] < limits_.rounds) {
        ModelState next = current;
        std::vector<Lease::Envelope> outgoing;
        next.gateways[index].Tick(ClockAt(gateway, current.time), 0, outgoing);
        if (!outgoing.empty()) {
          ++next.rounds[index];
          Send(next, gateway, outgoing);
          ExploreNext(std::move(next), "request" + std::to_string(gateway), depth_left);
        }
      }
      if (current.restarts < limits_.restarts) {
        ModelState next = current;
        ++next.restarts;
        const Millis now = ClockAt(gateway, current.time);
        next.gateways[index] = Lease(gateway, kGateways, kTimes, faults_.skips_recovery ? now - 100 : now,
                                     1000 + static_cast<FencingToken>(current.time));
        ExploreNext(std::move(next), "restart" + std::to_string(gateway), depth_left);
      }
    }
    if (current.time < limits_.time_steps) {
      ModelState next = current;
      ++next.time;
      ExploreNext(std::move(next), "tick", depth_left);
    }
  }

  const Limits limits_;
  const Faults faults_;
  std::unordered_map<std::uint64_t, int> explored_depths_;
  std::vector<std::string> events_;
  std::string violation_;
  std::size_t steps_held_ = 0;
};

#ifdef __SANITIZE_ADDRESS__
constexpr int kMaxDepth = 7;  // successive events
#else
constexpr int kMaxDepth = 9;  // successive events
#endif

// Two holders at once would both act in the role: two leaders could replicate different lists.
TEST(LeaseProtocol, HasAtMostOneHolderInEveryOrderOfEvents) {
  const ModelChecker checker({kMaxDepth}, {});
  EXPECT_EQ(checker.violation(), "");
  EXPECT_GT(checker.steps_held(), 0u);
  std::printf("%zu states to a depth of %d, the lease held in %zu steps\n", checker.states(), kMaxDepth,
              checker.steps_held());
  RecordProperty("states", static_cast<int>(checker.states()));
}

// Checks that the model check detects violations: a gateway that forgets its grants in a restart, and clocks
// whose rates differ more than is allowed.
TEST(LeaseProtocol, ModelCheckFindsPlantedFaults) {
  Faults skips_recovery;
  skips_recovery.skips_recovery = true;
  EXPECT_NE(ModelChecker({11, 0, 1, 1}, skips_recovery).violation().find("two holders at once"),
            std::string::npos);
  Faults excessive_drift;
  excessive_drift.clock_rates = {0.75, 2.6, 2.6};  // allowed: 0.75 to 1.25
  EXPECT_NE(ModelChecker({12, 2, 1, 0}, excessive_drift).violation().find("two holders at once"),
            std::string::npos);
}

// A long random run with up to 100 gateways and 5 % loss, in which the holder stops every 15 s. Collisions
// between many proposers could leave the role without a holder for longer than the bound.
TEST(LeaseProtocol, FailsOverWithinTheBoundAfterTheHolderStops) {
  for (const int count : {3, 5, 9, 100}) {
    const Lease::Times times = {3000, 0.01, 500};
    std::mt19937_64 random(static_cast<std::uint64_t>(count));
    const auto random_fraction = [&] { return static_cast<double>(random() >> 11) / 9007199254740992.0; };
    std::vector<Lease> gateways;
    for (int gateway = 0; gateway < count; ++gateway) gateways.emplace_back(gateway, count, times, -10000, 1);
    std::vector<std::pair<Millis, Datagram>> in_flight;
    std::vector<Millis> stopped_until(static_cast<std::size_t>(count), -1), failover_times;
    FencingToken last_token = 0;
    Millis stopped_at = -1;
    std::size_t messages_sent = 0;
    for (Millis now = 0; now < (count > 9 ? 60000 : 300000); now += 50) {
      std::vector<std::pair<Millis, Datagram>> due;
      std::partition(in_flight.begin(), in_flight.end(),
                     [&](const auto& current) { return current.first > now; });
      const auto first_due = std::find_if(in_flight.begin(), in_flight.end(),
                                          [&](const auto& current) { return current.first <= now; });
      due.assign(first_due, in_flight.end());
      in_flight.erase(first_due, in_flight.end());
      int holder = -1;
      const auto send = [&](int from, const std::vector<Lease::Envelope>& outgoing) {
        for (const auto& envelope : outgoing) {
          ++messages_sent;
          if (random_fraction() > 0.05)
            in_flight.push_back({now + 1 + 20 * random_fraction(), {from, envelope.to, envelope.message}});
        }
      };
      for (const auto& [index, datagram] : due) {
        std::vector<Lease::Envelope> outgoing;
        if (stopped_until[static_cast<std::size_t>(datagram.to)] >= now) continue;
        gateways[static_cast<std::size_t>(datagram.to)].OnMessage(now, datagram.from, datagram.payload,
                                                                  outgoing);
        send(datagram.to, outgoing);
      }
      for (int gateway = 0; gateway < count; ++gateway) {
        const auto index = static_cast<std::size_t>(gateway);
        if (stopped_until[index] >= now) continue;
        std::vector<Lease::Envelope> outgoing;
        gateways[index].Tick(now, random_fraction(), outgoing);
        send(gateway, outgoing);
        if (!gateways[index].IsHeld(now)) continue;
        EXPECT_EQ(holder, -1) << "two holders at " << now;
        holder = gateway;
        EXPECT_GE(gateways[index].token(), last_token);
        last_token = gateways[index].token();
      }
      if (holder >= 0 && stopped_at >= 0) failover_times.push_back(now - stopped_at), stopped_at = -1;
      if (holder >= 0 && std::fmod(now, 15000) == 0 && now > 0) {  // stopped for 8 s
        stopped_until[static_cast<std::size_t>(holder)] = now + 8000;
        stopped_at = now;
      }
    }
    ASSERT_FALSE(failover_times.empty());
    std::sort(failover_times.begin(), failover_times.end());
    std::printf(
        "%d gateways: %zu failovers, median %.0f ms, worst %.0f ms, %.1f messages per gateway and second\n",
        count, failover_times.size(), failover_times[failover_times.size() / 2], failover_times.back(),
        static_cast<double>(messages_sent) / count / (count > 9 ? 60 : 300));
    EXPECT_LE(failover_times.back(), times.term * (1 + times.max_clock_drift) + 10 * times.retry_interval);
  }
}

// Gateways that replicate the endpoint list, without sockets: a message arrives at once, unless it is lost.
struct ListReplicas {
  explicit ListReplicas(int count) {
    for (int gateway = 0; gateway < count; ++gateway) {
      lists.emplace_back();
      EndpointListLeader::Times times;
      times.lease = {1000, 0.01, 100};
      leaders.push_back(std::make_unique<EndpointListLeader>(
          gateway, count, times, now, 1, std::nullopt,
          EndpointListLeader::Handlers{
              [this, gateway](int to, const CoordinationMessage& payload) {
                messages.push_back({gateway, to, payload});
              },
              [this, gateway] { return lists[static_cast<std::size_t>(gateway)]; },
              [this, gateway](const discovery::EndpointList& list) { Apply(gateway, list); }, [](bool) {}}));
    }
  }
  void Apply(int gateway, const discovery::EndpointList& list) {
    discovery::EndpointList& own = lists[static_cast<std::size_t>(gateway)];
    if (list.is_snapshot) own.endpoints.clear();
    for (const discovery::EndpointRecord& host : list.endpoints) {
      std::erase_if(own.endpoints, [&](const discovery::EndpointRecord& known_host) {
        return known_host.endpoint.id == host.endpoint.id;
      });
      own.endpoints.push_back(host);
    }
    own.revision = list.revision;
  }
  // From the gateway's own discovery.
  void OnDiscoveryUpdate(int gateway, const discovery::EndpointList& list) {
    Apply(gateway, list);
    leaders[static_cast<std::size_t>(gateway)]->OnDiscoveryUpdate(now, list);
    Deliver();
  }
  void Deliver() {
    while (!messages.empty()) {
      const auto [from, to, payload] = messages.front();
      messages.erase(messages.begin());
      const auto bytes = ToBytes("g", LeaseRole::kEndpointList, payload);  // as on the wire
      const auto decoded = DecodeMessage(bytes.data(), bytes.size());
      ASSERT_TRUE(decoded);
      if (!is_lost(from, to)) leaders[static_cast<std::size_t>(to)]->OnMessage(now, from, decoded->message);
    }
  }
  void Tick(Millis duration) {
    for (const Millis until = now + duration; now < until; now += 50) {
      for (std::size_t gateway = 0; gateway < leaders.size(); ++gateway)
        leaders[gateway]->Tick(now, static_cast<double>(gateway) / 3), Deliver();
    }
  }
  int Owner() const {
    for (std::size_t gateway = 0; gateway < leaders.size(); ++gateway) {
      if (leaders[gateway]->Status(now)["holds"]) return static_cast<int>(gateway);
    }
    return -1;
  }

  Millis now = 1000;
  std::vector<discovery::EndpointList> lists;
  std::vector<std::unique_ptr<EndpointListLeader>> leaders;
  std::vector<std::tuple<int, int, CoordinationMessage>> messages;
  std::function<bool(int, int)> is_lost = [](int, int) { return false; };
};

discovery::EndpointList MakeHosts(std::int64_t revision, int first, int count,
                                  EndpointState state = EndpointState::kUp) {
  discovery::EndpointList list;
  list.revision = revision;
  for (int i = first; i < first + count; ++i) {
    discovery::EndpointRecord host;
    host.endpoint.id = "h" + std::to_string(i);
    host.endpoint.state = state;
    host.address = *discovery::ParseAddress("127.0.0.1:9000");
    list.endpoints.push_back(host);
  }
  return list;
}

// A follower that misses a list must notice it by the leader's next message and get the complete list.
TEST(EndpointListLeader, OnlyTheLeaderWatchesDiscoveryAndAllGetItsListDespiteLoss) {
  ListReplicas replicas(3);
  for (int gateway = 0; gateway < 3; ++gateway) replicas.OnDiscoveryUpdate(gateway, MakeHosts(5, 0, 50));
  replicas.Tick(3000);
  const int holder = replicas.Owner();
  ASSERT_GE(holder, 0);
  for (int gateway = 0; gateway < 3; ++gateway)
    EXPECT_EQ(replicas.leaders[static_cast<std::size_t>(gateway)]->watches_discovery(), gateway == holder);
  replicas.is_lost = [&](int from, int) { return from == holder; };
  replicas.OnDiscoveryUpdate(holder, MakeHosts(6, 50, 45));  // no follower receives it
  replicas.is_lost = [](int, int) { return false; };
  discovery::EndpointList drained = MakeHosts(7, 3, 1, EndpointState::kDraining);
  drained.is_snapshot = false;
  replicas.OnDiscoveryUpdate(holder, drained);
  replicas.Tick(100);
  for (int gateway = 0; gateway < 3; ++gateway) {
    EXPECT_EQ(replicas.lists[static_cast<std::size_t>(gateway)].revision, 7) << gateway;
    EXPECT_EQ(discovery::SerializeEndpointList(replicas.lists[static_cast<std::size_t>(gateway)]).size(),
              discovery::SerializeEndpointList(replicas.lists[static_cast<std::size_t>(holder)]).size())
        << gateway;
  }
}

// A leader that can't read discovery would confirm an outdated list to all. A leader with an older revision
// would undo changes that a follower already has, such as a draining host.
TEST(EndpointListLeader, GivesUpTheLeaseWhenDiscoveryFailsAndKeepsNewerLists) {
  ListReplicas replicas(3);
  for (int gateway = 0; gateway < 3; ++gateway) replicas.OnDiscoveryUpdate(gateway, MakeHosts(5, 0, 2));
  replicas.Tick(3000);
  const int first = replicas.Owner();
  ASSERT_GE(first, 0);
  const int other = (first + 1) % 3;
  // Its own discovery delivers a newer revision.
  replicas.OnDiscoveryUpdate(other, MakeHosts(9, 0, 2, EndpointState::kDraining));
  replicas.Tick(500);
  EXPECT_EQ(replicas.lists[static_cast<std::size_t>(other)].revision, 9);
  replicas.leaders[static_cast<std::size_t>(first)]->OnDiscoveryFailed(replicas.now);
  EXPECT_NE(replicas.Owner(), first);
  replicas.Tick(3000);
  EXPECT_GE(replicas.Owner(), 0);
  EXPECT_NE(replicas.Owner(), first);
  EXPECT_EQ(replicas.lists[static_cast<std::size_t>(other)].revision, 9);
}

// A former leader that does not know yet that it lost the lease must not replace the list. It gets
// the higher token in response.
TEST(EndpointListLeader, RejectsAFormerLeader) {
  ListReplicas replicas(3);
  for (int gateway = 0; gateway < 3; ++gateway) replicas.OnDiscoveryUpdate(gateway, MakeHosts(5, 0, 2));
  replicas.Tick(3000);
  const int holder = replicas.Owner(), other = (holder + 1) % 3;
  const FencingToken token =
      replicas.leaders[static_cast<std::size_t>(holder)]->Status(replicas.now)["token"];
  EndpointListPart stale_part{
      token - 256, 6, 5, false, 0, 1, MakeHosts(6, 0, 2, EndpointState::kDraining).endpoints};
  replicas.leaders[static_cast<std::size_t>(other)]->OnMessage(replicas.now, (holder + 2) % 3,
                                                               CoordinationMessage(stale_part));
  EXPECT_EQ(replicas.lists[static_cast<std::size_t>(other)].revision, 5);
  ASSERT_FALSE(replicas.messages.empty());
  const auto response = std::get<Lease::Message>(std::get<2>(replicas.messages.back()));
  EXPECT_EQ(response.type, Lease::Message::Type::kReject);
  EXPECT_EQ(response.highest_promised, token);
}

// Datagrams may be truncated or forged. A message that is not decoded completely must be rejected, and no
// bytes may crash the decoder.
TEST(MessageCodec, DecodesItsOwnMessagesAndToleratesMutatedOnes) {
  const EndpointListPart part{300, 7, 6, false, 0, 1, MakeHosts(7, 0, 3).endpoints};
  for (const CoordinationMessage& payload :
       {CoordinationMessage(part), CoordinationMessage(EndpointListRequest{9}),
        CoordinationMessage(Lease::Message{Lease::Message::Type::kReject, 5, 8, -1}),
        CoordinationMessage(ZoneStateAnnouncement{
            ZoneStateAnnouncement::Kind::kCommitted, 9, {7, 3, {{"a", 0.5, 4, 100}, {"b", 1, 4, 90}}}}),
        CoordinationMessage(ZoneStateVote{9, 3})}) {
    const auto bytes = ToBytes("g1", LeaseRole::kZoneState, payload);
    const auto decoded = DecodeMessage(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(ToBytes("g1", decoded->role, decoded->message), bytes);
    std::mt19937 random(1);
    for (int i = 0; i < 10000; ++i) {
      auto mutated = bytes;
      for (unsigned changes = random() % 4; changes-- > 0;)
        mutated[random() % mutated.size()] = static_cast<std::uint8_t>(random());
      if (random() % 3 == 0) mutated.resize(random() % mutated.size());
      const auto result = DecodeMessage(mutated.data(), mutated.size());
      EXPECT_TRUE(!result || !result->sender.empty());
    }
  }
}

}  // namespace
}  // namespace meadowyard::testing
