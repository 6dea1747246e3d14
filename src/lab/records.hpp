// What is seen of a run from outside: by the clients, by the hosts and by discovery. The gateway's own word
// is not among it. Times are Clock()'s.
#ifndef MEADOWYARD_LAB_RECORDS_HPP_
#define MEADOWYARD_LAB_RECORDS_HPP_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::lab {

// An attempt as it came to a host.
struct Execution {
  std::uint64_t id = 0;
  std::int32_t host = 0;
  bool unsafe = false;         // by its class
  Millis first = 0, last = 0;  // of its bytes
  Millis started = 0;          // its work; 0: never
  Millis ended = 0;            // 0: not by the end of the run
  enum class Outcome { kOpen, kAnswered, kError, kDeclined, kDropped, kLost } outcome = Outcome::kOpen;
};

// Discovery has written to a gateway how a host stands.
struct Told {
  Millis at = 0;
  std::int32_t gateway = 0, host = 0;
  bool up = true;
};

struct HostEvent {
  Millis at = 0;
  std::int32_t host = 0;
  std::string what;  // "fell", "crash", "start", "drain", "gone", ...
};

// What a gateway said of its peers when it was asked. The referee does not believe it.
struct PeersSeen {
  Millis at = 0;
  int gateway = 0, listed = 0, present = 0, place = 0;
  int shared_among = 0, hosts_used = 0;
  bool in_touch = false, holds = false;
  std::int64_t revision = -1;  // of the list that it has, where that is shared
};

// A gateway has acted for a duty: passed on the list of hosts, or said that it stands; offered how the halls
// stand, or said what was agreed.
struct DutyAct {
  Millis at = 0;
  std::int32_t gateway = 0, to = 0;
  std::uint64_t token = 0;
  std::int64_t revision = 0;
  std::int32_t duty = 0;  // 0: the list, 1: the halls
};

// A word about how the halls stand, on its way from one gateway to another.
struct HallsWord {
  enum class Kind { kOffer, kAgreed, kKnown, kVote } kind = Kind::kOffer;
  Millis left = 0, arrived = 0;  // one of both is 0: each is a record of its own
  std::int32_t from = 0, to = 0;
  std::uint64_t term = 0, version = 0;
  std::vector<std::pair<std::string, double>> health;  // by hall; none in a vote
};

struct HostUse {
  std::uint64_t connections = 0, most_connections = 0;  // in all, and at once
  double cold = 0;  // the most work it was sent while cold, as a share of what fells it
};

struct FleetLedger {
  std::vector<std::string> hosts;  // their ids
  std::vector<std::string> halls;  // and where they stand, in the same order
  std::vector<HostUse> uses;       // the same order
  std::vector<Execution> executions;
  std::vector<Told> told;
  std::vector<HostEvent> events;
  std::vector<DutyAct> acts;  // as they left their gateways
  std::vector<HallsWord> words;
  std::uint64_t connections = 0, most_connections = 0, probes = 0, bad_requests = 0, discovery_calls = 0;
  std::uint64_t peer_words = 0;  // datagrams from gateway to gateway, as they left
};

// A client's try, from when it was due.
struct Try {
  std::uint32_t arrival = 0;
  std::uint16_t number = 0;  // 0: the first
  std::int16_t gateway = -1;
  std::uint64_t id = 0;
  Millis due = 0, sent = 0, ended = 0;  // sent: its last byte left; 0: never
  Millis first = 0;                     // first byte of the answer
  Millis patience = 0;
  enum class Outcome {
    kOpen,  // the run ended first
    kServed,
    kRefused,    // 429 or 503
    kFailed,     // any other answer
    kGaveUp,     // no answer before the client's patience ended
    kCut,        // the connection ended without a whole answer, though the request was sent whole
    kNoConnect,  // never sent whole
    kWrong,      // served with what no host made for it
    kTwice,      // a second answer to one request
  } outcome = Outcome::kOpen;
  int status = 0;
  Millis retry_after = 0;
  std::uint32_t answer_bytes = 0;
};
const char* Name(Try::Outcome outcome);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_RECORDS_HPP_
