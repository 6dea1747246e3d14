// A host's insides, without I/O: cores shared by the requests in work, a waiting room, cold starts and
// falling over, keys that it is warm for, and what is done to it. Time is told with every call and never runs
// backwards.
#ifndef MEADOWYARD_LAB_HOST_MODEL_HPP_
#define MEADOWYARD_LAB_HOST_MODEL_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lab/spec.hpp"

namespace meadowyard::lab {

class HostModel {
 public:
  enum class Verdict { kTaken, kFull, kDraining };
  struct Done {
    std::uint64_t ticket = 0;
    Millis started = 0;  // when its work began
  };

  explicit HostModel(const KindSpec& kind) : kind_(kind) {}

  // A request with work for one core of speed 1.
  Verdict Offer(Millis now, std::uint64_t ticket, Millis work, std::uint64_t key);
  // Work that no request waits for: new connections, probes.
  void Burden(Millis now, Millis work);
  // Nobody waits for it any more: waiting work is dropped, running work goes on. Whether it was dropped.
  bool Cancel(Millis now, std::uint64_t ticket);
  // What has ended by `now`, in order.
  void Advance(Millis now, std::vector<Done>& done);
  // When to call Advance next; nothing while nothing is to come.
  std::optional<Millis> NextDue() const;

  // A new process: empty, and cold where the kind says so. One that fell over stays down until then.
  void Start(Millis now, bool cold);
  void Stop(Millis now);  // all work is lost
  void Slow(Millis now, double factor);
  void Freeze(Millis now, bool frozen);
  void Drain(bool draining) { draining_ = draining; }

  bool frozen() const { return frozen_; }
  bool fell() const { return fell_; }
  // The most work that it was sent while cold, as a share of what fells it.
  double cold_use() const { return cold_use_; }
  // The share of its capacity that it has.
  double Warmth(Millis now) const;
  std::size_t in_work() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Job {
    std::uint64_t ticket = 0;  // 0: nobody's
    Millis left = 0, started = 0;
  };
  double Speed(Millis now) const;  // of each job in work
  void Progress(Millis now);
  void Admit(Millis now);
  void WatchLoad(Millis now, Millis work);

  const KindSpec kind_;
  Millis now_ = 0;
  Millis cold_since_ = -1e15;
  double slow_ = 1;
  bool frozen_ = false, draining_ = false, fell_ = false;
  std::vector<Job> running_;
  std::deque<Job> waiting_;
  std::vector<Done> ended_;
  std::unordered_map<std::uint64_t, Millis> warm_;  // keys, and when they were met
  std::deque<std::pair<Millis, Millis>> offered_;   // while cold: when, and how much work
  Millis offered_sum_ = 0;
  double cold_use_ = 0;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_HOST_MODEL_HPP_
