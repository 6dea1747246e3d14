// Heartbeats as datagrams.
#include "membership/heartbeat_codec.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>

namespace meadowyard::testing {
namespace {

using membership::DecodeHeartbeat;
using membership::EncodeHeartbeat;
using membership::Heartbeat;

TEST(HeartbeatCodec, ReadsWhatItWroteAndNothingByHalves) {
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
  // A damaged datagram gives a heartbeat that can be used in every field, or none.
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i) {
    auto damaged = datagram;
    for (auto changes = random() % 4; changes > 0; --changes) {
      damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
    }
    if (random() % 3 == 0) damaged.resize(random() % damaged.size());
    const auto read = DecodeHeartbeat(damaged);
    if (!read) continue;
    EXPECT_TRUE(!read->sender.empty() && read->configured >= 1 && read->acknowledgements.size() <= 256);
  }
}

}  // namespace
}  // namespace meadowyard::testing
