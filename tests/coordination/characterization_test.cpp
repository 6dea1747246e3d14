// Characterization of the coordination state machines: seeded random sequences of every kind of event are
// driven through groups of gateways, and a digest of all that they send, report and show as their status is
// compared with a recorded one.
//
// The recorded digests, tests/fixtures/coordination_digests.txt, were written by the program of commit
// ff1d420. They must stay the same to the last bit through any change that is meant to keep every decision:
// names, structure, comments. The file may be written anew only by a commit that changes a decision on
// purpose and says so in its message; run the test with MEADOWYARD_WRITE_DIGESTS=FILE to have the digests
// appended there.
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

constexpr int kEvents = 10000;
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6};

std::size_t At(int gateway) { return static_cast<std::size_t>(gateway); }

// Clocks of the gateways: any time apart, and running apart a little.
class Clocks {
 public:
  Clocks(int gateways, SplitMix64& random) {
    for (int g = 0; g < gateways; ++g) {
      offsets_.push_back(random.Between(0, 1e6));
      rates_.push_back(random.Between(0.99, 1.01));
    }
  }
  void Advance(Millis by) { elapsed_ += by; }
  [[nodiscard]] Millis Now(int gateway) const {
    return offsets_[At(gateway)] + rates_[At(gateway)] * elapsed_;
  }
  [[nodiscard]] std::uint64_t Elapsed() const { return static_cast<std::uint64_t>(elapsed_); }

 private:
  Millis elapsed_ = 1000;
  std::vector<Millis> offsets_;
  std::vector<double> rates_;
};

// ---- Lease -----------------------------------------------------------------------------------

class LeasePlayer {
 public:
  explicit LeasePlayer(std::uint64_t seed)
      : random_(seed),
        size_(3 + random_.Below(3)),
        clocks_(size_, random_),
        network_(random_.Between(0, 0.2), 0.05) {
    times_.term = random_.Between(500, 3000);
    times_.max_clock_drift = 0.02;
    times_.retry_interval = random_.Between(20, 200);
    for (int g = 0; g < size_; ++g) leases_.push_back(Start(g));
  }

  std::uint64_t Play() {
    for (int i = 0; i < kEvents; ++i) {
      clocks_.Advance(random_.Between(0, 8));
      if (random_.Chance(0.0005)) clocks_.Advance(random_.Between(0, 2 * times_.term));
      PlayOne();
    }
    for (int g = 0; g < size_; ++g) AddStatus(g);
    return digest_.value();
  }

 private:
  Lease Start(int g) { return {g, size_, times_, clocks_.Now(g), clocks_.Elapsed()}; }

  void PlayOne() {
    const int kind = random_.Below(10000);
    int g = random_.Below(size_);
    std::vector<Lease::Envelope> out;
    if (kind < 8300) {
      network_.DeliverOne(random_, [&](const auto& datagram) {
        g = datagram.to;
        leases_[At(g)].OnMessage(clocks_.Now(g), datagram.from, datagram.message, out);
      });
    } else if (kind < 9900) {
      leases_[At(g)].Tick(clocks_.Now(g), random_.Fraction(), out);
    } else if (kind < 9930) {
      const int from = random_.Below(size_);
      leases_[At(g)].OnMessage(clocks_.Now(g), from, AnyWord(), out);
    } else if (kind < 9940) {
      leases_[At(g)].Release(clocks_.Now(g) + random_.Between(0, times_.term));
    } else if (kind < 9960) {
      leases_[At(g)].ObserveToken(AnyToken());
    } else if (kind < 9968) {
      leases_[At(g)] = Start(g);
    }
    for (const Lease::Envelope& letter : out) Post(g, letter);
    AddStatus(g);
  }

  FencingToken AnyToken() {
    const FencingToken in_use = leases_[random_.Index(leases_.size())].token();
    return in_use + random_.Next() % 600;
  }

  // A message that nobody sent; its numbers are near those in use.
  Lease::Message AnyWord() {
    Lease::Message word;
    word.type = static_cast<Lease::Message::Type>(random_.Below(5));
    word.token = AnyToken();
    word.highest_promised = word.token + random_.Next() % 300;
    word.owner = random_.Below(size_ + 1) - 1;
    return word;
  }

  void Post(int from, const Lease::Envelope& letter) {
    digest_.Add(from);
    digest_.Add(letter.to);
    digest_.Add(static_cast<int>(letter.message.type));
    digest_.Add(letter.message.token);
    digest_.Add(letter.message.highest_promised);
    digest_.Add(letter.message.owner);
    network_.Send(from, letter.to, letter.message);
  }

  void AddStatus(int g) {
    const Lease& lease = leases_[At(g)];
    const Millis now = clocks_.Now(g);
    digest_.Add(lease.IsHeld(now));
    digest_.Add(lease.token());
    digest_.Add(lease.held_until());
    digest_.Add(lease.Owner(now));
  }

  SplitMix64 random_;
  const int size_;
  Clocks clocks_;
  UnreliableNetwork<Lease::Message> network_;
  Lease::Times times_;
  std::vector<Lease> leases_;
  Digest digest_;
};

// ---- Reading the list of endpoints -----------------------------------------------------------

class ListPlayer {
 public:
  explicit ListPlayer(std::uint64_t seed)
      : random_(seed),
        size_(3 + random_.Below(3)),
        clocks_(size_, random_),
        network_(random_.Between(0, 0.15), 0.03),
        lists_(At(size_)) {
    times_.lease = {random_.Between(500, 1500), 0.02, random_.Between(20, 100)};
    times_.leader_timeout = random_.Between(300, 1000);
    times_.refuses = random_.Between(500, 2000);
    for (int g = 0; g < size_; ++g) Start(g);
  }

  std::uint64_t Play() {
    for (int i = 0; i < kEvents; ++i) {
      clocks_.Advance(random_.Between(0, 8));
      if (random_.Chance(0.0005)) clocks_.Advance(random_.Between(0, 2 * times_.lease.term));
      PlayOne();
    }
    for (int g = 0; g < size_; ++g) AddStatus(g);
    return digest_.value();
  }

 private:
  void Start(int g) {
    if (duties_.size() <= At(g)) duties_.resize(At(g) + 1);
    const std::optional<std::int64_t> revision =
        random_.Chance(0.5) ? std::optional(lists_[At(g)].revision) : std::nullopt;
    EndpointListLeader::Handlers handlers;
    handlers.send = [this, g](int to, const CoordinationMessage& word) { Post(g, to, word); };
    handlers.whole = [this, g] { return lists_[At(g)]; };
    handlers.told = [this, g](const discovery::EndpointList& list) { Received(g, list); };
    handlers.watch = [this, g](bool on) {
      digest_.Add(g);
      digest_.Add(on);
    };
    duties_[At(g)] = std::make_unique<EndpointListLeader>(g, size_, times_, clocks_.Now(g), clocks_.Elapsed(),
                                                          revision, handlers);
  }

  void PlayOne() {
    const int kind = random_.Below(10000);
    int g = random_.Below(size_);
    EndpointListLeader& duty = *duties_[At(g)];
    const Millis now = clocks_.Now(g);
    if (kind < 8000) {
      network_.DeliverOne(random_, [&](const auto& datagram) {
        g = datagram.to;
        duties_[At(g)]->OnMessage(clocks_.Now(g), datagram.from, datagram.message);
      });
    } else if (kind < 9400) {
      duty.Tick(now, random_.Fraction());
    } else if (kind < 9700) {
      if (duty.watches_discovery()) Discover(g);
    } else if (kind < 9850) {
      ChangeHosts();
    } else if (kind < 9880) {
      const int from = random_.Below(size_);
      duty.OnMessage(now, from, AnyWord());
    } else if (kind < 9886) {
      duty.OnDiscoveryFailed(now);
    } else if (kind < 9890) {
      duty.OnDiscoveryReplaced(now);
    } else if (kind < 9894) {
      duty.Stop(now);
      Start(g);
    } else if (kind < 9902) {
      Start(g);
    }
    AddStatus(g);
  }

  void ChangeHosts() {
    ++truth_.revision;
    changed_ = {NewHost()};
    if (truth_.endpoints.empty() || (truth_.endpoints.size() < 50 && random_.Chance(0.8))) {
      truth_.endpoints.push_back(changed_[0]);
      return;
    }
    discovery::EndpointRecord& host = truth_.endpoints[random_.Index(truth_.endpoints.size())];
    host.endpoint.state = random_.Chance(0.5) ? EndpointState::kDraining : EndpointState::kUp;
    changed_ = {host};
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

  // The gateway's own discovery answers: with all, with the last change, or with nothing new.
  void Discover(int g) {
    discovery::EndpointList list = truth_;
    discovery::EndpointList& known = lists_[At(g)];
    if (known.revision + 1 == truth_.revision) {
      list.is_snapshot = false;
      list.endpoints = changed_;
    } else if (known.revision == truth_.revision && random_.Chance(0.8)) {
      list.is_snapshot = false;
      list.endpoints.clear();
    }
    Merge(g, list);
    duties_[At(g)]->OnDiscoveryUpdate(clocks_.Now(g), list);
  }

  void Merge(int g, const discovery::EndpointList& list) {
    discovery::EndpointList& known = lists_[At(g)];
    if (list.is_snapshot) known.endpoints.clear();
    for (const discovery::EndpointRecord& host : list.endpoints) {
      std::erase_if(known.endpoints,
                    [&](const discovery::EndpointRecord& h) { return h.endpoint.id == host.endpoint.id; });
      known.endpoints.push_back(host);
    }
    known.revision = list.revision;
  }

  void Received(int g, const discovery::EndpointList& list) {
    digest_.Add(g);
    digest_.Add(discovery::SerializeEndpointList(list));
    Merge(g, list);
  }

  // A message that nobody sent; its numbers are near those in use.
  CoordinationMessage AnyWord() {
    const FencingToken token = duties_[random_.Index(duties_.size())]->Status(clocks_.Now(0))["token"];
    if (random_.Chance(0.3)) return EndpointListRequest{token + random_.Next() % 3};
    EndpointListPart part;
    part.token = token + random_.Next() % 3;
    part.revision = truth_.revision + random_.Below(3) - 1;
    part.after = part.revision - random_.Below(3);
    part.complete = random_.Chance(0.3);
    part.parts = static_cast<std::uint32_t>(random_.Below(3));
    part.part = part.parts > 0 ? static_cast<std::uint32_t>(random_.Below(static_cast<int>(part.parts))) : 0;
    if (part.parts > 0) part.hosts = changed_;
    return part;
  }

  void Post(int from, int to, const CoordinationMessage& word) {
    digest_.Add(from);
    digest_.Add(to);
    digest_.Add(ToBytes("g" + std::to_string(from), LeaseRole::kEndpointList, word));
    network_.Send(from, to, word);
  }

  void AddStatus(int g) {
    digest_.Add(duties_[At(g)]->Status(clocks_.Now(g)).dump());
    digest_.Add(duties_[At(g)]->watches_discovery());
  }

  SplitMix64 random_;
  const int size_;
  Clocks clocks_;
  UnreliableNetwork<CoordinationMessage> network_;
  EndpointListLeader::Times times_;
  discovery::EndpointList truth_;
  std::vector<discovery::EndpointRecord> changed_;
  std::vector<discovery::EndpointList> lists_;
  std::vector<std::unique_ptr<EndpointListLeader>> duties_;
  Digest digest_;
  int next_host_ = 0;
};

// ---- Agreeing on zones -----------------------------------------------------------------------

// What the gateways observe of three zones, whose state wanders.
class ZoneWeather {
 public:
  void Change(SplitMix64& random) {
    const std::size_t zone = random.Index(3);
    const double roll = random.Fraction();
    available_[zone] = roll < 0.15 ? 0 : roll < 0.7 ? 1 : random.Fraction();
    good_[zone] = random.Chance(0.7) ? 1 : random.Fraction();
    arriving_[zone] = random.Between(0, 300);
    if (random.Chance(0.1)) sizes_[zone] = random.Below(9);
  }
  [[nodiscard]] ZoneLoadReport Observe(int gateway, SplitMix64& random) const {
    const std::size_t home = At(gateway) % 3;
    ZoneLoadReport sights{Name(home), arriving_[home], {}};
    for (std::size_t zone = 0; zone < 3; ++zone) {
      const double ended = zone == home ? 50 : random.Below(8);
      const double size = sizes_[zone];
      sights.zones.push_back({Name(zone), size, size * available_[zone], ended, ended * good_[zone]});
    }
    if (random.Chance(0.01)) sights.zones.push_back({"unlisted", 2, 1, 5, 4});
    return sights;
  }
  static std::string Name(std::size_t zone) { return std::string(1, static_cast<char>('a' + zone)); }

 private:
  double available_[3] = {1, 1, 1};
  double good_[3] = {1, 1, 1};
  double arriving_[3] = {100, 100, 100};
  double sizes_[3] = {4, 4, 4};
};

class ZonePlayer {
 public:
  explicit ZonePlayer(std::uint64_t seed)
      : random_(seed),
        size_(3 + random_.Below(3)),
        clocks_(size_, random_),
        network_(random_.Between(0, 0.15), 0.03) {
    times_.lease = {random_.Between(400, 1200), 0.02, random_.Between(20, 100)};
    times_.evaluator.hold_down = random_.Between(500, 2000);
    times_.evaluator.increase_delay = random_.Between(300, 2000);
    times_.evaluator.settling_time = random_.Between(300, 2000);
    times_.proposal_retry_interval = random_.Between(100, 400);
    for (int g = 0; g < size_; ++g) Start(g);
  }

  std::uint64_t Play() {
    for (int i = 0; i < kEvents; ++i) {
      clocks_.Advance(random_.Between(0, 8));
      if (random_.Chance(0.0005)) clocks_.Advance(random_.Between(0, 2 * times_.lease.term));
      PlayOne();
    }
    for (int g = 0; g < size_; ++g) AddStatus(g);
    return digest_.value();
  }

 private:
  void Start(int g) {
    if (duties_.size() <= At(g)) duties_.resize(At(g) + 1);
    ZoneStateCoordinator::Handlers handlers;
    handlers.send = [this, g](int to, const CoordinationMessage& word) { Post(g, to, word); };
    handlers.agreed = [this, g](const ZoneAgreement& state) { OnAgreement(g, state); };
    duties_[At(g)] =
        std::make_unique<ZoneStateCoordinator>(g, size_, times_, clocks_.Now(g), clocks_.Elapsed(), handlers);
  }

  void PlayOne() {
    const int kind = random_.Below(10000);
    int g = random_.Below(size_);
    ZoneStateCoordinator& duty = *duties_[At(g)];
    if (kind < 8300) {
      network_.DeliverOne(random_, [&](const auto& datagram) {
        g = datagram.to;
        duties_[At(g)]->OnMessage(clocks_.Now(g), datagram.from, datagram.message);
      });
    } else if (kind < 9800) {
      Tick(g);
    } else if (kind < 9825) {
      weather_.Change(random_);
    } else if (kind < 9880) {
      const int from = random_.Below(size_);
      duty.OnMessage(clocks_.Now(g), from, AnyWord());
    } else if (kind < 9884) {
      duty.Stop();
      Start(g);
    } else if (kind < 9892) {
      Start(g);
    }
    AddStatus(g);
  }

  // A heartbeat: the others hear what this gateway observes, except some.
  void Tick(int g) {
    const ZoneLoadReport own = weather_.Observe(g, random_);
    duties_[At(g)]->Tick(clocks_.Now(g), random_.Fraction(), own);
    for (int to = 0; to < size_; ++to) {
      if (to != g && random_.Chance(0.9)) duties_[At(to)]->OnLoadReport(clocks_.Now(to), g, own);
    }
  }

  // A message that nobody sent; its numbers are near those in use.
  CoordinationMessage AnyWord() {
    const ZoneAgreement& agreed = duties_[random_.Index(duties_.size())]->agreed();
    const FencingToken token = agreed.term + random_.Next() % 3;
    if (random_.Chance(0.3)) return ZoneStateVote{token, agreed.version + random_.Next() % 2};
    ZoneStateAnnouncement word;
    word.kind = static_cast<ZoneStateAnnouncement::Kind>(random_.Below(3));
    word.token = token;
    word.state = agreed;
    word.state.version += random_.Next() % 2;
    return word;
  }

  void OnAgreement(int g, const ZoneAgreement& state) {
    digest_.Add(g);
    digest_.Add(state.term);
    digest_.Add(state.version);
    for (const ZoneAgreement::Zone& zone : state.zones) {
      digest_.Add(zone.name);
      digest_.Add(zone.health);
      digest_.Add(zone.capacity);
      digest_.Add(zone.demand);
    }
  }

  void Post(int from, int to, const CoordinationMessage& word) {
    digest_.Add(from);
    digest_.Add(to);
    digest_.Add(ToBytes("g" + std::to_string(from), LeaseRole::kZoneState, word));
    network_.Send(from, to, word);
  }

  void AddStatus(int g) { digest_.Add(duties_[At(g)]->Status(clocks_.Now(g)).dump()); }

  SplitMix64 random_;
  const int size_;
  Clocks clocks_;
  UnreliableNetwork<CoordinationMessage> network_;
  ZoneStateCoordinator::Times times_;
  ZoneWeather weather_;
  std::vector<std::unique_ptr<ZoneStateCoordinator>> duties_;
  Digest digest_;
};

// ---- Evaluating zones ------------------------------------------------------------------------

class JudgePlayer {
 public:
  explicit JudgePlayer(std::uint64_t seed)
      : random_(seed), size_(3 + random_.Below(4)), judge_(size_, DrawTimes(random_)) {}

  std::uint64_t Play() {
    for (int i = 0; i < kEvents; ++i) {
      now_ += random_.Between(0, 60);
      if (random_.Chance(0.002)) now_ += random_.Between(0, 100000);
      PlayOne();
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

  void PlayOne() {
    const int kind = random_.Below(10000);
    const int g = random_.Below(size_);
    if (kind < 6500) {
      const ZoneLoadReport sights = weather_.Observe(g, random_);
      judge_.OnLoadReport(now_, g, sights);
    } else if (kind < 9800) {
      Ask();
    } else if (kind < 9850) {
      weather_.Change(random_);
    } else if (kind < 9880) {
      Replace();
    }
  }

  void Ask() {
    const auto next = judge_.Evaluate(now_, agreed_);
    digest_.Add(next.has_value());
    if (!next || random_.Chance(0.1)) return;  // not agreed to
    judge_.OnAgreement(now_, agreed_, *next);
    agreed_ = *next;
    AddState();
  }

  // Another gateway's proposal came into force.
  void Replace() {
    std::vector<ZoneAgreement::Zone> next = agreed_;
    for (ZoneAgreement::Zone& zone : next) {
      if (random_.Chance(0.5)) zone.health = 0.1 * random_.Below(11);
    }
    judge_.OnAgreement(now_, agreed_, next);
    agreed_ = next;
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
  const int size_;
  ZoneHealthEvaluator judge_;
  ZoneWeather weather_;
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

template <class Player>
void ExpectRecordedDigests(const std::string& machine) {
  const auto recorded = RecordedDigests();
  for (const std::uint64_t seed : kSeeds) {
    const std::string name = machine + " " + std::to_string(seed);
    const std::string digest = ToHex(Player(seed).Play());
    if (const char* const path = std::getenv("MEADOWYARD_WRITE_DIGESTS")) {
      std::ofstream(path, std::ios::app) << name << " " << digest << "\n";
      continue;
    }
    ASSERT_TRUE(recorded.contains(name)) << name;
    EXPECT_EQ(digest, recorded.at(name)) << name;
  }
}

TEST(CoordinationCharacterization, LeaseKeepsEveryDecision) { ExpectRecordedDigests<LeasePlayer>("lease"); }

TEST(CoordinationCharacterization, EndpointListLeaderKeepsEveryDecision) {
  ExpectRecordedDigests<ListPlayer>("endpoint_list");
}

TEST(CoordinationCharacterization, ZoneStateCoordinatorKeepsEveryDecision) {
  ExpectRecordedDigests<ZonePlayer>("zone_state");
}

TEST(CoordinationCharacterization, ZoneHealthEvaluatorKeepsEveryDecision) {
  ExpectRecordedDigests<JudgePlayer>("zone_health");
}

// The digests can fail: one random draw more, which shifts the time of one event, is noticed.
TEST(CoordinationCharacterization, OtherSeedGivesOtherDigest) {
  EXPECT_NE(LeasePlayer(1).Play(), LeasePlayer(2).Play());
  EXPECT_NE(ListPlayer(1).Play(), ListPlayer(2).Play());
  EXPECT_NE(ZonePlayer(1).Play(), ZonePlayer(2).Play());
  EXPECT_NE(JudgePlayer(1).Play(), JudgePlayer(2).Play());
}

}  // namespace
}  // namespace meadowyard::testing
