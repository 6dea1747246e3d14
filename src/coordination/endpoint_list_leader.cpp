#include "coordination/endpoint_list_leader.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace meadowyard {

ListDuty::ListDuty(int self, int gateways, Times times, Millis now, Token least,
                   std::optional<std::int64_t> revision, Handlers handlers)
    : self_(self),
      gateways_(gateways),
      times_(times),
      handlers_(std::move(handlers)),
      lease_(self, gateways, times.lease, now, least),
      revision_(revision),
      fresh_at_(now - times.stale),
      listens_from_(now + times.lease.term) {}

void ListDuty::Post(const std::vector<Lease::Letter>& letters) {
  for (const Lease::Letter& letter : letters) handlers_.send(letter.to, letter.word);
}

void ListDuty::Beat(Millis now, double chance) {
  std::vector<Lease::Letter> letters;
  lease_.Pass(now, chance, letters);
  Post(letters);
  Decide(now);
  if (!lease_.Holds(now) || !revision_) return;
  for (int g = 0; g < gateways_; ++g) {
    if (g == self_) continue;
    handlers_.send(g, ListPart{lease_.token(), *revision_, *revision_, false, 0, 0, {}});
    ++passed_on_;
  }
}

// Whoever has the duty asks discovery; the others do while nobody seems to, as if there were no peers.
void ListDuty::Decide(Millis now) {
  const bool watches = lease_.Holds(now) || now - fresh_at_ >= times_.stale;
  if (watches != std::exchange(watches_, watches)) handlers_.watch(watches);
}

void ListDuty::Hear(Millis now, int from, const DutyWord& word) {
  std::visit([&](const auto& w) { Hear(now, from, w); }, word);
  Decide(now);
}

void ListDuty::Hear(Millis now, int from, const Lease::Word& word) {
  std::vector<Lease::Letter> letters;
  lease_.Hear(now, from, word, letters);
  Post(letters);
}

void ListDuty::Hear(Millis now, int from, const ListPart& part) {
  if (now < listens_from_) return;
  if (part.token < acted_ || (part.token == acted_ && from != actor_)) {
    ++turned_down_;  // of one that had the duty before and does not know that it has lost it
    return handlers_.send(from, Lease::Word{Lease::Word::Kind::kNo, part.token, acted_, -1});
  }
  acted_ = part.token;
  actor_ = from;
  lease_.Seen(part.token);
  if (revision_ == part.revision) {
    fresh_at_ = now;
    return;
  }
  // A holder that is behind would undo what is known here: until it has caught up each asks for itself.
  if (revision_ && part.revision < *revision_) return;
  const bool leads = part.parts > 0 && (part.complete || revision_ == part.after);
  if (!leads) {
    if (part.parts == 0) handlers_.send(from, ListWanted{part.token});  // again with its next word
    return;
  }
  const auto of_another = [&](const ListPart& p) {
    return p.token != part.token || p.revision != part.revision || p.parts != part.parts ||
           p.complete != part.complete || p.part == part.part;
  };
  std::erase_if(parts_, of_another);
  parts_.push_back(part);
  if (parts_.size() < part.parts) return;
  discovery::EndpointList list{part.revision, part.complete, {}};
  for (ListPart& p : parts_) list.endpoints.insert(list.endpoints.end(), p.hosts.begin(), p.hosts.end());
  parts_.clear();
  ++taken_;
  revision_ = list.revision;
  fresh_at_ = now;
  handlers_.told(std::move(list));
}

void ListDuty::Hear(Millis now, int from, const ListWanted& wanted) {
  if (!lease_.Holds(now) || !revision_ || wanted.token > lease_.token()) return;
  discovery::EndpointList whole = handlers_.whole();
  whole.revision = *revision_;
  whole.is_snapshot = true;
  SendList(from, whole, *revision_);
}

void ListDuty::SendList(int to, const discovery::EndpointList& list, std::int64_t after) {
  const std::size_t parts =
      std::max<std::size_t>(1, (list.endpoints.size() + kHostsInAPart - 1) / kHostsInAPart);
  for (std::size_t i = 0; i < parts; ++i) {
    ListPart part{lease_.token(),
                  list.revision,
                  after,
                  list.is_snapshot,
                  static_cast<std::uint32_t>(i),
                  static_cast<std::uint32_t>(parts),
                  {}};
    const auto first = list.endpoints.begin() + static_cast<std::ptrdiff_t>(i * kHostsInAPart);
    const auto last = list.endpoints.begin() +
                      static_cast<std::ptrdiff_t>(std::min(list.endpoints.size(), (i + 1) * kHostsInAPart));
    part.hosts.assign(first, last);
    handlers_.send(to, part);
    ++passed_on_;
  }
}

void ListDuty::Told(Millis now, const discovery::EndpointList& list) {
  const std::optional<std::int64_t> before = std::exchange(revision_, list.revision);
  if (!lease_.Holds(now) || (list.endpoints.empty() && !list.is_snapshot)) return;
  for (int g = 0; g < gateways_; ++g) {
    if (g != self_) SendList(g, list, before.value_or(std::numeric_limits<std::int64_t>::min()));
  }
}

// What can't read the list can't pass it on either; and others would take it for fresh.
void ListDuty::Failed(Millis now) { lease_.GiveUp(now + times_.refuses); }

void ListDuty::Moved(Millis now) {
  revision_.reset();
  parts_.clear();
  fresh_at_ = now - times_.stale;
  listens_from_ = now + times_.refuses;
  lease_.GiveUp(now + times_.refuses);
  watches_ = true;  // the new one is asked already
}

void ListDuty::Stopping(Millis) { lease_.GiveUp(std::numeric_limits<Millis>::infinity()); }

nlohmann::json ListDuty::Status(Millis now) const {
  return {{"holds", lease_.Holds(now)},
          {"holder", lease_.Holder(now)},
          {"token", lease_.Holds(now) ? lease_.token() : acted_},
          {"asks_discovery", watches_},
          {"revision", revision_.value_or(-1)},
          {"passed_on", passed_on_},
          {"taken", taken_},
          {"turned_down", turned_down_}};
}

}  // namespace meadowyard
