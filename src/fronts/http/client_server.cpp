#include "fronts/http/client_server.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <tuple>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "fronts/http/session.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kSweepEvery = 200;
constexpr Millis kTurn = 50;  // of the loop, where it isn't behind
constexpr int kAcceptedInATurn = 16;
constexpr Millis kAcceptAgain = 50;  // after an accept that failed, out of descriptors perhaps

}  // namespace

ClientServer::ClientServer(asio::io_context& io, const Door& door, const ClientLimits& limits,
                           Handlers handlers)
    : io_(io), acceptor_(io), limits_(limits), handlers_(std::move(handlers)), sweep_(io), accept_again_(io) {
  if (door.listener >= 0) {
    acceptor_.assign(door.address.protocol(), door.listener);
    acceptor_.non_blocking(true);
  } else {
    acceptor_.open(door.address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (door.shared) {
      acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    }
    acceptor_.non_blocking(true);
    acceptor_.bind(door.address);
    acceptor_.listen();
  }
  Accept();
  Sweep();
}

ClientServer::~ClientServer() = default;

void ClientServer::Accept() {
  if (accepting_ || !acceptor_.is_open() || pass_ || !handlers_.room()) return;
  accepting_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
    accepting_ = false;
    if (!acceptor_.is_open()) return;
    if (ec == asio::error::operation_aborted) return Accept();  // does nothing while another process serves
    if (std::exchange(queue_empty_, false)) queue_empty_at_ = std::max(queue_empty_at_, LookedAt());
    for (int i = 0; i < kAcceptedInATurn && !ec; ++i) {
      // With all places taken by requests under way, further clients wait in the kernel's queue.
      if (Full() && !Evict()) return;
      tcp::socket socket = acceptor_.accept(ec);
      if (!ec) Accepted(std::move(socket));
    }
    if (ec == asio::error::would_block) queue_empty_ = true, queue_empty_at_ = core::Now();
    if (!ec || queue_empty_) return Accept();
    if (ec == asio::error::no_descriptors) Evict();
    accept_again_.expires_after(core::ToDuration(kAcceptAgain));  // at once would spin
    accept_again_.async_wait([this](error_code wait_ec) {
      if (!wait_ec) Accept();
    });
  });
}

// By then the loop had looked at all sockets: no sooner came what lies in one that it finds now.
Millis ClientServer::LookedAt() const {
  const Millis now = core::Now();
  return now - swept_at_ > kSweepEvery + kTurn ? swept_at_ : now - kTurn;
}

void ClientServer::Accepted(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket), queue_empty_at_);
  sessions_.insert(session);
  session->Begin();
}

void ClientServer::Closed(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
  if (!Full()) Accept();
}

bool ClientServer::Waiting() const { return !accepting_ && acceptor_.is_open() && !pass_ && Full(); }

// Connections that clients keep after a request and don't use again count against what they may open: past
// `eviction_threshold` they shut further clients out, long before places run out here. In a stop the kept
// ones are all that clients have left.
bool ClientServer::Crowded() const {
  return sessions_.size() > limits_.eviction_threshold && handlers_.ready();
}

// Makes room: the least worth keeping goes first, and among its like the one that stood for longest. Where
// there is still room none is closed that has begun a request, or is about to.
bool ClientServer::Evict(bool idle_only) {
  const Millis now = core::Now();
  struct Candidate {
    Standing standing;
    Millis since;
    Session* session;
  };
  std::vector<Candidate> all;
  all.reserve(sessions_.size());
  for (const auto& session : sessions_) {
    const Candidate c{session->standing(now), session->since(), session.get()};
    if (c.standing == Standing::kKept) continue;
    if (idle_only && (c.standing == Standing::kHalfRequest || c.standing == Standing::kNew)) continue;
    all.push_back(c);
  }
  // The socket is asked about those alone that would go: a call to the kernel for each of hundreds, at each
  // connection of a crowd, took more of the core than all else.
  const auto keep = [](const Candidate& a, const Candidate& b) {
    return std::tie(a.standing, a.since) > std::tie(b.standing, b.since);
  };
  std::make_heap(all.begin(), all.end(), keep);
  for (; !all.empty(); all.pop_back()) {
    std::pop_heap(all.begin(), all.end(), keep);
    Session& worst = *all.back().session;
    const bool arrived = !idle_only || all.back().standing != Standing::kBetween || worst.Arrived(now);
    if (!arrived || !worst.MayEvict()) continue;
    worst.Close();
    return true;
  }
  return false;
}

bool ClientServer::Reserve(std::uint64_t bytes, std::size_t& held) {
  if (reserved_ + bytes > limits_.body_bytes) return false;
  held += bytes;
  reserved_ += bytes;
  return true;
}

void ClientServer::Sweep() {
  swept_at_ = core::Now();
  sweep_.expires_after(core::ToDuration(kSweepEvery));  // first: the next one comes whatever this one meets
  sweep_.async_wait([this](error_code ec) {
    if (!ec) Sweep();
  });
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (pass_) session->Yield();
    session->Sweep(core::Now());
  }
  while ((!handlers_.room() || Crowded()) && Evict(/*idle_only=*/true)) {
  }
  Accept();  // it may have been given up for want of memory, or of a place that can be had by now
}

void ClientServer::StopListening() {
  // Whoever stands in the queue has connected, and may have sent a request: to close on it would lose that.
  for (error_code ec; !Full() || Evict();) {
    tcp::socket socket = acceptor_.accept(ec);
    if (ec) break;
    Accepted(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_again_.cancel();
}

void ClientServer::Drain(std::function<void()> done) {
  draining_ = !pass_;
  stopped_ = std::move(done);
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (!pass_ && session->Rested(core::Now())) session->Close();  // the others as they are swept
  }
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
}

void ClientServer::HandOver(Pass pass) {
  pass_ = std::move(pass);
  error_code ignored;
  acceptor_.cancel(ignored);  // one that was accepted by now is still told, and is handed over in its turn
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->Yield();
}

void ClientServer::ResumeServing() {
  pass_ = nullptr;
  Accept();
}

void ClientServer::Adopt(int fd, std::string_view unread) {
  error_code ec;
  tcp::socket socket(io_);
  socket.assign(acceptor_.local_endpoint(ec).protocol(), fd, ec);
  if (ec || unread.size() > kMostReadBuffer) {
    ::close(fd);
    return;
  }
  if (Full()) Evict();
  const auto session = std::make_shared<Session>(*this, std::move(socket), core::Now());
  sessions_.insert(session);
  session->Adopted(unread);
}

void ClientServer::SetSessionLimits(std::size_t sessions, std::size_t eviction_threshold) {
  limits_.sessions = sessions;
  limits_.eviction_threshold = eviction_threshold;
  if (!Full()) Accept();
}

}  // namespace meadowyard
