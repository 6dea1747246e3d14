/// @file
/// The membership protocol of one gateway: sends heartbeats to all other gateways and reports the contents of
/// received heartbeats to its delegate. Messages of lease-held roles use the same socket.
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
  /// Implemented by the gateway that uses the protocol: provides what heartbeats carry, and receives the
  /// reports. Members are identified by their index in the peers file. Must outlive the protocol. The
  /// constructor of MembershipProtocol already calls it.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    /// The gossip about endpoints that the next heartbeat carries.
    virtual Gossip CollectGossip() = 0;
    /// The zone load report that the next heartbeat carries; nullopt without zone routing.
    virtual std::optional<ZoneLoadReport> CollectZoneLoad() = 0;
    /// Called after each heartbeat that is sent, and after each received heartbeat that carries gossip.
    virtual void OnMembershipUpdate(MembershipUpdate update) = 0;
    virtual void OnZoneLoad(int member, const ZoneLoadReport& report) = 0;
    virtual void OnCoordinationMessage(int member, coordination::LeaseRole role,
                                       const coordination::CoordinationMessage& message) = 0;
    /// Called after each heartbeat that is sent. `jitter` is a random number from 0 to 1.
    virtual void OnHeartbeatSent(double jitter) = 0;
  };

  /// Sends the first heartbeat at once. If the address is in use, for example by the predecessor in a hot
  /// restart, binding is retried at each heartbeat.
  MembershipProtocol(boost::asio::io_context& io, PeersConfig config, Delegate& delegate);

  /// Sends a message of a lease-held role to one member; drops it while the socket is closed.
  void SendCoordinationMessage(int member, coordination::LeaseRole role,
                               const coordination::CoordinationMessage& message);
  /// Body of `GET /status/peers` for operators: what was received from each member, and this gateway's view
  /// of the membership.
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
  boost::asio::steady_timer heartbeat_timer_;
  std::mt19937_64 random_;
  std::uint64_t received_heartbeats_ = 0;  // heartbeats that the view accepted
  std::uint64_t rejected_datagrams_ = 0;   // datagrams that can't be decoded, or whose source is not the
                                           // address of the sender in the peers file
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_MEMBERSHIP_PROTOCOL_HPP_
