// The side that clients see: the listener, /up, the parsing of requests, and the one answer to each.
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
#include "meadowyard/policy.hpp"

namespace meadowyard {

struct ClientLimits {
  std::size_t sessions = 256;
  std::size_t eviction_threshold = 256;  // past it each answer has the longest idle connection closed
  std::uint64_t body_bytes = 16 << 20;   // that requests may hold together
  Millis first_request_timeout = 2000;   // from connecting: who says nothing by then is closed
  Millis first_request_grace = 250;      // of this a new connection is as good as one with a request
  Millis request_head_timeout = 2600;    // a request that was begun must be whole by then
  Millis idle = 10000;                   // a connection without a request is closed
  Millis answer_write_timeout = 3000;    // an answer must have been taken in by then
  Millis body_idle_timeout = 2000;       // longest time without any byte of a body that is coming
  Millis buffered_body_timeout = 10000;  // one that is held whole must have come by then
  Millis stream_idle_timeout = 10000;    // the same of a long answer that a client reads
  Millis answer_delivery_time = 100;     // an answer that was written has come to its client by then
  Millis lingering_close_timeout = 500;  // a client that was told of the close gets this to close first
};

class ClientServer {
 public:
  struct Handlers {
    std::function<bool()> ready;
    std::function<bool()> room;  // there is memory for more
    std::function<Policy::Admission(const std::string& class_name, Idempotency effect)> admits;
    std::function<void(core::ClientRequest)> taken;
    std::function<void(const std::string& id)> whole;  // the body that was still coming is whole
    std::function<void(const std::string& id)> gone;   // the client of an unanswered request has left
  };

  // Where clients connect: an address to listen at, perhaps along with another process, or a socket that
  // another process listens at already.
  struct Door {
    boost::asio::ip::tcp::endpoint address;
    bool shared = false;
    int listener = -1;
  };
  // Listens at once. Throws boost::system::system_error if it can't.
  ClientServer(boost::asio::io_context& io, const Door& door, const ClientLimits& limits, Handlers handlers);
  ~ClientServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Takes what has connected so far, then closes the listener.
  void StopListening();
  // Closes the connections between requests; from now on each answer closes its own. `done` follows when the
  // last one is closed.
  void Drain(std::function<void()> done);

  // Another process serves from now on: nothing is accepted here, and each connection goes to `pass` as it
  // comes between two requests, with what was read of the next one. What isn't taken is served here.
  using Pass = std::function<bool(int fd, std::string_view unread)>;
  void HandOver(Pass pass);
  // It serves no more: all is as before.
  void ResumeServing();
  // A connection that another process passed on.
  void Adopt(int fd, std::string_view unread);
  int listener() { return acceptor_.native_handle(); }
  void SetSessionLimits(std::size_t sessions, std::size_t eviction_threshold);
  std::size_t sessions() const { return sessions_.size(); }

 private:
  class Session;
  // The order in which connections are closed where places have run out.
  enum class Standing { kTold, kSilent, kHalfRequest, kBetween, kNew, kKept };
  void Accept();
  void Accepted(boost::asio::ip::tcp::socket socket);
  void Closed(const std::shared_ptr<Session>& session);
  bool Full() const { return sessions_.size() >= limits_.sessions; }
  // Clients stand in the kernel's queue for want of a place.
  bool Waiting() const;
  bool Crowded() const;
  bool Evict(bool idle_only = false);
  // Counts a body that is to be read; false if there is no room for it.
  bool Reserve(std::uint64_t bytes, std::size_t& held);
  void Sweep();
  Millis LookedAt() const;
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ClientLimits limits_;
  Pass pass_;
  std::uint64_t reserved_ = 0;
  const Handlers handlers_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  boost::asio::steady_timer sweep_;
  boost::asio::steady_timer accept_again_;
  Millis queue_empty_at_ = core::Now();  // who connects stands in the kernel's queue, which was empty then
  bool queue_empty_ = true;              // and has been since, as far as is known
  Millis swept_at_ = core::Now();
  bool accepting_ = false;
  bool draining_ = false;
  std::function<void()> stopped_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_CLIENT_SERVER_HPP_
