#include "operations/shared_request_ids.hpp"

#include <pthread.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/clock.hpp"

namespace meadowyard::operations {
namespace {

// Identifies the layout of the table; another layout must get another value.
constexpr std::uint64_t kLayout = 0x6d79'6964'7300'0001;
// Processes that can join one table, which lives only as long as hot restarts overlap.
constexpr std::size_t kMaxProcesses = 32;
// Set in an entry once no other process had the id. The other bits are those of the id's hash.
constexpr std::uint64_t kClaimedBit = 1;
// How long to wait for a process that is claiming the same id at this moment: far longer than a claim takes.
constexpr Millis kMaxClaimWait = 1;

// Versions that don't know kCrashed take it for kEnded.
// kCrashed: the process ended with open requests.
enum class SectionState : std::uint32_t { kUnused, kStarting, kInUse, kEnded, kCrashed };

using Slot = std::atomic<std::uint64_t>;  // 0: empty
static_assert(Slot::is_always_lock_free, "the table is shared by processes");

}  // namespace

// Written by one process alone, but for `state` once that process has ended.
struct SharedRequestIds::Section {
  std::atomic<SectionState> state = SectionState::kUnused;
  std::atomic<std::uint32_t> slots_used = 0;  // the slots from here on were never used
  pthread_mutex_t alive{};                    // held by the process for as long as it runs
  std::array<Slot, kMaxIds> slots{};
};

struct SharedRequestIds::Table {
  std::uint64_t layout = kLayout;
  std::uint64_t size = sizeof(Table);
  std::uint64_t seed = 0;  // of the hash; 0 for core::HashRequestId, earlier versions chose it at random
  std::array<Section, kMaxProcesses> sections{};
};

// Unresolved ids in the order in which their process published them; the newest overwrite the oldest. Written
// by one process alone.
struct SharedRequestIds::Log {
  struct Entry {
    std::atomic<std::uint64_t> hash = 0;
    std::atomic<std::int64_t> expires_at = 0;  // of the monotonic clock, in ms
  };
  std::atomic<std::uint64_t> published = 0;  // entries that were ever written
  std::array<Entry, core::ReplayCache::kMaxIds> entries{};
};

// Behind the table in the same file.
struct SharedRequestIds::Logs {
  std::array<Log, kMaxProcesses> of_process{};
};

namespace {

constexpr std::size_t RoundUpToPage(std::size_t size) {
  constexpr std::size_t kLargestPage = 65536;  // of the supported architectures
  return (size + kLargestPage - 1) / kLargestPage * kLargestPage;
}

}  // namespace

SharedRequestIds::SharedRequestIds(Descriptor file, Table* table, Logs* logs)
    : file_(std::move(file)),
      table_(table),
      logs_(logs),
      taken_(kMaxProcesses, 0),
      is_crash_taken_(kMaxProcesses, false) {}

// Null on failure.
void* SharedRequestIds::Map(int file, std::size_t offset, std::size_t size) {
  void* const memory =
      ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file, static_cast<off_t>(offset));
  return memory == MAP_FAILED ? nullptr : memory;
}

std::unique_ptr<SharedRequestIds> SharedRequestIds::Create() {
  Descriptor file(::memfd_create("meadowyard-request-ids", MFD_CLOEXEC));
  constexpr std::size_t kLogsOffset = RoundUpToPage(sizeof(Table));
  if (!file || ::ftruncate(file.get(), kLogsOffset + sizeof(Logs)) != 0) return nullptr;
  // The memory is zero, which is the initial value of all slots: only what differs is written, so that unused
  // pages take no memory.
  auto* const table = static_cast<Table*>(Map(file.get(), 0, sizeof(Table)));
  if (table == nullptr) return nullptr;
  auto* const logs = static_cast<Logs*>(Map(file.get(), kLogsOffset, sizeof(Logs)));
  table->layout = kLayout;
  table->size = sizeof(Table);
  pthread_mutexattr_t attributes;
  ::pthread_mutexattr_init(&attributes);
  ::pthread_mutexattr_setpshared(&attributes, PTHREAD_PROCESS_SHARED);
  ::pthread_mutexattr_setrobust(&attributes, PTHREAD_MUTEX_ROBUST);
  for (Section& section : table->sections) ::pthread_mutex_init(&section.alive, &attributes);
  ::pthread_mutexattr_destroy(&attributes);
  std::unique_ptr<SharedRequestIds> ids(new SharedRequestIds(std::move(file), table, logs));
  return ids->TakeSection() ? std::move(ids) : nullptr;
}

std::unique_ptr<SharedRequestIds> SharedRequestIds::Join(Descriptor file) {
  struct stat status {};
  if (!file || ::fstat(file.get(), &status) != 0 || status.st_size < static_cast<off_t>(sizeof(Table)))
    return nullptr;
  auto* const table = static_cast<Table*>(Map(file.get(), 0, sizeof(Table)));
  if (table == nullptr) return nullptr;
  constexpr std::size_t kLogsOffset = RoundUpToPage(sizeof(Table));
  const bool has_logs = status.st_size >= static_cast<off_t>(kLogsOffset + sizeof(Logs));
  auto* const logs = has_logs ? static_cast<Logs*>(Map(file.get(), kLogsOffset, sizeof(Logs))) : nullptr;
  std::unique_ptr<SharedRequestIds> ids(new SharedRequestIds(std::move(file), table, logs));
  if (ids->table_->layout != kLayout || ids->table_->size != sizeof(Table)) return nullptr;
  return ids->TakeSection() ? std::move(ids) : nullptr;
}

SharedRequestIds::~SharedRequestIds() {
  if (own_ != nullptr) {
    // Requests that are still open may be executed yet.
    own_->state = slots_.empty() ? SectionState::kEnded : SectionState::kCrashed;
    ::pthread_mutex_unlock(&own_->alive);
  }
  ::munmap(table_, sizeof(Table));
  if (logs_ != nullptr) ::munmap(logs_, sizeof(Logs));
}

bool SharedRequestIds::TakeSection() {
  for (std::size_t i = 0; i < kMaxProcesses; ++i) {
    Section& section = table_->sections[i];
    SectionState expected = SectionState::kUnused;
    if (!section.state.compare_exchange_strong(expected, SectionState::kStarting)) continue;
    if (::pthread_mutex_lock(&section.alive) != 0) return false;
    own_index_ = i;
    own_ = &section;
    section.state = SectionState::kInUse;
    return true;
  }
  return false;
}

// All loads and stores of slots are sequentially consistent: of two processes that write the same id and then
// look for it in the other's section, at least one sees the other's entry.
core::IdClaim SharedRequestIds::Claim(const std::string& id) {
  const std::uint64_t entry = ToEntry(id);
  if (slots_.contains(entry)) return core::IdClaim::kOpenElsewhere;
  std::size_t slot = own_->slots_used;
  if (!free_slots_.empty()) {
    slot = free_slots_.back();
    free_slots_.pop_back();
  } else if (slot == kMaxIds) {
    return core::IdClaim::kFull;
  }
  own_->slots[slot] = entry;
  if (slot == own_->slots_used) own_->slots_used = static_cast<std::uint32_t>(slot + 1);
  if (IsClaimedElsewhere(entry)) {
    own_->slots[slot] = 0;
    free_slots_.push_back(slot);
    return core::IdClaim::kOpenElsewhere;
  }
  own_->slots[slot] = entry | kClaimedBit;
  slots_.emplace(entry, slot);
  return core::IdClaim::kClaimed;
}

void SharedRequestIds::Release(const std::string& id) {
  const auto found = slots_.find(ToEntry(id));
  if (found == slots_.end()) return;
  own_->slots[found->second] = 0;
  free_slots_.push_back(found->second);
  slots_.erase(found);
}

void SharedRequestIds::Publish(const core::UnresolvedId& id) {
  if (logs_ == nullptr) return;
  Log& log = logs_->of_process[own_index_];
  const std::uint64_t published = log.published;
  Log::Entry& entry = log.entries[published % log.entries.size()];
  entry.hash = id.hash;
  entry.expires_at = static_cast<std::int64_t>(core::MonotonicNow() + id.time_left);
  log.published = published + 1;
}

std::vector<core::UnresolvedId> SharedRequestIds::TakePublished() {
  std::vector<core::UnresolvedId> ids;
  for (std::size_t i = 0; i < kMaxProcesses; ++i) {
    Section& section = table_->sections[i];
    if (i == own_index_ || section.state == SectionState::kUnused) continue;
    if (logs_ != nullptr) TakeLog(logs_->of_process[i], taken_[i], ids);
    if (IsAlive(section) || section.state != SectionState::kCrashed || is_crash_taken_[i]) continue;
    is_crash_taken_[i] = true;
    for (std::size_t slot = 0; slot < section.slots_used; ++slot) {
      const std::uint64_t entry = section.slots[slot];
      if ((entry & kClaimedBit) != 0) ids.push_back({entry & ~kClaimedBit, core::ReplayCache::kRetention});
    }
  }
  return ids;
}

// Entries that are overwritten meanwhile are newer ones, which are taken again with the next call.
void SharedRequestIds::TakeLog(const Log& log, std::uint64_t& taken, std::vector<core::UnresolvedId>& ids) {
  const std::uint64_t published = log.published;
  const std::uint64_t oldest = published - std::min<std::uint64_t>(published, log.entries.size());
  const Millis now = core::MonotonicNow();
  for (taken = std::max(taken, oldest); taken < published; ++taken) {
    const Log::Entry& entry = log.entries[taken % log.entries.size()];
    const Millis time_left = static_cast<Millis>(entry.expires_at) - now;
    if (time_left > 0) ids.push_back({entry.hash, time_left});
  }
}

bool SharedRequestIds::HasOtherProcess() {
  for (std::size_t i = 0; i < kMaxProcesses; ++i) {
    if (i != own_index_ && IsAlive(table_->sections[i])) return true;
  }
  return false;
}

std::uint64_t SharedRequestIds::ToEntry(const std::string& id) const {
  constexpr std::uint64_t kNeverEmpty = 2;
  return (XXH3_64bits_withSeed(id.data(), id.size(), table_->seed) & ~kClaimedBit) | kNeverEmpty;
}

bool SharedRequestIds::IsClaimedElsewhere(std::uint64_t entry) {
  for (std::size_t i = 0; i < kMaxProcesses; ++i) {
    if (i != own_index_ && IsClaimedIn(i, entry)) return true;
  }
  return false;
}

// If both processes are claiming the id at this moment, the one with the lower section goes first: it waits
// until the other has given up, or has claimed the id after all because it looked earlier.
bool SharedRequestIds::IsClaimedIn(std::size_t index, std::uint64_t entry) {
  Section& section = table_->sections[index];
  if (section.state != SectionState::kInUse) return false;
  const std::uint32_t slots_used = section.slots_used;
  for (std::size_t i = 0; i < slots_used; ++i) {
    const Slot& slot = section.slots[i];
    if ((slot & ~kClaimedBit) != entry || !IsAlive(section)) continue;
    if (index < own_index_) return true;
    const Millis give_up_at = core::Now() + kMaxClaimWait;
    while (slot == entry) {
      if (core::Now() > give_up_at) return true;
    }
    if (slot == (entry | kClaimedBit)) return true;
  }
  return false;
}

bool SharedRequestIds::IsAlive(Section& section) {
  if (section.state != SectionState::kInUse) return false;
  const int result = ::pthread_mutex_trylock(&section.alive);
  if (result == EBUSY) return true;
  section.state = result == EOWNERDEAD ? SectionState::kCrashed : SectionState::kEnded;
  if (result == EOWNERDEAD) ::pthread_mutex_consistent(&section.alive);
  if (result == 0 || result == EOWNERDEAD) ::pthread_mutex_unlock(&section.alive);
  return false;
}

}  // namespace meadowyard::operations
