/// @file The HTTP server for clients: listens, serves /up, parses requests and sends one answer to each.
#ifndef MEADOWYARD_CLIENT_SERVER_HPP_
#define MEADOWYARD_CLIENT_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "core/clock.hpp"
#include "core/message.hpp"
#include "fronts/http/connection_end.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

/// Limits in sessions, bytes and milliseconds.
struct ClientLimits {
  std::size_t sessions = 256;
  std::size_t eviction_threshold = 256;  // above it, each answer closes the longest idle connection
  std::uint64_t body_bytes = 16 << 20;   // buffered request bodies, all sessions together
  Millis first_request_timeout = 2000;   // from accept to the first byte, then closed
  Millis first_request_grace = 250;      // a new connection is evicted last for this long
  Millis request_head_timeout = 2600;    // for the head; from accept (first request) or the first byte
  Millis idle = 10000;                   // of a persistent connection between requests
  Millis answer_write_timeout = 3000;    // to write a complete answer to the client
  Millis body_idle_timeout = 2000;       // longest gap without data in a request body
  Millis buffered_body_timeout = 10000;  // to receive a body that is buffered before dispatch
  Millis stream_idle_timeout = 10000;    // longest time without progress in writing a streamed answer
  Millis answer_delivery_time = 100;     // after this, a written answer counts as delivered
  Millis lingering_close_timeout = 500;  // for the client to close after Connection: close
};

/// Accepts client connections and passes their requests to Handlers.
class ClientServer {
 public:
  struct Handlers {
    std::function<bool()> is_ready;
    std::function<bool()> has_memory;  // whether there is memory for another request
    std::function<Policy::Admission(const std::string& class_name, Idempotency idempotency)> check_admission;
    std::function<void(core::ClientRequest)> on_request;
    /// The body of a dispatched request has been received completely.
    std::function<void(const std::string& id)> on_body_complete;
    /// The client disconnected before its answer, or did not send its request completely.
    std::function<void(const std::string& id)> on_client_left;
    std::function<void(const ConnectionEnd& end)> on_connection_closed = [](const ConnectionEnd&) {};
  };

  /// Where to listen: at an address, with `reuse_port` together with other processes, or on a `listener`
  /// descriptor inherited from another process.
  struct ListenOptions {
    boost::asio::ip::tcp::endpoint address;
    bool reuse_port = false;
    int listener = -1;
  };
  /// Starts listening. Throws boost::system::system_error on failure.
  ClientServer(boost::asio::io_context& io, const ListenOptions& listen_options, const ClientLimits& limits,
               Handlers handlers);
  ~ClientServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  /// Accepts the connections in the accept queue, as far as there are sessions for them, then closes the
  /// listener.
  void StopListening();
  /// Leaves the listening socket, with the clients in its accept queue, to the process that shares it.
  /// Without this its queue would go on taking clients after that process has ended.
  void LeaveListener();
  /// Closes idle connections; from now on each connection is closed after its answer. Calls `on_drained` when
  /// the last connection is closed.
  void Drain(std::function<void()> on_drained);
  /// The number of connections on which a streamed answer may not have been delivered to its end yet.
  std::size_t CountStreamedAnswers() const;
  /// Calls `on_delivered` when CountStreamedAnswers() has become 0, for a process that ends.
  void AwaitStreamedAnswers(std::function<void()> on_delivered);

  /// Hands over to another process: stops accepting, and passes each connection to `hand_over` when it is
  /// between two requests, with the data already read of the next one. A connection for which it returns
  /// false is served here.
  using HandOverFunction = std::function<bool(int fd, std::string_view unread)>;
  void HandOver(HandOverFunction hand_over);
  /// Ends the handover because the other process no longer serves: accepts connections and keeps them here
  /// again.
  void ResumeServing();
  /// Ends the handover of a process that ends, because the other process has exited: closes this process's
  /// listener and, from now on, each connection after its answer.
  void EndHandOver();
  /// Serves a connection that another process handed over; `unread` is the data it has read. Takes over `fd`.
  void Adopt(int fd, std::string_view unread);
  int listener() { return acceptor_.native_handle(); }
  void SetSessionLimits(std::size_t sessions, std::size_t eviction_threshold);
  std::size_t sessions() const { return sessions_.size(); }

 private:
  class Session;
  // Connection states, in the order in which they are evicted at the session limit. kLingeringClose:
  // Connection: close was sent; kPartialRequest: a part of the first request was received; kIdlePersistent:
  // idle after an answer; kNewConnection: accepted within first_request_grace.
  enum class EvictionRank {
    kLingeringClose,
    kNothingReceived,
    kPartialRequest,
    kIdlePersistent,
    kNewConnection,
    kNotEvictable
  };
  void Accept();
  void AddSession(boost::asio::ip::tcp::socket socket);
  void RemoveSession(const std::shared_ptr<Session>& session);
  bool IsFull() const { return sessions_.size() >= limits_.sessions; }
  // Connections may wait in the kernel's accept queue because the session limit is reached.
  bool HasQueuedClients() const;
  bool IsAboveEvictionThreshold() const;
  bool Evict(bool idle_only = false);
  // Reserves buffer space for a request body; false if that would exceed the limit of body_bytes.
  bool Reserve(std::uint64_t bytes, std::size_t& session_reserved_bytes);
  void Sweep();
  Millis LastSocketCheck() const;
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ClientLimits limits_;
  HandOverFunction hand_over_;
  std::uint64_t reserved_body_bytes_ = 0;
  const Handlers handlers_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer accept_retry_timer_;
  Millis queue_empty_at_ = core::Now();  // last time the kernel's accept queue was known to be empty
  bool queue_empty_ = true;              // no connection has been seen in the accept queue since then
  Millis last_sweep_at_ = core::Now();
  bool accepting_ = false;
  bool draining_ = false;
  std::function<void()> on_drained_;
  std::function<void()> on_streams_delivered_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_CLIENT_SERVER_HPP_
