#include "app/serve.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "app/configuration_controller.hpp"
#include "app/emergency_memory_reserve.hpp"
#include "app/service.hpp"
#include "config/config.hpp"
#include "config/configuration_resolver.hpp"
#include "core/clock.hpp"
#include "log/log.hpp"
#include "operations/handover_state.hpp"
#include "operations/predecessor_state.hpp"

namespace meadowyard::app {
namespace {

const char* EnvironmentVariable(const char* name) { return std::getenv(name); }

// Logs a difference from this machine's wall clock that is no drift.
void AdoptClock(Millis offset, const char* source) {
  constexpr Millis kMaxDrift = 500;
  const Millis difference = offset - core::ClockOffset();
  if (std::abs(difference) > kMaxDrift) {
    log::Write(
        log::Level::kWarn, "clock_adopted",
        {{"source", source}, {"difference_ms", std::to_string(static_cast<std::int64_t>(difference))}});
  }
  core::AdoptClockOffset(offset);
}

// All machines read one clock: a host that started in the future shows that this one's wall clock is behind.
void AdvanceClockTo(const discovery::EndpointList& list) {
  Millis latest_start = 0;
  for (const discovery::EndpointRecord& host : list.endpoints)
    latest_start = std::max(latest_start, host.endpoint.started_at);
  const Millis behind = latest_start - core::Now();
  if (behind > 0) AdoptClock(core::ClockOffset() + behind, "endpoint_list");
}

}  // namespace

void Serve(const std::string& edge_path, const std::string& peers_path) {
  // The process must not end because its log's pipe is closed or its log's file has reached the size limit.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  EmergencyMemoryReserve::Install();
  boost::asio::io_context io(1);
  boost::asio::signal_set termination_signals(io, SIGTERM, SIGINT), reload_signals(io, SIGHUP);
  const config::Environment environment = config::ReadEnvironment(EnvironmentVariable);
  ConfigurationController configuration(environment, {.edge = edge_path, .peers = peers_path});
  auto search = operations::FindPredecessor(
      config::FindHandoverPath(environment, config::ReadConfigurationFile(environment)));
  const auto state =
      search.predecessor ? operations::ParseHandoverState(search.predecessor->state) : std::nullopt;
  if (!state) search.predecessor.reset();
  if (state && state->clock_offset) AdoptClock(*state->clock_offset, "predecessor");
  const config::Occasion occasion = search.found ? config::Occasion::kHotRestart : config::Occasion::kStart;
  const InitialConfiguration initial = configuration.Load(occasion, state);
  if (!state) AdvanceClockTo(initial.resolved.configuration.known_endpoints);
  Service service(io, initial.resolved.configuration, std::move(search.predecessor), state, initial.edge);
  configuration.Attach(service, initial);
  termination_signals.async_wait([&](const boost::system::error_code& ec, int) {
    if (!ec) service.Stop([&] { io.stop(); });
  });
  std::function<void()> await_reload = [&] {
    reload_signals.async_wait([&](const boost::system::error_code& ec, int) {
      if (ec) return;
      configuration.Reload();
      await_reload();
    });
  };
  await_reload();
  // An exception, for example std::bad_alloc, ends only the handler that threw it. Periodic sweeps release
  // what the handler held.
  for (bool finished = false; !finished;) {
    try {
      io.run();
      finished = true;
    } catch (const std::exception& error) {
      log::Write(log::Level::kError, "handler_failed", {{"why", error.what()}});
    }
  }
}

}  // namespace meadowyard::app
