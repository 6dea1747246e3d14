/// @file
/// Where the successor, the next process of the same gateway, finds this one.
#ifndef MEADOWYARD_OPERATIONS_SUCCESSOR_LISTENER_HPP_
#define MEADOWYARD_OPERATIONS_SUCCESSOR_LISTENER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <string>

#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// Listens for successors at a path of the file system (see HandoverPath).
class SuccessorListener {
 public:
  using ConnectedCallback = std::function<void(Descriptor connection)>;

  /// Doesn't listen yet. `on_connected` is called for each connection from a process of the same user.
  SuccessorListener(boost::asio::io_context& io, std::string path, ConnectedCallback on_connected);

  /// Listens, in place of any process that listens there now; false if it can't.
  [[nodiscard]] bool Listen();
  /// Stops listening. The path stays, as a successor may listen there already.
  void Close();

 private:
  void Accept();

  const std::string path_;
  const ConnectedCallback on_connected_;
  boost::asio::posix::stream_descriptor listener_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_SUCCESSOR_LISTENER_HPP_
