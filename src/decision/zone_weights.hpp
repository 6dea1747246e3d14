/// @file
/// Computes how much of a gateway's traffic each zone gets, from the agreed state of the zones.
#ifndef MEADOWYARD_DECISION_ZONE_WEIGHTS_HPP_
#define MEADOWYARD_DECISION_ZONE_WEIGHTS_HPP_

#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

struct ZoneWeights {
  std::vector<Policy::ZoneWeight>
      weights;                ///< Of the requests of a gateway in the own zone; that zone first.
  double overflow_share = 0;  ///< Of its requests, that no zone has capacity for.
};

/// All gateways compute alike, each for its own zone: what that can't serve goes first where there is
/// capacity in its region, then wherever there is any. What finds none stays; where the own zone has failed
/// it is rejected, for it would overload the zones that are left. Empty if routing by zone is off, or the own
/// zone is not among those agreed on.
ZoneWeights ComputeZoneWeights(const ZoneRoutingSettings& settings, const ZoneAgreement& agreement,
                               const std::string& own_zone);

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ZONE_WEIGHTS_HPP_
