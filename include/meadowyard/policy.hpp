/// @file
/// The decision module: which endpoint serves a request, what is retried and what is rejected.
///
/// A Policy is a state machine without I/O. The gateway reports what happens as Events and carries out the
/// Actions that it gets back, in order. A Policy reads no clock, opens nothing and starts no thread: the same
/// settings, seed and events always give the same actions. One Policy serves one gateway and is called from
/// one thread at a time; several Policies share nothing.
///
/// Times are milliseconds on the gateway's own monotonic clock, from any origin. Ids are opaque.
#ifndef MEADOWYARD_POLICY_HPP_
#define MEADOWYARD_POLICY_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace meadowyard {

/// A duration, or an instant on the gateway's clock, in milliseconds.
using Millis = double;

// ---- Settings ----------------------------------------------------------------------------------

/// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      ///< Any number of times.
  kIdempotencyKey,  ///< A group of endpoints (see DedupScope) drops repeats for a while.
  kNonIdempotent,   ///< Retried only if every earlier attempt is known not to have been executed.
};

/// For classes with an idempotency key: which endpoints drop each other's repeats.
enum class DedupScope { kAll, kZone, kCell };

/// Settings of one traffic class.
struct TrafficClassSettings {
  std::string name;
  Millis latency_objective = 0;  ///< An answer within this time earns the full priority weight.
  Millis deadline = 0;           ///< How long a client waits, over all of its attempts.
  double priority_weight = 1;    ///< Weight of the class when classes compete for capacity.
  double late_weight = 0;        ///< Share of the weight that an answer after the objective still earns.
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  Millis dedup_window =
      0;  ///< With an idempotency key: how long repeats are dropped, from the first attempt on.

  bool operator==(const TrafficClassSettings&) const = default;
};

/// Settings of one tenant.
struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  ///< Requests per second within its quota, over all gateways; 0: unmetered.
};

/// Routing by zone, as the gateways have agreed (see ZoneAgreement).
struct ZoneRoutingSettings {
  bool enabled = false;
  /// Region of each zone; zones of one region are near each other. A zone that is missing is its own region.
  std::map<std::string, int> regions;
  double overprovisioning = 1.4;  ///< A zone serves all of its own traffic while 1/this of it is healthy.
  double panic_threshold = 0.3;   ///< Below this healthy share of all zones no traffic leaves its zone.
  /// Traffic that a healthy zone accepts from others, as a multiple of its own share; half of it is offered
  /// to its own region first.
  double max_overflow = 1;

  bool operator==(const ZoneRoutingSettings&) const = default;
};

/// Settings of one gateway.
struct Settings {
  std::vector<TrafficClassSettings> classes;  ///< At least one.
  std::vector<TenantSettings> tenants;
  std::string zone;        ///< The zone of this gateway.
  int gateway_count = 1;   ///< Gateways in front of the same endpoints, this one included.
  int gateway_index = -1;  ///< Index of this gateway among them, from 0; -1: unknown.
  /// Endpoints that each gateway uses where gateways know each other (MembershipUpdate); 0: the default
  /// subset.
  int subset_size = 0;
  ZoneRoutingSettings zone_routing;
  bool polls_endpoints = false;       ///< The endpoint list is polled (PollEndpoints) instead of pushed.
  Millis max_poll_interval = 10000;   ///< When polling: longest time between two polls.
  int max_attempts = 3;               ///< Attempts per request.
  int max_attempts_in_flight = 0;     ///< Over all endpoints; 0: unlimited.
  int max_tunnels_per_endpoint = 0;   ///< Tunnels of this gateway through one endpoint; 0: unlimited.
  int streams_per_connection = 1;     ///< Attempts that one connection to an endpoint carries at a time.
  bool can_cancel_attempts = false;   ///< Whether CancelAttempt may be used.
  double slow_start_fraction = 1;     ///< Share of its capacity that an endpoint has when it starts ...
  Millis slow_start_duration = 0;     ///< ... and all of it after this time.
  double overload_multiple = 3;       ///< A warming endpoint fails when sent this multiple of its capacity.
  bool key_affinity = false;          ///< An endpoint that served a key recently does less work for it.
  bool clients_mark_retries = false;  ///< Clients say of a request that it is a retry of theirs.
  bool sends_retry_after = false;     ///< Clients are given Reject::retry_after.
  Millis max_retry_after = 0;         ///< Clients wait no longer than this.
  std::vector<std::string> load_report_fields;  ///< Names of the values in AttemptOutcome::load.
};

// ---- Events: what the gateway reports ------------------------------------------------------------

/// A client's request has arrived. It gets exactly one final answer: the first outcome kServed (which the
/// gateway passes to the client itself), a Reject or a Fail.
struct Request {
  std::string id;          ///< Never used again, not even for the client's retry.
  std::string class_name;  ///< A name from Settings::classes.
  std::string tenant;      ///< Empty where there are none.
  std::string key;         ///< What the request is about; empty if unknown.
  Millis time_left = 0;    ///< Until the client gives this attempt of its own up.
  bool is_retry = false;   ///< The client's retry of a rejected request; only where clients mark retries.
  bool body_pending =
      false;  ///< The body is still arriving: RequestBodyComplete follows, unless it ends before.
  std::string pinned_endpoint;  ///< The only endpoint that it may go to; empty: any.
  bool is_tunnel = false;       ///< From ResponseStarted to its AttemptOutcome it occupies its endpoint.
  /// What the client declared, where its protocol has a way to; see Policy::CheckAdmission.
  std::optional<Idempotency> idempotency = {};
};

/// The body of a request with Request::body_pending is complete: its time counts from now on, and its
/// endpoint can begin to work.
struct RequestBodyComplete {
  std::string request;
  Millis time_left = 0;
};

/// A long response has begun to go to the client; the attempt can't be replaced any more.
struct ResponseStarted {
  std::string request;
  int attempt = 0;
  Millis latency = 0;  ///< Since StartAttempt, or since the body was complete; 0: unknown.
};

/// How an attempt ended.
enum class AttemptResult {
  kServed,
  kError,          ///< Answered with an error; may have been executed.
  kRejected,       ///< Rejected by the endpoint before any work; was not executed.
  kTimedOut,       ///< No answer in time; may have been executed.
  kConnectFailed,  ///< No connection; was not executed.
  kReset,          ///< The connection was lost; may have been executed.
  kCancelled,      ///< Ended by CancelAttempt; may have been executed.
  kNotSent,        ///< The gateway could not send it; was not executed.
};

/// An attempt has ended. Every StartAttempt gets exactly one outcome, also after the request is finished. For
/// a tunnel kReset says that it broke at its very beginning; any other end says nothing about the endpoint.
struct AttemptOutcome {
  std::string request;
  int attempt = 0;  ///< 0, 1, 2 ... in the order of the request's StartAttempts.
  std::string endpoint;
  AttemptResult result = AttemptResult::kServed;
  bool request_finished = false;  ///< The request is over: by this outcome or before it.
  Millis latency = 0;             ///< Since StartAttempt.
  std::vector<double> load;       ///< Load report, by Settings::load_report_fields; may be empty.
  bool not_replayable = false;    ///< It can't be sent again: its body, or perhaps its client, is gone.
};

/// Tunnels that another process's Policy started occupy an endpoint, or do so no more.
struct TunnelCountChanged {
  std::string endpoint;
  int delta = 1;
};

/// The client has disconnected; the request needs no answer any more.
struct ClientDisconnected {
  std::string request;
};

/// A timer set by SetTimer has expired.
struct TimerExpired {
  std::string name;
};

enum class EndpointState { kUp, kDraining, kRemoved };

/// An endpoint as service discovery describes it.
struct Endpoint {
  std::string id;  ///< Survives restarts of the same machine.
  std::string zone;
  std::string kind;
  std::string cell;
  EndpointState state = EndpointState::kUp;
  double weight = 1;      ///< Relative capacity.
  Millis started_at = 0;  ///< Last start of its process; 0: long ago.
};

/// Service discovery has answered. A snapshot replaces what was known; a delta changes only what it names. A
/// failed poll carries no endpoints: the last list stays in force.
struct EndpointUpdate {
  enum class Kind { kSnapshot, kDelta, kFailed };
  Kind kind = Kind::kSnapshot;
  std::vector<Endpoint> endpoints;
};

/// An operator has put an endpoint into maintenance: nothing new goes to it, whatever the list says, until
/// MaintenanceEnded. It then counts as newly started, for operators restart what they maintain.
struct MaintenanceStarted {
  std::string endpoint;
};
struct MaintenanceEnded {
  std::string endpoint;
};

/// The settings have changed. Open requests keep the class that they arrived under; a class that was changed
/// or removed goes on accepting requests for a moment, until all clients have followed.
struct SettingsChanged {
  Settings settings;
};

/// What a Policy has learned, for the Policy of the process that takes over. State of endpoints that are not
/// listed and of classes that are not in force is dropped, except for the endpoints in maintenance.
struct LearnedState {
  struct OfEndpoint {
    std::string id;
    double latency = 0;              ///< Smoothed, relative to the class.
    double average_latency = 0;      ///< The same, smoothed over more samples.
    double uncongested_latency = 0;  ///< Estimate of the latency without queueing.
    double concurrency_limit = 0;    ///< Requests of this gateway that it takes at a time.
    double failure_rate = 0;         ///< Smoothed share of failed attempts.
    int samples = 0;
    bool ejected = false;
    bool connection_failed = false;  ///< It may come back as a new process.
    Millis last_served_at = 0;
    Millis started_at = 0;         ///< Slow start counts from here.
    double slow_start_credit = 0;  ///< Requests that it may be sent while it warms up.
  };
  struct OfKind {
    std::string name;
    double latency = 0;
    double average_latency = 0;
    double uncongested_latency = 0;
    int samples = 0;
  };
  struct OfClass {
    std::string name;
    double latency = 0;
    double observed_time_budget = 0;  ///< Time that clients have left at a first attempt.
    int samples = 0;
  };
  std::vector<OfEndpoint> endpoints;
  std::vector<OfKind> kinds;
  std::vector<OfClass> classes;
  std::vector<std::string> in_maintenance;
  double rate = 0;            ///< Tokens per second.
  double dispatch_rate = 0;   ///< Attempts per second, smoothed.
  double arrival_rate = 0;    ///< Requests per millisecond, smoothed.
  double untimely_share = 0;  ///< Smoothed share of outcomes that were not served within the objective.
  double failure_rate = 0;    ///< Smoothed share of failed attempts at endpoints that are not ejected.
  double warm_answers = 0;    ///< Answers of warm endpoints, fading.
  double warm_time = 0;       ///< Time of warm endpoints that they were observed over, fading.
  double mean_latency = 0;
  int samples = 0;
};

/// What gateways in front of the same endpoints tell each other of them.
struct Gossip {
  struct Start {
    std::string endpoint;
    Millis started_at = 0;  ///< On the clock of whoever holds this.
  };
  std::vector<Start> started;          ///< Recent starts that service discovery has confirmed.
  std::vector<std::string> recovered;  ///< Endpoints that a health probe has just brought back.
};

/// Membership of the gateways in front of the same endpoints has changed. From the first of these on, what
/// all of them share is divided among those present, as long as a majority agrees; a gateway that has lost
/// the majority keeps the share that it had.
struct MembershipUpdate {
  int configured = 1;       ///< Gateways that there may be, this one included.
  int present = 1;          ///< Gateways that are present, as this one sees it.
  int rank = 0;             ///< Of this one among those present, from 0.
  Millis quorum_until = 0;  ///< Until then this one is in contact with a majority of those configured.
  Gossip gossip;            ///< What others have sent since the last update.
};

/// What one gateway observes of a zone.
struct ZoneLoad {
  std::string zone;
  double capacity = 0;          ///< Weight of the endpoints that may be used.
  double available = 0;         ///< Of these: neither ejected nor warming up.
  double completed = 0;         ///< Recent attempts there, and requests that found no endpoint there in time.
  double within_objective = 0;  ///< Of these: answered within their class's latency objective.
};

/// What one gateway observes of all zones.
struct ZoneLoadReport {
  std::string zone;         ///< Zone of the gateway.
  double arrival_rate = 0;  ///< Requests per second at the gateway.
  std::vector<ZoneLoad> zones;
};

/// The state of the zones as a majority of the gateways has agreed on it. From the first of these on requests
/// are routed by it; a gateway that loses the majority keeps to the last one. Older ones are ignored.
struct ZoneAgreement {
  std::uint64_t term = 0;     ///< Fencing token of the coordinator that proposed it.
  std::uint64_t version = 0;  ///< Grows with each change.
  struct Zone {
    std::string name;
    double health = 1;    ///< Share of its capacity that is available; 0: failed.
    double capacity = 0;  ///< Weight of its endpoints when all are there.
    double demand = 0;    ///< Requests per second at the gateways in it.

    bool operator==(const Zone&) const = default;
  };
  std::vector<Zone> zones;

  bool operator==(const ZoneAgreement&) const = default;
  [[nodiscard]] bool IsNewerThan(const ZoneAgreement& other) const {
    return term != other.term ? term > other.term : version > other.version;
  }
};

using Event =
    std::variant<Request, RequestBodyComplete, ResponseStarted, AttemptOutcome, ClientDisconnected,
                 TimerExpired, EndpointUpdate, MaintenanceStarted, MaintenanceEnded, SettingsChanged,
                 LearnedState, TunnelCountChanged, MembershipUpdate, ZoneAgreement>;

// ---- Actions: what the gateway is to do, in this order -------------------------------------------

/// Starts an attempt. After `timeout` it ends with kTimedOut.
struct StartAttempt {
  std::string request;
  std::string endpoint;
  Millis timeout = 0;
};

/// Final answer: rejected, and a retry is harmless. A `retry_after` of 0 gives no advice.
struct Reject {
  std::string request;
  Millis retry_after = 0;
};

/// Final answer: failed; it may or may not have been executed.
struct Fail {
  std::string request;
};

/// Stops waiting for one attempt. Its AttemptOutcome still follows.
struct CancelAttempt {
  std::string request;
  int attempt = 0;
};

struct SetTimer {
  Millis delay = 0;
  std::string name;
};

/// Polls service discovery; answered by an EndpointUpdate. Only with Settings::polls_endpoints.
struct PollEndpoints {};

/// Longest time from a failed EndpointUpdate to the next PollEndpoints: changes count as notified soon after
/// discovery is reachable again, so the backoff must not grow beyond this.
constexpr Millis kMaxPollBackoff = 1500;

/// An entry for the gateway's log.
struct Log {
  enum class Event {
    kEndpointEjected,      ///< `endpoint` fails too often and gets health probes alone.
    kEndpointRestored,     ///< `endpoint` serves again.
    kMaintenanceStarted,   ///< of `endpoint`
    kMaintenanceEnded,     ///< of `endpoint`
    kDispatchRateReduced,  ///< to `rate_per_s`
  };
  Event event = Event::kEndpointEjected;
  std::string endpoint;
  int rate_per_s = 0;
};

using Action = std::variant<StartAttempt, Reject, Fail, CancelAttempt, SetTimer, PollEndpoints, Log>;

// ---- The state machine ---------------------------------------------------------------------------

class Policy {
 public:
  /// Whether a request of a class and an idempotency is accepted.
  enum class Admission {
    kAccepted,
    kUnknownClass,
    kIdempotencyMismatch,  ///< The class exists, but not with this idempotency.
  };

  /// Counts of what a Policy keeps, for metrics.
  struct Stats {
    int endpoints = 0;        ///< Listed endpoints.
    int unavailable = 0;      ///< Of these: in maintenance, draining or ejected.
    int open_requests = 0;    ///< Requests that are not over, or have attempts in flight.
    int queued = 0;           ///< Of these: waiting for an endpoint or a token.
    int in_flight = 0;        ///< Attempts that load endpoints.
    int tunnels = 0;          ///< Tunnels that occupy endpoints.
    int subset = 0;           ///< Endpoints in this gateway's subset.
    int active_gateways = 1;  ///< Gateways that shared capacity is divided among.
  };

  /// Share of this gateway's requests that is routed to a zone, from 0 to 1.
  struct ZoneWeight {
    std::string zone;
    double weight = 0;
  };

  /// Throws ConfigurationError naming the field when the settings can't work.
  Policy(Settings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;

  /// Handles one event at time `now`, which never runs backwards, and appends what is to be done to `actions`
  /// (which is not cleared). Report the endpoints first: nothing is sent before. Throws ConfigurationError on
  /// a SettingsChanged that can't work, and changes nothing then.
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);

  /// Whether an endpoint is listed, was listed recently, or is in maintenance.
  [[nodiscard]] bool IsKnown(const std::string& endpoint) const;
  /// Whether anything new may go to an endpoint: it is listed as up and not in maintenance. With `request`,
  /// which is on its way there, also whether that request still may: its deduplication window may be over.
  [[nodiscard]] bool IsEligible(const std::string& endpoint, const std::string& request = {}) const;
  /// Whether a request of this class and idempotency is accepted at `now`.
  [[nodiscard]] Admission CheckAdmission(Millis now, const std::string& class_name,
                                         Idempotency idempotency) const;
  [[nodiscard]] Stats CollectStats() const;
  /// What may be sent to other gateways; see MembershipUpdate.
  [[nodiscard]] Gossip CollectGossip() const;
  [[nodiscard]] ZoneLoadReport CollectZoneLoad() const;
  /// Zone weights by the last agreement; requests beyond their sum are rejected. Empty: nothing was agreed.
  [[nodiscard]] std::vector<ZoneWeight> ZoneWeights() const;
  [[nodiscard]] LearnedState Snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_POLICY_HPP_
