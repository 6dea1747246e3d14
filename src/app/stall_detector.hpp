/// @file
/// Notices that the process stood still: stopped by a signal, or without its core for a while.
#ifndef MEADOWYARD_APP_STALL_DETECTOR_HPP_
#define MEADOWYARD_APP_STALL_DETECTOR_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "core/clock.hpp"

namespace meadowyard::app {

/// Keeps requests back after a stall until the endpoint list is current again.
///
/// After a stall, clients' requests and endpoint updates lie side by side in sockets, and whichever is read
/// first is handled first; what discovery has learned since its last answer is not even there. So the first
/// attempt after a stall causes a poll of discovery, and nothing is sent until discovery has answered or a
/// time-out has passed. A poll that fails is repeated meanwhile: after a stall its time may have run out for
/// no fault of discovery.
class StallDetector {
 public:
  struct Handlers {
    /// Polls discovery unless it was polled after `since`. False if another process or a peer polls it.
    std::function<bool(Millis since)> poll_endpoints;
    /// What was kept back may be sent.
    std::function<void()> resume;
  };

  StallDetector(boost::asio::io_context& io, Handlers handlers);

  /// Whether the endpoint list is no older than the last turn of the event loop. If it is not, the resume
  /// handler follows.
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
