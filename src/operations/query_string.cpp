#include "operations/query_string.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace meadowyard::operations {

std::optional<std::string> PercentDecode(std::string_view text) {
  constexpr std::size_t kHexDigitsPerByte = 2;
  constexpr int kHexadecimalBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    if (i + kHexDigitsPerByte >= text.size()) return std::nullopt;
    const char* const first = text.data() + i + 1;
    const char* const last = first + kHexDigitsPerByte;
    unsigned value = 0;
    const auto [end, error] = std::from_chars(first, last, value, kHexadecimalBase);
    if (error != std::errc() || end != last) return std::nullopt;
    decoded += static_cast<char>(value);
    i += kHexDigitsPerByte;
  }
  return decoded;
}

std::optional<std::string> FindQueryParameter(std::string_view query, std::string_view name) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const std::string_view parameter = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), parameter.size() + 1));
    const std::size_t equals = parameter.find('=');
    if (equals == std::string_view::npos || parameter.substr(0, equals) != name) continue;
    if (found) return std::nullopt;
    found = PercentDecode(parameter.substr(equals + 1));
    if (!found || found->empty()) return std::nullopt;
  }
  return found;
}

}  // namespace meadowyard::operations
