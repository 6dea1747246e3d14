/// @file One client connection: the states it passes through for each request, and how it is closed.
#ifndef MEADOWYARD_FRONTS_HTTP_SESSION_HPP_
#define MEADOWYARD_FRONTS_HTTP_SESSION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "fronts/http/answer_writer.hpp"
#include "fronts/http/client_server.hpp"
#include "fronts/http/leave_watch.hpp"
#include "fronts/http/request_reader.hpp"
#include "fronts/http/upload.hpp"

namespace meadowyard {

/// Serves one request at a time. Pipelined requests wait until the current one is answered: a limited amount
/// of them in the buffer for heads, the rest in the socket. A client that disconnects before its answer is
/// detected.
class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  /// No unread data in the socket was sent before `first_request_sent_after`.
  Session(ClientServer& server, boost::asio::ip::tcp::socket socket, Millis first_request_sent_after);

  void Begin();
  /// Starts on a connection that another process handed over; `unread` is the data it has read from it.
  void StartAdopted(std::string_view unread);
  /// Cancels the wait for a request head, so that OnHeadRead() can hand the connection over to another
  /// process. OnHeadRead() first processes data that was read before the cancellation.
  void RequestHandover();
  void Close(ConnectionEndReason reason);
  /// Applies the time limits: ends the request or the connection where one is exceeded.
  void Sweep(Millis now);

  /// True between requests with no unread data: closing the connection then loses no request.
  bool IsIdle();
  /// True once the last answer has had time to reach the client. A request that arrives as the connection is
  /// closed causes a reset, which can destroy an answer that the client has not yet read.
  bool IsAnswerDelivered(Millis now) const;
  bool CanCloseIdle(Millis now) { return IsIdle() && IsAnswerDelivered(now); }
  /// Whether the last answer was streamed: it may not have been delivered to its end yet.
  bool has_streamed_answer() const { return has_streamed_answer_; }
  Millis phase_started_at() const { return phase_started_at_; }
  /// Which connection to close first at the session limit; kNotEvictable may not be closed. A new connection
  /// gets a short time for its first request to arrive: if closed at once, its client would only connect
  /// again.
  EvictionRank eviction_rank(Millis now) const;
  /// False if the socket may hold an unread complete request, which closing would lose.
  bool IsSafeToEvict();

 private:
  enum class Phase { kReadingRequest, kAwaitingAnswer, kWritingAnswer, kLingering, kClosed };
  using Error = boost::system::error_code;

  void EnterPhase(Phase phase);
  Millis EarliestSentAt() const;
  void ReadHead();
  void OnHeadRead(Error ec);
  void ReadBody();
  void OnReadError(Error ec);
  bool TryHandOver();
  void DispatchRequest();
  // Reads the next piece of a long body for upload_.
  void ReadUploadPiece();
  void OnUploadComplete();
  void OnUploadError(Error ec);
  void DetachUpload();
  void OnClientDisconnected();
  void WatchForReset();
  // Ends a request whose body can't be received completely: the client gets `page`, and an answer of the core
  // is ignored.
  void RejectIncompleteRequest(Page page);
  // After a protocol error the connection is closed: where the next request would begin is unknown.
  void SendAnswer(core::Answer answer);
  void SendPage(Page page, core::Answer* stream = nullptr);
  void OnAnswerWritten(AnswerWriter::End end);
  // See core::Answer::on_settled.
  void SettleAnswer(bool was_read);
  void StartLingeringClose();
  void DiscardInput(std::size_t discarded_bytes);
  void ReleaseReservedBody() { server_.reserved_body_bytes_ -= std::exchange(reserved_body_bytes_, 0); }

  ClientServer& server_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  AnswerWriter writer_;
  const Millis first_request_sent_after_;  // for data in the socket on accept
  LeaveWatch leave_watch_;
  std::string buffered_body_;       // the part of the body read before the request is dispatched
  std::shared_ptr<Upload> upload_;  // the rest of the body
  std::string id_;
  std::function<void(bool was_read)> on_answer_settled_;  // of the last answer; null: settled
  std::uint64_t generation_ = 0;  // of the request; callbacks of an earlier one are ignored
  std::uint64_t answers_sent_ = 0;
  std::uint64_t max_discarded_bytes_ = 0;  // during the lingering close
  std::size_t reserved_body_bytes_ = 0;    // of the server's limit for request bodies
  Phase phase_ = Phase::kReadingRequest;
  Millis phase_started_at_ = core::Now();
  Millis request_started_at_ = 0;    // when the first part of a request was seen
  Millis next_request_seen_at_ = 0;  // when a pipelined request was first seen
  Millis body_progress_at_ = 0;      // when body data last arrived or was requested
  Millis body_started_at_ = 0;       // when reading of the body began
  unsigned version_ = 11;
  bool keep_alive_ = true;
  bool has_streamed_answer_ = false;    // until the next request is dispatched
  bool is_reading_body_ = false;        // a body is being read before dispatch
  bool is_watching_for_reset_ = false;  // WatchForReset() has a wait pending
  bool is_broken_ = false;              // a read has failed otherwise than at the client's close
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_SESSION_HPP_
