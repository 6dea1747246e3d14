#include "operations/unix_socket.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>

namespace meadowyard::operations {
namespace {

constexpr int kListenBacklog = 4;    // connections: one successor, and a few processes started by mistake
constexpr mode_t kOwnerOnly = 0600;  // permissions of the socket's file
constexpr const char* kNewSocketSuffix = ".new";  // appended to a socket's path until it listens

bool BelongsToSameUser(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::getuid();
}

sockaddr_un ToAddress(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path, path.data(), std::min(path.size(), sizeof address.sun_path - 1));
  return address;
}

const sockaddr* ToGenericAddress(const sockaddr_un& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

Descriptor ConnectUnixSocket(const std::string& path) {
  Descriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  const sockaddr_un address = ToAddress(path);
  if (!socket) return Descriptor();
  int result = ::connect(socket.get(), ToGenericAddress(address), sizeof address);
  while (result != 0 && errno == EINTR)
    result = ::connect(socket.get(), ToGenericAddress(address), sizeof address);
  if (result != 0) return Descriptor();
  return BelongsToSameUser(socket.get()) ? std::move(socket) : Descriptor();
}

Descriptor ListenOnUnixSocket(const std::string& path) {
  // Bound under a temporary name and renamed once it listens, so that a connection to `path` never fails
  // because the socket doesn't listen yet.
  const std::string new_path = path + kNewSocketSuffix;
  ::unlink(new_path.c_str());
  Descriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_un address = ToAddress(new_path);
  const bool listens = socket && ::bind(socket.get(), ToGenericAddress(address), sizeof address) == 0 &&
                       ::chmod(new_path.c_str(), kOwnerOnly) == 0 &&
                       ::listen(socket.get(), kListenBacklog) == 0 &&
                       std::rename(new_path.c_str(), path.c_str()) == 0;
  return listens ? std::move(socket) : Descriptor();
}

Descriptor AcceptUnixConnection(int listener) {
  Descriptor socket(::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
  return socket && BelongsToSameUser(socket.get()) ? std::move(socket) : Descriptor();
}

}  // namespace meadowyard::operations
