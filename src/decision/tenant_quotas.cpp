#include "decision/tenant_quotas.hpp"

#include <algorithm>
#include <utility>

namespace meadowyard::decision {
namespace {

constexpr double kMinBurst = 3;  // requests of its quota that a tenant may send at once, at the least
constexpr double kMillisPerSecond = 1000;
// Tenants with this share of their first attempts within their quota: so are their retries.
constexpr double kMinShareForRetries = 0.9;
constexpr double kShareWeight = 0.02;  // of a first attempt in that share

}  // namespace

void TenantQuotas::Configure(const std::vector<TenantSettings>& tenants) {
  const auto before = std::exchange(tenants_, {});
  for (const TenantSettings& settings : tenants) {
    Tenant& tenant = tenants_[settings.name];
    if (const auto found = before.find(settings.name); found != before.end()) tenant = found->second;
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
    return has_token && tenant.share_within_quota >= kMinShareForRetries;
  }
  const bool has_token = tenant.first_attempts.Take(tokens_per_ms, now);
  tenant.share_within_quota += kShareWeight * ((has_token ? 1.0 : 0.0) - tenant.share_within_quota);
  return has_token;
}

}  // namespace meadowyard::decision
