#include "app/emergency_memory_reserve.hpp"

#include <sys/mman.h>

#include <cstddef>
#include <new>

namespace meadowyard::app {
namespace {

/// Far more than one iteration of the event loop needs.
constexpr std::size_t kReserveBytes = 8U << 20;

bool installed = false;
void* reserve = nullptr;  // never written to, so it takes address space but no physical memory

void MapReserve() {
  void* const pages =
      ::mmap(nullptr, kReserveBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  reserve = pages == MAP_FAILED ? nullptr : pages;
}

/// The new-handler: returns the reserve to the system, so that the failed allocation can be retried. Throws
/// std::bad_alloc if the reserve is already used.
void ReleaseReserve() {
  if (reserve == nullptr) throw std::bad_alloc();
  ::munmap(reserve, kReserveBytes);
  reserve = nullptr;
}

}  // namespace

void EmergencyMemoryReserve::Install() {
  installed = true;
  MapReserve();
  std::set_new_handler(ReleaseReserve);
}

bool EmergencyMemoryReserve::IsAvailable() {
  if (installed && reserve == nullptr) MapReserve();
  return !installed || reserve != nullptr;
}

}  // namespace meadowyard::app
