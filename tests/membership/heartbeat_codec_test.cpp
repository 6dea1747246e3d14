/// @file
/// Tests of the encoding and decoding of heartbeats.
#include "membership/heartbeat_codec.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>

namespace meadowyard::testing {
namespace {

using membership::DecodeHeartbeat;
using membership::EncodeHeartbeat;
using membership::Heartbeat;

// Guards against lost fields, and against accepting damaged or malicious datagrams with fields out of range.
TEST(HeartbeatCodec, DecodesItsOwnEncodingAndNoDamagedDatagramPartially) {
  Heartbeat heartbeat;
  heartbeat.sender = "g1";
  heartbeat.incarnation = ~0ULL;
  heartbeat.sequence = 7;
  heartbeat.list_hash = 99;
  heartbeat.configured = 3;
  heartbeat.acknowledgements = {{.member = "g0", .incarnation = 5, .sequence = 6}};
  heartbeat.started = {{.endpoint = "h-1", .age = 12.5}};
  heartbeat.recovered = {"h-2"};
  const auto datagram = EncodeHeartbeat(heartbeat);
  const auto decoded = DecodeHeartbeat(datagram);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(EncodeHeartbeat(*decoded), datagram);
  // Decoding a damaged datagram must give a heartbeat with all fields in range, or nothing.
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i) {
    auto damaged = datagram;
    for (auto remaining_changes = random() % 4; remaining_changes > 0; --remaining_changes) {
      damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
    }
    if (random() % 3 == 0) damaged.resize(random() % damaged.size());
    const auto decoded_damaged = DecodeHeartbeat(damaged);
    if (!decoded_damaged) continue;
    EXPECT_TRUE(!decoded_damaged->sender.empty() && decoded_damaged->configured >= 1 &&
                decoded_damaged->acknowledgements.size() <= 256);
  }
}

}  // namespace
}  // namespace meadowyard::testing
