// The hand-over from one process to the next while clients are served: the way that both find each other, and
// the messages and descriptors that pass between them. What is handed over is for others to say.
#ifndef MEADOWYARD_HANDOVER_HPP_
#define MEADOWYARD_HANDOVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace meadowyard::operations {

// An open descriptor, closed with its owner.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor();

  explicit operator bool() const { return fd_ >= 0; }
  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_ = -1;
};

struct HandoverMessage {
  enum class Kind : char {
    kState = 'S',  // old to new: a piece of what it knows; the first has the clients' listening socket
    kStateComplete = 'E',       // old to new: the state is whole
    kSuccessorReady = 'R',      // new to old: it serves
    kClientConnection = 'C',    // old to new: a client's connection, with what was read of its next request
    kHostConnection = 'H',      // old to new: an idle connection to a host, with that host's id and address
    kDescriptorsHeld = 'D',     // old to new: how many descriptors it still holds
    kMaintenanceStarted = 'O',  // both ways: a host was left out by hand, or put back
    kMaintenanceEnded = 'B',
    kTunnelListener = 'L',  // old to new: another listening socket, by what it is for
    kTunnel = 'T',          // old to new: a tunnel, with the client's descriptor and the host's
  };
  Kind kind = Kind::kStateComplete;
  std::string text;
  Descriptor descriptor, second_descriptor;
};

constexpr std::size_t kMaxMessageText = 72 * 1024;  // longer texts go in pieces; a tunnel has two of 32 KiB

// A message at once, without waiting; false if it can't be sent now.
bool SendMessage(int link, HandoverMessage::Kind kind, std::string_view text, int descriptor = -1,
                 int second = -1);
// The next one, if there is any by now; nothing at the end of the link too, with `ended` set.
std::optional<HandoverMessage> ReceiveMessage(int link, bool& ended);

// One end of a link between two processes.
class HandoverChannel {
 public:
  struct Handlers {
    std::function<void(HandoverMessage)> got;
    std::function<void()> ended;
  };
  HandoverChannel(boost::asio::io_context& io, Descriptor socket);
  ~HandoverChannel();
  void Listen(Handlers handlers);
  bool Send(HandoverMessage::Kind kind, std::string_view text, int descriptor = -1, int second = -1);

 private:
  struct State;
  const std::shared_ptr<State> state_;
};

struct PredecessorState {
  std::string state;
  Descriptor client_listener;                          // the clients'
  std::map<std::string, Descriptor> tunnel_listeners;  // the tunnels', by what they are for
  Descriptor channel;
};
// Asks the process that is found at `path`, if there is one and it answers in time. Waits for it.
std::optional<PredecessorState> RequestPredecessorState(const std::string& path);

// Waits for the next process.
class SuccessorListener {
 public:
  SuccessorListener(boost::asio::io_context& io, std::string path, std::function<void(Descriptor)> asked);
  ~SuccessorListener();
  // From now on the next process finds this one; false if it can't. Takes the place of whoever was found
  // there.
  bool Listen();
  void Close();

 private:
  void Accept();
  const std::string path_;
  const std::function<void(Descriptor)> asked_;
  boost::asio::posix::stream_descriptor listener_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_HANDOVER_HPP_
