/// @file
/// Logs why attempts and clients' connections ended, where the reason is not an ordinary one.
#ifndef MEADOWYARD_APP_END_LOG_HPP_
#define MEADOWYARD_APP_END_LOG_HPP_

#include "app/line_rate_limit.hpp"
#include "core/attempt_end.hpp"
#include "fronts/http/connection_end.hpp"

namespace meadowyard::app {

/// Writes one line for each such end, as far as LineRateLimit allows it for its event. Ordinary ends are
/// written at level debug and without a limit.
class EndLog {
 public:
  void Write(const core::AttemptEnd& end);
  void Write(const ConnectionEnd& end);

 private:
  LineRateLimit attempts_;
  LineRateLimit connections_;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_END_LOG_HPP_
