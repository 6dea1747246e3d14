/// @file
/// Memory that is held back for the moment when the process can get no more.
#ifndef MEADOWYARD_APP_EMERGENCY_MEMORY_RESERVE_HPP_
#define MEADOWYARD_APP_EMERGENCY_MEMORY_RESERVE_HPP_

namespace meadowyard::app {

/// Work in progress goes on with the reserve once an allocation has failed; nothing new is accepted until the
/// reserve could be mapped again. There is one for the process, as there is one allocator.
class EmergencyMemoryReserve {
 public:
  /// Maps the reserve and lets failed allocations use it from now on.
  static void Install();
  /// Whether the reserve is there; maps it again if it was used and there is memory for it. True where none
  /// was installed.
  [[nodiscard]] static bool IsAvailable();
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_EMERGENCY_MEMORY_RESERVE_HPP_
