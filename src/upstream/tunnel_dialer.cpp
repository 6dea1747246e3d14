#include "upstream/tunnel_dialer.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMostUnread = 16 * 1024;  // of a parent's handshake and what the host says behind it

}  // namespace

// One attempt, until it ends or its way is open.
class TunnelDialer::Dial : public std::enable_shared_from_this<Dial> {
 public:
  Dial(TunnelDialer& owner, std::uint64_t number, std::string host, tcp::endpoint target,
       core::AttemptRequest errand)
      : owner_(&owner),
        number_(number),
        host_(std::move(host)),
        target_(target),
        errand_(std::move(errand)),
        socket_(owner.io_),
        timer_(owner.io_) {}

  void Start() {
    const auto& parent = owner_->parent_;
    const tcp::endpoint to = parent ? parent->address : target_;
    error_code ec;
    socket_.open(to.protocol(), ec);
    if (ec) return End(AttemptResult::kNotSent);
    Arm(owner_->times_.dial);
    socket_.async_connect(
        to, [self = shared_from_this()](error_code connect_ec) { self->Connected(connect_ec); });
  }

  // Called without effect once it has ended.
  void End(AttemptResult result) {
    if (std::exchange(ended_, true)) return;
    const auto self = shared_from_this();
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    Forget();
    errand_.on_finished(result, {});
  }

  void Abandon() {
    ended_ = true;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  // Whatever it waits for, the host has had nothing of the client's: it never ran.
  void Arm(Millis wait) {
    const Millis left = std::min(wait, errand_.deadline - core::Now());
    timer_.expires_after(core::ToDuration(left));
    // One that was due already when it was set anew is told all the same.
    timer_.async_wait([self = shared_from_this(), turn = ++waits_](error_code ec) {
      if (!ec && self->waits_ == turn) self->End(AttemptResult::kConnectFailed);
    });
  }

  void Forget() { owner_->dials_.erase(number_); }

  void Connected(error_code ec) {
    if (ended_) return;
    if (ec) return End(AttemptResult::kConnectFailed);
    socket_.set_option(tcp::no_delay(true), ec);
    if (!owner_->may_use_(host_)) return End(AttemptResult::kNotSent);
    if (!owner_->parent_) return Open();
    handshake_.emplace(*owner_->parent_, target_);
    Arm(owner_->times_.parent);
    Converse();
  }

  void Converse() {
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
      if (ec || self->input_.size() + n > kMostUnread) return self->End(AttemptResult::kConnectFailed);
      self->input_.append(self->piece_.data(), n);
      self->Heard();
    });
  }

  // A parent may answer two steps in one piece.
  void Heard() {
    for (std::size_t before = 0; before != input_.size();) {
      before = input_.size();
      if (const auto result = handshake_->Feed(input_))
        return *result == AttemptResult::kServed ? Open() : End(*result);
    }
    Converse();
  }

  void Open() {
    if (!owner_->may_use_(host_)) return End(AttemptResult::kNotSent);  // it took time: there may be news
    const auto self = shared_from_this();
    ended_ = true;
    timer_.cancel();
    Forget();
    auto opened = std::make_unique<core::TunnelEndpoint>(
        core::TunnelEndpoint{host_, std::move(socket_), std::move(input_)});
    errand_.on_tunnel_opened(std::move(opened));
  }

  TunnelDialer* owner_;
  const std::uint64_t number_;
  const std::string host_;
  const tcp::endpoint target_;
  core::AttemptRequest errand_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint64_t waits_ = 0;  // which wait of the timer is the one that counts
  std::optional<ParentHandshake> handshake_;
  std::string output_, input_;
  std::array<char, 2048> piece_;
  bool ended_ = false;
};

TunnelDialer::TunnelDialer(asio::io_context& io, Times times, std::function<bool(const std::string&)> may_use)
    : io_(io), times_(times), may_use_(std::move(may_use)) {}

TunnelDialer::~TunnelDialer() {
  for (const auto& [number, dial] : std::exchange(dials_, {})) dial->Abandon();
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

std::uint64_t TunnelDialer::Start(const std::string& host, core::AttemptRequest errand) {
  const std::uint64_t number = next_++;
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || !may_use_(host) || core::Now() >= errand.deadline) {
    errand.on_finished(AttemptResult::kNotSent, {});
    return number;
  }
  const auto dial = std::make_shared<Dial>(*this, number, host, found->second, std::move(errand));
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
