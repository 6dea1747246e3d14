#include "operations/predecessor_state.hpp"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "core/clock.hpp"
#include "operations/handover_channel.hpp"
#include "operations/unix_socket.hpp"

namespace meadowyard::operations {
namespace {

constexpr Millis kStateTimeout = 3000;  // the platform gives a new process 6 s until it has to serve
constexpr Millis kMinPoll = 1;          // poll(2) knows only milliseconds

void WaitUntilReadable(int socket, Millis deadline) {
  pollfd request = {socket, POLLIN, 0};
  ::poll(&request, 1, static_cast<int>(std::max(kMinPoll, deadline - core::Now())));
}

// Adds what a message carries to what has been received so far.
void AddMessage(IncomingMessage message, PredecessorState& received) {
  if (message.kind == HandoverMessageKind::kTunnelListener) {
    received.tunnel_listeners[message.text] = std::move(message.descriptor);
    return;
  }
  if (message.descriptor) received.client_listener = std::move(message.descriptor);
  received.state += message.text;
}

// Receives until the state is complete; false if the channel is closed or the time is up before.
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
