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

#include "operations/handover_channel.hpp"

namespace meadowyard::operations {

class HotRestartCoordinator {
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
  HotRestartCoordinator(boost::asio::io_context& io, const std::string& path, Descriptor before,
                        Handlers handlers);

  // This process serves: tells the one before, and can be found by the next.
  void StartServing();
  // The next process serves; until it does, or once it has ended, this one does.
  bool successor_serving() const { return successor_serving_; }

  // To the next process; false if it can't be passed now.
  bool PassClientConnection(int socket, std::string_view unread);
  bool PassHostConnection(const std::string& host, const boost::asio::ip::tcp::endpoint& address, int socket);
  bool PassTunnel(std::string_view text, int client, int host);
  // An operator of this process left a host out or put it back.
  void ReplicateMaintenance(const std::string& host, bool out);

 private:
  void OnSuccessorConnected(Descriptor socket);
  void OnPredecessorMessage(HandoverMessage message);
  void OnSuccessorMessage(HandoverMessage message);
  void OnSuccessorClosed();
  void SendDescriptorCount();
  void SendMaintenance(HandoverChannel* link, const std::string& host, bool out);

  boost::asio::io_context& io_;
  const Handlers handlers_;
  std::unique_ptr<HandoverChannel> predecessor_, successor_;
  SuccessorListener server_;
  const bool may_have_successor_;
  boost::asio::steady_timer descriptor_count_timer_;
  bool serving_ = false;
  bool successor_serving_ = false;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_SUCCESSION_HPP_
