/// @file
/// Bounds-checked reading of CBOR (RFC 8949) messages from other gateways. Every length, count and number is
/// limited by the caller, so that no datagram can make the reader allocate memory or compute without bound.
#ifndef MEADOWYARD_COORDINATION_CBOR_READER_HPP_
#define MEADOWYARD_COORDINATION_CBOR_READER_HPP_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowyard::coordination {

/// Decodes one message, whose outermost item has to be a map. Throws ProtocolError if it is longer than
/// `max_size` bytes, is not well-formed, has bytes after its end, or is not a map.
[[nodiscard]] nlohmann::json DecodeCborMap(std::span<const std::uint8_t> bytes, std::size_t max_size);

/// One value of a decoded message. It refers to the message, which has to outlive it. Error messages start
/// with the name of the field that contains the value. All functions except Has throw ProtocolError if the
/// value is missing, is of another type or exceeds a limit.
class CborValue {
 public:
  /// `name` has to outlive this value; use a string literal.
  CborValue(const nlohmann::json& value, std::string_view name) : value_(&value), name_(name) {}

  /// Whether this value is a map that contains `key`.
  [[nodiscard]] bool Has(std::string_view key) const;
  /// The value at `key` of a map. `key` has to outlive the result.
  [[nodiscard]] CborValue Field(std::string_view key) const;
  /// The element of an array at `index`, from 0.
  [[nodiscard]] CborValue Element(std::size_t index) const;
  /// All elements of an array that has at most `max_size`.
  [[nodiscard]] std::vector<CborValue> Elements(std::size_t max_size) const;

  /// A text string of `min_size` to `max_size` bytes.
  [[nodiscard]] std::string Text(std::size_t min_size, std::size_t max_size) const;
  /// An integer from 0 to `max`.
  [[nodiscard]] std::uint64_t Unsigned(std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) const;
  /// An integer from `min` to `max`.
  [[nodiscard]] std::int64_t Integer(std::int64_t min = std::numeric_limits<std::int64_t>::min(),
                                     std::int64_t max = std::numeric_limits<std::int64_t>::max()) const;
  /// An integer or a floating-point number from `min` to `max`; never NaN.
  [[nodiscard]] double Number(double min, double max) const;

 private:
  [[noreturn]] void Fail(std::string_view expected) const;

  const nlohmann::json* value_;
  std::string_view name_;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_CBOR_READER_HPP_
