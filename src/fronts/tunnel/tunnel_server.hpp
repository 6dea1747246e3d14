/// @file
/// The tunnel front: the SOCKS5 and HTTP CONNECT listeners, the handshakes in progress and the open tunnels.
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

/// Accepts clients, routes and admits their tunnel requests, and owns the open tunnels.
class TunnelServer {
 public:
  /// Calls to the rest of the gateway.
  struct Handlers {
    // Whether requests may be submitted.
    std::function<bool()> is_ready;
    // Submits a tunnel request to the core of the route's pool.
    std::function<void(const Route& route, core::ClientRequest request)> submit;
    // Withdraws a request whose client has disconnected.
    std::function<void(const std::string& pool, const std::string& id)> on_client_disconnected;
    // Why a host may not be used for new tunnels; empty: it may be used.
    std::function<std::string(const std::string& pool, const std::string& host)> unusable_reason;
    // Counts a tunnel that another process opened. The result must be called when the tunnel ends.
    std::function<std::function<void(core::TunnelEnd)>(const std::string& pool, const std::string& host)>
        adopt;
    std::function<void(const std::string& event,
                       const std::vector<std::pair<std::string, std::string>>& fields)>
        log;
  };
  TunnelServer(boost::asio::io_context& io, std::shared_ptr<const EdgeConfig> config, Handlers handlers);
  ~TunnelServer();

  /// Opens the listeners that the file adds and closes those that it removes. `inherited`: listening sockets
  /// of another process, by protocol and address; those not needed are closed. Throws
  /// boost::system::system_error, with nothing changed, if a listener can't be opened.
  void Listen(const std::shared_ptr<const EdgeConfig>& config,
              const std::map<std::string, int>& inherited = {});
  /// Applies the other settings of the file: limits, users and routes. Open tunnels stay open.
  void Configure(std::shared_ptr<const EdgeConfig> config);
  /// The listening sockets, by protocol and address as configured in the file.
  std::vector<std::pair<std::string, int>> listeners();
  /// The addresses that the listeners are bound to, in the order of the file.
  std::vector<boost::asio::ip::tcp::endpoint> addresses() const;

  /// To be called when the list of hosts or their maintenance state has changed: closes the tunnels to hosts
  /// that have been unusable for the drain grace period.
  void HostsChanged();
  /// Stops accepting clients and calls `on_drained` when the last tunnel and session have ended, or as soon
  /// as possible if there is none.
  void Drain(std::function<void()> on_drained);
  /// Closes all tunnels, with this cause, and all sessions.
  void CloseAll(const std::string& cause);
  /// Closes a tunnel for the operator; false if there is no such tunnel.
  bool CloseOne(std::uint64_t id);

  /// The successor process serves now: stops accepting clients and passes the tunnels to it, with retries
  /// until it has accepted all of them.
  void HandOver(Tunnel::PassDescriptors pass_descriptors);
  /// Accepts clients again after the successor process was lost, and keeps the remaining tunnels.
  void ResumeServing();
  /// Continues a tunnel of the predecessor process; takes ownership of both descriptors.
  void Adopt(int client, int host, std::string_view text);

  std::size_t open() const { return tunnels_.size(); }
  nlohmann::json Status() const;

 private:
  class Session;
  struct Listener {
    Listener(boost::asio::io_context& io, const EdgeListener& edge_listener)
        : spec(edge_listener), acceptor(io), retry_timer(io) {}
    EdgeListener spec;  // with the address as configured in the file
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer retry_timer;
    bool accepting = false;
  };
  void Accept(const std::shared_ptr<Listener>& listener);
  void EvictOldest();
  void OnSessionClosed(const std::shared_ptr<Session>& session);
  void OpenTunnel(TunnelInfo info, boost::asio::ip::tcp::socket client, core::Answer answer,
                  Tunnel::DirectionState up, Tunnel::DirectionState down);
  void StartTunnel(TunnelInfo info, boost::asio::ip::tcp::socket client, boost::asio::ip::tcp::socket host,
                   Tunnel::DirectionState up, Tunnel::DirectionState down,
                   std::function<void(core::TunnelEnd)> closed);
  void OnTunnelEnded(Tunnel& tunnel, const std::string& cause);
  void Sweep();
  void PassTunnels();
  bool CheckCredentials(std::string_view user, std::string_view password) const;

  boost::asio::io_context& io_;
  std::shared_ptr<const EdgeConfig> config_;
  const Handlers handlers_;
  Admission admission_;
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
  std::unordered_map<std::uint64_t, std::shared_ptr<Tunnel>> tunnels_;
  RelayBuffer relay_buffer_;
  Tunnel::PassDescriptors pass_descriptors_;
  boost::asio::steady_timer sweep_timer_;
  std::function<void()> on_drained_;
  std::uint64_t next_id_ = 1;
  // Counts of tunnel requests by outcome, and of ended tunnels by cause.
  std::map<std::string, std::uint64_t> request_outcomes_, end_causes_;
  bool draining_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_TUNNEL_SERVER_HPP_
