#include "upstream/connection.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

#include "core/clock.hpp"
#include "upstream/local_failure.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// An idle connection is closed after this part of the hosts' idle timeout, before the host closes it.
constexpr double kIdleTimeoutFraction = 1.0 / 3;
// Longest time in which a host takes no byte of an upload: a client that has stopped as well is owed an error
// or a close within 3 s.
constexpr Millis kMaxUploadStall = 2000;
constexpr Millis kUploadProgressInterval = 250;  // between checks of what a host has taken
constexpr Millis kMaxResponseStall = 2000;       // longest time without any byte of a streamed response
// How long the body of an error is waited for, so that its connection can be kept.
constexpr Millis kMaxErrorBodyWait = 100;
// How long a response that has begun is held for a retry if its host fails: shorter than kMaxResponseStall.
constexpr Millis kMaxResponseHold = 1500;
constexpr Millis kDialRetryInterval = 10;  // after a failure of this machine
constexpr Millis kTimerRounding = 0.5;     // timers are rounded and may fire this long before their deadline
constexpr Millis kNoDeadline = std::numeric_limits<Millis>::infinity();

}  // namespace

HostPool::Connection::Connection(HostPool& pool, std::string host, tcp::endpoint address)
    : pool_(pool),
      host_(std::move(host)),
      address_(address),
      socket_(pool.io_),
      timer_(pool.io_),
      writer_(socket_, {[this] { return shared_from_this(); }, [this] { OnRequestWritten(); },
                        [this] { End(AttemptResult::kConnectFailed, core::AttemptEndReason::kWriteFailed); },
                        [this] { End(AttemptResult::kNotSent, core::AttemptEndReason::kClientBodyBroken); },
                        [this] { OnUploadStalled(); }, [this] { DisarmTimer(); }}),
      reader_(socket_, pool.limits_.max_body_wait,
              {[this] { return shared_from_this(); },
               [this](AttemptResult result, core::ResponseMessage response, bool keep_alive) {
                 OnResponse(result, std::move(response), keep_alive);
               },
               [this](bool served) { OnResponseBegun(served); },
               [this](core::ResponseMessage response, std::shared_ptr<core::BodySource> remainder) {
                 job_->response_begun = true;
                 // Moved out first: the call may end the job and so destroy its callbacks.
                 const auto on_response_started = std::move(job_->on_response_started);
                 on_response_started(std::move(response), std::move(remainder));
               },
               [this](bool keep_alive) {
                 Release(keep_alive);
                 FinishJob(AttemptResult::kServed, core::AttemptEndReason::kResponseComplete, {});
               },
               [this](bool waiting) {
                 waiting ? ArmTimer(reader_.waiting_since() + kMaxResponseStall) : DisarmTimer();
               },
               [this] { End(AttemptResult::kCancelled, core::AttemptEndReason::kCancelled); },
               [this](AttemptResult result, core::AttemptEndReason reason) { End(result, reason); }}) {}

bool HostPool::Connection::Open() {
  error_code ec;
  socket_.open(address_.protocol(), ec);
  if (ec) return false;
  ++pool_.connections_;
  open_ = true;
  socket_.set_option(tcp::no_delay(true), ec);
  socket_.non_blocking(true, ec);
  if (ec) Close();
  return !ec;
}

bool HostPool::Connection::Assign(int fd) {
  error_code ec;
  socket_.assign(address_.protocol(), fd, ec);
  if (ec) return false;
  socket_.non_blocking(true, ec);
  ++pool_.connections_;
  open_ = true;
  return !ec && IsReusable();
}

bool HostPool::Connection::Pass() {
  return IsReusable() && pool_.pass_(host_, address_, socket_.native_handle());
}

void HostPool::Connection::Dial(Job job) {
  StartJob(std::move(job));
  dial_ends_at_ = std::min(job_->deadline, core::Now() + pool_.limits_.dial_timeout);
  TryDial();
}

void HostPool::Connection::TryDial() {
  // Other processes on the machine, or client connections, may have used up the file descriptors that the
  // connection limit was computed from.
  if (!Open() && !(pool_.EvictIdle() && Open())) return RetryDial();
  ArmTimer(dial_ends_at_);
  socket_.async_connect(address_, [this, self = shared_from_this()](error_code ec) {
    if (open_) OnDialed(ec);
  });
}

void HostPool::Connection::OnDialed(error_code ec) { IsLocalFailure(ec) ? RetryDial() : OnConnected(ec); }

void HostPool::Connection::RetryDial() {
  Close();
  timer_expiry_ = 0;
  if (core::Now() + kDialRetryInterval >= dial_ends_at_)
    return End(AttemptResult::kNotSent, core::AttemptEndReason::kLocalError);
  timer_.expires_after(core::ToDuration(kDialRetryInterval));
  timer_.async_wait([this, self = shared_from_this()](error_code ec) {
    if (ec || !job_) return;
    if (!pool_.MayUse(host_, address_))
      return End(AttemptResult::kNotSent, core::AttemptEndReason::kEndpointUnavailable);
    job_->still_wanted() ? TryDial() : End(AttemptResult::kNotSent, core::AttemptEndReason::kNotWanted);
  });
}

void HostPool::Connection::Run(Job job) {
  StartJob(std::move(job));
  ArmTimer(job_->deadline);
  Write();
}

void HostPool::Connection::Resume() {
  if (open_ && job_) OnConnected({});
}

bool HostPool::Connection::IsReusable() {
  char byte = 0;
  return open_ && !reader_.HasUnrequestedBytes() &&
         ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HostPool::Connection::End(AttemptResult result, core::AttemptEndReason reason) {
  Close();
  writer_.Reset();
  reader_.Reset();
  FinishJob(result, reason, {});
}

void HostPool::Connection::OnResponse(AttemptResult result, core::ResponseMessage response, bool keep_alive) {
  const auto reason = result == AttemptResult::kServed     ? core::AttemptEndReason::kResponseComplete
                      : result == AttemptResult::kRejected ? core::AttemptEndReason::kDeclined
                                                           : core::AttemptEndReason::kErrorStatus;
  Release(keep_alive);
  FinishJob(result, reason, std::move(response));
}

void HostPool::Connection::Close() {
  if (!std::exchange(open_, false)) return;
  --pool_.connections_;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void HostPool::Connection::EnterIdle() {
  if (pool_.pass_ && Pass()) return Close();
  writer_.Reset();
  reader_.ReleaseBuffers();
  idle_since_ = core::Now();
  ArmTimer(idle_since_ + pool_.limits_.idle_timeout * kIdleTimeoutFraction);
  // A wait and not a pending MSG_PEEK, which would save an epoll call: the peek would consume the
  // edge-triggered event, so the next read would not be woken and a reset would go unnoticed.
  socket_.async_wait(tcp::socket::wait_read,
                     [this, self = shared_from_this(), generation = ++idle_wait_generation_](error_code) {
                       if (!open_ || idle_wait_generation_ != generation) return;
                       pool_.RemoveIdle(host_, this);
                       Close();
                     });
  pool_.hosts_[host_].idle.push_back(shared_from_this());
}

void HostPool::Connection::StartJob(Job job) {
  job_ = std::move(job);
  stall_ends_at_ = 0;
  hold_ends_at_ = 0;
  ++idle_wait_generation_;  // invalidates the pending wait of the idle state
  pool_.active_[job_->attempt] = shared_from_this();
}

void HostPool::Connection::FinishJob(AttemptResult result, core::AttemptEndReason reason,
                                     core::ResponseMessage response) {
  if (!job_) return;
  const Job job = *std::exchange(job_, std::nullopt);
  pool_.active_.erase(job.attempt);
  pool_.handlers_.on_attempt_ended(
      {job.request_id, host_, result, reason, core::Now() - job.started_at, job.response_begun});
  job.on_finished(result, std::move(response));
}

// Most jobs end long before their deadline, so a pending timer that expires before the new deadline is kept
// and rearmed when it expires.
void HostPool::Connection::ArmTimer(Millis deadline_time) {
  deadline_ = deadline_time;
  if (timer_expiry_ > 0 && timer_expiry_ <= deadline_time) return;
  timer_expiry_ = deadline_time;
  timer_.expires_after(core::ToDuration(deadline_time - core::Now()));
  timer_.async_wait([this, self = shared_from_this()](error_code ec) {
    if (ec || !open_) return;
    timer_expiry_ = 0;
    OnTimeout();
  });
}

void HostPool::Connection::DisarmTimer() {
  deadline_ = kNoDeadline;
  stall_ends_at_ = 0;
}

void HostPool::Connection::OnUploadStalled() {
  stall_ends_at_ = core::Now() + kMaxUploadStall;
  unacknowledged_bytes_ = UnacknowledgedBytes();
  ArmTimer(std::min(core::Now() + kUploadProgressInterval, UploadDeadline()));
}

int HostPool::Connection::UnacknowledgedBytes() {
  int bytes = 0;
  ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes);
  return bytes;
}

// The socket becomes writable only once much of its buffer is free, which a slow host may need long for. What
// the host has acknowledged shows its progress earlier.
bool HostPool::Connection::IsUploadAlive() {
  const Millis now = core::Now();
  if (const int bytes = UnacknowledgedBytes(); bytes < unacknowledged_bytes_) {
    unacknowledged_bytes_ = bytes;
    stall_ends_at_ = now + kMaxUploadStall;
  }
  const Millis ends_at = std::min(stall_ends_at_, UploadDeadline());
  if (now >= ends_at - kTimerRounding) return false;
  ArmTimer(std::min(now + kUploadProgressInterval, ends_at));
  return true;
}

Millis HostPool::Connection::UploadDeadline() const {
  return job_->body_source->EarliestCompleteAt() + job_->upload_timeout;
}

// Until the end of the hold a successful response is buffered, so that the request can be retried if its host
// fails.
void HostPool::Connection::OnResponseBegun(bool served) {
  const Millis now = core::Now();
  if (served) hold_ends_at_ = std::min(job_->stream_at, now + kMaxResponseHold);
  ArmTimer(std::min(served ? hold_ends_at_ : now + kMaxErrorBodyWait, job_->deadline));
}

bool HostPool::Connection::StreamBegunResponse() {
  return hold_ends_at_ > 0 && !reader_.is_streaming() && reader_.StartStreaming();
}

void HostPool::Connection::OnTimeout() {
  if (deadline_ == kNoDeadline) return;
  if (core::Now() < deadline_ - kTimerRounding) return ArmTimer(deadline_);
  if (stall_ends_at_ > 0 && IsUploadAlive()) return;
  if (!job_) {
    pool_.RemoveIdle(host_, this);
    return Close();
  }
  if (hold_ends_at_ > 0 && !reader_.is_streaming()) {
    if (StreamBegunResponse()) return;
    if (core::Now() < job_->deadline - kTimerRounding) return ArmTimer(job_->deadline);
  }
  if (reader_.FinishWithErrorStatus()) return;
  if (reader_.is_streaming()) return End(AttemptResult::kReset, core::AttemptEndReason::kResponseStalled);
  if (writer_.IsFullyWritten())
    return End(AttemptResult::kTimedOut, core::AttemptEndReason::kResponseTimeout);
  const bool uploading = job_->message == nullptr;
  End(AttemptResult::kConnectFailed,
      uploading ? core::AttemptEndReason::kUploadTimeout : core::AttemptEndReason::kConnectTimeout);
}

void HostPool::Connection::OnConnected(error_code ec) {
  if (ec) return End(AttemptResult::kConnectFailed, core::AttemptEndReason::kConnectFailed);
  if (!pool_.handlers_.is_list_current())
    return pool_.connections_awaiting_list_.push_back(shared_from_this());
  // During the connect the host may have started to drain or changed its address, or the client may have
  // disconnected.
  if (!pool_.MayUse(host_, address_))
    return End(AttemptResult::kNotSent, core::AttemptEndReason::kEndpointUnavailable);
  if (!job_->still_wanted()) return End(AttemptResult::kNotSent, core::AttemptEndReason::kNotWanted);
  ArmTimer(job_->deadline);
  Write();
}

void HostPool::Connection::Write() {
  const auto request = std::exchange(job_->message, nullptr);
  const Millis timeout = job_->body_source ? std::min(job_->response_timeout, UploadDeadline() - core::Now())
                                           : job_->deadline - core::Now();
  writer_.Write(*request, job_->body_source, timeout);
}

void HostPool::Connection::OnRequestWritten() {
  stall_ends_at_ = 0;
  if (job_->body_source) {
    job_->deadline = std::min(core::Now() + job_->response_timeout, UploadDeadline());
    job_->stream_at = core::Now() + job_->stream_after;
    ArmTimer(job_->deadline);
  }
  job_->body_source.reset();
  job_->on_written();
  reader_.Read();
}

void HostPool::Connection::Release(bool keep_alive) {
  hold_ends_at_ = 0;
  // Whether the host has sent more bytes or closed is checked on the socket before the next use.
  const bool reusable =
      keep_alive && open_ && !reader_.HasUnrequestedBytes() && pool_.MayUse(host_, address_);
  reusable ? EnterIdle() : Close();
}

}  // namespace meadowyard
