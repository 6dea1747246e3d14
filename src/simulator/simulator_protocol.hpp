/// @file
/// The text protocol of the simulator: lines of words that are separated by one space; "-" marks an absent
/// value.
#ifndef MEADOWYARD_SIMULATOR_SIMULATOR_PROTOCOL_HPP_
#define MEADOWYARD_SIMULATOR_SIMULATOR_PROTOCOL_HPP_

#include <charconv>
#include <cmath>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>
#include <vector>

#include "meadowyard/error.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::simulator {

/// The words of a line, the parts of a key, the items of a list. Views into the text.
using Words = std::vector<std::string_view>;

/// A line that violates the protocol; what() describes the violation.
class SimulatorProtocolError : public ProtocolError {
 public:
  using ProtocolError::ProtocolError;
};

/// Splits a text; `words` is cleared first.
void Split(std::string_view text, char separator, Words& words);

/// The word at `index`, or empty where it is absent or the line ends before it.
std::string_view OptionalWord(const Words& words, std::size_t index);
/// The word at `index`. Throws SimulatorProtocolError naming `word_name` if there is none.
std::string_view RequiredWord(const Words& words, std::size_t index, const char* word_name);

/// Parses "1" or "true", "0" or "false". Throws SimulatorProtocolError naming `word_name` on any other text.
bool ParseFlag(std::string_view text, const char* word_name);

/// Parses the complete text as a finite number. Throws SimulatorProtocolError naming `word_name` if it is
/// none.
template <typename Number>
Number ParseNumber(std::string_view text, const char* word_name) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  bool is_valid = error == std::errc() && end == text.data() + text.size();
  if constexpr (std::is_floating_point_v<Number>) is_valid = is_valid && std::isfinite(value);
  if (!is_valid) {
    throw SimulatorProtocolError(std::string(word_name) + " is not a number: '" + std::string(text) + "'");
  }
  return value;
}

/// The number at `index`, or `default_value` where it is absent.
template <typename Number>
Number OptionalNumber(const Words& words, std::size_t index, const char* word_name, Number default_value) {
  const std::string_view text = OptionalWord(words, index);
  return text.empty() ? default_value : ParseNumber<Number>(text, word_name);
}

template <typename Number>
Number RequiredNumber(const Words& words, std::size_t index, const char* word_name) {
  return ParseNumber<Number>(RequiredWord(words, index, word_name), word_name);
}

/// Parses an ENTRY line: one endpoint of a list.
Endpoint ParseEndpoint(const Words& words);
/// Parses the result code of an attempt.
AttemptResult ParseResult(std::string_view code);
/// Parses a load report; absent values become NaN.
std::vector<double> ParseLoad(std::string_view text);

/// Appends an action as one line, with its newline.
void PrintAction(const Action& action, std::string& output);

}  // namespace meadowyard::simulator

#endif  // MEADOWYARD_SIMULATOR_SIMULATOR_PROTOCOL_HPP_
