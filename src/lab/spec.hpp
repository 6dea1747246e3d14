// What an experiment's file says: fleet, discovery, gateways, links, load and troubles. Times are
// milliseconds here and seconds in the file, where a field's name ends in _s; each field is explained in
// docs/lab.md.
#ifndef MEADOWYARD_LAB_SPEC_HPP_
#define MEADOWYARD_LAB_SPEC_HPP_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::lab {

// "FILE:LINE: field: what is wrong".
class SpecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class WorkShape { kFixed, kExponential, kUniform };  // uniform: from half the mean to one and a half

struct ClassSpec {
  std::string name;
  Idempotency effect = Idempotency::kIdempotent;
  Millis aim = 500, deadline = 1500;
  double worth = 1, share = 1;
  Millis work = 20;  // mean, on one core of speed 1
  WorkShape shape = WorkShape::kExponential;
  std::size_t body_bytes = 0, answer_bytes = 200;
};

struct TenantSpec {
  std::string name;
  double share = 1;
  double quota_per_s = 0;
};

struct KindSpec {
  std::string name = "host";
  int count = 4;
  int cores = 4;
  double speed = 1;
  int slots = 0;        // requests in work at once; 0: as many as cores
  int waiting = 64;     // places beyond that; further requests are turned away
  int connections = 0;  // open at once; 0: any number
  Millis connect_work = 0;
  double cold_from = 1;  // share of its capacity that a started host has
  Millis cold_for = 0;
  double fall_multiple = 0;  // 0: never falls over
  double warm_gain = 0;      // share of the work saved for a key met lately
  Millis warm_for = 5000;
  int warm_keys = 100;
};

struct FleetSpec {
  std::vector<std::string> halls = {"a"};
  std::vector<KindSpec> kinds;
  bool drops_waiting = false;  // what waits is dropped when its connection closes
  Millis idle = 15000;         // a connection that stands idle for so long is closed
};

struct DiscoverySpec {
  Millis delay = 200;       // from a change to when it can be told
  Millis call_work = 1;     // a call's time at discovery, one after the other
  Millis most_wait = 1000;  // a call that would wait longer in turn fails
};

struct LoadShape {
  enum class Kind { kStep, kRamp, kSine, kSpike };
  Kind kind = Kind::kStep;
  Millis from = 0, to = 0;
  double factor = 1;  // of the rate at its height; a sine swings by (factor - 1) round 1
  Millis period = 10000;
  std::string tenant;  // of this one alone
};

struct LoadSpec {
  enum class Arrivals { kPoisson, kUniform, kBursts };
  Arrivals arrivals = Arrivals::kPoisson;
  double rate = 100;  // a second, over all gateways
  int burst = 10;
  std::vector<LoadShape> shapes;
  int keys = 500;
  double zipf = 1;
  int retries = 1;  // by clients, of what was refused or failed
  Millis retry_wait = 200;
  double cost_noise = 0.3;   // of the hint that requests carry; below 0: they carry none
  std::string trace;         // in place of drawn arrivals
  bool keep = true;          // connections are kept
  int connections = 1000;    // open at once at the most
  double slow_readers = 0;   // share of clients that read at `slow_rate`
  double slow_writers = 0;   // and of clients that send their bodies so
  double slow_rate = 65536;  // bytes a second
  int closed_loop = 16;      // connections of the closed-loop client that the report compares with
  Millis most_late = 5;      // p99 of its own lateness past which a run counts for nothing
};

struct LinkSpec {
  bool on = false;
  Millis delay = 0, jitter = 0;
  double loss = 0;       // of segments, each a stall
  Millis stall = 200;    // as TCP's first time-out; doubles while a segment goes on being lost
  double bandwidth = 0;  // bytes a second each way; 0: unbounded
  double reset = 0;      // of connections, at a random moment of their first ten seconds
};

struct DatagramSpec {
  double loss = 0, twice = 0;
  double late = 0;  // share that is held back by `late_by`, and so overtaken
  Millis late_by = 50;
  Millis delay = 0, jitter = 0;
};

// What gateways know of each other; without it they know nothing.
struct PeersSpec {
  bool on = false;
  int subset = 0;  // hosts that each gateway uses; 0: as without peers
  Millis beat = 200, silent = 1000, gone = 3000;
  DatagramSpec link;           // between any two gateways
  std::vector<int> old_lists;  // gateways whose list lacks the last gateway
  bool share_list = false;     // one of them reads discovery for all
  Millis lease = 1000;
};

// Whether requests go by halls, as the gateways agree.
struct ZonesSpec {
  bool on = false;
  double spare = 1.4, panic = 0.3, most_extra = 1;
  Millis hold = 5000;
  std::vector<std::vector<std::string>> regions;
};

struct GatewaySpec {
  int count = 1;
  double memory_mb = 192;
  int sockets = 1024;
  std::string program;  // empty: the one beside the lab's
  int attempts = 4;
  bool retry_after = true;
  std::vector<Millis> clocks;  // how far each gateway's clock is ahead; none: not at all
};

struct Trouble {
  enum class Kind {
    kCrash,
    kSlow,
    kErrors,
    kFreeze,
    kHallDead,
    kHallSilent,
    kDiscoveryDown,
    kFlap,
    kReplace,
    kReset,
    kSpoil,
    kDrain,
    kHostCut,  // between some gateways and some hosts
    kPeerCut,  // between some gateways and all others
    kLinkCut,
    kGatewayKill,
    kGatewayStall,  // stopped (SIGSTOP) for its length, then let go on (SIGCONT)
    kGatewayRestart,
    kGatewayUpgrade,
  };
  Kind kind = Kind::kCrash;
  Millis at = 0, len = 5000;
  double share = 0.2;     // of the hosts, or of answers spoilt or reset
  double factor = 5;      // slower by; share of requests that fail
  std::string hall;       // of the hosts in this one alone
  int gateway = -1;       // all of them
  bool holder = false;    // whoever has the duty at that moment, in place of it
  std::vector<int> side;  // of a cut: these gateways, or the one above
  enum class Way { kBoth, kTo, kFrom } way = Way::kBoth;  // to the side, from it
};
const char* Name(Trouble::Kind kind);

struct Experiment {
  std::string file, name, about;
  std::uint64_t seed = 1;
  Millis duration = 10000;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  FleetSpec fleet;
  DiscoverySpec discovery;
  GatewaySpec gateways;
  LinkSpec link;       // between clients and gateways
  LinkSpec host_link;  // between gateways and hosts
  PeersSpec peers;
  ZonesSpec zones;
  LoadSpec load;
  std::vector<Trouble> troubles;
  Millis window = 10000;  // of the worst one in the report
};

// Throws SpecError; what it returns can be played.
Experiment ReadExperiment(const std::string& file);
Experiment ParseExperiment(const std::string& text, const std::string& file);
// The configuration of a gateway, less what names addresses.
nlohmann::json GatewaySettings(const Experiment& experiment, int index);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_SPEC_HPP_
