/// @file
/// Interface to the ids of the requests that are open in other processes of this gateway.
#ifndef MEADOWYARD_CORE_REQUEST_ID_REGISTRY_HPP_
#define MEADOWYARD_CORE_REQUEST_ID_REGISTRY_HPP_

#include <string>

namespace meadowyard::core {

/// The outcome of RequestIdRegistry::Claim.
enum class IdClaim {
  kClaimed,
  kOpenElsewhere,  ///< Another process has an open request with this id.
  kFull,           ///< No more ids can be claimed.
};

/// Keeps an id from being used by two open requests in different processes. Never blocks.
class RequestIdRegistry {
 public:
  RequestIdRegistry() = default;
  RequestIdRegistry(const RequestIdRegistry&) = delete;
  RequestIdRegistry& operator=(const RequestIdRegistry&) = delete;
  virtual ~RequestIdRegistry() = default;

  /// Claims an id for this process, until Release.
  [[nodiscard]] virtual IdClaim Claim(const std::string& id) = 0;
  /// Does nothing for an id that this process has not claimed.
  virtual void Release(const std::string& id) = 0;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_REQUEST_ID_REGISTRY_HPP_
