/// @file
/// Pool of persistent HTTP/1.1 connections to hosts: one request at a time on each, without pipelining; the
/// most recently used idle connection is reused first.
#ifndef MEADOWYARD_HOST_POOL_HPP_
#define MEADOWYARD_HOST_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/attempt_end.hpp"
#include "core/body_source.hpp"
#include "core/upstream.hpp"
#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

/// Sends attempts to hosts over pooled connections. Not thread-safe: used on the thread that runs `io`.
class HostPool : public core::Upstream {
 public:
  struct Limits {
    Millis dial_timeout = 250;
    Millis idle_timeout = 15000;    // hosts close connections that were idle for this long
    std::size_t connections = 256;  // over all hosts
    // A host may send a second response to a request some milliseconds after the first. If the connection
    // carried the next request by then, that response would be taken for the response to the next request.
    // So a connection stays idle for this long before it is reused.
    Millis min_idle_before_reuse = 20;
    Millis max_body_wait = core::kMaxBodyTime;  // for a response that goes on and does not end
  };
  struct Handlers {
    std::function<bool(const std::string& host)> may_use;  // checked again after a connect
    // Whether the list of hosts is up to date. While it is not, attempts are queued until Resume.
    std::function<bool()> is_list_current = [] { return true; };
    std::function<void(const core::AttemptEnd& end)> on_attempt_ended = [](const core::AttemptEnd&) {};
  };
  HostPool(boost::asio::io_context& io, Limits limits, Handlers handlers);

  /// Applies a host list at once: a host that drains or is removed is sent nothing more, not even on a
  /// connection whose connect is in progress.
  void Update(const discovery::EndpointList& list);
  /// Closes the idle connections to a host that is temporarily not to receive requests.
  void CloseIdleConnections(const std::string& host);
  /// Applies changed timeouts of the configuration.
  void SetTimes(Millis dial_timeout, Millis idle_timeout);

  std::uint64_t Start(const std::string& host, core::AttemptRequest request) override;
  /// Also closes the connection of the attempt.
  void Cancel(std::uint64_t attempt) override;
  void CancelIfUnsent(std::uint64_t attempt) override;
  /// Streams the responses that have begun and may be long ones, instead of awaiting them any longer.
  void StreamBegunResponses();
  /// Sends the attempts that were queued while the host list was out of date.
  void Resume();

  /// Passes an idle connection to another process; false if it was not taken.
  using Pass =
      std::function<bool(const std::string& host, const boost::asio::ip::tcp::endpoint& address, int fd)>;
  /// Offers all idle connections, and each that becomes idle from now on, to `pass`; the pool keeps those
  /// that it does not take. Null ends this.
  void PassIdle(Pass pass);
  /// Takes ownership of a connection that another process passed on; closes it if it can't be used.
  void Adopt(const std::string& host, const boost::asio::ip::tcp::endpoint& address, int fd);
  void SetMaxConnections(std::size_t connections) { limits_.connections = connections; }

  /// Open connections, idle or in use, over all hosts.
  std::size_t connections() const { return connections_; }

 private:
  class Connection;
  struct HostState {
    boost::asio::ip::tcp::endpoint address;
    bool up = false;
    std::vector<std::shared_ptr<Connection>> idle;  // ordered by last use, the most recent last
  };

  struct QueuedAttempt {
    std::string host;
    core::AttemptRequest request;
  };
  void StartAttempt(std::uint64_t attempt, const std::string& host, core::AttemptRequest request);
  // Ends an attempt for which no connection was used.
  void EndUnstarted(const std::string& host, const core::AttemptRequest& request, AttemptResult result,
                    core::AttemptEndReason reason);
  bool EndQueued(std::uint64_t attempt, AttemptResult result);
  void CloseIdle(HostState& host);
  bool EvictIdle();
  bool MayUse(const std::string& host, const boost::asio::ip::tcp::endpoint& address) const;
  void RemoveIdle(const std::string& host, const Connection* connection);

  boost::asio::io_context& io_;
  Limits limits_;
  const Handlers handlers_;
  Pass pass_;
  std::map<std::string, HostState> hosts_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> active_;  // by attempt id
  // Held until the host list is current: attempts that were not started, and connections that were
  // established in the meantime.
  std::map<std::uint64_t, QueuedAttempt> queued_attempts_;
  std::vector<std::shared_ptr<Connection>> connections_awaiting_list_;
  std::size_t connections_ = 0;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_HOST_POOL_HPP_
