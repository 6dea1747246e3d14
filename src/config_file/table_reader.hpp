/// @file
/// Reads a TOML table key by key. Every error is a ConfigurationError that names file, line and key. A key
/// that was never read is also an error, because a misspelt key would silently leave a limit at its default.
#ifndef MEADOWYARD_CONFIG_FILE_TABLE_READER_HPP_
#define MEADOWYARD_CONFIG_FILE_TABLE_READER_HPP_

#include <toml++/toml.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace meadowyard::config_file {

/// Inclusive bounds of a number.
struct Range {
  double min = 0;
  double max = 0;
};

/// A key with a fallback is optional; any other missing key is an error.
class TableReader {
 public:
  /// @param table   must outlive the reader
  /// @param path    of the file, for errors
  /// @param name    of the table, as errors show it before a key; empty for the file itself
  TableReader(const toml::table& table, std::string path, std::string name);

  /// Line of the file at which the table begins.
  [[nodiscard]] std::size_t line() const { return table_.source().begin.line; }
  [[nodiscard]] bool Has(std::string_view key) const { return table_.contains(key); }

  std::string ReadString(std::string_view key, std::optional<std::string> fallback = {});
  /// Reads a required list with at least one string.
  std::vector<std::string> ReadStrings(std::string_view key);
  bool ReadBool(std::string_view key, bool fallback);
  double ReadNumber(std::string_view key, std::optional<double> fallback, Range range);
  std::size_t ReadCount(std::string_view key, std::size_t fallback, Range range);
  /// Reads a required IP address with a port, such as "10.1.0.18:3000".
  boost::asio::ip::tcp::endpoint ReadAddress(std::string_view key);
  /// The table under a key; std::nullopt if the key is missing. The caller must call Finish() on its reader.
  std::optional<TableReader> ReadTable(std::string_view key);
  /// Calls `read` for each table of an optional array of tables, then Finish() on the table's reader.
  void ReadTables(std::string_view key, const std::function<void(TableReader&)>& read);

  /// Throws if the table has a key that was never read.
  void Finish() const;
  /// Throws a ConfigurationError with file, line and key, and with `problem` as the description.
  [[noreturn]] void Fail(std::string_view key, const std::string& problem) const;

 private:
  const toml::node* Find(std::string_view key, bool required);
  std::string QualifiedName(std::string_view key) const;
  [[noreturn]] void FailAt(std::size_t line, std::string_view key, const std::string& problem) const;

  const toml::table& table_;
  std::string path_;
  std::string name_;
  std::set<std::string, std::less<>> requested_keys_;  // keys that were looked up, whether present or not
};

}  // namespace meadowyard::config_file

#endif  // MEADOWYARD_CONFIG_FILE_TABLE_READER_HPP_
