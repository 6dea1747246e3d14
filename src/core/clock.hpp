/// @file
/// The gateway's clock: the monotonic clock plus an offset, fixed at the start, that makes it read Unix time.
#ifndef MEADOWYARD_CLOCK_HPP_
#define MEADOWYARD_CLOCK_HPP_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "meadowyard/policy.hpp"

namespace meadowyard::core {

/// Milliseconds of the monotonic clock, which is the same in all processes of a machine.
inline Millis MonotonicNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// What is added to the monotonic clock so that it reads Unix time: by this process's wall clock at its
/// start, unless AdoptClockOffset has replaced it.
inline Millis& ClockOffset() {
  static Millis offset =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count() -
      MonotonicNow();
  return offset;
}

/// Takes over the offset of the process from which this one takes over the state, or one that is known to be
/// nearer to Unix time than this machine's wall clock. To be called before any time is stored.
inline void AdoptClockOffset(Millis offset) { ClockOffset() = offset; }

/// Milliseconds of Unix time. Never runs backwards, as the policy requires, and compares directly with a
/// host's up_since_ms. The offset is constant: if it were corrected while running, the start time of a host
/// would differ slightly between two lists and look like a restart.
inline Millis Now() { return MonotonicNow() + ClockOffset(); }

/// A duration for asio's timers, which take integers only; negative ones become 0.
inline std::chrono::microseconds ToDuration(Millis ms) {
  return std::chrono::microseconds(ms > 0 ? static_cast<std::int64_t>(ms * 1000) : 0);
}

/// Time and timers of the core; replaced in tests.
class Clock {
 public:
  /// A pending timer; its destructor cancels it.
  class Timer {
   public:
    virtual ~Timer() = default;
  };
  virtual ~Clock() = default;
  virtual Millis Now() = 0;
  /// Calls `callback` once after the delay, unless the returned timer is destroyed before.
  virtual std::unique_ptr<Timer> StartTimer(Millis delay, std::function<void()> callback) = 0;
};

/// The real clock. `io` outlives it and its timers.
class AsioClock : public Clock {
 public:
  explicit AsioClock(boost::asio::io_context& io) : io_(io) {}
  Millis Now() override { return meadowyard::core::Now(); }
  std::unique_ptr<Timer> StartTimer(Millis delay, std::function<void()> callback) override;

 private:
  boost::asio::io_context& io_;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CLOCK_HPP_
