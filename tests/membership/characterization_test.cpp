// Characterization of the membership state machine: several gateways exchange heartbeats over a simulated
// network that delays, loses, repeats and reorders them. A digest of every heartbeat, of every answer to one
// and of every view is compared with the one that the program of commit ff1d420 gave.
#include "membership/characterization.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "membership/heartbeat.hpp"
#include "membership/heartbeat_codec.hpp"
#include "membership/membership_view.hpp"

namespace meadowyard::testing {
namespace {

using membership::Heartbeat;
using membership::MembershipView;

// What a scenario lets happen, beside heartbeats and time passing.
struct Scenario {
  const char* name = "";
  std::size_t gateways = 3;
  double suspect_timeout = 1000;  // ms
  double dead_timeout = 3000;     // ms
  double pause = 20;              // ms between two steps, on average
  double loss = 0.02;             // share of the heartbeats that are lost
  double repeats = 0.02;          // share of the deliveries that happen again later
  bool partitions = false;        // groups of gateways that can't reach each other, changing now and then
  bool one_way = false;           // single directions that are cut
  bool pauses = false;            // gateways that stop for a while and then read what lies waiting
  bool restarts = false;          // gateways that start again, with another incarnation
  bool growth = false;            // restarts with a longer or shorter list
  bool forgeries = false;         // heartbeats with altered fields
  bool clocks_differ = false;     // each gateway's clock has an origin of its own
};

std::vector<Scenario> Scenarios() {
  return {
      {.name = "three"},
      {.name = "alone", .gateways = 1},
      {.name = "two", .gateways = 2, .loss = 0.3, .one_way = true},
      {.name = "lossy", .gateways = 5, .pause = 12, .loss = 0.45, .repeats = 0.2},
      {.name = "partitioned", .gateways = 5, .pause = 12, .partitions = true},
      {.name = "one_way", .gateways = 4, .pause = 15, .one_way = true},
      {.name = "paused", .gateways = 4, .pause = 15, .pauses = true},
      {.name = "restarted", .gateways = 5, .pause = 12, .restarts = true},
      {.name = "growing", .gateways = 6, .pause = 10, .restarts = true, .growth = true},
      {.name = "forged", .gateways = 4, .forgeries = true},
      {.name = "many", .gateways = 12, .pause = 4, .partitions = true, .restarts = true},
      {.name = "slow_times",
       .gateways = 5,
       .suspect_timeout = 2500,
       .dead_timeout = 2500,
       .pause = 30,
       .pauses = true},
      {.name = "everything",
       .gateways = 7,
       .pause = 8,
       .loss = 0.1,
       .repeats = 0.1,
       .partitions = true,
       .one_way = true,
       .pauses = true,
       .restarts = true,
       .growth = true,
       .forgeries = true,
       .clocks_differ = true},
  };
}

class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed * 7919 + 29), nodes_(scenario.gateways) {
    for (std::size_t i = 0; i < scenario.gateways + 3; ++i) names_.push_back("g" + std::to_string(i));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].clock_offset = scenario.clocks_differ ? random_.Between(-1e6, 1e9) : 0;
      nodes_[i].list_length = scenario.gateways;
      Start(i);
    }
  }

  Digest Play(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += random_.Between(0, 2 * scenario_.pause);
      if (random_.Chance(0.002)) now_ += random_.Between(100, 5000);
      PlayOne();
      AddSnapshot(random_.Below(nodes_.size()));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) AddMembers(i);
    return digest_;
  }

 private:
  struct Node {
    std::unique_ptr<MembershipView> view;
    std::vector<Heartbeat> inbox;
    double clock_offset = 0;
    double stopped_until = 0;
    std::size_t list_length = 0;
    int group = 0;  // gateways reach those of their own group
  };

  double Clock(std::size_t node) const { return now_ + nodes_[node].clock_offset; }

  void Start(std::size_t node) {
    Node& started = nodes_[node];
    std::vector<std::string> list(names_.begin(),
                                  names_.begin() + static_cast<std::ptrdiff_t>(started.list_length));
    MembershipView::Timeouts timeouts;
    timeouts.suspect_timeout = scenario_.suspect_timeout;
    timeouts.dead_timeout = scenario_.dead_timeout;
    started.view =
        std::make_unique<MembershipView>(std::move(list), node, timeouts, random_.Next(), Clock(node));
    started.inbox.clear();
  }

  void PlayOne() {
    const std::size_t node = random_.Below(nodes_.size());
    const std::size_t kind = random_.Below(1000);
    if (kind < 400) return SendFrom(node);
    if (kind < 960) return Deliver(node);
    if (kind < 962 && scenario_.partitions) return Repartition();
    if (kind < 964 && scenario_.one_way) return CutOneWay();
    if (kind < 966 && scenario_.pauses) return Stop(node);
    if (kind < 968 && scenario_.restarts) return Restart(node);
    if (kind < 972 && scenario_.forgeries) return Forge(node);
    Deliver(node);
  }

  void SendFrom(std::size_t from) {
    if (now_ < nodes_[from].stopped_until) return;
    const Heartbeat heartbeat = nodes_[from].view->NextHeartbeat(Clock(from));
    digest_.Add(EncodeHeartbeat(heartbeat));
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to == from || nodes_[to].group != nodes_[from].group) continue;
      if (from == cut_from_ && to == cut_to_) continue;
      if (!random_.Chance(scenario_.loss)) nodes_[to].inbox.push_back(heartbeat);
    }
  }

  // Reads some of what waits for one gateway, mostly in order.
  void Deliver(std::size_t to) {
    Node& node = nodes_[to];
    if (now_ < node.stopped_until) return;
    for (std::size_t left = node.inbox.size(); left > 0; --left) {
      const std::size_t index = random_.Chance(0.9) ? 0 : random_.Below(node.inbox.size());
      const Heartbeat heartbeat = node.inbox[index];
      if (!random_.Chance(scenario_.repeats)) {
        node.inbox.erase(node.inbox.begin() + static_cast<std::ptrdiff_t>(index));
      }
      Receive(to, heartbeat);
      if (random_.Chance(0.1)) return;
    }
  }

  void Receive(std::size_t to, const Heartbeat& heartbeat) {
    digest_.Add(nodes_[to].view->OnHeartbeat(Clock(to), heartbeat));
    digest_.Add(nodes_[to].view->dropped());
  }

  void Repartition() {
    const std::size_t groups = 1 + random_.Below(3);
    for (Node& node : nodes_) node.group = static_cast<int>(random_.Below(groups));
  }

  void CutOneWay() {
    cut_from_ = random_.Below(nodes_.size() + 1);
    cut_to_ = random_.Below(nodes_.size() + 1);
  }

  void Stop(std::size_t node) { nodes_[node].stopped_until = now_ + random_.Between(100, 6000); }

  void Restart(std::size_t node) {
    if (scenario_.growth) {
      nodes_[node].list_length = scenario_.gateways + random_.Below(names_.size() - scenario_.gateways + 1);
    }
    Start(node);
  }

  // A heartbeat that no view has sent: the next one of some gateway with one field altered.
  void Forge(std::size_t to) {
    Heartbeat heartbeat = nodes_[random_.Below(nodes_.size())].view->NextHeartbeat(Clock(to));
    switch (random_.Below(6)) {
      case 0: heartbeat.sender = "stranger"; break;
      case 1: heartbeat.incarnation = random_.Next(); break;
      case 2: heartbeat.sequence += random_.Below(200); break;
      case 3: heartbeat.configured = 1 + static_cast<int>(random_.Below(10)); break;
      case 4: heartbeat.acknowledgements.clear(); break;
      default:
        for (Heartbeat::Acknowledgement& each : heartbeat.acknowledgements)
          each.sequence += random_.Below(100);
    }
    Receive(to, heartbeat);
  }

  void AddSnapshot(std::size_t node) {
    const MembershipView::Snapshot snapshot = nodes_[node].view->TakeSnapshot(Clock(node));
    digest_.Add(snapshot.configured);
    digest_.Add(snapshot.present);
    digest_.Add(snapshot.rank);
    digest_.Add(snapshot.quorum_until);
  }

  void AddMembers(std::size_t node) {
    const MembershipView& view = *nodes_[node].view;
    digest_.Add(view.list_hash());
    for (const MembershipView::Member& member : view.members()) {
      digest_.Add(member.name);
      digest_.Add(member.incarnation);
      digest_.Add(member.sequence);
      digest_.Add(member.list_hash);
      digest_.Add(member.configured);
      digest_.Add(member.received_at);
      digest_.Add(member.acknowledged_at);
    }
  }

  const Scenario& scenario_;
  SplitMix64 random_;
  std::vector<std::string> names_;
  std::vector<Node> nodes_;
  Digest digest_;
  double now_ = 5000;
  std::size_t cut_from_ = ~std::size_t{0};
  std::size_t cut_to_ = ~std::size_t{0};
};

constexpr int kSteps = 4000;
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4};

class MembershipCharacterization : public ::testing::TestWithParam<Scenario> {};

TEST_P(MembershipCharacterization, KeepsEveryViewAndHeartbeat) {
  const Scenario& scenario = GetParam();
  for (const std::uint64_t seed : kSeeds) {
    ExpectRecorded(scenario.name, seed, Simulation(scenario, seed).Play(kSteps));
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, MembershipCharacterization, ::testing::ValuesIn(Scenarios()),
                         [](const auto& parameter) { return std::string(parameter.param.name); });

}  // namespace
}  // namespace meadowyard::testing
