#include "operations/handover_channel.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

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

bool SendMessage(int socket, const OutgoingMessage& message) {
  char kind_letter = static_cast<char>(message.kind);
  // iovec has no pointer to const, but sendmsg only reads the text.
  std::array<iovec, 2> segments = {
      {{&kind_letter, sizeof kind_letter}, {const_cast<char*>(message.text.data()), message.text.size()}}};
  msghdr header{};
  header.msg_iov = segments.data();
  header.msg_iovlen = segments.size();
  ControlBuffer control;
  AttachDescriptors(header, control, message);
  return ::sendmsg(socket, &header, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0;
}

ReceiveResult ReceiveMessage(int socket) {
  std::vector<char> packet(1 + kMaxMessageTextBytes);
  iovec segment = {packet.data(), packet.size()};
  ControlBuffer control;
  msghdr header{};
  header.msg_iov = &segment;
  header.msg_iovlen = 1;
  header.msg_control = control.bytes.data();
  header.msg_controllen = control.bytes.size();
  const ssize_t size = ::recvmsg(socket, &header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  ReceiveResult result;
  if (size <= 0) {
    const bool pending = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    result.status = pending ? ReceiveStatus::kNothingPending : ReceiveStatus::kClosed;
    return result;
  }
  result.status = ReceiveStatus::kReceived;
  result.message.kind = static_cast<HandoverMessageKind>(packet.front());
  result.message.text.assign(packet.data() + 1, static_cast<std::size_t>(size) - 1);
  DetachDescriptors(header, result.message);
  return result;
}

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

  asio::posix::stream_descriptor socket;
  Callbacks callbacks;
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
  return state_->socket.is_open() && SendMessage(state_->socket.native_handle(), message);
}

}  // namespace meadowyard::operations
