// The rules, held against what clients and hosts saw; nothing that a gateway says is believed. No I/O.
#ifndef MEADOWYARD_LAB_REFEREE_HPP_
#define MEADOWYARD_LAB_REFEREE_HPP_

#include <string>
#include <vector>

#include "lab/records.hpp"
#include "lab/schedule.hpp"
#include "lab/spec.hpp"

namespace meadowyard::lab {

// A time in which a gateway's answers are not owed: it was killed or stopped by the script.
struct Outage {
  int gateway = 0;
  Millis from = 0, to = 0;
  bool killed = true;  // else stopped and let go on: it must not end by itself
};

struct Evidence {
  const Experiment& experiment;
  const std::vector<Arrival>& arrivals;
  const std::vector<Try>& tries;
  const FleetLedger& ledger;
  std::vector<Outage> outages;
};

enum class Rule {
  kOneAnswer,      // each thing taken gets exactly one final answer, before its client gives up
  kTrueAnswer,     // served with what a host made for it, and no other
  kNoRepeat,       // what must not repeat is never sent on once it may have run
  kDrains,         // nothing new to a host later than 1 s after it was told draining or gone
  kColdHosts,      // no cold host is pushed over
  kPrompt,         // what is given up unsent is answered within half of its time
  kKnownRequests,  // hosts see no request that no client sent
  kOneHolder,      // a duty is done by one gateway at a time, and later by a higher token
  kAgreedHalls     // who sends elsewhere than to its own hall does so by what more than half have agreed
};
constexpr int kRules = 9;
const char* Name(Rule rule);

struct Finding {
  Rule rule = Rule::kOneAnswer;
  std::size_t count = 0;
  std::vector<std::string> examples;  // a few
};

// One for each rule, in order.
std::vector<Finding> Judge(const Evidence& evidence);
bool Clean(const std::vector<Finding>& findings);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_REFEREE_HPP_
