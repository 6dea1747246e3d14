#include "app/pause_watch.hpp"

#include <utility>

namespace meadowyard {
namespace {

constexpr Millis kTick = 200;
constexpr Millis kPause = 700;   // with the tick due in it less than the 1 s that news may go unheeded
constexpr Millis kEnough = 1000;  // that sends wait for discovery: it may be down, and hosts serve without it

}  // namespace

PauseWatch::PauseWatch(boost::asio::io_context& io, Handlers handlers)
    : handlers_(std::move(handlers)), tick_(io), enough_(io) {
  Tick();
}

void PauseWatch::Tick() {
  ticked_ = Now();
  tick_.expires_after(Span(kTick));
  tick_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    Current();  // first: the pause is known by this tick, too
    Tick();
  });
}

bool PauseWatch::Current() {
  if (asked_) return false;
  if (Now() - ticked_ < kPause) return true;
  // Had the loop been running, the next tick would have been there by then.
  const Millis paused_by = std::exchange(ticked_, Now()) + 2 * kTick;
  if (!handlers_.ask(paused_by)) return true;
  asked_ = true;
  enough_.expires_after(Span(kEnough));
  enough_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Heard();
  });
  return false;
}

void PauseWatch::Heard() {
  if (!std::exchange(asked_, false)) return;
  enough_.cancel();
  handlers_.resume();
}

}  // namespace meadowyard
