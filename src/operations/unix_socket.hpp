/// @file
/// Unix sockets that preserve message boundaries (SOCK_SEQPACKET), which connect two processes of one
/// gateway.
#ifndef MEADOWYARD_OPERATIONS_UNIX_SOCKET_HPP_
#define MEADOWYARD_OPERATIONS_UNIX_SOCKET_HPP_

#include <string>

#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// Connects to the socket at `path`; empty on failure, or if the process that listens there is another
/// user's.
[[nodiscard]] Descriptor ConnectUnixSocket(const std::string& path);

/// Listens at `path`, replacing any process that listens there: that process keeps its socket, but new
/// connections no longer reach it. Only processes of the same user can connect. Empty on failure.
[[nodiscard]] Descriptor ListenOnUnixSocket(const std::string& path);

/// Accepts the next connection without blocking; empty if none is pending, or if it came from another user's
/// process.
[[nodiscard]] Descriptor AcceptUnixConnection(int listener);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_UNIX_SOCKET_HPP_
