// A stand-in discovery: the list of hosts, and a watch on it, with the delay and the bounded capacity of a
// real one. Each gateway has an address of its own, so that it is known who was told what, and when.
#ifndef MEADOWYARD_LAB_DISCOVERY_STAND_IN_HPP_
#define MEADOWYARD_LAB_DISCOVERY_STAND_IN_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/kept_port.hpp"
#include "lab/records.hpp"
#include "lab/spec.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {

class DiscoveryStandIn {
 public:
  struct Member {
    std::string id, address, hall, kind;
    std::string phase = "up";  // "draining", "removed"
    double size = 1;
    Millis up_since = 0;  // Unix time
  };
  // `seen(gateway, host, member)`: as that gateway sees it, by its links and its clock.
  using Seen = std::function<void(int gateway, int host, Member& member)>;
  DiscoveryStandIn(boost::asio::io_context& io, const DiscoverySpec& spec, int gateways, FleetLedger& ledger,
                   Seen seen = nullptr);

  std::vector<std::string> addresses() const;
  // Known at once; for the start.
  void Put(int host, const Member& member);
  // Can be told after the delay.
  void Change(int host, const Member& member);
  void Dark(bool dark);
  // The whole list as it can be told now.
  nlohmann::json List(int gateway) const;

 private:
  struct Door {
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<int> up;  // hosts that this gateway was last told to be up
  };
  struct Entry {
    Member member;
    std::int64_t revision = 0;
  };
  struct Watch {
    std::shared_ptr<ServerStream> stream;
    int gateway = 0;
    std::int64_t after = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Listen(int gateway);
  void Accept(int gateway);
  void Called(const std::shared_ptr<ServerStream>& stream, int gateway, const std::string& target);
  void Serve(const std::shared_ptr<ServerStream>& stream, int gateway, std::int64_t after, Millis wait);
  void Tell(const std::shared_ptr<ServerStream>& stream, int gateway, std::int64_t after, bool whole);
  nlohmann::json ToJson(int gateway, int host, Member member) const;

  boost::asio::io_context& io_;
  const DiscoverySpec spec_;
  FleetLedger& ledger_;
  const Seen seen_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::vector<KeptPort> ports_;
  std::map<int, Entry> entries_;  // by host
  std::set<std::shared_ptr<ServerStream>> streams_;
  std::list<Watch> watches_;
  std::int64_t revision_ = 1;
  Millis busy_until_ = 0;
  bool dark_ = false;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_DISCOVERY_STAND_IN_HPP_
