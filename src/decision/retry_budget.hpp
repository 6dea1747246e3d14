/// @file
/// The retry budget: first attempts earn a share of a retry each, so that retries can't multiply the load.
#ifndef MEADOWYARD_DECISION_RETRY_BUDGET_HPP_
#define MEADOWYARD_DECISION_RETRY_BUDGET_HPP_

#include <algorithm>

namespace meadowyard::decision {

class RetryBudget {
 public:
  /// A request has arrived.
  void Earn() { balance_ = std::min(balance_ + kRetriesPerRequest, kMaxBalance); }
  [[nodiscard]] bool CanAfford(double price) const { return balance_ >= price; }
  void Spend(double price) { balance_ -= price; }

 private:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxBalance = 20;  // retries

  double balance_ = 1;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_RETRY_BUDGET_HPP_
