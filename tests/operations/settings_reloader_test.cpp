/// @file
/// Reloading of the settings while the gateway serves: which files are accepted, and the effect on requests.
#include "operations/settings_reloader.hpp"

#include <gtest/gtest.h>

#include "peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

// A configuration file with a reloader, which records the result of each reload.
struct ReloadFixture {
  ReloadFixture() {
    file = {{"seed", "5"},
            {"name", "n1"},
            {"listen", "127.0.0.1:0"},
            {"discovery", "127.0.0.1:1"},
            {"limits", {{"sockets", 300}}},
            {"settings", TestSettings()}};
    Write(file.dump());
    const auto initial = meadowyard::config::LoadConfiguration(Variable());
    in_force = {initial.document, initial.discovery_address};
    settings.emplace(
        meadowyard::config::ReadEnvironment(Variable()), [this] { return in_force; },
        operations::SettingsReloader::Callbacks{
            [this](const meadowyard::config::ResolvedConfiguration& resolved) {
              accepted.push_back(resolved.configuration);
              in_force = {resolved.configuration.document, resolved.configuration.discovery_address};
            },
            [this](const std::string& reason) { rejected.push_back(reason); }});
  }
  ~ReloadFixture() { std::remove(path.c_str()); }

  std::function<const char*(const char*)> Variable() const {
    return [this](const char* name) { return std::string(name) == "NODE_CONFIG" ? path.c_str() : nullptr; };
  }
  void Write(const std::string& text) const { std::ofstream(path) << text; }

  const std::string path = ::testing::TempDir() + "meadowyard-live-" + std::to_string(getpid()) + ".json";
  nlohmann::json file;
  meadowyard::config::ConfigurationInForce in_force;
  std::vector<meadowyard::config::Configuration> accepted;
  std::vector<std::string> rejected;
  std::optional<operations::SettingsReloader> settings;
};

// Guards a serving gateway against truncated files and mistakes in a field: each file is rejected without any
// effect, with one line that names the field.
TEST(SettingsReloader, RejectsInvalidFiles) {
  ReloadFixture fixture;
  const std::string valid_file = fixture.file.dump();
  const auto with_value = [&](const char* path, const nlohmann::json& value) {
    nlohmann::json file = fixture.file;
    file[nlohmann::json::json_pointer(path)] = value;
    return file.dump();
  };
  const auto without_key = [&](const char* parent, const char* key) {
    nlohmann::json file = fixture.file;
    file[nlohmann::json::json_pointer(parent)].erase(key);
    return file.dump();
  };
  const std::vector<std::pair<std::string, std::string>> files = {
      {"", "NODE_CONFIG"},
      {valid_file.substr(0, valid_file.size() / 2), "NODE_CONFIG"},
      {valid_file + "}", "NODE_CONFIG"},
      {without_key("", "settings"), "settings"},
      {without_key("", "discovery"), "discovery"},
      {without_key("/settings", "categories"), "settings.categories"},
      {without_key("/settings/limits", "maxAttempts"), "settings.limits.maxAttempts"},
      {without_key("/settings/categories/1", "idempotency"), "settings.categories.idempotency"},
      {with_value("/settings/categories", nlohmann::json::array()), "classes"},
      {with_value("/settings/categories/0/deadlineMs", 0), "deadlineMs"},
      {with_value("/settings/categories/1/deadlineMs", -5), "deadlineMs"},
      {with_value("/settings/categories/1/deadlineMs", "1500"), "deadlineMs"},
      {with_value("/settings/categories/2/deadlineMs", nullptr), "deadlineMs"},
      {with_value("/settings/limits/maxAttempts", 0), "maxAttempts"},
      {with_value("/settings/limits/maxAttempts", "four"), "maxAttempts"},
      {with_value("/settings/categories/1/name", "view"), "categories.name"},
      {with_value("/settings/categories/1/idempotency", "often"), "classes.idempotency"},
      {with_value("/settings/limits", 7), "settings.limits"},
  };
  for (const auto& [text, field] : files) {
    SCOPED_TRACE(field + ": " + text.substr(0, 60));
    fixture.Write(text);
    const std::size_t rejected_before = fixture.rejected.size();
    fixture.settings->Reload();
    ASSERT_EQ(fixture.rejected.size(), rejected_before + 1);
    EXPECT_NE(fixture.rejected.back().find(field), std::string::npos) << fixture.rejected.back();
    EXPECT_EQ(fixture.rejected.back().find('\n'), std::string::npos);
  }
  EXPECT_TRUE(fixture.accepted.empty());
}

// Guards against the rejection of valid changes: added and removed classes, absent optional fields, and
// unknown keys.
TEST(SettingsReloader, AcceptsAFileWithOtherClasses) {
  ReloadFixture fixture;
  nlohmann::json file = fixture.file;
  auto& classes = file["settings"]["categories"];
  classes.push_back(classes[2]);
  classes[3]["name"] = "book";
  classes.erase(0);
  file["settings"]["limits"]["maxAttempts"] = 2;
  file["settings"]["limits"]["brandNew"] = 1;
  file.erase("seed");
  fixture.Write(file.dump());
  fixture.settings->Reload();
  EXPECT_TRUE(fixture.rejected.empty()) << fixture.rejected.back();
  ASSERT_EQ(fixture.accepted.size(), 1u);
  EXPECT_EQ(fixture.accepted[0].settings.max_attempts, 2);
  EXPECT_EQ(fixture.accepted[0].settings.classes.back().name, "book");
}

meadowyard::config::Configuration WithChangedSettings(const World& world,
                                                      const std::function<void(Settings&)>& change) {
  meadowyard::config::Configuration config = world.config;
  change(config.settings);
  return config;
}

// Guards against a configuration that is applied in part because a step fails: what is handed over, shown and
// used has to stay as it was.
TEST(SettingsReloader, AppliesAllOfAConfigurationOrNothing) {
  World world(1, TestSettings(), 300, /*enable_admin=*/true);
  operations::HotRestartDelegate& gateway = *world.gateway;
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
  const std::string state_before = gateway.SerializeState();
  Peer other_discovery(world.io);
  meadowyard::config::Configuration config = WithChangedSettings(world, [](Settings& settings) {
    settings.max_attempts = 0;  // rejected by the decision module, the last of the steps
    settings.classes.pop_back();
  });
  config.discovery_address = other_discovery.address();
  config.document = std::make_shared<const nlohmann::json>(nlohmann::json::object());
  EXPECT_THROW(world.gateway->Reload(config), ConfigurationError);
  EXPECT_EQ(nlohmann::json::parse(gateway.SerializeState())["file"],
            nlohmann::json::parse(state_before)["file"]);
  EXPECT_EQ(discovery::FormatAddress(world.gateway->configuration_in_force().discovery_address),
            ToText(world.discovery.address()));
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host(0).requests.size() == 1; }));
  world.host(0).requests[0].Answer(200, "");
  EXPECT_EQ(client->Await().result_int(), 200u);
  EXPECT_TRUE(other_discovery.requests.empty());
}

// Guards requests while their class changes: an open request keeps the settings under which it arrived, a
// client that still sends the class's former method or key is accepted for a transition period, and the new
// settings apply to requests that follow them.
TEST(SettingsReloader, KeepsTheClassOfOpenRequests) {
  World world(2);
  const auto open_client = world.Connect();
  open_client->Send(ApiCall("r1"));
  const auto count_sent_requests = [&] {
    return world.host(0).requests.size() + world.host(1).requests.size();
  };
  ASSERT_TRUE(world.Until([&] { return count_sent_requests() == 1; }));
  world.gateway->Reload(WithChangedSettings(world, [](Settings& new_settings) {
    new_settings.classes[0].idempotency = Idempotency::kNonIdempotent;  // "view" was safe before
    new_settings.classes.push_back(new_settings.classes[2]);
    new_settings.classes.back().name = "book";
  }));
  Peer& first_host = *world.hosts[world.host(0).requests.empty() ? 1 : 0];
  first_host.requests[0].Answer(500, "");
  ASSERT_TRUE(world.Until([&] { return count_sent_requests() == 2; }))
      << "safe when it arrived, so it may be retried";
  const auto second_client = world.Connect();
  second_client->Send(
      "POST /api HTTP/1.1\r\nReq-Id: r2\r\nReq-Kind: view\r\nReq-Deadline: 5000m\r\n"
      "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(world.Until([&] { return count_sent_requests() == 3; }));
  for (const auto& host : world.hosts) {
    for (const auto& accepted : host->requests) {
      if (accepted.http["Req-Id"] == "r2") accepted.Answer(500, "");
    }
  }
  EXPECT_EQ(second_client->Await().result(), http::status::bad_gateway);  // possibly executed: no retry
  const auto third_client = world.Connect();
  third_client->Send(ApiCall("r3", "book"));
  EXPECT_TRUE(world.Until([&] { return count_sent_requests() == 4; }));
}

}  // namespace
}  // namespace meadowyard::testing
