// meadowyard: the decisions of one gateway that spreads requests over HTTP servers.
//
// A Policy is a state machine without I/O. The gateway reports what happens as Events and carries
// out, in order, the Actions that it gets back. A Policy reads no clock, opens nothing and starts
// no thread: the same settings, seed and events always give the same actions. One Policy serves
// one gateway and is called from one thread at a time; several Policies share nothing.
//
// Times are milliseconds on the gateway's own monotonic clock, from any origin. Ids are opaque.
#ifndef MEADOWYARD_POLICY_HPP_
#define MEADOWYARD_POLICY_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace meadowyard {

using Millis = double;

// Whether a request may run again. Safe: freely. Keyed: a group of servers drops repeats for a
// while. Unsafe: never, unless every earlier attempt is known not to have run.
enum class Effect { kSafe, kKeyed, kUnsafe };
// For keyed classes: which servers drop each other's repeats.
enum class Group { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;
  Millis aim = 0;       // an answer within this earns the full worth
  Millis deadline = 0;  // a client's whole patience, over all its tries
  double worth = 1;
  double late_worth = 0;  // share of the worth earned between aim and deadline
  Effect effect = Effect::kUnsafe;
  Group group = Group::kAll;
  Millis repeat_window = 0;  // keyed: how long repeats are dropped, from the first sending on

  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // requests a second within its share, over all gateways; 0 = unmetered
};

// Where requests go by the zones of their servers; see ZonesAgreed.
struct Locality {
  bool on = false;
  std::map<std::string, int> regions;  // of zones: those of one lie near each other, one without lies alone
  double spare = 1.4;                  // a zone serves all of its own while 1/spare of it or more is fit
  double panic = 0.3;                  // where less than this share of all is fit nobody goes elsewhere
  double most_extra = 1;  // that a fit zone takes from others, as a multiple of its own part; half of it goes
                          // to its region first

  bool operator==(const Locality&) const = default;
};

struct Settings {
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  std::string zone;  // where this gateway stands
  int gateways = 1;  // gateways in front of the same servers, this one included
  int index = -1;    // which of them this one is, from 0; -1 = unknown
  int subset = 0;  // servers that each gateway uses where they know of each other (PeerNews); 0 = as without
  Locality locality;
  bool ask_for_list = false;  // the server list answers only when asked (Watch)
  Millis ask_within = 10000;  // ask mode: longest time without asking
  int max_attempts = 3;
  int most_out = 0;  // attempts out at once that the gateway has room for, over all servers; 0 = any number
  int most_held =
      0;  // requests that one server may be held by (Request::holds), over all of this gateway's; 0 = any
  int streams = 1;  // attempts that one connection to a server carries together
  bool may_cancel = false;
  double cold_from = 1;        // a started server can do at least this share of its work ...
  Millis cold_for = 0;         // ... and all of it after this long
  double fall_multiple = 3;    // a cold server falls over when sent this multiple of what it can do
  bool warm_keys = false;      // a server that met a key lately does less work for it
  bool marks_retry = false;    // clients say of a request that it is a further try
  bool retry_after = false;    // clients are told a Refuse's retry_after
  Millis max_retry_after = 0;  // and heed at most this
  std::vector<std::string> report_fields;  // names of the values in Outcome::load
};

// ---- Events: what the gateway tells its Policy -------------------------------------------------

// A client's request has arrived. It will get exactly one final answer: the first kServed
// outcome (which the gateway hands to the client itself), a Refuse or a Fail.
struct Request {
  std::string id;          // never used again, not even for the client's next try
  std::string class_name;  // a name from Settings::classes
  std::string tenant;      // empty where there are none
  std::string key;         // what the request is about; empty if unknown
  Millis time_left = 0;    // until the client gives this try up
  bool retry = false;      // a client's further try at what it was refused before; only where clients say so
  bool coming = false;     // its body is still on its way: RequestWhole follows, unless it ends before
  std::string only;        // the one server that it may go to; empty: any
  bool holds = false;      // from StreamStarted on it holds its server until its Outcome: a tunnel
  // By which the client asked, where the protocol tells; see Policy::admits.
  std::optional<Effect> effect = {};
};

// The body of a request that came before it is whole: its time counts from now, and its host can begin.
struct RequestWhole {
  std::string request;
  Millis time_left = 0;
};

// A long answer has begun to go to the client; the attempt now belongs to the client.
struct StreamStarted {
  std::string request;
  int attempt = 0;
  Millis latency = 0;  // since the Send, or since the request was whole; 0 = not told
};

enum class Result {
  kServed,
  kError,          // answered with an error; may have run
  kRejected,       // turned away unseen; never ran
  kTimedOut,       // no answer in time; may have run
  kConnectFailed,  // no connection; never ran
  kReset,          // connection lost on the way; may have run
  kCancelled,      // withdrawn by a Cancel; may have run
  kNotSent,        // the gateway could not send it at all; never ran
};

// How an attempt ended. Every Send gets exactly one, also after the request is finished. Of one that held its
// server kReset says that it broke at its very beginning; any other end says nothing of the server.
struct Outcome {
  std::string request;
  int attempt = 0;  // 0, 1, 2 ... in the order of the request's Sends
  std::string server;
  Result result = Result::kServed;
  bool finished = false;     // the request is over: by this outcome or before it
  Millis latency = 0;        // since the Send
  std::vector<double> load;  // the server's load report, as in Settings::report_fields; may be empty
  bool spent = false;        // it can't be sent again: its body is gone here, or perhaps its client is
};

// A server is held by this many more requests (fewer, below 0) that another process's Policy sent.
struct Held {
  std::string server;
  int more = 1;
};

// The client has left; nothing is owed for the request any more.
struct ClientGone {
  std::string request;
};

// A timer set by SetTimer is due.
struct TimerDue {
  std::string name;
};

enum class ServerState { kUp, kDraining, kGone };

struct Server {
  std::string id;  // survives restarts of the same machine
  std::string zone;
  std::string kind;
  std::string cell;
  ServerState state = ServerState::kUp;
  double weight = 1;      // relative size
  Millis started_at = 0;  // when its process last started; 0 = long ago
};

// News of the servers. A full list replaces what was known; a delta changes only what it names.
// A failed call carries no servers: the last list stays valid.
struct ServerNews {
  enum class Kind { kFull, kDelta, kFailed };
  Kind kind = Kind::kFull;
  std::vector<Server> servers;
};

// An operator leaves a server out: nothing new goes to it, whatever the list says, until one puts it back. It
// counts as newly started then, for operators restart what they leave out.
struct ServerOut {
  std::string server;
};
struct ServerBack {
  std::string server;
};

// The settings have changed. Requests that are open keep the class they came under; a class that was changed
// or dropped still takes requests for a moment, until all clients have changed over.
struct SettingsChanged {
  Settings settings;
};

// What a Policy has learned, for the one of the process that takes over. Of servers that are not listed, and
// of classes that are not in force, nothing is taken over but who is left out by hand.
struct Recollection {
  struct OfServer {
    std::string id;
    double latency = 0, steady = 0, base = 0, limit = 0, failing = 0;
    int samples = 0;
    bool suspect = false, lost = false;
    Millis last_served = 0, cold_since = 0;
    double cold_credit = 0;
  };
  struct OfKind {
    std::string name;
    double latency = 0, steady = 0, base = 0;
    int samples = 0;
  };
  struct OfClass {
    std::string name;
    double latency = 0, most_left = 0;
    int samples = 0;
  };
  std::vector<OfServer> servers;
  std::vector<OfKind> kinds;
  std::vector<OfClass> classes;
  std::vector<std::string> out_by_hand;
  double rate = 0, spent_rate = 0, arriving = 0, failing = 0, unserved = 0;
  double warm_served = 0, warm_time = 0, mean_latency = 0;
  int samples = 0;
};

// What one gateway knows of servers that others in front of them want to know.
struct Gossip {
  struct Start {
    std::string server;
    Millis at = 0;  // on the clock of whoever holds this
  };
  std::vector<Start> started;          // lately, as the server list tells
  std::vector<std::string> recovered;  // tried again and found to serve, a moment ago
};

// Of the gateways in front of the same servers. From the first of these on, what all of them share is split
// among those that are there, as long as more than half of all agree on that; a gateway that has lost touch
// keeps the share that it had.
struct PeerNews {
  int listed = 1;             // that there may be, this one included
  int present = 1;            // that are there, as this one sees it
  int place = 0;              // of this one among those, from 0
  Millis in_touch_until = 0;  // until then this one is in touch with more than half of those listed
  Gossip gossip;              // what has come from others since the last of these
};

// What one gateway sees of the zones.
struct ZoneSight {
  std::string zone;
  double size = 0;   // weight of the servers that may be used
  double fit = 0;    // of these: trusted, and warm
  double ended = 0;  // attempts there that ended lately, and requests that found no server there in time
  double good = 0;   // of these: answered within their class's aim
};
struct Sights {
  std::string zone;     // where the gateway stands
  double arriving = 0;  // requests a second at it
  std::vector<ZoneSight> zones;
};

// How the zones stand, as more than half of all gateways have agreed. From the first of these on requests go
// by it, and a gateway that the others can't reach keeps to the last. Older ones are passed over.
struct ZonesAgreed {
  std::uint64_t term = 0, version = 0;  // of the gateway that proposed it; both only grow
  struct Zone {
    std::string name;
    double health = 1;  // share of it that is fit; 0: failed
    double size = 0;    // weight of its servers when all are there
    double demand = 0;  // requests a second at the gateways that stand in it

    bool operator==(const Zone&) const = default;
  };
  std::vector<Zone> zones;

  bool operator==(const ZonesAgreed&) const = default;
  bool After(const ZonesAgreed& other) const {
    return term != other.term ? term > other.term : version > other.version;
  }
};

using Event = std::variant<Request, RequestWhole, StreamStarted, Outcome, ClientGone, TimerDue, ServerNews,
                           ServerOut, ServerBack, SettingsChanged, Recollection, Held, PeerNews, ZonesAgreed>;

// ---- Actions: what the gateway is to do, in this order -----------------------------------------

// Start an attempt. After `timeout` it ends with kTimedOut.
struct Send {
  std::string request;
  std::string server;
  Millis timeout = 0;
};
// Final answer: turned away, trying again is harmless. retry_after 0 = no advice.
struct Refuse {
  std::string request;
  Millis retry_after = 0;
};
// Final answer: failed; it may or may not have run.
struct Fail {
  std::string request;
};
// Stop waiting for one attempt. Its Outcome still comes.
struct Cancel {
  std::string request;
  int attempt = 0;
};
struct SetTimer {
  Millis delay = 0;
  std::string name;
};
// Subscribe to changes of the server list; answered by ServerNews. Only in ask mode.
struct Watch {};
// The longest time from a ServerNews that says kFailed to the next Watch: a list service that is back must
// not wait for longer to be asked, or what it has comes too late.
constexpr Millis kWatchAgain = 1500;
// A line for the gateway's log.
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Watch, Log>;

class Policy {
 public:
  // Throws std::invalid_argument naming the field when the settings cannot work.
  Policy(Settings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Handles one event at time `now`, which never runs backwards, and appends what is to be done
  // to `actions` (which is not cleared). Give it the server list first: nothing is sent before.
  void handle(Millis now, const Event& event, std::vector<Action>& actions);

  // Whether a server is listed, was so lately, or is left out by hand.
  bool knows(const std::string& server) const;
  // Whether anything new may go to a server: it is listed as up and not left out by hand.
  bool may_use(const std::string& server) const;
  // What a class's name stands for at the moment. kNoEffect: a class of this name takes no request made so.
  enum class Admission { kYes, kNoClass, kNoEffect };
  Admission admits(Millis now, const std::string& class_name, Effect effect) const;
  struct Census {
    int listed = 0;
    int avoided = 0;              // of these: left out by hand, told to drain, or not ready
    int open = 0;                 // requests that are not over, or have attempts out
    int queued = 0;               // of these: waiting for a server or a token
    int in_flight = 0, held = 0;  // attempts that load servers, and those that hold them
    int used = 0;                 // servers in this gateway's subset
    int sharers = 1;              // gateways that what all share is split among
  };
  Census census() const;
  // What other gateways may be told; see PeerNews.
  Gossip gossip() const;
  Sights sights() const;
  // The share of this gateway's requests that goes to each zone, by what was agreed; those of what is left
  // are refused. Empty: nothing was agreed.
  std::vector<std::pair<std::string, double>> parts() const;
  Recollection recall() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_POLICY_HPP_
