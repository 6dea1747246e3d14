/// @file
/// The channel between two processes of one gateway during a hot restart: messages, with file descriptors,
/// over a Unix socket that keeps message boundaries. On the socket a message is one packet: the letter of its
/// kind, then its text; descriptors are passed beside it. The two processes may run different versions of the
/// program, so letters and texts never change.
#ifndef MEADOWYARD_OPERATIONS_HANDOVER_CHANNEL_HPP_
#define MEADOWYARD_OPERATIONS_HANDOVER_CHANNEL_HPP_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// What a message says. The values are the letters on the socket.
enum class HandoverMessageKind : char {
  /// To the successor: a piece of the state; the first one has the clients' listening socket.
  kState = 'S',
  /// To the successor: a listening socket for tunnels; the text names the listener.
  kTunnelListener = 'L',
  /// To the successor: the state and the listening sockets are complete.
  kStateComplete = 'E',
  /// To the predecessor: the successor serves.
  kSuccessorReady = 'R',
  /// To the successor: a client's connection; the text is what was read of its next request.
  kClientConnection = 'C',
  /// To the successor: an idle connection to a host; the text is a HostConnectionText.
  kHostConnection = 'H',
  /// To the successor: an open tunnel, with the client's descriptor and the host's.
  kTunnel = 'T',
  /// To the successor: how many descriptors the predecessor still holds, as a decimal number.
  kDescriptorsHeld = 'D',
  /// Both ways: an operator has put the host that the text names into maintenance.
  kMaintenanceStarted = 'O',
  /// Both ways: an operator has ended the maintenance of the host that the text names.
  kMaintenanceEnded = 'B',
};

/// Longest text of a message, in bytes; the state is sent in pieces of this size. A tunnel's text has what is
/// buffered in both directions, 32 KiB each, and some fields.
inline constexpr std::size_t kMaxMessageText = 72 * 1024;

/// A message to be sent. It owns nothing: descriptors are duplicated by the kernel and stay with the sender.
struct OutgoingMessage {
  HandoverMessageKind kind = HandoverMessageKind::kStateComplete;
  std::string_view text = {};
  int descriptor = -1;         ///< -1: none.
  int second_descriptor = -1;  ///< Only beside a first one; -1: none.
};

/// A message that was received, with the descriptors that came with it.
struct IncomingMessage {
  HandoverMessageKind kind = HandoverMessageKind::kStateComplete;
  std::string text;
  Descriptor descriptor;         ///< Empty if none came.
  Descriptor second_descriptor;  ///< Empty if none came.
};

/// Sends without waiting; false if the message can't be sent now.
[[nodiscard]] bool SendMessage(int socket, const OutgoingMessage& message);

/// What came of a call to ReceiveMessage.
enum class ReceiveStatus {
  kReceived,
  kNothingPending,  ///< No message is there yet.
  kClosed,          ///< The other process has closed the channel, or it failed.
};

/// The result of ReceiveMessage.
struct ReceiveResult {
  ReceiveStatus status = ReceiveStatus::kNothingPending;
  IncomingMessage message;  ///< Valid only with kReceived.
};

/// Receives the next message without waiting.
[[nodiscard]] ReceiveResult ReceiveMessage(int socket);

/// One end of the channel, on an event loop. The loop's thread calls it and is called back.
class HandoverChannel {
 public:
  /// What the owner is notified of. The channel may be destroyed from within either function.
  struct Callbacks {
    std::function<void(IncomingMessage)> on_message;
    std::function<void()> on_closed;  ///< At most once; nothing else follows.
  };

  /// Takes ownership of a connected socket.
  HandoverChannel(boost::asio::io_context& io, Descriptor socket);
  HandoverChannel(const HandoverChannel&) = delete;
  HandoverChannel& operator=(const HandoverChannel&) = delete;
  /// Closes the socket; nothing is called back any more.
  ~HandoverChannel();

  /// Begins to receive. Call it once.
  void Start(Callbacks callbacks);
  /// Sends without waiting; false if the message can't be sent now or the channel is closed.
  bool Send(const OutgoingMessage& message);

 private:
  struct State;
  const std::shared_ptr<State> state_;  // outlives the channel until its last wait has ended
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HANDOVER_CHANNEL_HPP_
