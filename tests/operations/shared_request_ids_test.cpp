/// @file
/// The table of open requests' ids that the processes of one gateway share.
#include "operations/shared_request_ids.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace meadowyard::testing {
namespace {

using core::IdClaim;
using operations::Descriptor;
using operations::SharedRequestIds;

std::unique_ptr<SharedRequestIds> JoinTable(const SharedRequestIds& ids) {
  return SharedRequestIds::Join(Descriptor(::fcntl(ids.descriptor(), F_DUPFD_CLOEXEC, 0)));
}

// A process that has joined the table, claimed some ids, and waits until it is killed.
class OtherProcess {
 public:
  OtherProcess(const SharedRequestIds& ids, const std::function<void(SharedRequestIds&)>& act) {
    int ends[2];
    EXPECT_EQ(::pipe(ends), 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      const auto joined = JoinTable(ids);
      if (!joined) _exit(1);
      act(*joined);
      static_cast<void>(::write(ends[1], "x", 1));
      for (;;) ::pause();
    }
    char ready = 0;
    EXPECT_EQ(::read(ends[0], &ready, 1), 1);
    ::close(ends[0]);
    ::close(ends[1]);
  }
  ~OtherProcess() {
    Signal(SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  void Signal(int signal) const { ::kill(pid_, signal); }

 private:
  pid_t pid_ = -1;
};

// Guards against an id that two processes use at once, in either direction, and against ids that stay taken
// after their request has ended.
TEST(SharedRequestIds, AreClaimedByOneProcessAtATime) {
  const auto oldest = SharedRequestIds::Create();
  ASSERT_TRUE(oldest);
  const auto middle = JoinTable(*oldest), newest = JoinTable(*oldest);
  ASSERT_TRUE(middle && newest);
  SharedRequestIds* const processes[] = {oldest.get(), middle.get(), newest.get()};
  for (SharedRequestIds* holder : processes) {
    ASSERT_EQ(holder->Claim("a"), IdClaim::kClaimed);
    for (SharedRequestIds* other : processes) EXPECT_EQ(other->Claim("a"), IdClaim::kOpenElsewhere);
    for (SharedRequestIds* other : processes) {
      if (other != holder) other->Release("a");  // not its own
    }
    EXPECT_EQ(processes[holder == oldest.get() ? 1 : 0]->Claim("a"), IdClaim::kOpenElsewhere);
    EXPECT_EQ(processes[0]->Claim("b"), IdClaim::kClaimed);
    processes[0]->Release("b");
    holder->Release("a");
  }
}

// Guards against a table that fills up: slots are used again, and a full section says so.
TEST(SharedRequestIds, AreBoundedAndUsedAgain) {
  const auto ids = SharedRequestIds::Create();
  const auto other = JoinTable(*ids);
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < SharedRequestIds::kMaxIds; ++i)
      ASSERT_EQ(ids->Claim(std::to_string(i)), IdClaim::kClaimed);
    EXPECT_EQ(ids->Claim("more"), IdClaim::kFull);
    EXPECT_EQ(other->Claim("0"), IdClaim::kOpenElsewhere);
    EXPECT_EQ(other->Claim("more"), IdClaim::kClaimed);
    other->Release("more");
    for (std::size_t i = 0; i < SharedRequestIds::kMaxIds; ++i) ids->Release(std::to_string(i));
  }
}

// Guards against ids that stay taken for good because their process was killed, and against a process that
// waits for one that was stopped.
TEST(SharedRequestIds, OfAStoppedProcessStayTakenAndOfAKilledOneAreFree) {
  constexpr Millis kMaxWait = 150;  // for all calls together, on a loaded machine
  const auto ids = SharedRequestIds::Create();
  {
    const OtherProcess other(
        *ids, [](SharedRequestIds& joined) { EXPECT_EQ(joined.Claim("a"), IdClaim::kClaimed); });
    EXPECT_TRUE(ids->HasOtherProcess());
    other.Signal(SIGSTOP);
    const Millis started_at = core::Now();
    EXPECT_EQ(ids->Claim("a"), IdClaim::kOpenElsewhere);
    EXPECT_EQ(ids->Claim("b"), IdClaim::kClaimed);
    EXPECT_LT(core::Now() - started_at, kMaxWait);
  }
  EXPECT_EQ(ids->Claim("a"), IdClaim::kClaimed);
  EXPECT_FALSE(ids->HasOtherProcess());
}

// Guards against an id that both processes claim, or neither, because they do so in the same instant.
TEST(SharedRequestIds, AreClaimedOnceByProcessesThatRace) {
  constexpr std::size_t kIds = SharedRequestIds::kMaxIds;
  const auto ids = SharedRequestIds::Create();
  const auto claim_all = [](SharedRequestIds& own) {
    std::vector<char> claimed;
    for (std::size_t i = 0; i < kIds; ++i)
      claimed.push_back(own.Claim(std::to_string(i)) == IdClaim::kClaimed ? 1 : 0);
    return claimed;
  };
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  const pid_t pid = ::fork();
  if (pid == 0) {
    const auto joined = JoinTable(*ids);
    const std::vector<char> claimed = claim_all(*joined);
    static_cast<void>(::write(ends[1], claimed.data(), claimed.size()));  // fits into the pipe's buffer
    for (;;) ::pause();
  }
  while (!ids->HasOtherProcess()) {
  }
  const std::vector<char> own_claims = claim_all(*ids);
  std::vector<char> other_claims(kIds);
  EXPECT_EQ(::read(ends[0], other_claims.data(), kIds), static_cast<ssize_t>(kIds));
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  ::close(ends[0]);
  ::close(ends[1]);
  for (std::size_t i = 0; i < kIds; ++i) EXPECT_EQ(own_claims[i] + other_claims[i], 1) << "id " << i;
}

// Guards against a successor that misreads a table of another layout.
TEST(SharedRequestIds, AreNotSharedByAnotherLayout) {
  EXPECT_FALSE(SharedRequestIds::Join(Descriptor()));
  const Descriptor file(::memfd_create("other", MFD_CLOEXEC));
  ASSERT_EQ(::ftruncate(file.get(), 16u << 20), 0);
  EXPECT_FALSE(SharedRequestIds::Join(Descriptor(::fcntl(file.get(), F_DUPFD_CLOEXEC, 0))));
}

}  // namespace
}  // namespace meadowyard::testing
