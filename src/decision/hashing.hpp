/// @file
/// The hash by which endpoints are ordered and keys are mapped to endpoints.
///
/// It is not replaced by xxHash, which the subset assignment uses, because it defines which endpoint a key
/// goes to and the order of the endpoints, and gateways of old and new versions have to agree on both.
#ifndef MEADOWYARD_DECISION_HASHING_HPP_
#define MEADOWYARD_DECISION_HASHING_HPP_

#include <cstdint>
#include <string_view>

namespace meadowyard::decision {

/// FNV-1a with a final mixing step. Unlike std::hash, it gives the same value in every process.
std::uint64_t HashId(std::string_view text);

/// HashId with its lowest bit set, or 0 for an empty text; no other text gives 0.
std::uint64_t HashOptionalId(std::string_view text);

/// Whether `optional_hash` (by HashOptionalId) and `hash` (by HashId) are of the same id.
constexpr bool IsHashOf(std::uint64_t optional_hash, std::uint64_t hash) {
  return (hash | 1) == optional_hash;
}

/// Maps a hash to a fraction strictly between 0 and 1.
double UnitFraction(std::uint64_t hash);

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_HASHING_HPP_
