/// @file
/// Operators' files in TOML 1.0: reading one, with errors that name the file and the line.
#ifndef MEADOWYARD_CONFIG_FILE_TOML_FILE_HPP_
#define MEADOWYARD_CONFIG_FILE_TOML_FILE_HPP_

#include <toml++/toml.h>

#include <string>

namespace meadowyard::config_file {

/// The content of a file. Throws ConfigurationError if it can't be read.
std::string ReadText(const std::string& path);

/// Parses the text of a file. Throws ConfigurationError "PATH:LINE: PROBLEM" if it is not TOML.
toml::table ParseToml(const std::string& text, const std::string& path);

}  // namespace meadowyard::config_file

#endif  // MEADOWYARD_CONFIG_FILE_TOML_FILE_HPP_
