/// @file
/// The decision module: selects the endpoint for each request, and decides which requests are retried and
/// which are rejected.
///
/// A Policy is a state machine without I/O. The gateway passes it Events and carries out the Actions that it
/// returns, in order. A Policy reads no clock, opens no files or sockets and starts no threads: the same
/// settings, seed and events always give the same actions. Each gateway has one Policy, which must be called
/// from one thread at a time. Policies share no state with each other.
///
/// Times are in milliseconds on the gateway's monotonic clock, whose origin is arbitrary. Ids are opaque.
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
  kIdempotent,      ///< It may be executed any number of times.
  kIdempotencyKey,  ///< Endpoints in the same DedupScope drop repeats for the class's dedup_window.
  kNonIdempotent,   ///< It is retried only if every earlier attempt is known not to have been executed.
};

/// For classes with an idempotency key: the endpoints that detect repeats of requests sent to one of them.
/// All endpoints, those in the same zone, or those in the same cell.
enum class DedupScope { kAll, kZone, kCell };

/// Settings of one traffic class.
struct TrafficClassSettings {
  std::string name;
  Millis latency_objective = 0;  ///< An answer within this time has the full value of priority_weight.
  Millis deadline = 0;           ///< How long a client waits in total, including its own retries.
  double priority_weight = 1;    ///< Weight of the class when classes compete for capacity.
  double late_weight = 0;        ///< Share of priority_weight that an answer after the objective still has.
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  Millis dedup_window =
      0;  ///< With an idempotency key: how long repeats are dropped, counted from the first attempt.

  bool operator==(const TrafficClassSettings&) const = default;
};

/// Settings of one tenant.
struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  ///< Quota in requests per second, over all gateways; 0: unlimited.
};

/// Settings of zone routing, which follows the state that the gateways agreed on (see ZoneAgreement).
struct ZoneRoutingSettings {
  bool enabled = false;
  /// Region of each zone; zones in one region have low latency between them. A zone that is not listed forms
  /// a region of its own.
  std::map<std::string, int> regions;
  /// A zone serves all of its own traffic while at least 1/overprovisioning of its capacity is healthy.
  double overprovisioning = 1.4;
  /// If the healthy share of all zones together is below this, no traffic is sent to other zones.
  double panic_threshold = 0.3;
  /// Traffic that a healthy zone accepts from other zones, as a multiple of its own share; half of it is
  /// offered to the zones of its region first.
  double max_overflow = 1;

  bool operator==(const ZoneRoutingSettings&) const = default;
};

/// Settings of one gateway.
struct Settings {
  std::vector<TrafficClassSettings> classes;  ///< Must not be empty.
  std::vector<TenantSettings> tenants;
  std::string zone;        ///< The zone of this gateway.
  int gateway_count = 1;   ///< Number of gateways that share the endpoints, including this one.
  int gateway_index = -1;  ///< Index of this gateway among them, from 0; -1: unknown.
  /// Number of endpoints that each gateway uses if the gateways have a membership protocol
  /// (MembershipUpdate); 0: the default subset size.
  int subset_size = 0;
  ZoneRoutingSettings zone_routing;
  bool polls_endpoints = false;      ///< The endpoint list is polled (PollEndpoints) instead of pushed.
  Millis max_poll_interval = 10000;  ///< If polls_endpoints: longest time between two polls.
  int max_attempts = 3;              ///< Attempts per request, including the first.
  int max_attempts_in_flight = 0;    ///< Over all endpoints; 0: unlimited.
  int max_tunnels_per_endpoint = 0;  ///< Tunnels of this gateway through one endpoint; 0: unlimited.
  int streams_per_connection = 1;    ///< Concurrent attempts on one connection to an endpoint.
  bool can_cancel_attempts = false;  ///< Whether the gateway supports CancelAttempt.
  double slow_start_fraction = 1;    ///< Share of its full capacity that an endpoint has when it starts.
  Millis slow_start_duration = 0;    ///< Time after its start at which an endpoint has its full capacity.
  /// An endpoint in slow start fails if it is sent this multiple of its current capacity.
  double overload_multiple = 3;
  /// A request causes less work at an endpoint that served the same Request::key recently.
  bool key_affinity = false;
  bool clients_mark_retries = false;  ///< Clients set Request::is_retry on their own retries.
  bool sends_retry_after = false;     ///< Reject::retry_after is sent to clients.
  Millis max_retry_after = 0;         ///< Longest time that clients wait because of Reject::retry_after.
  std::vector<std::string> load_report_fields;  ///< Names of the values in AttemptOutcome::load, in order.
};

// ---- Events: what the gateway reports to the Policy ----------------------------------------------

/// A client's request has arrived. It gets exactly one final answer: its first outcome kServed (the gateway
/// forwards that answer to the client without an Action), a Reject or a Fail.
struct Request {
  std::string id;          ///< Unique; a client's retry arrives as a new request with an id of its own.
  std::string class_name;  ///< A name from Settings::classes.
  std::string tenant;      ///< Empty if the request belongs to no tenant.
  std::string key;        ///< Identifies the data that the request is for (see key_affinity); empty: unknown.
  Millis time_left = 0;   ///< Time until the client stops waiting for an answer to this request.
  bool is_retry = false;  ///< The client's retry of a rejected request; needs clients_mark_retries.
  bool body_pending =
      false;  ///< The body is still arriving: RequestBodyComplete follows, unless the request ends first.
  std::string pinned_endpoint;  ///< The only endpoint that the request may be sent to; empty: any.
  bool is_tunnel = false;  ///< A tunnel, which occupies its endpoint from ResponseStarted to AttemptOutcome.
  /// What the client declared, if its protocol can express it; see Policy::CheckAdmission.
  std::optional<Idempotency> idempotency = {};
};

/// The body of a request with Request::body_pending is complete. Its latency objective and deadline count
/// from now on, and its endpoint can start to process it.
struct RequestBodyComplete {
  std::string request;
  Millis time_left = 0;  ///< As Request::time_left.
};

/// The gateway has started to forward a long answer to the client, so the attempt can no longer be retried.
struct ResponseStarted {
  std::string request;
  int attempt = 0;
  Millis latency = 0;  ///< Since StartAttempt or the end of the request body, the later one; 0: unknown.
};

/// How an attempt ended.
enum class AttemptResult {
  kServed,
  kError,          ///< The endpoint answered with an error; the request may have been executed.
  kRejected,       ///< The endpoint rejected the request before any work; it was not executed.
  kTimedOut,       ///< No answer within the time-out; the request may have been executed.
  kConnectFailed,  ///< No connection could be established; the request was not executed.
  kReset,          ///< The connection was lost; the request may have been executed.
  kCancelled,      ///< Ended by CancelAttempt; the request may have been executed.
  kNotSent,        ///< The gateway could not send the request; it was not executed.
};

/// An attempt has ended. Every StartAttempt gets exactly one outcome, even after the request is finished. For
/// a tunnel, kReset means that it broke right after it was opened; any other result of a tunnel is no
/// evidence about the endpoint.
struct AttemptOutcome {
  std::string request;
  int attempt = 0;  ///< Number of the attempt: 0, 1, 2 ... in the order of the request's StartAttempts.
  std::string endpoint;
  AttemptResult result = AttemptResult::kServed;
  bool request_finished = false;  ///< The request has ended, with this outcome or before it.
  Millis latency = 0;             ///< Since StartAttempt.
  std::vector<double> load;       ///< Load report, one value per Settings::load_report_fields; may be empty.
  /// The request can't be sent again: its body is no longer available, or its client may have disconnected.
  bool not_replayable = false;
};

/// The number of tunnels through an endpoint that were started by the Policy of another process has changed.
struct TunnelCountChanged {
  std::string endpoint;
  int delta = 1;  ///< Tunnels opened; negative: tunnels closed.
};

/// The client has disconnected; the request no longer needs an answer.
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
  std::string id;  ///< Stays the same when the machine restarts.
  std::string zone;
  std::string kind;  ///< Endpoints of one kind share a latency estimate.
  std::string cell;  ///< See DedupScope::kCell.
  EndpointState state = EndpointState::kUp;
  double weight = 1;      ///< Relative capacity.
  Millis started_at = 0;  ///< Last start of its process; 0: so long ago that it is warm.
};

/// Service discovery has answered or failed to. A snapshot replaces the endpoint list; a delta changes only
/// the endpoints that it names. A failed poll carries no endpoints, and the last list stays in use.
struct EndpointUpdate {
  enum class Kind { kSnapshot, kDelta, kFailed };
  Kind kind = Kind::kSnapshot;
  std::vector<Endpoint> endpoints;
};

/// An operator has put an endpoint into maintenance: no new attempts are sent to it until MaintenanceEnded,
/// whatever the endpoint list says. The endpoint then counts as newly started, because an endpoint is
/// normally restarted during maintenance.
struct MaintenanceStarted {
  std::string endpoint;
  /// Also for an endpoint that this Policy doesn't know (see Policy::IsKnown): another process of the
  /// gateway, in a hot restart, knew it when the operator called.
  bool even_if_unknown = false;
};
struct MaintenanceEnded {
  std::string endpoint;
};

/// The settings have changed. Open requests keep the class settings that they arrived under. A class that was
/// changed or removed still accepts requests for a short time, because clients apply the change later.
struct SettingsChanged {
  Settings settings;
};

/// Estimates and state of a Policy, for the Policy of the process that takes over. The state of endpoints
/// that are not listed and of classes that are not configured is dropped, but in_maintenance is always kept.
struct LearnedState {
  struct OfEndpoint {
    std::string id;
    double latency = 0;          ///< Smoothed, in ms, divided by the relative latency of the request's class.
    double average_latency = 0;  ///< The same, smoothed over more samples.
    double uncongested_latency = 0;  ///< Estimate of the latency without queueing, in the same unit.
    double concurrency_limit = 0;    ///< Limit of concurrent requests from this gateway.
    double failure_rate = 0;         ///< Smoothed share of failed attempts.
    int samples = 0;                 ///< Latency samples taken so far.
    bool ejected = false;
    bool connection_failed = false;  ///< The process may have ended; a new one has to warm up.
    Millis last_served_at = 0;
    Millis started_at = 0;         ///< Start of the slow start period.
    double slow_start_credit = 0;  ///< Requests that it may be sent now, during slow start.
  };
  /// Latency over all endpoints of one kind; fields as in OfEndpoint.
  struct OfKind {
    std::string name;
    double latency = 0;
    double average_latency = 0;
    double uncongested_latency = 0;
    int samples = 0;
  };
  struct OfClass {
    std::string name;
    double latency = 0;               ///< Smoothed, in ms.
    double observed_time_budget = 0;  ///< Typical time_left of a client's first attempt, in ms.
    int samples = 0;
  };
  std::vector<OfEndpoint> endpoints;
  std::vector<OfKind> kinds;
  std::vector<OfClass> classes;
  std::vector<std::string> in_maintenance;
  double rate = 0;            ///< Tokens per second of the rate controller.
  double dispatch_rate = 0;   ///< Attempts per second, smoothed.
  double arrival_rate = 0;    ///< Requests per millisecond, smoothed.
  double untimely_share = 0;  ///< Smoothed share of outcomes that were not served within the objective.
  double failure_rate = 0;    ///< Smoothed share of failed attempts at endpoints that are not ejected.
  double warm_answers = 0;    ///< Answers from warm endpoints, exponentially decayed.
  double warm_time = 0;       ///< Time in ms that warm endpoints were observed for, decayed the same way.
  double mean_latency = 0;    ///< Over all classes, smoothed, in ms.
  int samples = 0;            ///< Samples in mean_latency.
};

/// Information about endpoints that is exchanged between the gateways that share them.
struct Gossip {
  struct Start {
    std::string endpoint;
    Millis started_at = 0;  ///< On the clock of the gateway that holds this value.
  };
  std::vector<Start> started;          ///< Recent starts that service discovery has confirmed.
  std::vector<std::string> recovered;  ///< Endpoints that a health probe has recently restored.
};

/// The membership of the gateways that share the endpoints has changed. From the first of these events on,
/// shared capacity is divided among the gateways that are present, while this gateway is in contact with a
/// majority. A gateway that has lost the majority keeps its last share.
struct MembershipUpdate {
  int configured = 1;       ///< Number of gateways in the configuration, including this one.
  int present = 1;          ///< Number of gateways that this gateway sees as present, including itself.
  int rank = 0;             ///< Rank of this gateway among those present, from 0.
  Millis quorum_until = 0;  ///< Until then this gateway counts as in contact with a majority of `configured`.
  Gossip gossip;            ///< Received from other gateways since the last update.
};

/// Load and health of one zone as one gateway observes them.
struct ZoneLoad {
  std::string zone;
  double capacity = 0;   ///< Sum of the weights of the endpoints that are up and not in maintenance.
  double available = 0;  ///< Part of capacity that is neither ejected nor in slow start.
  double completed = 0;  ///< Recent attempts in the zone, and requests that found no endpoint there in time.
  double within_objective = 0;  ///< Part of completed that was answered within the latency objective.
};

/// Load and health of all zones as one gateway observes them.
struct ZoneLoadReport {
  std::string zone;         ///< Zone of the gateway.
  double arrival_rate = 0;  ///< Requests per second that arrive at the gateway.
  std::vector<ZoneLoad> zones;
};

/// The state of the zones that a majority of the gateways has agreed on. From the first agreement on,
/// requests are routed by the latest one; a gateway that loses the majority keeps using it. Older agreements
/// are ignored.
struct ZoneAgreement {
  std::uint64_t term = 0;     ///< Fencing token of the coordinator that proposed it.
  std::uint64_t version = 0;  ///< Increases with each change within a term.
  struct Zone {
    std::string name;
    double health = 1;    ///< Share of its capacity that is available; 0: the zone has failed.
    double capacity = 0;  ///< Sum of the weights of its endpoints when all of them are up.
    double demand = 0;    ///< Requests per second that arrive at the gateways in the zone.

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

// ---- Actions: what the gateway has to do, in the given order -------------------------------------

/// Sends a request to an endpoint. Without an answer the attempt ends with kTimedOut after `timeout`.
struct StartAttempt {
  std::string request;
  std::string endpoint;
  Millis timeout = 0;
  /// An answer that has begun by then, and that may be a long one, is no longer awaited but streamed
  /// (ResponseStarted): a retry could not meet the latency objective any more.
  Millis stream_after = 0;
};

/// Final answer: the request is rejected and the client may retry it safely, after `retry_after`; 0: the
/// client gets no advice when to retry.
struct Reject {
  std::string request;
  Millis retry_after = 0;
};

/// Final answer: the request has failed; it may or may not have been executed.
struct Fail {
  std::string request;
};

/// Cancels one attempt. Its AttemptOutcome still follows.
struct CancelAttempt {
  std::string request;
  int attempt = 0;
};

/// Asks for a TimerExpired with this name after `delay`.
struct SetTimer {
  Millis delay = 0;
  std::string name;
};

/// Polls service discovery, which is answered by an EndpointUpdate. Only used with Settings::polls_endpoints.
struct PollEndpoints {};

/// Longest time in ms from a failed EndpointUpdate to the next PollEndpoints. The gateway is expected to know
/// endpoint changes soon after service discovery is reachable again, so the backoff must not exceed this.
constexpr Millis kMaxPollBackoff = 1500;

/// An entry for the gateway's log.
struct Log {
  enum class Event {
    kEndpointEjected,      ///< `endpoint` failed too often and is now sent only health probes.
    kEndpointRestored,     ///< The ejection of `endpoint` has ended.
    kMaintenanceStarted,   ///< Maintenance of `endpoint`.
    kMaintenanceEnded,     ///< Maintenance of `endpoint`.
    kDispatchRateReduced,  ///< The dispatch rate was reduced to `rate_per_s`.
  };
  Event event = Event::kEndpointEjected;
  std::string endpoint;
  int rate_per_s = 0;
};

using Action = std::variant<StartAttempt, Reject, Fail, CancelAttempt, SetTimer, PollEndpoints, Log>;

// ---- The state machine ---------------------------------------------------------------------------

/// The decision state machine of one gateway; see the file comment.
class Policy {
 public:
  /// Result of CheckAdmission.
  enum class Admission {
    kAccepted,
    kUnknownClass,
    kIdempotencyMismatch,  ///< The class exists, but not with this idempotency.
  };

  /// Gauges for metrics.
  struct Stats {
    int endpoints = 0;        ///< Listed endpoints.
    int unavailable = 0;      ///< Listed endpoints that are in maintenance, draining or ejected.
    int open_requests = 0;    ///< Requests that are not answered yet or have attempts in flight.
    int queued = 0;           ///< Open requests that wait for an endpoint or a token.
    int in_flight = 0;        ///< Attempts that endpoints are working on.
    int tunnels = 0;          ///< Open tunnels.
    int subset = 0;           ///< Endpoints in this gateway's subset.
    int active_gateways = 1;  ///< Number of gateways that shared capacity is divided among.
  };

  /// Share of this gateway's requests that is routed to a zone, from 0 to 1.
  struct ZoneWeight {
    std::string zone;
    double weight = 0;
  };

  /// Throws ConfigurationError, which names the field, if the settings are invalid.
  Policy(Settings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;

  /// Handles one event at time `now`, which must not decrease, and appends the resulting actions to `actions`
  /// (which is not cleared). No attempt starts before the first EndpointUpdate with endpoints, so report that
  /// first. Throws ConfigurationError on a SettingsChanged with invalid settings and then changes nothing.
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);

  /// Whether an endpoint is listed, was listed recently, or is in maintenance.
  [[nodiscard]] bool IsKnown(const std::string& endpoint) const;
  /// Whether an endpoint may be sent new attempts: it is listed as up and not in maintenance. With the id of
  /// a `request` that is about to be sent to it, also whether that request may still be sent there: its
  /// deduplication window may have ended since the StartAttempt.
  [[nodiscard]] bool IsEligible(const std::string& endpoint, const std::string& request = {}) const;
  /// Whether a request of this class and idempotency is accepted at `now`.
  [[nodiscard]] Admission CheckAdmission(Millis now, const std::string& class_name,
                                         Idempotency idempotency) const;
  [[nodiscard]] Stats CollectStats() const;
  /// Information for the other gateways; see MembershipUpdate.
  [[nodiscard]] Gossip CollectGossip() const;
  [[nodiscard]] ZoneLoadReport CollectZoneLoad() const;
  /// Zone weights by the last ZoneAgreement; empty if there is none. If their sum is below 1, the remaining
  /// share of the requests is rejected.
  [[nodiscard]] std::vector<ZoneWeight> ZoneWeights() const;
  /// State for the process that takes over, which passes it to its Policy as an event.
  [[nodiscard]] LearnedState Snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_POLICY_HPP_
