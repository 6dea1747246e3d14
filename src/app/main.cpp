/// @file
/// The command line of meadowyard: runs the gateway or one of the operators' commands.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>

#include "app/serve.hpp"
#include "config/config.hpp"
#include "edge/edge_config.hpp"
#include "log/log.hpp"
#include "membership/peers_config.hpp"

namespace {

int Explain(const std::string& edge_path, const std::string& destination) {
  if (edge_path.empty()) throw meadowyard::EdgeError("--edge: missing; it names the file with the routes");
  const meadowyard::EdgeConfig config = meadowyard::LoadEdge(edge_path);
  std::string reason;
  const auto target = meadowyard::ParseDestination(destination, reason);
  if (!target) throw meadowyard::EdgeError(destination + ": " + reason);
  std::fputs(config.routes->Explain(*target).c_str(), stdout);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"meadowyard: an HTTP gateway. Without a command it serves.", "meadowyard"};
  app.set_version_flag("--version", "meadowyard " MEADOWYARD_VERSION);
  std::string log_format = "text", log_level = "info", file, edge_path, peers_path, destination;
  app.add_option("--log-format", log_format, "log lines as text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--log-level", log_level, "least level that is logged")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
  app.require_subcommand(0, 1);
  app.fallthrough();
  auto* const serve = app.add_subcommand(
      "serve",
      "run one gateway in the foreground: NODE_CONFIG names its file; NODE_LISTEN, NODE_DISCOVERY and "
      "NODE_ADMIN win over it");
  app.add_option("--edge", edge_path, "the operators' file for tunnels (deploy/edge.toml is an example)")
      ->envname("MEADOWYARD_EDGE");
  app.add_option(
         "--peers", peers_path,
         "the operators' file of the gateways in front of the same hosts (deploy/peers.toml is an example)")
      ->envname("MEADOWYARD_PEERS");
  auto* const check = app.add_subcommand(
      "check", "check a file (.toml: of the operators); exit status 1 if it can't be used");
  check->add_option("FILE", file, "the file that NODE_CONFIG would name")->required();
  auto* const routes = app.add_subcommand("routes", "the routes of the file that --edge names");
  auto* const explain = routes->add_subcommand("explain", "say which route takes a destination, and why");
  explain->add_option("HOST:PORT", destination, "what a client would ask for")->required();
  routes->require_subcommand(1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    meadowyard::log::StartLog(
        log_format == "json" ? meadowyard::log::Format::kJson : meadowyard::log::Format::kText, log_level);
    if (explain->parsed()) return Explain(edge_path, destination);
    if (check->parsed() && file.ends_with(".toml") && meadowyard::membership::IsPeersFile(file)) {
      meadowyard::membership::LoadPeers(file, std::nullopt);
      std::printf("%s: good\n", file.c_str());
      return 0;
    }
    if (check->parsed() && file.ends_with(".toml")) {
      for (const std::string& warning : meadowyard::LoadEdge(file).warnings)
        std::printf("warning: %s\n", warning.c_str());
      std::printf("%s: good\n", file.c_str());
      return 0;
    }
    if (check->parsed()) {
      meadowyard::config::LoadConfiguration(
          [&](const char* name) { return std::string(name) == "NODE_CONFIG" ? file.c_str() : nullptr; });
      std::printf("%s: good\n", file.c_str());
      return 0;
    }
    (void)serve;
    meadowyard::app::Serve(edge_path, peers_path);
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "meadowyard: %s\n", error.what());
    return 1;
  }
}
