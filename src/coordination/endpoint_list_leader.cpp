#include "coordination/endpoint_list_leader.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace meadowyard::coordination {

EndpointListLeader::EndpointListLeader(int self, int gateways, Times times, Millis now, FencingToken least,
                                       std::optional<std::int64_t> revision, Handlers handlers)
    : self_(self),
      gateways_(gateways),
      times_(times),
      handlers_(std::move(handlers)),
      lease_(self, gateways, times.lease, now, least),
      revision_(revision),
      fresh_at_(now - times.leader_timeout),
      listens_from_(now + times.lease.term) {}

void EndpointListLeader::Post(const std::vector<Lease::Envelope>& letters) {
  for (const Lease::Envelope& letter : letters) handlers_.send(letter.to, letter.message);
}

void EndpointListLeader::Tick(Millis now, double chance) {
  std::vector<Lease::Envelope> letters;
  lease_.Tick(now, chance, letters);
  Post(letters);
  Decide(now);
  if (!lease_.IsHeld(now) || !revision_) return;
  for (int g = 0; g < gateways_; ++g) {
    if (g == self_) continue;
    handlers_.send(g, EndpointListPart{lease_.token(), *revision_, *revision_, false, 0, 0, {}});
    ++passed_on_;
  }
}

// Whoever has the duty asks discovery; the others do while nobody seems to, as if there were no peers.
void EndpointListLeader::Decide(Millis now) {
  const bool watches_discovery = lease_.IsHeld(now) || now - fresh_at_ >= times_.leader_timeout;
  if (watches_discovery != std::exchange(watches_, watches_discovery)) handlers_.watch(watches_discovery);
}

void EndpointListLeader::OnMessage(Millis now, int from, const CoordinationMessage& word) {
  std::visit([&](const auto& w) { OnMessage(now, from, w); }, word);
  Decide(now);
}

void EndpointListLeader::OnMessage(Millis now, int from, const Lease::Message& word) {
  std::vector<Lease::Envelope> letters;
  lease_.OnMessage(now, from, word, letters);
  Post(letters);
}

void EndpointListLeader::OnMessage(Millis now, int from, const EndpointListPart& part) {
  if (now < listens_from_) return;
  if (part.token < acted_ || (part.token == acted_ && from != actor_)) {
    ++turned_down_;  // of one that had the duty before and does not know that it has lost it
    return handlers_.send(from, Lease::Message{Lease::Message::Type::kReject, part.token, acted_, -1});
  }
  acted_ = part.token;
  actor_ = from;
  lease_.ObserveToken(part.token);
  if (revision_ == part.revision) {
    fresh_at_ = now;
    return;
  }
  // A holder that is behind would undo what is known here: until it has caught up each asks for itself.
  if (revision_ && part.revision < *revision_) return;
  const bool leads = part.parts > 0 && (part.complete || revision_ == part.after);
  if (!leads) {
    if (part.parts == 0) handlers_.send(from, EndpointListRequest{part.token});  // again with its next word
    return;
  }
  const auto of_another = [&](const EndpointListPart& p) {
    return p.token != part.token || p.revision != part.revision || p.parts != part.parts ||
           p.complete != part.complete || p.part == part.part;
  };
  std::erase_if(parts_, of_another);
  parts_.push_back(part);
  if (parts_.size() < part.parts) return;
  discovery::EndpointList list{part.revision, part.complete, {}};
  for (EndpointListPart& p : parts_)
    list.endpoints.insert(list.endpoints.end(), p.hosts.begin(), p.hosts.end());
  parts_.clear();
  ++taken_;
  revision_ = list.revision;
  fresh_at_ = now;
  handlers_.told(std::move(list));
}

void EndpointListLeader::OnMessage(Millis now, int from, const EndpointListRequest& wanted) {
  if (!lease_.IsHeld(now) || !revision_ || wanted.token > lease_.token()) return;
  discovery::EndpointList whole = handlers_.whole();
  whole.revision = *revision_;
  whole.is_snapshot = true;
  SendList(from, whole, *revision_);
}

void EndpointListLeader::SendList(int to, const discovery::EndpointList& list, std::int64_t after) {
  const std::size_t parts =
      std::max<std::size_t>(1, (list.endpoints.size() + kMaxEndpointsPerPart - 1) / kMaxEndpointsPerPart);
  for (std::size_t i = 0; i < parts; ++i) {
    EndpointListPart part{lease_.token(),
                          list.revision,
                          after,
                          list.is_snapshot,
                          static_cast<std::uint32_t>(i),
                          static_cast<std::uint32_t>(parts),
                          {}};
    const auto first = list.endpoints.begin() + static_cast<std::ptrdiff_t>(i * kMaxEndpointsPerPart);
    const auto last = list.endpoints.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                   list.endpoints.size(), (i + 1) * kMaxEndpointsPerPart));
    part.hosts.assign(first, last);
    handlers_.send(to, part);
    ++passed_on_;
  }
}

void EndpointListLeader::OnDiscoveryUpdate(Millis now, const discovery::EndpointList& list) {
  const std::optional<std::int64_t> before = std::exchange(revision_, list.revision);
  if (!lease_.IsHeld(now) || (list.endpoints.empty() && !list.is_snapshot)) return;
  for (int g = 0; g < gateways_; ++g) {
    if (g != self_) SendList(g, list, before.value_or(std::numeric_limits<std::int64_t>::min()));
  }
}

// What can't read the list can't pass it on either; and others would take it for fresh.
void EndpointListLeader::OnDiscoveryFailed(Millis now) { lease_.Release(now + times_.refuses); }

void EndpointListLeader::OnDiscoveryReplaced(Millis now) {
  revision_.reset();
  parts_.clear();
  fresh_at_ = now - times_.leader_timeout;
  listens_from_ = now + times_.refuses;
  lease_.Release(now + times_.refuses);
  watches_ = true;  // the new one is asked already
}

void EndpointListLeader::Stop(Millis) { lease_.Release(std::numeric_limits<Millis>::infinity()); }

nlohmann::json EndpointListLeader::Status(Millis now) const {
  return {{"holds", lease_.IsHeld(now)},
          {"holder", lease_.Owner(now)},
          {"token", lease_.IsHeld(now) ? lease_.token() : acted_},
          {"asks_discovery", watches_},
          {"revision", revision_.value_or(-1)},
          {"passed_on", passed_on_},
          {"taken", taken_},
          {"turned_down", turned_down_}};
}

}  // namespace meadowyard::coordination
