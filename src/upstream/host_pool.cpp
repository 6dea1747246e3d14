#include "upstream/host_pool.hpp"

#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/clock.hpp"
#include "upstream/connection.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

}  // namespace

HostPool::HostPool(asio::io_context& io, Limits limits, Handlers handlers)
    : io_(io), limits_(limits), handlers_(std::move(handlers)) {}

void HostPool::CloseIdleConnections(const std::string& host) {
  if (const auto found = hosts_.find(host); found != hosts_.end()) CloseIdle(found->second);
}

void HostPool::SetTimes(Millis dial_timeout, Millis idle_timeout) {
  limits_.dial_timeout = dial_timeout;
  limits_.idle_timeout = idle_timeout;
}

void HostPool::Update(const discovery::EndpointList& list) {
  if (list.is_snapshot) {
    for (auto& [id, host] : hosts_) host.up = false;
  }
  for (const discovery::EndpointRecord& entry : list.endpoints) {
    HostState& host = hosts_[entry.endpoint.id];
    host.up = entry.endpoint.state == EndpointState::kUp;
    if (host.address != entry.address) CloseIdle(host);
    host.address = entry.address;
  }
  for (auto& [id, host] : hosts_) {
    if (!host.up) CloseIdle(host);
  }
  std::erase_if(hosts_, [](const auto& entry) { return !entry.second.up; });
}

std::uint64_t HostPool::Start(const std::string& host, core::AttemptRequest request) {
  const std::uint64_t attempt = next_attempt_++;
  if (handlers_.is_list_current()) {
    StartAttempt(attempt, host, std::move(request));
  } else {
    queued_attempts_.emplace(attempt, QueuedAttempt{host, std::move(request)});
  }
  return attempt;
}

void HostPool::Resume() {
  while (!queued_attempts_.empty()) {  // a callback may cancel other queued attempts
    auto next = queued_attempts_.extract(queued_attempts_.begin());
    auto& [host, request] = next.mapped();
    if (!handlers_.may_use(host)) {
      EndUnstarted(host, request, AttemptResult::kNotSent, core::AttemptEndReason::kEndpointUnavailable);
    } else if (!request.still_wanted()) {
      EndUnstarted(host, request, AttemptResult::kNotSent, core::AttemptEndReason::kNotWanted);
    } else {
      StartAttempt(next.key(), host, std::move(request));
    }
  }
  for (const auto& connection : std::exchange(connections_awaiting_list_, {})) connection->Resume();
}

void HostPool::EndUnstarted(const std::string& host, const core::AttemptRequest& request,
                            AttemptResult result, core::AttemptEndReason reason) {
  handlers_.on_attempt_ended(
      {std::string(request.message->fields.Get("Req-Id")), host, result, reason, 0, false});
  request.on_finished(result, {});
}

bool HostPool::EndQueued(std::uint64_t attempt, AttemptResult result) {
  const auto queued = queued_attempts_.extract(attempt);
  if (queued.empty()) return false;
  EndUnstarted(queued.mapped().host, queued.mapped().request, result, core::AttemptEndReason::kCancelled);
  return true;
}

void HostPool::StartAttempt(std::uint64_t attempt, const std::string& host, core::AttemptRequest request) {
  const auto found = hosts_.find(host);
  const Millis now = core::Now();
  if (found == hosts_.end()) {
    return EndUnstarted(host, request, AttemptResult::kNotSent, core::AttemptEndReason::kEndpointUnavailable);
  }
  if (now >= request.deadline)
    return EndUnstarted(host, request, AttemptResult::kNotSent, core::AttemptEndReason::kNotWanted);
  const Millis response_timeout = request.deadline - now;
  const Millis stream_after = request.stream_at - now;
  std::string request_id(request.message->fields.Get("Req-Id"));
  Connection::Job job{std::move(request), attempt, response_timeout,
                      stream_after,       now,     std::move(request_id)};
  auto& idle = found->second.idle;
  // The most recently used connection that has been idle for long enough; the list is ordered by last use.
  const Millis idle_before = core::Now() - limits_.min_idle_before_reuse;
  auto end =
      std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c->idle_since() > idle_before; });
  while (end != idle.begin()) {
    end = std::prev(end);
    const auto connection = std::move(*end);
    end = idle.erase(end);
    if (connection->IsReusable()) {
      connection->Run(std::move(job));
      return;
    }
    connection->Close();
  }
  if (connections_ >= limits_.connections && !EvictIdle()) {
    return EndUnstarted(host, job, AttemptResult::kNotSent, core::AttemptEndReason::kNoCapacity);
  }
  std::make_shared<Connection>(*this, host, found->second.address)->Dial(std::move(job));
}

void HostPool::Cancel(std::uint64_t attempt) {
  if (EndQueued(attempt, AttemptResult::kCancelled)) return;
  const auto found = active_.find(attempt);
  if (found == active_.end()) return;
  const auto connection = found->second;  // End removes it from the map
  connection->End(AttemptResult::kCancelled, core::AttemptEndReason::kCancelled);
}

void HostPool::CancelIfUnsent(std::uint64_t attempt) {
  if (EndQueued(attempt, AttemptResult::kNotSent)) return;
  const auto found = active_.find(attempt);
  if (found == active_.end() || found->second->IsRequestWritten()) return;
  const auto connection = found->second;
  connection->End(AttemptResult::kNotSent, core::AttemptEndReason::kCancelled);
}

void HostPool::StreamBegunResponses() {
  std::vector<std::shared_ptr<Connection>> connections;  // copied: a callback may end an attempt
  for (const auto& [attempt, connection] : active_) connections.push_back(connection);
  for (const auto& connection : connections) connection->StreamBegunResponse();
}

void HostPool::PassIdle(Pass pass) {
  pass_ = std::move(pass);
  if (!pass_) return;
  for (auto& [id, host] : hosts_) {
    std::erase_if(host.idle, [](const auto& connection) {
      if (!connection->Pass()) return false;
      connection->Close();
      return true;
    });
  }
}

void HostPool::Adopt(const std::string& host, const tcp::endpoint& address, int fd) {
  if (connections_ >= limits_.connections || !MayUse(host, address)) {
    ::close(fd);
    return;
  }
  const auto connection = std::make_shared<Connection>(*this, host, address);
  if (connection->Assign(fd)) {
    connection->EnterIdle();
  } else {
    connection->Close();
  }
}

void HostPool::CloseIdle(HostState& host) {
  for (const auto& connection : std::exchange(host.idle, {})) connection->Close();
}

// Frees a descriptor by closing the connection that has been idle longest. Each host's list is in that order,
// so only the first of each is compared.
bool HostPool::EvictIdle() {
  HostState* oldest = nullptr;
  for (auto& [id, host] : hosts_) {
    if (host.idle.empty()) continue;
    if (oldest == nullptr || host.idle.front()->idle_since() < oldest->idle.front()->idle_since())
      oldest = &host;
  }
  if (oldest == nullptr) return false;
  oldest->idle.front()->Close();
  oldest->idle.erase(oldest->idle.begin());
  return true;
}

bool HostPool::MayUse(const std::string& host, const tcp::endpoint& address) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.address == address && handlers_.may_use(host);
}

void HostPool::RemoveIdle(const std::string& host, const Connection* connection) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

}  // namespace meadowyard
