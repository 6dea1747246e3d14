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
#include "core/figures.hpp"
#include "core/message.hpp"
#include "core/upstream.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

class Gateway {
 public:
  struct Handlers {
    std::function<void()> watch;  // the module asks for the list of hosts
    std::function<void(const Log& entry)> log;
  };
  // Throws ConfigurationError naming the field when the settings can't work. `clock` and `upstream`
  // outlive it.
  Gateway(Clock& clock, const Settings& settings, std::uint64_t seed, Upstream& upstream, Handlers handlers);

  // ---- For fronts: each request that is taken gets one answer ----
  Policy::Admission Admits(const std::string& class_name, Idempotency effect);
  void Take(ClientRequest request);
  // The body that was still coming is whole: from now on the request's time counts.
  void Whole(const std::string& id);
  // A tunnel that another process opened goes on here; returns what its end is to be told to.
  std::function<void(TunnelEnd)> AdoptTunnel(const std::string& class_name, const std::string& host);
  // The client of an unanswered request has left.
  void Left(const std::string& id);

  // ---- For what surrounds the core ----
  // Hands an event to the policy and carries out what it says, one event after the other: what an action
  // causes at once waits in the queue.
  void Report(Event event);
  void Configure(const Settings& settings);
  // Answers all that is open, and refuses what comes from now on: the process ends.
  void FailAll();
  // No request is open here.
  bool empty() const { return flows_.empty(); }
  const Policy& policy() const { return policy_; }
  Figures& figures() { return figures_; }

 private:
  struct Attempt {
    std::string host;
    Millis sent = 0;
    std::uint64_t number = 0;  // the upstream's
    bool out = true;
  };
  // A client's request, until it is answered and all its attempts have ended.
  struct Flow {
    std::shared_ptr<const Call> call;
    std::shared_ptr<BodySource> rest;  // of its body, until that is whole
    std::function<void(meadowyard::Answer)> answer;
    std::function<bool()> gone;  // its client has left, told or not
    std::string class_name;
    Millis allowed = 0;     // from when it is whole
    Millis whole_at = 0;    // 0: it is not whole yet
    bool counted = false;   // as taken
    bool tunnel = false;    // its answer is an open way to a host
    bool spent = false;     // pieces of its body are gone: it can't be sent again
    Millis sure_until = 0;  // its client surely waits until then: for further attempts
    Millis leaves_at = 0;   // by then the policy's answer must be under way
    bool answered = false;
    std::vector<Attempt> attempts;
    std::unique_ptr<Clock::Wait> overdue;
  };

  void Count(const std::string& id, Flow& flow);
  // An attempt has a long answer, which goes to the client as it comes.
  void Begun(const std::string& id, std::size_t attempt, Reply reply, std::shared_ptr<BodySource> rest);
  void Ended(const std::string& id, std::size_t attempt, AttemptResult result, Reply reply);
  void Opened(const std::string& id, std::size_t attempt, std::unique_ptr<meadowyard::Opened> opened);
  void Closed(const std::string& id, std::size_t attempt, TunnelEnd end);
  void Overdue(const std::string& id);

  void Handle(const Event& event);
  void Do(const StartAttempt& send);
  void Do(const Reject& refuse);
  void Do(const Fail& fail);
  void Do(const CancelAttempt& cancel);
  void Do(const SetTimer& timer);
  void Do(const PollEndpoints& watch);
  void Do(const Log& log);

  Flow* Find(const std::string& id);
  bool Wanted(const Flow* flow) const;
  void Answer(Flow& flow, Figures::End end, meadowyard::Answer answer);
  // Every request that was taken ends here, and is counted here.
  void End(Flow& flow, Figures::End end);
  void Settle(const std::string& id);

  Clock& clock_;
  Settings settings_;
  Policy policy_;
  Figures figures_;
  Upstream& upstream_;
  const Handlers handlers_;
  std::unordered_map<std::string, Flow> flows_;
  std::map<std::string, std::unique_ptr<Clock::Wait>> timers_;  // the module's, by name
  std::deque<Event> events_;
  bool reporting_ = false;
  bool ending_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_CORE_GATEWAY_HPP_
