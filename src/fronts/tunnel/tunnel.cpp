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

constexpr int kMaxReceivesPerEvent = 8;  // so that a busy tunnel does not delay the others
// If the host resets the tunnel within this period after it opened, before the host has sent any data, the
// reset counts as a failure of the host.
constexpr Millis kStartFailurePeriod = 1000;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

Tunnel::Tunnel(TunnelInfo info, Socket client, Socket host, RelayBuffer& relay_buffer, EndedHandler on_ended)
    : info_(std::move(info)),
      client_(std::move(client)),
      host_(std::move(host)),
      relay_buffer_(relay_buffer),
      on_ended_(std::move(on_ended)),
      up_{client_, host_, {}},
      down_{host_, client_, {}},
      last_active_(core::Now()) {}

void Tunnel::Start(DirectionState up, DirectionState down) {
  up_.state = std::move(up);
  down_.state = std::move(down);
  const auto self = shared_from_this();
  AwaitError(client_);
  AwaitError(host_);
  Relay(down_);
  if (!closed_) Relay(up_);
}

void Tunnel::Close(const std::string& cause, bool reset, core::TunnelEnd end) {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  error_code ignored;
  for (Socket* socket : {&client_, &host_}) {
    if (reset) socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  const auto on_ended = std::exchange(on_ended_, nullptr);
  on_ended(*this, cause, end);
}

void Tunnel::Relay(Direction& direction) {
  for (int receives = 0; receives < kMaxReceivesPerEvent; ++receives) {
    if (!direction.state.left.empty() && !Flush(direction)) return;
    if (direction.state.ended) return PropagateEndOfStream(direction);
    const ssize_t received =
        ::recv(direction.from.native_handle(), relay_buffer_.data(), relay_buffer_.size(), MSG_DONTWAIT);
    if (received < 0) return WouldBlock() ? AwaitReadable(direction) : OnSocketError(direction.from);
    if (received == 0) {
      direction.state.ended = true;
      continue;
    }
    last_active_ = core::Now();
    direction.state.bytes += static_cast<std::uint64_t>(received);
    const auto received_bytes = static_cast<std::size_t>(received);
    ssize_t sent = ::send(direction.to.native_handle(), relay_buffer_.data(), received_bytes,
                          MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && !WouldBlock()) return OnSocketError(direction.to);
    sent = std::max<ssize_t>(0, sent);
    if (static_cast<std::size_t>(sent) < received_bytes) {
      direction.state.left.assign(relay_buffer_.data() + sent,
                                  received_bytes - static_cast<std::size_t>(sent));
      return AwaitWritable(direction);
    }
    if (received_bytes < relay_buffer_.size()) break;  // the socket had no more data
  }
  AwaitReadable(direction);
}

bool Tunnel::Flush(Direction& direction) {
  std::string& left = direction.state.left;
  const ssize_t sent =
      ::send(direction.to.native_handle(), left.data(), left.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && !WouldBlock()) {
    OnSocketError(direction.to);
    return false;
  }
  if (sent > 0) last_active_ = core::Now();
  left.erase(0, static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
  if (left.empty()) {
    std::string().swap(left);  // frees the memory: an idle tunnel holds no buffer
    return true;
  }
  AwaitWritable(direction);
  return false;
}

void Tunnel::AwaitReadable(Direction& direction) {
  if (std::exchange(direction.waiting, true)) return;
  direction.from.async_wait(Socket::wait_read, [this, self = shared_from_this(), &direction](error_code) {
    direction.waiting = false;
    if (!closed_) Relay(direction);
  });
}

void Tunnel::AwaitWritable(Direction& direction) {
  if (std::exchange(direction.waiting, true)) return;
  direction.to.async_wait(Socket::wait_write, [this, self = shared_from_this(), &direction](error_code) {
    direction.waiting = false;
    if (!closed_) Relay(direction);
  });
}

// Detects the reset of a side that is not being read from, because the other side accepts no data or because
// this side has ended its stream.
void Tunnel::AwaitError(Socket& socket) {
  socket.async_wait(Socket::wait_error, [this, self = shared_from_this(), &socket](error_code ec) {
    if (closed_ || ec) return;
    Direction& direction = &socket == &client_ ? up_ : down_;
    // Relays the data that arrived before the reset.
    if (!direction.state.ended && direction.state.left.empty()) Relay(direction);
    if (closed_) return;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) OnSocketError(socket);
  });
}

void Tunnel::PropagateEndOfStream(Direction& direction) {
  if (!std::exchange(direction.state.shut, true)) {
    error_code ignored;
    direction.to.shutdown(Socket::shutdown_send, ignored);
  }
  if (up_.state.shut && down_.state.shut) Close("ended", false);
}

void Tunnel::OnSocketError(const Socket& failed_socket) {
  const bool host_failed = &failed_socket == &host_;
  const bool failed_at_start =
      host_failed && down_.state.bytes == 0 && core::Now() < info_.since + kStartFailurePeriod;
  Close(host_failed ? "reset by host" : "reset by client", true,
        failed_at_start ? core::TunnelEnd::kFailedAtStart : core::TunnelEnd::kClosed);
}

bool Tunnel::PassToSuccessor(const PassDescriptors& pass_descriptors) {
  if (closed_) return false;
  const auto serialize_direction = [](const DirectionState& state) {
    return json{
        {"left", state.left.size()}, {"bytes", state.bytes}, {"ended", state.ended}, {"shut", state.shut}};
  };
  const json header = {{"client", info_.client},
                       {"user", info_.user},
                       {"to", info_.to},
                       {"route", info_.route},
                       {"pool", info_.pool},
                       {"host", info_.host},
                       {"since", info_.since},
                       {"up", serialize_direction(up_.state)},
                       {"down", serialize_direction(down_.state)}};
  const std::string text =
      header.dump(-1, ' ', false, json::error_handler_t::replace) + "\n" + up_.state.left + down_.state.left;
  if (!pass_descriptors(client_.native_handle(), host_.native_handle(), text)) return false;
  Close("passed on", false, core::TunnelEnd::kHandedOver);
  return true;
}

std::optional<Tunnel::SavedState> Tunnel::Parse(std::string_view text) {
  const std::size_t header_end = text.find('\n');
  if (header_end == std::string_view::npos) return std::nullopt;
  try {
    const json header = json::parse(text.substr(0, header_end));
    std::string_view unparsed = text.substr(header_end + 1);
    const auto parse_direction = [&unparsed](const json& fields) {
      DirectionState state;
      const auto left = fields.at("left").get<std::size_t>();
      if (left > unparsed.size()) throw std::length_error("left");
      state.left = unparsed.substr(0, left);
      unparsed.remove_prefix(left);
      state.bytes = fields.at("bytes").get<std::uint64_t>();
      state.ended = fields.at("ended").get<bool>();
      state.shut = fields.at("shut").get<bool>();
      return state;
    };
    SavedState saved;
    saved.info = {0,
                  header.at("client").get<std::string>(),
                  header.at("user").get<std::string>(),
                  header.at("to").get<std::string>(),
                  header.at("route").get<std::string>(),
                  header.at("pool").get<std::string>(),
                  header.at("host").get<std::string>(),
                  header.at("since").get<Millis>()};
    saved.up = parse_direction(header.at("up"));
    saved.down = parse_direction(header.at("down"));
    return saved;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace meadowyard
