/// @file
/// The core of the gateway. Accepts requests, reports Events to the decision module (Policy), executes its
/// Actions and answers the requests. Independent of client protocols, sockets and the format of host lists.
#ifndef MEADOWYARD_CORE_GATEWAY_HPP_
#define MEADOWYARD_CORE_GATEWAY_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/message.hpp"
#include "core/metrics.hpp"
#include "core/replay_cache.hpp"
#include "core/request_id_registry.hpp"
#include "core/upstream.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::core {

/// Connects the fronts, the policy and the upstream. Used from one thread.
class Gateway {
 public:
  /// Actions of the policy that the service around the core executes.
  struct Handlers {
    std::function<void()> poll_endpoints;  // the policy requests the list of hosts
    std::function<void(const Log& entry)> log;
  };
  /// Throws ConfigurationError naming the field when the settings can't work. `clock` and `upstream` must
  /// outlive the gateway.
  Gateway(Clock& clock, const Settings& settings, std::uint64_t seed, Upstream& upstream, Handlers handlers);

  // ---- For fronts: each submitted request gets exactly one answer ----
  /// Whether a request of this class and idempotency would be accepted now.
  Policy::Admission CheckAdmission(const std::string& class_name, Idempotency idempotency);
  /// The answer goes to ClientRequest::on_answer, possibly before Submit returns.
  void Submit(ClientRequest request);
  /// The remainder of the request's body has arrived: its client timeout counts from now.
  void OnBodyComplete(const std::string& id);
  /// Continues a tunnel that another process of this gateway opened. The returned function is to be called
  /// when the tunnel ends.
  std::function<void(TunnelEnd)> AdoptTunnel(const std::string& class_name, const std::string& host);
  /// The client of an unanswered request has disconnected.
  void OnClientDisconnected(const std::string& id);

  // ---- For the service around the core ----
  /// Passes an event to the policy and executes the resulting actions. Events are handled one after the
  /// other: those that an action causes synchronously are queued.
  void Report(Event event);
  /// Replaces the settings. Throws ConfigurationError if the policy rejects them.
  void Configure(const Settings& settings);
  /// Claims the ids of open requests in `registry` from now on, and publishes unresolved ones there. It must
  /// outlive the gateway; null ends this.
  void ShareRequestIds(RequestIdRegistry* registry);
  /// Fails all unanswered requests and rejects new ones from now on, because the process is shutting down.
  void FailAll();
  /// Whether no request is open.
  bool empty() const { return open_requests_.empty(); }
  const Policy& policy() const { return policy_; }
  Metrics& metrics() { return metrics_; }

 private:
  struct Attempt {
    std::string endpoint;
    Millis sent_at = 0;
    std::uint64_t id = 0;  // returned by Upstream::Start
    bool in_flight = true;
  };
  // A request from its submission until it is answered and all its attempts have ended.
  struct OpenRequest {
    std::shared_ptr<const RequestMessage> message;
    std::shared_ptr<RequestBody> body_source;  // remainder of its body, until it is complete
    std::function<void(meadowyard::core::Answer)> on_answer;
    std::function<bool()> has_disconnected;  // see ClientRequest::has_disconnected
    std::function<bool()> is_answer_unread;  // see ClientRequest::is_answer_unread
    std::string class_name;
    Millis client_timeout = 0;    // counted from the complete request
    Millis body_complete_at = 0;  // 0: it is not complete yet
    bool accepted = false;        // counted as accepted in the metrics
    bool is_tunnel = false;       // answered with an open connection to a host
    bool not_replayable = false;  // parts of its body were not kept: it can't be sent again
    bool is_repeatable = false;   // its class may be executed any number of times
    bool may_have_run = false;    // an attempt may have been executed
    bool is_resolved = false;     // its client was given an endpoint's answer, or the beginning of one
    Millis retry_deadline = 0;    // for retries: earliest time at which the client may give up
    Millis answer_deadline = 0;   // latest time at which the policy has to answer
    bool answered = false;
    std::vector<Attempt> attempts;
    std::unique_ptr<Clock::Timer> deadline_timer;
  };

  // Answers a request whose id can't be used now; false if it can.
  bool AnswerIfIdIsTaken(const ClientRequest& request);
  bool IsRepeatable(const ClientRequest& request) const;
  // The request must not be executed again for some time, in any process.
  void RememberUnresolved(const std::string& id);
  void TakePublishedIds();
  // Watches whether the client reads the answer of a request that must not be executed again.
  std::function<void(bool was_read)> WatchDelivery(const std::string& id, OpenRequest& open_request);
  void OnAnswerSettled(const std::string& id, bool was_read);
  // Rejects a request that no attempt was made for.
  void RejectUnsent(const ClientRequest& request);
  // The client's timeout began when it sent the request, between `earliest_sent_at` and `received_at`.
  static void SetDeadlines(OpenRequest& open_request, Millis received_at, Millis earliest_sent_at);
  // The request is complete: counts it as accepted and starts its deadline timer.
  void Accept(const std::string& id, OpenRequest& open_request);
  // When the request is failed if it is still unanswered. A body that is still arriving defers this time.
  static Millis DeadlineTimerExpiry(const OpenRequest& open_request);
  void StartDeadlineTimer(const std::string& id, OpenRequest& open_request);
  void OnDeadlineTimer(const std::string& id);
  // An attempt has a streamed response, which is forwarded to the client as it arrives.
  void OnResponseStarted(std::string id, std::size_t attempt, ResponseMessage response,
                         std::shared_ptr<BodySource> remaining_body);
  void OnAttemptFinished(const std::string& id, std::size_t attempt, AttemptResult result,
                         ResponseMessage response);
  void OnTunnelOpened(const std::string& id, std::size_t attempt,
                      std::unique_ptr<meadowyard::core::TunnelEndpoint> host_connection);
  void OnTunnelClosed(const std::string& id, std::size_t attempt, TunnelEnd end);
  void OnDeadline(const std::string& id);
  // Ends the attempts whose request is not completely written: their endpoints have not executed it.
  void CancelUnsentAttempts(const OpenRequest& open_request);

  void Handle(const Event& event);
  void Execute(const StartAttempt& start);
  void Execute(const Reject& reject);
  void Execute(const Fail& fail);
  void Execute(const CancelAttempt& cancel);
  void Execute(const SetTimer& timer);
  void Execute(const PollEndpoints& poll);
  void Execute(const Log& log);

  OpenRequest* Find(const std::string& id);
  // Whether a client still waits for the answer.
  bool IsAwaited(const OpenRequest* open_request) const;
  void Answer(OpenRequest& open_request, Metrics::RequestResult request_result,
              meadowyard::core::Answer answer);
  // Ends a request that gets no streamed response and no tunnel, and counts its result.
  void Finish(OpenRequest& open_request, Metrics::RequestResult request_result);
  // Erases an open request that is answered and has no attempt in flight.
  void ReleaseIfFinished(const std::string& id);

  Clock& clock_;
  Settings settings_;
  Policy policy_;
  Metrics metrics_;
  Upstream& upstream_;
  RequestIdRegistry* id_registry_ = nullptr;  // null: no other process of this gateway is running
  ReplayCache replay_cache_;
  // Answers that were written and may not have been read yet, by request id; see
  // ClientRequest::is_answer_unread.
  std::unordered_map<std::string, std::function<bool()>> unsettled_answers_;
  const Handlers handlers_;
  std::unordered_map<std::string, OpenRequest> open_requests_;
  std::map<std::string, std::unique_ptr<Clock::Timer>> timers_;  // the policy's, by name
  std::deque<Event> pending_events_;
  bool handling_events_ = false;
  bool shutting_down_ = false;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_GATEWAY_HPP_
