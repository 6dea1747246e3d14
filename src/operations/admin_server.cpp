#include "operations/admin_server.hpp"

#include <fcntl.h>

#include <utility>

#include "core/clock.hpp"

namespace meadowyard::operations {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kAcceptRetryDelay = 50;  // after a failed accept: immediate retries would be a busy loop

}  // namespace

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& address, Limits limits,
                         AdminDelegate& delegate)
    : acceptor_(io), accept_retry_timer_(io), limits_(limits), router_(delegate) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.non_blocking(true);
  acceptor_.bind(address);
  acceptor_.listen();
  Accept();
}

void AdminServer::Accept() {
  ReserveSpareDescriptor();
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) { OnAccepted(ec, std::move(socket)); });
}

void AdminServer::OnAccepted(error_code ec, tcp::socket socket) {
  if (!acceptor_.is_open()) return;
  if (!ec) {
    Accept();  // first, so that a failure of this session can't stop the server from accepting
    return StartSession(std::move(socket));
  }
  RetryAcceptLater();
  if (ec == asio::error::no_descriptors) AcceptWithFreedDescriptor();
}

void AdminServer::RetryAcceptLater() {
  accept_retry_timer_.expires_after(core::ToDuration(kAcceptRetryDelay));
  accept_retry_timer_.async_wait([this](error_code ec) {
    if (!ec) Accept();
  });
}

void AdminServer::AcceptWithFreedDescriptor() {
  if (spare_descriptor_) {
    spare_descriptor_ = Descriptor();
  } else if (!sessions_.empty()) {
    CloseOldestSession();
  }
  error_code ec;
  tcp::socket socket = acceptor_.accept(ec);
  if (!ec) return StartSession(std::move(socket));
  ReserveSpareDescriptor();  // the caller has disconnected: reserve it again before other code can use it
}

void AdminServer::StartSession(tcp::socket socket) {
  if (sessions_.size() >= limits_.max_sessions) CloseOldestSession();
  const auto session = std::make_shared<AdminSession>(
      std::move(socket), limits_.timeouts,
      AdminSession::Callbacks{
          .on_request = [this](const HttpRequest& request) { return router_.Handle(request); },
          .on_closed =
              [this](const std::shared_ptr<AdminSession>& closed) {
                ReserveSpareDescriptor();  // before other code can use the descriptor that the session freed
                sessions_.remove(closed);
              }});
  sessions_.push_back(session);
  session->Start();
}

void AdminServer::CloseOldestSession() {
  const auto oldest = sessions_.front();  // a copy, since Close() removes it from the list
  oldest->Close();
}

void AdminServer::ReserveSpareDescriptor() {
  if (!spare_descriptor_) spare_descriptor_ = Descriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

}  // namespace meadowyard::operations
