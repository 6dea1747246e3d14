// forkwick: one gateway on real sockets. Runs in the foreground until SIGTERM; SIGHUP has it read its
// configuration again.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "config.hpp"
#include "gateway.hpp"
#include "handover.hpp"
#include "live_settings.hpp"
#include "state_text.hpp"

namespace {

namespace gw = opalswitch::gateway;

const char* Variable(const char* name) { return std::getenv(name); }

// The environment still tells where discovery was at the start: a changed file knows better.
const char* VariableAtReload(const char* name) {
  return std::strcmp(name, "NODE_DISCOVERY") == 0 ? nullptr : Variable(name);
}

// A file that was turned down is still there for the next version to find: it goes on with the one in force.
gw::Config Configure(const std::optional<gw::GatewayState>& state) {
  if (!state) return gw::LoadConfig(Variable);
  try {
    gw::Config config = gw::LoadConfig(Variable);
    // The environment is that of the first start; the process before this one has followed the file since.
    if (config.file->value("discovery", "") == state->discovery) {
      config.discovery = gw::ParseEndpoint(state->discovery).value_or(config.discovery);
    }
    return config;
  } catch (const gw::ConfigError& error) {
    std::fprintf(stderr, "forkwick: going on with the configuration in force: %s\n", error.what());
    return gw::ParseConfig(nlohmann::json::parse(state->file), Variable);
  }
}

std::string FindPredecessor() {
  try {
    return gw::LoadConfig(Variable).handover;
  } catch (const gw::ConfigError&) {
    // Told again below, unless there is a process to follow: the variables may be enough to find it.
  }
  const char* const folder = Variable("TMPDIR");
  const char* const listen = Variable("NODE_LISTEN");
  if (folder == nullptr || listen == nullptr || Variable("NODE_ADMIN") == nullptr) return "";
  return gw::HandoverPath(folder, listen);
}

}  // namespace

int main() {
  try {
    boost::asio::io_context io(1);
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    auto inheritance = gw::AskPredecessor(FindPredecessor());
    const auto state = inheritance ? gw::ParseState(inheritance->state) : std::nullopt;
    if (!state) inheritance.reset();
    const gw::Config config = Configure(state);
    gw::Gateway gateway(io, config, std::move(inheritance), state);
    gw::LiveSettings settings(VariableAtReload, config,
                              {[&](const gw::Config& changed) { gateway.Reload(changed); },
                               [&](const std::string& why) {
                                 std::fprintf(stderr, "forkwick: configuration not reloaded: %s\n",
                                              why.c_str());
                                 gateway.KeptSettings();
                               }});
    ends.async_wait([&](const boost::system::error_code& ec, int) {
      if (!ec) gateway.Stop([&] { io.stop(); });
    });
    std::function<void()> await_reload = [&] {
      reloads.async_wait([&](const boost::system::error_code& ec, int) {
        if (ec) return;
        settings.Reload();
        await_reload();
      });
    };
    await_reload();
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "forkwick: %s\n", error.what());
    return 1;
  }
}
