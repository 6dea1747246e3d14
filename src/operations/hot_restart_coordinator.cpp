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
// Longer than a successor waits for the state (see FindPredecessor). One that has not read it by then
// is disconnected, so that it neither keeps memory in use nor keeps another successor out.
constexpr Millis kStateTransferTimeout = 4000;

// The operator's call has been answered, so the change must not be lost.
void Replicate(HandoverChannel& channel, const MaintenanceChange& change) {
  if (channel.Enqueue(ToMessage(change))) return;
  log::Write(log::Level::kWarn, "maintenance_not_replicated", {{"endpoint", change.host_id}});
}

// `text` is that of HandoverMessageKind::kConfigurationChanged.
void ReplicateConfigurationText(HandoverChannel& channel, const std::string& text) {
  const bool fits = text.size() <= kMaxMessageTextBytes;
  const std::string_view sent_text = fits ? std::string_view(text) : std::string_view();
  if (channel.Enqueue({.kind = Kind::kConfigurationChanged, .text = sent_text})) return;
  log::Write(log::Level::kWarn, "configuration_not_replicated");
}

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, const std::string& path,
                                             Descriptor predecessor, HotRestartDelegate& delegate)
    : io_(io),
      delegate_(delegate),
      listener_(io, path, [this](Descriptor connection) { OnSuccessorConnected(std::move(connection)); }),
      may_have_successor_(!path.empty()),
      state_timer_(io),
      descriptor_count_timer_(io) {
  if (!predecessor) return;
  predecessor_ = std::make_unique<HandoverChannel>(io_, std::move(predecessor));
  predecessor_->Start(
      {.on_message = [this](IncomingMessage message) { OnPredecessorMessage(std::move(message)); },
       .on_closed = [this] { OnPredecessorClosed(); }});
}

void HotRestartCoordinator::StartServing() {
  if (std::exchange(serving_, true)) return;
  if (predecessor_ && !predecessor_->Enqueue({.kind = Kind::kSuccessorReady})) {
    log::Write(log::Level::kWarn, "hot_restart_failed", {{"reason", "ready_not_sent"}});
  }
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
    default: return OnReplicatedChange(message, successor_.get());
  }
}

void HotRestartCoordinator::OnReplicatedChange(const IncomingMessage& message, HandoverChannel* further) {
  if (const auto change = ToMaintenanceChange(message)) {
    delegate_.OnMaintenanceChanged(*change);
    if (further != nullptr) Replicate(*further, *change);
  }
  if (message.kind == Kind::kConfigurationChanged) {
    delegate_.OnConfigurationChanged(ParseConfigurationChange(message.text));
    if (further != nullptr) ReplicateConfigurationText(*further, message.text);
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
  successor_ = std::make_unique<HandoverChannel>(io_, std::move(connection));
  successor_->Start({.on_message = [this](const IncomingMessage& message) { OnSuccessorMessage(message); },
                     .on_closed = [this] { OnSuccessorClosed(); }});
  if (!EnqueueState(*successor_)) return FailStateTransfer();
  StartStateTimer();
}

// Changes to the maintenance of hosts that are made from now on are queued behind the state. The successor
// reads these once it serves; earlier versions take every message before kStateComplete for a part of the
// state.
bool HotRestartCoordinator::EnqueueState(HandoverChannel& channel) {
  const std::string state = delegate_.SerializeState();
  // Both are sent with the first part only. Earlier versions ignore the second descriptor.
  int client_listener = delegate_.ClientListener();
  int request_ids = client_listener >= 0 ? delegate_.RequestIdTable() : -1;
  for (std::size_t sent = 0; sent < state.size(); sent += kMaxMessageTextBytes) {
    const std::string_view part = std::string_view(state).substr(sent, kMaxMessageTextBytes);
    if (!channel.Enqueue({.kind = Kind::kState,
                          .text = part,
                          .descriptor = client_listener,
                          .second_descriptor = request_ids})) {
      return false;
    }
    client_listener = request_ids = -1;
  }
  for (const TunnelListener& listener : delegate_.TunnelListeners()) {
    const OutgoingMessage message = {
        .kind = Kind::kTunnelListener, .text = listener.name, .descriptor = listener.descriptor};
    if (!channel.Enqueue(message)) return false;
  }
  if (!channel.Enqueue({.kind = Kind::kStateComplete})) return false;
  // Earlier versions don't find these hosts in the state.
  for (const std::string& host : delegate_.PoolHostsInMaintenance()) {
    if (!channel.Enqueue({.kind = Kind::kMaintenanceStarted, .text = host})) return false;
  }
  return true;
}

void HotRestartCoordinator::StartStateTimer() {
  state_deadline_ = core::Now() + kStateTransferTimeout;
  state_timer_.expires_after(core::ToDuration(kStateTransferTimeout));
  state_timer_.async_wait([this](error_code ec) {
    // An expired wait for an earlier successor may complete after the timer was set again.
    const bool expired = !ec && core::Now() >= state_deadline_;
    if (expired && successor_ && !successor_serving_ && successor_->HasQueuedMessages()) FailStateTransfer();
  });
}

void HotRestartCoordinator::FailStateTransfer() {
  log::Write(log::Level::kWarn, "hot_restart_failed", {{"reason", "state_not_sent"}});
  successor_.reset();
}

void HotRestartCoordinator::OnSuccessorMessage(const IncomingMessage& message) {
  if (message.kind == Kind::kSuccessorReady) return OnSuccessorReady();
  OnReplicatedChange(message, predecessor_.get());
}

void HotRestartCoordinator::OnSuccessorReady() {
  if (std::exchange(successor_serving_, true)) return;
  listener_.Close();
  log::Write(log::Level::kInfo, "hot_restart_completed");
  delegate_.OnSuccessorServing();
  SendDescriptorCount();
}

void HotRestartCoordinator::OnSuccessorClosed() {
  if (!successor_serving_ && successor_->HasQueuedMessages()) return FailStateTransfer();
  successor_.reset();
  if (!successor_serving_) return;
  descriptor_count_timer_.cancel();
  if (delegate_.IsStopping()) return delegate_.OnSuccessorEndedFirst();
  successor_serving_ = false;
  log::Write(log::Level::kWarn, "hot_restart_abandoned", {{"reason", "successor_ended"}});
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
  if (predecessor_) Replicate(*predecessor_, change);
  if (successor_) Replicate(*successor_, change);
}

void HotRestartCoordinator::ReplicateConfiguration(const ConfigurationChange& change) {
  const std::string text = FormatConfigurationChange(change);
  if (predecessor_) ReplicateConfigurationText(*predecessor_, text);
  if (successor_) ReplicateConfigurationText(*successor_, text);
}

}  // namespace meadowyard::operations
