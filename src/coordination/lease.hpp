/// @file
/// Leader election by a lease that a majority of the gateways grants, without stable storage, after
/// PaxosLease (Trencseni, Gazso, Reinhardt 2012). A state machine without I/O. Times are milliseconds on the
/// gateway's own clock. Only differences of times are used: clocks may have any offset from each other, but
/// their rates must not deviate from real time by more than `max_clock_drift`.
///
/// Every gateway is both a proposer, which requests the lease, and an acceptor, which grants it. An acceptor
/// upholds its grant for one term on its own clock, lengthened by the maximum drift. The proposer starts
/// to count the term before it sends the proposal, and shortens it by the maximum drift, so that its lease
/// ends before the grants do. A gateway grants no lease for one term after its start, because it has lost its
/// state and may have granted the lease before.
#ifndef MEADOWYARD_COORDINATION_LEASE_HPP_
#define MEADOWYARD_COORDINATION_LEASE_HPP_

#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::coordination {

/// Increases from one lease holder to the next. Every message that a holder sends in its role carries its
/// token, and receivers reject messages with a token below the highest that they have seen.
using FencingToken = std::uint64_t;

/// One gateway's proposer and acceptor of one lease.
class Lease {
 public:
  struct Times {
    Millis term = 3000;             ///< Duration of a lease.
    double max_clock_drift = 0.01;  ///< Maximum relative deviation of a clock's rate.
    Millis retry_interval = 500;    ///< Minimum time from one round to the next.
  };
  struct Message {
    enum class Type {
      kPrepareRequest,   ///< Requests a promise to reject tokens below `token`.
      kPrepareResponse,  ///< Promise; `owner` holds the lease according to the sender's grants (-1: none).
      kProposeRequest,   ///< Requests a grant of the lease to the sender.
      kProposeResponse,  ///< The lease is granted.
      kReject,           ///< `token` is below `highest_promised`, the highest that was promised or seen.
    };
    Type type = Type::kPrepareRequest;
    FencingToken token = 0, highest_promised = 0;
    int owner = -1;

    bool operator==(const Message&) const = default;
  };
  /// A message and the index of the gateway to send it to.
  struct Envelope {
    int to = 0;
    Message message;
  };

  /// `self` is the index of this gateway among `gateways`. Tokens consist of a round and the proposer's
  /// index; rounds start above `initial_round`. It has to exceed the rounds that this gateway used before a
  /// restart; a wall-clock time in milliseconds does.
  Lease(int self, int gateways, Times times, Millis now, FencingToken initial_round);

  /// Handles a message of the gateway `from`, and appends the messages to send to `outgoing`.
  void OnMessage(Millis now, int from, const Message& message, std::vector<Envelope>& outgoing);
  /// To be called periodically: requests the lease when no holder is known, and renews it. `jitter`, a random
  /// number from 0 to 1, delays the next round so that proposers whose rounds collided do not collide again.
  void Tick(Millis now, double jitter, std::vector<Envelope>& outgoing);
  /// Gives up the lease at once, and does not request it again before `until`.
  void Release(Millis until);

  bool IsHeld(Millis now) const { return now < held_until_; }
  FencingToken token() const { return held_token_; }  ///< Valid while the lease is held.
  Millis held_until() const { return held_until_; }
  /// The holder according to this gateway's own lease and grants; -1: none known.
  int Owner(Millis now) const { return IsHeld(now) ? self_ : now < granted_until_ ? granted_to_ : -1; }
  /// Records a token that another gateway used, so that this gateway's next token is higher.
  void ObserveToken(FencingToken token);

  /// The complete state: leases with equal state react equally to equal calls. For tests.
  auto state() const {
    return std::tie(recovery_until_, promised_token_, granted_token_, granted_to_, granted_until_, phase_,
                    highest_token_, round_token_, promised_by_, accepted_by_, proposed_until_, next_round_at_,
                    held_until_, held_token_);
  }

 private:
  void StartRound(Millis now, double jitter, std::vector<Envelope>& outgoing);
  void Send(int to, const Message& message, Millis now, std::vector<Envelope>& outgoing);
  void Broadcast(const Message& message, Millis now, std::vector<Envelope>& outgoing);
  bool IsMajority(const std::set<int>& responders) const {
    return 2 * static_cast<int>(responders.size()) > gateways_;
  }

  int self_, gateways_;
  Times times_;
  // Acceptor.
  Millis recovery_until_;
  FencingToken promised_token_ = 0, granted_token_ = 0;
  int granted_to_ = -1;
  Millis granted_until_ = -1e15;  // never
  // Proposer.
  enum class Phase { kIdle, kPreparing, kProposing } phase_ = Phase::kIdle;
  FencingToken highest_token_, round_token_ = 0;
  std::set<int> promised_by_, accepted_by_;
  Millis proposed_until_ = 0;
  Millis next_round_at_ = -1e15;  // at once
  Millis held_until_ = -1e15;     // never
  FencingToken held_token_ = 0;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_LEASE_HPP_
