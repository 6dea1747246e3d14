/// @file
/// Reads operators' configuration files in TOML 1.0. Errors name the file and the line.
#ifndef MEADOWYARD_CONFIG_FILE_TOML_FILE_HPP_
#define MEADOWYARD_CONFIG_FILE_TOML_FILE_HPP_

#include <toml++/toml.h>

#include <string>

namespace meadowyard::config_file {

/// Returns the content of a file. Throws ConfigurationError if it can't be read.
std::string ReadText(const std::string& path);

/// Parses the content of the file at `path`. Throws ConfigurationError "PATH:LINE: PROBLEM" if it is not
/// valid TOML.
toml::table ParseToml(const std::string& text, const std::string& path);

}  // namespace meadowyard::config_file

#endif  // MEADOWYARD_CONFIG_FILE_TOML_FILE_HPP_
