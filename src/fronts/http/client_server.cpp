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

constexpr Millis kSweepInterval = 200;
constexpr Millis kMaxLoopPassTime = 50;  // a longer pass of the event loop counts as delayed
constexpr int kMaxAcceptsPerEvent = 16;
constexpr Millis kAcceptRetryDelay = 50;  // after a failed accept, for example without free descriptors

}  // namespace

ClientServer::ClientServer(asio::io_context& io, const ListenOptions& listen_options,
                           const ClientLimits& limits, Handlers handlers)
    : io_(io),
      acceptor_(io),
      limits_(limits),
      handlers_(std::move(handlers)),
      sweep_timer_(io),
      accept_retry_timer_(io) {
  if (listen_options.listener >= 0) {
    acceptor_.assign(listen_options.address.protocol(), listen_options.listener);
    acceptor_.non_blocking(true);
  } else {
    acceptor_.open(listen_options.address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (listen_options.reuse_port) {
      acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    }
    acceptor_.non_blocking(true);
    acceptor_.bind(listen_options.address);
    acceptor_.listen();
  }
  Accept();
  Sweep();
}

ClientServer::~ClientServer() = default;

void ClientServer::Accept() {
  if (accepting_ || !acceptor_.is_open() || hand_over_ || !handlers_.has_memory()) return;
  accepting_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
    accepting_ = false;
    if (!acceptor_.is_open()) return;
    if (ec == asio::error::operation_aborted) return Accept();  // has no effect during a handover
    if (std::exchange(queue_empty_, false)) queue_empty_at_ = std::max(queue_empty_at_, LastSocketCheck());
    for (int i = 0; i < kMaxAcceptsPerEvent && !ec; ++i) {
      // If all sessions have requests in progress, further clients wait in the kernel's accept queue.
      if (IsFull() && !Evict()) return;
      tcp::socket socket = acceptor_.accept(ec);
      if (!ec) AddSession(std::move(socket));
    }
    if (ec == asio::error::would_block) queue_empty_ = true, queue_empty_at_ = core::Now();
    if (!ec || queue_empty_) return Accept();
    if (ec == asio::error::no_descriptors) Evict();
    accept_retry_timer_.expires_after(core::ToDuration(kAcceptRetryDelay));  // an immediate retry would spin
    accept_retry_timer_.async_wait([this](error_code wait_ec) {
      if (!wait_ec) Accept();
    });
  });
}

// A time at which the event loop had checked all sockets for data: data found now arrived after it.
Millis ClientServer::LastSocketCheck() const {
  const Millis now = core::Now();
  return now - last_sweep_at_ > kSweepInterval + kMaxLoopPassTime ? last_sweep_at_ : now - kMaxLoopPassTime;
}

void ClientServer::AddSession(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket), queue_empty_at_);
  sessions_.insert(session);
  session->Begin();
}

void ClientServer::RemoveSession(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (on_drained_ && sessions_.empty()) asio::post(io_, std::exchange(on_drained_, nullptr));
  if (on_streams_delivered_ && CountStreamedAnswers() == 0)
    asio::post(io_, std::exchange(on_streams_delivered_, nullptr));
  if (!IsFull()) Accept();
}

std::size_t ClientServer::CountStreamedAnswers() const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return session->has_streamed_answer();
  }));
}

void ClientServer::AwaitStreamedAnswers(std::function<void()> on_delivered) {
  if (CountStreamedAnswers() == 0) return asio::post(io_, std::move(on_delivered));
  on_streams_delivered_ = std::move(on_delivered);
}

bool ClientServer::HasQueuedClients() const {
  return !accepting_ && acceptor_.is_open() && !hand_over_ && IsFull();
}

// Idle persistent connections count against the number of connections that clients may open: above
// `eviction_threshold` they prevent further clients from connecting, long before the session limit of this
// server is reached. No connection is closed for this reason while the gateway is not ready: during a
// shutdown, the open connections are the last ones that clients can use.
bool ClientServer::IsAboveEvictionThreshold() const {
  return sessions_.size() > limits_.eviction_threshold && handlers_.is_ready();
}

// Closes one connection: the first by EvictionRank, and among equals the one that has been in its state for
// longest. `idle_only`, for when the session limit is not reached, spares connections that have started to
// send a request or are new and about to.
bool ClientServer::Evict(bool idle_only) {
  const Millis now = core::Now();
  struct Candidate {
    EvictionRank eviction_rank;
    Millis phase_started_at;
    Session* session;
  };
  std::vector<Candidate> all;
  all.reserve(sessions_.size());
  for (const auto& session : sessions_) {
    const Candidate candidate{session->eviction_rank(now), session->phase_started_at(), session.get()};
    if (candidate.eviction_rank == EvictionRank::kNotEvictable) continue;
    if (idle_only && (candidate.eviction_rank == EvictionRank::kPartialRequest ||
                      candidate.eviction_rank == EvictionRank::kNewConnection))
      continue;
    all.push_back(candidate);
  }
  // Checks the socket only of the connections that come first in this order. A system call for each of
  // hundreds of sessions, repeated for each new connection of a burst, used more CPU time than everything
  // else.
  const auto is_evicted_later = [](const Candidate& a, const Candidate& b) {
    return std::tie(a.eviction_rank, a.phase_started_at) > std::tie(b.eviction_rank, b.phase_started_at);
  };
  std::make_heap(all.begin(), all.end(), is_evicted_later);
  for (; !all.empty(); all.pop_back()) {
    std::pop_heap(all.begin(), all.end(), is_evicted_later);
    Session& candidate_session = *all.back().session;
    const bool answer_delivered = !idle_only || all.back().eviction_rank != EvictionRank::kIdlePersistent ||
                                  candidate_session.IsAnswerDelivered(now);
    if (!answer_delivered || !candidate_session.IsSafeToEvict()) continue;
    candidate_session.Close(ConnectionEndReason::kEvicted);
    return true;
  }
  return false;
}

bool ClientServer::Reserve(std::uint64_t bytes, std::size_t& session_reserved_bytes) {
  if (reserved_body_bytes_ + bytes > limits_.body_bytes) return false;
  session_reserved_bytes += bytes;
  reserved_body_bytes_ += bytes;
  return true;
}

void ClientServer::Sweep() {
  last_sweep_at_ = core::Now();
  // Starts the timer first, so that the next sweep follows even if this one throws an exception.
  sweep_timer_.expires_after(core::ToDuration(kSweepInterval));
  sweep_timer_.async_wait([this](error_code ec) {
    if (!ec) Sweep();
  });
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (hand_over_) session->RequestHandover();
    session->Sweep(core::Now());
  }
  while ((!handlers_.has_memory() || IsAboveEvictionThreshold()) && Evict(/*idle_only=*/true)) {
  }
  Accept();  // may have stopped for lack of memory or of a session that could be evicted
}

void ClientServer::StopListening() {
  // Clients in the accept queue are connected and may have sent requests, which closing the listener would
  // lose.
  for (error_code ec; !IsFull() || Evict();) {
    tcp::socket socket = acceptor_.accept(ec);
    if (ec) break;
    AddSession(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
}

void ClientServer::LeaveListener() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
}

void ClientServer::Drain(std::function<void()> on_drained) {
  draining_ = !hand_over_;
  on_drained_ = std::move(on_drained);
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (!hand_over_ && session->CanCloseIdle(core::Now()))
      session->Close(ConnectionEndReason::kShutdown);  // the others are closed in Sweep()
  }
  if (on_drained_ && sessions_.empty()) asio::post(io_, std::exchange(on_drained_, nullptr));
}

void ClientServer::HandOver(HandOverFunction hand_over) {
  hand_over_ = std::move(hand_over);
  error_code ignored;
  acceptor_.cancel(
      ignored);  // a connection that is already accepted is still processed, and handed over later
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->RequestHandover();
}

void ClientServer::ResumeServing() {
  hand_over_ = nullptr;
  Accept();
}

void ClientServer::EndHandOver() {
  error_code ignored;
  acceptor_.close(ignored);
  hand_over_ = nullptr;
  Drain(std::exchange(on_drained_, nullptr));
}

void ClientServer::Adopt(int fd, std::string_view unread) {
  error_code ec;
  tcp::socket socket(io_);
  socket.assign(acceptor_.local_endpoint(ec).protocol(), fd, ec);
  if (ec || unread.size() > kMaxReadBufferBytes) {
    ::close(fd);
    return;
  }
  if (IsFull()) Evict();
  const auto session = std::make_shared<Session>(*this, std::move(socket), core::Now());
  sessions_.insert(session);
  session->StartAdopted(unread);
}

void ClientServer::SetSessionLimits(std::size_t sessions, std::size_t eviction_threshold) {
  limits_.sessions = sessions;
  limits_.eviction_threshold = eviction_threshold;
  if (!IsFull()) Accept();
}

}  // namespace meadowyard
