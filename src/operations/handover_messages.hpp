/// @file
/// The texts of handover messages that hold more than one value or a number. Versions of the program share
/// them.
#ifndef MEADOWYARD_OPERATIONS_HANDOVER_MESSAGES_HPP_
#define MEADOWYARD_OPERATIONS_HANDOVER_MESSAGES_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "operations/handover_channel.hpp"
#include "operations/maintenance_change.hpp"

namespace meadowyard::operations {

/// Which host an idle connection goes to: the text of HandoverMessageKind::kHostConnection.
struct HostConnectionInfo {
  std::string host_id;
  boost::asio::ip::tcp::endpoint address;
};

/// "ADDRESS:PORT HOST_ID".
std::string FormatHostConnection(const HostConnectionInfo& info);
/// Nothing if the text is malformed.
[[nodiscard]] std::optional<HostConnectionInfo> ParseHostConnection(const std::string& text);

/// The text of HandoverMessageKind::kDescriptorsHeld.
std::string FormatDescriptorCount(std::size_t count);
/// 0 if the text is no number.
[[nodiscard]] std::size_t ParseDescriptorCount(const std::string& text);

/// The message that replicates a change: of kind kMaintenanceStarted or kMaintenanceEnded, with the host's id
/// as its text. It refers to the change, which must outlive it.
OutgoingMessage ToMessage(const MaintenanceChange& change);
/// Nothing if the message is of another kind.
[[nodiscard]] std::optional<MaintenanceChange> ToMaintenanceChange(const IncomingMessage& message);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HANDOVER_MESSAGES_HPP_
