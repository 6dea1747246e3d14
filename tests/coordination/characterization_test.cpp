// Characterization of the coordination state machines: groups of gateways run through seeded random sequences
// of every kind of event, and a digest of all that they send, report and return as their status is compared
// with a recorded one. Guards against unintended changes of any decision.
//
// The recorded digests, tests/fixtures/coordination_digests.txt, were written by the program of commit
// ff1d420. They must stay the same to the last bit through any change that is meant to keep every decision:
// names, structure, comments. The file may be recorded again only in a commit that changes a decision on
// purpose and states this in its message. With MEADOWYARD_WRITE_DIGESTS=FILE the test appends the digests to
// that file instead.
//
// Digests hold for x86-64 with the C library's exp for processors with fused multiply-add.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/endpoint_list_leader.hpp"
#include "coordination/lease.hpp"
#include "coordination/random_sequence.hpp"
#include "coordination/zone_health_evaluator.hpp"
#include "coordination/zone_state_coordinator.hpp"

namespace meadowyard::testing {
namespace {

using namespace coordination;

constexpr int kEventCount = 10000;
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6};

std::size_t IndexOf(int gateway) { return static_cast<std::size_t>(gateway); }

// Clocks of the gateways, with any offset and rates of 0.99 to 1.01.
class Clocks {
 public:
  Clocks(int gateways, SplitMix64& random) {
    for (int gateway = 0; gateway < gateways; ++gateway) {
      offsets_.push_back(random.Between(0, 1e6));
      rates_.push_back(random.Between(0.99, 1.01));
    }
  }
  void Advance(Millis duration) { elapsed_ += duration; }
  [[nodiscard]] Millis Now(int gateway) const {
    return offsets_[IndexOf(gateway)] + rates_[IndexOf(gateway)] * elapsed_;
  }
  [[nodiscard]] std::uint64_t Elapsed() const { return static_cast<std::uint64_t>(elapsed_); }

 private:
  Millis elapsed_ = 1000;
  std::vector<Millis> offsets_;
  std::vector<double> rates_;
};

// ---- Lease -----------------------------------------------------------------------------------

class LeaseScenario {
 public:
  explicit LeaseScenario(std::uint64_t seed)
      : random_(seed),
        gateway_count_(3 + random_.Below(3)),
        clocks_(gateway_count_, random_),
        network_(random_.Between(0, 0.2), 0.05) {
    times_.term = random_.Between(500, 3000);
    times_.max_clock_drift = 0.02;
    times_.retry_interval = random_.Between(20, 200);
    for (int gateway = 0; gateway < gateway_count_; ++gateway) leases_.push_back(Start(gateway));
  }

  std::uint64_t Run() {
    for (int event = 0; event < kEventCount; ++event) {
      clocks_.Advance(random_.Between(0, 8));
      if (random_.Chance(0.0005)) clocks_.Advance(random_.Between(0, 2 * times_.term));
      RunOneEvent();
    }
    for (int gateway = 0; gateway < gateway_count_; ++gateway) AddStatus(gateway);
    return digest_.value();
  }

 private:
  Lease Start(int gateway) {
    return {gateway, gateway_count_, times_, clocks_.Now(gateway), clocks_.Elapsed()};
  }

  void RunOneEvent() {
    const int kind = random_.Below(10000);
    int gateway = random_.Below(gateway_count_);
    std::vector<Lease::Envelope> outgoing;
    if (kind < 8300) {
      network_.DeliverOne(random_, [&](const auto& datagram) {
        gateway = datagram.to;
        leases_[IndexOf(gateway)].OnMessage(clocks_.Now(gateway), datagram.from, datagram.message, outgoing);
      });
    } else if (kind < 9900) {
      leases_[IndexOf(gateway)].Tick(clocks_.Now(gateway), random_.Fraction(), outgoing);
    } else if (kind < 9930) {
      const int from = random_.Below(gateway_count_);
      leases_[IndexOf(gateway)].OnMessage(clocks_.Now(gateway), from, ForgeMessage(), outgoing);
    } else if (kind < 9940) {
      leases_[IndexOf(gateway)].Release(clocks_.Now(gateway) + random_.Between(0, times_.term));
    } else if (kind < 9960) {
      leases_[IndexOf(gateway)].ObserveToken(ForgeToken());
    } else if (kind < 9968) {
      leases_[IndexOf(gateway)] = Start(gateway);
    }
    for (const Lease::Envelope& envelope : outgoing) SendAndRecord(gateway, envelope);
    AddStatus(gateway);
  }

  FencingToken ForgeToken() {
    const FencingToken current_token = leases_[random_.Index(leases_.size())].token();
    return current_token + random_.Next() % 600;
  }

  // A message that no gateway sent, with numbers near those in use.
  Lease::Message ForgeMessage() {
    Lease::Message payload;
    payload.type = static_cast<Lease::Message::Type>(random_.Below(5));
    payload.token = ForgeToken();
    payload.highest_promised = payload.token + random_.Next() % 300;
    payload.owner = random_.Below(gateway_count_ + 1) - 1;
    return payload;
  }

  void SendAndRecord(int from, const Lease::Envelope& envelope) {
    digest_.Add(from);
    digest_.Add(envelope.to);
    digest_.Add(static_cast<int>(envelope.message.type));
    digest_.Add(envelope.message.token);
    digest_.Add(envelope.message.highest_promised);
    digest_.Add(envelope.message.owner);
    network_.Send(from, envelope.to, envelope.message);
  }

  void AddStatus(int gateway) {
    const Lease& lease = leases_[IndexOf(gateway)];
    const Millis now = clocks_.Now(gateway);
    digest_.Add(lease.IsHeld(now));
    digest_.Add(lease.token());
    digest_.Add(lease.held_until());
    digest_.Add(lease.Owner(now));
  }

  SplitMix64 random_;
  const int gateway_count_;
  Clocks clocks_;
  UnreliableNetwork<Lease::Message> network_;
  Lease::Times times_;
  std::vector<Lease> leases_;
  Digest digest_;
};

// ---- Endpoint list replication ---------------------------------------------------------------

class EndpointListScenario {
 public:
  explicit EndpointListScenario(std::uint64_t seed)
      : random_(seed),
        gateway_count_(3 + random_.Below(3)),
        clocks_(gateway_count_, random_),
        network_(random_.Between(0, 0.15), 0.03),
        lists_(IndexOf(gateway_count_)) {
    times_.lease = {random_.Between(500, 1500), 0.02, random_.Between(20, 100)};
    times_.leader_timeout = random_.Between(300, 1000);
    times_.lease_backoff = random_.Between(500, 2000);
    for (int gateway = 0; gateway < gateway_count_; ++gateway) Start(gateway);
  }

  std::uint64_t Run() {
    for (int event = 0; event < kEventCount; ++event) {
      clocks_.Advance(random_.Between(0, 8));
      if (random_.Chance(0.0005)) clocks_.Advance(random_.Between(0, 2 * times_.lease.term));
      RunOneEvent();
    }
    for (int gateway = 0; gateway < gateway_count_; ++gateway) AddStatus(gateway);
    return digest_.value();
  }

 private:
  void Start(int gateway) {
    if (coordinators_.size() <= IndexOf(gateway)) coordinators_.resize(IndexOf(gateway) + 1);
    const std::optional<std::int64_t> revision =
        random_.Chance(0.5) ? std::optional(lists_[IndexOf(gateway)].revision) : std::nullopt;
    EndpointListLeader::Handlers handlers;
    handlers.send = [this, gateway](int to, const CoordinationMessage& payload) {
      SendAndRecord(gateway, to, payload);
    };
    handlers.current_list = [this, gateway] { return lists_[IndexOf(gateway)]; };
    handlers.list_received = [this, gateway](const discovery::EndpointList& list) {
      OnListReceived(gateway, list);
    };
    handlers.watch_discovery = [this, gateway](bool enabled) {
      digest_.Add(gateway);
      digest_.Add(enabled);
    };
    coordinators_[IndexOf(gateway)] = std::make_unique<EndpointListLeader>(
        gateway, gateway_count_, times_, clocks_.Now(gateway), clocks_.Elapsed(), revision, handlers);
  }

  void RunOneEvent() {
    const int kind = random_.Below(10000);
    int gateway = random_.Below(gateway_count_);
    EndpointListLeader& coordinator = *coordinators_[IndexOf(gateway)];
    const Millis now = clocks_.Now(gateway);
    if (kind < 8000) {
      network_.DeliverOne(random_, [&](const auto& datagram) {
        gateway = datagram.to;
        coordinators_[IndexOf(gateway)]->OnMessage(clocks_.Now(gateway), datagram.from, datagram.message);
      });
    } else if (kind < 9400) {
      coordinator.Tick(now, random_.Fraction());
    } else if (kind < 9700) {
      if (coordinator.watches_discovery()) AnswerDiscovery(gateway);
    } else if (kind < 9850) {
      ChangeDiscoveredHosts();
    } else if (kind < 9880) {
      const int from = random_.Below(gateway_count_);
      coordinator.OnMessage(now, from, ForgeMessage());
    } else if (kind < 9886) {
      coordinator.OnDiscoveryFailed(now);
    } else if (kind < 9890) {
      coordinator.OnDiscoveryReplaced(now);
    } else if (kind < 9894) {
      coordinator.Stop(now);
      Start(gateway);
    } else if (kind < 9902) {
      Start(gateway);
    }
    AddStatus(gateway);
  }

  void ChangeDiscoveredHosts() {
    ++discovered_.revision;
    last_change_ = {NewHost()};
    if (discovered_.endpoints.empty() || (discovered_.endpoints.size() < 50 && random_.Chance(0.8))) {
      discovered_.endpoints.push_back(last_change_[0]);
      return;
    }
    discovery::EndpointRecord& host = discovered_.endpoints[random_.Index(discovered_.endpoints.size())];
    host.endpoint.state = random_.Chance(0.5) ? EndpointState::kDraining : EndpointState::kUp;
    last_change_ = {host};
  }

  discovery::EndpointRecord NewHost() {
    const int number = next_host_++;
    discovery::EndpointRecord host;
    host.endpoint.id = "h" + std::to_string(number);
    host.endpoint.zone = "z" + std::to_string(number % 3);
    host.endpoint.kind = number % 4 == 3 ? "large" : "small";
    host.endpoint.weight = number % 4 == 3 ? 2 : 1;
    host.endpoint.started_at = 1000 * number;
    host.address = *discovery::ParseAddress("127.0.0.1:" + std::to_string(9000 + number));
    return host;
  }

  // The gateway's own discovery answers with the complete list, with the last change, or with no change.
  void AnswerDiscovery(int gateway) {
    discovery::EndpointList list = discovered_;
    discovery::EndpointList& own_list = lists_[IndexOf(gateway)];
    if (own_list.revision + 1 == discovered_.revision) {
      list.is_snapshot = false;
      list.endpoints = last_change_;
    } else if (own_list.revision == discovered_.revision && random_.Chance(0.8)) {
      list.is_snapshot = false;
      list.endpoints.clear();
    }
    Merge(gateway, list);
    coordinators_[IndexOf(gateway)]->OnDiscoveryUpdate(clocks_.Now(gateway), list);
  }

  void Merge(int gateway, const discovery::EndpointList& list) {
    discovery::EndpointList& own_list = lists_[IndexOf(gateway)];
    if (list.is_snapshot) own_list.endpoints.clear();
    for (const discovery::EndpointRecord& host : list.endpoints) {
      std::erase_if(own_list.endpoints, [&](const discovery::EndpointRecord& known_host) {
        return known_host.endpoint.id == host.endpoint.id;
      });
      own_list.endpoints.push_back(host);
    }
    own_list.revision = list.revision;
  }

  void OnListReceived(int gateway, const discovery::EndpointList& list) {
    digest_.Add(gateway);
    digest_.Add(discovery::SerializeEndpointList(list));
    Merge(gateway, list);
  }

  // A message that no gateway sent, with numbers near those in use.
  CoordinationMessage ForgeMessage() {
    const FencingToken token =
        coordinators_[random_.Index(coordinators_.size())]->Status(clocks_.Now(0))["token"];
    if (random_.Chance(0.3)) return EndpointListRequest{token + random_.Next() % 3};
    EndpointListPart part;
    part.token = token + random_.Next() % 3;
    part.revision = discovered_.revision + random_.Below(3) - 1;
    part.base_revision = part.revision - random_.Below(3);
    part.complete = random_.Chance(0.3);
    part.parts = static_cast<std::uint32_t>(random_.Below(3));
    part.part = part.parts > 0 ? static_cast<std::uint32_t>(random_.Below(static_cast<int>(part.parts))) : 0;
    if (part.parts > 0) part.hosts = last_change_;
    return part;
  }

  void SendAndRecord(int from, int to, const CoordinationMessage& payload) {
    digest_.Add(from);
    digest_.Add(to);
    digest_.Add(ToBytes("g" + std::to_string(from), LeaseRole::kEndpointList, payload));
    network_.Send(from, to, payload);
  }

  void AddStatus(int gateway) {
    digest_.Add(coordinators_[IndexOf(gateway)]->Status(clocks_.Now(gateway)).dump());
    digest_.Add(coordinators_[IndexOf(gateway)]->watches_discovery());
  }

  SplitMix64 random_;
  const int gateway_count_;
  Clocks clocks_;
  UnreliableNetwork<CoordinationMessage> network_;
  EndpointListLeader::Times times_;
  discovery::EndpointList discovered_;
  std::vector<discovery::EndpointRecord> last_change_;
  std::vector<discovery::EndpointList> lists_;
  std::vector<std::unique_ptr<EndpointListLeader>> coordinators_;
  Digest digest_;
  int next_host_ = 0;
};

// ---- Zone state ------------------------------------------------------------------------------

// What the gateways observe of three zones, whose state changes at random.
class ObservedZones {
 public:
  void Change(SplitMix64& random) {
    const std::size_t zone = random.Index(3);
    const double draw = random.Fraction();
    available_[zone] = draw < 0.15 ? 0 : draw < 0.7 ? 1 : random.Fraction();
    timely_[zone] = random.Chance(0.7) ? 1 : random.Fraction();
    arrival_rates_[zone] = random.Between(0, 300);
    if (random.Chance(0.1)) capacities_[zone] = random.Below(9);
  }
  [[nodiscard]] ZoneLoadReport Observe(int gateway, SplitMix64& random) const {
    const std::size_t home = IndexOf(gateway) % 3;
    ZoneLoadReport report{Name(home), arrival_rates_[home], {}};
    for (std::size_t zone = 0; zone < 3; ++zone) {
      const double attempts = zone == home ? 50 : random.Below(8);
      const double size = capacities_[zone];
      report.zones.push_back({Name(zone), size, size * available_[zone], attempts, attempts * timely_[zone]});
    }
    if (random.Chance(0.01)) report.zones.push_back({"unlisted", 2, 1, 5, 4});
    return report;
  }
  static std::string Name(std::size_t zone) { return std::string(1, static_cast<char>('a' + zone)); }

 private:
  double available_[3] = {1, 1, 1};
  double timely_[3] = {1, 1, 1};
  double arrival_rates_[3] = {100, 100, 100};
  double capacities_[3] = {4, 4, 4};
};

class ZoneStateScenario {
 public:
  explicit ZoneStateScenario(std::uint64_t seed)
      : random_(seed),
        gateway_count_(3 + random_.Below(3)),
        clocks_(gateway_count_, random_),
        network_(random_.Between(0, 0.15), 0.03) {
    times_.lease = {random_.Between(400, 1200), 0.02, random_.Between(20, 100)};
    times_.evaluator.hold_down = random_.Between(500, 2000);
    times_.evaluator.increase_delay = random_.Between(300, 2000);
    times_.evaluator.settling_time = random_.Between(300, 2000);
    times_.proposal_retry_interval = random_.Between(100, 400);
    for (int gateway = 0; gateway < gateway_count_; ++gateway) Start(gateway);
  }

  std::uint64_t Run() {
    for (int event = 0; event < kEventCount; ++event) {
      clocks_.Advance(random_.Between(0, 8));
      if (random_.Chance(0.0005)) clocks_.Advance(random_.Between(0, 2 * times_.lease.term));
      RunOneEvent();
    }
    for (int gateway = 0; gateway < gateway_count_; ++gateway) AddStatus(gateway);
    return digest_.value();
  }

 private:
  void Start(int gateway) {
    if (coordinators_.size() <= IndexOf(gateway)) coordinators_.resize(IndexOf(gateway) + 1);
    ZoneStateCoordinator::Handlers handlers;
    handlers.send = [this, gateway](int to, const CoordinationMessage& payload) {
      SendAndRecord(gateway, to, payload);
    };
    handlers.agreed = [this, gateway](const ZoneAgreement& state) { OnAgreement(gateway, state); };
    coordinators_[IndexOf(gateway)] = std::make_unique<ZoneStateCoordinator>(
        gateway, gateway_count_, times_, clocks_.Now(gateway), clocks_.Elapsed(), handlers);
  }

  void RunOneEvent() {
    const int kind = random_.Below(10000);
    int gateway = random_.Below(gateway_count_);
    ZoneStateCoordinator& coordinator = *coordinators_[IndexOf(gateway)];
    if (kind < 8300) {
      network_.DeliverOne(random_, [&](const auto& datagram) {
        gateway = datagram.to;
        coordinators_[IndexOf(gateway)]->OnMessage(clocks_.Now(gateway), datagram.from, datagram.message);
      });
    } else if (kind < 9800) {
      Tick(gateway);
    } else if (kind < 9825) {
      observed_zones_.Change(random_);
    } else if (kind < 9880) {
      const int from = random_.Below(gateway_count_);
      coordinator.OnMessage(clocks_.Now(gateway), from, ForgeMessage());
    } else if (kind < 9884) {
      coordinator.Stop();
      Start(gateway);
    } else if (kind < 9892) {
      Start(gateway);
    }
    AddStatus(gateway);
  }

  // A heartbeat: most of the other gateways receive this gateway's load report.
  void Tick(int gateway) {
    const ZoneLoadReport own = observed_zones_.Observe(gateway, random_);
    coordinators_[IndexOf(gateway)]->Tick(clocks_.Now(gateway), random_.Fraction(), own);
    for (int to = 0; to < gateway_count_; ++to) {
      if (to != gateway && random_.Chance(0.9))
        coordinators_[IndexOf(to)]->OnLoadReport(clocks_.Now(to), gateway, own);
    }
  }

  // A message that no gateway sent, with numbers near those in use.
  CoordinationMessage ForgeMessage() {
    const ZoneAgreement& agreed = coordinators_[random_.Index(coordinators_.size())]->agreed();
    const FencingToken token = agreed.term + random_.Next() % 3;
    if (random_.Chance(0.3)) return ZoneStateVote{token, agreed.version + random_.Next() % 2};
    ZoneStateAnnouncement payload;
    payload.kind = static_cast<ZoneStateAnnouncement::Kind>(random_.Below(3));
    payload.token = token;
    payload.state = agreed;
    payload.state.version += random_.Next() % 2;
    return payload;
  }

  void OnAgreement(int gateway, const ZoneAgreement& state) {
    digest_.Add(gateway);
    digest_.Add(state.term);
    digest_.Add(state.version);
    for (const ZoneAgreement::Zone& zone : state.zones) {
      digest_.Add(zone.name);
      digest_.Add(zone.health);
      digest_.Add(zone.capacity);
      digest_.Add(zone.demand);
    }
  }

  void SendAndRecord(int from, int to, const CoordinationMessage& payload) {
    digest_.Add(from);
    digest_.Add(to);
    digest_.Add(ToBytes("g" + std::to_string(from), LeaseRole::kZoneState, payload));
    network_.Send(from, to, payload);
  }

  void AddStatus(int gateway) {
    digest_.Add(coordinators_[IndexOf(gateway)]->Status(clocks_.Now(gateway)).dump());
  }

  SplitMix64 random_;
  const int gateway_count_;
  Clocks clocks_;
  UnreliableNetwork<CoordinationMessage> network_;
  ZoneStateCoordinator::Times times_;
  ObservedZones observed_zones_;
  std::vector<std::unique_ptr<ZoneStateCoordinator>> coordinators_;
  Digest digest_;
};

// ---- Zone health -----------------------------------------------------------------------------

class ZoneHealthScenario {
 public:
  explicit ZoneHealthScenario(std::uint64_t seed)
      : random_(seed), gateway_count_(3 + random_.Below(4)), evaluator_(gateway_count_, DrawTimes(random_)) {}

  std::uint64_t Run() {
    for (int event = 0; event < kEventCount; ++event) {
      now_ += random_.Between(0, 60);
      if (random_.Chance(0.002)) now_ += random_.Between(0, 100000);
      RunOneEvent();
    }
    AddState();
    return digest_.value();
  }

 private:
  static ZoneHealthEvaluator::Times DrawTimes(SplitMix64& random) {
    ZoneHealthEvaluator::Times times;
    times.decrease_delay = random.Between(100, 600);
    times.increase_delay = random.Between(300, 3000);
    times.settling_time = random.Between(300, 3000);
    times.overprovisioning_factor = random.Between(1, 2);
    times.hold_down = random.Between(300, 5000);
    times.max_hold_down = 20 * times.hold_down;
    return times;
  }

  void RunOneEvent() {
    const int kind = random_.Below(10000);
    const int gateway = random_.Below(gateway_count_);
    if (kind < 6500) {
      const ZoneLoadReport report = observed_zones_.Observe(gateway, random_);
      evaluator_.OnLoadReport(now_, gateway, report);
    } else if (kind < 9800) {
      EvaluateOnce();
    } else if (kind < 9850) {
      observed_zones_.Change(random_);
    } else if (kind < 9880) {
      AdoptForeignAgreement();
    }
  }

  void EvaluateOnce() {
    const auto proposal = evaluator_.Evaluate(now_, agreed_);
    digest_.Add(proposal.has_value());
    if (!proposal || random_.Chance(0.1)) return;  // not adopted
    evaluator_.OnAgreement(now_, agreed_, *proposal);
    agreed_ = *proposal;
    AddState();
  }

  // A state that another gateway proposed is adopted.
  void AdoptForeignAgreement() {
    std::vector<ZoneAgreement::Zone> proposal = agreed_;
    for (ZoneAgreement::Zone& zone : proposal) {
      if (random_.Chance(0.5)) zone.health = 0.1 * random_.Below(11);
    }
    evaluator_.OnAgreement(now_, agreed_, proposal);
    agreed_ = proposal;
  }

  void AddState() {
    for (const ZoneAgreement::Zone& zone : agreed_) {
      digest_.Add(zone.name);
      digest_.Add(zone.health);
      digest_.Add(zone.capacity);
      digest_.Add(zone.demand);
    }
  }

  SplitMix64 random_;
  const int gateway_count_;
  ZoneHealthEvaluator evaluator_;
  ObservedZones observed_zones_;
  std::vector<ZoneAgreement::Zone> agreed_;
  Digest digest_;
  Millis now_ = 1000;
};

// ---- The recorded digests --------------------------------------------------------------------

std::map<std::string, std::string> RecordedDigests() {
  std::map<std::string, std::string> recorded;
  std::ifstream file(MEADOWYARD_FIXTURES "/coordination_digests.txt");
  std::string machine, seed, digest;
  while (file >> machine >> seed >> digest) recorded[machine + " " + seed] = digest;
  return recorded;
}

std::string ToHex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

template <class Scenario>
void ExpectRecordedDigests(const std::string& machine) {
  const auto recorded = RecordedDigests();
  for (const std::uint64_t seed : kSeeds) {
    const std::string name = machine + " " + std::to_string(seed);
    const std::string digest = ToHex(Scenario(seed).Run());
    if (const char* const path = std::getenv("MEADOWYARD_WRITE_DIGESTS")) {
      std::ofstream(path, std::ios::app) << name << " " << digest << "\n";
      continue;
    }
    ASSERT_TRUE(recorded.contains(name)) << name;
    EXPECT_EQ(digest, recorded.at(name)) << name;
  }
}

TEST(CoordinationCharacterization, LeaseKeepsEveryDecision) { ExpectRecordedDigests<LeaseScenario>("lease"); }

TEST(CoordinationCharacterization, EndpointListLeaderKeepsEveryDecision) {
  ExpectRecordedDigests<EndpointListScenario>("endpoint_list");
}

TEST(CoordinationCharacterization, ZoneStateCoordinatorKeepsEveryDecision) {
  ExpectRecordedDigests<ZoneStateScenario>("zone_state");
}

TEST(CoordinationCharacterization, ZoneHealthEvaluatorKeepsEveryDecision) {
  ExpectRecordedDigests<ZoneHealthScenario>("zone_health");
}

// Checks that the digests detect small differences: one additional random draw, which shifts the time of one
// event, changes them.
TEST(CoordinationCharacterization, OtherSeedGivesOtherDigest) {
  EXPECT_NE(LeaseScenario(1).Run(), LeaseScenario(2).Run());
  EXPECT_NE(EndpointListScenario(1).Run(), EndpointListScenario(2).Run());
  EXPECT_NE(ZoneStateScenario(1).Run(), ZoneStateScenario(2).Run());
  EXPECT_NE(ZoneHealthScenario(1).Run(), ZoneHealthScenario(2).Run());
}

}  // namespace
}  // namespace meadowyard::testing
