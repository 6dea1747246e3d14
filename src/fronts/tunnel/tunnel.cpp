#include "fronts/tunnel/tunnel.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr int kTurns = 8;            // pieces that one tunnel passes on before others have their turn
constexpr Millis kBeginning = 1000;  // a host that resets within it, and has said nothing, is held against

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

Tunnel::Tunnel(TunnelFacts facts, Socket client, Socket host, SharedPiece& piece, Ended ended)
    : facts_(std::move(facts)),
      client_(std::move(client)),
      host_(std::move(host)),
      piece_(piece),
      ended_(std::move(ended)),
      up_{client_, host_, {}},
      down_{host_, client_, {}},
      last_active_(core::Now()) {}

void Tunnel::Start(Way up, Way down) {
  up_.way = std::move(up);
  down_.way = std::move(down);
  const auto self = shared_from_this();
  AwaitError(client_);
  AwaitError(host_);
  Run(down_);
  if (!closed_) Run(up_);
}

void Tunnel::Close(const std::string& cause, bool reset, core::TunnelEnd end) {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  error_code ignored;
  for (Socket* socket : {&client_, &host_}) {
    if (reset) socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  const auto ended = std::exchange(ended_, nullptr);
  ended(*this, cause, end);
}

void Tunnel::Run(Flow& flow) {
  for (int turn = 0; turn < kTurns; ++turn) {
    if (!flow.way.left.empty() && !Flush(flow)) return;
    if (flow.way.ended) return Finish(flow);
    const ssize_t got = ::recv(flow.from.native_handle(), piece_.data(), piece_.size(), MSG_DONTWAIT);
    if (got < 0) return WouldBlock() ? AwaitRead(flow) : Broke(flow.from);
    if (got == 0) {
      flow.way.ended = true;
      continue;
    }
    last_active_ = core::Now();
    flow.way.bytes += static_cast<std::uint64_t>(got);
    const auto all = static_cast<std::size_t>(got);
    ssize_t sent = ::send(flow.to.native_handle(), piece_.data(), all, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && !WouldBlock()) return Broke(flow.to);
    sent = std::max<ssize_t>(0, sent);
    if (static_cast<std::size_t>(sent) < all) {
      flow.way.left.assign(piece_.data() + sent, all - static_cast<std::size_t>(sent));
      return AwaitRoom(flow);
    }
    if (all < piece_.size()) break;  // no more for now
  }
  AwaitRead(flow);
}

bool Tunnel::Flush(Flow& flow) {
  std::string& left = flow.way.left;
  const ssize_t sent = ::send(flow.to.native_handle(), left.data(), left.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && !WouldBlock()) {
    Broke(flow.to);
    return false;
  }
  if (sent > 0) last_active_ = core::Now();
  left.erase(0, static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
  if (left.empty()) {
    std::string().swap(left);  // an idle tunnel holds no buffer
    return true;
  }
  AwaitRoom(flow);
  return false;
}

void Tunnel::AwaitRead(Flow& flow) {
  if (std::exchange(flow.waiting, true)) return;
  flow.from.async_wait(Socket::wait_read, [this, self = shared_from_this(), &flow](error_code) {
    flow.waiting = false;
    if (!closed_) Run(flow);
  });
}

void Tunnel::AwaitRoom(Flow& flow) {
  if (std::exchange(flow.waiting, true)) return;
  flow.to.async_wait(Socket::wait_write, [this, self = shared_from_this(), &flow](error_code) {
    flow.waiting = false;
    if (!closed_) Run(flow);
  });
}

// A side that is not read from, for the other takes nothing or it has ended, can still reset.
void Tunnel::AwaitError(Socket& socket) {
  socket.async_wait(Socket::wait_error, [this, self = shared_from_this(), &socket](error_code ec) {
    if (closed_ || ec) return;
    Flow& flow = &socket == &client_ ? up_ : down_;
    if (!flow.way.ended && flow.way.left.empty()) Run(flow);  // what came before the reset
    if (closed_) return;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) Broke(socket);
  });
}

void Tunnel::Finish(Flow& flow) {
  if (!std::exchange(flow.way.shut, true)) {
    error_code ignored;
    flow.to.shutdown(Socket::shutdown_send, ignored);
  }
  if (up_.way.shut && down_.way.shut) Close("ended", false);
}

void Tunnel::Broke(const Socket& by) {
  const bool host = &by == &host_;
  const bool early = host && down_.way.bytes == 0 && core::Now() < facts_.since + kBeginning;
  Close(host ? "reset by host" : "reset by client", true,
        early ? core::TunnelEnd::kFailedAtStart : core::TunnelEnd::kClosed);
}

bool Tunnel::PassOn(const Pass& pass) {
  if (closed_) return false;
  const auto text_of = [](const Way& way) {
    return json{{"left", way.left.size()}, {"bytes", way.bytes}, {"ended", way.ended}, {"shut", way.shut}};
  };
  const json head = {{"client", facts_.client}, {"user", facts_.user},    {"to", facts_.to},
                     {"route", facts_.route},   {"pool", facts_.pool},    {"host", facts_.host},
                     {"since", facts_.since},   {"up", text_of(up_.way)}, {"down", text_of(down_.way)}};
  const std::string text =
      head.dump(-1, ' ', false, json::error_handler_t::replace) + "\n" + up_.way.left + down_.way.left;
  if (!pass(client_.native_handle(), host_.native_handle(), text)) return false;
  Close("passed on", false, core::TunnelEnd::kHandedOver);
  return true;
}

std::optional<Tunnel::Passed> Tunnel::Parse(std::string_view text) {
  const std::size_t line = text.find('\n');
  if (line == std::string_view::npos) return std::nullopt;
  try {
    const json head = json::parse(text.substr(0, line));
    std::string_view rest = text.substr(line + 1);
    const auto way_of = [&rest](const json& in) {
      Way way;
      const auto left = in.at("left").get<std::size_t>();
      if (left > rest.size()) throw std::length_error("left");
      way.left = rest.substr(0, left);
      rest.remove_prefix(left);
      way.bytes = in.at("bytes").get<std::uint64_t>();
      way.ended = in.at("ended").get<bool>();
      way.shut = in.at("shut").get<bool>();
      return way;
    };
    Passed passed;
    passed.facts = {0,
                    head.at("client").get<std::string>(),
                    head.at("user").get<std::string>(),
                    head.at("to").get<std::string>(),
                    head.at("route").get<std::string>(),
                    head.at("pool").get<std::string>(),
                    head.at("host").get<std::string>(),
                    head.at("since").get<Millis>()};
    passed.up = way_of(head.at("up"));
    passed.down = way_of(head.at("down"));
    return passed;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace meadowyard
