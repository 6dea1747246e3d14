#include "upstream/tunnel_dialer.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "core/clock.hpp"
#include "upstream/local_failure.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxBufferedInputBytes =
    16 * 1024;  // handshake of the parent and the host's first bytes after it

}  // namespace

// One attempt, until it fails or the tunnel is open.
class TunnelDialer::Dial : public std::enable_shared_from_this<Dial> {
 public:
  Dial(TunnelDialer& owner, std::uint64_t number, std::string host, tcp::endpoint target,
       core::AttemptRequest request)
      : owner_(&owner),
        number_(number),
        host_(std::move(host)),
        target_(target),
        request_(std::move(request)),
        socket_(owner.io_),
        timer_(owner.io_) {}

  void Start() {
    const auto& parent = owner_->parent_;
    const tcp::endpoint first_hop = parent ? parent->address : target_;
    error_code ec;
    socket_.open(first_hop.protocol(), ec);
    if (ec) return End(AttemptResult::kNotSent);
    ArmTimer(owner_->times_.dial);
    socket_.async_connect(
        first_hop, [self = shared_from_this()](error_code connect_ec) { self->OnConnected(connect_ec); });
  }

  // Has no effect once the attempt has ended.
  void End(AttemptResult result) {
    if (std::exchange(ended_, true)) return;
    const auto self = shared_from_this();
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    RemoveFromDialer();
    request_.on_finished(result, {});
  }

  void CloseWithoutCallback() {
    ended_ = true;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  // A timeout at any step is a failed connect: the host has received nothing from the client yet.
  void ArmTimer(Millis timeout) {
    const Millis remaining = std::min(timeout, request_.deadline - core::Now());
    timer_.expires_after(core::ToDuration(remaining));
    // A wait that had already expired when the timer was set again still completes without an error, so the
    // generation is checked.
    timer_.async_wait([self = shared_from_this(), generation = ++timer_generation_](error_code ec) {
      if (!ec && self->timer_generation_ == generation) self->End(AttemptResult::kConnectFailed);
    });
  }

  void RemoveFromDialer() { owner_->dials_.erase(number_); }

  void OnConnected(error_code ec) {
    if (ended_) return;
    if (ec) return End(IsLocalFailure(ec) ? AttemptResult::kNotSent : AttemptResult::kConnectFailed);
    socket_.set_option(tcp::no_delay(true), ec);
    if (!owner_->may_use_(host_)) return End(AttemptResult::kNotSent);
    if (!owner_->parent_) return Open();
    handshake_.emplace(*owner_->parent_, target_);
    ArmTimer(owner_->times_.parent);
    ContinueHandshake();
  }

  void ContinueHandshake() {
    output_ = handshake_->TakeOutput();
    if (output_.empty()) return Read();
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (self->ended_) return;
                        ec ? self->End(AttemptResult::kConnectFailed) : self->Read();
                      });
  }

  void Read() {
    socket_.async_read_some(asio::buffer(piece_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (self->ended_) return;
      if (ec || self->input_.size() + n > kMaxBufferedInputBytes)
        return self->End(AttemptResult::kConnectFailed);
      self->input_.append(self->piece_.data(), n);
      self->OnBytesRead();
    });
  }

  // The parent may send its responses to two steps in one segment.
  void OnBytesRead() {
    for (std::size_t size_before = 0; size_before != input_.size();) {
      size_before = input_.size();
      if (const auto result = handshake_->Feed(input_))
        return *result == AttemptResult::kServed ? Open() : End(*result);
    }
    ContinueHandshake();
  }

  void Open() {
    // The host list may have changed during the handshake.
    if (!owner_->may_use_(host_)) return End(AttemptResult::kNotSent);
    const auto self = shared_from_this();
    ended_ = true;
    timer_.cancel();
    RemoveFromDialer();
    auto opened = std::make_unique<core::TunnelEndpoint>(
        core::TunnelEndpoint{host_, std::move(socket_), std::move(input_)});
    request_.on_tunnel_opened(std::move(opened));
  }

  TunnelDialer* owner_;
  const std::uint64_t number_;
  const std::string host_;
  const tcp::endpoint target_;
  core::AttemptRequest request_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;  // earlier waits of the timer are ignored
  std::optional<ParentHandshake> handshake_;
  std::string output_, input_;
  std::array<char, 2048> piece_;
  bool ended_ = false;
};

TunnelDialer::TunnelDialer(asio::io_context& io, Times times, std::function<bool(const std::string&)> may_use)
    : io_(io), times_(times), may_use_(std::move(may_use)) {}

TunnelDialer::~TunnelDialer() {
  for (const auto& [number, dial] : std::exchange(dials_, {})) dial->CloseWithoutCallback();
}

void TunnelDialer::Update(const discovery::EndpointList& list) {
  if (list.is_snapshot) hosts_.clear();
  for (const discovery::EndpointRecord& host : list.endpoints) {
    if (host.endpoint.state == EndpointState::kUp) {
      hosts_[host.endpoint.id] = host.address;
    } else {
      hosts_.erase(host.endpoint.id);
    }
  }
}

std::uint64_t TunnelDialer::Start(const std::string& host, core::AttemptRequest request) {
  const std::uint64_t number = next_attempt_++;
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || !may_use_(host) || core::Now() >= request.deadline) {
    request.on_finished(AttemptResult::kNotSent, {});
    return number;
  }
  const auto dial = std::make_shared<Dial>(*this, number, host, found->second, std::move(request));
  dials_[number] = dial;
  dial->Start();
  return number;
}

void TunnelDialer::End(std::uint64_t attempt, AttemptResult result) {
  const auto found = dials_.find(attempt);
  if (found == dials_.end()) return;
  const auto dial = found->second;
  dial->End(result);
}

}  // namespace meadowyard
