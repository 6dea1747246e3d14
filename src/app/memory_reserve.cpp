#include "app/memory_reserve.hpp"

#include <sys/mman.h>

#include <cstddef>
#include <new>

namespace meadowyard {
namespace {

constexpr std::size_t kReserve = 8u << 20;  // far more than all that one turn of the loop needs

bool kept = false;
void* reserve = nullptr;  // pages that were never touched: address space alone

void PutBy() {
  void* const pages = ::mmap(nullptr, kReserve, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  reserve = pages == MAP_FAILED ? nullptr : pages;
}

void UseIt() {
  if (reserve == nullptr) throw std::bad_alloc();
  ::munmap(reserve, kReserve);
  reserve = nullptr;
}

}  // namespace

void MemoryReserve::Keep() {
  kept = true;
  PutBy();
  std::set_new_handler(UseIt);
}

bool MemoryReserve::Whole() {
  if (kept && reserve == nullptr) PutBy();
  return !kept || reserve != nullptr;
}

}  // namespace meadowyard
