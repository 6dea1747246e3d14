#include "coordination/cbor_reader.hpp"

#include <exception>
#include <nlohmann/json.hpp>

#include "meadowyard/error.hpp"

namespace meadowyard::coordination {

using nlohmann::json;

json DecodeCborMap(std::span<const std::uint8_t> bytes, std::size_t max_size) {
  if (bytes.size() > max_size) throw ProtocolError("message is too long");
  json message;
  try {
    message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const std::exception&) {  // even without allow_exceptions: a declared length may exceed the memory
    throw ProtocolError("message is not well-formed CBOR");
  }
  if (!message.is_object()) throw ProtocolError("message is not a CBOR map");
  return message;
}

void CborValue::Fail(std::string_view expected) const {
  throw ProtocolError(std::string(name_) + ": expected " + std::string(expected));
}

bool CborValue::Has(std::string_view key) const {
  return value_->is_object() && value_->find(key) != value_->end();
}

CborValue CborValue::Field(std::string_view key) const {
  if (!Has(key)) throw ProtocolError(std::string(key) + ": missing");
  return {*value_->find(key), key};
}

CborValue CborValue::Element(std::size_t index) const {
  if (!value_->is_array() || index >= value_->size()) Fail("an array with more elements");
  return {(*value_)[index], name_};
}

std::vector<CborValue> CborValue::Elements(std::size_t max_size) const {
  if (!value_->is_array() || value_->size() > max_size) Fail("an array within the size limit");
  std::vector<CborValue> elements;
  elements.reserve(value_->size());
  for (const json& element : *value_) elements.emplace_back(element, name_);
  return elements;
}

std::string CborValue::Text(std::size_t min_size, std::size_t max_size) const {
  if (!value_->is_string()) Fail("a text string");
  const auto& text = value_->get_ref<const std::string&>();
  if (text.size() < min_size || text.size() > max_size) Fail("a text string of a permitted length");
  return text;
}

std::uint64_t CborValue::Unsigned(std::uint64_t max) const {
  if (!value_->is_number_unsigned() || value_->get<std::uint64_t>() > max)
    Fail("an unsigned integer in range");
  return value_->get<std::uint64_t>();
}

std::int64_t CborValue::Integer(std::int64_t min, std::int64_t max) const {
  if (!value_->is_number_integer()) Fail("an integer");
  // A positive integer is stored as unsigned, and may exceed the range of std::int64_t.
  if (value_->is_number_unsigned() &&
      value_->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
    Fail("an integer in range");
  }
  const auto integer = value_->get<std::int64_t>();
  if (integer < min || integer > max) Fail("an integer in range");
  return integer;
}

double CborValue::Number(double min, double max) const {
  if (!value_->is_number()) Fail("a number");
  const double number = value_->get<double>();
  const bool in_range = number >= min && number <= max;  // false for NaN
  if (!in_range) Fail("a number in range");
  return number;
}

}  // namespace meadowyard::coordination
