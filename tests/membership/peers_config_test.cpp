/// @file
/// Tests of reading the peers file.
#include "membership/peers_config.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "meadowyard/error.hpp"

namespace meadowyard::testing {
namespace {

using membership::ParsePeers;
using membership::PeersConfig;

const std::string& PeersTableText() {
  static const std::string text = "[peers]\nsubset = 3\n";
  return text;
}

const std::string& PeerText() {
  static const std::string text = "[[peer]]\nname = 'a'\naddress = '127.0.0.1:7001'\n";
  return text;
}

// Guards against mistakes in the peers file that are accepted, or reported without their place in the file.
TEST(PeersConfig, ErrorsNameFileLineAndKey) {
  struct Case {
    std::string text, error;
  };
  const std::vector<Case> cases = {
      {PeersTableText(), "f:1: peer: missing"},
      {PeerText(), "f:1: peers: missing"},
      {PeersTableText() + PeerText() + PeerText(), "f:7: peer[1].name: 'a' is there twice"},
      {PeersTableText() + "[[peer]]\nname = 'b'\naddress = '127.0.0.1:7001'\n",
       "peers.name: no [[peer]] is named 'a'"},
      {"[peers]\nsubset = -1\n" + PeerText(), "f:2: peers.subset: must be a number"},
      {"[peers]\nheartbeats = 1\n" + PeerText(), "f:2: peers.heartbeats: unknown key"},
      {"[peers]\nbeat_ms = 100\nsilent_ms = 150\n" + PeerText(), "f:3: peers.silent_ms: must be two beats"},
      {PeersTableText() + "[[peer]]\nname = 'a'\naddress = 'here'\n", "'here' is not an address and port"},
      {"[peers\n", "f:1: "},
  };
  for (const Case& test_case : cases) {
    try {
      ParsePeers("f", test_case.text, "a");
      ADD_FAILURE() << test_case.text;
    } catch (const ConfigurationError& error) {
      EXPECT_NE(std::string(error.what()).find(test_case.error), std::string::npos) << error.what();
    }
  }
}

TEST(PeersConfig, ListenAddressDefaultsToThePeerAddress) {
  const PeersConfig config = ParsePeers("f", PeersTableText() + PeerText(), "a");
  EXPECT_EQ(config.subset_size, 3);
  EXPECT_EQ(config.listen, config.peers[0].address);
}

}  // namespace
}  // namespace meadowyard::testing
