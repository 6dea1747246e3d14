/// @file
/// One gateway's part in the membership protocol: it sends heartbeats to all other gateways and passes on
/// what theirs say. Messages between lease-held roles travel over the same socket.
#ifndef MEADOWYARD_MEMBERSHIP_MEMBERSHIP_PROTOCOL_HPP_
#define MEADOWYARD_MEMBERSHIP_MEMBERSHIP_PROTOCOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <span>

#include "coordination/message_codec.hpp"
#include "membership/membership_view.hpp"
#include "membership/peer_transport.hpp"
#include "membership/peers_config.hpp"

namespace meadowyard::membership {

class MembershipProtocol {
 public:
  /// What the protocol takes from its gateway and reports to it. Members are given by their index in the
  /// peers file. Must outlive the protocol, whose constructor already calls it.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    /// What heartbeats pass on about endpoints.
    virtual Gossip CollectGossip() = 0;
    /// What heartbeats pass on about zones; nothing where requests are not routed by zone.
    virtual std::optional<ZoneLoadReport> CollectZoneLoad() = 0;
    /// After each heartbeat that is sent, and after each received one that carries gossip.
    virtual void OnMembershipUpdate(MembershipUpdate update) = 0;
    virtual void OnZoneLoad(int member, const ZoneLoadReport& report) = 0;
    virtual void OnCoordinationMessage(int member, coordination::LeaseRole role,
                                       const coordination::CoordinationMessage& message) = 0;
    /// After each heartbeat that is sent. `jitter` is a random number from 0 to 1.
    virtual void OnHeartbeatSent(double jitter) = 0;
  };

  /// Begins at once. While the address is in use, by the predecessor in a hot restart perhaps, it is tried
  /// again at each heartbeat.
  MembershipProtocol(boost::asio::io_context& io, PeersConfig config, Delegate& delegate);

  /// Sends a message of a lease-held role to one member.
  void SendCoordinationMessage(int member, coordination::LeaseRole role,
                               const coordination::CoordinationMessage& message);
  /// For operators (`GET /status/peers`): what was received, and what this gateway concludes from it.
  [[nodiscard]] nlohmann::json Status() const;

 private:
  void OnDatagram(const PeerTransport::Endpoint& sender, std::span<const std::uint8_t> datagram);
  void OnHeartbeat(int member, const Heartbeat& heartbeat);
  void SendHeartbeats();
  void ScheduleHeartbeats();
  void ReportMembership(Gossip gossip);
  std::optional<int> FindMember(const std::string& name, const PeerTransport::Endpoint& address) const;
  [[nodiscard]] nlohmann::json MemberStatus(std::size_t index, Millis now) const;

  const PeersConfig config_;
  Delegate& delegate_;
  MembershipView view_;
  PeerTransport transport_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::uint64_t received_ = 0;  // heartbeats that were accepted
  std::uint64_t rejected_ = 0;  // datagrams that can't be decoded, or not from the address of their sender
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_MEMBERSHIP_PROTOCOL_HPP_
