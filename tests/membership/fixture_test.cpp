/// @file
/// Compatibility tests against heartbeats and a peers file that the program of commit ff1d420 wrote and read,
/// in tests/fixtures/ff1d420/. Gateways of that version and later ones run at the same time, so heartbeats
/// must keep their bytes, and every peers file must be read with the same result.
///
/// The fixtures are never regenerated. With MEADOWYARD_WRITE_FIXTURES=DIR in the environment the tests write
/// the output of the current program into DIR, for comparison.
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

void WriteFixtureIfRequested(const std::string& name, const std::string& content) {
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

void ExpectSameZones(const std::optional<ZoneLoadReport>& decoded,
                     const std::optional<ZoneLoadReport>& expected) {
  ASSERT_EQ(decoded.has_value(), expected.has_value());
  if (!decoded) return;
  EXPECT_EQ(decoded->zone, expected->zone);
  EXPECT_EQ(decoded->arrival_rate, expected->arrival_rate);
  ASSERT_EQ(decoded->zones.size(), expected->zones.size());
  for (std::size_t i = 0; i < decoded->zones.size(); ++i) {
    EXPECT_EQ(decoded->zones[i].zone, expected->zones[i].zone);
    EXPECT_EQ(decoded->zones[i].capacity, expected->zones[i].capacity);
    EXPECT_EQ(decoded->zones[i].available, expected->zones[i].available);
    EXPECT_EQ(decoded->zones[i].completed, expected->zones[i].completed);
    EXPECT_EQ(decoded->zones[i].within_objective, expected->zones[i].within_objective);
  }
}

void ExpectSame(const Heartbeat& decoded, const Heartbeat& expected) {
  EXPECT_EQ(decoded.sender, expected.sender);
  EXPECT_EQ(decoded.incarnation, expected.incarnation);
  EXPECT_EQ(decoded.sequence, expected.sequence);
  EXPECT_EQ(decoded.list_hash, expected.list_hash);
  EXPECT_EQ(decoded.configured, expected.configured);
  ASSERT_EQ(decoded.acknowledgements.size(), expected.acknowledgements.size());
  for (std::size_t i = 0; i < decoded.acknowledgements.size(); ++i) {
    EXPECT_EQ(decoded.acknowledgements[i].member, expected.acknowledgements[i].member);
    EXPECT_EQ(decoded.acknowledgements[i].incarnation, expected.acknowledgements[i].incarnation);
    EXPECT_EQ(decoded.acknowledgements[i].sequence, expected.acknowledgements[i].sequence);
  }
  ASSERT_EQ(decoded.started.size(), expected.started.size());
  for (std::size_t i = 0; i < decoded.started.size(); ++i) {
    EXPECT_EQ(decoded.started[i].endpoint, expected.started[i].endpoint);
    EXPECT_EQ(decoded.started[i].age, expected.started[i].age);
  }
  EXPECT_EQ(decoded.recovered, expected.recovered);
  ExpectSameZones(decoded.zone_load, expected.zone_load);
}

// Guards against a changed wire format, which gateways of the recorded version would reject.
TEST(HeartbeatFixture, IsEncodedToTheRecordedBytes) {
  for (const HeartbeatFixture& fixture : HeartbeatFixtures()) {
    const Bytes bytes = EncodeHeartbeat(fixture.heartbeat);
    WriteFixtureIfRequested(fixture.file, ToText(bytes));
    EXPECT_EQ(bytes, ToBytes(ReadFixture(fixture.file))) << fixture.file;
  }
}

// Guards against fields of the recorded version's heartbeats being lost or misread.
TEST(HeartbeatFixture, IsDecodedCompletelyAndEncodedAgain) {
  for (const HeartbeatFixture& fixture : HeartbeatFixtures()) {
    const Bytes bytes = ToBytes(ReadFixture(fixture.file));
    const auto heartbeat = DecodeHeartbeat(bytes);
    ASSERT_TRUE(heartbeat) << fixture.file;
    ExpectSame(*heartbeat, fixture.heartbeat);
    EXPECT_EQ(EncodeHeartbeat(*heartbeat), bytes) << fixture.file;
  }
}

// Adds to the digest whether a datagram is accepted, and the decoded heartbeat encoded again.
void AddDecodingResult(Digest& digest, const Bytes& datagram) {
  const auto heartbeat = DecodeHeartbeat(datagram);
  digest.Add(heartbeat.has_value());
  if (heartbeat) digest.Add(EncodeHeartbeat(*heartbeat));
}

constexpr std::uint64_t kSeeds[] = {1, 2, 3};

// Guards against a change of which truncated, extended or randomly damaged datagrams are accepted.
TEST(HeartbeatParser, AcceptsDamagedDatagramsOnlyAsRecorded) {
  for (const std::uint64_t seed : kSeeds) {
    SplitMix64 random(seed);
    Digest digest;
    for (int i = 0; i < 4000; ++i) {
      Bytes datagram = EncodeHeartbeat(HeartbeatFixtures()[random.Below(3)].heartbeat);
      for (std::size_t remaining_changes = random.Below(4); remaining_changes > 0; --remaining_changes) {
        datagram[random.Below(datagram.size())] = static_cast<std::uint8_t>(random.Next());
      }
      if (random.Chance(0.1)) datagram.resize(random.Below(datagram.size()));
      if (random.Chance(0.02)) datagram.push_back(0);
      AddDecodingResult(digest, datagram);
    }
    ExpectRecorded("heartbeat_bytes", seed, digest);
  }
}

// Returns a random replacement for a field. The values cover all types and values at and beyond every limit.
nlohmann::json RandomFieldValue(SplitMix64& random) {
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

// Guards against a change of which missing fields, wrong types and out-of-range values are accepted.
TEST(HeartbeatParser, AcceptsAlteredFieldsOnlyAsRecorded) {
  const std::vector<std::string> keys = {"v",        "from",  "life",    "n",         "list",
                                         "listed",   "hears", "started", "recovered", "zone",
                                         "arriving", "zones", "unknown"};
  for (const std::uint64_t seed : kSeeds) {
    SplitMix64 random(seed + 100);
    Digest digest;
    for (int i = 0; i < 3000; ++i) {
      auto message =
          nlohmann::json::from_cbor(EncodeHeartbeat(HeartbeatFixtures()[random.Below(3)].heartbeat));
      for (std::size_t remaining_changes = 1 + random.Below(2); remaining_changes > 0; --remaining_changes) {
        const std::string& key = keys[random.Below(keys.size())];
        if (random.Chance(0.2)) {
          message.erase(key);
        } else {
          message[key] = RandomFieldValue(random);
        }
      }
      AddDecodingResult(digest, nlohmann::json::to_cbor(message));
    }
    ExpectRecorded("heartbeat_fields", seed, digest);
  }
}

// Returns all settings that are read from a peers file, as text lines.
std::string FormatConfig(const PeersConfig& config) {
  std::ostringstream output;
  output.precision(17);
  output << "path " << config.path << "\nself " << config.self << "\nlisten " << config.listen << "\n";
  for (const PeerAddress& peer : config.peers) output << "peer " << peer.name << " " << peer.address << "\n";
  output << "subset " << config.subset_size << "\nbeat " << config.heartbeat_interval << "\nsilent "
         << config.suspect_timeout << "\ngone " << config.dead_timeout << "\nshare_list "
         << config.shares_endpoint_list << "\nlease " << config.lease_term << "\n";
  const ZoneRoutingSettings& routing = config.zone_routing;
  output << "locality " << routing.enabled << " " << routing.overprovisioning << " "
         << routing.panic_threshold << " " << routing.max_overflow << "\n";
  for (const auto& [zone, region] : routing.regions) output << "region " << zone << " " << region << "\n";
  const coordination::ZoneHealthEvaluator::Times& health = config.zone_health;
  output << "zones " << health.max_report_age << " " << health.decrease_delay << " " << health.increase_delay
         << " " << health.settling_time << " " << health.overprovisioning_factor << " " << health.hold_down
         << " " << health.max_hold_down << "\n";
  return output.str();
}

// Guards against a key of the operators' existing files being ignored or read differently.
TEST(PeersFileFixture, AllKeysAreReadAsRecorded) {
  const std::string formatted =
      FormatConfig(ParsePeers("peers.toml", ReadFixture("peers.toml"), std::nullopt));
  WriteFixtureIfRequested("peers.txt", formatted);
  EXPECT_EQ(formatted, ReadFixture("peers.txt"));
}

// Guards against a changed default, which would change the behaviour of gateways with an existing file.
TEST(PeersFileFixture, DefaultsAreAsRecorded) {
  const std::string text = "[peers]\n[zones]\n[[peer]]\nname = 'g0'\naddress = '127.0.0.1:7100'\n";
  const std::string formatted = FormatConfig(ParsePeers("defaults.toml", text, "g0"));
  WriteFixtureIfRequested("peers_defaults.txt", formatted);
  EXPECT_EQ(formatted, ReadFixture("peers_defaults.txt"));
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

// Returns the file with one or two lines removed, duplicated, renamed or set to another value.
std::string Mutate(std::vector<std::string> lines, SplitMix64& random) {
  const std::vector<std::string> values = {
      "0",    "-1",      "1",  "20.5", "150", "999999999", "\"\"", "\"g0\"", "\"127.0.0.1:7100\"",
      "true", "[\"a\"]", "[]", "[1]",  "{}",  "nan"};
  for (std::size_t remaining_changes = 1 + random.Below(2); remaining_changes > 0; --remaining_changes) {
    const std::size_t index = random.Below(lines.size());
    const auto position = lines.begin() + static_cast<std::ptrdiff_t>(index);
    const std::size_t assignment = lines[index].find(" = ");
    const std::size_t mutation = random.Below(10);
    if (mutation < 3) {
      lines.erase(position);
    } else if (mutation < 4) {
      lines.insert(position, std::string(lines[index]));
    } else if (mutation < 5) {
      lines[index] = "x" + lines[index];
    } else if (assignment != std::string::npos) {
      lines[index] = lines[index].substr(0, assignment + 3) + values[random.Below(values.size())];
    }
  }
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

// Returns all settings or the error message. The message of a syntax error is cut off, because its wording
// comes from the TOML library.
std::string SettingsOrError(const std::string& text) {
  try {
    return FormatConfig(ParsePeers("f", text, "g1"));
  } catch (const ConfigurationError& error) {
    const std::string message = error.what();
    const bool is_syntax_error = message.find("Error while parsing") != std::string::npos;
    return is_syntax_error ? message.substr(0, message.find(": ")) : message;
  }
}

// Guards against a change of the settings or the error messages for files with mistakes.
TEST(PeersFileFixture, MutatedFilesGiveTheRecordedSettingsOrError) {
  const std::vector<std::string> lines = SplitLines(ReadFixture("peers.toml"));
  for (const std::uint64_t seed : kSeeds) {
    SplitMix64 random(seed + 200);
    Digest digest;
    for (int i = 0; i < 400; ++i) digest.Add(SettingsOrError(Mutate(lines, random)));
    ExpectRecorded("peers_file", seed, digest);
  }
}

// Checks bounds that depend on another key with the lowest accepted value and a value just below it.
TEST(PeersFileFixture, BoundsThatDependOnOtherKeysAreEnforced) {
  struct Case {
    std::string accepted, rejected, error;
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
  for (const Case& test_case : cases) {
    EXPECT_TRUE(SettingsOrError("[peers]\n" + test_case.accepted + peer).starts_with("path f"))
        << test_case.accepted;
    EXPECT_EQ(SettingsOrError("[peers]\n" + test_case.rejected + peer), test_case.error);
  }
}

}  // namespace
}  // namespace meadowyard::testing
