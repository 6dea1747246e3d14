#include "decision/hashing.hpp"

namespace meadowyard::decision {
namespace {

// The standard FNV-1a offset basis without its last decimal digit. It must not be corrected: the hashes
// define which endpoint a key goes to.
constexpr std::uint64_t kFnvOffsetBasis = 1469598103934665603ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr std::uint64_t kFirstMixFactor = 0xff51afd7ed558ccdULL;
constexpr std::uint64_t kGoldenGamma = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t kSecondMixFactor = 0xd6e8feb86659fd93ULL;
// A double holds 53 bits exactly; the lowest 11 of the 64 are dropped.
constexpr double kTwoToThe53 = 9007199254740992.0;

}  // namespace

std::uint64_t HashId(std::string_view text) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const unsigned char byte : text) hash = (hash ^ byte) * kFnvPrime;
  hash = (hash ^ (hash >> 33)) * kFirstMixFactor;
  return hash ^ (hash >> 33);
}

std::uint64_t HashOptionalId(std::string_view text) { return text.empty() ? 0 : HashId(text) | 1; }

double UnitFraction(std::uint64_t hash) {
  hash *= kGoldenGamma;
  hash = (hash ^ (hash >> 32)) * kSecondMixFactor;
  return (static_cast<double>((hash ^ (hash >> 32)) >> 11) + 0.5) / kTwoToThe53;
}

}  // namespace meadowyard::decision
