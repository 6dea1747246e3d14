/// @file
/// Interface between the core and the connections that carry attempts to hosts.
#ifndef MEADOWYARD_CORE_UPSTREAM_HPP_
#define MEADOWYARD_CORE_UPSTREAM_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/message.hpp"

namespace meadowyard::core {

/// One attempt: what is sent, and the callbacks that report its progress. A callback may end its own attempt,
/// for example when the client's connection turns out to be reset. An Upstream must therefore keep a
/// callback, with everything that it captured, alive until it has returned.
struct AttemptRequest {
  std::shared_ptr<const RequestMessage> message;
  std::shared_ptr<RequestBody> body_source;  // remainder of a body that is still arriving; null if complete
  /// End of the attempt. Where the body is still arriving, the time that is left when the attempt
  /// starts counts from the completion of the body instead.
  Millis deadline = 0;
  /// A response that has begun by then, and that may be a long one, is streamed instead of awaited. Where the
  /// body is still arriving, it counts from the completion of the body like `deadline`.
  Millis stream_at = 0;
  /// With `body_source`: the attempt also ends this long after RequestBody::EarliestCompleteAt.
  Millis upload_timeout = 0;
  /// Called when the connection to the host is open: whether the attempt is still to be sent.
  std::function<bool()> still_wanted = [] { return true; };
  /// The request was written completely.
  std::function<void()> on_written = [] {};
  /// The response is streamed: its head with the first piece of the body, and the remainder of the body.
  /// `on_finished` still follows.
  std::function<void(ResponseMessage, std::shared_ptr<BodySource>)> on_response_started;
  /// Set for a tunnel alone. The connection to the host is open and its ownership passes to the callee.
  /// `on_finished` does not follow.
  std::function<void(std::unique_ptr<TunnelEndpoint>)> on_tunnel_opened;
  /// How the attempt ended, with the host's response if there was one. Called once, possibly before Start
  /// returns.
  std::function<void(AttemptResult, ResponseMessage)> on_finished;
};

/// Carries attempts to hosts.
class Upstream {
 public:
  virtual ~Upstream() = default;
  /// Starts an attempt, which ends with kNotSent if the host must not be used any more. Returns the id of the
  /// attempt for Cancel and CancelIfUnsent.
  virtual std::uint64_t Start(const std::string& host, AttemptRequest request) = 0;
  /// Ends an attempt that is still in flight, with kCancelled.
  virtual void Cancel(std::uint64_t attempt) = 0;
  /// Ends an attempt that has not been written completely, with kNotSent; any other attempt continues.
  virtual void CancelIfUnsent(std::uint64_t attempt) = 0;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_UPSTREAM_HPP_
