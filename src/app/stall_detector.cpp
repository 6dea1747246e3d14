#include "app/stall_detector.hpp"

#include <utility>

namespace meadowyard::app {
namespace {

constexpr Millis kTickInterval = 200;
/// Without a tick for this long the process has stalled. With the tick that was due in it, this is less than
/// the second that an endpoint update may go unheeded.
constexpr Millis kStallThreshold = 700;
/// How long attempts wait for discovery: it may be down, and endpoints serve without it.
constexpr Millis kPollTimeout = 1000;

}  // namespace

StallDetector::StallDetector(boost::asio::io_context& io, Handlers handlers)
    : handlers_(std::move(handlers)), tick_(io), poll_timeout_(io) {
  ScheduleTick();
}

void StallDetector::ScheduleTick() {
  ticked_at_ = core::Now();
  tick_.expires_after(core::ToDuration(kTickInterval));
  tick_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    (void)IsListCurrent();  // before the next tick: a stall may be noticed here first
    ScheduleTick();
  });
}

bool StallDetector::IsListCurrent() {
  if (polling_) return false;
  if (core::Now() - ticked_at_ < kStallThreshold) return true;
  // Had the event loop been running, the next tick would have come by then.
  const Millis stalled_by = std::exchange(ticked_at_, core::Now()) + 2 * kTickInterval;
  if (!handlers_.poll_endpoints(stalled_by)) return true;
  polling_ = true;
  poll_timeout_.expires_after(core::ToDuration(kPollTimeout));
  poll_timeout_.async_wait([this](boost::system::error_code ec) {
    if (!ec) OnDiscoveryAnswered();
  });
  return false;
}

void StallDetector::OnDiscoveryAnswered() {
  if (!std::exchange(polling_, false)) return;
  poll_timeout_.cancel();
  handlers_.resume();
}

}  // namespace meadowyard::app
