/// @file
/// One persistent connection to a host, from connect to close. While it is idle no data is expected: if the
/// socket becomes readable, by a close or by bytes that belong to no request, the connection is closed.
#ifndef MEADOWYARD_UPSTREAM_CONNECTION_HPP_
#define MEADOWYARD_UPSTREAM_CONNECTION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "upstream/host_pool.hpp"
#include "upstream/request_writer.hpp"
#include "upstream/response_reader.hpp"

namespace meadowyard {

/// Carries one request at a time. Kept alive by the pool and by its pending operations.
class HostPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// An attempt that this connection carries.
  struct Job : core::AttemptRequest {
    std::uint64_t attempt = 0;
    Millis response_timeout = 0;  // for a body that is still arriving: counts from its completion
    Millis stream_after = 0;      // likewise; see core::AttemptRequest::stream_at
    Millis started_at = 0;
    std::string request_id;
    bool response_begun = false;  // the response is being streamed
  };

  Connection(HostPool& pool, std::string host, boost::asio::ip::tcp::endpoint address);

  /// Takes ownership of a socket that is already connected; false if it can't be used.
  bool Assign(int fd);
  /// Offers the socket of an idle connection to the pool's pass callback; true if the callback took it.
  bool Pass();
  /// Connects to the host, then sends the request. A failure of this machine to do so is repeated until the
  /// connect timeout, and then ends the job with kNotSent.
  void Dial(Job job);
  /// Sends the request on a connection that is already open.
  void Run(Job job);
  /// Continues after the connect, once the host list is current again.
  void Resume();
  /// Whether the host has neither closed the idle connection nor sent anything on it. Checks the socket
  /// directly, as the event loop may not have run the pending wait's callback yet.
  bool IsReusable();
  bool IsRequestWritten() const { return writer_.IsFullyWritten(); }
  Millis idle_since() const { return idle_since_; }
  /// Streams the response that is held, if there is one; false if there is none that may be streamed.
  bool StreamBegunResponse();
  /// Ends the job, if there is one, with `result`, and closes the connection.
  void End(AttemptResult result, core::AttemptEndReason reason);
  void Close();
  /// Offers the connection to the pool's pass callback, if one is set. If the callback does not take it, adds
  /// it to the idle connections of its host.
  void EnterIdle();

 private:
  bool Open();
  void TryDial();
  void OnDialed(boost::system::error_code ec);
  void RetryDial();
  void StartJob(Job job);
  void FinishJob(AttemptResult result, core::AttemptEndReason reason, core::ResponseMessage response);
  void OnResponse(AttemptResult result, core::ResponseMessage response, bool keep_alive);
  void ArmTimer(Millis deadline_time);
  void DisarmTimer();
  void OnTimeout();
  // The host accepts no more of a body that is still arriving.
  void OnUploadStalled();
  // Of what was written to the socket.
  int UnacknowledgedBytes();
  // Whether the upload that waits for the host goes on; sets the timer to the next check then.
  bool IsUploadAlive();
  // When an upload ends at the latest: its client may have sent the last byte and wait for the answer.
  Millis UploadDeadline() const;
  // The host has begun a response; `served`: a successful one.
  void OnResponseBegun(bool served);
  void OnConnected(boost::system::error_code ec);
  void Write();
  void OnRequestWritten();
  // Returns the connection to the pool, or closes it. Called before the result is reported, because the
  // callback may start the next attempt, which can reuse the connection.
  void Release(bool keep_alive);

  HostPool& pool_;
  const std::string host_;
  const boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  RequestWriter writer_;
  ResponseReader reader_;
  Millis dial_ends_at_ = 0;   // when the connect is given up
  Millis deadline_ = 0;       // end of the job or of the idle period; kNoDeadline: none
  Millis timer_expiry_ = 0;   // when the pending timer expires; 0: none is pending
  Millis stall_ends_at_ = 0;  // end of a stalled upload, if its client's timeout is not earlier; 0: no stall
  int unacknowledged_bytes_ = 0;  // at the last progress of a stalled upload
  Millis hold_ends_at_ = 0;       // when a response that has begun is streamed; 0: none is held
  Millis idle_since_ = 0;
  // Increased by each idle period and each job; an earlier wait for readability is ignored.
  std::uint64_t idle_wait_generation_ = 0;
  std::optional<Job> job_;
  bool open_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_CONNECTION_HPP_
