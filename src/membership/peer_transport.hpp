/// @file
/// Datagrams to and from the other gateways: one UDP socket, without any knowledge of what it carries.
#ifndef MEADOWYARD_MEMBERSHIP_PEER_TRANSPORT_HPP_
#define MEADOWYARD_MEMBERSHIP_PEER_TRANSPORT_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace meadowyard::membership {

/// Longest datagram that is received completely, in bytes; the rest of a longer one is lost.
constexpr std::size_t kMaxDatagramBytes = 8192;

class PeerTransport {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Receiver = std::function<void(const Endpoint& sender, std::span<const std::uint8_t> datagram)>;

  /// @param address    where datagrams are received, and what they are sent from
  /// @param receiver   called for each datagram that arrives; the bytes are valid during the call only
  /// Does not open the socket; see OpenIfClosed. Must not outlive `io`.
  PeerTransport(boost::asio::io_context& io, const Endpoint& address, Receiver receiver);

  /// Opens the socket unless it is open. To be called again and again: the address may be in use, by the
  /// predecessor in a hot restart for instance. The first failure is logged.
  void OpenIfClosed();
  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  /// Sends one datagram if the socket is open. One that can't be sent is lost, as any datagram may be.
  void Send(const Endpoint& to, std::span<const std::uint8_t> datagram);
  std::uint64_t sent() const { return sent_; }  ///< Datagrams handed to the socket.

 private:
  void Receive();

  const Endpoint address_;
  const Receiver receiver_;
  boost::asio::ip::udp::socket socket_;
  Endpoint sender_;  // of the datagram in `buffer_`
  std::array<std::uint8_t, kMaxDatagramBytes> buffer_;
  std::uint64_t sent_ = 0;
  bool failure_logged_ = false;
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_PEER_TRANSPORT_HPP_
