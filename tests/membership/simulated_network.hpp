/// @file
/// A simulated network of gateways that exchange heartbeats, for tests of MembershipView.
#ifndef MEADOWYARD_TESTS_MEMBERSHIP_SIMULATED_NETWORK_HPP_
#define MEADOWYARD_TESTS_MEMBERSHIP_SIMULATED_NETWORK_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "membership/heartbeat.hpp"
#include "membership/membership_view.hpp"

namespace meadowyard::testing {

/// Members g0, g1 ... with the default timeouts. Each sends a heartbeat every 100 ms.
class SimulatedNetwork {
 public:
  /// Returns whether heartbeats of `sender` reach `receiver`.
  using Link = std::function<bool(std::size_t sender, std::size_t receiver)>;

  explicit SimulatedNetwork(std::size_t gateways) {
    for (std::size_t i = 0; i < gateways; ++i) names_.push_back("g" + std::to_string(i));
    for (std::size_t i = 0; i < gateways; ++i) Start(i, names_);
  }

  /// Starts or restarts a gateway with the given members in its peers file.
  void Start(std::size_t gateway, std::vector<std::string> members) {
    if (views_.size() <= gateway) views_.resize(gateway + 1);
    views_[gateway] = std::make_unique<membership::MembershipView>(
        std::move(members), gateway, membership::MembershipView::Timeouts(), ++last_incarnation_, now_);
  }

  /// Advances the simulated time by `duration` in steps of one heartbeat interval.
  void Run(Millis duration) {
    const Millis until = now_ + duration;
    while (now_ < until) {
      now_ += kHeartbeatInterval;
      for (std::size_t i = 0; i < views_.size(); ++i) {
        if (!is_running_(i)) continue;
        DeliverQueuedHeartbeats(i);
        SendHeartbeat(i);
      }
    }
  }

  /// Delivers the queued heartbeats to a gateway, even if it is stopped.
  void DeliverQueuedHeartbeats(std::size_t gateway) {
    for (const membership::Heartbeat& heartbeat : std::exchange(queued_heartbeats_[gateway], {})) {
      views_[gateway]->OnHeartbeat(now_, heartbeat);
    }
  }

  void SetLink(Link link) { link_ = std::move(link); }
  void ConnectAll() {
    SetLink([](std::size_t, std::size_t) { return true; });
  }
  /// Sets which gateways run. Heartbeats to stopped gateways are queued.
  void SetRunning(std::function<bool(std::size_t gateway)> is_running) {
    is_running_ = std::move(is_running);
  }
  void ResumeAll() {
    SetRunning([](std::size_t) { return true; });
  }

  [[nodiscard]] membership::MembershipView::Snapshot SnapshotOf(std::size_t gateway) const {
    return views_[gateway]->TakeSnapshot(now_);
  }
  [[nodiscard]] bool HasQuorum(std::size_t gateway) const { return now_ < SnapshotOf(gateway).quorum_until; }
  membership::MembershipView& view(std::size_t gateway) { return *views_[gateway]; }
  const std::vector<std::string>& names() const { return names_; }
  Millis now() const { return now_; }

 private:
  static constexpr Millis kHeartbeatInterval = 100;  // ms

  void SendHeartbeat(std::size_t sender) {
    const membership::Heartbeat heartbeat = views_[sender]->NextHeartbeat(now_);
    for (std::size_t receiver = 0; receiver < views_.size(); ++receiver) {
      if (receiver != sender && link_(sender, receiver)) queued_heartbeats_[receiver].push_back(heartbeat);
    }
  }

  Millis now_ = 5000;
  std::uint64_t last_incarnation_ = 100;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<membership::MembershipView>> views_;
  std::map<std::size_t, std::vector<membership::Heartbeat>> queued_heartbeats_;
  Link link_ = [](std::size_t, std::size_t) { return true; };
  std::function<bool(std::size_t)> is_running_ = [](std::size_t) { return true; };
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_MEMBERSHIP_SIMULATED_NETWORK_HPP_
