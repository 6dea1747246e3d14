// What the program of commit ff1d420 wrote and read: heartbeats as bytes and an operators' file, kept in
// tests/fixtures/ff1d420/. Gateways of that version and of later ones run side by side, so a heartbeat keeps
// its bytes and every file is understood as it was.
//
// The files are never made anew. With MEADOWYARD_WRITE_FIXTURES=DIR in the environment the tests write what
// this program gives into DIR, for a comparison.
#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "meadowyard/error.hpp"
#include "membership/characterization.hpp"
#include "membership/heartbeat.hpp"
#include "membership/heartbeat_codec.hpp"
#include "membership/peers_config.hpp"

namespace meadowyard::testing {
namespace {

using membership::DecodeHeartbeat;
using membership::EncodeHeartbeat;
using membership::Heartbeat;
using membership::ParsePeers;
using membership::PeerAddress;
using membership::PeersConfig;

using Bytes = std::vector<std::uint8_t>;

std::string ReadFixture(const std::string& name) {
  std::ifstream file(MEADOWYARD_FIXTURES "/ff1d420/" + name, std::ios::binary);
  EXPECT_TRUE(file) << name;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void WriteIfAsked(const std::string& name, const std::string& content) {
  if (const char* const folder = std::getenv("MEADOWYARD_WRITE_FIXTURES")) {
    std::ofstream(std::string(folder) + "/" + name, std::ios::binary) << content;
  }
}

Bytes ToBytes(const std::string& text) { return {text.begin(), text.end()}; }
std::string ToText(const Bytes& bytes) { return {bytes.begin(), bytes.end()}; }

Heartbeat PlainHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender = "g1";
  heartbeat.incarnation = 0xfedcba9876543210;
  heartbeat.sequence = 70000;
  heartbeat.list_hash = 0x0123456789abcdef;
  heartbeat.configured = 3;
  heartbeat.acknowledgements = {{"g0", 5, 6}, {"gateway three", ~0ULL, 1ULL << 40}};
  return heartbeat;
}

Heartbeat HeartbeatWithGossip() {
  Heartbeat heartbeat = PlainHeartbeat();
  heartbeat.started = {{"h-1", 12.5}, {"h-2", 0}, {"h-3", 59999.125}, {"h-4", 0.1}};
  heartbeat.recovered = {"h-5", "h-6"};
  return heartbeat;
}

Heartbeat HeartbeatWithZones() {
  Heartbeat heartbeat = HeartbeatWithGossip();
  heartbeat.zone_load =
      ZoneLoadReport{.zone = "a",
                     .arrival_rate = 123.456,
                     .zones = {{"a", 12, 11.5, 4096, 4000.25}, {"b", 8, 0, 0, 0}, {"", 1, 1, 1, 1}}};
  return heartbeat;
}

struct HeartbeatFixture {
  const char* file;
  Heartbeat heartbeat;
};

std::vector<HeartbeatFixture> HeartbeatFixtures() {
  return {{"heartbeat_plain.cbor", PlainHeartbeat()},
          {"heartbeat_gossip.cbor", HeartbeatWithGossip()},
          {"heartbeat_zones.cbor", HeartbeatWithZones()}};
}

void ExpectSameZones(const std::optional<ZoneLoadReport>& read,
                     const std::optional<ZoneLoadReport>& written) {
  ASSERT_EQ(read.has_value(), written.has_value());
  if (!read) return;
  EXPECT_EQ(read->zone, written->zone);
  EXPECT_EQ(read->arrival_rate, written->arrival_rate);
  ASSERT_EQ(read->zones.size(), written->zones.size());
  for (std::size_t i = 0; i < read->zones.size(); ++i) {
    EXPECT_EQ(read->zones[i].zone, written->zones[i].zone);
    EXPECT_EQ(read->zones[i].capacity, written->zones[i].capacity);
    EXPECT_EQ(read->zones[i].available, written->zones[i].available);
    EXPECT_EQ(read->zones[i].completed, written->zones[i].completed);
    EXPECT_EQ(read->zones[i].within_objective, written->zones[i].within_objective);
  }
}

void ExpectSame(const Heartbeat& read, const Heartbeat& written) {
  EXPECT_EQ(read.sender, written.sender);
  EXPECT_EQ(read.incarnation, written.incarnation);
  EXPECT_EQ(read.sequence, written.sequence);
  EXPECT_EQ(read.list_hash, written.list_hash);
  EXPECT_EQ(read.configured, written.configured);
  ASSERT_EQ(read.acknowledgements.size(), written.acknowledgements.size());
  for (std::size_t i = 0; i < read.acknowledgements.size(); ++i) {
    EXPECT_EQ(read.acknowledgements[i].member, written.acknowledgements[i].member);
    EXPECT_EQ(read.acknowledgements[i].incarnation, written.acknowledgements[i].incarnation);
    EXPECT_EQ(read.acknowledgements[i].sequence, written.acknowledgements[i].sequence);
  }
  ASSERT_EQ(read.started.size(), written.started.size());
  for (std::size_t i = 0; i < read.started.size(); ++i) {
    EXPECT_EQ(read.started[i].endpoint, written.started[i].endpoint);
    EXPECT_EQ(read.started[i].age, written.started[i].age);
  }
  EXPECT_EQ(read.recovered, written.recovered);
  ExpectSameZones(read.zone_load, written.zone_load);
}

TEST(HeartbeatFixture, IsWrittenWithTheSameBytes) {
  for (const HeartbeatFixture& fixture : HeartbeatFixtures()) {
    const Bytes bytes = EncodeHeartbeat(fixture.heartbeat);
    WriteIfAsked(fixture.file, ToText(bytes));
    EXPECT_EQ(bytes, ToBytes(ReadFixture(fixture.file))) << fixture.file;
  }
}

TEST(HeartbeatFixture, IsReadInAllFieldsAndWrittenBack) {
  for (const HeartbeatFixture& fixture : HeartbeatFixtures()) {
    const Bytes bytes = ToBytes(ReadFixture(fixture.file));
    const auto heartbeat = DecodeHeartbeat(bytes);
    ASSERT_TRUE(heartbeat) << fixture.file;
    ExpectSame(*heartbeat, fixture.heartbeat);
    EXPECT_EQ(EncodeHeartbeat(*heartbeat), bytes) << fixture.file;
  }
}

// Whether a datagram is accepted, and what is read from it.
void AddParsed(Digest& digest, const Bytes& datagram) {
  const auto heartbeat = DecodeHeartbeat(datagram);
  digest.Add(heartbeat.has_value());
  if (heartbeat) digest.Add(EncodeHeartbeat(*heartbeat));
}

constexpr std::uint64_t kSeeds[] = {1, 2, 3};

TEST(HeartbeatParser, TreatsBrokenBytesAsRecorded) {
  for (const std::uint64_t seed : kSeeds) {
    SplitMix64 random(seed);
    Digest digest;
    for (int i = 0; i < 4000; ++i) {
      Bytes datagram = EncodeHeartbeat(HeartbeatFixtures()[random.Below(3)].heartbeat);
      for (std::size_t changes = random.Below(4); changes > 0; --changes) {
        datagram[random.Below(datagram.size())] = static_cast<std::uint8_t>(random.Next());
      }
      if (random.Chance(0.1)) datagram.resize(random.Below(datagram.size()));
      if (random.Chance(0.02)) datagram.push_back(0);
      AddParsed(digest, datagram);
    }
    ExpectRecorded("heartbeat_bytes", seed, digest);
  }
}

// Values that a field may be replaced with: of every kind, and beyond every limit.
nlohmann::json AnyValue(SplitMix64& random) {
  using nlohmann::json;
  const std::vector<json> values = {nullptr,
                                    true,
                                    0U,
                                    1U,
                                    2U,
                                    256U,
                                    257U,
                                    ~0ULL,
                                    -1,
                                    0.0,
                                    -0.5,
                                    1.0,
                                    1e9,
                                    1.0000001e9,
                                    "",
                                    "g0",
                                    std::string(128, 'x'),
                                    std::string(129, 'x'),
                                    json::array(),
                                    json::array({"g0"}),
                                    json::array({1U, 2U}),
                                    json::array({json::array({"g0", 1U, 2U})}),
                                    json::array({json::array({"g0", -1, 2U})}),
                                    json::array({json::array({"h", 3.5})}),
                                    json::array({json::array({"h"})}),
                                    json::array({json::array({"z", 1U, 2.0, 3U, 4U, 5U})}),
                                    json::array({json::array({"z", 1U, -2.0, 3U, 4U})}),
                                    json(33, json::array({"z", 1U, 2U, 3U, 4U})),
                                    json(32, json::array({"z", 1U, 2U, 3U, 4U})),
                                    json(256, "h"),
                                    json(257, "h"),
                                    json::object(),
                                    json::object({{"0", "g0"}}),
                                    json::binary({1, 2, 3})};
  return values[random.Below(values.size())];
}

TEST(HeartbeatParser, TreatsWrongFieldsAsRecorded) {
  const std::vector<std::string> keys = {"v",        "from",  "life",    "n",         "list",
                                         "listed",   "hears", "started", "recovered", "zone",
                                         "arriving", "zones", "unknown"};
  for (const std::uint64_t seed : kSeeds) {
    SplitMix64 random(seed + 100);
    Digest digest;
    for (int i = 0; i < 3000; ++i) {
      auto message =
          nlohmann::json::from_cbor(EncodeHeartbeat(HeartbeatFixtures()[random.Below(3)].heartbeat));
      for (std::size_t changes = 1 + random.Below(2); changes > 0; --changes) {
        const std::string& key = keys[random.Below(keys.size())];
        if (random.Chance(0.2)) {
          message.erase(key);
        } else {
          message[key] = AnyValue(random);
        }
      }
      AddParsed(digest, nlohmann::json::to_cbor(message));
    }
    ExpectRecorded("heartbeat_fields", seed, digest);
  }
}

// All that is read from an operators' file, a line each.
std::string Dump(const PeersConfig& config) {
  std::ostringstream out;
  out.precision(17);
  out << "path " << config.path << "\nself " << config.self << "\nlisten " << config.listen << "\n";
  for (const PeerAddress& peer : config.peers) out << "peer " << peer.name << " " << peer.address << "\n";
  out << "subset " << config.subset_size << "\nbeat " << config.heartbeat_interval << "\nsilent "
      << config.suspect_timeout << "\ngone " << config.dead_timeout << "\nshare_list "
      << config.shares_endpoint_list << "\nlease " << config.lease_term << "\n";
  const ZoneRoutingSettings& routing = config.zone_routing;
  out << "locality " << routing.enabled << " " << routing.overprovisioning << " " << routing.panic_threshold
      << " " << routing.max_overflow << "\n";
  for (const auto& [zone, region] : routing.regions) out << "region " << zone << " " << region << "\n";
  const coordination::ZoneHealthEvaluator::Times& health = config.zone_health;
  out << "zones " << health.max_report_age << " " << health.decrease_delay << " " << health.increase_delay
      << " " << health.settling_time << " " << health.overprovisioning_factor << " " << health.hold_down
      << " " << health.max_hold_down << "\n";
  return out.str();
}

TEST(PeersFileFixture, IsReadWithAllKeysAsItWas) {
  const std::string dump = Dump(ParsePeers("peers.toml", ReadFixture("peers.toml"), std::nullopt));
  WriteIfAsked("peers.txt", dump);
  EXPECT_EQ(dump, ReadFixture("peers.txt"));
}

TEST(PeersFileFixture, HasTheSameDefaults) {
  const std::string text = "[peers]\n[zones]\n[[peer]]\nname = 'g0'\naddress = '127.0.0.1:7100'\n";
  const std::string dump = Dump(ParsePeers("defaults.toml", text, "g0"));
  WriteIfAsked("peers_defaults.txt", dump);
  EXPECT_EQ(dump, ReadFixture("peers_defaults.txt"));
}

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

// A few lines of the file removed, repeated or given another value.
std::string Mutate(std::vector<std::string> lines, SplitMix64& random) {
  const std::vector<std::string> values = {
      "0",    "-1",      "1",  "20.5", "150", "999999999", "\"\"", "\"g0\"", "\"127.0.0.1:7100\"",
      "true", "[\"a\"]", "[]", "[1]",  "{}",  "nan"};
  for (std::size_t changes = 1 + random.Below(2); changes > 0; --changes) {
    const std::size_t index = random.Below(lines.size());
    const auto at = lines.begin() + static_cast<std::ptrdiff_t>(index);
    const std::size_t equals = lines[index].find(" = ");
    const std::size_t kind = random.Below(10);
    if (kind < 3) {
      lines.erase(at);
    } else if (kind < 4) {
      lines.insert(at, std::string(lines[index]));
    } else if (kind < 5) {
      lines[index] = "x" + lines[index];
    } else if (equals != std::string::npos) {
      lines[index] = lines[index].substr(0, equals + 3) + values[random.Below(values.size())];
    }
  }
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

// What reading gives: all settings, or the error. The wording of a syntax error is the TOML library's own.
std::string SettingsOrError(const std::string& text) {
  try {
    return Dump(ParsePeers("f", text, "g1"));
  } catch (const ConfigurationError& error) {
    const std::string message = error.what();
    const bool syntax = message.find("Error while parsing") != std::string::npos;
    return syntax ? message.substr(0, message.find(": ")) : message;
  }
}

TEST(PeersFileFixture, GivesTheSameSettingsOrErrorForChangedFiles) {
  const std::vector<std::string> lines = Lines(ReadFixture("peers.toml"));
  for (const std::uint64_t seed : kSeeds) {
    SplitMix64 random(seed + 200);
    Digest digest;
    for (int i = 0; i < 400; ++i) digest.Add(SettingsOrError(Mutate(lines, random)));
    ExpectRecorded("peers_file", seed, digest);
  }
}

// Bounds that depend on another key: the least value that is accepted, and one just below it.
TEST(PeersFileFixture, KeepsTheBoundsBetweenKeys) {
  struct Case {
    std::string least, below, error;
  };
  const std::vector<Case> cases = {
      {"beat_ms = 100\nsilent_ms = 200", "beat_ms = 100\nsilent_ms = 199.9",
       "f:3: peers.silent_ms: must be two beats at the least"},
      {"silent_ms = 900\ngone_ms = 900", "silent_ms = 900\ngone_ms = 899.9",
       "f:3: peers.gone_ms: must not be below silent_ms"},
      {"beat_ms = 200\nlease_ms = 800", "beat_ms = 200\nlease_ms = 799.9",
       "f:3: peers.lease_ms: must be four beats at the least"},
  };
  const std::string peer = "\n[[peer]]\nname = 'g1'\naddress = '127.0.0.1:7100'\n";
  for (const Case& each : cases) {
    EXPECT_TRUE(SettingsOrError("[peers]\n" + each.least + peer).starts_with("path f")) << each.least;
    EXPECT_EQ(SettingsOrError("[peers]\n" + each.below + peer), each.error);
  }
}

}  // namespace
}  // namespace meadowyard::testing
