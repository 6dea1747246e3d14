#include "decision/tenant_quotas.hpp"

#include <algorithm>
#include <utility>

namespace meadowyard::decision {
namespace {

constexpr double kMinBurst = 3;  // requests that a tenant may send at once, however small its quota is
constexpr double kMillisPerSecond = 1000;
// Retries are within quota only if at least this share of the tenant's first attempts is.
constexpr double kMinShareWithinQuotaForRetries = 0.9;
constexpr double kFirstAttemptWeight = 0.02;  // of a new first attempt in that share

}  // namespace

void TenantQuotas::Configure(const std::vector<TenantSettings>& tenants) {
  const auto previous = std::exchange(tenants_, {});
  for (const TenantSettings& settings : tenants) {
    Tenant& tenant = tenants_[settings.name];
    if (const auto found = previous.find(settings.name); found != previous.end()) tenant = found->second;
    tenant.quota_per_s = settings.quota_per_s;
  }
}

bool TenantQuotas::Bucket::Take(double tokens_per_ms, Millis now) {
  const double size = std::max(kMinBurst, tokens_per_ms * kMillisPerSecond);
  tokens = std::min(tokens + (now - updated_at) * tokens_per_ms, size);
  updated_at = now;
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

bool TenantQuotas::Admit(const std::string& tenant_name, bool is_retry, Millis now) {
  if (tenants_.empty()) return true;
  const auto found = tenants_.find(tenant_name);
  if (found == tenants_.end()) return false;
  Tenant& tenant = found->second;
  if (tenant.quota_per_s <= 0) return true;
  const double tokens_per_ms = tenant.quota_per_s / membership_.active() / kMillisPerSecond;
  if (is_retry) {
    const bool has_token = tenant.retries.Take(tokens_per_ms, now);
    return has_token && tenant.share_within_quota >= kMinShareWithinQuotaForRetries;
  }
  const bool has_token = tenant.first_attempts.Take(tokens_per_ms, now);
  tenant.share_within_quota += kFirstAttemptWeight * ((has_token ? 1.0 : 0.0) - tenant.share_within_quota);
  return has_token;
}

}  // namespace meadowyard::decision
