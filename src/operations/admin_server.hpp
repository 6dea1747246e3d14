/// @file
/// The listener for operators' calls: one short HTTP request per connection. It is separate from the clients'
/// listener, so that operators are answered however many clients are connected.
#ifndef MEADOWYARD_OPERATIONS_ADMIN_SERVER_HPP_
#define MEADOWYARD_OPERATIONS_ADMIN_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "operations/admin_delegate.hpp"
#include "operations/admin_router.hpp"
#include "operations/admin_session.hpp"
#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// Accepts operators' connections, even when the process has run out of file descriptors: it then frees one
/// by closing a descriptor reserved for this case or, if none is reserved, its oldest session.
class AdminServer {
 public:
  struct Limits {
    std::size_t max_sessions = 16;  ///< At this limit, a new connection closes the oldest session.
    AdminSession::Timeouts timeouts;
  };

  /// Starts to listen. Throws boost::system::system_error on failure. The delegate must outlive the server.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Limits limits,
              AdminDelegate& delegate);

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void Accept();
  void OnAccepted(boost::system::error_code ec, boost::asio::ip::tcp::socket socket);
  void RetryAcceptLater();
  void AcceptWithFreedDescriptor();
  void StartSession(boost::asio::ip::tcp::socket socket);
  void CloseOldestSession();
  void ReserveSpareDescriptor();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  const Limits limits_;
  AdminRouter router_;
  Descriptor spare_descriptor_;                        // closed to accept a connection when no other is free
  std::list<std::shared_ptr<AdminSession>> sessions_;  // oldest first
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_ADMIN_SERVER_HPP_
