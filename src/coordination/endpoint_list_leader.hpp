// Reading the list of hosts: one gateway has the duty by a lease and passes on what discovery tells it; the
// others ask discovery themselves only while nobody does. No I/O; times as in Lease.
#ifndef MEADOWYARD_COORDINATION_ENDPOINT_LIST_LEADER_HPP_
#define MEADOWYARD_COORDINATION_ENDPOINT_LIST_LEADER_HPP_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

#include "coordination/lease.hpp"
#include "coordination/message_codec.hpp"

namespace meadowyard::coordination {

class EndpointListLeader {
 public:
  struct Handlers {
    std::function<void(int to, const CoordinationMessage&)> send;
    std::function<discovery::EndpointList()> whole;     // as it stands here
    std::function<void(discovery::EndpointList)> told;  // by whoever has the duty
    std::function<void(bool on)> watch;                 // discovery, by oneself
  };
  struct Times {
    Lease::Times lease;
    Millis leader_timeout = 2000;  // without a word from whoever has the duty each asks for itself
    Millis refuses =
        5000;  // one whose discovery failed, or is another, leaves the duty to others for so long
  };
  EndpointListLeader(int self, int gateways, Times times, Millis now, FencingToken least,
                     std::optional<std::int64_t> revision, Handlers handlers);

  // To be called again and again; `chance` as in Lease.
  void Tick(Millis now, double chance);
  void OnMessage(Millis now, int from, const CoordinationMessage& word);
  // By this gateway's own discovery; `list` was taken in by then.
  void OnDiscoveryUpdate(Millis now, const discovery::EndpointList& list);
  void OnDiscoveryFailed(Millis now);
  void Stop(Millis now);
  // Discovery is another from now on: its revisions say nothing of those before.
  void OnDiscoveryReplaced(Millis now);
  // Whether discovery is to be asked by oneself now.
  bool watches_discovery() const { return watches_; }
  nlohmann::json Status(Millis now) const;

 private:
  void OnMessage(Millis now, int from, const Lease::Message& word);
  void OnMessage(Millis now, int from, const EndpointListPart& part);
  void OnMessage(Millis now, int from, const EndpointListRequest& wanted);
  void OnMessage(Millis, int, const ZoneStateAnnouncement&) {}  // another duty's
  void OnMessage(Millis, int, const ZoneStateVote&) {}
  void Post(const std::vector<Lease::Envelope>& letters);
  void SendList(int to, const discovery::EndpointList& list, std::int64_t after);
  void Decide(Millis now);

  const int self_, gateways_;
  const Times times_;
  const Handlers handlers_;
  Lease lease_;
  std::optional<std::int64_t> revision_;  // of what is known here
  FencingToken acted_ = 0;                // the highest that an action came with
  int actor_ = -1;
  Millis fresh_at_;
  Millis listens_from_;  // one that starts has forgotten who acted last: it waits until that is over
  bool watches_ = true;
  std::vector<EndpointListPart> parts_;  // of one list, until it is whole
  std::uint64_t passed_on_ = 0, taken_ = 0, turned_down_ = 0;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_ENDPOINT_LIST_LEADER_HPP_
