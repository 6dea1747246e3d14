// meadowyard: the gateway and its operators' commands.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>

#include "app/serve.hpp"
#include "config/config.hpp"
#include "log/log.hpp"

int main(int argc, char** argv) {
  CLI::App app{"meadowyard: an HTTP gateway. Without a command it serves.", "meadowyard"};
  app.set_version_flag("--version", "meadowyard " MEADOWYARD_VERSION);
  std::string form = "text", level = "info", file;
  app.add_option("--log-format", form, "log lines as text or json")->check(CLI::IsMember({"text", "json"}));
  app.add_option("--log-level", level, "least level that is logged")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
  app.require_subcommand(0, 1);
  app.fallthrough();
  auto* const serve = app.add_subcommand(
      "serve",
      "run one gateway in the foreground: NODE_CONFIG names its file; NODE_LISTEN, NODE_DISCOVERY and "
      "NODE_ADMIN win over it");
  auto* const check =
      app.add_subcommand("check", "check a configuration file; exit status 1 if it can't be used");
  check->add_option("FILE", file, "the file that NODE_CONFIG would name")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    meadowyard::StartLog(form == "json" ? meadowyard::LogForm::kJson : meadowyard::LogForm::kText, level);
    if (check->parsed()) {
      meadowyard::LoadConfig(
          [&](const char* name) { return std::string(name) == "NODE_CONFIG" ? file.c_str() : nullptr; });
      std::printf("%s: good\n", file.c_str());
      return 0;
    }
    (void)serve;
    meadowyard::Serve();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "meadowyard: %s\n", error.what());
    return 1;
  }
}
