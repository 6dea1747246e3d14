// The gateway's words to its peers and theirs to it, over UDP: one socket, one timer.
#ifndef MEADOWYARD_MEMBERSHIP_PEER_TRANSPORT_HPP_
#define MEADOWYARD_MEMBERSHIP_PEER_TRANSPORT_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <random>

#include "coordination/message_codec.hpp"
#include "membership/heartbeat_codec.hpp"
#include "membership/membership_view.hpp"
#include "membership/peers_config.hpp"

namespace meadowyard::membership {

class PeerLink {
 public:
  struct Handlers {
    std::function<Gossip()> gossip;  // what the others are to be told
    std::function<void(MembershipUpdate)> news;
    std::function<void(int from, coordination::LeaseRole duty, const coordination::CoordinationMessage& word)>
        duty;                                 // by the list's order
    std::function<void(double chance)> beat;  // after each
    std::function<std::optional<ZoneLoadReport>()>
        sights;  // to tell the others; nothing where they need none
    std::function<void(int from, const ZoneLoadReport& sights)> seen;
  };
  // Begins at once. While the address is taken, by the process before this one perhaps, it tries again.
  PeerLink(boost::asio::io_context& io, PeersConfig config, Handlers handlers);

  const PeersConfig& config() const { return config_; }
  void Send(int to, coordination::LeaseRole duty, const coordination::CoordinationMessage& word);
  // For operators: who was heard, and what this gateway takes from that.
  nlohmann::json Status() const;

 private:
  void Open();
  void Read();
  void Got(std::size_t size);
  void Beats();
  void Tell(Gossip gossip);

  const PeersConfig config_;
  const Handlers handlers_;
  MembershipView view_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint from_;
  std::array<std::uint8_t, kMaxHeartbeatBytes> buffer_;
  std::mt19937_64 random_;
  std::uint64_t sent_ = 0, heard_ = 0, strange_ = 0;
  bool told_taken_ = false;
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_PEER_TRANSPORT_HPP_
