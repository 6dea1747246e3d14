// The lab's stand-ins on sockets.
#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "lab/discovery_stand_in.hpp"
#include "lab/host.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Guards an experiment in which hosts die or discovery goes dark: whoever would take a port meanwhile can't,
// and what comes back listens where it did.
TEST(LabStandIns, ComeBackAtTheirPortWhoeverWantsIt) {
  asio::io_context io;
  FleetLedger ledger;
  ledger.uses.resize(1);
  StandInHost host(io, {}, ledger, 1);
  DiscoveryStandIn discovery(io, {}, 1, ledger, nullptr);
  const std::string at = discovery.addresses().at(0);
  struct Case {
    const char* name;
    tcp::endpoint address;
    std::function<void(bool)> down;
  };
  const tcp::endpoint discovery_at(asio::ip::address_v4::loopback(),
                                   static_cast<unsigned short>(std::stoi(at.substr(at.rfind(':') + 1))));
  for (const Case& c : {Case{"host", host.address(), [&](bool down) { down ? host.Crash() : host.Start(); }},
                        Case{"discovery", discovery_at, [&](bool down) { discovery.Dark(down); }}}) {
    SCOPED_TRACE(c.name);
    error_code ec;
    c.down(true);
    EXPECT_EQ((tcp::socket(io).connect(c.address, ec), ec), asio::error::connection_refused);
    tcp::socket taker(io, tcp::v4());
    EXPECT_EQ((taker.bind(c.address, ec), ec), asio::error::address_in_use);
    EXPECT_NO_THROW(c.down(false));
    EXPECT_FALSE((tcp::socket(io).connect(c.address, ec), ec)) << ec.message();
  }
}

}  // namespace
}  // namespace meadowyard::lab
