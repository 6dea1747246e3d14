// Who of several gateways holds a duty, and until when: leases by majority without a disk, after PaxosLease
// (Trencseni, Gazso, Reinhardt 2012). A state machine without I/O; times are milliseconds on the gateway's
// own clock, and only spans count: clocks may be any time apart, but run alike to within `max_clock_drift`.
//
// Every gateway is both one that asks for the lease and one of those that are asked. Whoever was asked and
// has granted keeps to that for a term, by its own clock; whoever is granted counts its term from before it
// offered, and takes it for shorter. One that starts grants nothing for a term: it has forgotten what it
// granted before.
#ifndef MEADOWYARD_COORDINATION_LEASE_HPP_
#define MEADOWYARD_COORDINATION_LEASE_HPP_

#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::coordination {

// Only grows: of two that held the duty the later one has the higher. Every action carries it, and whoever is
// acted upon turns down any below the highest that it has seen.
using FencingToken = std::uint64_t;

class Lease {
 public:
  struct Times {
    Millis term = 3000;
    double max_clock_drift = 0.01;  // by which clocks run apart at the most
    Millis retry_interval = 500;    // from an attempt to the next, at the least
  };
  struct Message {
    enum class Type {
      kPrepareRequest,   // may `token` come to hold it?
      kPrepareResponse,  // it may, unless `owner` (-1: nobody) has it, as far as this one knows
      kProposeRequest,   // it is to hold it
      kProposeResponse,  // granted
      kReject,           // `highest_promised` has been asked for already
    };
    Type type = Type::kPrepareRequest;
    FencingToken token = 0, highest_promised = 0;
    int owner = -1;

    bool operator==(const Message&) const = default;
  };
  struct Envelope {
    int to = 0;
    Message message;
  };

  // `least`: tokens are above it; the time of day will do, for one's own of earlier lives lie below it.
  Lease(int self, int gateways, Times times, Millis now, FencingToken least);

  void OnMessage(Millis now, int from, const Message& message, std::vector<Envelope>& out);
  // To be called now and then: asks for the lease when nobody is known to have it, and renews it. `chance`
  // (0 to 1) spreads attempts that collide.
  void Tick(Millis now, double chance, std::vector<Envelope>& out);
  // Stops holding it at once, and does not ask again before `until`.
  void Release(Millis until);

  bool IsHeld(Millis now) const { return now < held_until_; }
  FencingToken token() const { return held_token_; }  // while it holds
  Millis held_until() const { return held_until_; }
  // Who holds it, as far as this one has granted; -1: nobody.
  int Owner(Millis now) const { return IsHeld(now) ? self_ : now < granted_until_ ? granted_to_ : -1; }
  void ObserveToken(FencingToken token);  // of an action, or of whoever turned one down

  // All that it remembers: two that are alike here go on alike.
  auto state() const {
    return std::tie(recovery_until_, promised_, granted_token_, granted_to_, granted_until_, attempt_,
                    highest_, asked_, open_, taken_, offered_until_, next_, held_until_, held_token_);
  }

 private:
  void Begin(Millis now, double chance, std::vector<Envelope>& out);
  void Send(int to, const Message& message, Millis now, std::vector<Envelope>& out);
  void ToAll(const Message& message, Millis now, std::vector<Envelope>& out);
  bool Enough(const std::set<int>& from) const { return 2 * static_cast<int>(from.size()) > gateways_; }

  int self_, gateways_;
  Times times_;
  // As one that is asked.
  Millis recovery_until_;
  FencingToken promised_ = 0, granted_token_ = 0;
  int granted_to_ = -1;
  Millis granted_until_ = -1e15;
  // As one that asks.
  enum class Attempt { kNone, kPreparing, kProposing } attempt_ = Attempt::kNone;
  FencingToken highest_, asked_ = 0;
  std::set<int> open_, taken_;
  Millis offered_until_ = 0;
  Millis next_ = -1e15;
  Millis held_until_ = -1e15;
  FencingToken held_token_ = 0;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_LEASE_HPP_
