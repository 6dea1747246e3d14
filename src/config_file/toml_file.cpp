#include "config_file/toml_file.hpp"

#include <fstream>
#include <sstream>

#include "meadowyard/error.hpp"

namespace meadowyard::config_file {

std::string ReadText(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) throw ConfigurationError(path, "can't be read");
  return text.str();
}

toml::table ParseToml(const std::string& text, const std::string& path) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    throw ConfigurationError(path + ":" + std::to_string(error.source().begin.line),
                             std::string(error.description()));
  }
}

}  // namespace meadowyard::config_file
