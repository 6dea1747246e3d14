/// @file
/// Adapter between the simulator's text protocol and the decision module: converts text lines to events and
/// actions to text lines. Makes no decisions.
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

/// The policies of one process. Consumes the input line by line; a reply is available after each EOF_BATCH.
/// The policies share the process and the numbered endpoint lists of the protocol, and nothing else.
class SimulatorSession {
 public:
  /// Consumes one line, without its newline. Throws SimulatorProtocolError if it is malformed.
  void ConsumeLine(std::string_view line);

  /// After EOF_BATCH: the reply to be written and flushed. Empty while a batch is incomplete.
  std::string TakeReply();

  /// Whether a batch has begun that EOF_BATCH has not ended yet.
  [[nodiscard]] bool IsInBatch() const { return in_batch_; }

 private:
  // The function that handles an event line of an instance, by the first word of the line.
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
  std::optional<std::int64_t> instance_;  // that the following events are addressed to
  std::map<std::int64_t, Policy> policies_;
  std::vector<std::vector<Endpoint>> lists_ = std::vector<std::vector<Endpoint>>(16);
  std::size_t open_list_ = 0;
  std::size_t entries_due_ = 0;                 // ENTRY lines still expected for the open list
  std::optional<std::int64_t> reply_instance_;  // that the reply's next actions are addressed to
  std::vector<Action> actions_;
  Words words_;
  std::string body_;
  std::string reply_;
};

}  // namespace meadowyard::simulator

#endif  // MEADOWYARD_SIMULATOR_SIMULATOR_SESSION_HPP_
