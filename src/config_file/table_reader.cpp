#include "config_file/table_reader.hpp"

#include <utility>

#include "discovery/discovery.hpp"
#include "meadowyard/error.hpp"

namespace meadowyard::config_file {
namespace {

// Decimal notation without trailing zeros.
std::string FormatDecimal(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) text.pop_back();
  return text;
}

}  // namespace

TableReader::TableReader(const toml::table& table, std::string path, std::string name)
    : table_(table), path_(std::move(path)), name_(std::move(name)) {}

std::string TableReader::ReadString(std::string_view key, std::optional<std::string> fallback) {
  const toml::node* const node = Find(key, !fallback.has_value());
  if (node == nullptr) return *fallback;
  if (const auto* const value = node->as_string()) return value->get();
  Fail(key, "must be a text");
}

std::vector<std::string> TableReader::ReadStrings(std::string_view key) {
  const toml::array* const list = Find(key, true)->as_array();
  if (list == nullptr || list->empty()) Fail(key, "must be a list of texts");
  std::vector<std::string> strings;
  for (const toml::node& item : *list) {
    if (!item.is_string()) FailAt(item.source().begin.line, key, "must be a list of texts");
    strings.push_back(item.as_string()->get());
  }
  return strings;
}

bool TableReader::ReadBool(std::string_view key, bool fallback) {
  const toml::node* const node = Find(key, false);
  if (node == nullptr) return fallback;
  if (const auto* const value = node->as_boolean()) return value->get();
  Fail(key, "must be true or false");
}

double TableReader::ReadNumber(std::string_view key, std::optional<double> fallback, Range range) {
  const toml::node* const node = Find(key, !fallback.has_value());
  if (node == nullptr) return *fallback;
  const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
  const bool in_range = value && *value >= range.min && *value <= range.max;  // also false for NaN
  if (!in_range) {
    Fail(key, "must be a number from " + FormatDecimal(range.min) + " to " + FormatDecimal(range.max));
  }
  return *value;
}

std::size_t TableReader::ReadCount(std::string_view key, std::size_t fallback, Range range) {
  const double value = ReadNumber(key, static_cast<double>(fallback), range);
  const auto count = static_cast<std::size_t>(value);
  if (value != static_cast<double>(count)) Fail(key, "must be a whole number");
  return count;
}

boost::asio::ip::tcp::endpoint TableReader::ReadAddress(std::string_view key) {
  const std::string text = ReadString(key);
  const auto address = discovery::ParseAddress(text);
  if (!address) Fail(key, "'" + text + "' is not an address and port");
  return *address;
}

std::optional<TableReader> TableReader::ReadTable(std::string_view key) {
  const toml::node* const node = Find(key, false);
  if (node == nullptr) return std::nullopt;
  if (!node->is_table()) Fail(key, "must be a table");
  return TableReader(*node->as_table(), path_, QualifiedName(key));
}

void TableReader::ReadTables(std::string_view key, const std::function<void(TableReader&)>& read) {
  const toml::node* const node = Find(key, false);
  if (node == nullptr) return;
  if (!node->is_array()) Fail(key, "must be a list of tables");
  std::size_t index = 0;
  for (const toml::node& item : *node->as_array()) {
    const std::string name = QualifiedName(key) + "[" + std::to_string(index) + "]";
    ++index;
    if (!item.is_table()) FailAt(item.source().begin.line, name, "must be a table");
    TableReader reader(*item.as_table(), path_, name);
    read(reader);
    reader.Finish();
  }
}

void TableReader::Finish() const {
  for (const auto& [key, node] : table_) {
    if (!requested_keys_.contains(key.str())) FailAt(node.source().begin.line, key.str(), "unknown key");
  }
}

void TableReader::Fail(std::string_view key, const std::string& problem) const {
  const toml::node* const node = table_.get(key);
  FailAt(node != nullptr ? node->source().begin.line : line(), key, problem);
}

const toml::node* TableReader::Find(std::string_view key, bool required) {
  requested_keys_.emplace(key);
  const toml::node* const node = table_.get(key);
  if (node == nullptr && required) FailAt(line(), key, "missing");
  return node;
}

std::string TableReader::QualifiedName(std::string_view key) const {
  return name_.empty() ? std::string(key) : name_ + "." + std::string(key);
}

void TableReader::FailAt(std::size_t line, std::string_view key, const std::string& problem) const {
  throw ConfigurationError(path_ + ":" + std::to_string(line) + ": " + QualifiedName(key), problem);
}

}  // namespace meadowyard::config_file
