#include "operations/handover_channel.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <cstring>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace meadowyard::operations {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

using DescriptorPair = std::array<int, 2>;

/// Buffer for the control message (cmsg(3)) that carries up to two descriptors.
struct ControlBuffer {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(DescriptorPair))> bytes = {};
};

// Adds the message's descriptors to `header` as ancillary data, stored in `control`.
void AttachDescriptors(msghdr& header, ControlBuffer& control, const OutgoingMessage& message) {
  if (message.descriptor < 0) return;
  const DescriptorPair descriptors = {message.descriptor, message.second_descriptor};
  const std::size_t size = message.second_descriptor >= 0 ? sizeof descriptors : sizeof descriptors[0];
  header.msg_control = control.bytes.data();
  header.msg_controllen = CMSG_SPACE(size);
  cmsghdr* const control_header = CMSG_FIRSTHDR(&header);
  control_header->cmsg_level = SOL_SOCKET;
  control_header->cmsg_type = SCM_RIGHTS;
  control_header->cmsg_len = CMSG_LEN(size);
  std::memcpy(CMSG_DATA(control_header), descriptors.data(), size);
}

// Moves the received descriptors into `message`, which owns them.
void DetachDescriptors(const msghdr& header, IncomingMessage& message) {
  const cmsghdr* const control_header = CMSG_FIRSTHDR(&header);
  if (control_header == nullptr || control_header->cmsg_type != SCM_RIGHTS) return;
  DescriptorPair descriptors = {-1, -1};
  const std::size_t size = control_header->cmsg_len - CMSG_LEN(0);
  std::memcpy(descriptors.data(), CMSG_DATA(control_header), std::min(sizeof descriptors, size));
  message.descriptor = Descriptor(descriptors[0]);
  message.second_descriptor = Descriptor(descriptors[1]);
}

}  // namespace

SendStatus TrySendMessage(int socket, const OutgoingMessage& message) {
  char kind_letter = static_cast<char>(message.kind);
  // iovec has no pointer to const, but sendmsg only reads the text.
  std::array<iovec, 2> segments = {
      {{&kind_letter, sizeof kind_letter}, {const_cast<char*>(message.text.data()), message.text.size()}}};
  msghdr header{};
  header.msg_iov = segments.data();
  header.msg_iovlen = segments.size();
  ControlBuffer control;
  AttachDescriptors(header, control, message);
  if (::sendmsg(socket, &header, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0) return SendStatus::kSent;
  const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return would_block ? SendStatus::kWouldBlock : SendStatus::kFailed;
}

bool SendMessage(int socket, const OutgoingMessage& message) {
  return TrySendMessage(socket, message) == SendStatus::kSent;
}

ReceiveResult ReceiveMessage(int socket) {
  const auto text = std::make_unique_for_overwrite<char[]>(kMaxMessageTextBytes);
  std::size_t text_size = 0;
  ReceiveResult result = ReceiveMessageInto(socket, text.get(), text_size);
  result.message.text.assign(text.get(), text_size);
  return result;
}

ReceiveResult ReceiveMessageInto(int socket, char* text, std::size_t& text_size) {
  char kind_letter = 0;
  std::array<iovec, 2> segments = {{{&kind_letter, sizeof kind_letter}, {text, kMaxMessageTextBytes}}};
  ControlBuffer control;
  msghdr header{};
  header.msg_iov = segments.data();
  header.msg_iovlen = segments.size();
  header.msg_control = control.bytes.data();
  header.msg_controllen = control.bytes.size();
  const ssize_t size = ::recvmsg(socket, &header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  ReceiveResult result;
  text_size = 0;
  if (size <= 0) {
    const bool pending = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    result.status = pending ? ReceiveStatus::kNothingPending : ReceiveStatus::kClosed;
    return result;
  }
  text_size = static_cast<std::size_t>(size) - sizeof kind_letter;
  result.status = ReceiveStatus::kReceived;
  result.message.kind = static_cast<HandoverMessageKind>(kind_letter);
  DetachDescriptors(header, result.message);
  return result;
}

namespace {

/// A message that waits until the other process has read earlier ones.
struct QueuedMessage {
  [[nodiscard]] OutgoingMessage View() const {
    return {.kind = kind,
            .text = text,
            .descriptor = descriptor.get(),
            .second_descriptor = second_descriptor.get()};
  }

  HandoverMessageKind kind;
  std::string text;
  Descriptor descriptor;  // duplicates of the caller's, which it may close before this is sent
  Descriptor second_descriptor;
};

Descriptor Duplicate(int descriptor) {
  return Descriptor(descriptor < 0 ? -1 : ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0));
}

// std::nullopt if no descriptor is free.
std::optional<QueuedMessage> CopyMessage(const OutgoingMessage& message) {
  QueuedMessage copy{.kind = message.kind,
                     .text = std::string(message.text),
                     .descriptor = Duplicate(message.descriptor),
                     .second_descriptor = Duplicate(message.second_descriptor)};
  const bool complete = (message.descriptor < 0 || copy.descriptor) &&
                        (message.second_descriptor < 0 || copy.second_descriptor);
  if (!complete) return std::nullopt;
  return copy;
}

}  // namespace

struct HandoverChannel::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, Descriptor fd) : socket(io, fd.release()) {}

  void Wait() {
    socket.async_wait(asio::posix::stream_descriptor::wait_read, [self = shared_from_this()](error_code ec) {
      if (!ec) self->ReceiveAll();
    });
  }

  void ReceiveAll() {
    for (;;) {
      ReceiveResult result = ReceiveMessage(socket.native_handle());
      if (result.status == ReceiveStatus::kNothingPending) return Wait();
      if (result.status == ReceiveStatus::kClosed) return Close();
      callbacks.on_message(std::move(result.message));
      if (!socket.is_open()) return;  // the callback has destroyed the channel
    }
  }

  void Close() {
    error_code ignored;
    socket.close(ignored);
    const auto on_closed = callbacks.on_closed;  // a copy, since the call may destroy the channel
    on_closed();
  }

  // Sends queued messages until the socket's buffer is full. A failed channel is closed by ReceiveAll, so
  // that no callback runs inside a call to Enqueue.
  void Flush() {
    while (!queue.empty()) {
      const QueuedMessage& next = queue.front();
      const SendStatus status = TrySendMessage(socket.native_handle(), next.View());
      if (status == SendStatus::kWouldBlock) return AwaitWritable();
      queued_bytes -= next.text.size();
      queue.pop_front();
      if (status == SendStatus::kFailed) return DropQueue();
    }
  }

  void AwaitWritable() {
    if (std::exchange(awaiting_writable, true)) return;
    socket.async_wait(asio::posix::stream_descriptor::wait_write, [self = shared_from_this()](error_code ec) {
      self->awaiting_writable = false;
      if (!ec && self->socket.is_open()) self->Flush();
    });
  }

  void DropQueue() {
    queue.clear();
    queued_bytes = 0;
  }

  asio::posix::stream_descriptor socket;
  Callbacks callbacks;
  std::deque<QueuedMessage> queue;
  std::size_t queued_bytes = 0;  // of texts in `queue`
  bool awaiting_writable = false;
};

HandoverChannel::HandoverChannel(asio::io_context& io, Descriptor socket)
    : state_(std::make_shared<State>(io, std::move(socket))) {}

HandoverChannel::~HandoverChannel() {
  error_code ignored;
  state_->socket.close(ignored);
}

void HandoverChannel::Start(Callbacks callbacks) {
  state_->callbacks = std::move(callbacks);
  state_->Wait();
}

bool HandoverChannel::Send(const OutgoingMessage& message) {
  return state_->socket.is_open() && state_->queue.empty() &&
         SendMessage(state_->socket.native_handle(), message);
}

bool HandoverChannel::Enqueue(const OutgoingMessage& message) {
  if (!state_->socket.is_open()) return false;
  if (state_->queue.empty()) {
    const SendStatus status = TrySendMessage(state_->socket.native_handle(), message);
    if (status != SendStatus::kWouldBlock) return status == SendStatus::kSent;
  }
  if (state_->queued_bytes + message.text.size() > kMaxQueuedBytes) return false;
  auto copy = CopyMessage(message);
  if (!copy) return false;
  state_->queued_bytes += copy->text.size();
  state_->queue.push_back(std::move(*copy));
  state_->AwaitWritable();
  return true;
}

bool HandoverChannel::HasQueuedMessages() const { return !state_->queue.empty(); }

}  // namespace meadowyard::operations
