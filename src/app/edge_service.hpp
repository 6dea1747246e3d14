/// @file
/// The tunnels of one gateway.
#ifndef MEADOWYARD_APP_EDGE_SERVICE_HPP_
#define MEADOWYARD_APP_EDGE_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/gateway.hpp"
#include "edge/edge_config.hpp"
#include "fronts/tunnel/tunnel_server.hpp"
#include "upstream/tunnel_dialer.hpp"

namespace meadowyard::app {

/// Runs the tunnel server by the operators' file, with a core::Gateway of its own for each pool whose hosts
/// the file lists. Pools of discovered hosts use the gateway's main core.
class EdgeService {
 public:
  /// The part of the gateway that serves the discovered hosts. `core` and `dialer` must outlive the
  /// EdgeService.
  struct DiscoveredPool {
    core::Gateway* core = nullptr;
    TunnelDialer* dialer = nullptr;
    /// Whether new tunnels may be opened.
    std::function<bool()> is_ready;
    /// Why a host gets no new tunnels; empty if it may get them.
    std::function<std::string(const std::string& host)> ineligibility_reason;
  };
  /// Listens at once. `inherited_listeners` are the predecessor's listening sockets by address: they are used
  /// for the addresses that the file has. `settings` are the platform's. Throws boost::system::system_error
  /// if a listener can't be opened.
  EdgeService(boost::asio::io_context& io, core::Clock& clock, std::shared_ptr<const EdgeConfig> config,
              const Settings& settings, Millis connect_timeout, std::uint64_t seed,
              DiscoveredPool discovered_pool, const std::map<std::string, int>& inherited_listeners);

  ~EdgeService();

  /// Applies a changed file. Throws boost::system::system_error if a listener can't be opened; nothing is
  /// changed then.
  void Reload(std::shared_ptr<const EdgeConfig> config, const Settings& settings, Millis connect_timeout);
  /// The platform's settings, with the tunnels' class added if a pool of `config` uses the discovered hosts.
  /// Throws EdgeError if the platform's settings have a class of that name.
  static Settings AddTunnelClass(Settings settings, const EdgeConfig& config);
  /// Starts or ends the maintenance of a host in each pool of the file that lists it, now or after a reload.
  void SetMaintenance(const std::string& host, bool in_maintenance);
  /// The hosts in maintenance that a pool of the file lists.
  std::vector<std::string> HostsInMaintenance() const;
  /// Whether a pool of the file lists this host.
  bool HasHost(const std::string& host) const;
  /// Fails all requests for tunnels and closes all open tunnels, before the process ends.
  void FailAll();

  /// The server that the tunnels' clients connect to.
  TunnelServer& front() { return front_; }
  const EdgeConfig& config() const { return *config_; }

 private:
  struct Pool;
  void Apply(const EdgeConfig& config, const Settings& settings);
  TunnelServer::Handlers Handlers();
  /// The core that serves a pool; null if there is no such pool.
  core::Gateway* FindCore(const std::string& pool);

  boost::asio::io_context& io_;
  core::Clock& clock_;
  std::shared_ptr<const EdgeConfig> config_;
  const std::uint64_t seed_;
  Millis connect_timeout_;
  const DiscoveredPool discovered_pool_;
  std::map<std::string, std::unique_ptr<Pool>>
      pools_;  // a pool that a reload removed stays until its last tunnel has ended
  std::set<std::string> in_maintenance_;  // all hosts that operators have put into maintenance
  TunnelServer front_;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_EDGE_SERVICE_HPP_
