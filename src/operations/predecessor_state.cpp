#include "operations/predecessor_state.hpp"

#include <poll.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "core/clock.hpp"
#include "log/log.hpp"
#include "operations/handover_channel.hpp"
#include "operations/unix_socket.hpp"

namespace meadowyard::operations {
namespace {

// Half of the 6 s within which the platform requires a new process to serve.
constexpr Millis kStateTimeout = 3000;
// Between requests, each of which costs the predecessor the serialisation of its state.
constexpr Millis kRetryInterval = 200;
// After the connect and each message, the next one is awaited without sleeping for this long: longer than a
// predecessor takes to serialise its state. Predecessors of earlier versions give up as soon as the socket's
// buffer is full, about three messages ahead of this process.
constexpr Millis kBusyWaitTime = 60;
// Step in which memory for the state is allocated: the state before 3,200 hosts fits into the first.
constexpr std::size_t kStateBufferBytes = 4u << 20;
// poll(2) takes integral milliseconds: a shorter wait would be truncated to 0 and not block at all.
constexpr Millis kMinPollTimeout = 1;

void WaitUntilReadable(int socket, Millis deadline) {
  pollfd poll_entry = {socket, POLLIN, 0};
  ::poll(&poll_entry, 1, static_cast<int>(std::max(kMinPollTimeout, deadline - core::Now())));
}

// Receives the messages of the state. Texts are written where they belong, into memory that was touched
// before, so that receiving takes no longer than sending.
class StateReceiver {
 public:
  explicit StateReceiver(PredecessorState& received) : received_(received), buffer_(kStateBufferBytes, 0) {}

  // Receives messages until the state is complete; false if the channel closes or the deadline passes first.
  bool Receive(Millis deadline) {
    const int channel = received_.channel.get();
    Millis busy_wait_until = core::Now() + kBusyWaitTime;
    for (Millis now = core::Now(); now < deadline; now = core::Now()) {
      if (now >= busy_wait_until) WaitUntilReadable(channel, deadline);
      std::size_t text_size = 0;
      ReceiveResult result = ReceiveMessageInto(channel, buffer_.data() + state_size_, text_size);
      if (result.status == ReceiveStatus::kClosed) return false;
      if (result.status == ReceiveStatus::kNothingPending) continue;
      const bool complete = result.message.kind == HandoverMessageKind::kStateComplete;
      AddMessage(std::move(result.message), text_size);
      if (complete) return true;
      busy_wait_until = core::Now() + kBusyWaitTime;
    }
    return false;
  }
  std::string TakeState() {
    buffer_.resize(state_size_);
    return std::move(buffer_);
  }

 private:
  void AddMessage(IncomingMessage message, std::size_t text_size) {
    if (message.kind == HandoverMessageKind::kTunnelListener) {
      received_.tunnel_listeners[buffer_.substr(state_size_, text_size)] = std::move(message.descriptor);
      return;
    }
    if (message.descriptor) received_.client_listener = std::move(message.descriptor);
    if (message.second_descriptor) received_.request_ids = std::move(message.second_descriptor);
    state_size_ += text_size;
    if (buffer_.size() - state_size_ < kMaxMessageTextBytes)
      buffer_.resize(buffer_.size() + kStateBufferBytes);
  }

  PredecessorState& received_;
  std::string buffer_;  // the state received so far, and space for the next message
  std::size_t state_size_ = 0;
};

}  // namespace

PredecessorSearch FindPredecessor(const std::string& path) {
  PredecessorSearch search;
  if (path.empty()) return search;
  const Millis deadline = core::Now() + kStateTimeout;
  for (;;) {
    PredecessorState received;
    StateReceiver receiver(received);  // allocates before the predecessor is asked
    received.channel = ConnectUnixSocket(path);
    if (!received.channel) break;
    search.found = true;
    if (receiver.Receive(deadline)) {
      received.state = receiver.TakeState();
      search.predecessor = std::move(received);
      return search;
    }
    if (core::Now() + kRetryInterval >= deadline) break;
    std::this_thread::sleep_for(core::ToDuration(kRetryInterval));
  }
  if (search.found) log::Write(log::Level::kWarn, "hot_restart_failed", {{"reason", "state_not_received"}});
  return search;
}

}  // namespace meadowyard::operations
