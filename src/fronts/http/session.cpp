#include "fronts/http/session.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace meadowyard {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxLingeringBytes = 256 * 1024;  // discarded in a lingering close
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ClientServer::Session::Session(ClientServer& server, tcp::socket socket, Millis first_request_sent_after)
    : server_(server),
      socket_(std::move(socket)),
      reader_(socket_),
      writer_(
          socket_, [this] { return shared_from_this(); },
          [this](AnswerWriter::End end) { OnAnswerWritten(end); }),
      first_request_sent_after_(first_request_sent_after),
      leave_watch_(server.io_, socket_, reader_,
                   {[this] { return shared_from_this(); },
                    [this] {
                      if (next_request_seen_at_ == 0) next_request_seen_at_ = core::Now();
                    },
                    [this] { OnClientDisconnected(); }}) {}

void ClientServer::Session::Begin() {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  ReadHead();
}

void ClientServer::Session::StartAdopted(std::string_view unread) {
  answers_sent_ = 1;
  reader_.Feed(unread);
  Begin();
}

void ClientServer::Session::RequestHandover() {
  Error ignored;
  if (phase_ == Phase::kReadingRequest && !is_reading_body_) socket_.cancel(ignored);
}

bool ClientServer::Session::IsIdle() {
  Error ec;
  return phase_ == Phase::kReadingRequest && !reader_.HasStarted() && socket_.available(ec) == 0;
}

bool ClientServer::Session::IsAnswerDelivered(Millis now) const {
  return answers_sent_ == 0 || now - phase_started_at_ >= server_.limits_.answer_delivery_time;
}

ClientServer::EvictionRank ClientServer::Session::eviction_rank(Millis now) const {
  if (phase_ == Phase::kLingering) return EvictionRank::kLingeringClose;
  // A received request or head is about to be processed: its handler has not run yet.
  const bool received = is_reading_body_ ? reader_.done() : reader_.head_done();
  if (phase_ != Phase::kReadingRequest || received || (reader_.HasStarted() && answers_sent_ > 0))
    return EvictionRank::kNotEvictable;
  if (answers_sent_ > 0) return EvictionRank::kIdlePersistent;
  if (now - phase_started_at_ < server_.limits_.first_request_grace) return EvictionRank::kNewConnection;
  return reader_.HasStarted() ? EvictionRank::kPartialRequest : EvictionRank::kNothingReceived;
}

bool ClientServer::Session::IsSafeToEvict() {
  Error ec;
  return phase_ == Phase::kLingering || (phase_ == Phase::kReadingRequest && socket_.available(ec) == 0);
}

void ClientServer::Session::Close(ConnectionEndReason reason) {
  const Phase phase = std::exchange(phase_, Phase::kClosed);
  if (phase == Phase::kClosed) return;
  SettleAnswer(/*was_read=*/phase != Phase::kWritingAnswer && !is_broken_ &&
               !IsBroken(socket_.native_handle()));
  server_.handlers_.on_connection_closed({reason, id_, core::Now() - phase_started_at_});
  Error ignored;
  socket_.close(ignored);
  leave_watch_.End();
  ReleaseReservedBody();
  const auto self = shared_from_this();
  server_.RemoveSession(self);
  DetachUpload();
  writer_.Stop();
}

void ClientServer::Session::Sweep(Millis now) {
  const ClientLimits& limits = server_.limits_;
  if (phase_ == Phase::kReadingRequest) {
    if (reader_.HasStarted() && request_started_at_ == 0)
      request_started_at_ = answers_sent_ == 0 ? phase_started_at_ : now;
    const bool timed_out =
        is_reading_body_ ? now - body_progress_at_ > limits.body_idle_timeout ||
                               now - body_started_at_ > limits.buffered_body_timeout
                         : request_started_at_ > 0 && now - request_started_at_ > limits.request_head_timeout;
    if (timed_out) return SendPage(ErrorPage(408, "the request is not whole"));
    const Millis timeout = server_.draining_    ? 0
                           : answers_sent_ == 0 ? limits.first_request_timeout
                                                : limits.idle;
    if (now - phase_started_at_ > timeout && CanCloseIdle(now))
      Close(server_.draining_ ? ConnectionEndReason::kShutdown : ConnectionEndReason::kIdle);
  } else if (phase_ == Phase::kAwaitingAnswer && upload_ && upload_->is_waiting() &&
             now - body_progress_at_ > limits.body_idle_timeout) {
    RejectIncompleteRequest(ErrorPage(408, "the request is not whole"));
  } else if (phase_ == Phase::kWritingAnswer && writer_.is_streaming()) {
    if (writer_.writing() && now - writer_.last_progress_at() > limits.stream_idle_timeout)
      Close(ConnectionEndReason::kClientStalled);
  } else if ((phase_ == Phase::kWritingAnswer && now - phase_started_at_ > limits.answer_write_timeout) ||
             (phase_ == Phase::kLingering && now - phase_started_at_ > limits.lingering_close_timeout)) {
    Close(phase_ == Phase::kLingering ? ConnectionEndReason::kAnswered : ConnectionEndReason::kClientStalled);
  }
}

void ClientServer::Session::EnterPhase(Phase phase) {
  phase_ = phase;
  leave_watch_.End();
  is_reading_body_ = false;
  phase_started_at_ = body_progress_at_ = core::Now();
  request_started_at_ = 0;
}

// The earliest time at which the client may have sent the request that was just read. It may have waited in
// the kernel's accept queue for a free session, or in the socket while the event loop was delayed.
Millis ClientServer::Session::EarliestSentAt() const {
  const Millis last_check = server_.LastSocketCheck();
  return last_check > phase_started_at_ ? last_check
         : answers_sent_ == 0           ? first_request_sent_after_
                                        : phase_started_at_;
}

void ClientServer::Session::ReadHead() {
  const auto on_head_read = [this](Error ec) {
    if (phase_ == Phase::kReadingRequest) OnHeadRead(ec);
  };
  reader_.ReadHead(shared_from_this(), on_head_read, /*try_immediately=*/answers_sent_ == 0);
}

bool ClientServer::Session::TryHandOver() {
  if (!server_.hand_over_ || !server_.hand_over_(socket_.native_handle(), reader_.unread())) return false;
  Close(ConnectionEndReason::kHandedOver);
  return true;
}

void ClientServer::Session::OnHeadRead(Error ec) {
  if (ec == asio::error::operation_aborted) {
    // A partially parsed head can't be handed over: its request is served here.
    if (reader_.got_some() || !TryHandOver()) ReadHead();
    return;
  }
  if (ec) return OnReadError(ec);
  if (FramingOf(reader_.head()) == Framing::kAmbiguous) {
    return SendPage(ErrorPage(400, "where the body ends is not clear"));
  }
  if (reader_.done()) return DispatchRequest();
  if (!server_.Reserve(std::min(reader_.length().value_or(kMaxBufferedBodyBytes), kMaxBufferedBodyBytes),
                       reserved_body_bytes_)) {
    return SendPage(ErrorPage(503, "no memory for the body"));
  }
  is_reading_body_ = true;
  body_progress_at_ = body_started_at_ = core::Now();
  if (!boost::beast::iequals(reader_.head()[http::field::expect], "100-continue")) return ReadBody();
  asio::async_write(socket_, asio::buffer(kContinue),
                    [this, self = shared_from_this()](Error write_ec, std::size_t) {
                      if (phase_ != Phase::kReadingRequest) return;
                      write_ec ? Close(ConnectionEndReason::kWriteFailed) : ReadBody();
                    });
}

// A short body is read completely before its request is dispatched; the rest of a long body is read once a
// host has been chosen.
void ClientServer::Session::ReadBody() {
  reader_.ReadBodyPiece(
      shared_from_this(), [this, generation = generation_](Error ec, std::string_view piece) {
        if (phase_ != Phase::kReadingRequest || generation_ != generation) return;
        body_progress_at_ = core::Now();
        if (ec) return OnReadError(ec);
        buffered_body_.append(piece);
        reader_.done() || buffered_body_.size() > kMaxBufferedBodyBytes ? DispatchRequest() : ReadBody();
      });
}

void ClientServer::Session::OnReadError(Error ec) {
  is_broken_ = !IsMalformed(ec) && ec != http::error::end_of_stream && ec != http::error::partial_message &&
               ec != asio::error::eof;
  IsMalformed(ec) ? SendPage(MalformedPage(ec)) : Close(ConnectionEndReason::kClosedByClient);
}

void ClientServer::Session::DispatchRequest() {
  SettleAnswer(/*was_read=*/true);
  const auto& head = reader_.head();
  keep_alive_ = head.keep_alive();
  version_ = head.version();
  has_streamed_answer_ = false;
  const Millis seen_at = std::exchange(next_request_seen_at_, 0);
  if (head.target() == "/up" && head.method() == http::verb::get) {
    Page page;
    page.status = server_.handlers_.is_ready() ? 200 : 503;
    return SendPage(std::move(page));
  }
  if (!server_.handlers_.has_memory()) return SendPage(ErrorPage(503, "no memory for a request"));
  core::ClientRequest request;
  if (auto error_page = ParseRequestHead(head, server_.handlers_.check_admission, request))
    return SendPage(std::move(*error_page));
  request.message.body = std::exchange(buffered_body_, {});
  request.received_at = seen_at > 0 ? seen_at : core::Now();
  request.earliest_sent_at = seen_at > 0 ? seen_at : EarliestSentAt();
  request.on_answer = [weak = weak_from_this(), generation = ++generation_](core::Answer answer) {
    const auto self = weak.lock();
    if (self && self->generation_ == generation && self->phase_ == Phase::kAwaitingAnswer)
      return self->SendAnswer(std::move(answer));
    if (!answer.body_source) return;
    answer.body_source->Cancel();
    answer.on_delivered(false);
  };
  request.has_disconnected = [weak = weak_from_this(), generation = generation_] {
    const auto self = weak.lock();
    return !self || self->generation_ != generation || self->phase_ != Phase::kAwaitingAnswer ||
           IsClosedByPeer(self->socket_.native_handle());
  };
  request.is_answer_unread = [weak = weak_from_this(), generation = generation_] {
    const auto self = weak.lock();
    return self && self->generation_ == generation &&
           (self->phase_ == Phase::kWritingAnswer || IsBroken(self->socket_.native_handle()));
  };
  id_ = request.id;
  EnterPhase(Phase::kAwaitingAnswer);
  if (!reader_.done()) {
    const Upload::Connection connection = {[weak = weak_from_this()] {
                                             if (const auto self = weak.lock()) self->ReadUploadPiece();
                                           },
                                           [weak = weak_from_this()](bool settled) {
                                             const auto self = weak.lock();
                                             return self && self->reader_.IsBodyKnownIncomplete(
                                                                self->reader_.ArrivedBytes(), settled);
                                           }};
    upload_ = std::make_shared<Upload>(server_.io_, reader_.length(), request.earliest_sent_at, connection);
    request.body_source = upload_;
  }
  leave_watch_.Begin(/*read_ahead=*/upload_ == nullptr);
  server_.handlers_.on_request(std::move(request));
}

void ClientServer::Session::ReadUploadPiece() {
  body_progress_at_ = core::Now();
  if (reader_.done()) {  // the previous piece was the last one
    asio::post(server_.io_, [this, self = shared_from_this()] { OnUploadComplete(); });
    return;
  }
  upload_->ObserveClient();
  const bool awaits_client = reader_.ArrivedBytes() == 0;
  reader_.ReadBodyPiece(
      shared_from_this(), [this, awaits_client, generation = generation_](Error ec, std::string_view piece) {
        if (phase_ == Phase::kClosed || generation_ != generation || !upload_ || !upload_->is_waiting())
          return;
        body_progress_at_ = core::Now();
        // The piece arrived after the last check of all sockets.
        if (awaits_client && upload_->IsSettled()) upload_->SetIncompleteAt(server_.LastSocketCheck());
        if (ec) return OnUploadError(ec);
        if (piece.empty() && reader_.done()) return OnUploadComplete();
        const auto upload = upload_;  // keeps it alive: its receiver may end the request
        upload->Deliver(core::BodySource::Status::kData, piece);
      });
}

void ClientServer::Session::OnUploadComplete() {
  if (phase_ != Phase::kAwaitingAnswer || !upload_ || !upload_->is_waiting()) return;
  const auto upload = std::exchange(upload_, nullptr);
  leave_watch_.Begin(/*read_ahead=*/true);
  server_.handlers_.on_body_complete(id_);
  upload->Deliver(core::BodySource::Status::kComplete, {});
  upload->Detach();
}

void ClientServer::Session::OnUploadError(Error ec) {
  IsMalformed(ec) ? RejectIncompleteRequest(MalformedPage(ec)) : OnClientDisconnected();
}

void ClientServer::Session::RejectIncompleteRequest(Page page) {
  const std::string id = id_;
  ++generation_;
  SendPage(std::move(page));
  server_.handlers_.on_client_left(id);
}

void ClientServer::Session::DetachUpload() {
  if (const auto upload = std::exchange(upload_, nullptr)) upload->Detach();
}

// Closes the session first, because the handler may access the sessions of the server.
void ClientServer::Session::OnClientDisconnected() {
  Close(ConnectionEndReason::kClientLeft);
  server_.handlers_.on_client_left(id_);
}

// Detects a reset by the client while the host delays the rest of a long answer: nothing is written then, so
// no write can fail.
void ClientServer::Session::WatchForReset() {
  if (std::exchange(is_watching_for_reset_, true)) return;
  socket_.async_wait(tcp::socket::wait_error, [this, self = shared_from_this()](Error ec) {
    is_watching_for_reset_ = false;
    int error = 0;
    socklen_t size = sizeof error;
    if (ec || phase_ != Phase::kWritingAnswer) return;
    ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) Close(ConnectionEndReason::kClientLeft);
  });
}

void ClientServer::Session::SendAnswer(core::Answer answer) {
  Page page = ToPage(answer);
  on_answer_settled_ = std::move(answer.on_settled);
  SendPage(std::move(page), answer.body_source ? &answer : nullptr);
}

void ClientServer::Session::SendPage(Page page, core::Answer* stream) {
  EnterPhase(Phase::kWritingAnswer);
  ReleaseReservedBody();
  // The client is still sending a body that is no longer needed: it is discarded after the answer.
  const bool unread = upload_ != nullptr || (reader_.head_done() && !reader_.done());
  max_discarded_bytes_ = unread ? core::kMaxBodyBytes : kMaxLingeringBytes;
  if (unread) keep_alive_ = false;
  DetachUpload();
  // During a drain, or while clients wait in the accept queue, the connection is closed after this answer,
  // unless data of a further request has already arrived.
  Error ec;
  const auto closes_after_answer = [&] {
    return (server_.draining_ || server_.HasQueuedClients()) && reader_.unread().empty() &&
           socket_.available(ec) == 0;
  };
  keep_alive_ = keep_alive_ && !page.close && !closes_after_answer();
  if (stream == nullptr) {
    return writer_.WriteComplete(FormatHead(page, version_, keep_alive_, page.body.size(), false) +
                                 page.body);
  }
  // HTTP/1.0 has no chunked transfer coding: there the close of the connection delimits the body.
  const auto length = stream->body_source->length();
  const bool chunked = !length && version_ >= 11;
  if (!length && !chunked) keep_alive_ = false;
  has_streamed_answer_ = true;
  WatchForReset();
  writer_.WriteStream(
      FormatHead(page, version_, keep_alive_, length, chunked) + core::EncodeBodyData(page.body, chunked),
      std::move(stream->body_source), chunked, std::move(stream->on_delivered));
}

void ClientServer::Session::SettleAnswer(bool was_read) {
  if (const auto on_settled = std::exchange(on_answer_settled_, nullptr)) on_settled(was_read);
}

void ClientServer::Session::OnAnswerWritten(AnswerWriter::End end) {
  if (phase_ != Phase::kWritingAnswer) return;
  if (end == AnswerWriter::End::kTruncated) {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  if (end != AnswerWriter::End::kWritten) {
    const bool truncated = end == AnswerWriter::End::kTruncated;
    return Close(truncated ? ConnectionEndReason::kAnswerTruncated : ConnectionEndReason::kWriteFailed);
  }
  if (!keep_alive_) return StartLingeringClose();
  ++answers_sent_;
  EnterPhase(Phase::kReadingRequest);
  buffered_body_.clear();
  reader_.Restart();
  if (TryHandOver()) return;
  ReadHead();
  while (server_.IsAboveEvictionThreshold() && server_.Evict(/*idle_only=*/true)) {
  }
}

// Lingering close (RFC 9112, 9.6): closing a socket with unread data resets the connection, which can destroy
// the answer before the client reads it. So input is discarded first, up to a limit in time and bytes.
void ClientServer::Session::StartLingeringClose() {
  EnterPhase(Phase::kLingering);
  Error ec;
  socket_.cancel(ec);  // a pending read uses the parser and the buffer, which outlive it
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) return Close(ConnectionEndReason::kAnswered);
  DiscardInput(0);
}

void ClientServer::Session::DiscardInput(std::size_t discarded_bytes) {
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this(), discarded_bytes](Error ec) {
    if (phase_ != Phase::kLingering) return;
    char sink[16384];
    const std::size_t received_bytes = ec ? 0 : socket_.read_some(asio::buffer(sink), ec);
    const bool input_ended =
        received_bytes == 0 && ec != asio::error::would_block && ec != asio::error::interrupted;
    is_broken_ = is_broken_ || (input_ended && ec && ec != asio::error::eof);
    if (input_ended || discarded_bytes + received_bytes > max_discarded_bytes_)
      return Close(ConnectionEndReason::kAnswered);
    // The time limit restarts while a request body that was not read still arrives.
    if (max_discarded_bytes_ > kMaxLingeringBytes) phase_started_at_ = core::Now();
    DiscardInput(discarded_bytes + received_bytes);
  });
}

}  // namespace meadowyard
