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
// After a message the next one is awaited without sleeping for this long. Predecessors of earlier versions
// give up as soon as the socket's buffer is full, about three messages ahead of this process.
constexpr Millis kBusyWaitTime = 5;
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

// Receives messages until the state is complete; false if the channel closes or the deadline passes first.
bool ReceiveState(int channel, Millis deadline, PredecessorState& received) {
  Millis busy_wait_until = 0;
  for (Millis now = core::Now(); now < deadline; now = core::Now()) {
    if (now >= busy_wait_until) WaitUntilReadable(channel, deadline);
    ReceiveResult result = ReceiveMessage(channel);
    if (result.status == ReceiveStatus::kClosed) return false;
    if (result.status == ReceiveStatus::kNothingPending) continue;
    const bool complete = result.message.kind == HandoverMessageKind::kStateComplete;
    AddMessage(std::move(result.message), received);
    if (complete) return static_cast<bool>(received.client_listener);
    busy_wait_until = core::Now() + kBusyWaitTime;
  }
  return false;
}

}  // namespace

std::optional<PredecessorState> RequestPredecessorState(const std::string& path) {
  if (path.empty()) return std::nullopt;
  const Millis deadline = core::Now() + kStateTimeout;
  for (;;) {
    PredecessorState received;
    received.channel = ConnectUnixSocket(path);
    if (!received.channel) return std::nullopt;
    if (ReceiveState(received.channel.get(), deadline, received)) return received;
    if (core::Now() + kRetryInterval >= deadline) break;
    std::this_thread::sleep_for(core::ToDuration(kRetryInterval));
  }
  log::Write(log::Level::kWarn, "hot_restart_failed", {{"reason", "state_not_received"}});
  return std::nullopt;
}

}  // namespace meadowyard::operations
