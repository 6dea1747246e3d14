// What the tunnels' runs stand on: servers on loopback, a discovery that lists them, and versions of the
// program with an operators' file.
#ifndef MEADOWYARD_LAB_TUNNEL_BED_HPP_
#define MEADOWYARD_LAB_TUNNEL_BED_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/discovery_stand_in.hpp"
#include "lab/parent_proxy.hpp"
#include "lab/process.hpp"
#include "lab/records.hpp"

namespace meadowyard::lab {

// A server with a habit (gives back what it gets; sends without end; takes all and says nothing; takes a
// little at a time; neither reads nor writes), which remembers when connections came and went.
class TunnelTarget {
 public:
  enum class Habit { kEcho, kSource, kSink, kSlow, kSilent };
  struct Visit {
    Millis came = 0, went = 0;  // 0: it is still there
  };
  TunnelTarget(boost::asio::io_context& io, Habit habit);
  std::string address() const;
  const std::vector<std::shared_ptr<Visit>>& visits() const { return visits_; }

 private:
  struct Guest;
  void Accept();
  boost::asio::ip::tcp::acceptor acceptor_;
  const Habit habit_;
  std::vector<std::shared_ptr<Visit>> visits_;
};

// A client of a SOCKS5 listener, without credentials.
class TunnelClient : public std::enable_shared_from_this<TunnelClient> {
 public:
  struct Handlers {
    std::function<void(bool opened)> replied;
    std::function<void(std::string_view bytes)> heard;  // behind the reply
    std::function<void(bool reset)> ended;
  };
  TunnelClient(boost::asio::io_context& io, const std::string& listener, Handlers handlers);
  // The bytes that ask for a name.
  static std::string Call(const std::string& name);
  void Say(std::string bytes);
  void HalfClose();
  void Close();

 private:
  void Read();
  boost::asio::ip::tcp::socket socket_;
  Handlers handlers_;
  std::array<char, 4096> piece_;
  std::size_t head_ = 0;  // bytes of the two replies that have come
  bool over_ = false;
};

class TunnelBed {
 public:
  // One target for each habit. With a parent, "fN.internal" goes to host fN of the pool "far": target N
  // again, which only the parent proxy reaches.
  TunnelBed(boost::asio::io_context& io, const std::string& name,
            const std::vector<TunnelTarget::Habit>& habits, const ParentProxy* parent = nullptr);
  ~TunnelBed();

  // Starts a version and waits until it serves; throws std::runtime_error with its last line if it does not.
  std::unique_ptr<Child> Start();
  const std::string& listener() const {
    return listener_;
  }  // SOCKS5; "hN.internal" goes to target N, all else to any
  TunnelTarget& target(std::size_t i) { return *targets_[i]; }
  std::size_t targets() const { return targets_.size(); }
  const FleetLedger& ledger() const { return ledger_; }
  // Discovery tells it from now on.
  void Phase(std::size_t target, const std::string& phase);
  // Operators' calls to the newest version; the body of its answer.
  std::string Get(const std::string& path);
  std::string Put(const std::string& path);
  // Runs until `done` or for `most`; whether it was done.
  bool Until(Millis most, const std::function<bool()>& done);

 private:
  std::string CallAdmin(const std::string& method, const std::string& path);
  DiscoveryStandIn::Member MemberOf(std::size_t target, const std::string& phase) const;

  boost::asio::io_context& io_;
  const std::string folder_;
  FleetLedger ledger_;
  std::vector<std::unique_ptr<TunnelTarget>> targets_;
  DiscoveryStandIn discovery_;
  std::string listen_, admin_, listener_;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_TUNNEL_BED_HPP_
