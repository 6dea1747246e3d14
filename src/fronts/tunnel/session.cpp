#include "fronts/tunnel/session.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t kMostEarly = 16 * 1024;  // of the client's data that waits for the way to open
constexpr Millis kLinger = 500;                // for a refused client to close first

TunnelReply ReplyTo(const core::Answer& answer) {
  switch (answer.kind) {
    case core::Answer::Kind::kServed: return TunnelReply::kOpen;
    case core::Answer::Kind::kRejected:
      return answer.attempted ? TunnelReply::kUnreachable : TunnelReply::kTurnedAway;
    case core::Answer::Kind::kTimedOut: return TunnelReply::kOverdue;
    case core::Answer::Kind::kFailed:
    case core::Answer::Kind::kDuplicateId: break;
  }
  return TunnelReply::kUnreachable;
}

const char* Name(TunnelReply reply) {
  constexpr const char* kNames[] = {"opened", "denied", "turned_away", "unreachable", "overdue"};
  return kNames[static_cast<int>(reply)];
}

}  // namespace

TunnelServer::Session::Session(TunnelServer& server, tcp::socket socket, const EdgeListener& listener)
    : server_(server),
      socket_(std::move(socket)),
      config_(server.config_),
      until_(core::Now() + server.config_->limits.handshake) {
  Handshake::Check check;
  if (listener.credentials) {
    check = [this](std::string_view user, std::string_view password) {
      return server_.Check(user, password);
    };
  }
  handshake_ = listener.protocol == TunnelProtocol::kSocks5
                   ? MakeSocksHandshake(std::move(check))
                   : MakeConnectHandshake(std::move(check), config_->limits.handshake_bytes);
  error_code ec;
  facts_.client = socket_.remote_endpoint(ec).address().to_string();
  socket_.set_option(tcp::no_delay(true), ec);
}

void TunnelServer::Session::Close() {
  if (std::exchange(stage_, Stage::kClosed) == Stage::kClosed) return;
  const auto self = shared_from_this();
  error_code ignored;
  socket_.close(ignored);
  Release();
  if (!request_.empty()) server_.handlers_.left(route_->pool, std::exchange(request_, {}));
  server_.Closed(self);
}

void TunnelServer::Session::Release() {
  if (std::exchange(admitted_, false)) server_.admission_.Release(facts_.client, facts_.user);
}

void TunnelServer::Session::Sweep(Millis now) {
  if (stage_ == Stage::kWaiting || now < until_) return;
  if (stage_ == Stage::kHandshake) ++server_.asked_["handshake_timeout"];
  Close();
}

void TunnelServer::Session::Read() {
  if (std::exchange(reading_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
    self->reading_ = false;
    self->Readable();
  });
}

void TunnelServer::Session::Readable() {
  if (stage_ == Stage::kClosed) return;
  SharedPiece& piece = server_.piece_;
  const std::size_t room = stage_ == Stage::kRefused ? piece.size() : std::min(piece.size(), kMostEarly);
  const ssize_t got = ::recv(socket_.native_handle(), piece.data(), room, MSG_DONTWAIT);
  if (got < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? Read() : Close();
  if (stage_ == Stage::kRefused) return got == 0 ? Close() : Read();
  if (got == 0) {
    // Behind the handshake it may be the end of what the client has to say, and no more.
    if (stage_ != Stage::kWaiting) return Close();
    client_ended_ = true;
    return;
  }
  in_.append(piece.data(), static_cast<std::size_t>(got));
  if (stage_ == Stage::kHandshake) Fed();
  if (stage_ == Stage::kHandshake || (stage_ == Stage::kWaiting && in_.size() < kMostEarly)) Read();
}

void TunnelServer::Session::Fed() {
  const auto self = shared_from_this();
  const Handshake::Step step = handshake_->Feed(in_);
  if (!Write(handshake_->TakeOutput())) return Close();
  if (step == Handshake::Step::kAsked) return Ask();
  if (step == Handshake::Step::kMore) {
    if (in_.size() > config_->limits.handshake_bytes) Close();
    return;
  }
  ++server_.asked_["bad_handshake"];
  server_.handlers_.log("tunnel_handshake_refused", {{"client", facts_.client}, {"why", handshake_->why()}});
  Linger();
}

bool TunnelServer::Session::Write(const std::string& text) {
  if (text.empty()) return true;
  const ssize_t sent = ::send(socket_.native_handle(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent == static_cast<ssize_t>(text.size());
}

void TunnelServer::Session::Ask() {
  facts_.user = handshake_->user();
  facts_.to = handshake_->destination().ToText();
  route_ = &config_->routes->Find(handshake_->destination());
  facts_.route = route_->name;
  facts_.pool = route_->pool;
  if (route_->kind == Route::Kind::kDeny) return Refuse(TunnelReply::kDenied, 0, "denied");
  if (!server_.handlers_.ready()) return Refuse(TunnelReply::kTurnedAway, 0, "not_ready");
  const auto verdict = server_.admission_.Take(facts_.client, facts_.user);
  if (verdict != Admission::Verdict::kTaken) {
    const char* const what = verdict == Admission::Verdict::kFull          ? "limit"
                             : verdict == Admission::Verdict::kAddressFull ? "limit_address"
                                                                           : "limit_user";
    return Refuse(TunnelReply::kTurnedAway, 1000, what);
  }
  admitted_ = true;
  stage_ = Stage::kWaiting;
  request_ = "\ntunnel " + std::to_string(server_.next_++);  // no front's clients can name such a request
  core::ClientRequest request;
  request.message.method = "CONNECT";
  request.message.target = facts_.to;
  request.id = request_;
  request.class_name = config_->tunnel.name;
  request.idempotency = Idempotency::kNonIdempotent;
  request.is_tunnel = true;
  if (route_->kind == Route::Kind::kHost) request.pinned_endpoint = route_->host;
  for (const EdgeUser& user : config_->users) {
    if (user.name == facts_.user) request.tenant = user.tenant;
  }
  request.received_at = core::Now();
  request.client_timeout = config_->tunnel.deadline;
  request.on_answer = [weak = weak_from_this()](core::Answer answer) {
    if (const auto self = weak.lock(); self && self->stage_ == Stage::kWaiting)
      return self->Answered(std::move(answer));
    if (answer.on_tunnel_closed) answer.on_tunnel_closed(core::TunnelEnd::kClosed);
  };
  if (in_.size() < kMostEarly) Read();
  server_.handlers_.take(*route_, std::move(request));
}

void TunnelServer::Session::Answered(core::Answer answer) {
  const auto self = shared_from_this();
  request_.clear();
  if (answer.kind != core::Answer::Kind::kServed) {
    const TunnelReply reply = ReplyTo(answer);
    return Refuse(reply, answer.retry_after, Name(reply));
  }
  ++server_.asked_["opened"];
  stage_ = Stage::kClosed;
  admitted_ = false;  // the tunnel gives it back
  error_code ec;
  socket_.cancel(ec);
  Tunnel::Way up, down;
  up.left = std::move(in_);
  up.bytes = up.left.size();
  up.ended = client_ended_;
  down.bytes = answer.tunnel_endpoint->unread.size();
  down.left = handshake_->Reply(TunnelReply::kOpen, 0, answer.tunnel_endpoint->socket.local_endpoint(ec)) +
              answer.tunnel_endpoint->unread;
  server_.Open(std::move(facts_), std::move(socket_), std::move(answer), std::move(up), std::move(down));
  server_.Closed(self);
}

void TunnelServer::Session::Refuse(TunnelReply reply, Millis retry_after, const std::string& what) {
  ++server_.asked_[what];
  server_.handlers_.log("tunnel_refused", {{"client", facts_.client},
                                           {"user", facts_.user},
                                           {"to", facts_.to},
                                           {"route", facts_.route},
                                           {"why", what}});
  if (!Write(handshake_->Reply(reply, retry_after, {}))) return Close();
  Linger();
}

// Closing with bytes unread would reset the connection, and could take the reply from the client.
void TunnelServer::Session::Linger() {
  Release();
  stage_ = Stage::kRefused;
  until_ = core::Now() + kLinger;
  error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  in_.clear();
  Read();
}

}  // namespace meadowyard
