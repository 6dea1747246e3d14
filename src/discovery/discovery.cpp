#include "discovery/discovery.hpp"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "core/clock.hpp"
#include "core/write_all.hpp"
#include "discovery/start_times.hpp"
#include "discovery/times.hpp"

namespace meadowyard::discovery {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using tcp = asio::ip::tcp;

// Least time between the starts of two polls. The discovery service drops a watch after 200 ms without a
// poll.
constexpr Millis kMinPollInterval = 100;
// Timers are rounded to full microseconds and may fire slightly before the deadline.
constexpr Millis kTimerRounding = 0.5;
// A timer that fires later than this shows that the event loop was stopped or overloaded.
constexpr Millis kMaxTimerDelay = 100;
// Extra time after such a stall to read an answer that is already in the socket's buffer.
constexpr Millis kReadAfterStallTimeout = 100;
// A poll that was answered later than this has waited for a change: one that had happened before is reported
// at once.
constexpr Millis kMinWatchTime = 300;
constexpr std::size_t kMaxListBytes = 8 << 20;

EndpointState ParseState(const std::string& phase) {
  if (phase == "up") return EndpointState::kUp;
  if (phase == "draining") return EndpointState::kDraining;
  if (phase == "removed") return EndpointState::kRemoved;
  throw std::invalid_argument("phase");
}

EndpointRecord ParseHost(const json& entry) {
  EndpointRecord host;
  Endpoint& host_endpoint = host.endpoint;
  host_endpoint.id = entry.at("id").get<std::string>();
  if (host_endpoint.id.empty()) throw std::invalid_argument("id");
  host_endpoint.state = ParseState(entry.at("phase").get<std::string>());
  host_endpoint.zone = entry.value("locality", "");
  host_endpoint.kind = entry.value("flavor", "");
  if (entry.contains("cell")) host_endpoint.cell = entry["cell"].dump();
  host_endpoint.weight = entry.value("size", 1.0);
  host_endpoint.started_at = entry.value("up_since_ms", 0.0);
  const auto address = ParseAddress(entry.value("host_port", ""));
  if (!address && host_endpoint.state != EndpointState::kRemoved) throw std::invalid_argument("host_port");
  if (address) host.address = *address;
  return host;
}

}  // namespace

std::optional<tcp::endpoint> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  error_code ec;
  const auto address = asio::ip::make_address(text.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, text_end, port);
  if (ec || error != std::errc() || end != text_end) return std::nullopt;
  return tcp::endpoint(address, port);
}

std::string FormatAddress(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string SerializeEndpointList(const EndpointList& list) {
  json members = json::array();
  for (const EndpointRecord& host : list.endpoints) {
    const Endpoint& listed_endpoint = host.endpoint;
    members.push_back({{"id", listed_endpoint.id},
                       {"host_port", FormatAddress(host.address)},
                       {"locality", listed_endpoint.zone},
                       {"flavor", listed_endpoint.kind},
                       {"phase", listed_endpoint.state == EndpointState::kUp         ? "up"
                                 : listed_endpoint.state == EndpointState::kDraining ? "draining"
                                                                                     : "removed"},
                       {"size", listed_endpoint.weight},
                       {"up_since_ms", listed_endpoint.started_at}});
    // The cell is kept as it was received: a number or any other JSON value.
    members.back()["cell"] = json::parse(listed_endpoint.cell, nullptr, false);
    if (listed_endpoint.cell.empty()) members.back().erase("cell");
  }
  return json{{"revision", list.revision}, {"complete", list.is_snapshot}, {"members", members}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

std::optional<EndpointList> ParseEndpointList(std::string_view text) {
  try {
    const json parsed = json::parse(text);
    EndpointList list;
    list.revision = parsed.at("revision").get<std::int64_t>();
    list.is_snapshot = parsed.at("complete").get<bool>();
    for (const json& entry : parsed.at("members")) list.endpoints.push_back(ParseHost(entry));
    return list;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

// One poll with all state that its completion handlers use. Late handlers of an aborted poll can't modify
// the state of the next one.
struct DiscoveryClient::Poll {
  Poll(asio::io_context& io, std::optional<std::int64_t> revision) : timer(io), after_revision(revision) {
    parser.body_limit(kMaxListBytes);
  }
  const Millis start_time = core::Now();
  Millis deadline = 0;
  bool deadline_extended = false;  // at most once, when the event loop was stalled at the deadline
  asio::steady_timer timer;
  // Requests the changes since this revision; without one, requests a snapshot.
  const std::optional<std::int64_t> after_revision;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
};

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint address,
                                 std::optional<std::int64_t> revision, Callbacks callbacks)
    : io_(io),
      address_(address),
      revision_(revision),
      callbacks_(std::move(callbacks)),
      next_poll_timer_(io) {
  ReopenSocket();
}

void DiscoveryClient::Start() {
  if (std::exchange(watching_, true)) return;  // a second poll would add load to a shared service
  StartPoll();
}

void DiscoveryClient::SetAddress(const tcp::endpoint& address) {
  if (address == address_) return;
  const tcp::endpoint previous_address = std::exchange(address_, address);
  revision_.reset();
  ++generation_;
  AbortPoll();
  watching_ = true;
  try {
    StartPoll();
  } catch (...) {
    address_ = previous_address;
    AbortPoll();
    watching_ = false;
    callbacks_.on_failure();
    throw;
  }
}

bool DiscoveryClient::PollAgainSince(Millis since) {
  if (!watching_) return false;
  // The pending poll is not written yet, or it uses a connection established after `since`.
  if (!connected_ || connected_at_ > since) return true;
  ++generation_;
  AbortPoll();
  StartPoll();
  return true;
}

void DiscoveryClient::Stop() {
  ++generation_;
  AbortPoll();
  watching_ = false;
}

// Fails the poll at the deadline unless it has completed or a later deadline has been set.
void DiscoveryClient::SetDeadline(const std::shared_ptr<Poll>& poll, Millis timeout) {
  poll->deadline = core::Now() + timeout;
  poll->timer.expires_after(core::ToDuration(timeout));
  poll->timer.async_wait([this, poll](error_code ec) {
    // The handler was already queued when the deadline was extended: cancelling doesn't remove it.
    if (ec || core::Now() < poll->deadline - kTimerRounding) return;
    // A timer that fires late shows that this process was stalled, not that discovery was slow: the answer
    // may be in the socket's buffer, not read yet.
    if (core::Now() - poll->deadline > kMaxTimerDelay && !std::exchange(poll->deadline_extended, true))
      return SetDeadline(poll, kReadAfterStallTimeout);
    Fail(poll);
  });
}

void DiscoveryClient::StartPoll() {
  const auto poll = poll_ = std::make_shared<Poll>(io_, revision_);
  if (connected_) {
    SetDeadline(poll, kLongPollWait + kLongPollGrace);
    return SendRequest(poll, kLongPollWait);
  }
  SetDeadline(poll, kConnectTimeout);
  socket_->async_connect(address_, [this, poll, socket = socket_](error_code ec) {
    if (poll != poll_) return;
    if (ec) return Fail(poll);
    connected_ = true;
    connected_at_ = core::Now();
    error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    SetDeadline(poll, kFirstPollTimeout);
    SendRequest(poll, kFirstPollWait);
  });
}

void DiscoveryClient::SendRequest(const std::shared_ptr<Poll>& poll, Millis wait) {
  poll->request.method(http::verb::get);
  std::string target = "/discovery/hosts";
  if (poll->after_revision) {
    target += "?after=" + std::to_string(*poll->after_revision) +
              "&wait_ms=" + std::to_string(static_cast<int>(wait));
  }
  poll->request.target(target);
  poll->request.set(http::field::host, address_.address().to_string());
  std::ostringstream text;
  text << poll->request;
  error_code ignored;
  socket_->non_blocking(true, ignored);
  const auto request = std::make_shared<const std::string>(text.str());
  core::WriteAll(*socket_, request, 0, [this, poll, socket = socket_](error_code ec) {
    if (poll != poll_) return;
    if (ec) return Fail(poll);
    http::async_read(*socket, poll->buffer, poll->parser,
                     [this, poll, socket](error_code read_ec, std::size_t) {
                       if (poll != poll_) return;
                       if (read_ec) return Fail(poll);
                       HandleAnswer(poll);
                     });
  });
}

void DiscoveryClient::HandleAnswer(const std::shared_ptr<Poll>& poll) {
  const auto& answer = poll->parser.get();
  auto list = answer.result() == http::status::ok ? ParseEndpointList(answer.body()) : std::nullopt;
  if (!list) return Fail(poll);
  // Changes that don't continue the held revision can't be applied: hosts removed in between would stay.
  if (!list->is_snapshot && (!poll->after_revision || list->revision < *poll->after_revision)) {
    revision_.reset();
    return Fail(poll);
  }
  const Millis now = core::Now();
  const bool waited = now - poll->start_time >= kMinWatchTime;
  const bool is_held_list_recent = answered_at_ > 0 && now - answered_at_ <= kMaxChangeAge;
  list->changed_recently = poll->after_revision && (waited || is_held_list_recent);
  answered_at_ = now;
  poll->timer.cancel();
  poll_.reset();
  if (!poll->parser.keep_alive()) ReopenSocket();
  // A discovery that answers at once, such as an agent that receives pushed lists, must not be polled in a
  // tight loop.
  next_poll_timer_.expires_after(core::ToDuration(kMinPollInterval - (core::Now() - poll->start_time)));
  next_poll_timer_.async_wait([this, generation = generation_](error_code ec) {
    if (!ec && generation == generation_) StartPoll();
  });
  // The revision is stored after the callback: if the callback throws, the update is requested again.
  const std::int64_t revision = list->revision;
  callbacks_.on_update(std::move(*list));
  revision_ = revision;
}

void DiscoveryClient::Fail(const std::shared_ptr<Poll>& poll) {
  if (poll != poll_) return;
  AbortPoll();
  watching_ = false;
  callbacks_.on_failure();
}

// Ends the poll and closes its connection. Pending handlers find that their poll is no longer the current one
// and return.
void DiscoveryClient::AbortPoll() {
  if (poll_) poll_->timer.cancel();
  poll_.reset();
  ReopenSocket();
}

// Opens the next socket right after closing the last one, so that its file descriptor is reserved. Even if
// other connections use up all descriptors, the gateway can reconnect and learn that hosts are leaving.
void DiscoveryClient::ReopenSocket() {
  error_code ignored;
  if (socket_) socket_->close(ignored);
  connected_ = false;
  socket_ = std::make_shared<tcp::socket>(io_);
  socket_->open(address_.protocol(), ignored);  // on failure async_connect opens it and reports the error
}

}  // namespace meadowyard::discovery
