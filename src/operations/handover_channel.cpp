#include "operations/handover_channel.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <vector>

#include "core/clock.hpp"

namespace meadowyard::operations {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Millis kStateTimeout = 3000;  // the platform gives a new process 6 s to serve

// Only processes of the same user may take a gateway over.
bool SameUser(int link) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(link, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::getuid();
}

sockaddr_un Address(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path, path.data(), std::min(path.size(), sizeof address.sun_path - 1));
  return address;
}

}  // namespace

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

bool SendMessage(int link, HandoverMessage::Kind kind, std::string_view text, int descriptor, int second) {
  char mark = static_cast<char>(kind);
  iovec parts[2] = {{&mark, 1}, {const_cast<char*>(text.data()), text.size()}};
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = 2;
  const int both[2] = {descriptor, second};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof both)] = {};
  if (descriptor >= 0) {
    const std::size_t size = second >= 0 ? sizeof both : sizeof descriptor;
    message.msg_control = control;
    message.msg_controllen = CMSG_SPACE(size);
    cmsghdr* const head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(size);
    std::memcpy(CMSG_DATA(head), both, size);
  }
  return ::sendmsg(link, &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0;
}

std::optional<HandoverMessage> ReceiveMessage(int link, bool& ended) {
  std::vector<char> text(kMaxMessageText + 1);
  iovec part = {text.data(), text.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(2 * sizeof(int))] = {};
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t got = ::recvmsg(link, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (got <= 0) {
    ended = got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    return std::nullopt;
  }
  HandoverMessage received;
  received.kind = static_cast<HandoverMessage::Kind>(text[0]);
  received.text.assign(text.data() + 1, static_cast<std::size_t>(got - 1));
  const cmsghdr* const head = CMSG_FIRSTHDR(&message);
  if (head != nullptr && head->cmsg_type == SCM_RIGHTS) {
    int both[2] = {-1, -1};
    std::memcpy(both, CMSG_DATA(head),
                std::min(sizeof both, static_cast<std::size_t>(head->cmsg_len - CMSG_LEN(0))));
    received.descriptor = Descriptor(both[0]);
    received.second_descriptor = Descriptor(both[1]);
  }
  return received;
}

struct HandoverChannel::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, Descriptor fd) : socket(io, fd.release()) {}

  void Wait() {
    socket.async_wait(asio::posix::stream_descriptor::wait_read, [self = shared_from_this()](error_code ec) {
      if (!ec) self->Read();
    });
  }

  void Read() {
    bool over = false;
    while (auto message = ReceiveMessage(socket.native_handle(), over)) {
      handlers.got(std::move(*message));
      if (!socket.is_open()) return;
    }
    if (!over) return Wait();
    error_code ignored;
    socket.close(ignored);
    const auto ended = handlers.ended;  // it may be the end of this link
    ended();
  }

  asio::posix::stream_descriptor socket;
  Handlers handlers;
};

HandoverChannel::HandoverChannel(asio::io_context& io, Descriptor socket)
    : state_(std::make_shared<State>(io, std::move(socket))) {}

HandoverChannel::~HandoverChannel() {
  error_code ignored;
  state_->socket.close(ignored);
}

void HandoverChannel::Listen(Handlers handlers) {
  state_->handlers = std::move(handlers);
  state_->Wait();
}

bool HandoverChannel::Send(HandoverMessage::Kind kind, std::string_view text, int descriptor, int second) {
  return state_->socket.is_open() &&
         SendMessage(state_->socket.native_handle(), kind, text, descriptor, second);
}

std::optional<PredecessorState> RequestPredecessorState(const std::string& path) {
  if (path.empty()) return std::nullopt;
  Descriptor link(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  const sockaddr_un address = Address(path);
  if (!link || ::connect(link.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      !SameUser(link.get())) {
    return std::nullopt;
  }
  PredecessorState predecessor;
  for (const Millis until = core::Now() + kStateTimeout; core::Now() < until;) {
    pollfd wait = {link.get(), POLLIN, 0};
    ::poll(&wait, 1, static_cast<int>(std::max(1.0, until - core::Now())));
    bool ended = false;
    while (auto message = ReceiveMessage(link.get(), ended)) {
      if (message->kind == HandoverMessage::Kind::kTunnelListener) {
        predecessor.tunnel_listeners[message->text] = std::move(message->descriptor);
        continue;
      }
      if (message->descriptor) predecessor.client_listener = std::move(message->descriptor);
      predecessor.state += message->text;
      if (message->kind != HandoverMessage::Kind::kStateComplete) continue;
      if (!predecessor.client_listener) return std::nullopt;
      predecessor.channel = std::move(link);
      return predecessor;
    }
    if (ended) return std::nullopt;
  }
  return std::nullopt;
}

SuccessorListener::SuccessorListener(asio::io_context& io, std::string path,
                                     std::function<void(Descriptor)> asked)
    : path_(std::move(path)), asked_(std::move(asked)), listener_(io) {}

SuccessorListener::~SuccessorListener() = default;

bool SuccessorListener::Listen() {
  const std::string made = path_ + ".new";
  ::unlink(made.c_str());
  Descriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_un address = Address(made);
  if (!socket || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::chmod(made.c_str(), 0600) != 0 || ::listen(socket.get(), 4) != 0 ||
      std::rename(made.c_str(), path_.c_str()) != 0) {
    return false;
  }
  Close();
  error_code ec;
  listener_.assign(socket.release(), ec);
  if (!ec) Accept();
  return !ec;
}

void SuccessorListener::Close() {
  error_code ignored;
  listener_.close(ignored);
}

void SuccessorListener::Accept() {
  listener_.async_wait(asio::posix::stream_descriptor::wait_read, [this](error_code ec) {
    if (ec || !listener_.is_open()) return;
    Descriptor link(::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (link && SameUser(link.get())) asked_(std::move(link));
    if (listener_.is_open()) Accept();
  });
}

}  // namespace meadowyard::operations
