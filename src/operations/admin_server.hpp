/// @file
/// The listener for operators' calls: one short HTTP call a connection. It is apart from the clients'
/// listener, so that operators are answered however many clients there are.
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

/// Accepts operators' connections. It answers even when the process has no file descriptor left: it keeps a
/// spare one, and beyond that closes its oldest session.
class AdminServer {
 public:
  struct Limits {
    std::size_t max_sessions = 16;  ///< Beyond it the oldest session is closed for a new one.
    AdminSession::Timeouts timeouts;
  };

  /// Listens at once. Throws boost::system::system_error if it can't. The delegate must outlive the server.
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
  void KeepSpareDescriptor();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_;
  const Limits limits_;
  AdminRouter router_;
  Descriptor spare_descriptor_;  // given up for a connection that arrives when there is no other left
  std::list<std::shared_ptr<AdminSession>> sessions_;  // the oldest first
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_ADMIN_SERVER_HPP_
