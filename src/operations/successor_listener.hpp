/// @file
/// The listening socket to which the successor, the next process of the same gateway, connects.
#ifndef MEADOWYARD_OPERATIONS_SUCCESSOR_LISTENER_HPP_
#define MEADOWYARD_OPERATIONS_SUCCESSOR_LISTENER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// Listens for successors on a Unix socket in the file system (see config::HandoverSocketPath).
class SuccessorListener {
 public:
  using ConnectedCallback = std::function<void(Descriptor connection)>;

  /// Doesn't start to listen. `on_connected` is called for each connection from a process of the same user.
  SuccessorListener(boost::asio::io_context& io, std::string path, ConnectedCallback on_connected);

  /// Starts to listen, replacing any process that listens at the path; false on failure, for example of a
  /// full file system. It is then tried again until it succeeds or Close() is called.
  [[nodiscard]] bool Listen();
  /// Stops listening, and trying to. Doesn't remove the path, because a successor may already listen there.
  void Close();

 private:
  bool TryListen();
  void RetryListen();
  void Accept();
  void OnReadable();
  void RetryAccept();

  const std::string path_;
  const ConnectedCallback on_connected_;
  boost::asio::posix::stream_descriptor listener_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_SUCCESSOR_LISTENER_HPP_
