/// @file
/// Failures of system calls that say something about this machine and nothing about the host.
#ifndef MEADOWYARD_UPSTREAM_LOCAL_FAILURE_HPP_
#define MEADOWYARD_UPSTREAM_LOCAL_FAILURE_HPP_

#include <boost/system/error_code.hpp>
#include <cerrno>

namespace meadowyard {

/// Whether opening or connecting a socket failed for a lack of local resources or of a route, or was
/// interrupted.
inline bool IsLocalFailure(const boost::system::error_code& ec) {
  if (ec.category() != boost::system::system_category()) return false;
  switch (ec.value()) {
    case EADDRNOTAVAIL:
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENETDOWN:
    case ENETUNREACH:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM: return true;
    default: return false;
  }
}

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_LOCAL_FAILURE_HPP_
