/// @file
/// The formats that two versions of the program share during a hot restart: the state as JSON, and the
/// messages on the link. The other version may be ff1d420, so these never change.
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
  Endpoint up;
  up.id = "web-1";
  up.zone = "north";
  up.kind = "large";
  up.cell = "3";
  up.weight = 2.5;
  up.started_at = 1700000000123.25;
  Endpoint draining;
  draining.id = "web-\xc3\xa9";
  draining.zone = "south";
  draining.kind = "small";
  draining.cell = "\"c/7\"";
  draining.state = EndpointState::kDraining;
  draining.weight = 0.1;
  Endpoint gone;
  gone.id = "web-3";
  gone.state = EndpointState::kRemoved;
  discovery::EndpointList hosts;
  hosts.revision = 9007199254740993;  // more than a double holds
  hosts.endpoints = {
      {up, Address("10.1.0.18", 3000)}, {draining, Address("::1", 65535)}, {gone, Address("10.1.0.20", 1)}};
  return hosts;
}

LearnedState FixtureLearnedState() {
  LearnedState::OfEndpoint trusted;
  trusted.id = "web-1";
  trusted.latency = 1.0 / 3;
  trusted.average_latency = 0.1;
  trusted.uncongested_latency = 2.2250738585072014e-308;
  trusted.concurrency_limit = 17.75;
  trusted.failure_rate = 1e-9;
  trusted.samples = 2147483647;
  trusted.last_served_at = 86400000.5;
  trusted.started_at = -1e15;
  trusted.slow_start_credit = 0.30000000000000004;
  LearnedState::OfEndpoint suspect;
  suspect.id = "web-\xc3\xa9";
  suspect.latency = 1.5;
  suspect.average_latency = 2;
  suspect.uncongested_latency = 3;
  suspect.concurrency_limit = 4;
  suspect.failure_rate = 0.875;
  suspect.samples = 5;
  suspect.ejected = true;
  suspect.last_served_at = -12.5;
  suspect.started_at = 99;
  suspect.slow_start_credit = 6;
  LearnedState::OfEndpoint lost;
  lost.id = "web-3";
  lost.connection_failed = true;
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
  learned.endpoints = {trusted, suspect, lost};
  learned.kinds = {kind, other_kind};
  learned.classes = {traffic_class, other_class};
  learned.in_maintenance = {"web-3", "never-listed"};
  learned.rate = 123.456;
  learned.dispatch_rate = 11.1;
  learned.arrival_rate = 0.0625;
  learned.untimely_share = 0.01;
  learned.failure_rate = 0.02;
  learned.warm_responses = 33.3;
  learned.warm_time = 44.4;
  learned.mean_latency = 5.55;
  learned.samples = 67;
  return learned;
}

// What the fixture holds, in the members that hold it today.
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

// Written by ToText of ff1d420 from the state that FixtureState() describes.
std::string StateFixture() {
  std::ifstream stream(MEADOWYARD_FIXTURES "/ff1d420/handover_state.json", std::ios::binary);
  EXPECT_TRUE(stream);
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

void ExpectEqual(const LearnedState::OfEndpoint& read, const LearnedState::OfEndpoint& expected) {
  SCOPED_TRACE(expected.id);
  EXPECT_EQ(read.id, expected.id);
  EXPECT_EQ(read.latency, expected.latency);
  EXPECT_EQ(read.average_latency, expected.average_latency);
  EXPECT_EQ(read.uncongested_latency, expected.uncongested_latency);
  EXPECT_EQ(read.concurrency_limit, expected.concurrency_limit);
  EXPECT_EQ(read.failure_rate, expected.failure_rate);
  EXPECT_EQ(read.samples, expected.samples);
  EXPECT_EQ(read.ejected, expected.ejected);
  EXPECT_EQ(read.connection_failed, expected.connection_failed);
  EXPECT_EQ(read.last_served_at, expected.last_served_at);
  EXPECT_EQ(read.started_at, expected.started_at);
  EXPECT_EQ(read.slow_start_credit, expected.slow_start_credit);
}

void ExpectEqual(const LearnedState::OfKind& read, const LearnedState::OfKind& expected) {
  SCOPED_TRACE(expected.name);
  EXPECT_EQ(read.name, expected.name);
  EXPECT_EQ(read.latency, expected.latency);
  EXPECT_EQ(read.average_latency, expected.average_latency);
  EXPECT_EQ(read.uncongested_latency, expected.uncongested_latency);
  EXPECT_EQ(read.samples, expected.samples);
}

void ExpectEqual(const LearnedState::OfClass& read, const LearnedState::OfClass& expected) {
  SCOPED_TRACE(expected.name);
  EXPECT_EQ(read.name, expected.name);
  EXPECT_EQ(read.latency, expected.latency);
  EXPECT_EQ(read.observed_time_budget, expected.observed_time_budget);
  EXPECT_EQ(read.samples, expected.samples);
}

template <typename Entry>
void ExpectEqual(const std::vector<Entry>& read, const std::vector<Entry>& expected) {
  ASSERT_EQ(read.size(), expected.size());
  for (std::size_t i = 0; i < read.size(); ++i) ExpectEqual(read[i], expected[i]);
}

// Guards what a process learned against a change of version: each field that ff1d420 wrote is read into the
// member that means the same today.
TEST(HandoverFormat, ReadsTheLearnedStateOfFf1d420) {
  const auto state = operations::ParseHandoverState(StateFixture());
  ASSERT_TRUE(state);
  const LearnedState& read = state->learned;
  const LearnedState expected = FixtureLearnedState();
  ExpectEqual(read.endpoints, expected.endpoints);
  ExpectEqual(read.kinds, expected.kinds);
  ExpectEqual(read.classes, expected.classes);
  EXPECT_EQ(read.in_maintenance, expected.in_maintenance);
  EXPECT_EQ(read.rate, expected.rate);
  EXPECT_EQ(read.dispatch_rate, expected.dispatch_rate);
  EXPECT_EQ(read.arrival_rate, expected.arrival_rate);
  EXPECT_EQ(read.untimely_share, expected.untimely_share);
  EXPECT_EQ(read.failure_rate, expected.failure_rate);
  EXPECT_EQ(read.warm_responses, expected.warm_responses);
  EXPECT_EQ(read.warm_time, expected.warm_time);
  EXPECT_EQ(read.mean_latency, expected.mean_latency);
  EXPECT_EQ(read.samples, expected.samples);
}

// The same of what a process knows besides: its configuration, the list of hosts and its descriptors.
TEST(HandoverFormat, ReadsTheHostsAndFilesOfFf1d420) {
  const auto read = operations::ParseHandoverState(StateFixture());
  ASSERT_TRUE(read);
  const operations::HandoverState expected = FixtureState();
  EXPECT_EQ(read->configuration, expected.configuration);
  EXPECT_EQ(read->discovery_address, expected.discovery_address);
  EXPECT_EQ(read->revision_known, expected.revision_known);
  EXPECT_EQ(read->descriptors, expected.descriptors);
  EXPECT_EQ(read->edge_configuration, expected.edge_configuration);
  EXPECT_EQ(read->hosts.revision, expected.hosts.revision);
  EXPECT_EQ(read->hosts.is_snapshot, expected.hosts.is_snapshot);
  ASSERT_EQ(read->hosts.endpoints.size(), expected.hosts.endpoints.size());
  for (std::size_t i = 0; i < expected.hosts.endpoints.size(); ++i) {
    const discovery::EndpointRecord& host = read->hosts.endpoints[i];
    const discovery::EndpointRecord& wanted = expected.hosts.endpoints[i];
    SCOPED_TRACE(wanted.endpoint.id);
    EXPECT_EQ(host.endpoint.id, wanted.endpoint.id);
    EXPECT_EQ(host.endpoint.zone, wanted.endpoint.zone);
    EXPECT_EQ(host.endpoint.kind, wanted.endpoint.kind);
    EXPECT_EQ(host.endpoint.cell, wanted.endpoint.cell);
    EXPECT_EQ(host.endpoint.state, wanted.endpoint.state);
    EXPECT_EQ(host.endpoint.weight, wanted.endpoint.weight);
    EXPECT_EQ(host.endpoint.started_at, wanted.endpoint.started_at);
    EXPECT_EQ(host.address, wanted.address);
  }
}

// Guards the way back: ff1d420 reads what it would have written itself.
TEST(HandoverFormat, WritesTheSameBytesAsFf1d420) {
  const std::string fixture = StateFixture();
  EXPECT_EQ(operations::SerializeHandoverState(FixtureState()), fixture);
  const auto state = operations::ParseHandoverState(fixture);
  ASSERT_TRUE(state);
  EXPECT_EQ(operations::SerializeHandoverState(*state), fixture);
}

std::set<std::string> Names(const json& object) {
  std::set<std::string> names;
  for (const auto& [name, value] : object.items()) names.insert(name);
  return names;
}

// Guards the stored names by themselves, so that a new one is seen here too.
TEST(HandoverFormat, StoresEachFieldUnderItsOwnName) {
  const json stored = json::parse(operations::SerializeHandoverState(FixtureState()));
  using Set = std::set<std::string>;
  EXPECT_EQ(Names(stored),
            (Set{"file", "discovery", "hosts", "revision_known", "learned", "descriptors", "edge"}));
  const json& learned = stored.at("learned");
  EXPECT_EQ(Names(learned),
            (Set{"servers", "kinds", "classes", "out_by_hand", "rate", "spent_rate", "arriving", "failing",
                 "unserved", "warm_served", "warm_time", "mean_latency", "samples"}));
  EXPECT_EQ(Names(learned.at("servers").at(0)),
            (Set{"id", "latency", "steady", "base", "limit", "failing", "samples", "suspect", "lost",
                 "last_served", "cold_since", "cold_credit"}));
  EXPECT_EQ(Names(learned.at("kinds").at(0)), (Set{"name", "latency", "steady", "base", "samples"}));
  EXPECT_EQ(Names(learned.at("classes").at(0)), (Set{"name", "latency", "most_left", "samples"}));
}

// Guards against half a state: without any one field, or with one of another type, the whole is refused. Only
// "edge" may be missing, as versions before tunnels have none.
TEST(HandoverFormat, RefusesAStateThatLacksAField) {
  const json whole = json::parse(StateFixture());
  std::vector<json::json_pointer> fields;
  const auto add = [&](const json::json_pointer& parent) {
    for (const auto& [name, value] : whole.at(parent).items()) fields.push_back(parent / name);
  };
  for (const char* const parent : {"", "/learned", "/learned/servers/0", "/learned/servers/2",
                                   "/learned/kinds/0", "/learned/classes/1"}) {
    add(json::json_pointer(parent));
  }
  for (const auto& field : fields) {
    SCOPED_TRACE(field.to_string());
    json lacking = whole;
    lacking.at(field.parent_pointer()).erase(field.back());
    const bool may_be_missing = field.to_string() == "/edge";
    EXPECT_EQ(operations::ParseHandoverState(lacking.dump()).has_value(), may_be_missing);
    json mistyped = whole;
    mistyped.at(field) = json::object({{"other", "type"}});
    EXPECT_FALSE(operations::ParseHandoverState(mistyped.dump()));
  }
}

// Guards the way between versions that know more: names that aren't known are passed over.
TEST(HandoverFormat, PassesOverFieldsOfLaterVersions) {
  json later = json::parse(StateFixture());
  later["later"] = 1;
  later["learned"]["later"] = {1, 2};
  later["learned"]["servers"][0]["later"] = "x";
  const auto state = operations::ParseHandoverState(later.dump());
  ASSERT_TRUE(state);
  EXPECT_EQ(operations::SerializeHandoverState(*state), StateFixture());
}

// ---- The messages on the link --------------------------------------------------------------------

struct SocketPair {
  SocketPair() {
    int both[2] = {-1, -1};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, both), 0);
    ours = operations::Descriptor(both[0]);
    theirs = operations::Descriptor(both[1]);
  }
  operations::Descriptor ours;
  operations::Descriptor theirs;
};

// One packet as it is on the link.
struct Packet {
  std::string bytes;
  std::vector<int> descriptors;  // closed by ClosePacket
};

Packet ReceivePacket(int link) {
  const timeval at_most{.tv_sec = 30, .tv_usec = 0};
  EXPECT_EQ(::setsockopt(link, SOL_SOCKET, SO_RCVTIMEO, &at_most, sizeof at_most), 0);
  std::vector<char> bytes(256 * 1024);
  iovec part = {bytes.data(), bytes.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(8 * sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t size = ::recvmsg(link, &message, 0);
  Packet packet;
  if (size > 0) packet.bytes.assign(bytes.data(), static_cast<std::size_t>(size));
  const cmsghdr* const head = CMSG_FIRSTHDR(&message);
  if (head == nullptr) return packet;
  EXPECT_EQ(head->cmsg_level, SOL_SOCKET);
  EXPECT_EQ(head->cmsg_type, SCM_RIGHTS);
  packet.descriptors.resize((head->cmsg_len - CMSG_LEN(0)) / sizeof(int));
  std::memcpy(packet.descriptors.data(), CMSG_DATA(head), head->cmsg_len - CMSG_LEN(0));
  return packet;
}

void ClosePacket(const Packet& packet) {
  for (const int descriptor : packet.descriptors) ::close(descriptor);
}

bool SameFile(int one, int other) {
  struct stat first {};
  struct stat second {};
  return ::fstat(one, &first) == 0 && ::fstat(other, &second) == 0 && first.st_dev == second.st_dev &&
         first.st_ino == second.st_ino;
}

struct KindOnTheLink {
  Kind kind;
  char letter;
};

constexpr KindOnTheLink kKinds[] = {
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

// Guards the framing: a packet is the kind's letter and the text, nothing else, with the descriptors beside
// it in their order.
TEST(HandoverFormat, SendsALetterAndTheTextInOnePacket) {
  const std::string text("a b\0c", 5);
  for (const auto& [kind, letter] : kKinds) {
    SCOPED_TRACE(letter);
    SocketPair link;
    SocketPair passed;
    ASSERT_TRUE(operations::SendMessage(link.ours.get(), {.kind = kind, .text = text}));
    ASSERT_TRUE(operations::SendMessage(link.ours.get(), {.kind = kind, .descriptor = passed.ours.get()}));
    ASSERT_TRUE(operations::SendMessage(link.ours.get(), {.kind = kind,
                                                          .text = text,
                                                          .descriptor = passed.ours.get(),
                                                          .second_descriptor = passed.theirs.get()}));
    const Packet plain = ReceivePacket(link.theirs.get());
    EXPECT_EQ(plain.bytes, letter + text);
    EXPECT_TRUE(plain.descriptors.empty());
    const Packet with_one = ReceivePacket(link.theirs.get());
    EXPECT_EQ(with_one.bytes, std::string(1, letter));
    ASSERT_EQ(with_one.descriptors.size(), 1u);
    EXPECT_TRUE(SameFile(with_one.descriptors[0], passed.ours.get()));
    const Packet with_two = ReceivePacket(link.theirs.get());
    EXPECT_EQ(with_two.bytes, letter + text);
    ASSERT_EQ(with_two.descriptors.size(), 2u);
    EXPECT_TRUE(SameFile(with_two.descriptors[0], passed.ours.get()));
    EXPECT_TRUE(SameFile(with_two.descriptors[1], passed.theirs.get()));
    ClosePacket(with_one);
    ClosePacket(with_two);
  }
}

// The same from the other side: what ff1d420 sends is read as what it means.
TEST(HandoverFormat, ReadsALetterAndTheTextOfOnePacket) {
  for (const auto& [kind, letter] : kKinds) {
    SCOPED_TRACE(letter);
    SocketPair link;
    const std::string packet = letter + std::string("10.0.0.1:80 web 1");
    ASSERT_EQ(::send(link.ours.get(), packet.data(), packet.size(), 0), static_cast<ssize_t>(packet.size()));
    ASSERT_EQ(::send(link.ours.get(), &letter, 1, 0), 1);
    const auto result = operations::ReceiveMessage(link.theirs.get());
    ASSERT_EQ(result.status, operations::ReceiveStatus::kReceived);
    EXPECT_EQ(result.message.kind, kind);
    EXPECT_EQ(result.message.text, "10.0.0.1:80 web 1");
    EXPECT_FALSE(result.message.descriptor);
    EXPECT_FALSE(result.message.second_descriptor);
    const auto empty = operations::ReceiveMessage(link.theirs.get());
    ASSERT_EQ(empty.status, operations::ReceiveStatus::kReceived);
    EXPECT_EQ(empty.message.kind, kind);
    EXPECT_EQ(empty.message.text, "");
    EXPECT_EQ(operations::ReceiveMessage(link.theirs.get()).status,
              operations::ReceiveStatus::kNothingPending);
    link.ours = operations::Descriptor();
    EXPECT_EQ(operations::ReceiveMessage(link.theirs.get()).status, operations::ReceiveStatus::kClosed);
  }
}

TEST(HandoverFormat, TakesMessagesOfSeventyTwoKibibytes) {
  EXPECT_EQ(operations::kMaxMessageTextBytes, 73728u);
}

// Guards the place where versions find each other.
TEST(HandoverFormat, NamesTheSocketAfterTheListener) {
  EXPECT_EQ(config::HandoverSocketPath("/tmp/x", "127.0.0.1:8080"), "/tmp/x/meadowyard-127.0.0.1-8080");
  EXPECT_EQ(config::HandoverSocketPath("/run", "[::1]:80"), "/run/meadowyard-[--1]-80");
  const std::string folder(100 - std::strlen("/meadowyard-a-1"), 'f');
  EXPECT_EQ(config::HandoverSocketPath(folder, "a:1").size(), 100u);
  EXPECT_EQ(config::HandoverSocketPath(folder + "f", "a:1"), "");
}

// ---- The course of messages ----------------------------------------------------------------------

// Records what one process is notified of by the other one, a line each.
class Recorder : public operations::HotRestartDelegate {
 public:
  std::string SerializeState() override { return state; }
  int ClientListener() override { return listener.get(); }
  std::vector<operations::TunnelListener> TunnelListeners() override {
    return {{.name = "first", .descriptor = listener.get()},
            {.name = "second", .descriptor = listener.get()}};
  }
  std::size_t CountDescriptors() override { return 7; }
  void OnSuccessorServing() override { lines.emplace_back("successor serving"); }
  void OnSuccessorLost() override { lines.emplace_back("successor lost"); }
  void OnPredecessorDescriptors(std::size_t count) override {
    lines.push_back("predecessor descriptors " + std::to_string(count));
  }
  void AdoptClientConnection(std::string_view unread, operations::Descriptor connection) override {
    lines.push_back("client " + std::string(unread) + (connection ? " +1" : ""));
  }
  void AdoptHostConnection(const operations::HostConnectionInfo& info,
                           operations::Descriptor connection) override {
    lines.push_back("host " + info.host_id + " at " + discovery::FormatAddress(info.address) +
                    (connection ? " +1" : ""));
  }
  void AdoptTunnel(std::string_view text, operations::Descriptor client,
                   operations::Descriptor host) override {
    lines.push_back("tunnel " + std::string(text) + (client && host ? " +2" : ""));
  }
  void OnMaintenanceChanged(const operations::MaintenanceChange& change) override {
    lines.push_back((change.in_maintenance ? "in maintenance " : "maintenance ended ") + change.host_id);
  }
  bool Wait(boost::asio::io_context& io, std::size_t count) const {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (lines.size() < count && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds(50));
    }
    return lines.size() >= count;
  }

  std::string state;
  operations::Descriptor listener{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  std::vector<std::string> lines;
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

operations::Descriptor Connect(const std::string& path) {
  operations::Descriptor link(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path, path.data(), path.size());
  EXPECT_EQ(::connect(link.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return link;
}

void ExpectPacket(int link, const std::string& bytes, std::size_t descriptors) {
  Packet packet = ReceivePacket(link);
  EXPECT_EQ(packet.bytes.size(), bytes.size());
  EXPECT_TRUE(packet.bytes == bytes) << packet.bytes.substr(0, 40);
  EXPECT_EQ(packet.descriptors.size(), descriptors);
  ClosePacket(packet);
}

void SendPacket(int link, const std::string& bytes) {
  EXPECT_EQ(::send(link, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
}

// Guards what the next version is sent, from its first call on.
TEST(HandoverFormat, SendsTheNextVersionItsMessagesInOrder) {
  boost::asio::io_context io;
  TemporaryFolder folder;
  Recorder recorder;
  const std::string piece(operations::kMaxMessageTextBytes, 's');
  recorder.state = piece + piece + "rest";
  const std::string path = config::HandoverSocketPath(folder.path, "x");
  operations::HotRestartCoordinator coordinator(io, path, operations::Descriptor(), recorder);
  coordinator.StartServing();
  struct stat status {};
  ASSERT_EQ(::stat(path.c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 07777, 0600u);
  const operations::Descriptor link = Connect(path);
  io.run_one_for(std::chrono::seconds(30));
  ExpectPacket(link.get(), "S" + piece, 1);
  ExpectPacket(link.get(), "S" + piece, 0);
  ExpectPacket(link.get(), "Srest", 0);
  ExpectPacket(link.get(), "Lfirst", 1);
  ExpectPacket(link.get(), "Lsecond", 1);
  ExpectPacket(link.get(), "E", 0);
  SendPacket(link.get(), "R");
  ASSERT_TRUE(recorder.Wait(io, 1));
  EXPECT_EQ(recorder.lines[0], "successor serving");
  ExpectPacket(link.get(), "D7", 0);
  const SocketPair passed;
  EXPECT_TRUE(coordinator.PassClientConnection("GET / HT", passed.ours.get()));
  EXPECT_TRUE(coordinator.PassHostConnection({.host_id = "web 1", .address = Address("10.0.0.1", 80)},
                                             passed.ours.get()));
  EXPECT_TRUE(coordinator.PassTunnel("{\"a\":1}", passed.ours.get(), passed.theirs.get()));
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = true});
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = false});
  ExpectPacket(link.get(), "CGET / HT", 1);
  ExpectPacket(link.get(), "H10.0.0.1:80 web 1", 1);
  ExpectPacket(link.get(), "T{\"a\":1}", 2);
  ExpectPacket(link.get(), "Oweb-1", 0);
  ExpectPacket(link.get(), "Bweb-1", 0);
  SendPacket(link.get(), "Oweb-2");
  SendPacket(link.get(), "Bweb-2");
  ASSERT_TRUE(recorder.Wait(io, 3));
  EXPECT_EQ(recorder.lines[1], "in maintenance web-2");
  EXPECT_EQ(recorder.lines[2], "maintenance ended web-2");
}

// Guards what is read of the version before, and what that one is sent.
TEST(HandoverFormat, FollowsTheMessagesOfTheVersionBefore) {
  boost::asio::io_context io;
  Recorder recorder;
  SocketPair link;
  operations::HotRestartCoordinator coordinator(io, "", std::move(link.theirs), recorder);
  coordinator.StartServing();
  ExpectPacket(link.ours.get(), "R", 0);
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = true});
  coordinator.ReplicateMaintenance({.host_id = "web-1", .in_maintenance = false});
  ExpectPacket(link.ours.get(), "Oweb-1", 0);
  ExpectPacket(link.ours.get(), "Bweb-1", 0);
  for (const char* const packet : {"D321", "Oweb-2", "Bweb-2", "Znever heard of", "Hno-space", "D0"}) {
    SendPacket(link.ours.get(), packet);
  }
  const SocketPair passed;
  for (const operations::OutgoingMessage& message : {
           operations::OutgoingMessage{
               .kind = Kind::kClientConnection, .text = "GET /", .descriptor = passed.ours.get()},
           operations::OutgoingMessage{
               .kind = Kind::kHostConnection, .text = "[::1]:80 web 1", .descriptor = passed.ours.get()},
           operations::OutgoingMessage{
               .kind = Kind::kHostConnection, .text = "10.0.0.1:80 web 1", .descriptor = passed.ours.get()},
           operations::OutgoingMessage{.kind = Kind::kTunnel,
           .text = "{}",
           .descriptor = passed.ours.get(),
           .second_descriptor = passed.theirs.get()},
       }) {
    ASSERT_TRUE(operations::SendMessage(link.ours.get(), message));
  }
  link.ours = operations::Descriptor();
  ASSERT_TRUE(recorder.Wait(io, 8));
  const std::vector<std::string> expected = {"predecessor descriptors 321",
                                             "in maintenance web-2",
                                             "maintenance ended web-2",
                                             "predecessor descriptors 0",
                                             "client GET / +1",
                                             "host web 1 at 10.0.0.1:80 +1",
                                             "tunnel {} +2",
                                             "predecessor descriptors 0"};
  EXPECT_EQ(recorder.lines, expected);
}

}  // namespace
}  // namespace meadowyard::testing
