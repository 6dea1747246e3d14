#include "fronts/tunnel/session.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t kMaxEarlyDataBytes = 16 * 1024;  // buffered per client until its tunnel opens
constexpr Millis kLingeringCloseTimeout = 500;  // time for a rejected client to read the reply and close

TunnelReply ToTunnelReply(const core::Answer& answer) {
  switch (answer.kind) {
    case core::Answer::Kind::kServed: return TunnelReply::kOpen;
    case core::Answer::Kind::kRejected:
      return answer.attempted ? TunnelReply::kUnreachable : TunnelReply::kUnavailable;
    case core::Answer::Kind::kTimedOut: return TunnelReply::kDeadlineExceeded;
    case core::Answer::Kind::kFailed:
    case core::Answer::Kind::kDuplicateId: break;
  }
  return TunnelReply::kUnreachable;
}

const char* ReplyName(TunnelReply reply) {
  constexpr const char* kReplyNames[] = {"opened", "denied", "turned_away", "unreachable", "overdue"};
  return kReplyNames[static_cast<int>(reply)];
}

}  // namespace

TunnelServer::Session::Session(TunnelServer& server, tcp::socket socket, const EdgeListener& listener)
    : server_(server),
      socket_(std::move(socket)),
      config_(server.config_),
      deadline_(core::Now() + server.config_->limits.handshake) {
  Handshake::Check check;
  if (listener.credentials) {
    check = [this](std::string_view user, std::string_view password) {
      return server_.CheckCredentials(user, password);
    };
  }
  handshake_ = listener.protocol == TunnelProtocol::kSocks5
                   ? MakeSocksHandshake(std::move(check))
                   : MakeConnectHandshake(std::move(check), config_->limits.handshake_bytes);
  error_code ec;
  info_.client = socket_.remote_endpoint(ec).address().to_string();
  socket_.set_option(tcp::no_delay(true), ec);
}

void TunnelServer::Session::Close() {
  if (std::exchange(stage_, Stage::kClosed) == Stage::kClosed) return;
  const auto self = shared_from_this();
  error_code ignored;
  socket_.close(ignored);
  ReleaseAdmission();
  if (!request_id_.empty())
    server_.handlers_.on_client_disconnected(route_->pool, std::exchange(request_id_, {}));
  server_.OnSessionClosed(self);
}

void TunnelServer::Session::ReleaseAdmission() {
  if (std::exchange(admitted_, false)) server_.admission_.Release(info_.client, info_.user);
}

void TunnelServer::Session::Sweep(Millis now) {
  if (stage_ == Stage::kWaiting || now < deadline_) return;
  if (stage_ == Stage::kHandshake) ++server_.request_outcomes_["handshake_timeout"];
  Close();
}

void TunnelServer::Session::AwaitReadable() {
  if (std::exchange(reading_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
    self->reading_ = false;
    self->OnReadable();
  });
}

void TunnelServer::Session::OnReadable() {
  if (stage_ == Stage::kClosed) return;
  RelayBuffer& buffer = server_.relay_buffer_;
  const std::size_t max_bytes =
      stage_ == Stage::kLingeringClose ? buffer.size() : std::min(buffer.size(), kMaxEarlyDataBytes);
  const ssize_t received = ::recv(socket_.native_handle(), buffer.data(), max_bytes, MSG_DONTWAIT);
  if (received < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? AwaitReadable() : Close();
  if (stage_ == Stage::kLingeringClose) return received == 0 ? Close() : AwaitReadable();
  if (received == 0) {
    // After the handshake, end of stream may be a half-close: the client can still receive.
    if (stage_ != Stage::kWaiting) return Close();
    client_ended_ = true;
    return;
  }
  input_.append(buffer.data(), static_cast<std::size_t>(received));
  if (stage_ == Stage::kHandshake) ProcessHandshake();
  if (stage_ == Stage::kHandshake || (stage_ == Stage::kWaiting && input_.size() < kMaxEarlyDataBytes))
    AwaitReadable();
}

void TunnelServer::Session::ProcessHandshake() {
  const auto self = shared_from_this();
  const Handshake::Step step = handshake_->Feed(input_);
  if (!Write(handshake_->TakeOutput())) return Close();
  if (step == Handshake::Step::kRequestComplete) return RequestTunnel();
  if (step == Handshake::Step::kMore) {
    if (input_.size() > config_->limits.handshake_bytes) Close();
    return;
  }
  ++server_.request_outcomes_["bad_handshake"];
  server_.handlers_.log("tunnel_handshake_refused", {{"client", info_.client}, {"why", handshake_->error()}});
  StartLingeringClose();
}

bool TunnelServer::Session::Write(const std::string& text) {
  if (text.empty()) return true;
  const ssize_t sent = ::send(socket_.native_handle(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent == static_cast<ssize_t>(text.size());
}

void TunnelServer::Session::RequestTunnel() {
  info_.user = handshake_->user();
  info_.to = handshake_->destination().ToText();
  route_ = &config_->routes->Find(handshake_->destination());
  info_.route = route_->name;
  info_.pool = route_->pool;
  if (route_->kind == Route::Kind::kDeny) return Reject(TunnelReply::kDenied, 0, "denied");
  if (!server_.handlers_.is_ready()) return Reject(TunnelReply::kUnavailable, 0, "not_ready");
  const auto verdict = server_.admission_.Take(info_.client, info_.user);
  if (verdict != Admission::Verdict::kTaken) {
    const char* const outcome = verdict == Admission::Verdict::kFull          ? "limit"
                                : verdict == Admission::Verdict::kAddressFull ? "limit_address"
                                                                              : "limit_user";
    return Reject(TunnelReply::kUnavailable, 1000, outcome);
  }
  admitted_ = true;
  stage_ = Stage::kWaiting;
  // The line feed keeps the id distinct from all request ids that clients of the gateway can send.
  request_id_ = "\ntunnel " + std::to_string(server_.next_id_++);
  core::ClientRequest request;
  request.message.method = "CONNECT";
  request.message.target = info_.to;
  request.id = request_id_;
  request.class_name = config_->tunnel.name;
  request.idempotency = Idempotency::kNonIdempotent;
  request.is_tunnel = true;
  if (route_->kind == Route::Kind::kHost) request.pinned_endpoint = route_->host;
  for (const EdgeUser& user : config_->users) {
    if (user.name == info_.user) request.tenant = user.tenant;
  }
  request.received_at = core::Now();
  request.client_timeout = config_->tunnel.deadline;
  request.on_answer = [weak = weak_from_this()](core::Answer answer) {
    if (const auto self = weak.lock(); self && self->stage_ == Stage::kWaiting)
      return self->OnAnswer(std::move(answer));
    if (answer.on_tunnel_closed) answer.on_tunnel_closed(core::TunnelEnd::kClosed);
  };
  if (input_.size() < kMaxEarlyDataBytes) AwaitReadable();
  server_.handlers_.submit(*route_, std::move(request));
}

void TunnelServer::Session::OnAnswer(core::Answer answer) {
  const auto self = shared_from_this();
  request_id_.clear();
  if (answer.kind != core::Answer::Kind::kServed) {
    const TunnelReply reply = ToTunnelReply(answer);
    return Reject(reply, answer.retry_after, ReplyName(reply));
  }
  ++server_.request_outcomes_["opened"];
  stage_ = Stage::kClosed;
  admitted_ = false;  // released when the tunnel ends
  error_code ec;
  socket_.cancel(ec);
  Tunnel::DirectionState up, down;
  up.left = std::move(input_);
  up.bytes = up.left.size();
  up.ended = client_ended_;
  down.bytes = answer.tunnel_endpoint->unread.size();
  down.left = handshake_->Reply(TunnelReply::kOpen, 0, answer.tunnel_endpoint->socket.local_endpoint(ec)) +
              answer.tunnel_endpoint->unread;
  server_.OpenTunnel(std::move(info_), std::move(socket_), std::move(answer), std::move(up), std::move(down));
  server_.OnSessionClosed(self);
}

void TunnelServer::Session::Reject(TunnelReply reply, Millis retry_after, const std::string& outcome) {
  ++server_.request_outcomes_[outcome];
  server_.handlers_.log("tunnel_refused", {{"client", info_.client},
                                           {"user", info_.user},
                                           {"to", info_.to},
                                           {"route", info_.route},
                                           {"why", outcome}});
  if (!Write(handshake_->Reply(reply, retry_after, {}))) return Close();
  StartLingeringClose();
}

// Closing a connection with unread bytes resets it, and the client could lose the reply. So this side ends
// its stream and discards input until the client closes or the time-out passes.
void TunnelServer::Session::StartLingeringClose() {
  ReleaseAdmission();
  stage_ = Stage::kLingeringClose;
  deadline_ = core::Now() + kLingeringCloseTimeout;
  error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  input_.clear();
  AwaitReadable();
}

}  // namespace meadowyard
