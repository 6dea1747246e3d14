/// @file
/// Interface to the ids of requests in other processes of this gateway: of those that are open, and of those
/// that may have been executed and ended without an answer.
#ifndef MEADOWYARD_CORE_REQUEST_ID_REGISTRY_HPP_
#define MEADOWYARD_CORE_REQUEST_ID_REGISTRY_HPP_

#include <string>
#include <vector>

#include "core/replay_cache.hpp"

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
  /// Tells the other processes of an id that must not be executed again. To be called before Release.
  virtual void Publish(const UnresolvedId& id) = 0;
  /// The ids that other processes have published since the last call, and those that were open in a process
  /// which was killed. To be called after Claim: a process publishes an id before it releases it.
  [[nodiscard]] virtual std::vector<UnresolvedId> TakePublished() = 0;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_REQUEST_ID_REGISTRY_HPP_
