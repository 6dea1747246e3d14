/// @file
/// The decision module on the simulator's wire: text lines become events, actions become text lines. No
/// decisions.
#ifndef MEADOWYARD_SIMULATOR_SIMULATOR_SESSION_HPP_
#define MEADOWYARD_SIMULATOR_SIMULATOR_SESSION_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "meadowyard/policy.hpp"
#include "simulator/simulator_protocol.hpp"

namespace meadowyard::simulator {

/// The policies of one process. Feed it line after line; after EOF_BATCH it has a reply. The policies share
/// the process and the numbered endpoint lists of the protocol, and nothing else.
class SimulatorSession {
 public:
  /// Consumes one line, without its newline. Throws SimulatorProtocolError on a malformed one.
  void ConsumeLine(std::string_view line);

  /// After EOF_BATCH: the reply to be written and flushed. Empty while a batch is incomplete.
  std::string TakeReply();

  /// Whether a batch has begun that EOF_BATCH has not ended yet.
  [[nodiscard]] bool IsInBatch() const { return in_batch_; }

 private:
  // What a line of an instance's events does. The first word names it.
  struct EventHandler {
    std::string_view word;
    void (SimulatorSession::*handle)(const Words& words);
  };
  static const EventHandler kEventHandlers[];

  void BeginBatch(const Words& words);
  void EndBatch();
  void BeginList(const Words& words);
  void AddToList(const Words& words);
  void HandleEvent(const Words& words);

  void HandleCreate(const Words& words);
  void HandleRequest(const Words& words);
  void HandleOutcome(const Words& words);
  void HandleTimer(const Words& words);
  void HandleDisconnect(const Words& words);
  void HandleEndpointUpdate(const Words& words);
  void HandleResponseStarted(const Words& words);
  void HandleProbeAnswer(const Words& words);
  void HandleCrash(const Words& words);
  void HandleMessage(const Words& words);

  void Deliver(const Event& event);

  double now_ = 0;
  bool in_batch_ = false;
  std::optional<std::int64_t> instance_;  // that events are addressed to
  std::map<std::int64_t, Policy> policies_;
  std::vector<std::vector<Endpoint>> lists_ = std::vector<std::vector<Endpoint>>(16);
  std::size_t open_list_ = 0;
  std::size_t entries_due_ = 0;                 // ENTRY lines still to come for the open list
  std::optional<std::int64_t> reply_instance_;  // that the reply's next actions are addressed to
  std::vector<Action> actions_;
  Words words_;
  std::string body_;
  std::string reply_;
};

}  // namespace meadowyard::simulator

#endif  // MEADOWYARD_SIMULATOR_SIMULATOR_SESSION_HPP_
