/// @file
/// The retry budget: limits retries to a fraction of the arriving requests, so that retries can't multiply
/// the load on endpoints that fail or are overloaded.
#ifndef MEADOWYARD_DECISION_RETRY_BUDGET_HPP_
#define MEADOWYARD_DECISION_RETRY_BUDGET_HPP_

#include <algorithm>

namespace meadowyard::decision {

/// Balance of retries that may be sent. Each arriving request adds kRetriesPerRequest to it.
class RetryBudget {
 public:
  /// To be called for each request that arrives.
  void Earn() { balance_ = std::min(balance_ + kRetriesPerRequest, kMaxBalance); }
  /// Whether the balance covers a retry; `cost` is in retries.
  [[nodiscard]] bool CanAfford(double cost) const { return balance_ >= cost; }
  void Spend(double cost) { balance_ -= cost; }

 private:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxBalance = 20;  // retries

  double balance_ = 1;  // retries
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_RETRY_BUDGET_HPP_
