/// @file
/// Memory that is kept in reserve for a failed allocation.
#ifndef MEADOWYARD_APP_EMERGENCY_MEMORY_RESERVE_HPP_
#define MEADOWYARD_APP_EMERGENCY_MEMORY_RESERVE_HPP_

namespace meadowyard::app {

/// After a failed allocation, requests in progress continue with the memory of the reserve. No new requests
/// are accepted until it is mapped again. There is one reserve per process, because there is one allocator.
class EmergencyMemoryReserve {
 public:
  /// Maps the reserve and installs the new-handler that releases it when an allocation fails.
  static void Install();
  /// Whether the reserve is mapped. Tries to map it again if it was released. True without Install().
  [[nodiscard]] static bool IsAvailable();
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_EMERGENCY_MEMORY_RESERVE_HPP_
