/// @file
/// Conversion between values and the texts of handover messages. Different versions of the program exchange
/// these texts, so their formats must never change.
#ifndef MEADOWYARD_OPERATIONS_HANDOVER_MESSAGES_HPP_
#define MEADOWYARD_OPERATIONS_HANDOVER_MESSAGES_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "operations/handover_channel.hpp"
#include "operations/maintenance_change.hpp"

namespace meadowyard::operations {

/// The host of an idle connection: the text of HandoverMessageKind::kHostConnection.
struct HostConnectionInfo {
  std::string host_id;
  boost::asio::ip::tcp::endpoint address;
};

/// Formats as "ADDRESS:PORT HOST_ID".
std::string FormatHostConnection(const HostConnectionInfo& info);
/// std::nullopt if the text is malformed.
[[nodiscard]] std::optional<HostConnectionInfo> ParseHostConnection(const std::string& text);

/// The text of HandoverMessageKind::kDescriptorsHeld.
std::string FormatDescriptorCount(std::size_t count);
/// 0 if the text is not a number.
[[nodiscard]] std::size_t ParseDescriptorCount(const std::string& text);

/// The message that replicates a change: kMaintenanceStarted or kMaintenanceEnded with the host's id as its
/// text. It references the change, which must outlive it.
OutgoingMessage ToMessage(const MaintenanceChange& change);
/// std::nullopt if the message is of another kind.
[[nodiscard]] std::optional<MaintenanceChange> ToMaintenanceChange(const IncomingMessage& message);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HANDOVER_MESSAGES_HPP_
