/// @file
/// The errors that a package may throw across its interface. Everything else that is thrown comes from a
/// library. A function that may fail in ordinary use returns a value that says so instead.
#ifndef MEADOWYARD_ERROR_HPP_
#define MEADOWYARD_ERROR_HPP_

#include <stdexcept>
#include <string>

namespace meadowyard {

/// Base of all errors of this project. `what()` is one line for the operator.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A configuration that cannot work. `what()` names the file and the line where they are known, and the key.
class ConfigurationError : public Error {
 public:
  /// A problem with one key, where no file is known: "KEY: PROBLEM".
  ConfigurationError(const std::string& key, const std::string& problem) : Error(key + ": " + problem) {}
  /// A message that already names file, line and key.
  explicit ConfigurationError(const std::string& message) : Error(message) {}
};

/// A message of a peer or a client that breaks its protocol.
class ProtocolError : public Error {
 public:
  using Error::Error;
};

/// State handed over or stored by another process that cannot be read.
class StateError : public Error {
 public:
  using Error::Error;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_ERROR_HPP_
