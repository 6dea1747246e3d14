#include "operations/hot_restart_coordinator.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/clock.hpp"
#include "log/log.hpp"

namespace meadowyard::operations {
namespace {

using boost::system::error_code;
using Kind = HandoverMessageKind;

constexpr Millis kDescriptorCountInterval = 100;  // between reports of open descriptors to the successor

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, const std::string& path,
                                             Descriptor predecessor, HotRestartDelegate& delegate)
    : io_(io),
      delegate_(delegate),
      listener_(io, path, [this](Descriptor connection) { OnSuccessorConnected(std::move(connection)); }),
      may_have_successor_(!path.empty()),
      descriptor_count_timer_(io) {
  if (!predecessor) return;
  predecessor_ = std::make_unique<HandoverChannel>(io_, std::move(predecessor));
  predecessor_->Start(
      {.on_message = [this](IncomingMessage message) { OnPredecessorMessage(std::move(message)); },
       .on_closed = [this] { OnPredecessorClosed(); }});
}

void HotRestartCoordinator::StartServing() {
  if (std::exchange(serving_, true)) return;
  if (predecessor_) predecessor_->Send({.kind = Kind::kSuccessorReady});
  if (may_have_successor_ && !listener_.Listen()) {
    log::Write(log::Level::kWarn, "hot_restart_unavailable", {{"reason", "listen_failed"}});
  }
}

// ---- The predecessor -----------------------------------------------------------------------------

void HotRestartCoordinator::OnPredecessorMessage(IncomingMessage message) {
  switch (message.kind) {
    case Kind::kClientConnection:
      return delegate_.AdoptClientConnection(message.text, std::move(message.descriptor));
    case Kind::kHostConnection:
      if (const auto info = ParseHostConnection(message.text)) {
        delegate_.AdoptHostConnection(*info, std::move(message.descriptor));
      }
      return;
    case Kind::kTunnel:
      return delegate_.AdoptTunnel(message.text, std::move(message.descriptor),
                                   std::move(message.second_descriptor));
    case Kind::kDescriptorsHeld:
      return delegate_.OnPredecessorDescriptors(ParseDescriptorCount(message.text));
    case Kind::kMaintenanceStarted:
    case Kind::kMaintenanceEnded:
      if (const auto change = ToMaintenanceChange(message)) {
        delegate_.OnMaintenanceChanged(*change);
        SendToSuccessor(ToMessage(*change));
      }
      return;
    default: return;  // unknown kind, sent by a later version
  }
}

void HotRestartCoordinator::OnPredecessorClosed() {
  predecessor_.reset();
  delegate_.OnPredecessorDescriptors(0);
}

// ---- The successor -------------------------------------------------------------------------------

// Accepts one successor at a time: another process that connects meanwhile is disconnected, and starts
// without a predecessor.
void HotRestartCoordinator::OnSuccessorConnected(Descriptor connection) {
  if (successor_) return;
  if (!SendState(connection.get())) {
    log::Write(log::Level::kWarn, "hot_restart_failed", {{"reason", "state_not_sent"}});
    return;
  }
  successor_ = std::make_unique<HandoverChannel>(io_, std::move(connection));
  successor_->Start({.on_message = [this](const IncomingMessage& message) { OnSuccessorMessage(message); },
                     .on_closed = [this] { OnSuccessorClosed(); }});
}

bool HotRestartCoordinator::SendState(int connection) {
  const std::string state = delegate_.SerializeState();
  int client_listener = delegate_.ClientListener();  // sent with the first part only
  for (std::size_t sent = 0; sent < state.size(); sent += kMaxMessageTextBytes) {
    const std::string_view part = std::string_view(state).substr(sent, kMaxMessageTextBytes);
    if (!SendMessage(connection, {.kind = Kind::kState, .text = part, .descriptor = client_listener})) {
      return false;
    }
    client_listener = -1;
  }
  for (const TunnelListener& listener : delegate_.TunnelListeners()) {
    const OutgoingMessage message = {
        .kind = Kind::kTunnelListener, .text = listener.name, .descriptor = listener.descriptor};
    if (!SendMessage(connection, message)) return false;
  }
  return SendMessage(connection, {.kind = Kind::kStateComplete});
}

void HotRestartCoordinator::OnSuccessorMessage(const IncomingMessage& message) {
  if (message.kind == Kind::kSuccessorReady) return OnSuccessorReady();
  const auto change = ToMaintenanceChange(message);
  if (!change) return;  // unknown kind, sent by a later version
  delegate_.OnMaintenanceChanged(*change);
  if (predecessor_) predecessor_->Send(ToMessage(*change));
}

void HotRestartCoordinator::OnSuccessorReady() {
  if (std::exchange(successor_serving_, true)) return;
  listener_.Close();
  log::Write(log::Level::kInfo, "hot_restart_completed");
  delegate_.OnSuccessorServing();
  SendDescriptorCount();
}

void HotRestartCoordinator::OnSuccessorClosed() {
  successor_.reset();
  if (!std::exchange(successor_serving_, false)) return;
  log::Write(log::Level::kWarn, "hot_restart_abandoned", {{"reason", "successor_ended"}});
  descriptor_count_timer_.cancel();
  delegate_.OnSuccessorLost();
  // If listening fails, the next process to start has no predecessor.
  static_cast<void>(listener_.Listen());
}

void HotRestartCoordinator::SendDescriptorCount() {
  if (!successor_) return;
  const std::string count = FormatDescriptorCount(delegate_.CountDescriptors());
  successor_->Send({.kind = Kind::kDescriptorsHeld, .text = count});
  descriptor_count_timer_.expires_after(core::ToDuration(kDescriptorCountInterval));
  descriptor_count_timer_.async_wait([this](error_code ec) {
    if (!ec) SendDescriptorCount();
  });
}

bool HotRestartCoordinator::SendToSuccessor(const OutgoingMessage& message) {
  return successor_ && successor_->Send(message);
}

bool HotRestartCoordinator::PassClientConnection(std::string_view unread, int connection) {
  return unread.size() <= kMaxMessageTextBytes &&
         SendToSuccessor({.kind = Kind::kClientConnection, .text = unread, .descriptor = connection});
}

bool HotRestartCoordinator::PassHostConnection(const HostConnectionInfo& info, int connection) {
  const std::string text = FormatHostConnection(info);
  return SendToSuccessor({.kind = Kind::kHostConnection, .text = text, .descriptor = connection});
}

bool HotRestartCoordinator::PassTunnel(std::string_view state, int client, int host) {
  return state.size() <= kMaxMessageTextBytes &&
         SendToSuccessor(
             {.kind = Kind::kTunnel, .text = state, .descriptor = client, .second_descriptor = host});
}

void HotRestartCoordinator::ReplicateMaintenance(const MaintenanceChange& change) {
  const OutgoingMessage message = ToMessage(change);
  if (predecessor_) predecessor_->Send(message);
  SendToSuccessor(message);
}

}  // namespace meadowyard::operations
