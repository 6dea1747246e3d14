#include "decision/poll_schedule.hpp"

#include <algorithm>

namespace meadowyard::decision {
namespace {

constexpr Millis kMinBackoff = 100;  // ms
// The delay to the next poll is the backoff times a random factor between these two.
constexpr double kMinJitterFactor = 0.5;
constexpr double kMaxJitterFactor = 1.5;

}  // namespace

bool PollSchedule::TakeDue(Millis now) {
  if (!settings_.polls_endpoints || now < next_poll_at_) return false;
  next_poll_at_ = kForever;
  return true;
}

void PollSchedule::OnFailure(Millis now) {
  backoff_ = std::min({std::max(kMinBackoff, backoff_ * 2), settings_.max_poll_interval / 4,
                       kMaxPollBackoff / kMaxJitterFactor});
  next_poll_at_ = now + backoff_ * (kMinJitterFactor + random_.Uniform());
}

}  // namespace meadowyard::decision
