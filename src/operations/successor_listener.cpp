#include "operations/successor_listener.hpp"

#include <utility>

#include "operations/unix_socket.hpp"

namespace meadowyard::operations {

using boost::system::error_code;

SuccessorListener::SuccessorListener(boost::asio::io_context& io, std::string path,
                                     ConnectedCallback on_connected)
    : path_(std::move(path)), on_connected_(std::move(on_connected)), listener_(io) {}

bool SuccessorListener::Listen() {
  Descriptor socket = ListenOnUnixSocket(path_);
  if (!socket) return false;
  Close();
  error_code ec;
  listener_.assign(socket.release(), ec);
  if (ec) return false;
  Accept();
  return true;
}

void SuccessorListener::Close() {
  error_code ignored;
  listener_.close(ignored);
}

void SuccessorListener::Accept() {
  listener_.async_wait(boost::asio::posix::stream_descriptor::wait_read, [this](error_code ec) {
    if (ec || !listener_.is_open()) return;
    Descriptor connection = AcceptUnixConnection(listener_.native_handle());
    if (connection) on_connected_(std::move(connection));
    if (listener_.is_open()) Accept();
  });
}

}  // namespace meadowyard::operations
