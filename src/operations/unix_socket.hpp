/// @file
/// Unix sockets that keep message boundaries (SOCK_SEQPACKET), over which two processes of one gateway find
/// each other.
#ifndef MEADOWYARD_OPERATIONS_UNIX_SOCKET_HPP_
#define MEADOWYARD_OPERATIONS_UNIX_SOCKET_HPP_

#include <string>

#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// Connects to the socket at `path`; empty if there is none, or it belongs to a process of another user.
[[nodiscard]] Descriptor ConnectUnixSocket(const std::string& path);

/// Listens at `path`, in place of any process that listens there now, which keeps its socket but is no longer
/// found. Only processes of the same user can connect. Empty if it can't listen.
[[nodiscard]] Descriptor ListenOnUnixSocket(const std::string& path);

/// The next connection to a listening socket; empty if there is none now, or it came from another user's
/// process.
[[nodiscard]] Descriptor AcceptUnixConnection(int listener);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_UNIX_SOCKET_HPP_
