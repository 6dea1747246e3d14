// The operators' file of the gateways.
#include "membership/peers_config.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "meadowyard/error.hpp"

namespace meadowyard::testing {
namespace {

using membership::ParsePeers;
using membership::PeersConfig;

const std::string& PeersTable() {
  static const std::string text = "[peers]\nsubset = 3\n";
  return text;
}

const std::string& OnePeer() {
  static const std::string text = "[[peer]]\nname = 'a'\naddress = '127.0.0.1:7001'\n";
  return text;
}

TEST(PeersConfig, AnErrorNamesFileLineAndKey) {
  struct Case {
    std::string text, error;
  };
  const std::vector<Case> cases = {
      {PeersTable(), "f:1: peer: missing"},
      {OnePeer(), "f:1: peers: missing"},
      {PeersTable() + OnePeer() + OnePeer(), "f:7: peer[1].name: 'a' is there twice"},
      {PeersTable() + "[[peer]]\nname = 'b'\naddress = '127.0.0.1:7001'\n",
       "peers.name: no [[peer]] is named 'a'"},
      {"[peers]\nsubset = -1\n" + OnePeer(), "f:2: peers.subset: must be a number"},
      {"[peers]\nheartbeats = 1\n" + OnePeer(), "f:2: peers.heartbeats: unknown key"},
      {"[peers]\nbeat_ms = 100\nsilent_ms = 150\n" + OnePeer(), "f:3: peers.silent_ms: must be two beats"},
      {PeersTable() + "[[peer]]\nname = 'a'\naddress = 'here'\n", "'here' is not an address and port"},
      {"[peers\n", "f:1: "},
  };
  for (const Case& each : cases) {
    try {
      ParsePeers("f", each.text, "a");
      ADD_FAILURE() << each.text;
    } catch (const ConfigurationError& error) {
      EXPECT_NE(std::string(error.what()).find(each.error), std::string::npos) << error.what();
    }
  }
}

TEST(PeersConfig, AGatewayListensAtItsPeerAddress) {
  const PeersConfig config = ParsePeers("f", PeersTable() + OnePeer(), "a");
  EXPECT_EQ(config.subset_size, 3);
  EXPECT_EQ(config.listen, config.peers[0].address);
}

}  // namespace
}  // namespace meadowyard::testing
