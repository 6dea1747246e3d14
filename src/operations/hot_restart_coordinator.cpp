#include "operations/hot_restart_coordinator.hpp"

#include <cstdlib>
#include <utility>

#include "core/clock.hpp"
#include "discovery/discovery.hpp"
#include "log/log.hpp"

namespace meadowyard::operations {
namespace {

using boost::system::error_code;
using Kind = HandoverMessage::Kind;

constexpr Millis kDescriptorCountInterval = 100;  // from one count of descriptors to the next

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, const std::string& path,
                                             Descriptor before, Handlers handlers)
    : io_(io),
      handlers_(std::move(handlers)),
      server_(io, path, [this](Descriptor socket) { OnSuccessorConnected(std::move(socket)); }),
      may_have_successor_(!path.empty()),
      descriptor_count_timer_(io) {
  if (!before) return;
  predecessor_ = std::make_unique<HandoverChannel>(io_, std::move(before));
  predecessor_->Listen({[this](HandoverMessage message) { OnPredecessorMessage(std::move(message)); },
                        [this] {
                          predecessor_.reset();
                          handlers_.others(0);
                        }});
}

void HotRestartCoordinator::StartServing() {
  if (std::exchange(serving_, true)) return;
  if (predecessor_) predecessor_->Send(Kind::kSuccessorReady, "");
  if (may_have_successor_ && !server_.Listen()) {
    log::Write(log::Level::kWarn, "handover_unreachable",
               {{"text", "the next version will not find this one in $TMPDIR"}});
  }
}

// One at a time: a second one that asks meanwhile is told nothing and starts on its own.
void HotRestartCoordinator::OnSuccessorConnected(Descriptor socket) {
  if (successor_) return;
  const std::string state = handlers_.state();
  std::string_view rest = state;
  bool sent = true;
  for (int listener = handlers_.listener(); sent && !rest.empty(); listener = -1) {
    sent = SendMessage(socket.get(), Kind::kState, rest.substr(0, kMaxMessageText), listener);
    rest.remove_prefix(std::min(rest.size(), kMaxMessageText));
  }
  for (const auto& [key, door] :
       handlers_.doors ? handlers_.doors() : std::vector<std::pair<std::string, int>>()) {
    sent = sent && SendMessage(socket.get(), Kind::kTunnelListener, key, door);
  }
  if (!sent || !SendMessage(socket.get(), Kind::kStateComplete, "")) {
    log::Write(log::Level::kWarn, "handover_failed",
               {{"text", "could not tell the next version what this one knows"}});
    return;
  }
  successor_ = std::make_unique<HandoverChannel>(io_, std::move(socket));
  successor_->Listen({[this](HandoverMessage message) { OnSuccessorMessage(std::move(message)); },
                      [this] { OnSuccessorClosed(); }});
}

void HotRestartCoordinator::OnPredecessorMessage(HandoverMessage message) {
  switch (message.kind) {
    case Kind::kClientConnection: return handlers_.client(message.text, std::move(message.descriptor));
    case Kind::kHostConnection: {
      const std::size_t space = message.text.find(' ');
      const auto address = discovery::ParseAddress(message.text.substr(0, space));
      if (!address || space == std::string::npos) return;
      return handlers_.host(message.text.substr(space + 1), *address, std::move(message.descriptor));
    }
    case Kind::kTunnel:
      return handlers_.tunnel(message.text, std::move(message.descriptor),
                              std::move(message.second_descriptor));
    case Kind::kDescriptorsHeld: return handlers_.others(std::strtoul(message.text.c_str(), nullptr, 10));
    case Kind::kMaintenanceStarted:
    case Kind::kMaintenanceEnded: {
      const bool out = message.kind == Kind::kMaintenanceStarted;
      handlers_.maintained(message.text, out);
      return SendMaintenance(successor_.get(), message.text, out);
    }
    default: return;
  }
}

void HotRestartCoordinator::OnSuccessorMessage(HandoverMessage message) {
  if (message.kind == Kind::kSuccessorReady && !successor_serving_) {
    successor_serving_ = true;
    server_.Close();
    log::Write(log::Level::kInfo, "succeeded", {{"text", "the next version serves"}});
    handlers_.succeeded();
    SendDescriptorCount();
  } else if (message.kind == Kind::kMaintenanceStarted || message.kind == Kind::kMaintenanceEnded) {
    const bool out = message.kind == Kind::kMaintenanceStarted;
    handlers_.maintained(message.text, out);
    SendMaintenance(predecessor_.get(), message.text, out);
  }
}

void HotRestartCoordinator::OnSuccessorClosed() {
  successor_.reset();
  if (!std::exchange(successor_serving_, false)) return;
  log::Write(log::Level::kWarn, "abandoned", {{"text", "the next version has ended; this one serves again"}});
  descriptor_count_timer_.cancel();
  handlers_.abandoned();
  server_.Listen();
}

void HotRestartCoordinator::SendDescriptorCount() {
  if (!successor_) return;
  successor_->Send(Kind::kDescriptorsHeld, std::to_string(handlers_.held()));
  descriptor_count_timer_.expires_after(core::ToDuration(kDescriptorCountInterval));
  descriptor_count_timer_.async_wait([this](error_code ec) {
    if (!ec) SendDescriptorCount();
  });
}

bool HotRestartCoordinator::PassClientConnection(int socket, std::string_view unread) {
  return successor_ && unread.size() <= kMaxMessageText &&
         successor_->Send(Kind::kClientConnection, unread, socket);
}

bool HotRestartCoordinator::PassHostConnection(const std::string& host,
                                               const boost::asio::ip::tcp::endpoint& address, int socket) {
  return successor_ &&
         successor_->Send(Kind::kHostConnection, discovery::FormatAddress(address) + " " + host, socket);
}

bool HotRestartCoordinator::PassTunnel(std::string_view text, int client, int host) {
  return successor_ && text.size() <= kMaxMessageText && successor_->Send(Kind::kTunnel, text, client, host);
}

void HotRestartCoordinator::ReplicateMaintenance(const std::string& host, bool out) {
  SendMaintenance(predecessor_.get(), host, out);
  SendMaintenance(successor_.get(), host, out);
}

void HotRestartCoordinator::SendMaintenance(HandoverChannel* link, const std::string& host, bool out) {
  if (link != nullptr) link->Send(out ? Kind::kMaintenanceStarted : Kind::kMaintenanceEnded, host);
}

}  // namespace meadowyard::operations
