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

constexpr Millis kSweepEvery = 50;
constexpr Millis kAcceptAgain = 50;  // after an accept that failed, out of descriptors perhaps
constexpr int kBacklog = 1024;

std::string KeyOf(const EdgeListener& l) {
  return std::string(l.protocol == TunnelProtocol::kSocks5 ? "socks5 " : "connect ") +
         discovery::FormatAddress(l.address);
}

// Takes the same time whatever is wrong with it.
bool SameSecret(std::string_view a, std::string_view b) {
  unsigned different = a.size() != b.size();
  for (std::size_t i = 0; i < a.size(); ++i) {
    different |= static_cast<unsigned>(a[i] ^ (i < b.size() ? b[i] : 0));
  }
  return different == 0;
}

Admission::Limits LimitsOf(const EdgeConfig& config) {
  return {config.limits.most, config.limits.most_per_address, config.limits.most_per_user};
}

}  // namespace

TunnelServer::TunnelServer(asio::io_context& io, std::shared_ptr<const EdgeConfig> config, Handlers handlers)
    : io_(io),
      config_(std::move(config)),
      handlers_(std::move(handlers)),
      admission_(LimitsOf(*config_)),
      sweep_(io) {
  Sweep();
}

TunnelServer::~TunnelServer() = default;

void TunnelServer::Listen(const std::shared_ptr<const EdgeConfig>& config,
                          const std::map<std::string, int>& inherited) {
  std::vector<std::shared_ptr<Listener>> wanted, made;
  for (const EdgeListener& spec : config->listeners) {
    std::shared_ptr<Listener> kept;
    for (const auto& l : listeners_) {
      if (KeyOf(l->spec) == KeyOf(spec)) kept = l;
    }
    if (!kept) {
      kept = std::make_shared<Listener>(io_, spec);
      const auto found = inherited.find(KeyOf(spec));
      if (found != inherited.end()) {
        kept->acceptor.assign(spec.address.protocol(), found->second);
      } else {
        kept->acceptor.open(spec.address.protocol());
        kept->acceptor.set_option(tcp::acceptor::reuse_address(true));
        kept->acceptor.bind(spec.address);
        kept->acceptor.listen(kBacklog);
      }
      kept->acceptor.non_blocking(true);
      made.push_back(kept);
    }
    wanted.push_back(kept);
  }
  for (const auto& [key, fd] : inherited) {
    const bool used =
        std::any_of(made.begin(), made.end(), [&key = key](const auto& l) { return KeyOf(l->spec) == key; });
    if (!used) ::close(fd);
  }
  for (std::size_t i = 0; i < wanted.size(); ++i) wanted[i]->spec = config->listeners[i];
  std::swap(listeners_, wanted);
  for (const auto& l : wanted) {
    if (std::find(listeners_.begin(), listeners_.end(), l) != listeners_.end()) continue;
    error_code ignored;
    l->acceptor.close(ignored);
    l->again.cancel();
  }
  for (const auto& l : made) Accept(l);
}

void TunnelServer::Configure(std::shared_ptr<const EdgeConfig> config) {
  config_ = std::move(config);
  admission_.SetLimits(LimitsOf(*config_));
  HostsChanged();
}

std::vector<std::pair<std::string, int>> TunnelServer::listeners() {
  std::vector<std::pair<std::string, int>> all;
  for (const auto& l : listeners_) all.emplace_back(KeyOf(l->spec), l->acceptor.native_handle());
  return all;
}

std::vector<tcp::endpoint> TunnelServer::addresses() const {
  std::vector<tcp::endpoint> all;
  for (const auto& l : listeners_) all.push_back(l->acceptor.local_endpoint());
  return all;
}

void TunnelServer::Accept(const std::shared_ptr<Listener>& l) {
  if (l->accepting || pass_ || stopping_ || !l->acceptor.is_open()) return;
  l->accepting = true;
  l->acceptor.async_accept([this, l](error_code ec, tcp::socket socket) {
    l->accepting = false;
    if (!l->acceptor.is_open()) return;
    if (ec && ec != asio::error::operation_aborted) {
      if (ec == asio::error::no_descriptors) EvictOldest();
      l->again.expires_after(core::ToDuration(kAcceptAgain));  // at once would spin
      return l->again.async_wait([this, l](error_code wait_ec) {
        if (!wait_ec) Accept(l);
      });
    }
    if (!ec) {
      if (sessions_.size() >= config_->limits.handshakes) EvictOldest();
      const auto session = std::make_shared<Session>(*this, std::move(socket), l->spec);
      sessions_.push_back(session);
      session->Begin();
    }
    Accept(l);
  });
}

// A thousand that begin and never go on, or were refused and stay, must not shut out the one that goes on.
void TunnelServer::EvictOldest() {
  for (const auto& session : sessions_) {
    if (session->waiting()) continue;
    if (session->handshaking()) ++asked_["handshake_evicted"];
    const auto oldest = session;
    return oldest->Close();
  }
}

void TunnelServer::Closed(const std::shared_ptr<Session>& session) {
  sessions_.remove(session);
  if (emptied_ && tunnels_.empty() && sessions_.empty()) asio::post(io_, std::exchange(emptied_, nullptr));
}

void TunnelServer::Open(TunnelFacts facts, tcp::socket client, core::Answer answer, Tunnel::Way up,
                        Tunnel::Way down) {
  facts.host = answer.tunnel_endpoint->endpoint;
  facts.since = core::Now();
  Run(std::move(facts), std::move(client), std::move(answer.tunnel_endpoint->socket), std::move(up),
      std::move(down), std::move(answer.on_tunnel_closed));
}

void TunnelServer::Run(TunnelFacts facts, tcp::socket client, tcp::socket host, Tunnel::Way up,
                       Tunnel::Way down, std::function<void(core::TunnelEnd)> closed) {
  facts.id = next_++;
  const std::uint64_t id = facts.id;
  const auto tunnel = std::make_shared<Tunnel>(
      std::move(facts), std::move(client), std::move(host), piece_,
      [this, closed = std::move(closed)](Tunnel& ended, const std::string& cause, core::TunnelEnd end) {
        closed(end);
        Ended(ended, cause);
      });
  tunnels_[id] = tunnel;
  tunnel->Start(std::move(up), std::move(down));
}

void TunnelServer::Ended(Tunnel& tunnel, const std::string& cause) {
  const TunnelFacts& facts = tunnel.facts();
  ++ended_[cause];
  admission_.Release(facts.client, facts.user);
  handlers_.log("tunnel_ended", {{"client", facts.client},
                                 {"user", facts.user},
                                 {"to", facts.to},
                                 {"route", facts.route},
                                 {"host", facts.host},
                                 {"why", cause},
                                 {"bytes_up", std::to_string(tunnel.bytes_up())},
                                 {"bytes_down", std::to_string(tunnel.bytes_down())},
                                 {"ms", std::to_string(static_cast<long>(core::Now() - facts.since))}});
  tunnels_.erase(facts.id);
  if (emptied_ && tunnels_.empty() && sessions_.empty()) asio::post(io_, std::exchange(emptied_, nullptr));
}

void TunnelServer::HostsChanged() {
  const Millis now = core::Now();
  std::vector<std::pair<std::shared_ptr<Tunnel>, std::string>> due;
  for (const auto& [id, tunnel] : tunnels_) {
    const std::string why = handlers_.unusable(tunnel->facts().pool, tunnel->facts().host);
    if (why.empty()) {
      tunnel->condemned = 0;
      continue;
    }
    if (tunnel->condemned <= 0) tunnel->condemned = now;
    if (now >= tunnel->condemned + config_->limits.drain_grace) due.emplace_back(tunnel, why);
  }
  for (const auto& [tunnel, why] : due) tunnel->Close(why, false);
}

void TunnelServer::Sweep() {
  sweep_.expires_after(core::ToDuration(kSweepEvery));  // first: the next one comes whatever this one meets
  sweep_.async_wait([this](error_code ec) {
    if (!ec) Sweep();
  });
  const Millis now = core::Now();
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->Sweep(now);
  std::vector<std::shared_ptr<Tunnel>> idle;
  bool condemned = false;
  for (const auto& [id, tunnel] : tunnels_) {
    condemned = condemned || tunnel->condemned > 0;
    if (now >= tunnel->last_active() + config_->limits.idle) idle.push_back(tunnel);
  }
  for (const auto& tunnel : idle) tunnel->Close("idle", false);
  if (condemned) HostsChanged();
  if (pass_) PassAll();
  for (const auto& l : listeners_) Accept(l);  // it may have been given up for want of memory
}

void TunnelServer::Drain(std::function<void()> emptied) {
  stopping_ = true;
  error_code ignored;
  for (const auto& l : listeners_) {
    if (!pass_) l->acceptor.close(ignored);
    l->again.cancel();
  }
  emptied_ = std::move(emptied);
  if (tunnels_.empty() && sessions_.empty()) asio::post(io_, std::exchange(emptied_, nullptr));
}

void TunnelServer::CloseAll(const std::string& cause) {
  const auto all = tunnels_;
  for (const auto& [id, tunnel] : all) tunnel->Close(cause, false);
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

void TunnelServer::HandOver(Tunnel::Pass pass) {
  pass_ = std::move(pass);
  error_code ignored;
  for (const auto& l : listeners_) l->acceptor.cancel(ignored);
  PassAll();
}

// The link takes so many at a time: what it doesn't take now is offered again.
void TunnelServer::PassAll() {
  std::vector<std::shared_ptr<Tunnel>> all;
  for (const auto& [id, tunnel] : tunnels_) all.push_back(tunnel);
  for (const auto& tunnel : all) {
    if (!tunnel->PassOn(pass_)) return;
  }
}

void TunnelServer::ResumeServing() {
  pass_ = nullptr;
  for (const auto& l : listeners_) Accept(l);
}

void TunnelServer::Adopt(int client, int host, std::string_view text) {
  auto passed = Tunnel::Parse(text);
  tcp::socket ends[] = {tcp::socket(io_), tcp::socket(io_)};
  bool good = passed.has_value();
  for (int i = 0; i < 2; ++i) {
    const int fd = i == 0 ? client : host;
    error_code ec;
    ends[i].assign(tcp::v4(), fd, ec);
    if (ec) ::close(fd);
    good = good && !ec;
  }
  if (!good) return;
  TunnelFacts& facts = passed->facts;
  admission_.Force(facts.client, facts.user);
  ++asked_["adopted"];
  auto closed = handlers_.adopt(facts.pool, facts.host);
  Run(std::move(facts), std::move(ends[0]), std::move(ends[1]), std::move(passed->up),
      std::move(passed->down), std::move(closed));
  HostsChanged();
}

bool TunnelServer::Check(std::string_view user, std::string_view password) const {
  for (const EdgeUser& known : config_->users) {
    if (known.name == user) return SameSecret(known.password, password);
  }
  return false;
}

nlohmann::json TunnelServer::Status() const {
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [id, tunnel] : tunnels_) {
    const TunnelFacts& facts = tunnel->facts();
    all.push_back({{"id", id},
                   {"client", facts.client},
                   {"user", facts.user},
                   {"to", facts.to},
                   {"route", facts.route},
                   {"pool", facts.pool},
                   {"host", facts.host},
                   {"age_ms", static_cast<std::int64_t>(core::Now() - facts.since)},
                   {"bytes_up", tunnel->bytes_up()},
                   {"bytes_down", tunnel->bytes_down()}});
  }
  return {{"open", tunnels_.size()},
          {"handshakes", sessions_.size()},
          {"asked", asked_},
          {"ended", ended_},
          {"tunnels", std::move(all)}};
}

}  // namespace meadowyard
