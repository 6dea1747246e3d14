#include "app/emergency_memory_reserve.hpp"

#include <sys/mman.h>

#include <cstddef>
#include <new>

namespace meadowyard::app {
namespace {

/// Bytes; far more than one turn of the event loop needs.
constexpr std::size_t kReserveSize = 8U << 20;

bool installed = false;
void* reserve = nullptr;  // pages that were never touched: address space alone

void MapReserve() {
  void* const pages =
      ::mmap(nullptr, kReserveSize, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  reserve = pages == MAP_FAILED ? nullptr : pages;
}

/// The new-handler: gives the reserve back to the system, so that the failed allocation can be repeated.
void ReleaseReserve() {
  if (reserve == nullptr) throw std::bad_alloc();
  ::munmap(reserve, kReserveSize);
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
