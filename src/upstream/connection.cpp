#include "upstream/connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr double kIdleShare = 1.0 / 3;  // part of the hosts' idle limit after which a connection is closed
constexpr Millis kStreamPause = 10000;  // longest time without any byte, of a body that is passed on
constexpr Millis kNoEnd = std::numeric_limits<Millis>::infinity();

}  // namespace

HostPool::Connection::Connection(HostPool& pool, std::string host, tcp::endpoint address)
    : pool_(pool),
      host_(std::move(host)),
      address_(address),
      socket_(pool.io_),
      timer_(pool.io_),
      writer_(socket_,
              {[this] { return shared_from_this(); }, [this] { Written(); },
               [this] { End(AttemptResult::kConnectFailed); }, [this] { End(AttemptResult::kNotSent); },
               [this] { Arm(core::Now() + kStreamPause); }, [this] { Disarm(); }}),
      reader_(socket_,
              {[this] { return shared_from_this(); },
               [this](AttemptResult result, core::ResponseMessage reply, bool keep_alive) {
                 Release(keep_alive);
                 Finish(result, std::move(reply));
               },
               [this](core::ResponseMessage reply, std::shared_ptr<core::BodySource> rest) {
                 job_->on_response_started(std::move(reply), std::move(rest));
               },
               [this](bool keep_alive) {
                 Release(keep_alive);
                 Finish(AttemptResult::kServed, {});
               },
               [this](bool waiting) { waiting ? Arm(core::Now() + kStreamPause) : Disarm(); },
               [this] { End(AttemptResult::kCancelled); }, [this](AttemptResult result) { End(result); }}) {}

bool HostPool::Connection::Open() {
  error_code ec;
  socket_.open(address_.protocol(), ec);
  if (ec) return false;
  socket_.set_option(tcp::no_delay(true), ec);
  socket_.non_blocking(true, ec);
  ++pool_.connections_;
  open_ = true;
  return !ec;
}

bool HostPool::Connection::Assign(int fd) {
  error_code ec;
  socket_.assign(address_.protocol(), fd, ec);
  if (ec) return false;
  socket_.non_blocking(true, ec);
  ++pool_.connections_;
  open_ = true;
  return !ec && Fresh();
}

bool HostPool::Connection::Pass() { return Fresh() && pool_.pass_(host_, address_, socket_.native_handle()); }

void HostPool::Connection::Dial(Job job) {
  Take(std::move(job));
  Arm(std::min(job_->deadline, core::Now() + pool_.limits_.dial_timeout));
  socket_.async_connect(address_, [this, self = shared_from_this()](error_code ec) {
    if (open_) Dialled(ec);
  });
}

void HostPool::Connection::Run(Job job) {
  Take(std::move(job));
  Arm(job_->deadline);
  Write();
}

void HostPool::Connection::Resume() {
  if (open_ && job_) Dialled({});
}

bool HostPool::Connection::Fresh() {
  char byte = 0;
  return open_ && !reader_.Unasked() &&
         ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HostPool::Connection::End(AttemptResult result) {
  Close();
  writer_.Reset();
  reader_.Reset();
  Finish(result, {});
}

void HostPool::Connection::Close() {
  if (!std::exchange(open_, false)) return;
  --pool_.connections_;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void HostPool::Connection::Idle() {
  if (pool_.pass_ && Pass()) return Close();
  writer_.Reset();
  reader_.Rest();
  rested_at_ = core::Now();
  Arm(rested_at_ + pool_.limits_.idle_timeout * kIdleShare);
  // No peek, though that would save a call to epoll: an edge that a pending peek has used up is lost to the
  // read that follows it, and a reset would go unnoticed.
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this(), turn = ++turn_](error_code) {
    if (!open_ || turn_ != turn) return;
    pool_.Forget(host_, this);
    Close();
  });
  pool_.hosts_[host_].idle.push_back(shared_from_this());
}

void HostPool::Connection::Take(Job job) {
  job_ = std::move(job);
  ++turn_;  // the wait of an idle connection means nothing any more
  pool_.active_[job_->attempt] = shared_from_this();
}

void HostPool::Connection::Finish(AttemptResult result, core::ResponseMessage reply) {
  if (!job_) return;
  const Job job = *std::exchange(job_, std::nullopt);
  pool_.active_.erase(job.attempt);
  job.on_finished(result, std::move(reply));
}

// Most jobs end long before they are due: a timer that waits for less long than the new time is left alone,
// and set again when it fires.
void HostPool::Connection::Arm(Millis until) {
  due_ = until;
  if (waits_ > 0 && waits_ <= until) return;
  waits_ = until;
  timer_.expires_after(core::ToDuration(until - core::Now()));
  timer_.async_wait([this, self = shared_from_this()](error_code ec) {
    if (ec || !open_) return;
    waits_ = 0;
    TimeUp();
  });
}

void HostPool::Connection::Disarm() { due_ = kNoEnd; }

void HostPool::Connection::TimeUp() {
  if (due_ == kNoEnd) return;
  if (core::Now() < due_ - 0.5) return Arm(due_);
  if (!job_) {
    pool_.Forget(host_, this);
    return Close();
  }
  if (reader_.streams()) return End(AttemptResult::kReset);
  End(writer_.WrittenWhole() ? AttemptResult::kTimedOut : AttemptResult::kConnectFailed);
}

void HostPool::Connection::Dialled(error_code ec) {
  if (ec) return End(AttemptResult::kConnectFailed);
  if (!pool_.handlers_.current()) return pool_.dialled_.push_back(shared_from_this());
  // The dial took time: the host may have begun to drain, or may have moved, or the client may have left.
  if (!pool_.MayUse(host_, address_) || !job_->still_wanted()) return End(AttemptResult::kNotSent);
  Arm(job_->deadline);
  Write();
}

void HostPool::Connection::Write() {
  const auto call = std::exchange(job_->message, nullptr);
  writer_.Write(*call, job_->body_source, job_->body_source ? job_->patience : job_->deadline - core::Now());
}

void HostPool::Connection::Written() {
  if (job_->body_source) Arm(job_->deadline = core::Now() + job_->patience);
  job_->body_source.reset();
  job_->on_written();
  reader_.Read();
}

void HostPool::Connection::Release(bool keep_alive) {
  // Whether the host has said more, or has closed, is asked of the socket when it is used again.
  const bool reusable = keep_alive && open_ && !reader_.Unasked() && pool_.MayUse(host_, address_);
  reusable ? Idle() : Close();
}

}  // namespace meadowyard
