// The core: what takes a request, reports Events to the decision module, carries out its Actions and ends the
// request. Knows no protocol, no socket and no list's form.
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
#include "core/upstream.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::core {

class Gateway {
 public:
  struct Handlers {
    std::function<void()> poll_endpoints;  // the module asks for the list of hosts
    std::function<void(const Log& entry)> log;
  };
  // Throws ConfigurationError naming the field when the settings can't work. `clock` and `upstream`
  // outlive it.
  Gateway(Clock& clock, const Settings& settings, std::uint64_t seed, Upstream& upstream, Handlers handlers);

  // ---- For fronts: each request that is taken gets one answer ----
  Policy::Admission CheckAdmission(const std::string& class_name, Idempotency effect);
  void Submit(ClientRequest request);
  // The body that was still coming is whole: from now on the request's time counts.
  void OnBodyComplete(const std::string& id);
  // A tunnel that another process opened goes on here; returns what its end is to be told to.
  std::function<void(TunnelEnd)> AdoptTunnel(const std::string& class_name, const std::string& host);
  // The client of an unanswered request has left.
  void OnClientDisconnected(const std::string& id);

  // ---- For what surrounds the core ----
  // Hands an event to the policy and carries out what it says, one event after the other: what an action
  // causes at once waits in the queue.
  void Report(Event event);
  void Configure(const Settings& settings);
  // Answers all that is open, and refuses what comes from now on: the process ends.
  void FailAll();
  // No request is open here.
  bool empty() const { return exchanges_.empty(); }
  const Policy& policy() const { return policy_; }
  Metrics& metrics() { return metrics_; }

 private:
  struct Attempt {
    std::string endpoint;
    Millis sent_at = 0;
    std::uint64_t id = 0;  // the upstream's
    bool in_flight = true;
  };
  // A client's request, until it is answered and all its attempts have ended.
  struct Exchange {
    std::shared_ptr<const RequestMessage> message;
    std::shared_ptr<BodySource> body_source;  // of its body, until that is whole
    std::function<void(meadowyard::core::Answer)> on_answer;
    std::function<bool()> has_disconnected;  // its client has left, told or not
    std::string class_name;
    Millis client_timeout = 0;    // from when it is whole
    Millis body_complete_at = 0;  // 0: it is not whole yet
    bool accepted = false;        // as taken
    bool is_tunnel = false;       // its answer is an open way to a host
    bool not_replayable = false;  // pieces of its body are gone: it can't be sent again
    Millis retry_deadline = 0;    // its client surely waits until then: for further attempts
    Millis answer_deadline = 0;   // by then the policy's answer must be under way
    bool answered = false;
    std::vector<Attempt> attempts;
    std::unique_ptr<Clock::Timer> deadline_timer;
  };

  void Accept(const std::string& id, Exchange& flow);
  // An attempt has a long answer, which goes to the client as it comes.
  void OnResponseStarted(const std::string& id, std::size_t attempt, ResponseMessage reply,
                         std::shared_ptr<BodySource> rest);
  void OnAttemptFinished(const std::string& id, std::size_t attempt, AttemptResult result,
                         ResponseMessage reply);
  void OnTunnelOpened(const std::string& id, std::size_t attempt,
                      std::unique_ptr<meadowyard::core::TunnelEndpoint> opened);
  void OnTunnelClosed(const std::string& id, std::size_t attempt, TunnelEnd end);
  void OnDeadline(const std::string& id);

  void Handle(const Event& event);
  void Execute(const StartAttempt& send);
  void Execute(const Reject& refuse);
  void Execute(const Fail& fail);
  void Execute(const CancelAttempt& cancel);
  void Execute(const SetTimer& timer);
  void Execute(const PollEndpoints& watch);
  void Execute(const Log& log);

  Exchange* Find(const std::string& id);
  bool IsAwaited(const Exchange* flow) const;
  void Answer(Exchange& flow, Metrics::RequestResult end, meadowyard::core::Answer answer);
  // Every request that was taken ends here, and is counted here.
  void Finish(Exchange& flow, Metrics::RequestResult end);
  void ReleaseIfFinished(const std::string& id);

  Clock& clock_;
  Settings settings_;
  Policy policy_;
  Metrics metrics_;
  Upstream& upstream_;
  const Handlers handlers_;
  std::unordered_map<std::string, Exchange> exchanges_;
  std::map<std::string, std::unique_ptr<Clock::Timer>> timers_;  // the module's, by name
  std::deque<Event> events_;
  bool reporting_ = false;
  bool ending_ = false;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_GATEWAY_HPP_
