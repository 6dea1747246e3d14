// The tunnels of one gateway: the file in force, a core for each pool of its own, and the front.
#ifndef MEADOWYARD_APP_EDGE_SERVICE_HPP_
#define MEADOWYARD_APP_EDGE_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/gateway.hpp"
#include "edge/edge_config.hpp"
#include "fronts/tunnel/tunnel_server.hpp"
#include "upstream/tunnel_dialer.hpp"

namespace meadowyard::app {

class EdgeService {
 public:
  struct Fleet {  // what serves the discovered hosts
    core::Gateway* core = nullptr;
    TunnelDialer* dialer = nullptr;
    std::function<bool()> ready;
    std::function<std::string(const std::string& host)> unusable;
  };
  // Listens at once, at `inherited` sockets where the file has them. `settings` are the platform's. Throws
  // boost::system::system_error if it can't.
  EdgeService(boost::asio::io_context& io, core::Clock& clock, std::shared_ptr<const EdgeConfig> config,
              const Settings& settings, Millis dial, std::uint64_t seed, Fleet fleet,
              const std::map<std::string, int>& inherited);

  ~EdgeService();

  // All of a changed file, or nothing of it: throws if a listener can't be opened.
  void Reload(std::shared_ptr<const EdgeConfig> config, const Settings& settings, Millis dial);
  // The platform's settings for the fleet with the tunnels' class, if some route goes there.
  static Settings WithTunnels(Settings settings, const EdgeConfig& config);
  // A host is left out or put back in each of the file's own pools that has it.
  void Maintained(const std::string& host, bool out);
  bool Knows(const std::string& host) const;
  void FailAll();

  TunnelServer& front() { return front_; }
  const EdgeConfig& config() const { return *config_; }

 private:
  struct Pool;
  void Apply(const EdgeConfig& config, const Settings& settings);
  TunnelServer::Handlers Handlers();
  core::Gateway* CoreOf(const std::string& pool);

  boost::asio::io_context& io_;
  core::Clock& clock_;
  std::shared_ptr<const EdgeConfig> config_;
  const std::uint64_t seed_;
  Millis dial_;
  const Fleet fleet_;
  std::map<std::string, std::unique_ptr<Pool>>
      pools_;  // a pool that the file has no more stays until it is empty
  TunnelServer front_;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_EDGE_SERVICE_HPP_
