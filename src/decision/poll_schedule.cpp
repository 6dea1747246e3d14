#include "decision/poll_schedule.hpp"

#include <algorithm>

namespace meadowyard::decision {
namespace {

constexpr Millis kFirstBackoff = 100;  // ms
constexpr double kMinJitter = 0.5;     // of a backoff; up to as much again and a half
constexpr double kMaxJitter = 1.5;

}  // namespace

bool PollSchedule::TakeDue(Millis now) {
  if (!settings_.polls_endpoints || now < next_poll_) return false;
  next_poll_ = kForever;
  return true;
}

void PollSchedule::OnFailure(Millis now) {
  backoff_ = std::min(
      {std::max(kFirstBackoff, backoff_ * 2), settings_.max_poll_interval / 4, kMaxPollBackoff / kMaxJitter});
  next_poll_ = now + backoff_ * (kMinJitter + random_.Uniform());
}

}  // namespace meadowyard::decision
