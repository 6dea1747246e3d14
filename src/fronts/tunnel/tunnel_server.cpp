#include "fronts/tunnel/tunnel_server.hpp"

#include <unistd.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/clock.hpp"
#include "fronts/tunnel/session.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kSweepInterval = 50;
constexpr Millis kAcceptRetryDelay = 50;  // after a failed accept, for example when no descriptor is free
constexpr int kListenBacklog = 1024;

std::string ListenerKey(const EdgeListener& listener) {
  return std::string(listener.protocol == TunnelProtocol::kSocks5 ? "socks5 " : "connect ") +
         discovery::FormatAddress(listener.address);
}

// Compares secrets in a time that depends on the length of `a` but not on where they differ, so that the time
// does not reveal a correct prefix.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  unsigned difference = a.size() != b.size();
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned>(a[i] ^ (i < b.size() ? b[i] : 0));
  }
  return difference == 0;
}

Admission::Limits AdmissionLimits(const EdgeConfig& config) {
  return {config.limits.most, config.limits.most_per_address, config.limits.most_per_user};
}

}  // namespace

TunnelServer::TunnelServer(asio::io_context& io, std::shared_ptr<const EdgeConfig> config, Handlers handlers)
    : io_(io),
      config_(std::move(config)),
      handlers_(std::move(handlers)),
      admission_(AdmissionLimits(*config_)),
      sweep_timer_(io) {
  Sweep();
}

TunnelServer::~TunnelServer() = default;

void TunnelServer::Listen(const std::shared_ptr<const EdgeConfig>& config,
                          const std::map<std::string, int>& inherited) {
  std::vector<std::shared_ptr<Listener>> next_listeners, opened;
  for (const EdgeListener& spec : config->listeners) {
    std::shared_ptr<Listener> selected;
    for (const auto& listener : listeners_) {
      if (ListenerKey(listener->spec) == ListenerKey(spec)) selected = listener;
    }
    if (!selected) {
      selected = std::make_shared<Listener>(io_, spec);
      const auto found = inherited.find(ListenerKey(spec));
      if (found != inherited.end()) {
        selected->acceptor.assign(spec.address.protocol(), found->second);
      } else {
        selected->acceptor.open(spec.address.protocol());
        selected->acceptor.set_option(tcp::acceptor::reuse_address(true));
        selected->acceptor.bind(spec.address);
        selected->acceptor.listen(kListenBacklog);
      }
      selected->acceptor.non_blocking(true);
      opened.push_back(selected);
    }
    next_listeners.push_back(selected);
  }
  for (const auto& [key, fd] : inherited) {
    const bool in_use = std::any_of(opened.begin(), opened.end(), [&key = key](const auto& listener) {
      return ListenerKey(listener->spec) == key;
    });
    if (!in_use) ::close(fd);
  }
  for (std::size_t i = 0; i < next_listeners.size(); ++i) next_listeners[i]->spec = config->listeners[i];
  std::swap(listeners_, next_listeners);
  for (const auto& listener : next_listeners) {
    if (std::find(listeners_.begin(), listeners_.end(), listener) != listeners_.end()) continue;
    error_code ignored;
    listener->acceptor.close(ignored);
    listener->retry_timer.cancel();
  }
  for (const auto& listener : opened) Accept(listener);
}

void TunnelServer::Configure(std::shared_ptr<const EdgeConfig> config) {
  config_ = std::move(config);
  admission_.SetLimits(AdmissionLimits(*config_));
  HostsChanged();
}

std::vector<std::pair<std::string, int>> TunnelServer::listeners() {
  std::vector<std::pair<std::string, int>> entries;
  for (const auto& listener : listeners_)
    entries.emplace_back(ListenerKey(listener->spec), listener->acceptor.native_handle());
  return entries;
}

std::vector<tcp::endpoint> TunnelServer::addresses() const {
  std::vector<tcp::endpoint> entries;
  for (const auto& listener : listeners_) entries.push_back(listener->acceptor.local_endpoint());
  return entries;
}

void TunnelServer::Accept(const std::shared_ptr<Listener>& listener) {
  if (listener->accepting || pass_descriptors_ || draining_ || !listener->acceptor.is_open()) return;
  listener->accepting = true;
  listener->acceptor.async_accept([this, listener](error_code ec, tcp::socket socket) {
    listener->accepting = false;
    if (!listener->acceptor.is_open()) return;
    if (ec && ec != asio::error::operation_aborted) {
      if (ec == asio::error::no_descriptors) EvictOldest();
      // An immediate retry would be a busy loop.
      listener->retry_timer.expires_after(core::ToDuration(kAcceptRetryDelay));
      return listener->retry_timer.async_wait([this, listener](error_code wait_ec) {
        if (!wait_ec) Accept(listener);
      });
    }
    if (!ec) {
      if (sessions_.size() >= config_->limits.handshakes) EvictOldest();
      const auto session = std::make_shared<Session>(*this, std::move(socket), listener->spec);
      sessions_.push_back(session);
      session->Begin();
    }
    Accept(listener);
  });
}

// Closes the oldest session that does not wait for an answer: a thousand clients that never complete their
// handshake, or that stay connected after a rejection, must not lock out a client that completes it.
void TunnelServer::EvictOldest() {
  for (const auto& session : sessions_) {
    if (session->waiting()) continue;
    if (session->handshaking()) ++request_outcomes_["handshake_evicted"];
    const auto oldest = session;
    return oldest->Close();
  }
}

void TunnelServer::OnSessionClosed(const std::shared_ptr<Session>& session) {
  sessions_.remove(session);
  if (on_drained_ && tunnels_.empty() && sessions_.empty())
    asio::post(io_, std::exchange(on_drained_, nullptr));
}

void TunnelServer::OpenTunnel(TunnelInfo info, tcp::socket client, core::Answer answer,
                              Tunnel::DirectionState up, Tunnel::DirectionState down) {
  info.host = answer.tunnel_endpoint->endpoint;
  info.since = core::Now();
  StartTunnel(std::move(info), std::move(client), std::move(answer.tunnel_endpoint->socket), std::move(up),
              std::move(down), std::move(answer.on_tunnel_closed));
}

void TunnelServer::StartTunnel(TunnelInfo info, tcp::socket client, tcp::socket host,
                               Tunnel::DirectionState up, Tunnel::DirectionState down,
                               std::function<void(core::TunnelEnd)> closed) {
  info.id = next_id_++;
  const std::uint64_t id = info.id;
  const auto tunnel = std::make_shared<Tunnel>(
      std::move(info), std::move(client), std::move(host), relay_buffer_,
      [this, closed = std::move(closed)](Tunnel& ended, const std::string& cause, core::TunnelEnd end) {
        closed(end);
        OnTunnelEnded(ended, cause);
      });
  tunnels_[id] = tunnel;
  tunnel->Start(std::move(up), std::move(down));
}

void TunnelServer::OnTunnelEnded(Tunnel& tunnel, const std::string& cause) {
  const TunnelInfo& info = tunnel.info();
  ++end_causes_[cause];
  admission_.Release(info.client, info.user);
  handlers_.log("tunnel_ended", {{"client", info.client},
                                 {"user", info.user},
                                 {"to", info.to},
                                 {"route", info.route},
                                 {"host", info.host},
                                 {"why", cause},
                                 {"bytes_up", std::to_string(tunnel.bytes_up())},
                                 {"bytes_down", std::to_string(tunnel.bytes_down())},
                                 {"ms", std::to_string(static_cast<long>(core::Now() - info.since))}});
  tunnels_.erase(info.id);
  if (on_drained_ && tunnels_.empty() && sessions_.empty())
    asio::post(io_, std::exchange(on_drained_, nullptr));
}

void TunnelServer::HostsChanged() {
  const Millis now = core::Now();
  std::vector<std::pair<std::shared_ptr<Tunnel>, std::string>> expired;
  for (const auto& [id, tunnel] : tunnels_) {
    const std::string reason = handlers_.unusable_reason(tunnel->info().pool, tunnel->info().host);
    if (reason.empty()) {
      tunnel->unusable_since = 0;
      continue;
    }
    if (tunnel->unusable_since <= 0) tunnel->unusable_since = now;
    if (now >= tunnel->unusable_since + config_->limits.drain_grace) expired.emplace_back(tunnel, reason);
  }
  for (const auto& [tunnel, reason] : expired) tunnel->Close(reason, false);
}

void TunnelServer::Sweep() {
  // The timer is set first, so that an exception below does not stop the sweeps.
  sweep_timer_.expires_after(core::ToDuration(kSweepInterval));
  sweep_timer_.async_wait([this](error_code ec) {
    if (!ec) Sweep();
  });
  const Millis now = core::Now();
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->Sweep(now);
  std::vector<std::shared_ptr<Tunnel>> idle;
  bool any_unusable = false;
  for (const auto& [id, tunnel] : tunnels_) {
    any_unusable = any_unusable || tunnel->unusable_since > 0;
    if (now >= tunnel->last_active() + config_->limits.idle) idle.push_back(tunnel);
  }
  for (const auto& tunnel : idle) tunnel->Close("idle", false);
  if (any_unusable) HostsChanged();
  if (pass_descriptors_) PassTunnels();
  // An earlier accept may have failed for lack of memory.
  for (const auto& listener : listeners_) Accept(listener);
}

void TunnelServer::Drain(std::function<void()> on_drained) {
  draining_ = true;
  error_code ignored;
  for (const auto& listener : listeners_) {
    if (!pass_descriptors_) listener->acceptor.close(ignored);
    listener->retry_timer.cancel();
  }
  on_drained_ = std::move(on_drained);
  if (tunnels_.empty() && sessions_.empty()) asio::post(io_, std::exchange(on_drained_, nullptr));
}

void TunnelServer::CloseAll(const std::string& cause) {
  const auto entries = tunnels_;
  for (const auto& [id, tunnel] : entries) tunnel->Close(cause, false);
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->Close();
}

bool TunnelServer::CloseOne(std::uint64_t id) {
  const auto found = tunnels_.find(id);
  if (found == tunnels_.end()) return false;
  const auto tunnel = found->second;
  tunnel->Close("closed by operator", false);
  return true;
}

void TunnelServer::HandOver(Tunnel::PassDescriptors pass_descriptors) {
  pass_descriptors_ = std::move(pass_descriptors);
  error_code ignored;
  for (const auto& listener : listeners_) listener->acceptor.cancel(ignored);
  PassTunnels();
}

// The connection to the successor accepts a limited number of tunnels at a time; the next sweep offers the
// remaining ones again.
void TunnelServer::PassTunnels() {
  std::vector<std::shared_ptr<Tunnel>> entries;
  for (const auto& [id, tunnel] : tunnels_) entries.push_back(tunnel);
  for (const auto& tunnel : entries) {
    if (!tunnel->PassToSuccessor(pass_descriptors_)) return;
  }
}

void TunnelServer::ResumeServing() {
  pass_descriptors_ = nullptr;
  for (const auto& listener : listeners_) Accept(listener);
}

void TunnelServer::Adopt(int client, int host, std::string_view text) {
  auto saved = Tunnel::Parse(text);
  tcp::socket sockets[] = {tcp::socket(io_), tcp::socket(io_)};
  bool valid = saved.has_value();
  for (int i = 0; i < 2; ++i) {
    const int fd = i == 0 ? client : host;
    error_code ec;
    sockets[i].assign(tcp::v4(), fd, ec);
    if (ec) ::close(fd);
    valid = valid && !ec;
  }
  if (!valid) return;
  TunnelInfo& info = saved->info;
  admission_.TakeUnchecked(info.client, info.user);
  ++request_outcomes_["adopted"];
  auto closed = handlers_.adopt(info.pool, info.host);
  StartTunnel(std::move(info), std::move(sockets[0]), std::move(sockets[1]), std::move(saved->up),
              std::move(saved->down), std::move(closed));
  HostsChanged();
}

bool TunnelServer::CheckCredentials(std::string_view user, std::string_view password) const {
  for (const EdgeUser& configured_user : config_->users) {
    if (configured_user.name == user) return EqualInConstantTime(configured_user.password, password);
  }
  return false;
}

nlohmann::json TunnelServer::Status() const {
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [id, tunnel] : tunnels_) {
    const TunnelInfo& info = tunnel->info();
    entries.push_back({{"id", id},
                       {"client", info.client},
                       {"user", info.user},
                       {"to", info.to},
                       {"route", info.route},
                       {"pool", info.pool},
                       {"host", info.host},
                       {"age_ms", static_cast<std::int64_t>(core::Now() - info.since)},
                       {"bytes_up", tunnel->bytes_up()},
                       {"bytes_down", tunnel->bytes_down()}});
  }
  return {{"open", tunnels_.size()},
          {"handshakes", sessions_.size()},
          {"asked", request_outcomes_},
          {"ended", end_causes_},
          {"tunnels", std::move(entries)}};
}

}  // namespace meadowyard
