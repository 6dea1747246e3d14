#include "fronts/http/session.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace meadowyard {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMostDiscarded = 256 * 1024;  // read from a client that was told of the close
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ClientServer::Session::Session(ClientServer& server, tcp::socket socket, Millis after)
    : server_(server),
      socket_(std::move(socket)),
      reader_(socket_),
      writer_(
          socket_, [this] { return shared_from_this(); }, [this](AnswerWriter::End end) { Written(end); }),
      after_(after),
      leaving_(server.io_, socket_, reader_,
               {[this] { return shared_from_this(); },
                [this] {
                  if (came_at_ == 0) came_at_ = core::Now();
                },
                [this] { Left(); }}) {}

void ClientServer::Session::Begin() {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  ReadHead();
}

void ClientServer::Session::Adopted(std::string_view unread) {
  answered_ = 1;
  reader_.Feed(unread);
  Begin();
}

void ClientServer::Session::Yield() {
  Error ignored;
  if (phase_ == Phase::kReading && !in_body_) socket_.cancel(ignored);
}

bool ClientServer::Session::Idle() {
  Error ec;
  return phase_ == Phase::kReading && !reader_.Begun() && socket_.available(ec) == 0;
}

bool ClientServer::Session::Arrived(Millis now) const {
  return answered_ == 0 || now - since_ >= server_.limits_.answer_delivery_time;
}

ClientServer::Standing ClientServer::Session::standing(Millis now) const {
  if (phase_ == Phase::kLingering) return Standing::kTold;
  const bool whole = in_body_ ? reader_.done() : reader_.head_done();  // about to be told
  if (phase_ != Phase::kReading || whole || (reader_.Begun() && answered_ > 0)) return Standing::kKept;
  if (answered_ > 0) return Standing::kBetween;
  if (now - since_ < server_.limits_.first_request_grace) return Standing::kNew;
  return reader_.Begun() ? Standing::kHalfRequest : Standing::kSilent;
}

bool ClientServer::Session::MayEvict() {
  Error ec;
  return phase_ == Phase::kLingering || (phase_ == Phase::kReading && socket_.available(ec) == 0);
}

void ClientServer::Session::Close() {
  if (std::exchange(phase_, Phase::kClosed) == Phase::kClosed) return;
  Error ignored;
  socket_.close(ignored);
  leaving_.End();
  Release();
  const auto self = shared_from_this();
  server_.Closed(self);
  DropUpload();
  writer_.Stop();
}

void ClientServer::Session::Sweep(Millis now) {
  const ClientLimits& limits = server_.limits_;
  if (phase_ == Phase::kReading) {
    if (reader_.Begun() && begun_at_ == 0) begun_at_ = answered_ == 0 ? since_ : now;
    const bool stalled =
        in_body_ ? now - came_on_ > limits.body_idle_timeout || now - body_at_ > limits.buffered_body_timeout
                 : begun_at_ > 0 && now - begun_at_ > limits.request_head_timeout;
    if (stalled) return Send(FaultPage(408, "the request is not whole"));
    const Millis most = server_.draining_ ? 0 : answered_ == 0 ? limits.first_request_timeout : limits.idle;
    if (now - since_ > most && Rested(now)) Close();
  } else if (phase_ == Phase::kWaiting && upload_ && upload_->waiting() &&
             now - came_on_ > limits.body_idle_timeout) {
    Broken(FaultPage(408, "the request is not whole"));
  } else if (phase_ == Phase::kWriting && writer_.streams()) {
    if (writer_.writing() && now - writer_.came_on() > limits.stream_idle_timeout) Close();
  } else if ((phase_ == Phase::kWriting && now - since_ > limits.answer_write_timeout) ||
             (phase_ == Phase::kLingering && now - since_ > limits.lingering_close_timeout)) {
    Close();
  }
}

void ClientServer::Session::Enter(Phase phase) {
  phase_ = phase;
  leaving_.End();
  in_body_ = false;
  since_ = came_on_ = core::Now();
  begun_at_ = 0;
}

// When the request that was just read may have been there at the earliest: it waits in the kernel for a
// place, and for a loop that is behind.
Millis ClientServer::Session::CameAfter() const {
  const Millis looked = server_.LookedAt();
  return looked > since_ ? looked : answered_ == 0 ? after_ : since_;
}

void ClientServer::Session::ReadHead() {
  const auto read = [this](Error ec) {
    if (phase_ == Phase::kReading) HeadRead(ec);
  };
  reader_.ReadHead(shared_from_this(), read, /*at_once=*/answered_ == 0);
}

bool ClientServer::Session::HandedOver() {
  if (!server_.pass_ || !server_.pass_(socket_.native_handle(), reader_.unread())) return false;
  Close();
  return true;
}

void ClientServer::Session::HeadRead(Error ec) {
  if (ec == asio::error::operation_aborted) {
    // A head that the parser has begun can't be passed on: its request is served here.
    if (reader_.got_some() || !HandedOver()) ReadHead();
    return;
  }
  if (ec) return Unreadable(ec);
  if (FramingOf(reader_.head()) == Framing::kAmbiguous) {
    return Send(FaultPage(400, "where the body ends is not clear"));
  }
  if (reader_.done()) return Take();
  if (!server_.Reserve(std::min(reader_.length().value_or(kMostBody), kMostBody), reserved_)) {
    return Send(FaultPage(503, "no memory for the body"));
  }
  in_body_ = true;
  came_on_ = body_at_ = core::Now();
  if (!boost::beast::iequals(reader_.head()[http::field::expect], "100-continue")) return ReadBody();
  asio::async_write(socket_, asio::buffer(kContinue),
                    [this, self = shared_from_this()](Error write_ec, std::size_t) {
                      if (phase_ != Phase::kReading) return;
                      write_ec ? Close() : ReadBody();
                    });
}

// What is short is read whole; a long body comes on once its host is found.
void ClientServer::Session::ReadBody() {
  reader_.ReadPiece(shared_from_this(), [this, turn = turn_](Error ec, std::string_view piece) {
    if (phase_ != Phase::kReading || turn_ != turn) return;
    came_on_ = core::Now();
    if (ec) return Unreadable(ec);
    body_.append(piece);
    reader_.done() || body_.size() > kMostBody ? Take() : ReadBody();
  });
}

void ClientServer::Session::Unreadable(Error ec) { IsMalformed(ec) ? Send(MalformedPage(ec)) : Close(); }

void ClientServer::Session::Take() {
  const auto& head = reader_.head();
  keep_alive_ = head.keep_alive();
  version_ = head.version();
  const Millis at = std::exchange(came_at_, 0);
  if (head.target() == "/up" && head.method() == http::verb::get) {
    Page page;
    page.status = server_.handlers_.ready() ? 200 : 503;
    return Send(std::move(page));
  }
  if (!server_.handlers_.room()) return Send(FaultPage(503, "no memory for a request"));
  core::ClientRequest request;
  if (auto fault = Check(head, server_.handlers_.admits, request)) return Send(std::move(*fault));
  request.message.body = std::exchange(body_, {});
  request.received_at = at > 0 ? at : core::Now();
  request.earliest_sent_at = at > 0 ? at : CameAfter();
  request.on_answer = [weak = weak_from_this(), turn = ++turn_](core::Answer answer) {
    const auto self = weak.lock();
    if (self && self->turn_ == turn && self->phase_ == Phase::kWaiting) return self->Reply(std::move(answer));
    if (!answer.body_source) return;
    answer.body_source->Cancel();
    answer.on_delivered(false);
  };
  request.has_disconnected = [weak = weak_from_this(), turn = turn_] {
    const auto self = weak.lock();
    return !self || self->turn_ != turn || self->phase_ != Phase::kWaiting ||
           HasEnded(self->socket_.native_handle());
  };
  id_ = request.id;
  Enter(Phase::kWaiting);
  if (!reader_.done()) {
    upload_ = std::make_shared<Upload>(server_.io_, reader_.length(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->ReadOn();
    });
    request.body_source = upload_;
  }
  leaving_.Begin(/*reads=*/upload_ == nullptr);
  server_.handlers_.taken(std::move(request));
}

void ClientServer::Session::ReadOn() {
  came_on_ = core::Now();
  if (reader_.done()) {  // its last piece was the one before
    asio::post(server_.io_, [this, self = shared_from_this()] { Whole(); });
    return;
  }
  reader_.ReadPiece(shared_from_this(), [this, turn = turn_](Error ec, std::string_view piece) {
    if (phase_ == Phase::kClosed || turn_ != turn || !upload_ || !upload_->waiting()) return;
    came_on_ = core::Now();
    if (ec) return Spoilt(ec);
    if (piece.empty() && reader_.done()) return Whole();
    const auto upload = upload_;  // whoever is given a piece may end the request
    upload->Give(core::BodySource::Status::kData, piece);
  });
}

void ClientServer::Session::Whole() {
  if (phase_ != Phase::kWaiting || !upload_ || !upload_->waiting()) return;
  const auto upload = std::exchange(upload_, nullptr);
  leaving_.Begin(/*reads=*/true);
  server_.handlers_.whole(id_);
  upload->Give(core::BodySource::Status::kComplete, {});
  upload->Detach();
}

void ClientServer::Session::Spoilt(Error ec) { IsMalformed(ec) ? Broken(MalformedPage(ec)) : Left(); }

void ClientServer::Session::Broken(Page page) {
  const std::string id = id_;
  ++turn_;
  Send(std::move(page));
  server_.handlers_.gone(id);
}

void ClientServer::Session::DropUpload() {
  if (const auto upload = std::exchange(upload_, nullptr)) upload->Detach();
}

// The connection is forgotten first: whoever is told may look for it.
void ClientServer::Session::Left() {
  Close();
  server_.handlers_.gone(id_);
}

// While the host keeps the rest of a long answer back nothing is written, and so no write finds the client
// gone.
void ClientServer::Session::WatchForReset() {
  if (std::exchange(watched_, true)) return;
  socket_.async_wait(tcp::socket::wait_error, [this, self = shared_from_this()](Error ec) {
    watched_ = false;
    int error = 0;
    socklen_t size = sizeof error;
    if (ec || phase_ != Phase::kWriting) return;
    ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) Close();
  });
}

void ClientServer::Session::Reply(core::Answer answer) {
  Page page = PageOf(answer);
  Send(std::move(page), answer.body_source ? &answer : nullptr);
}

void ClientServer::Session::Send(Page page, core::Answer* stream) {
  Enter(Phase::kWriting);
  Release();
  // The client has more to send than anyone wants: it is read off after the answer.
  const bool unread = upload_ != nullptr || (reader_.head_done() && !reader_.done());
  discard_ = unread ? core::kMaxBodyBytes : kMostDiscarded;
  if (unread) keep_alive_ = false;
  DropUpload();
  // In a drain, or with clients waiting for a place, the connection ends here: but not on a request that
  // has been taken in already.
  Error ec;
  const auto ends_here = [&] {
    return (server_.draining_ || server_.Waiting()) && reader_.unread().empty() && socket_.available(ec) == 0;
  };
  keep_alive_ = keep_alive_ && !page.close && !ends_here();
  if (stream == nullptr) {
    return writer_.WriteWhole(HeadText(page, version_, keep_alive_, page.body.size(), false) + page.body);
  }
  // A client of HTTP/1.0 knows no chunks: there the close is the end.
  const auto length = stream->body_source->length();
  const bool chunked = !length && version_ >= 11;
  if (!length && !chunked) keep_alive_ = false;
  WatchForReset();
  writer_.WriteStream(
      HeadText(page, version_, keep_alive_, length, chunked) + core::EncodeBodyData(page.body, chunked),
      std::move(stream->body_source), chunked, std::move(stream->on_delivered));
}

void ClientServer::Session::Written(AnswerWriter::End end) {
  if (phase_ != Phase::kWriting) return;
  if (end == AnswerWriter::End::kCut) {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  if (end != AnswerWriter::End::kWritten) return Close();
  if (!keep_alive_) return Linger();
  ++answered_;
  Enter(Phase::kReading);
  body_.clear();
  reader_.Restart();
  if (HandedOver()) return;
  ReadHead();
  while (server_.Crowded() && server_.Evict(/*idle_only=*/true)) {
  }
}

// Closing with bytes unread would reset the connection, and could take the answer from the client. But one
// that goes on sending for long is not worth the reading.
void ClientServer::Session::Linger() {
  Enter(Phase::kLingering);
  Error ec;
  socket_.cancel(ec);  // a read under way still has the parser and the buffer, which stay until the end
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) return Close();
  Discard(0);
}

void ClientServer::Session::Discard(std::size_t so_far) {
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this(), so_far](Error ec) {
    if (phase_ != Phase::kLingering) return;
    char sink[16384];
    const std::size_t got = ec ? 0 : socket_.read_some(asio::buffer(sink), ec);
    const bool ended = got == 0 && ec != asio::error::would_block;
    if (ended || so_far + got > discard_) return Close();
    if (discard_ > kMostDiscarded) since_ = core::Now();  // its body is still coming
    Discard(so_far + got);
  });
}

}  // namespace meadowyard
