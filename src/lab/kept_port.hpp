// A loopback port that stays a stand-in's while it does not listen there.
#ifndef MEADOWYARD_LAB_KEPT_PORT_HPP_
#define MEADOWYARD_LAB_KEPT_PORT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace meadowyard::lab {

// A stand-in that is down has closed its listener, and comes back at the same address. Until then the kernel
// may give the port to any outgoing connection, and the stand-in could not listen again. A socket that is
// bound and does not listen keeps it: who connects is refused, as by a process that has died.
class KeptPort {
 public:
  explicit KeptPort(boost::asio::io_context& io)
      : socket_(io, boost::asio::ip::tcp::v4()), address_(boost::asio::ip::address_v4::loopback(), 0) {
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    socket_.bind(address_);
    address_ = socket_.local_endpoint();
  }
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }

  // A listener at the port; one at a time. Throws boost::system::system_error if it can't be.
  boost::asio::ip::tcp::acceptor Listen(
      boost::asio::io_context& io, int backlog = boost::asio::socket_base::max_listen_connections) const {
    boost::asio::ip::tcp::acceptor acceptor(io, address_.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(address_);
    acceptor.listen(backlog);
    return acceptor;
  }

 private:
  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint address_;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_KEPT_PORT_HPP_
