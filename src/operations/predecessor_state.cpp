#include "operations/predecessor_state.hpp"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "core/clock.hpp"
#include "operations/handover_channel.hpp"
#include "operations/unix_socket.hpp"

namespace meadowyard::operations {
namespace {

// Half of the 6 s within which the platform requires a new process to serve.
constexpr Millis kStateTimeout = 3000;
// poll(2) takes integral milliseconds: a shorter wait would be truncated to 0 and not block at all.
constexpr Millis kMinPollTimeout = 1;

void WaitUntilReadable(int socket, Millis deadline) {
  pollfd poll_entry = {socket, POLLIN, 0};
  ::poll(&poll_entry, 1, static_cast<int>(std::max(kMinPollTimeout, deadline - core::Now())));
}

// Adds a message's text and descriptor to the state received so far.
void AddMessage(IncomingMessage message, PredecessorState& received) {
  if (message.kind == HandoverMessageKind::kTunnelListener) {
    received.tunnel_listeners[message.text] = std::move(message.descriptor);
    return;
  }
  if (message.descriptor) received.client_listener = std::move(message.descriptor);
  received.state += message.text;
}

// Receives messages until the state is complete; false if the channel closes or the timeout expires first.
bool ReceiveState(int channel, PredecessorState& received) {
  const Millis deadline = core::Now() + kStateTimeout;
  while (core::Now() < deadline) {
    WaitUntilReadable(channel, deadline);
    ReceiveResult result = ReceiveMessage(channel);
    while (result.status == ReceiveStatus::kReceived) {
      const bool complete = result.message.kind == HandoverMessageKind::kStateComplete;
      AddMessage(std::move(result.message), received);
      if (complete) return true;
      result = ReceiveMessage(channel);
    }
    if (result.status == ReceiveStatus::kClosed) return false;
  }
  return false;
}

}  // namespace

std::optional<PredecessorState> RequestPredecessorState(const std::string& path) {
  if (path.empty()) return std::nullopt;
  PredecessorState received;
  received.channel = ConnectUnixSocket(path);
  if (!received.channel || !ReceiveState(received.channel.get(), received)) return std::nullopt;
  if (!received.client_listener) return std::nullopt;
  return received;
}

}  // namespace meadowyard::operations
