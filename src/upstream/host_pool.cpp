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

std::uint64_t HostPool::Start(const std::string& host, core::AttemptRequest errand) {
  const std::uint64_t attempt = next_attempt_++;
  if (handlers_.current()) {
    Begin(attempt, host, std::move(errand));
  } else {
    waiting_.emplace(attempt, Waiting{host, std::move(errand)});
  }
  return attempt;
}

void HostPool::Resume() {
  while (!waiting_.empty()) {  // whoever is told of one may end another
    auto next = waiting_.extract(waiting_.begin());
    auto& [host, errand] = next.mapped();
    if (handlers_.may_use(host) && errand.still_wanted()) {
      Begin(next.key(), host, std::move(errand));
    } else {
      errand.on_finished(AttemptResult::kNotSent, {});
    }
  }
  for (const auto& connection : std::exchange(dialled_, {})) connection->Resume();
}

bool HostPool::EndWaiting(std::uint64_t attempt, AttemptResult result) {
  const auto waiting = waiting_.extract(attempt);
  if (waiting.empty()) return false;
  waiting.mapped().errand.on_finished(result, {});
  return true;
}

void HostPool::Begin(std::uint64_t attempt, const std::string& host, core::AttemptRequest errand) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || core::Now() >= errand.deadline) {
    errand.on_finished(AttemptResult::kNotSent, {});
    return;
  }
  const Millis patience = errand.deadline - core::Now();
  Connection::Job job{std::move(errand), attempt, patience};
  auto& idle = found->second.idle;
  // The most recently used of those that have rested for long enough: they are in that order.
  const Millis rested = core::Now() - limits_.min_idle_before_reuse;
  auto end = std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c->rested_at() > rested; });
  while (end != idle.begin()) {
    end = std::prev(end);
    const auto connection = std::move(*end);
    end = idle.erase(end);
    if (connection->Fresh()) {
      connection->Run(std::move(job));
      return;
    }
    connection->Close();
  }
  if (connections_ >= limits_.connections && !EvictIdle()) {
    job.on_finished(AttemptResult::kNotSent, {});
    return;
  }
  const auto connection = std::make_shared<Connection>(*this, host, found->second.address);
  // Other processes of the machine, or clients, may have taken the descriptors that were reckoned with.
  if (connection->Open() || (EvictIdle() && connection->Open())) {
    connection->Dial(std::move(job));
  } else {
    connection->Close();
    job.on_finished(AttemptResult::kNotSent, {});
  }
}

void HostPool::Cancel(std::uint64_t attempt) {
  if (EndWaiting(attempt, AttemptResult::kCancelled)) return;
  const auto found = active_.find(attempt);
  if (found == active_.end()) return;
  const auto connection = found->second;  // End takes it out of the map
  connection->End(AttemptResult::kCancelled);
}

void HostPool::CancelIfUnsent(std::uint64_t attempt) {
  if (EndWaiting(attempt, AttemptResult::kNotSent)) return;
  const auto found = active_.find(attempt);
  if (found == active_.end() || found->second->SentWhole()) return;
  const auto connection = found->second;
  connection->End(AttemptResult::kNotSent);
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
    connection->Idle();
  } else {
    connection->Close();
  }
}

void HostPool::CloseIdle(HostState& host) {
  for (const auto& connection : std::exchange(host.idle, {})) connection->Close();
}

// Makes room by closing the connection that has been idle for longest. Each host's are in that order.
bool HostPool::EvictIdle() {
  HostState* oldest = nullptr;
  for (auto& [id, host] : hosts_) {
    if (host.idle.empty()) continue;
    if (oldest == nullptr || host.idle.front()->rested_at() < oldest->idle.front()->rested_at())
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

void HostPool::Forget(const std::string& host, const Connection* connection) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

}  // namespace meadowyard
