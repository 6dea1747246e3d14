#include "app/serve.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "app/emergency_memory_reserve.hpp"
#include "app/service.hpp"
#include "config/config.hpp"
#include "log/log.hpp"
#include "operations/handover_state.hpp"
#include "operations/predecessor_state.hpp"
#include "operations/settings_reloader.hpp"

namespace meadowyard::app {
namespace {

const char* Variable(const char* name) { return std::getenv(name); }

// The environment still tells where discovery was at the start: a changed file knows better.
const char* VariableAtReload(const char* name) {
  return std::strcmp(name, "NODE_DISCOVERY") == 0 ? nullptr : Variable(name);
}

// A file that was turned down is still there for the next version to find: it goes on with the one in force.
config::Configuration Configure(const std::optional<operations::HandoverState>& state) {
  if (!state) return config::LoadConfiguration(Variable);
  try {
    config::Configuration config = config::LoadConfiguration(Variable);
    // The environment is that of the first start; the process before this one has followed the file since.
    if (config.document->value("discovery", "") == state->discovery_address) {
      config.discovery_address =
          discovery::ParseAddress(state->discovery_address).value_or(config.discovery_address);
    }
    return config;
  } catch (const ConfigurationError& error) {
    log::Write(log::Level::kWarn, "configuration_kept",
               {{"text", "going on with the configuration in force"}, {"why", error.what()}});
    return config::ParseConfiguration(nlohmann::json::parse(state->configuration), Variable);
  }
}

std::string FindPredecessor() {
  try {
    return config::LoadConfiguration(Variable).handover_path;
  } catch (const ConfigurationError&) {
    // Told again below, unless there is a process to follow: the variables may be enough to find it.
  }
  const char* const folder = Variable("TMPDIR");
  const char* const listen = Variable("NODE_LISTEN");
  if (folder == nullptr || listen == nullptr || Variable("NODE_ADMIN") == nullptr) return "";
  return config::HandoverSocketPath(folder, listen);
}

// The same for the operators' file.
std::shared_ptr<const EdgeConfig> ConfigureEdge(const std::string& path,
                                                const std::optional<operations::HandoverState>& state) {
  if (path.empty()) return nullptr;
  try {
    return std::make_shared<const EdgeConfig>(LoadEdge(path));
  } catch (const EdgeError& error) {
    if (!state || state->edge_configuration.empty()) throw;
    log::Write(log::Level::kWarn, "edge_kept",
               {{"text", "going on with the file in force"}, {"why", error.what()}});
    return std::make_shared<const EdgeConfig>(ParseEdge(path, state->edge_configuration));
  }
}

}  // namespace

void Serve(const std::string& edge, const std::string& peers) {
  // A log that can't be written to is no reason to end.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  EmergencyMemoryReserve::Install();
  boost::asio::io_context io(1);
  boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
  auto predecessor = operations::RequestPredecessorState(FindPredecessor());
  const auto state = predecessor ? operations::ParseHandoverState(predecessor->state) : std::nullopt;
  if (!state) predecessor.reset();
  const config::Configuration config = Configure(state);
  Service service(io, config, std::move(predecessor), state, ConfigureEdge(edge, state));
  const auto load_peers = [&peers, &config] {
    const char* const name = Variable("NODE_NAME");
    return membership::LoadPeers(peers, name != nullptr ? name : config.document->value("name", ""));
  };
  if (!peers.empty()) service.KnowPeers(load_peers());
  operations::SettingsReloader settings(VariableAtReload, config,
                                        {[&](const config::Configuration& changed) {
                                           service.Reload(changed);
                                           log::Write(log::Level::kDebug, "configuration_loaded");
                                         },
                                         [&](const std::string& why) {
                                           log::Write(log::Level::kWarn, "configuration_kept",
                                                      {{"text", "configuration not reloaded"}, {"why", why}});
                                           service.KeptSettings();
                                         }});
  ends.async_wait([&](const boost::system::error_code& ec, int) {
    if (!ec) service.Stop([&] { io.stop(); });
  });
  const auto reload_edge = [&] {
    if (edge.empty()) return;
    try {
      service.ReloadEdge(std::make_shared<const EdgeConfig>(LoadEdge(edge)));
      log::Write(log::Level::kInfo, "edge_loaded", {{"file", edge}});
    } catch (const std::exception& error) {
      log::Write(log::Level::kWarn, "edge_kept",
                 {{"text", "the file was not reloaded"}, {"why", error.what()}});
    }
  };
  const auto reload_peers = [&] {
    if (peers.empty()) return;
    try {
      service.KnowPeers(load_peers());
      log::Write(log::Level::kInfo, "peers_loaded", {{"file", peers}});
    } catch (const std::exception& error) {
      log::Write(log::Level::kWarn, "peers_kept",
                 {{"text", "the file was not reloaded"}, {"why", error.what()}});
    }
  };
  std::function<void()> await_reload = [&] {
    reloads.async_wait([&](const boost::system::error_code& ec, int) {
      if (ec) return;
      settings.Reload();
      reload_edge();
      reload_peers();
      await_reload();
    });
  };
  await_reload();
  // A handler that could not go on, for want of memory perhaps, ends alone: what it held is swept up later.
  for (bool ended = false; !ended;) {
    try {
      io.run();
      ended = true;
    } catch (const std::exception& error) {
      log::Write(log::Level::kError, "handler_failed", {{"why", error.what()}});
    }
  }
}

}  // namespace meadowyard::app
