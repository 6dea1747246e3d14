// Relays of bytes between a loopback port and another: bare ones, to compare costs with, and ones that a poor
// link's model holds up. Datagrams as well.
#ifndef MEADOWYARD_LAB_RELAY_HPP_
#define MEADOWYARD_LAB_RELAY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/link_model.hpp"
#include "lab/spec.hpp"

namespace meadowyard::lab {

class Relay {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // Listens at a free port and passes all to `targets` in turn. Without a link it reads and writes, nothing
  // else.
  Relay(boost::asio::io_context& io, std::vector<Endpoint> targets, const LinkSpec& link, std::uint64_t seed);
  ~Relay();
  // Whoever ends its side across a cut has left: what is held for the other never comes. Else it has half
  // closed.
  void EndsAreWhole() { ends_are_whole_ = true; }
  Endpoint address() const { return acceptor_.local_endpoint(); }
  // Nothing crosses any connection until then, to the targets or back from them.
  void CutUntil(Millis until, bool there = true, bool back = true);
  std::size_t pairs() const { return pairs_.size(); }

 private:
  struct Pair;
  void Accept();
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::vector<Endpoint> targets_;
  const LinkSpec link_;
  const std::uint64_t seed_;
  std::uint64_t next_ = 0;
  bool ends_are_whole_ = false;
  Millis cut_there_ = 0, cut_back_ = 0;
  std::set<std::shared_ptr<Pair>> pairs_;
};

class DatagramRelay {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  DatagramRelay(boost::asio::io_context& io, const Endpoint& target, const DatagramSpec& spec,
                std::uint64_t seed);
  Endpoint address() const { return socket_.local_endpoint(); }
  void CutUntil(Millis until);

 private:
  struct Path {  // of one client's address
    explicit Path(boost::asio::io_context& io) : socket(io) {}
    boost::asio::ip::udp::socket socket;
    Endpoint client, from;
    std::vector<char> buffer = std::vector<char>(65536);
  };
  void Read();
  void ReadBack(const std::shared_ptr<Path>& path);
  void Later(Millis at, std::vector<char> bytes, std::function<void(const std::vector<char>&)> send);

  boost::asio::io_context& io_;
  boost::asio::ip::udp::socket socket_;
  const Endpoint target_;
  Endpoint from_;
  std::vector<char> buffer_ = std::vector<char>(65536);
  DatagramModel there_, back_;
  std::map<Endpoint, std::shared_ptr<Path>> paths_;
};

// Relays in front of each of `targets`, in a process of its own that ends with this one.
class RelayProcess {
 public:
  // `each`: one relay for each target; else one relay that deals its connections to all.
  RelayProcess(const std::vector<std::string>& targets, const LinkSpec& link, std::uint64_t seed, bool each);
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;
  const std::vector<std::string>& addresses() const { return addresses_; }
  void CutFor(Millis len);
  int pid() const { return pid_; }

 private:
  int pid_ = -1, link_ = -1;
  std::vector<std::string> addresses_;
};

boost::asio::ip::tcp::endpoint ToEndpoint(const std::string& address);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_RELAY_HPP_
