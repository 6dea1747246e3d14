/// @file
/// The hash that ranks endpoints and keys.
///
/// It stays beside xxHash, which the subset assignment uses, because it defines which endpoint a key goes to
/// and how all gateways order the endpoints, old and new versions alike.
#ifndef MEADOWYARD_DECISION_HASHING_HPP_
#define MEADOWYARD_DECISION_HASHING_HPP_

#include <cstdint>
#include <string_view>

namespace meadowyard::decision {

/// FNV-1a with a final mix. The same in every process, which std::hash is not.
std::uint64_t HashId(std::string_view text);

/// HashId of a text that may be missing: 0 stands for an empty text and for nothing else.
std::uint64_t HashOptionalId(std::string_view text);

/// Whether an endpoint's HashId is the one that HashOptionalId gave for its id.
constexpr bool IsHashOf(std::uint64_t optional_hash, std::uint64_t hash) {
  return (hash | 1) == optional_hash;
}

/// A hash as a fraction strictly between 0 and 1.
double UnitFraction(std::uint64_t hash);

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_HASHING_HPP_
