// A TOML table that is read key by key: what is wrong is named with file, line and field, and a key that
// nobody asked for is an error.
#ifndef MEADOWYARD_EDGE_TABLE_READER_HPP_
#define MEADOWYARD_EDGE_TABLE_READER_HPP_

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "edge/edge_config.hpp"

namespace meadowyard {

class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, std::string where)
      : table_(table), path_(std::move(path)), where_(std::move(where)) {}

  std::size_t line() const { return table_.source().begin.line; }
  const std::string& where() const { return where_; }

  [[noreturn]] void Fail(std::string_view key, const std::string& what) const {
    const toml::node* const node = table_.get(key);
    Fail(node != nullptr ? node->source().begin.line : line(), key, what);
  }

  bool Has(std::string_view key) const { return table_.contains(key); }

  std::string Text(std::string_view key, std::optional<std::string> otherwise = {}) {
    const toml::node* const node = Find(key, otherwise.has_value());
    if (node == nullptr) return *otherwise;
    if (const auto* value = node->as_string()) return value->get();
    Fail(key, "must be a text");
  }

  std::vector<std::string> Texts(std::string_view key) {
    const toml::node* const node = Find(key, false);
    const toml::array* const list = node->as_array();
    if (list == nullptr || list->empty()) Fail(key, "must be a list of texts");
    std::vector<std::string> texts;
    for (const toml::node& item : *list) {
      if (!item.is_string()) Fail(item.source().begin.line, key, "must be a list of texts");
      texts.push_back(item.as_string()->get());
    }
    return texts;
  }

  bool Flag(std::string_view key, bool otherwise) {
    const toml::node* const node = Find(key, true);
    if (node == nullptr) return otherwise;
    if (const auto* value = node->as_boolean()) return value->get();
    Fail(key, "must be true or false");
  }

  double Number(std::string_view key, std::optional<double> otherwise, double least, double most) {
    const toml::node* const node = Find(key, otherwise.has_value());
    if (node == nullptr) return *otherwise;
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !(*value >= least && *value <= most)) {
      Fail(key, "must be a number from " + Short(least) + " to " + Short(most));
    }
    return *value;
  }

  std::size_t Count(std::string_view key, std::size_t otherwise, double least, double most) {
    const double value = Number(key, static_cast<double>(otherwise), least, most);
    if (value != static_cast<double>(static_cast<std::size_t>(value))) Fail(key, "must be a whole number");
    return static_cast<std::size_t>(value);
  }

  boost::asio::ip::tcp::endpoint Address(std::string_view key) {
    const auto address = discovery::ParseAddress(Text(key));
    if (!address) Fail(key, "'" + Text(key) + "' is not an address and port");
    return *address;
  }

  std::optional<TableReader> Table(std::string_view key) {
    const toml::node* const node = Find(key, true);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) Fail(key, "must be a table");
    return TableReader(*node->as_table(), path_,
                       where_.empty() ? std::string(key) : where_ + "." + std::string(key));
  }

  // Calls `each(reader)` for the tables of an array.
  template <typename Each>
  void Tables(std::string_view key, Each each) {
    const toml::node* const node = Find(key, true);
    if (node == nullptr) return;
    if (!node->is_array()) Fail(key, "must be a list of tables");
    std::size_t n = 0;
    for (const toml::node& item : *node->as_array()) {
      const std::string name =
          (where_.empty() ? "" : where_ + ".") + std::string(key) + "[" + std::to_string(n++) + "]";
      if (!item.is_table()) Fail(item.source().begin.line, name, "must be a table");
      TableReader reader(*item.as_table(), path_, name);
      each(reader);
      reader.Finish();
    }
  }

  // Nothing may be left that nobody asked for: a misspelt key would be silence where a limit was meant.
  void Finish() const {
    for (const auto& [key, node] : table_) {
      if (!asked_.contains(key.str())) Fail(node.source().begin.line, key.str(), "unknown key");
    }
  }

 private:
  const toml::node* Find(std::string_view key, bool may_lack) {
    asked_.emplace(key);
    const toml::node* const node = table_.get(key);
    if (node == nullptr && !may_lack) Fail(line(), key, "missing");
    return node;
  }

  [[noreturn]] void Fail(std::size_t line, std::string_view key, const std::string& what) const {
    throw EdgeError(path_ + ":" + std::to_string(line) + ": " + (where_.empty() ? "" : where_ + ".") +
                    std::string(key) + ": " + what);
  }

  static std::string Short(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) text.pop_back();
    return text;
  }

  const toml::table& table_;
  std::string path_, where_;
  std::set<std::string, std::less<>> asked_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_EDGE_TABLE_READER_HPP_
