// Coordination messages as the program of commit ff1d420 encoded them. Gateways of both versions run at
// the same time during an upgrade: each recorded message must still be decoded, and be encoded to the same
// bytes as before.
//
// tests/fixtures/ff1d420/coordination_messages.txt holds one message per line: its name and its bytes in hex.
// The file is never recorded again; a new kind of message gets a fixture of its own version.
#include <gtest/gtest.h>

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "coordination/message_codec.hpp"

namespace meadowyard::testing {
namespace {

using namespace coordination;

using Bytes = std::vector<std::uint8_t>;

std::string ToHex(const Bytes& bytes) {
  std::string text;
  for (const std::uint8_t byte : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", byte);
    text += digits;
  }
  return text;
}

Bytes FromHex(const std::string& text) {
  Bytes bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(text.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

std::map<std::string, Bytes> RecordedMessages() {
  std::map<std::string, Bytes> recorded;
  std::ifstream file(MEADOWYARD_FIXTURES "/ff1d420/coordination_messages.txt");
  std::string name, hex;
  while (file >> name >> hex) recorded[name] = FromHex(hex);
  return recorded;
}

discovery::EndpointRecord MakeHost(const std::string& id, EndpointState state) {
  discovery::EndpointRecord host;
  host.endpoint.id = id;
  host.endpoint.zone = "north";
  host.endpoint.kind = "large";
  host.endpoint.cell = "7";
  host.endpoint.state = state;
  host.endpoint.weight = 1.5;
  host.endpoint.started_at = 1234567.25;
  host.address = *discovery::ParseAddress("10.1.0.18:3000");
  return host;
}

EndpointListPart MakeListPart(bool complete) {
  EndpointListPart part;
  part.token = 77825;
  part.revision = 4711;
  part.base_revision = 4709;
  part.complete = complete;
  part.part = 1;
  part.parts = 3;
  part.hosts = {MakeHost("host-1", EndpointState::kUp), MakeHost("host-2", EndpointState::kDraining),
                MakeHost("host-3", EndpointState::kRemoved)};
  return part;
}

EndpointListPart MakeRevisionOnly() {
  EndpointListPart part;
  part.token = 77825;
  part.revision = 4711;
  part.base_revision = 4711;
  return part;
}

Lease::Message MakeLeaseMessage(Lease::Message::Type type, FencingToken highest_promised_token, int holder) {
  Lease::Message payload;
  payload.type = type;
  payload.token = 5000000257;
  payload.highest_promised = highest_promised_token;
  payload.owner = holder;
  return payload;
}

ZoneStateAnnouncement MakeZoneStateAnnouncement(ZoneStateAnnouncement::Kind kind, FencingToken token) {
  ZoneStateAnnouncement payload;
  payload.kind = kind;
  payload.token = token;
  payload.state.term = 66049;
  payload.state.version = 12;
  payload.state.zones = {{"north", 1, 12.5, 433.25}, {"south", 0.30000000000000004, 8, 0}, {"", 0, 0, 1e-3}};
  return payload;
}

struct Sample {
  std::string name;
  LeaseRole expected_role = LeaseRole::kEndpointList;
  CoordinationMessage payload;
};

std::vector<Sample> Samples() {
  using Kind = Lease::Message::Type;
  return {
      {"lease_ask", LeaseRole::kEndpointList, MakeLeaseMessage(Kind::kPrepareRequest, 0, -1)},
      {"lease_promise_open", LeaseRole::kEndpointList, MakeLeaseMessage(Kind::kPrepareResponse, 0, -1)},
      {"lease_promise_held", LeaseRole::kZoneState, MakeLeaseMessage(Kind::kPrepareResponse, 0, 2)},
      {"lease_offer", LeaseRole::kZoneState, MakeLeaseMessage(Kind::kProposeRequest, 0, 1)},
      {"lease_taken", LeaseRole::kEndpointList, MakeLeaseMessage(Kind::kProposeResponse, 0, 1)},
      {"lease_no", LeaseRole::kZoneState, MakeLeaseMessage(Kind::kReject, 5000000513, -1)},
      {"list_part_of_a_delta", LeaseRole::kEndpointList, MakeListPart(false)},
      {"list_part_of_a_snapshot", LeaseRole::kEndpointList, MakeListPart(true)},
      {"list_revision_only", LeaseRole::kEndpointList, MakeRevisionOnly()},
      {"list_wanted", LeaseRole::kEndpointList, EndpointListRequest{77825}},
      {"zones_offer", LeaseRole::kZoneState,
       MakeZoneStateAnnouncement(ZoneStateAnnouncement::Kind::kProposed, 66049)},
      {"zones_agreed", LeaseRole::kZoneState,
       MakeZoneStateAnnouncement(ZoneStateAnnouncement::Kind::kCommitted, 66305)},
      {"zones_known", LeaseRole::kZoneState,
       MakeZoneStateAnnouncement(ZoneStateAnnouncement::Kind::kNewer, 0)},
      {"zones_vote", LeaseRole::kZoneState, ZoneStateVote{66049, 12}},
  };
}

TEST(MessageFixtures, RecordedMessageDecodedAndEncodedAgainHasTheSameBytes) {
  const auto recorded = RecordedMessages();
  ASSERT_EQ(recorded.size(), Samples().size());
  for (const auto& [name, bytes] : recorded) {
    const auto decoded = DecodeMessage(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded) << name;
    EXPECT_EQ(decoded->sender, "gateway-1") << name;
    EXPECT_EQ(ToHex(ToBytes(decoded->sender, decoded->role, decoded->message)), ToHex(bytes)) << name;
  }
}

TEST(MessageFixtures, MessageIsEncodedAsRecorded) {
  auto recorded = RecordedMessages();
  for (const Sample& sample : Samples()) {
    const Bytes bytes = ToBytes("gateway-1", sample.expected_role, sample.payload);
    EXPECT_EQ(ToHex(bytes), ToHex(recorded[sample.name])) << sample.name;
  }
}

TEST(MessageFixtures, RecordedMessageHasItsRoleAndKind) {
  auto recorded = RecordedMessages();
  for (const Sample& sample : Samples()) {
    const Bytes& bytes = recorded[sample.name];
    const auto decoded = DecodeMessage(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded) << sample.name;
    EXPECT_EQ(decoded->role, sample.expected_role) << sample.name;
    EXPECT_EQ(decoded->message.index(), sample.payload.index()) << sample.name;
  }
}

}  // namespace
}  // namespace meadowyard::testing
