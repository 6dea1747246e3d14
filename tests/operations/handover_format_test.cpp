/// @file
/// The formats that two versions of the program exchange during a hot restart: the state as JSON, and the
/// messages on the channel. The other process may run version ff1d420, so the formats must never change.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "operations/descriptor.hpp"
#include "operations/handover_channel.hpp"
#include "operations/handover_state.hpp"
#include "operations/hot_restart_coordinator.hpp"
#include "operations/hot_restart_delegate.hpp"

namespace meadowyard::testing {
namespace {

using Kind = operations::HandoverMessageKind;
using nlohmann::json;
using tcp = boost::asio::ip::tcp;

// ---- The state as JSON ---------------------------------------------------------------------------

tcp::endpoint Address(const std::string& address, unsigned short port) {
  return {boost::asio::ip::make_address(address), port};
}

discovery::EndpointList FixtureHosts() {
  Endpoint serving_host;
  serving_host.id = "web-1";
  serving_host.zone = "north";
  serving_host.kind = "large";
  serving_host.cell = "3";
  serving_host.weight = 2.5;
  serving_host.started_at = 1700000000123.25;
  Endpoint draining_host;
  draining_host.id = "web-\xc3\xa9";
  draining_host.zone = "south";
  draining_host.kind = "small";
  draining_host.cell = "\"c/7\"";
  draining_host.state = EndpointState::kDraining;
  draining_host.weight = 0.1;
  Endpoint removed_host;
  removed_host.id = "web-3";
  removed_host.state = EndpointState::kRemoved;
  discovery::EndpointList hosts;
  hosts.revision = 9007199254740993;  // not representable as a double
  hosts.endpoints = {{serving_host, Address("10.1.0.18", 3000)},
                     {draining_host, Address("::1", 65535)},
                     {removed_host, Address("10.1.0.20", 1)}};
  return hosts;
}

LearnedState FixtureLearnedState() {
  LearnedState::OfEndpoint healthy_endpoint;
  healthy_endpoint.id = "web-1";
  healthy_endpoint.latency = 1.0 / 3;
  healthy_endpoint.average_latency = 0.1;
  healthy_endpoint.uncongested_latency = 2.2250738585072014e-308;
  healthy_endpoint.concurrency_limit = 17.75;
  healthy_endpoint.failure_rate = 1e-9;
  healthy_endpoint.samples = 2147483647;
  healthy_endpoint.last_served_at = 86400000.5;
  healthy_endpoint.started_at = -1e15;
  healthy_endpoint.slow_start_credit = 0.30000000000000004;
  LearnedState::OfEndpoint ejected_endpoint;
  ejected_endpoint.id = "web-\xc3\xa9";
  ejected_endpoint.latency = 1.5;
  ejected_endpoint.average_latency = 2;
  ejected_endpoint.uncongested_latency = 3;
  ejected_endpoint.concurrency_limit = 4;
  ejected_endpoint.failure_rate = 0.875;
  ejected_endpoint.samples = 5;
  ejected_endpoint.ejected = true;
  ejected_endpoint.last_served_at = -12.5;
  ejected_endpoint.started_at = 99;
  ejected_endpoint.slow_start_credit = 6;
  LearnedState::OfEndpoint disconnected_endpoint;
  disconnected_endpoint.id = "web-3";
  disconnected_endpoint.connection_failed = true;
  LearnedState::OfKind kind;
  kind.name = "large";
  kind.latency = 1.25;
  kind.average_latency = 1.125;
  kind.uncongested_latency = 0.7;
  kind.samples = 41;
  LearnedState::OfKind other_kind;
  other_kind.name = "small";
  LearnedState::OfClass traffic_class;
  traffic_class.name = "view";
  traffic_class.latency = 20.2;
  traffic_class.observed_time_budget = 499.5;
  traffic_class.samples = 3;
  LearnedState::OfClass other_class;
  other_class.name = "pay";
  other_class.latency = 1e300;
  LearnedState learned;
  learned.endpoints = {healthy_endpoint, ejected_endpoint, disconnected_endpoint};
  learned.kinds = {kind, other_kind};
  learned.classes = {traffic_class, other_class};
  learned.in_maintenance = {"web-3", "never-listed"};
  learned.rate = 123.456;
  learned.dispatch_rate = 11.1;
  learned.arrival_rate = 0.0625;
  learned.untimely_share = 0.01;
  learned.failure_rate = 0.02;
  learned.warm_answers = 33.3;
  learned.warm_time = 44.4;
  learned.mean_latency = 5.55;
  learned.samples = 67;
  return learned;
}

// The state that the fixture file contains, in the current members.
operations::HandoverState FixtureState() {
  operations::HandoverState state;
  state.configuration = R"({"seed":"1f","settings":{"zone":"a"}})";
  state.discovery_address = "127.0.0.1:4001";
  state.hosts = FixtureHosts();
  state.revision_known = true;
  state.learned = FixtureLearnedState();
  state.descriptors = 321;
  state.edge_configuration =
      "# operators\n[tunnels]\nmost = 10\n\n[[listen]]\nname = \"a \\\"b\\\"\"\taddress = '127.0.0.1:9'\n";
  return state;
}

// Written by ToText of version ff1d420 from the state that FixtureState() returns.
std::string StateFixture() {
  std::ifstream stream(MEADOWYARD_FIXTURES "/ff1d420/handover_state.json", std::ios::binary);
  EXPECT_TRUE(stream);
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

void ExpectEqual(const LearnedState::OfEndpoint& parsed, const LearnedState::OfEndpoint& expected) {
  SCOPED_TRACE(expected.id);
  EXPECT_EQ(parsed.id, expected.id);
  EXPECT_EQ(parsed.latency, expected.latency);
  EXPECT_EQ(parsed.average_latency, expected.average_latency);
  EXPECT_EQ(parsed.uncongested_latency, expected.uncongested_latency);
  EXPECT_EQ(parsed.concurrency_limit, expected.concurrency_limit);
  EXPECT_EQ(parsed.failure_rate, expected.failure_rate);
  EXPECT_EQ(parsed.samples, expected.samples);
  EXPECT_EQ(parsed.ejected, expected.ejected);
  EXPECT_EQ(parsed.connection_failed, expected.connection_failed);
  EXPECT_EQ(parsed.last_served_at, expected.last_served_at);
  EXPECT_EQ(parsed.started_at, expected.started_at);
  EXPECT_EQ(parsed.slow_start_credit, expected.slow_start_credit);
}

void ExpectEqual(const LearnedState::OfKind& parsed, const LearnedState::OfKind& expected) {
  SCOPED_TRACE(expected.name);
  EXPECT_EQ(parsed.name, expected.name);
  EXPECT_EQ(parsed.latency, expected.latency);
  EXPECT_EQ(parsed.average_latency, expected.average_latency);
  EXPECT_EQ(parsed.uncongested_latency, expected.uncongested_latency);
  EXPECT_EQ(parsed.samples, expected.samples);
}

void ExpectEqual(const LearnedState::OfClass& parsed, const LearnedState::OfClass& expected) {
  SCOPED_TRACE(expected.name);
  EXPECT_EQ(parsed.name, expected.name);
  EXPECT_EQ(parsed.latency, expected.latency);
  EXPECT_EQ(parsed.observed_time_budget, expected.observed_time_budget);
  EXPECT_EQ(parsed.samples, expected.samples);
}

template <typename Entry>
void ExpectEqual(const std::vector<Entry>& parsed, const std::vector<Entry>& expected) {
  ASSERT_EQ(parsed.size(), expected.size());
  for (std::size_t i = 0; i < parsed.size(); ++i) ExpectEqual(parsed[i], expected[i]);
}

// Guards against a learned value lost or misassigned when the predecessor runs ff1d420: each field that it
// wrote is parsed into the member of the same meaning.
TEST(HandoverFormat, ReadsTheLearnedStateOfFf1d420) {
  const auto state = operations::ParseHandoverState(StateFixture());
  ASSERT_TRUE(state);
  const LearnedState& parsed = state->learned;
  const LearnedState expected = FixtureLearnedState();
  ExpectEqual(parsed.endpoints, expected.endpoints);
  ExpectEqual(parsed.kinds, expected.kinds);
  ExpectEqual(parsed.classes, expected.classes);
  EXPECT_EQ(parsed.in_maintenance, expected.in_maintenance);
  EXPECT_EQ(parsed.rate, expected.rate);
  EXPECT_EQ(parsed.dispatch_rate, expected.dispatch_rate);
  EXPECT_EQ(parsed.arrival_rate, expected.arrival_rate);
  EXPECT_EQ(parsed.untimely_share, expected.untimely_share);
  EXPECT_EQ(parsed.failure_rate, expected.failure_rate);
  EXPECT_EQ(parsed.warm_answers, expected.warm_answers);
  EXPECT_EQ(parsed.warm_time, expected.warm_time);
  EXPECT_EQ(parsed.mean_latency, expected.mean_latency);
  EXPECT_EQ(parsed.samples, expected.samples);
}

// Guards the rest of the state likewise: the configuration, the list of hosts and the number of descriptors.
TEST(HandoverFormat, ReadsTheHostsAndConfigurationOfFf1d420) {
  const auto parsed = operations::ParseHandoverState(StateFixture());
  ASSERT_TRUE(parsed);
  const operations::HandoverState expected = FixtureState();
  EXPECT_EQ(parsed->configuration, expected.configuration);
  EXPECT_EQ(parsed->discovery_address, expected.discovery_address);
  EXPECT_EQ(parsed->revision_known, expected.revision_known);
  EXPECT_EQ(parsed->descriptors, expected.descriptors);
  EXPECT_EQ(parsed->edge_configuration, expected.edge_configuration);
  EXPECT_EQ(parsed->hosts.revision, expected.hosts.revision);
  EXPECT_EQ(parsed->hosts.is_snapshot, expected.hosts.is_snapshot);
  ASSERT_EQ(parsed->hosts.endpoints.size(), expected.hosts.endpoints.size());
  for (std::size_t i = 0; i < expected.hosts.endpoints.size(); ++i) {
    const discovery::EndpointRecord& host = parsed->hosts.endpoints[i];
    const discovery::EndpointRecord& expected_host = expected.hosts.endpoints[i];
    SCOPED_TRACE(expected_host.endpoint.id);
    EXPECT_EQ(host.endpoint.id, expected_host.endpoint.id);
    EXPECT_EQ(host.endpoint.zone, expected_host.endpoint.zone);
    EXPECT_EQ(host.endpoint.kind, expected_host.endpoint.kind);
    EXPECT_EQ(host.endpoint.cell, expected_host.endpoint.cell);
    EXPECT_EQ(host.endpoint.state, expected_host.endpoint.state);
    EXPECT_EQ(host.endpoint.weight, expected_host.endpoint.weight);
    EXPECT_EQ(host.endpoint.started_at, expected_host.endpoint.started_at);
    EXPECT_EQ(host.address, expected_host.address);
  }
}

// Guards the hot restart back to ff1d420: it receives exactly the bytes that it would have written itself.
TEST(HandoverFormat, WritesTheSameBytesAsFf1d420) {
  const std::string fixture = StateFixture();
  EXPECT_EQ(operations::SerializeHandoverState(FixtureState()), fixture);
  const auto state = operations::ParseHandoverState(fixture);
  ASSERT_TRUE(state);
  EXPECT_EQ(operations::SerializeHandoverState(*state), fixture);
}

std::set<std::string> FieldNames(const json& object) {
  std::set<std::string> names;
  for (const auto& [name, value] : object.items()) names.insert(name);
  return names;
}

// Guards the names of the stored fields against additions, removals and renames.
TEST(HandoverFormat, StoresEachFieldUnderItsFixedName) {
  const json stored = json::parse(operations::SerializeHandoverState(FixtureState()));
  using NameSet = std::set<std::string>;
  EXPECT_EQ(FieldNames(stored),
            (NameSet{"file", "discovery", "hosts", "revision_known", "learned", "descriptors", "edge"}));
  const json& learned = stored.at("learned");
  EXPECT_EQ(FieldNames(learned),
            (NameSet{"servers", "kinds", "classes", "out_by_hand", "rate", "spent_rate", "arriving",
                     "failing", "unserved", "warm_served", "warm_time", "mean_latency", "samples"}));
  EXPECT_EQ(FieldNames(learned.at("servers").at(0)),
            (NameSet{"id", "latency", "steady", "base", "limit", "failing", "samples", "suspect", "lost",
                     "last_served", "cold_since", "cold_credit"}));
  EXPECT_EQ(FieldNames(learned.at("kinds").at(0)), (NameSet{"name", "latency", "steady", "base", "samples"}));
  EXPECT_EQ(FieldNames(learned.at("classes").at(0)), (NameSet{"name", "latency", "most_left", "samples"}));
}

// Guards against the use of an incomplete state: if a field is missing or has another type, the state is
// rejected. Only "edge" may be missing, since versions without tunnels don't send it.
TEST(HandoverFormat, RejectsAStateWithAMissingOrMistypedField) {
  const json complete_state = json::parse(StateFixture());
  std::vector<json::json_pointer> fields;
  const auto add_fields_of = [&](const json::json_pointer& parent) {
    for (const auto& [name, value] : complete_state.at(parent).items()) fields.push_back(parent / name);
  };
  for (const char* const parent : {"", "/learned", "/learned/servers/0", "/learned/servers/2",
                                   "/learned/kinds/0", "/learned/classes/1"}) {
    add_fields_of(json::json_pointer(parent));
  }
  for (const auto& field : fields) {
    SCOPED_TRACE(field.to_string());
    json incomplete_state = complete_state;
    incomplete_state.at(field.parent_pointer()).erase(field.back());
    const bool may_be_missing = field.to_string() == "/edge";
    EXPECT_EQ(operations::ParseHandoverState(incomplete_state.dump()).has_value(), may_be_missing);
    json mistyped_state = complete_state;
    mistyped_state.at(field) = json::object({{"other", "type"}});
    EXPECT_FALSE(operations::ParseHandoverState(mistyped_state.dump()));
  }
}

// Guards against the rejection of a later version's state: unknown fields are ignored.
TEST(HandoverFormat, IgnoresFieldsOfLaterVersions) {
  json later_state = json::parse(StateFixture());
  later_state["later"] = 1;
  later_state["learned"]["later"] = {1, 2};
  later_state["learned"]["servers"][0]["later"] = "x";
  const auto state = operations::ParseHandoverState(later_state.dump());
  ASSERT_TRUE(state);
  EXPECT_EQ(operations::SerializeHandoverState(*state), StateFixture());
}

// ---- The messages on the channel -----------------------------------------------------------------

struct SocketPair {
  SocketPair() {
    int ends[2] = {-1, -1};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends), 0);
    local_end = operations::Descriptor(ends[0]);
    remote_end = operations::Descriptor(ends[1]);
  }
  operations::Descriptor local_end;
  operations::Descriptor remote_end;
};

// One packet as received from the socket.
struct Packet {
  std::string bytes;
  std::vector<int> descriptors;  // closed by ClosePacket
};

Packet ReceivePacket(int channel) {
  const timeval receive_timeout{.tv_sec = 30, .tv_usec = 0};
  EXPECT_EQ(::setsockopt(channel, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout), 0);
  std::vector<char> bytes(256 * 1024);
  iovec segment = {bytes.data(), bytes.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(8 * sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &segment;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t size = ::recvmsg(channel, &message, 0);
  Packet packet;
  if (size > 0) packet.bytes.assign(bytes.data(), static_cast<std::size_t>(size));
  const cmsghdr* const control_header = CMSG_FIRSTHDR(&message);
  if (control_header == nullptr) return packet;
  EXPECT_EQ(control_header->cmsg_level, SOL_SOCKET);
  EXPECT_EQ(control_header->cmsg_type, SCM_RIGHTS);
  packet.descriptors.resize((control_header->cmsg_len - CMSG_LEN(0)) / sizeof(int));
  std::memcpy(packet.descriptors.data(), CMSG_DATA(control_header), control_header->cmsg_len - CMSG_LEN(0));
  return packet;
}

void ClosePacket(const Packet& packet) {
  for (const int descriptor : packet.descriptors) ::close(descriptor);
}

bool SameFile(int fd, int other_fd) {
  struct stat first {};
  struct stat second {};
  return ::fstat(fd, &first) == 0 && ::fstat(other_fd, &second) == 0 && first.st_dev == second.st_dev &&
         first.st_ino == second.st_ino;
}

struct KindAndLetter {
  Kind kind;
  char letter;
};

constexpr KindAndLetter kKindLetters[] = {
    {Kind::kState, 'S'},
    {Kind::kStateComplete, 'E'},
    {Kind::kSuccessorReady, 'R'},
    {Kind::kClientConnection, 'C'},
    {Kind::kHostConnection, 'H'},
    {Kind::kDescriptorsHeld, 'D'},
    {Kind::kMaintenanceStarted, 'O'},
    {Kind::kMaintenanceEnded, 'B'},
    {Kind::kTunnelListener, 'L'},
    {Kind::kTunnel, 'T'},
};

// Guards the framing: a packet contains only the kind's letter and the text, with the descriptors in order as
// ancillary data.
TEST(HandoverFormat, SendsKindLetterAndTextInOnePacket) {
  const std::string text("a b\0c", 5);
  for (const auto& [kind, letter] : kKindLetters) {
    SCOPED_TRACE(letter);
    SocketPair channel;
    SocketPair passed;
    ASSERT_TRUE(operations::SendMessage(channel.local_end.get(), {.kind = kind, .text = text}));
    ASSERT_TRUE(operations::SendMessage(channel.local_end.get(),
                                        {.kind = kind, .descriptor = passed.local_end.get()}));
    ASSERT_TRUE(
        operations::SendMessage(channel.local_end.get(), {.kind = kind,
                                                          .text = text,
                                                          .descriptor = passed.local_end.get(),
                                                          .second_descriptor = passed.remote_end.get()}));
    const Packet plain = ReceivePacket(channel.remote_end.get());
    EXPECT_EQ(plain.bytes, letter + text);
    EXPECT_TRUE(plain.descriptors.empty());
    const Packet with_one = ReceivePacket(channel.remote_end.get());
    EXPECT_EQ(with_one.bytes, std::string(1, letter));
    ASSERT_EQ(with_one.descriptors.size(), 1u);
    EXPECT_TRUE(SameFile(with_one.descriptors[0], passed.local_end.get()));
    const Packet with_two = ReceivePacket(channel.remote_end.get());
    EXPECT_EQ(with_two.bytes, letter + text);
    ASSERT_EQ(with_two.descriptors.size(), 2u);
    EXPECT_TRUE(SameFile(with_two.descriptors[0], passed.local_end.get()));
    EXPECT_TRUE(SameFile(with_two.descriptors[1], passed.remote_end.get()));
    ClosePacket(with_one);
    ClosePacket(with_two);
  }
}

// Guards the framing on receipt: a packet of ff1d420 is received with its kind and text.
TEST(HandoverFormat, ReceivesKindLetterAndTextFromOnePacket) {
  for (const auto& [kind, letter] : kKindLetters) {
    SCOPED_TRACE(letter);
    SocketPair channel;
    const std::string packet = letter + std::string("10.0.0.1:80 web 1");
    ASSERT_EQ(::send(channel.local_end.get(), packet.data(), packet.size(), 0),
              static_cast<ssize_t>(packet.size()));
    ASSERT_EQ(::send(channel.local_end.get(), &letter, 1, 0), 1);
    const auto result = operations::ReceiveMessage(channel.remote_end.get());
    ASSERT_EQ(result.status, operations::ReceiveStatus::kReceived);
    EXPECT_EQ(result.message.kind, kind);
    EXPECT_EQ(result.message.text, "10.0.0.1:80 web 1");
    EXPECT_FALSE(result.message.descriptor);
    EXPECT_FALSE(result.message.second_descriptor);
    const auto empty = operations::ReceiveMessage(channel.remote_end.get());
    ASSERT_EQ(empty.status, operations::ReceiveStatus::kReceived);
    EXPECT_EQ(empty.message.kind, kind);
    EXPECT_EQ(empty.message.text, "");
    EXPECT_EQ(operations::ReceiveMessage(channel.remote_end.get()).status,
              operations::ReceiveStatus::kNothingPending);
    channel.local_end = operations::Descriptor();
    EXPECT_EQ(operations::ReceiveMessage(channel.remote_end.get()).status,
              operations::ReceiveStatus::kClosed);
  }
}

// Guards the limit that versions share: a longer text would be truncated by the receiver.
TEST(HandoverFormat, LimitsMessageTextsTo72Kibibytes) { EXPECT_EQ(operations::kMaxMessageTextBytes, 73728u); }

// Guards the path at which one version connects to another.
TEST(HandoverFormat, NamesTheSocketAfterTheListener) {
  EXPECT_EQ(config::HandoverSocketPath("/tmp/x", "127.0.0.1:8080"), "/tmp/x/meadowyard-127.0.0.1-8080");
  EXPECT_EQ(config::HandoverSocketPath("/run", "[::1]:80"), "/run/meadowyard-[--1]-80");
  const std::string folder(100 - std::strlen("/meadowyard-a-1"), 'f');
  EXPECT_EQ(config::HandoverSocketPath(folder, "a:1").size(), 100u);
  EXPECT_EQ(config::HandoverSocketPath(folder + "f", "a:1"), "");
}

// ---- The sequence of messages --------------------------------------------------------------------

// Records each notification from the other process as one line of text.
class RecordingDelegate : public operations::HotRestartDelegate {
 public:
  std::string SerializeState() override { return state; }
  int ClientListener() override { return listener.get(); }
  std::vector<operations::TunnelListener> TunnelListeners() override {
    return {{.name = "first", .descriptor = listener.get()},
            {.name = "second", .descriptor = listener.get()}};
  }
  std::vector<std::string> PoolHostsInMaintenance() override { return {}; }
  int RequestIdTable() override { return -1; }
  std::size_t CountDescriptors() override { return 7; }
  void OnSuccessorServing() override { events.emplace_back("successor serving"); }
  bool IsStopping() override { return false; }
  void OnSuccessorLost() override { events.emplace_back("successor lost"); }
  void OnSuccessorEndedFirst() override { events.emplace_back("successor ended first"); }
  void OnPredecessorDescriptors(std::size_t count) override {
    events.push_back("predecessor descriptors " + std::to_string(count));
  }
  void AdoptClientConnection(std::string_view unread, operations::Descriptor connection) override {
    events.push_back("client " + std::string(unread) + (connection ? " +1" : ""));
  }
  void AdoptHostConnection(const operations::HostConnectionInfo& info,
                           operations::Descriptor connection) override {
    events.push_back("host " + info.host_id + " at " + discovery::FormatAddress(info.address) +
                     (connection ? " +1" : ""));
  }
  void AdoptTunnel(std::string_view text, operations::Descriptor client,
                   operations::Descriptor host) override {
    events.push_back("tunnel " + std::string(text) + (client && host ? " +2" : ""));
  }
  void OnMaintenanceChanged(const operations::MaintenanceChange& change) override {
    events.push_back((change.in_maintenance ? "in maintenance " : "maintenance ended ") + change.host_id);
  }
  void OnConfigurationChanged(const std::optional<operations::ConfigurationChange>& change) override {
    events.push_back(change ? "configuration " + change->configuration + " " + change->discovery_address +
                                  " " + change->edge_configuration + " " + change->peers_configuration
                            : "read the configuration again");
  }
  bool WaitForEvents(boost::asio::io_context& io, std::size_t count) const {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (events.size() < count && std::chrono::steady_clock::now() < deadline) {
      io.run_one_for(std::chrono::milliseconds(50));
    }
    return events.size() >= count;
  }

  std::string state;
  operations::Descriptor listener{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  std::vector<std::string> events;
};

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/meadowyard-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TemporaryFolder() {
    std::remove(config::HandoverSocketPath(path, "x").c_str());
    ::rmdir(path.c_str());
  }
  std::string path;
};

operations::Descriptor ConnectToSocket(const std::string& path) {
  operations::Descriptor channel(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path, path.data(), path.size());
  EXPECT_EQ(::connect(channel.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return channel;
}

void ExpectPacket(int channel, const std::string& bytes, std::size_t descriptors) {
  Packet packet = ReceivePacket(channel);
  EXPECT_EQ(packet.bytes.size(), bytes.size());
  EXPECT_TRUE(packet.bytes == bytes) << packet.bytes.substr(0, 40);
  EXPECT_EQ(packet.descriptors.size(), descriptors);
  ClosePacket(packet);
}

void SendPacket(int channel, const std::string& bytes) {
  EXPECT_EQ(::send(channel, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
}

constexpr const char* kConfigurationPacket =
    R"(F{"discovery":"127.0.0.1:1","edge":"e","file":"{}","peers":"p"})";

// Guards the messages sent to a successor of another version, and their order, from its connection on.
TEST(HandoverFormat, SendsTheSuccessorItsMessagesInOrder) {
  boost::asio::io_context io;
  TemporaryFolder folder;
  RecordingDelegate delegate;
  const std::string full_part(operations::kMaxMessageTextBytes, 's');
  delegate.state = full_part + full_part + "rest";
  const std::string path = config::HandoverSocketPath(folder.path, "x");
  operations::HotRestartCoordinator coordinator(io, path, operations::Descriptor(), delegate);
  coordinator.StartServing();
  struct stat status {};
  ASSERT_EQ(::stat(path.c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 07777, 0600u);
  const operations::Descriptor channel = ConnectToSocket(path);
  io.run_one_for(std::chrono::seconds(30));
  ExpectPacket(channel.get(), "S" + full_part, 1);
  ExpectPacket(channel.get(), "S" + full_part, 0);
  ExpectPacket(channel.get(), "Srest", 0);
  ExpectPacket(channel.get(), "Lfirst", 1);
  ExpectPacket(channel.get(), "Lsecond", 1);
  ExpectPacket(channel.get(), "E", 0);
  SendPacket(channel.get(), "R");
  ASSERT_TRUE(delegate.WaitForEvents(io, 1));
  EXPECT_EQ(delegate.events[0], "successor serving");
  ExpectPacket(channel.get(), "D7", 0);
  const SocketPair passed;
  EXPECT_TRUE(coordinator.PassClientConnection("GET / HT", passed.local_end.get()));
  EXPECT_TRUE(coordinator.PassHostConnection({.host_id = "web 1", .address = Address("10.0.0.1", 80)},
                                             passed.local_end.get()));
  EXPECT_TRUE(coordinator.PassTunnel("{\"a\":1}", passed.local_end.get(), passed.remote_end.get()));
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = true});
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = false});
  ExpectPacket(channel.get(), "CGET / HT", 1);
  ExpectPacket(channel.get(), "H10.0.0.1:80 web 1", 1);
  ExpectPacket(channel.get(), "T{\"a\":1}", 2);
  ExpectPacket(channel.get(), "Oweb-1", 0);
  ExpectPacket(channel.get(), "Bweb-1", 0);
  coordinator.ReplicateConfiguration({.configuration = "{}",
                                      .discovery_address = "127.0.0.1:1",
                                      .edge_configuration = "e",
                                      .peers_configuration = "p"});
  coordinator.ReplicateConfiguration({.configuration = full_part, .discovery_address = "127.0.0.1:1"});
  ExpectPacket(channel.get(), kConfigurationPacket, 0);
  ExpectPacket(channel.get(), "F", 0);
  SendPacket(channel.get(), "Oweb-2");
  SendPacket(channel.get(), "Bweb-2");
  ASSERT_TRUE(delegate.WaitForEvents(io, 3));
  EXPECT_EQ(delegate.events[1], "in maintenance web-2");
  EXPECT_EQ(delegate.events[2], "maintenance ended web-2");
}

// Guards the messages exchanged with a predecessor of another version. Unknown and malformed ones are
// ignored.
TEST(HandoverFormat, HandlesThePredecessorsMessages) {
  boost::asio::io_context io;
  RecordingDelegate delegate;
  SocketPair channel;
  operations::HotRestartCoordinator coordinator(io, "", std::move(channel.remote_end), delegate);
  coordinator.StartServing();
  ExpectPacket(channel.local_end.get(), "R", 0);
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = true});
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = false});
  ExpectPacket(channel.local_end.get(), "Oweb-1", 0);
  ExpectPacket(channel.local_end.get(), "Bweb-1", 0);
  for (const char* const packet :
       {"D321", "Oweb-2", "Bweb-2", "Zunknown kind", "Hno-space", kConfigurationPacket, "F", "F{}", "D0"}) {
    SendPacket(channel.local_end.get(), packet);
  }
  const SocketPair passed;
  for (const operations::OutgoingMessage& message : {
           operations::OutgoingMessage{
               .kind = Kind::kClientConnection, .text = "GET /", .descriptor = passed.local_end.get()},
           operations::OutgoingMessage{
               .kind = Kind::kHostConnection, .text = "[::1]:80 web 1", .descriptor = passed.local_end.get()},
           operations::OutgoingMessage{.kind = Kind::kHostConnection,
           .text = "10.0.0.1:80 web 1",
           .descriptor = passed.local_end.get()},
           operations::OutgoingMessage{.kind = Kind::kTunnel,
           .text = "{}",
           .descriptor = passed.local_end.get(),
           .second_descriptor = passed.remote_end.get()},
       }) {
    ASSERT_TRUE(operations::SendMessage(channel.local_end.get(), message));
  }
  channel.local_end = operations::Descriptor();
  ASSERT_TRUE(delegate.WaitForEvents(io, 11));
  const std::vector<std::string> expected = {
      "predecessor descriptors 321",  "in maintenance web-2",
      "maintenance ended web-2",      "configuration {} 127.0.0.1:1 e p",
      "read the configuration again", "read the configuration again",
      "predecessor descriptors 0",    "client GET / +1",
      "host web 1 at 10.0.0.1:80 +1", "tunnel {} +2",
      "predecessor descriptors 0"};
  EXPECT_EQ(delegate.events, expected);
}

}  // namespace
}  // namespace meadowyard::testing
