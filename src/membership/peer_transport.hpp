/// @file
/// Sends and receives datagrams to and from the other gateways over one UDP socket. Doesn't interpret
/// their contents.
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

/// Longest datagram that is received completely, in bytes; a longer one is truncated.
constexpr std::size_t kMaxDatagramBytes = 8192;

class PeerTransport {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Receiver = std::function<void(const Endpoint& sender, std::span<const std::uint8_t> datagram)>;

  /// @param address    local address: datagrams are received at it and sent from it
  /// @param receiver   called for each received datagram; the bytes are valid only during the call
  /// Does not open the socket; see OpenIfClosed. Must not outlive `io`.
  PeerTransport(boost::asio::io_context& io, const Endpoint& address, Receiver receiver);

  /// Opens and binds the socket unless it is open. Must be called repeatedly, because the address may be in
  /// use, for example by the predecessor in a hot restart. Only the first failure is logged.
  void OpenIfClosed();
  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  /// Sends one datagram if the socket is open. Errors are ignored: datagrams may be lost in any case.
  void Send(const Endpoint& to, std::span<const std::uint8_t> datagram);
  std::uint64_t sent() const { return sent_; }  ///< Number of datagrams that were passed to the socket.

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
