/// @file
/// Characterization test of the membership state machine: several gateways exchange heartbeats over a
/// simulated network that delays, loses, duplicates and reorders them. A digest of all heartbeats, of the
/// results of handling them and of all snapshots is compared with the one that was recorded with the program
/// of commit ff1d420.
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

// Parameters of the network and the gateways, and the events that occur in addition to heartbeats.
struct Scenario {
  const char* name = "";
  std::size_t gateways = 3;
  double suspect_timeout = 1000;          // ms
  double dead_timeout = 3000;             // ms
  double mean_interval = 20;              // between two steps, in ms
  double loss_probability = 0.02;         // for each heartbeat and receiver
  double duplication_probability = 0.02;  // probability that a delivered heartbeat is delivered again later
  bool partitions = false;          // groups of gateways that can't reach each other, changed at random times
  bool cuts_one_direction = false;  // one link is cut in one direction
  bool stops_gateways = false;      // gateways stop temporarily and then read all queued heartbeats
  bool restarts = false;            // gateways restart with another incarnation
  bool changes_list = false;        // restarts with a longer or shorter peers file
  bool forged_heartbeats = false;   // heartbeats with altered fields are delivered
  bool clocks_differ = false;       // the clocks of the gateways have different origins
};

std::vector<Scenario> Scenarios() {
  return {
      {.name = "three"},
      {.name = "alone", .gateways = 1},
      {.name = "two", .gateways = 2, .loss_probability = 0.3, .cuts_one_direction = true},
      {.name = "lossy",
       .gateways = 5,
       .mean_interval = 12,
       .loss_probability = 0.45,
       .duplication_probability = 0.2},
      {.name = "partitioned", .gateways = 5, .mean_interval = 12, .partitions = true},
      {.name = "one_way", .gateways = 4, .mean_interval = 15, .cuts_one_direction = true},
      {.name = "paused", .gateways = 4, .mean_interval = 15, .stops_gateways = true},
      {.name = "restarted", .gateways = 5, .mean_interval = 12, .restarts = true},
      {.name = "growing", .gateways = 6, .mean_interval = 10, .restarts = true, .changes_list = true},
      {.name = "forged", .gateways = 4, .forged_heartbeats = true},
      {.name = "many", .gateways = 12, .mean_interval = 4, .partitions = true, .restarts = true},
      {.name = "slow_times",
       .gateways = 5,
       .suspect_timeout = 2500,
       .dead_timeout = 2500,
       .mean_interval = 30,
       .stops_gateways = true},
      {.name = "everything",
       .gateways = 7,
       .mean_interval = 8,
       .loss_probability = 0.1,
       .duplication_probability = 0.1,
       .partitions = true,
       .cuts_one_direction = true,
       .stops_gateways = true,
       .restarts = true,
       .changes_list = true,
       .forged_heartbeats = true,
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

  Digest Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += random_.Between(0, 2 * scenario_.mean_interval);
      if (random_.Chance(0.002)) now_ += random_.Between(100, 5000);
      SimulateEvent();
      AddSnapshot(random_.Below(nodes_.size()));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) AddMembers(i);
    return digest_;
  }

 private:
  struct Node {
    std::unique_ptr<MembershipView> view;
    std::vector<Heartbeat> queued_heartbeats;
    double clock_offset = 0;
    double stopped_until = 0;
    std::size_t list_length = 0;
    int group = 0;  // gateways reach only those of their own group
  };

  double Clock(std::size_t node) const { return now_ + nodes_[node].clock_offset; }

  void Start(std::size_t node) {
    Node& started_node = nodes_[node];
    std::vector<std::string> list(names_.begin(),
                                  names_.begin() + static_cast<std::ptrdiff_t>(started_node.list_length));
    MembershipView::Timeouts timeouts;
    timeouts.suspect_timeout = scenario_.suspect_timeout;
    timeouts.dead_timeout = scenario_.dead_timeout;
    started_node.view =
        std::make_unique<MembershipView>(std::move(list), node, timeouts, random_.Next(), Clock(node));
    started_node.queued_heartbeats.clear();
  }

  void SimulateEvent() {
    const std::size_t node = random_.Below(nodes_.size());
    const std::size_t kind = random_.Below(1000);
    if (kind < 400) return SendFrom(node);
    if (kind < 960) return Deliver(node);
    if (kind < 962 && scenario_.partitions) return Repartition();
    if (kind < 964 && scenario_.cuts_one_direction) return CutOneDirection();
    if (kind < 966 && scenario_.stops_gateways) return Stop(node);
    if (kind < 968 && scenario_.restarts) return Restart(node);
    if (kind < 972 && scenario_.forged_heartbeats) return DeliverForgedHeartbeat(node);
    Deliver(node);
  }

  void SendFrom(std::size_t from) {
    if (now_ < nodes_[from].stopped_until) return;
    const Heartbeat heartbeat = nodes_[from].view->NextHeartbeat(Clock(from));
    digest_.Add(EncodeHeartbeat(heartbeat));
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to == from || nodes_[to].group != nodes_[from].group) continue;
      if (from == cut_from_ && to == cut_to_) continue;
      if (!random_.Chance(scenario_.loss_probability)) nodes_[to].queued_heartbeats.push_back(heartbeat);
    }
  }

  // Delivers some of the queued heartbeats of a gateway, usually the oldest first.
  void Deliver(std::size_t to) {
    Node& node = nodes_[to];
    if (now_ < node.stopped_until) return;
    for (std::size_t remaining = node.queued_heartbeats.size(); remaining > 0; --remaining) {
      const std::size_t index = random_.Chance(0.9) ? 0 : random_.Below(node.queued_heartbeats.size());
      const Heartbeat heartbeat = node.queued_heartbeats[index];
      if (!random_.Chance(scenario_.duplication_probability)) {
        node.queued_heartbeats.erase(node.queued_heartbeats.begin() + static_cast<std::ptrdiff_t>(index));
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

  void CutOneDirection() {
    cut_from_ = random_.Below(nodes_.size() + 1);
    cut_to_ = random_.Below(nodes_.size() + 1);
  }

  void Stop(std::size_t node) { nodes_[node].stopped_until = now_ + random_.Between(100, 6000); }

  void Restart(std::size_t node) {
    if (scenario_.changes_list) {
      nodes_[node].list_length = scenario_.gateways + random_.Below(names_.size() - scenario_.gateways + 1);
    }
    Start(node);
  }

  // Delivers a heartbeat that no gateway has sent: the next one of a random gateway with one field altered.
  void DeliverForgedHeartbeat(std::size_t to) {
    Heartbeat heartbeat = nodes_[random_.Below(nodes_.size())].view->NextHeartbeat(Clock(to));
    switch (random_.Below(6)) {
      case 0: heartbeat.sender = "stranger"; break;
      case 1: heartbeat.incarnation = random_.Next(); break;
      case 2: heartbeat.sequence += random_.Below(200); break;
      case 3: heartbeat.configured = 1 + static_cast<int>(random_.Below(10)); break;
      case 4: heartbeat.acknowledgements.clear(); break;
      default:
        for (Heartbeat::Acknowledgement& acknowledgement : heartbeat.acknowledgements)
          acknowledgement.sequence += random_.Below(100);
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

constexpr int kStepsPerSequence = 4000;
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4};

class MembershipCharacterization : public ::testing::TestWithParam<Scenario> {};

TEST_P(MembershipCharacterization, KeepsEveryViewAndHeartbeat) {
  const Scenario& scenario = GetParam();
  for (const std::uint64_t seed : kSeeds) {
    ExpectRecorded(scenario.name, seed, Simulation(scenario, seed).Run(kStepsPerSequence));
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, MembershipCharacterization, ::testing::ValuesIn(Scenarios()),
                         [](const auto& parameter) { return std::string(parameter.param.name); });

}  // namespace
}  // namespace meadowyard::testing
