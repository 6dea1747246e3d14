#include "membership/peer_transport.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <string>
#include <utility>

#include "log/log.hpp"
#include "membership/peer_address.hpp"

namespace meadowyard::membership {

namespace asio = boost::asio;
using boost::system::error_code;

PeerTransport::PeerTransport(asio::io_context& io, const Endpoint& address, Receiver receiver)
    : address_(address), receiver_(std::move(receiver)), socket_(io) {}

void PeerTransport::OpenIfClosed() {
  if (socket_.is_open()) return;
  error_code ec;
  socket_.open(address_.protocol(), ec);
  if (!ec) socket_.bind(address_, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (!ec) {
    Receive();
    return;
  }
  if (!std::exchange(failure_logged_, true)) {
    log::Write(log::Level::kWarn, "peer_socket_open_failed",
               {{"address", ToText(address_)}, {"error", ec.message()}});
  }
  error_code ignored_error;
  socket_.close(ignored_error);
}

void PeerTransport::Receive() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_, [this](error_code ec, std::size_t size) {
    if (ec == asio::error::operation_aborted) return;
    // Any other error reports an ICMP error message for a datagram that this socket has sent.
    if (!ec) receiver_(sender_, {buffer_.data(), size});
    Receive();
  });
}

void PeerTransport::Send(const Endpoint& to, std::span<const std::uint8_t> datagram) {
  if (!socket_.is_open()) return;
  error_code ignored_error;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()), to, 0, ignored_error);
  ++sent_;
}

}  // namespace meadowyard::membership
