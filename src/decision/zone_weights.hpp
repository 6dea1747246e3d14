/// @file
/// Computes the share of a gateway's requests that each zone gets, from the agreed state of the zones.
#ifndef MEADOWYARD_DECISION_ZONE_WEIGHTS_HPP_
#define MEADOWYARD_DECISION_ZONE_WEIGHTS_HPP_

#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

struct ZoneWeights {
  /// Shares of the requests of a gateway in the own zone. The own zone comes first.
  std::vector<Policy::ZoneWeight> weights;
  double overflow_share = 0;  ///< Share of these requests that no zone has capacity for.
};

/// Deterministic: every gateway computes the weights of its own zone from the same agreement. Demand that the
/// own zone can't serve goes to spare capacity in the same region first, then to spare capacity in any zone.
/// The rest stays in the own zone; if that zone has failed, the rest is rejected, because it would overload
/// the remaining zones. Returns no weights if zone routing is disabled, if the agreement doesn't contain the
/// own zone, or if its total capacity is 0.
ZoneWeights ComputeZoneWeights(const ZoneRoutingSettings& settings, const ZoneAgreement& agreement,
                               const std::string& own_zone);

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ZONE_WEIGHTS_HPP_
