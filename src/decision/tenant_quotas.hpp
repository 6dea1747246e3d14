/// @file
/// Quotas of tenants: a token bucket each, for this gateway's part of the quota.
///
/// A quota is of first attempts. Retries take nothing of it: a tenant within its quota whose requests were
/// rejected would seem to be over it, and be rejected the more. They have a bucket of the same size, or
/// whoever marks all requests as retries would have no bound.
#ifndef MEADOWYARD_DECISION_TENANT_QUOTAS_HPP_
#define MEADOWYARD_DECISION_TENANT_QUOTAS_HPP_

#include <string>
#include <unordered_map>
#include <vector>

#include "decision/gateway_membership.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class TenantQuotas {
 public:
  /// `membership` outlives it.
  explicit TenantQuotas(const GatewayMembership& membership) : membership_(membership) {}

  /// What tenants have used of their quotas stays.
  void Configure(const std::vector<TenantSettings>& tenants);
  /// Whether a request is within its tenant's quota; takes it from there. An unknown tenant has no quota.
  [[nodiscard]] bool Admit(const std::string& tenant_name, bool is_retry, Millis now);

 private:
  struct Bucket {
    double tokens = 0;
    Millis updated_at = 0;

    bool Take(double tokens_per_ms, Millis now);
  };
  struct Tenant {
    double quota_per_s = 0;  // over all gateways
    Bucket first_attempts;
    Bucket retries;
    double share_within_quota = 1;  // of its first attempts, smoothed
  };

  const GatewayMembership& membership_;
  std::unordered_map<std::string, Tenant> tenants_;  // looked up, never iterated
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_TENANT_QUOTAS_HPP_
