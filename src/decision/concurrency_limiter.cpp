#include "decision/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace meadowyard::decision {
namespace {

constexpr double kKindLatencyWeight = kLatencyWeight / 2;  // of a new sample in the latency of its kind
constexpr double kAverageWeight = 0.02;                    // the same in the average, whose floor is the
                                                           // uncongested latency
constexpr double kUncongestedDrift = 0.001;                // how fast the uncongested latency follows upwards
constexpr double kKindUncongestedDrift = kUncongestedDrift / 4;
constexpr int kMinKindSamples =
    20;                         // below this many the average stands for the uncongested latency of a kind
constexpr double kSlack = 1.1;  // uncongested latency times this is no congestion yet
constexpr double kKeyAffinitySlack = 2;  // the same where latency varies with the keys too
constexpr double kUtilizationGain = 4;   // how hard limits shrink with overuse
constexpr double kMinGradient = 0.2;     // by which one sample shrinks a limit at the most
constexpr double kGrowth = 0.7;          // of a limit, times its root: small endpoints grow little
constexpr double kMinSamplesToMove = 2;  // a limit moves by a part of itself with each sample
constexpr double kInitialLimit = 8;      // requests, over all gateways, of an unmeasured endpoint
constexpr double kInitialReportedLimit =
    2;  // the same where endpoints report: growth follows as they show spare capacity
constexpr double kMinLimit = 1;           // the same, that a congested endpoint keeps
constexpr double kBusyUtilization = 0.6;  // above which traffic over quota is held back
constexpr double kOverQuotaShare = 0.3;   // part of a limit that is open to it then

// Weight of a new sample in an average: the plain mean while there are few.
double WeightOf(double weight, int samples) { return std::max(weight, 1.0 / samples); }

}  // namespace

// An endpoint with key affinity holds more before it is congested, from the start on.
double ConcurrencyLimiter::InitialLimit() const {
  const double limit = reports_.is_reported() ? kInitialReportedLimit : kInitialLimit * Slack() / kSlack;
  return limit / subset_.gateways_per_endpoint();
}

double ConcurrencyLimiter::MinLimit() const { return kMinLimit / subset_.gateways_per_endpoint(); }

double ConcurrencyLimiter::Slack() const { return settings_.key_affinity ? kKeyAffinitySlack : kSlack; }

void ConcurrencyLimiter::Reset(EndpointRecord& endpoint) const {
  endpoint.latency = {};
  endpoint.concurrency.limit = InitialLimit();
  endpoint.concurrency.slots = endpoint.concurrency.limit;
}

bool ConcurrencyLimiter::HasCapacity(const EndpointRecord& endpoint, bool within_quota, Millis now) const {
  if (now < endpoint.concurrency.paused_until) return false;
  const bool all_open = within_quota || endpoint.kind->utilization < kBusyUtilization;
  const double share = all_open ? 1 : kOverQuotaShare;
  return endpoint.in_flight < endpoint.concurrency.slots * share;
}

void ConcurrencyLimiter::PauseAfterRejection(EndpointRecord& endpoint, Millis now) const {
  ConcurrencyState& state = endpoint.concurrency;
  state.paused_until = std::max(state.paused_until, now + endpoint.latency.smoothed);
}

void ConcurrencyLimiter::OnAttemptEnded(EndpointRecord& endpoint, Millis latency, Millis now) {
  ConcurrencyState& state = endpoint.concurrency;
  // A few gateways may have to share an endpoint that takes fewer requests than there are gateways.
  if (state.limit < 1) state.paused_until = now + latency * (1 / state.limit - 1);
  // Drawn anew each time: rounding up would congest an endpoint by a request for each gateway.
  state.slots = std::max(1.0, std::floor(state.limit + random_.Uniform()));
}

void ConcurrencyLimiter::Measure(EndpointRecord& endpoint, double latency, bool served) {
  LatencyEstimate& own = endpoint.latency;
  LatencyEstimate& kind = endpoint.kind->latency;
  ++own.samples;
  own.smoothed += WeightOf(kLatencyWeight, own.samples) * (latency - own.smoothed);
  ++kind.samples;
  kind.smoothed += WeightOf(kKindLatencyWeight, kind.samples) * (latency - kind.smoothed);
  if (served) LearnUncongested(endpoint, latency);
  if (own.uncongested <= 0) return;
  const double congestion = std::sqrt(own.smoothed / own.uncongested * kind.smoothed / kind.uncongested);
  const double overuse = reports_.Overuse(endpoint);
  const double gradient =
      std::clamp(std::min(Slack() / congestion, 1 - kUtilizationGain * overuse), kMinGradient, 1.0);
  double& limit = endpoint.concurrency.limit;
  const bool may_grow = overuse <= 0 && served;
  const double growth = may_grow ? kGrowth * std::sqrt(limit / subset_.gateways_per_endpoint()) : 0;
  const double target = limit * gradient + growth;
  const bool is_used = 2.0 * (endpoint.in_flight + 1) >= limit;
  if (target > limit && !is_used) return;  // no evidence
  limit = std::max(MinLimit(), limit + (target - limit) / std::max(kMinSamplesToMove, limit));
}

void ConcurrencyLimiter::LearnUncongested(EndpointRecord& endpoint, double latency) const {
  LatencyEstimate& kind = endpoint.kind->latency;
  kind.average += WeightOf(kAverageWeight, kind.samples) * (latency - kind.average);
  if (kind.samples < kMinKindSamples || kind.average < kind.uncongested) kind.uncongested = kind.average;
  kind.uncongested += kKindUncongestedDrift * (kind.average - kind.uncongested);
  LatencyEstimate& own = endpoint.latency;
  own.average += WeightOf(kAverageWeight, own.samples) * (latency - own.average);
  const double known = std::min(1.0, own.samples * kAverageWeight);
  if (known < 1) {
    own.uncongested = known * own.average + (1 - known) * kind.uncongested;
  } else {
    own.uncongested = std::min(own.uncongested, own.average);
  }
  own.uncongested += kUncongestedDrift * (own.smoothed - own.uncongested);
}

}  // namespace meadowyard::decision
