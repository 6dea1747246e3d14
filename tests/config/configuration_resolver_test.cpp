/// @file
/// The order of the sources of a configuration, as a table without processes.
#include "config/configuration_resolver.hpp"

#include <gtest/gtest.h>

#include "peers.hpp"

namespace meadowyard::testing {
namespace {

using config::Occasion;
using config::ValueSource;

constexpr const char* kVariableAddress = "127.0.0.1:1";
constexpr const char* kFileInForceAddress = "127.0.0.1:2";  // in the file that was accepted last
constexpr const char* kInForceAddress = "127.0.0.1:3";      // asked now
constexpr const char* kChangedAddress = "127.0.0.1:4";

nlohmann::json Document(const char* discovery) {
  nlohmann::json document = {
      {"listen", "127.0.0.1:80"}, {"limits", {{"sockets", 300}}}, {"settings", TestSettings()}};
  if (discovery != nullptr) document["discovery"] = discovery;
  return document;
}

config::ConfigurationFile Usable(nlohmann::json document) { return {std::move(document), ""}; }

config::ConfigurationInForce InForce(const char* discovery_in_file) {
  return {std::make_shared<const nlohmann::json>(Document(discovery_in_file)),
          *discovery::ParseAddress(kInForceAddress)};
}

struct Row {
  const char* description;
  Occasion occasion;
  const char* variable;          // null: NODE_DISCOVERY is not set
  const char* file;              // null: the file names no discovery
  bool has_in_force;             // false: a start, or the predecessor's state was lost
  const char* file_in_force;     // as `file`
  const char* expected_address;  // null: no configuration
  ValueSource expected_source;
};

const char* const kVariable = kVariableAddress;
const Row kRows[] = {
    {"start: the variable first", Occasion::kStart, kVariable, kChangedAddress, false, nullptr,
     kVariableAddress, ValueSource::kEnvironment},
    {"start: the file without a variable", Occasion::kStart, nullptr, kChangedAddress, false, nullptr,
     kChangedAddress, ValueSource::kFile},
    {"start: the variable alone", Occasion::kStart, kVariable, nullptr, false, nullptr, kVariableAddress,
     ValueSource::kEnvironment},
    {"start: neither", Occasion::kStart, nullptr, nullptr, false, nullptr, nullptr, ValueSource::kFile},
    {"start: the variable is no address", Occasion::kStart, "nowhere", kChangedAddress, false, nullptr,
     nullptr, ValueSource::kFile},
    {"reload: a changed file", Occasion::kReload, kVariable, kChangedAddress, true, kFileInForceAddress,
     kChangedAddress, ValueSource::kFile},
    {"reload: the same file", Occasion::kReload, kVariable, kFileInForceAddress, true, kFileInForceAddress,
     kFileInForceAddress, ValueSource::kFile},
    {"reload: the file names discovery for the first time", Occasion::kReload, kVariable, kChangedAddress,
     true, nullptr, kChangedAddress, ValueSource::kFile},
    {"reload: the file never named it", Occasion::kReload, kVariable, nullptr, true, nullptr, kInForceAddress,
     ValueSource::kInForce},
    {"hot restart: the same file", Occasion::kHotRestart, kVariable, kFileInForceAddress, true,
     kFileInForceAddress, kInForceAddress, ValueSource::kInForce},
    {"hot restart: a changed file", Occasion::kHotRestart, kVariable, kChangedAddress, true,
     kFileInForceAddress, kChangedAddress, ValueSource::kFile},
    {"hot restart: the file names discovery for the first time", Occasion::kHotRestart, kVariable,
     kChangedAddress, true, nullptr, kChangedAddress, ValueSource::kFile},
    {"hot restart: the file never named it", Occasion::kHotRestart, kVariable, nullptr, true, nullptr,
     kInForceAddress, ValueSource::kInForce},
    {"hot restart without a variable", Occasion::kHotRestart, nullptr, kFileInForceAddress, true,
     kFileInForceAddress, kInForceAddress, ValueSource::kInForce},
    {"lost state: the file first", Occasion::kHotRestart, kVariable, kChangedAddress, false, nullptr,
     kChangedAddress, ValueSource::kFile},
    {"lost state: the variable", Occasion::kHotRestart, kVariable, nullptr, false, nullptr, kVariableAddress,
     ValueSource::kEnvironment},
    {"lost state: neither", Occasion::kHotRestart, nullptr, nullptr, false, nullptr, nullptr,
     ValueSource::kFile},
};

config::Environment EnvironmentWith(const char* discovery) {
  config::Environment environment;
  if (discovery != nullptr) environment.discovery = discovery;
  return environment;
}

// Guards the order of the sources of discovery's address for a file that can be used.
TEST(ConfigurationResolver, TakesDiscoveryFromTheRightSource) {
  for (const Row& row : kRows) {
    SCOPED_TRACE(row.description);
    const auto in_force = InForce(row.file_in_force);
    const auto resolve = [&] {
      return config::ResolveConfiguration(row.occasion, EnvironmentWith(row.variable),
                                          Usable(Document(row.file)), row.has_in_force ? &in_force : nullptr);
    };
    if (row.expected_address == nullptr) {
      EXPECT_THROW(static_cast<void>(resolve()), ConfigurationError);
      continue;
    }
    const config::ResolvedConfiguration resolved = resolve();
    EXPECT_EQ(discovery::FormatAddress(resolved.configuration.discovery_address), row.expected_address);
    EXPECT_EQ(resolved.discovery_source, row.expected_source);
    EXPECT_EQ(resolved.document_source, ValueSource::kFile);
    EXPECT_EQ(resolved.rejection, "");
  }
}

// Files that no process may use while the document of InForce() is in force.
std::vector<config::ConfigurationFile> UnusableFiles() {
  nlohmann::json without_discovery = Document(nullptr), without_limits = Document(kChangedAddress),
                 wrong_value = Document(kChangedAddress), wrong_type = Document(kChangedAddress);
  without_limits.erase("limits");
  wrong_value["settings"]["categories"][1]["deadlineMs"] = 0;
  wrong_type["discovery"] = 8500;
  return {{std::nullopt, "can't be read"},
          Usable(nlohmann::json::object()),
          Usable(without_discovery),
          Usable(without_limits),
          Usable(wrong_value),
          Usable(wrong_type),
          Usable(Document("nowhere")),
          Usable(Document(""))};
}

// Guards against a file that is used in part: with any fault all values stay as they are in force, whatever
// the variable has.
TEST(ConfigurationResolver, KeepsAllValuesIfTheFileCannotBeUsed) {
  const auto in_force = InForce(kFileInForceAddress);
  for (const Occasion occasion : {Occasion::kReload, Occasion::kHotRestart}) {
    for (const char* const variable : {kVariable, static_cast<const char*>(nullptr)}) {
      for (const config::ConfigurationFile& file : UnusableFiles()) {
        SCOPED_TRACE(file.document ? file.document->dump() : file.error);
        const auto resolved =
            config::ResolveConfiguration(occasion, EnvironmentWith(variable), file, &in_force);
        EXPECT_EQ(resolved.configuration.discovery_address, in_force.discovery_address);
        EXPECT_EQ(*resolved.configuration.document, *in_force.document);
        EXPECT_EQ(resolved.document_source, ValueSource::kInForce);
        EXPECT_EQ(resolved.discovery_source, ValueSource::kInForce);
        EXPECT_NE(resolved.rejection, "");
        EXPECT_EQ(resolved.rejection.find('\n'), std::string::npos);
      }
    }
  }
}

// Guards against a start with a file that can't be used.
TEST(ConfigurationResolver, ThrowsIfNothingIsInForce) {
  for (const Occasion occasion : {Occasion::kStart, Occasion::kHotRestart}) {
    EXPECT_THROW(static_cast<void>(config::ResolveConfiguration(occasion, EnvironmentWith(kVariable),
                                                                {std::nullopt, "can't be read"}, nullptr)),
                 ConfigurationError);
  }
}

// Guards against the revision of one discovery that is used to ask another.
TEST(ConfigurationResolver, UsesTheKnownRevisionOnlyForTheDiscoveryOfTheFile) {
  nlohmann::json document = Document(kChangedAddress);
  document["known"] = List(41, true, {Member("h0", Loopback(80))});
  const auto known_revision = [&](const char* variable, Occasion occasion = Occasion::kStart) {
    return config::ResolveConfiguration(occasion, EnvironmentWith(variable), Usable(document), nullptr)
        .configuration.known_revision;
  };
  EXPECT_EQ(known_revision(nullptr), 41);
  EXPECT_EQ(known_revision(kChangedAddress), 41);
  EXPECT_EQ(known_revision(kVariableAddress), std::nullopt);
  EXPECT_EQ(known_revision(kVariableAddress, Occasion::kHotRestart), std::nullopt)
      << "after a move of discovery the list in the file may be that of the former one";
  document.erase("discovery");
  EXPECT_EQ(known_revision(kVariableAddress), 41);
}

// Guards against a predecessor that is not found because the file can't be used.
TEST(ConfigurationResolver, FindsThePredecessorWithoutAUsableFile) {
  config::Environment environment = EnvironmentWith(kVariable);
  environment.temporary_directory = "/tmp";
  const std::string path = config::HandoverSocketPath("/tmp", "127.0.0.1:80");
  nlohmann::json invalid = Document(kChangedAddress);
  invalid.erase("settings");
  invalid["admin"] = "127.0.0.1:81";
  EXPECT_EQ(config::FindHandoverPath(environment, Usable(invalid)), path);
  EXPECT_EQ(config::FindHandoverPath(environment, Usable(Document(nullptr))), "") << "no admin interface";
  EXPECT_EQ(config::FindHandoverPath(environment, {std::nullopt, ""}), "") << "the address is not known";
  environment.listen = "127.0.0.1:80";
  EXPECT_EQ(config::FindHandoverPath(environment, {std::nullopt, ""}), path);
  environment.temporary_directory.reset();
  EXPECT_EQ(config::FindHandoverPath(environment, Usable(invalid)), "");
}

}  // namespace
}  // namespace meadowyard::testing
