// The links between any two gateways, for datagrams: each of both sends to an address of its own, and what
// the other gets comes from the address that it knows the first one by. Delayed, lost, doubled, cut.
#ifndef MEADOWYARD_LAB_PEER_LINKS_HPP_
#define MEADOWYARD_LAB_PEER_LINKS_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/link_model.hpp"

namespace meadowyard::lab {

class PeerLinks {
 public:
  // `hears(from, to, bytes, size, arrived)`: what leaves a gateway, and again each copy that arrives.
  using Hears = std::function<void(int from, int to, const char* bytes, std::size_t size, bool arrived)>;
  PeerLinks(boost::asio::io_context& io, int gateways, const DatagramSpec& spec, std::uint64_t seed,
            Hears hears = nullptr);

  // [g][p]: where gateway g reaches p; [g][g]: where g itself is to listen.
  std::vector<std::vector<std::string>> addresses() const;
  // Nothing passes between the gateways of `side` and all others: to that side, from it, or both ways.
  void CutUntil(Millis until, const std::vector<int>& side, bool to, bool from);

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;
  struct End {  // at which `owner` talks to `other`
    End(boost::asio::io_context& io, const DatagramSpec& spec, std::uint64_t seed, int owner, int other);
    const int owner, other;
    boost::asio::ip::udp::socket socket;
    DatagramModel model;  // of what the owner sends
    Endpoint from;
    std::array<char, 16384> buffer;
  };
  void Read(End& end);
  void Pass(End& end, std::size_t size);
  End& EndOf(int owner, int other);

  boost::asio::io_context& io_;
  const int gateways_;
  const Hears hears_;
  std::vector<Endpoint> listens_;
  std::vector<std::unique_ptr<End>> ends_;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_PEER_LINKS_HPP_
