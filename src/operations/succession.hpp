// A gateway's part in a change of version: it follows the process before it, and gives way to the next one.
#ifndef MEADOWYARD_SUCCESSION_HPP_
#define MEADOWYARD_SUCCESSION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "operations/handover.hpp"

namespace meadowyard {

class Succession {
 public:
  struct Handlers {
    std::function<std::string()> state;       // what the next process is to know
    std::function<int()> listener;            // the clients' listening socket
    std::function<std::size_t()> held;        // descriptors that this process holds
    std::function<void()> succeeded;          // the next process serves
    std::function<void()> abandoned;          // the next process has ended: this one serves again
    std::function<void(std::size_t)> others;  // descriptors that the process before this one still holds
    std::function<void(std::string_view unread, Descriptor socket)> client;
    std::function<void(const std::string& host, const boost::asio::ip::tcp::endpoint& address, Descriptor)>
        host;
    std::function<void(const std::string& host, bool out)> maintained;  // by the other process's operators
    std::function<std::vector<std::pair<std::string, int>>()> doors;    // the tunnels' listening sockets
    std::function<void(std::string_view text, Descriptor client, Descriptor host)> tunnel;
  };
  // `path` is empty where there is no next process to wait for; `before` is the link to the one before.
  Succession(boost::asio::io_context& io, const std::string& path, Descriptor before, Handlers handlers);

  // This process serves: tells the one before, and can be found by the next.
  void Serve();
  // The next process serves; until it does, or once it has ended, this one does.
  bool succeeded() const { return succeeded_; }

  // To the next process; false if it can't be passed now.
  bool PassClient(int socket, std::string_view unread);
  bool PassHost(const std::string& host, const boost::asio::ip::tcp::endpoint& address, int socket);
  bool PassTunnel(std::string_view text, int client, int host);
  // An operator of this process left a host out or put it back.
  void Maintained(const std::string& host, bool out);

 private:
  void Asked(Descriptor socket);
  void FromBefore(Message message);
  void FromNext(Message message);
  void NextEnded();
  void TellHeld();
  void Mirror(Link* link, const std::string& host, bool out);

  boost::asio::io_context& io_;
  const Handlers handlers_;
  std::unique_ptr<Link> before_, next_;
  HandoverServer server_;
  const bool may_be_followed_;
  boost::asio::steady_timer tell_;
  bool serving_ = false;
  bool succeeded_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_SUCCESSION_HPP_
