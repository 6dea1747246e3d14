// Memory that is kept back: when the process can get no more, what is under way goes on with it, and nothing
// new is begun until it could be put by again.
#ifndef MEADOWYARD_APP_MEMORY_RESERVE_HPP_
#define MEADOWYARD_APP_MEMORY_RESERVE_HPP_

namespace meadowyard {

// There is one for the process, which has one allocator.
class MemoryReserve {
 public:
  // Has failed allocations use it from now on.
  static void Keep();
  // Whether it is there; puts it by again if it was used and there is room. True where none is kept.
  static bool Whole();
};

}  // namespace meadowyard

#endif  // MEADOWYARD_APP_MEMORY_RESERVE_HPP_
