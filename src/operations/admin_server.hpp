// Where operators call: one short HTTP call a connection, apart from the clients' listener, so that a crowd
// there keeps no operator waiting.
#ifndef MEADOWYARD_ADMIN_SERVER_HPP_
#define MEADOWYARD_ADMIN_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "http/messages.hpp"
#include "meadowyard/policy.hpp"
#include "operations/descriptor.hpp"

namespace meadowyard::operations {

class AdminServer {
 public:
  struct Limits {
    std::size_t max_sessions = 16;  // callers at once; the oldest makes room for a new one
    Millis request_timeout = 2000;  // a call must have come whole by then
    Millis linger_timeout = 300;    // a caller that was answered gets this to close first
  };
  struct Handlers {
    std::function<bool()> is_ready;
    std::function<std::string()> metrics_json;  // as JSON
    // Leaves a host out or puts it back; false if nobody has this id.
    std::function<bool(const std::string& host, bool out)> change_maintenance;
    std::function<std::optional<std::string>()>
        tunnels_json;                                    // as JSON; nothing where there are none to be had
    std::function<bool(std::uint64_t id)> close_tunnel;  // false if there is none of this number
    std::function<std::optional<std::string>()> peers_json = {};  // the same
  };

  // Listens at once. Throws boost::system::system_error if it can't.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Limits limits,
              Handlers handlers);
  ~AdminServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void Accept();
  void KeepSpareDescriptor();
  void StartSession(boost::asio::ip::tcp::socket socket);
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse ChangeMaintenance(const std::string& query, bool out);
  HttpResponse JsonReplyIfAny(const std::function<std::optional<std::string>()>& what) const;
  HttpResponse Tunnels(const std::string& query, bool close);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_;
  const Limits limits_;
  const Handlers handlers_;
  Descriptor spare_descriptor_;  // given up for a call that comes when there is none to be had
  std::list<std::shared_ptr<Session>> sessions_;  // the oldest first
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_ADMIN_SERVER_HPP_
