#include "operations/handover_messages.hpp"

#include <cstdlib>

#include "discovery/discovery.hpp"

namespace meadowyard::operations {

std::string FormatHostConnection(const HostConnectionInfo& info) {
  return discovery::FormatAddress(info.address) + ' ' + info.host_id;
}

std::optional<HostConnectionInfo> ParseHostConnection(const std::string& text) {
  const std::size_t space = text.find(' ');
  if (space == std::string::npos) return std::nullopt;
  const auto address = discovery::ParseAddress(text.substr(0, space));
  if (!address) return std::nullopt;
  return HostConnectionInfo{.host_id = text.substr(space + 1), .address = *address};
}

std::string FormatDescriptorCount(std::size_t count) { return std::to_string(count); }

std::size_t ParseDescriptorCount(const std::string& text) {
  constexpr int kDecimalBase = 10;
  return std::strtoul(text.c_str(), nullptr, kDecimalBase);
}

OutgoingMessage ToMessage(const MaintenanceChange& change) {
  const auto kind = change.in_maintenance ? HandoverMessageKind::kMaintenanceStarted
                                          : HandoverMessageKind::kMaintenanceEnded;
  return {.kind = kind, .text = change.host_id};
}

std::optional<MaintenanceChange> ToMaintenanceChange(const IncomingMessage& message) {
  const bool started = message.kind == HandoverMessageKind::kMaintenanceStarted;
  if (!started && message.kind != HandoverMessageKind::kMaintenanceEnded) return std::nullopt;
  return MaintenanceChange{.host_id = message.text, .in_maintenance = started};
}

}  // namespace meadowyard::operations
