/// @file
/// The channel between two processes of one gateway during a hot restart. It carries messages and file
/// descriptors over a Unix socket that preserves message boundaries. A message is one packet: one letter for
/// its kind, then its text, with the descriptors as ancillary data (SCM_RIGHTS). The two processes may run
/// different versions of the program, so the letters and the text formats must never change.
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

/// The kind of a message. The values are the letters on the socket.
enum class HandoverMessageKind : char {
  /// To the successor: a part of the state; the first part carries the clients' listening socket and the
  /// table of open requests' ids.
  kState = 'S',
  /// To the successor: a listening socket for tunnels; the text names the listener.
  kTunnelListener = 'L',
  /// To the successor: the state and the listening sockets are complete.
  kStateComplete = 'E',
  /// To the predecessor: the successor has started to serve.
  kSuccessorReady = 'R',
  /// To the successor: a client's connection; the text is the part of its next request already read.
  kClientConnection = 'C',
  /// To the successor: an idle connection to a host; for the text see FormatHostConnection.
  kHostConnection = 'H',
  /// To the successor: an open tunnel, with the client's descriptor and the host's.
  kTunnel = 'T',
  /// To the successor: the number of descriptors that the predecessor still has open, in decimal.
  kDescriptorsHeld = 'D',
  /// In both directions: an operator has started the maintenance of the host whose id is the text.
  kMaintenanceStarted = 'O',
  /// In both directions: an operator has ended the maintenance of the host whose id is the text.
  kMaintenanceEnded = 'B',
  /// In both directions: a reload has changed the configuration; for the text see FormatConfigurationChange.
  /// An empty text: the change is too long for a message, and the receiver reads its files again.
  kConfigurationChanged = 'F',
};

/// Longest text of a message, in bytes; a longer state is split into messages of this size. A tunnel's text
/// contains the data buffered in both directions, up to 32 KiB each, and some fields.
inline constexpr std::size_t kMaxMessageTextBytes = 72 * 1024;

/// Most bytes of text in a channel's queue: many times the state of the largest fleet (3,200 hosts, 2 MB).
inline constexpr std::size_t kMaxQueuedBytes = 32u << 20;

/// A message to be sent. It owns neither text nor descriptors: the kernel duplicates the descriptors, and the
/// sender keeps its own.
struct OutgoingMessage {
  HandoverMessageKind kind = HandoverMessageKind::kStateComplete;
  std::string_view text = {};
  int descriptor = -1;         ///< -1: none.
  int second_descriptor = -1;  ///< Only together with `descriptor`; -1: none.
};

/// A received message, which owns the descriptors passed with it.
struct IncomingMessage {
  HandoverMessageKind kind = HandoverMessageKind::kStateComplete;
  std::string text;
  Descriptor descriptor;         ///< Empty if none was passed.
  Descriptor second_descriptor;  ///< Empty if none was passed.
};

/// The outcome of a call to TrySendMessage.
enum class SendStatus {
  kSent,
  kWouldBlock,  ///< The socket's buffer is full: the other process has to read first.
  kFailed,      ///< The other process has closed the channel, or it failed.
};

/// Sends without blocking.
[[nodiscard]] SendStatus TrySendMessage(int socket, const OutgoingMessage& message);
/// Sends without blocking; false if the message can't be sent now.
[[nodiscard]] bool SendMessage(int socket, const OutgoingMessage& message);

/// The outcome of a call to ReceiveMessage.
enum class ReceiveStatus {
  kReceived,
  kNothingPending,  ///< No message has arrived yet.
  kClosed,          ///< The other process has closed the channel, or it failed.
};

/// The result of ReceiveMessage.
struct ReceiveResult {
  ReceiveStatus status = ReceiveStatus::kNothingPending;
  IncomingMessage message;  ///< Valid only with kReceived.
};

/// Receives the next message without blocking.
[[nodiscard]] ReceiveResult ReceiveMessage(int socket);
/// The same, but writes the text into `text`, which has space for kMaxMessageTextBytes, and its size into
/// `text_size`; ReceiveResult::message has no text.
[[nodiscard]] ReceiveResult ReceiveMessageInto(int socket, char* text, std::size_t& text_size);

/// One end of the channel. It must be used on the event loop's thread, which also runs the callbacks.
class HandoverChannel {
 public:
  /// The channel may be destroyed from within either callback.
  struct Callbacks {
    std::function<void(IncomingMessage)> on_message;
    std::function<void()> on_closed;  ///< Called at most once, as the last callback.
  };

  /// Takes ownership of a connected socket.
  HandoverChannel(boost::asio::io_context& io, Descriptor socket);
  HandoverChannel(const HandoverChannel&) = delete;
  HandoverChannel& operator=(const HandoverChannel&) = delete;
  /// Closes the socket; no callback is called afterwards.
  ~HandoverChannel();

  /// Starts to receive. Must be called once.
  void Start(Callbacks callbacks);
  /// Sends without blocking; false if the message can't be sent now or the channel is closed. For messages
  /// that the caller can keep or drop: a socket's buffer holds about three of the longest ones.
  bool Send(const OutgoingMessage& message);
  /// Sends a message that must not be lost: while the other process reads more slowly, copies of the message
  /// and its descriptors are queued. Messages arrive in the order of the calls. False if the channel is
  /// closed, no descriptor is free for a copy, or the queue is full.
  [[nodiscard]] bool Enqueue(const OutgoingMessage& message);
  /// Whether messages still wait for the other process to read earlier ones.
  [[nodiscard]] bool HasQueuedMessages() const;

 private:
  struct State;
  // Shared with the pending wait, which may end after the channel's destruction.
  const std::shared_ptr<State> state_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HANDOVER_CHANNEL_HPP_
