/// @file
/// The ids of open requests, and of those that may have been executed and ended without an answer, shared by
/// the processes of one gateway during a hot restart: a table in shared memory, which a predecessor creates
/// and passes to its successor. Without it, a request with the id of another one that is open in the other
/// process, or may have run there, would be sent to a host as well.
#ifndef MEADOWYARD_OPERATIONS_SHARED_REQUEST_IDS_HPP_
#define MEADOWYARD_OPERATIONS_SHARED_REQUEST_IDS_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/request_id_registry.hpp"
#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// This process's part of the table. Each process writes to a section and a log of its own and looks into the
/// others', so that no process ever waits for a lock of another. The open ids of a process that was killed
/// may have been executed: they are taken as published. Used from one thread.
class SharedRequestIds : public core::RequestIdRegistry {
 public:
  /// The most ids that one process can have claimed.
  static constexpr std::size_t kMaxIds = 4096;

  /// Creates a table; null if the system has no resources for it.
  [[nodiscard]] static std::unique_ptr<SharedRequestIds> Create();
  /// Joins the table that another process has created; null if `table` is none of this version, or if too
  /// many processes have used it.
  [[nodiscard]] static std::unique_ptr<SharedRequestIds> Join(Descriptor table);
  /// Ends the claims of this process.
  ~SharedRequestIds() override;

  [[nodiscard]] core::IdClaim Claim(const std::string& id) override;
  void Release(const std::string& id) override;
  void Publish(const core::UnresolvedId& id) override;
  [[nodiscard]] std::vector<core::UnresolvedId> TakePublished() override;

  /// Whether another process that has joined the table is still running.
  [[nodiscard]] bool HasOtherProcess();
  /// For Join in another process.
  [[nodiscard]] int descriptor() const { return file_.get(); }

 private:
  struct Section;
  struct Table;
  struct Log;
  struct Logs;

  SharedRequestIds(Descriptor file, Table* table, Logs* logs);
  [[nodiscard]] static void* Map(int file, std::size_t offset, std::size_t size);
  static void TakeLog(const Log& log, std::uint64_t& taken, std::vector<core::UnresolvedId>& ids);
  [[nodiscard]] bool TakeSection();
  [[nodiscard]] std::uint64_t ToEntry(const std::string& id) const;
  [[nodiscard]] bool IsClaimedElsewhere(std::uint64_t entry);
  [[nodiscard]] bool IsClaimedIn(std::size_t section, std::uint64_t entry);
  [[nodiscard]] static bool IsAlive(Section& section);

  const Descriptor file_;
  Table* const table_;
  Logs* const logs_;                  // null: the table is of a version without them
  std::vector<std::uint64_t> taken_;  // entries of each log that were taken so far
  std::vector<bool> is_crash_taken_;  // the open ids of each section's killed process were taken
  std::size_t own_index_ = 0;
  Section* own_ = nullptr;
  std::unordered_map<std::uint64_t, std::size_t> slots_;  // of this process's entries
  std::vector<std::size_t> free_slots_;                   // below Section::slots_used
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_SHARED_REQUEST_IDS_HPP_
