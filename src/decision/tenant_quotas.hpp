/// @file
/// Quotas of tenants: token buckets for each tenant, which admit this gateway's share of its quota.
///
/// A quota limits the first attempts of a tenant's clients. Their retries don't count against it: a tenant
/// within its quota whose requests are rejected would otherwise exceed it by its retries, and be rejected
/// even more. Retries have a bucket of their own of the same size, because a client that marks all requests
/// as retries would be unlimited otherwise.
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
  /// Keeps a reference to `membership`, which must outlive the quotas.
  explicit TenantQuotas(const GatewayMembership& membership) : membership_(membership) {}

  /// Sets the tenants and their quotas. Tenants that are still configured keep the state of
  /// their buckets.
  void Configure(const std::vector<TenantSettings>& tenants);
  /// Whether a request is within its tenant's quota; if a bucket has a token for it, the token is consumed.
  /// Requests of unknown tenants are over quota. Without any configured tenant all requests are within it.
  [[nodiscard]] bool Admit(const std::string& tenant_name, bool is_retry, Millis now);

 private:
  struct Bucket {
    double tokens = 0;
    Millis updated_at = 0;

    /// Refills the bucket and takes a token; returns false if there is none.
    bool Take(double tokens_per_ms, Millis now);
  };
  struct Tenant {
    double quota_per_s = 0;  // requests per second over all gateways; 0: unlimited
    Bucket first_attempts;
    Bucket retries;
    double share_within_quota = 1;  // of its first attempts, smoothed
  };

  const GatewayMembership& membership_;
  std::unordered_map<std::string, Tenant> tenants_;  // never iterated: the order is unspecified
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_TENANT_QUOTAS_HPP_
