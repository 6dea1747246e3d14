// Connections to hosts: one request on each at a time, the most recently used first.
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

#include "core/upstream.hpp"
#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

class HostPool : public core::Upstream {
 public:
  struct Limits {
    Millis dial_timeout = 250;
    Millis idle_timeout = 15000;    // hosts close connections that stood idle for this long
    std::size_t connections = 256;  // over all hosts
    // A host may answer a request a second time, some milliseconds later: on a connection that had gone on to
    // the next request by then, nothing would tell the one from the other. So it rests for this long first.
    Millis min_idle_before_reuse = 20;
  };
  struct Handlers {
    std::function<bool(const std::string& host)> may_use;  // asked again once a dial has taken its time
    // Whether the list of hosts is current; while it isn't nothing is sent, until Resume.
    std::function<bool()> current = [] { return true; };
  };
  HostPool(boost::asio::io_context& io, Limits limits, Handlers handlers);

  // Takes effect at once: a host that drains or is gone is sent nothing more, not even on a connection that
  // is being dialled.
  void Update(const discovery::EndpointList& list);
  // Closes the idle connections to a host that is left alone for a while.
  void CloseIdleConnections(const std::string& host);
  // Hosts' time-outs as the settings have them now.
  void SetTimes(Millis dial_timeout, Millis idle_timeout);

  // Sends the request unless the host is not to be used any more. Returns a number for Cancel.
  std::uint64_t Start(const std::string& host, core::AttemptRequest errand) override;
  // Ends an attempt that is still out, with kCancelled. Its connection is closed.
  void Cancel(std::uint64_t attempt) override;
  void CancelIfUnsent(std::uint64_t attempt) override;
  // Sends what waited for the list.
  void Resume();

  // Idle connections, those that are now and those that will be, go to `pass` instead of back to the pool;
  // what it doesn't take is kept. Null: they are kept again.
  using Pass =
      std::function<bool(const std::string& host, const boost::asio::ip::tcp::endpoint& address, int fd)>;
  void PassIdle(Pass pass);
  // Takes a connection that another process passed on, if it is of use.
  void Adopt(const std::string& host, const boost::asio::ip::tcp::endpoint& address, int fd);
  void SetMaxConnections(std::size_t connections) { limits_.connections = connections; }

  std::size_t connections() const { return connections_; }

 private:
  class Connection;
  struct HostState {
    boost::asio::ip::tcp::endpoint address;
    bool up = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
  };

  struct Waiting {
    std::string host;
    core::AttemptRequest errand;
  };
  void Begin(std::uint64_t attempt, const std::string& host, core::AttemptRequest errand);
  bool EndWaiting(std::uint64_t attempt, AttemptResult result);
  void CloseIdle(HostState& host);
  bool EvictIdle();
  bool MayUse(const std::string& host, const boost::asio::ip::tcp::endpoint& address) const;
  void Forget(const std::string& host, const Connection* connection);

  boost::asio::io_context& io_;
  Limits limits_;
  const Handlers handlers_;
  Pass pass_;
  std::map<std::string, HostState> hosts_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> active_;  // by attempt
  // What waits for the list: attempts not begun, and connections that have come up.
  std::map<std::uint64_t, Waiting> waiting_;
  std::vector<std::shared_ptr<Connection>> dialled_;
  std::size_t connections_ = 0;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_HOST_POOL_HPP_
