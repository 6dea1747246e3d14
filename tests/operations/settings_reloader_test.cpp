// Settings that change while the gateway serves: which files are taken, and what becomes of requests.
#include "operations/settings_reloader.hpp"

#include <gtest/gtest.h>

#include "peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

// A configuration's file, and what becomes of it at each reload.
struct Reloads {
  Reloads() {
    file = {{"seed", "5"},
            {"name", "n1"},
            {"listen", "127.0.0.1:0"},
            {"discovery", "127.0.0.1:1"},
            {"limits", {{"sockets", 300}}},
            {"settings", TestSettings()}};
    Write(file.dump());
    settings.emplace(Variable(), meadowyard::config::LoadConfiguration(Variable()),
                     operations::SettingsReloader::Callbacks{
                         [this](const meadowyard::config::Configuration& config) { taken.push_back(config); },
                         [this](const std::string& why) { refused.push_back(why); }});
  }
  ~Reloads() { std::remove(path.c_str()); }

  std::function<const char*(const char*)> Variable() const {
    return [this](const char* name) { return std::string(name) == "NODE_CONFIG" ? path.c_str() : nullptr; };
  }
  void Write(const std::string& text) const { std::ofstream(path) << text; }

  const std::string path = ::testing::TempDir() + "meadowyard-live-" + std::to_string(getpid()) + ".json";
  nlohmann::json file;
  std::vector<meadowyard::config::Configuration> taken;
  std::vector<std::string> refused;
  std::optional<operations::SettingsReloader> settings;
};

// Guards a gateway in service against files that were cut short or mistyped: each is turned down whole, by
// one line that names the field.
TEST(SettingsReloader, RejectsAFileThatCannotBeRight) {
  Reloads reloads;
  const std::string whole = reloads.file.dump();
  const auto spoilt = [&](const char* path, const nlohmann::json& value) {
    nlohmann::json file = reloads.file;
    file[nlohmann::json::json_pointer(path)] = value;
    return file.dump();
  };
  const auto without = [&](const char* parent, const char* key) {
    nlohmann::json file = reloads.file;
    file[nlohmann::json::json_pointer(parent)].erase(key);
    return file.dump();
  };
  const std::vector<std::pair<std::string, std::string>> files = {
      {"", "NODE_CONFIG"},
      {whole.substr(0, whole.size() / 2), "NODE_CONFIG"},
      {whole + "}", "NODE_CONFIG"},
      {without("", "settings"), "settings"},
      {without("", "discovery"), "discovery"},
      {without("/settings", "categories"), "settings.categories"},
      {without("/settings/limits", "maxAttempts"), "settings.limits.maxAttempts"},
      {without("/settings/categories/1", "idempotency"), "settings.categories.idempotency"},
      {spoilt("/settings/categories", nlohmann::json::array()), "classes"},
      {spoilt("/settings/categories/0/deadlineMs", 0), "deadlineMs"},
      {spoilt("/settings/categories/1/deadlineMs", -5), "deadlineMs"},
      {spoilt("/settings/categories/1/deadlineMs", "1500"), "deadlineMs"},
      {spoilt("/settings/categories/2/deadlineMs", nullptr), "deadlineMs"},
      {spoilt("/settings/limits/maxAttempts", 0), "maxAttempts"},
      {spoilt("/settings/limits/maxAttempts", "four"), "maxAttempts"},
      {spoilt("/settings/categories/1/name", "view"), "categories.name"},
      {spoilt("/settings/categories/1/idempotency", "often"), "classes.idempotency"},
      {spoilt("/settings/limits", 7), "settings.limits"},
  };
  for (const auto& [text, field] : files) {
    SCOPED_TRACE(field + ": " + text.substr(0, 60));
    reloads.Write(text);
    const std::size_t before = reloads.refused.size();
    reloads.settings->Reload();
    ASSERT_EQ(reloads.refused.size(), before + 1);
    EXPECT_NE(reloads.refused.back().find(field), std::string::npos) << reloads.refused.back();
    EXPECT_EQ(reloads.refused.back().find('\n'), std::string::npos);
  }
  EXPECT_TRUE(reloads.taken.empty());
}

// Guards what may change: classes come and go, lists may be absent, and new keys are no fault.
TEST(SettingsReloader, AcceptsAFileWithOtherClasses) {
  Reloads reloads;
  nlohmann::json file = reloads.file;
  auto& classes = file["settings"]["categories"];
  classes.push_back(classes[2]);
  classes[3]["name"] = "book";
  classes.erase(0);
  file["settings"]["limits"]["maxAttempts"] = 2;
  file["settings"]["limits"]["brandNew"] = 1;
  file.erase("seed");
  reloads.Write(file.dump());
  reloads.settings->Reload();
  EXPECT_TRUE(reloads.refused.empty()) << reloads.refused.back();
  ASSERT_EQ(reloads.taken.size(), 1u);
  EXPECT_EQ(reloads.taken[0].settings.max_attempts, 2);
  EXPECT_EQ(reloads.taken[0].settings.classes.back().name, "book");
}

meadowyard::config::Configuration Changed(const World& world, const std::function<void(Settings&)>& change) {
  meadowyard::config::Configuration config = world.config;
  change(config.settings);
  return config;
}

// Guards requests over a change of their class: one that is open keeps the class it came under, a client that
// still asks the old way is understood for a moment, and the new rules bind what asks the new way.
TEST(SettingsReloader, KeepsTheClassOfOpenRequests) {
  World world(2);
  const auto open = world.Connect();
  open->Send(ApiCall("r1"));
  const auto sent = [&] { return world.host(0).requests.size() + world.host(1).requests.size(); };
  ASSERT_TRUE(world.Until([&] { return sent() == 1; }));
  world.gateway->Reload(Changed(world, [](Settings& s) {
    s.classes[0].idempotency = Idempotency::kNonIdempotent;  // "view" was safe
    s.classes.push_back(s.classes[2]);
    s.classes.back().name = "book";
  }));
  Peer& first = *world.hosts[world.host(0).requests.empty() ? 1 : 0];
  first.requests[0].Answer(500, "");
  ASSERT_TRUE(world.Until([&] { return sent() == 2; })) << "it was safe when it came: it may go out again";
  const auto other = world.Connect();
  other->Send(
      "POST /api HTTP/1.1\r\nReq-Id: r2\r\nReq-Kind: view\r\nReq-Deadline: 5000m\r\n"
      "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(world.Until([&] { return sent() == 3; }));
  for (const auto& host : world.hosts) {
    for (const auto& taken : host->requests) {
      if (taken.http["Req-Id"] == "r2") taken.Answer(500, "");
    }
  }
  EXPECT_EQ(other->Await().result(), http::status::bad_gateway);  // may have run: not sent again
  const auto added = world.Connect();
  added->Send(ApiCall("r3", "book"));
  EXPECT_TRUE(world.Until([&] { return sent() == 4; }));
}

}  // namespace
}  // namespace meadowyard::testing
