#include "app/stall_detector.hpp"

#include <utility>

namespace meadowyard::app {
namespace {

constexpr Millis kTickInterval = 200;
/// Without a tick for this long the process has stalled. Together with kTickInterval, this is less than the
/// 1 s within which an endpoint update must take effect.
constexpr Millis kStallThreshold = 700;
/// How long attempts wait for discovery's answer. Discovery may be down, and the endpoints serve without it.
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
    (void)IsListCurrent();  // before the next tick is scheduled: it may be this call that detects a stall
    ScheduleTick();
  });
}

bool StallDetector::IsListCurrent() {
  if (polling_) return false;
  if (core::Now() - ticked_at_ < kStallThreshold) return true;
  // If the event loop had been running, the next tick would have occurred by this time.
  const Millis latest_stall_start = std::exchange(ticked_at_, core::Now()) + 2 * kTickInterval;
  if (!handlers_.poll_endpoints(latest_stall_start)) return true;
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
