// What the core needs of whatever carries requests to hosts.
#ifndef MEADOWYARD_CORE_UPSTREAM_HPP_
#define MEADOWYARD_CORE_UPSTREAM_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/message.hpp"

namespace meadowyard::core {

// One attempt: what is sent, and who is told of its course.
struct AttemptRequest {
  std::shared_ptr<const RequestMessage> message;
  std::shared_ptr<BodySource> body_source;  // of its body, where that is still coming
  Millis deadline = 0;                      // of the whole attempt; with a rest, as long after that is whole
  // Asked once the way to the host is open: whether anyone still waits for the answer.
  std::function<bool()> still_wanted = [] { return true; };
  std::function<void()> on_written = [] {};  // it was written whole
  // Its answer is a long one: the head with the first piece of the body, and the rest. `on_finished` still follows.
  std::function<void(ResponseMessage, std::shared_ptr<BodySource>)> on_response_started;
  // For a tunnel: the way to the host is open, and belongs to whoever is told. `on_finished` does not follow.
  std::function<void(std::unique_ptr<TunnelEndpoint>)> on_tunnel_opened;
  // How it ended; the reply is the host's, if there was one. Called once, perhaps before Start returns.
  std::function<void(AttemptResult, ResponseMessage)> on_finished;
};

class Upstream {
 public:
  virtual ~Upstream() = default;
  // Sends the call unless the host is not to be used any more. Returns a number for Cancel.
  virtual std::uint64_t Start(const std::string& host, AttemptRequest errand) = 0;
  // Ends an attempt that is still out, with kCancelled.
  virtual void Cancel(std::uint64_t attempt) = 0;
  // Ends an attempt of which its host has not been sent all, with kNotSent, and leaves any other alone.
  virtual void CancelIfUnsent(std::uint64_t attempt) = 0;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_UPSTREAM_HPP_
