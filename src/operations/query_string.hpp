/// @file
/// Parsing of a request target's query component (RFC 3986, section 3.4) in the format
/// application/x-www-form-urlencoded.
#ifndef MEADOWYARD_OPERATIONS_QUERY_STRING_HPP_
#define MEADOWYARD_OPERATIONS_QUERY_STRING_HPP_

#include <optional>
#include <string>
#include <string_view>

namespace meadowyard::operations {

/// Decodes "%XX", and "+" to a space; std::nullopt if the text is malformed.
[[nodiscard]] std::optional<std::string> PercentDecode(std::string_view text);

/// The decoded value of the parameter `name` in "NAME=VALUE&..."; std::nullopt if it is missing, empty,
/// malformed or given more than once.
[[nodiscard]] std::optional<std::string> FindQueryParameter(std::string_view query, std::string_view name);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_QUERY_STRING_HPP_
