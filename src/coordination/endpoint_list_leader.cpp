#include "coordination/endpoint_list_leader.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace meadowyard::coordination {

EndpointListLeader::EndpointListLeader(int self, int gateways, Times times, Millis now,
                                       FencingToken initial_round, std::optional<std::int64_t> revision,
                                       Handlers handlers)
    : self_(self),
      gateways_(gateways),
      times_(times),
      handlers_(std::move(handlers)),
      lease_(self, gateways, times.lease, now, initial_round),
      revision_(revision),
      confirmed_at_(now - times.leader_timeout),
      recovery_until_(now + times.lease.term) {}

void EndpointListLeader::SendEnvelopes(const std::vector<Lease::Envelope>& envelopes) {
  for (const Lease::Envelope& envelope : envelopes) handlers_.send(envelope.to, envelope.message);
}

void EndpointListLeader::Tick(Millis now, double jitter) {
  std::vector<Lease::Envelope> envelopes;
  lease_.Tick(now, jitter, envelopes);
  SendEnvelopes(envelopes);
  UpdateDiscoveryWatch(now);
  if (!lease_.IsHeld(now) || !revision_) return;
  for (int gateway = 0; gateway < gateways_; ++gateway) {
    if (gateway == self_) continue;
    handlers_.send(gateway, EndpointListPart{lease_.token(), *revision_, *revision_, false, 0, 0, {}});
    ++parts_sent_;
  }
}

// The leader watches discovery. A follower does so only while no leader confirms its list, as a gateway
// without peers always does.
void EndpointListLeader::UpdateDiscoveryWatch(Millis now) {
  const bool watches_discovery = lease_.IsHeld(now) || now - confirmed_at_ >= times_.leader_timeout;
  if (watches_discovery != std::exchange(watching_discovery_, watches_discovery))
    handlers_.watch_discovery(watches_discovery);
}

void EndpointListLeader::OnMessage(Millis now, int from, const CoordinationMessage& received) {
  std::visit([&](const auto& content) { OnMessage(now, from, content); }, received);
  UpdateDiscoveryWatch(now);
}

void EndpointListLeader::OnMessage(Millis now, int from, const Lease::Message& received) {
  std::vector<Lease::Envelope> envelopes;
  lease_.OnMessage(now, from, received, envelopes);
  SendEnvelopes(envelopes);
}

void EndpointListLeader::OnMessage(Millis now, int from, const EndpointListPart& part) {
  if (now < recovery_until_) return;
  if (part.token < highest_token_ || (part.token == highest_token_ && from != leader_)) {
    ++messages_rejected_;  // from a former leader that has not noticed the loss of its lease
    return handlers_.send(from,
                          Lease::Message{Lease::Message::Type::kReject, part.token, highest_token_, -1});
  }
  highest_token_ = part.token;
  leader_ = from;
  lease_.ObserveToken(part.token);
  if (revision_ == part.revision) {
    confirmed_at_ = now;
    return;
  }
  // The list of a leader with an older revision would undo changes that this gateway knows. Until the leader
  // has caught up, this gateway watches discovery itself.
  if (revision_ && part.revision < *revision_) return;
  const bool is_applicable = part.parts > 0 && (part.complete || revision_ == part.base_revision);
  if (!is_applicable) {
    // Only the revision is known. If this request is lost, the leader's next message triggers another.
    if (part.parts == 0) handlers_.send(from, EndpointListRequest{part.token});
    return;
  }
  // Parts of other lists and an earlier copy of this part are discarded.
  const auto is_superseded = [&](const EndpointListPart& stored_part) {
    return stored_part.token != part.token || stored_part.revision != part.revision ||
           stored_part.parts != part.parts || stored_part.complete != part.complete ||
           stored_part.part == part.part;
  };
  std::erase_if(received_parts_, is_superseded);
  received_parts_.push_back(part);
  if (received_parts_.size() < part.parts) return;
  discovery::EndpointList list{part.revision, part.complete, {}};
  for (EndpointListPart& stored_part : received_parts_)
    list.endpoints.insert(list.endpoints.end(), stored_part.hosts.begin(), stored_part.hosts.end());
  received_parts_.clear();
  ++lists_received_;
  revision_ = list.revision;
  confirmed_at_ = now;
  handlers_.list_received(std::move(list));
}

void EndpointListLeader::OnMessage(Millis now, int from, const EndpointListRequest& request) {
  if (!lease_.IsHeld(now) || !revision_ || request.token > lease_.token()) return;
  discovery::EndpointList current_list = handlers_.current_list();
  current_list.revision = *revision_;
  current_list.is_snapshot = true;
  SendList(from, current_list, *revision_);
}

void EndpointListLeader::SendList(int to, const discovery::EndpointList& list, std::int64_t base_revision) {
  const std::size_t parts =
      std::max<std::size_t>(1, (list.endpoints.size() + kMaxEndpointsPerPart - 1) / kMaxEndpointsPerPart);
  for (std::size_t index = 0; index < parts; ++index) {
    EndpointListPart part{lease_.token(),
                          list.revision,
                          base_revision,
                          list.is_snapshot,
                          static_cast<std::uint32_t>(index),
                          static_cast<std::uint32_t>(parts),
                          {}};
    const auto first = list.endpoints.begin() + static_cast<std::ptrdiff_t>(index * kMaxEndpointsPerPart);
    const auto last =
        list.endpoints.begin() +
        static_cast<std::ptrdiff_t>(std::min(list.endpoints.size(), (index + 1) * kMaxEndpointsPerPart));
    part.hosts.assign(first, last);
    handlers_.send(to, part);
    ++parts_sent_;
  }
}

void EndpointListLeader::OnDiscoveryUpdate(Millis now, const discovery::EndpointList& list) {
  const std::optional<std::int64_t> previous_revision = std::exchange(revision_, list.revision);
  if (!lease_.IsHeld(now) || (list.endpoints.empty() && !list.is_snapshot)) return;
  for (int gateway = 0; gateway < gateways_; ++gateway) {
    if (gateway != self_)
      SendList(gateway, list, previous_revision.value_or(std::numeric_limits<std::int64_t>::min()));
  }
}

// A leader that can't read discovery would keep confirming an outdated list to its followers.
void EndpointListLeader::OnDiscoveryFailed(Millis now) { lease_.Release(now + times_.lease_backoff); }

void EndpointListLeader::OnDiscoveryReplaced(Millis now) {
  revision_.reset();
  received_parts_.clear();
  confirmed_at_ = now - times_.leader_timeout;
  recovery_until_ = now + times_.lease_backoff;
  lease_.Release(now + times_.lease_backoff);
  watching_discovery_ = true;  // the caller has started to watch the new discovery service
}

void EndpointListLeader::Stop(Millis) { lease_.Release(std::numeric_limits<Millis>::infinity()); }

nlohmann::json EndpointListLeader::Status(Millis now) const {
  return {{"holds", lease_.IsHeld(now)},
          {"holder", lease_.Owner(now)},
          {"token", lease_.IsHeld(now) ? lease_.token() : highest_token_},
          {"asks_discovery", watching_discovery_},
          {"revision", revision_.value_or(-1)},
          {"passed_on", parts_sent_},
          {"taken", lists_received_},
          {"turned_down", messages_rejected_}};
}

}  // namespace meadowyard::coordination
