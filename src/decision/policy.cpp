#include "meadowyard/policy.hpp"

#include <utility>

#include "decision/decision_engine.hpp"

namespace meadowyard {

class Policy::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : engine(std::move(settings), seed) {}

  decision::DecisionEngine engine;
};

Policy::Policy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;

void Policy::Handle(Millis now, const Event& event, std::vector<Action>& actions) {
  impl_->engine.Handle(now, event, actions);
}

bool Policy::IsKnown(const std::string& endpoint) const { return impl_->engine.IsKnown(endpoint); }

bool Policy::IsEligible(const std::string& endpoint, const std::string& request) const {
  return impl_->engine.IsEligible(endpoint, request);
}

Policy::Admission Policy::CheckAdmission(Millis now, const std::string& class_name,
                                         Idempotency idempotency) const {
  return impl_->engine.CheckAdmission(now, class_name, idempotency);
}

Policy::Stats Policy::CollectStats() const { return impl_->engine.CollectStats(); }
Gossip Policy::CollectGossip() const { return impl_->engine.CollectGossip(); }
ZoneLoadReport Policy::CollectZoneLoad() const { return impl_->engine.CollectZoneLoad(); }
std::vector<Policy::ZoneWeight> Policy::ZoneWeights() const { return impl_->engine.zone_weights(); }
LearnedState Policy::Snapshot() const { return impl_->engine.Snapshot(); }

}  // namespace meadowyard
