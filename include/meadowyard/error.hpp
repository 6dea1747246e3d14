/// @file
/// Exception types that a package may throw across its interface. Any other exception comes from a library.
/// A function whose failure is part of normal operation does not throw; its return value reports the failure.
#ifndef MEADOWYARD_ERROR_HPP_
#define MEADOWYARD_ERROR_HPP_

#include <stdexcept>
#include <string>

namespace meadowyard {

/// Base class of all exceptions of this project. `what()` is a one-line message for the operator.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// An invalid configuration. `what()` names the key, and the file and line if they are known.
class ConfigurationError : public Error {
 public:
  /// Reports a problem with one key when the file is not known. The message is "KEY: PROBLEM".
  ConfigurationError(const std::string& key, const std::string& problem) : Error(key + ": " + problem) {}
  /// Takes a complete message, which already names the file, the line and the key.
  explicit ConfigurationError(const std::string& message) : Error(message) {}
};

/// A message from a peer or a client violates its protocol.
class ProtocolError : public Error {
 public:
  using Error::Error;
};

/// State that another process stored or handed over can't be parsed.
class StateError : public Error {
 public:
  using Error::Error;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_ERROR_HPP_
