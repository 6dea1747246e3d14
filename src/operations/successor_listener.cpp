#include "operations/successor_listener.hpp"

#include <utility>

#include "core/clock.hpp"
#include "log/log.hpp"
#include "operations/unix_socket.hpp"

namespace meadowyard::operations {
namespace {

constexpr Millis kListenRetryInterval = 500;
constexpr Millis kAcceptRetryDelay = 50;  // an immediate retry would spin while no descriptor is free

}  // namespace

using boost::system::error_code;

SuccessorListener::SuccessorListener(boost::asio::io_context& io, std::string path,
                                     ConnectedCallback on_connected)
    : path_(std::move(path)), on_connected_(std::move(on_connected)), listener_(io), retry_timer_(io) {}

bool SuccessorListener::Listen() {
  if (TryListen()) return true;
  RetryListen();
  return false;
}

bool SuccessorListener::TryListen() {
  Descriptor socket = ListenOnUnixSocket(path_);
  if (!socket) return false;
  Close();
  error_code ec;
  listener_.assign(socket.release(), ec);
  if (ec) return false;
  Accept();
  return true;
}

void SuccessorListener::RetryListen() {
  retry_timer_.expires_after(core::ToDuration(kListenRetryInterval));
  retry_timer_.async_wait([this](error_code ec) {
    if (ec) return;
    if (!TryListen()) return RetryListen();
    log::Write(log::Level::kInfo, "hot_restart_available");
  });
}

void SuccessorListener::Close() {
  error_code ignored;
  listener_.close(ignored);
  retry_timer_.cancel();
}

void SuccessorListener::Accept() {
  listener_.async_wait(boost::asio::posix::stream_descriptor::wait_read, [this](error_code ec) {
    if (!ec && listener_.is_open()) OnReadable();
  });
}

void SuccessorListener::OnReadable() {
  Descriptor connection = AcceptUnixConnection(listener_.native_handle());
  if (!connection) return RetryAccept();
  on_connected_(std::move(connection));
  if (listener_.is_open()) Accept();
}

void SuccessorListener::RetryAccept() {
  retry_timer_.expires_after(core::ToDuration(kAcceptRetryDelay));
  retry_timer_.async_wait([this](error_code ec) {
    if (!ec && listener_.is_open()) Accept();
  });
}

}  // namespace meadowyard::operations
