/// @file
/// Detects that the process was stalled: stopped by a signal, or not scheduled on a CPU for a while.
#ifndef MEADOWYARD_APP_STALL_DETECTOR_HPP_
#define MEADOWYARD_APP_STALL_DETECTOR_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "core/clock.hpp"

namespace meadowyard::app {

/// Holds attempts back after a stall until the endpoint list is current again.
///
/// After a stall, both clients' requests and endpoint updates are pending in socket buffers, and the event
/// loop may handle a request before the update that removes an endpoint. Changes that discovery has learned
/// of since its last answer are not in the buffers at all. Therefore the first attempt after a stall triggers
/// a poll of discovery, and no attempt is sent until discovery has answered or a time-out has passed. A poll
/// that fails is repeated in that time, because after a stall it may have timed out without a fault of
/// discovery.
class StallDetector {
 public:
  struct Handlers {
    /// Polls discovery on a new connection, unless the current one was opened after `since`. False if this
    /// process doesn't watch discovery, because another process or a peer does.
    std::function<bool(Millis since)> poll_endpoints;
    /// The attempts that were held back may be sent.
    std::function<void()> resume;
  };

  StallDetector(boost::asio::io_context& io, Handlers handlers);

  /// False if the event loop has stalled and the poll of discovery that follows is still pending. The resume
  /// handler is called when that poll has ended.
  [[nodiscard]] bool IsListCurrent();
  /// Discovery has answered.
  void OnDiscoveryAnswered();

 private:
  void ScheduleTick();

  const Handlers handlers_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer poll_timeout_;
  Millis ticked_at_ = core::Now();
  bool polling_ = false;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_STALL_DETECTOR_HPP_
