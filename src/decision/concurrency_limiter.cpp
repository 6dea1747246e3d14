#include "decision/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace meadowyard::decision {
namespace {

// Weight of a new sample in the smoothed latency of an endpoint's kind.
constexpr double kKindLatencyWeight = kLatencyWeight / 2;
// Weight of a new sample in the long-term average, whose minimum is the uncongested latency.
constexpr double kAverageLatencyWeight = 0.02;
// Share of its distance to the current latency by which the uncongested latency rises with each sample.
constexpr double kUncongestedDriftPerSample = 0.001;
constexpr double kKindUncongestedDriftPerSample = kUncongestedDriftPerSample / 4;
// A kind with fewer samples uses its long-term average as its uncongested latency.
constexpr int kMinKindSamples = 20;
// Latency up to this multiple of the uncongested latency is no sign of congestion.
constexpr double kLatencyTolerance = 1.1;
// The same with key affinity, where latency also varies with the key.
constexpr double kKeyAffinityLatencyTolerance = 2;
constexpr double kUtilizationGain = 4;  // decrease of the gradient per unit of excess utilization
constexpr double kMinGradient = 0.2;    // lower bound for the ratio of a target to its limit
// A target exceeds its limit by this times the square root of the limit, so that small limits grow slowly.
constexpr double kGrowthPerSquareRoot = 0.7;
// Each sample moves a limit towards its target by 1 / limit of the distance, but by half of it at most.
constexpr double kMinSamplesToTarget = 2;
constexpr double kInitialLimit = 8;  // requests over all gateways, for an endpoint without measurements
// The same where endpoints report their utilization: the limit grows when reports show spare capacity.
constexpr double kInitialLimitWithLoadReports = 2;
constexpr double kMinLimit = 1;  // requests over all gateways that a congested endpoint is still sent
// Reported utilization of a kind above which requests over quota are restricted.
constexpr double kBusyUtilization = 0.6;
constexpr double kOverQuotaLimitShare = 0.3;  // share of a limit that is open to them then

// Weight of a new sample in an exponential average. While there are few samples it is 1 / samples, which
// makes the average their plain mean.
double SampleWeight(double min_weight, int samples) { return std::max(min_weight, 1.0 / samples); }

}  // namespace

// With key affinity a higher latency counts as uncongested, so the initial limit is higher by the same ratio.
double ConcurrencyLimiter::InitialLimit() const {
  const double limit = reports_.is_utilization_reported()
                           ? kInitialLimitWithLoadReports
                           : kInitialLimit * LatencyTolerance() / kLatencyTolerance;
  return limit / subset_.gateways_per_endpoint();
}

double ConcurrencyLimiter::MinLimit() const { return kMinLimit / subset_.gateways_per_endpoint(); }

double ConcurrencyLimiter::LatencyTolerance() const {
  return settings_.key_affinity ? kKeyAffinityLatencyTolerance : kLatencyTolerance;
}

void ConcurrencyLimiter::Reset(EndpointRecord& endpoint) const {
  endpoint.latency = {};
  endpoint.concurrency.limit = InitialLimit();
  endpoint.concurrency.slots = endpoint.concurrency.limit;
}

bool ConcurrencyLimiter::HasCapacity(const EndpointRecord& endpoint, bool within_quota, Millis now) const {
  if (now < endpoint.concurrency.paused_until) return false;
  const bool is_unrestricted = within_quota || endpoint.kind->utilization < kBusyUtilization;
  const double share = is_unrestricted ? 1 : kOverQuotaLimitShare;
  return endpoint.in_flight < endpoint.concurrency.slots * share;
}

void ConcurrencyLimiter::PauseAfterRejection(EndpointRecord& endpoint, Millis now) const {
  ConcurrencyState& state = endpoint.concurrency;
  state.paused_until = std::max(state.paused_until, now + endpoint.latency.smoothed);
}

void ConcurrencyLimiter::OnAttemptEnded(EndpointRecord& endpoint, Millis latency, Millis now) {
  ConcurrencyState& state = endpoint.concurrency;
  // A limit below 1 means that the endpoint can process fewer requests than there are gateways using it. Each
  // gateway then pauses between two requests, so that it has `limit` requests in flight on average.
  if (state.limit < 1) state.paused_until = now + latency * (1 / state.limit - 1);
  // Rounds at random, again after each attempt. If all gateways rounded up, they would together exceed the
  // endpoint's capacity by up to one request per gateway.
  state.slots = std::max(1.0, std::floor(state.limit + random_.Uniform()));
}

void ConcurrencyLimiter::Measure(EndpointRecord& endpoint, double latency, bool served) {
  LatencyEstimate& own = endpoint.latency;
  LatencyEstimate& kind = endpoint.kind->latency;
  ++own.samples;
  own.smoothed += SampleWeight(kLatencyWeight, own.samples) * (latency - own.smoothed);
  ++kind.samples;
  kind.smoothed += SampleWeight(kKindLatencyWeight, kind.samples) * (latency - kind.smoothed);
  if (served) LearnUncongestedLatency(endpoint, latency);
  if (own.uncongested <= 0) return;
  const double congestion = std::sqrt(own.smoothed / own.uncongested * kind.smoothed / kind.uncongested);
  const double excess_utilization = reports_.ExcessUtilization(endpoint);
  const double gradient =
      std::clamp(std::min(LatencyTolerance() / congestion, 1 - kUtilizationGain * excess_utilization),
                 kMinGradient, 1.0);
  double& limit = endpoint.concurrency.limit;
  const bool may_grow = excess_utilization <= 0 && served;
  const double growth =
      may_grow ? kGrowthPerSquareRoot * std::sqrt(limit / subset_.gateways_per_endpoint()) : 0;
  const double target = limit * gradient + growth;
  const bool is_limit_used = 2.0 * (endpoint.in_flight + 1) >= limit;
  // While the limit is not used, the latency is no evidence that the endpoint can process more requests.
  if (target > limit && !is_limit_used) return;
  limit = std::max(MinLimit(), limit + (target - limit) / std::max(kMinSamplesToTarget, limit));
}

// Updates the uncongested latency of an endpoint and of its kind. An endpoint with few samples combines its
// own average with the uncongested latency of its kind.
void ConcurrencyLimiter::LearnUncongestedLatency(EndpointRecord& endpoint, double latency) const {
  LatencyEstimate& kind = endpoint.kind->latency;
  kind.average += SampleWeight(kAverageLatencyWeight, kind.samples) * (latency - kind.average);
  if (kind.samples < kMinKindSamples || kind.average < kind.uncongested) kind.uncongested = kind.average;
  kind.uncongested += kKindUncongestedDriftPerSample * (kind.average - kind.uncongested);
  LatencyEstimate& own = endpoint.latency;
  own.average += SampleWeight(kAverageLatencyWeight, own.samples) * (latency - own.average);
  const double own_weight = std::min(1.0, own.samples * kAverageLatencyWeight);
  if (own_weight < 1) {
    own.uncongested = own_weight * own.average + (1 - own_weight) * kind.uncongested;
  } else {
    own.uncongested = std::min(own.uncongested, own.average);
  }
  own.uncongested += kUncongestedDriftPerSample * (own.smoothed - own.uncongested);
}

}  // namespace meadowyard::decision
