// The tunnels' front: listeners, handshakes under way, and the tunnels that are open.
#ifndef MEADOWYARD_FRONTS_TUNNEL_TUNNEL_SERVER_HPP_
#define MEADOWYARD_FRONTS_TUNNEL_TUNNEL_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/message.hpp"
#include "edge/edge_config.hpp"
#include "fronts/tunnel/admission.hpp"
#include "fronts/tunnel/handshake.hpp"
#include "fronts/tunnel/tunnel.hpp"

namespace meadowyard {

class TunnelServer {
 public:
  struct Handlers {
    std::function<bool()> ready;
    std::function<void(const Route& route, core::ClientRequest request)> take;
    std::function<void(const std::string& pool, const std::string& id)> left;
    // Why nothing new may go to a host; empty: it may.
    std::function<std::string(const std::string& pool, const std::string& host)> unusable;
    std::function<std::function<void(core::TunnelEnd)>(const std::string& pool, const std::string& host)>
        adopt;
    std::function<void(const std::string& event,
                       const std::vector<std::pair<std::string, std::string>>& fields)>
        log;
  };
  TunnelServer(boost::asio::io_context& io, std::shared_ptr<const EdgeConfig> config, Handlers handlers);
  ~TunnelServer();

  // Opens the listeners that the file has and closes those that it has no more. `inherited`: sockets that
  // another process listens at, by address; those not needed are closed. Throws boost::system::system_error,
  // with nothing changed, if one can't be opened.
  void Listen(const std::shared_ptr<const EdgeConfig>& config,
              const std::map<std::string, int>& inherited = {});
  // The same with the rest of the file: limits, users, routes. Open tunnels stay.
  void Configure(std::shared_ptr<const EdgeConfig> config);
  // By protocol and address as the file has it.
  std::vector<std::pair<std::string, int>> listeners();
  std::vector<boost::asio::ip::tcp::endpoint> addresses() const;

  // The list of hosts or what operators took out has changed: tunnels to hosts that are to be left are
  // closed.
  void HostsChanged();
  // Nothing is accepted any more; `emptied` follows when the last tunnel has ended, at once if there is none.
  void Drain(std::function<void()> emptied);
  void CloseAll(const std::string& cause);
  bool CloseOne(std::uint64_t id);

  // Another process serves: each tunnel goes to `pass` when it can.
  void HandOver(Tunnel::Pass pass);
  void ResumeServing();
  void Adopt(int client, int host, std::string_view text);

  std::size_t open() const { return tunnels_.size(); }
  nlohmann::json Status() const;

 private:
  class Session;
  struct Listener {
    Listener(boost::asio::io_context& io, const EdgeListener& l) : spec(l), acceptor(io), again(io) {}
    EdgeListener spec;  // with the address as the file has it
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer again;
    bool accepting = false;
  };
  void Accept(const std::shared_ptr<Listener>& listener);
  void EvictOldest();
  void Closed(const std::shared_ptr<Session>& session);
  void Open(TunnelFacts facts, boost::asio::ip::tcp::socket client, core::Answer answer, Tunnel::Way up,
            Tunnel::Way down);
  void Run(TunnelFacts facts, boost::asio::ip::tcp::socket client, boost::asio::ip::tcp::socket host,
           Tunnel::Way up, Tunnel::Way down, std::function<void(core::TunnelEnd)> closed);
  void Ended(Tunnel& tunnel, const std::string& cause);
  void Sweep();
  void PassAll();
  bool Check(std::string_view user, std::string_view password) const;

  boost::asio::io_context& io_;
  std::shared_ptr<const EdgeConfig> config_;
  const Handlers handlers_;
  Admission admission_;
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::list<std::shared_ptr<Session>> sessions_;  // the oldest first
  std::unordered_map<std::uint64_t, std::shared_ptr<Tunnel>> tunnels_;
  SharedPiece piece_;
  Tunnel::Pass pass_;
  boost::asio::steady_timer sweep_;
  std::function<void()> emptied_;
  std::uint64_t next_ = 1;
  std::map<std::string, std::uint64_t> asked_, ended_;  // by what became of it, by cause
  bool stopping_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_TUNNEL_SERVER_HPP_
