#include "discovery/discovery.hpp"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/clock.hpp"
#include "discovery/times.hpp"

namespace meadowyard::discovery {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using tcp = asio::ip::tcp;

constexpr Millis kCallGap = 100;     // least time from call to call; the watch lapses after 200
constexpr Millis kTimerEarly = 0.5;  // timers know no fractions of a microsecond
constexpr Millis kTimerLate = 100;   // beyond it the loop stood still, or was far behind
constexpr Millis kToRead = 100;      // what lies in the socket then
constexpr std::size_t kMostList = 8 << 20;

EndpointState ToState(const std::string& phase) {
  if (phase == "up") return EndpointState::kUp;
  if (phase == "draining") return EndpointState::kDraining;
  if (phase == "removed") return EndpointState::kRemoved;
  throw std::invalid_argument("phase");
}

EndpointRecord ToHost(const json& entry) {
  EndpointRecord host;
  Endpoint& server = host.endpoint;
  server.id = entry.at("id").get<std::string>();
  if (server.id.empty()) throw std::invalid_argument("id");
  server.state = ToState(entry.at("phase").get<std::string>());
  server.zone = entry.value("locality", "");
  server.kind = entry.value("flavor", "");
  if (entry.contains("cell")) server.cell = entry["cell"].dump();
  server.weight = entry.value("size", 1.0);
  server.started_at = entry.value("up_since_ms", 0.0);
  const auto address = ParseAddress(entry.value("host_port", ""));
  if (!address && server.state != EndpointState::kRemoved) throw std::invalid_argument("host_port");
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
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (ec || error != std::errc() || end != last) return std::nullopt;
  return tcp::endpoint(address, port);
}

std::string FormatAddress(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string SerializeEndpointList(const EndpointList& list) {
  json members = json::array();
  for (const EndpointRecord& host : list.endpoints) {
    const Endpoint& s = host.endpoint;
    members.push_back({{"id", s.id},
                       {"host_port", FormatAddress(host.address)},
                       {"locality", s.zone},
                       {"flavor", s.kind},
                       {"phase", s.state == EndpointState::kUp         ? "up"
                                 : s.state == EndpointState::kDraining ? "draining"
                                                                       : "removed"},
                       {"size", s.weight},
                       {"up_since_ms", s.started_at}});
    // As it came: a number, or any other JSON.
    members.back()["cell"] = json::parse(s.cell, nullptr, false);
    if (s.cell.empty()) members.back().erase("cell");
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
    for (const json& entry : parsed.at("members")) list.endpoints.push_back(ToHost(entry));
    return list;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

// One call and all that its handlers use, so that those of a call given up touch nothing of the next.
struct DiscoveryClient::Call {
  Call(asio::io_context& io, std::optional<std::int64_t> revision) : timer(io), after(revision) {
    parser.body_limit(kMostList);
  }
  const Millis begun = core::Now();
  Millis due = 0;
  bool spared = false;  // its time was over, but the loop had stood still
  asio::steady_timer timer;
  const std::optional<std::int64_t> after;  // changes are asked for from here; nothing: the whole list
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
};

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint address,
                                 std::optional<std::int64_t> revision, Callbacks handlers)
    : io_(io), address_(address), revision_(revision), callbacks_(std::move(handlers)), pause_(io) {
  Renew();
}

void DiscoveryClient::Start() {
  if (std::exchange(watching_, true)) return;  // asking again would be one more call on a shared service
  Ask();
}

void DiscoveryClient::SetAddress(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  revision_.reset();
  ++moves_;
  Drop();
  watching_ = true;
  Ask();
}

bool DiscoveryClient::PollAgainSince(Millis since) {
  if (!watching_) return false;
  if (!connected_ || connected_at_ > since) return true;  // the call has yet to be written, or just was
  ++moves_;
  Drop();
  Ask();
  return true;
}

void DiscoveryClient::Stop() {
  ++moves_;
  Drop();
  watching_ = false;
}

// Fails the call unless it has come on by then.
void DiscoveryClient::Expect(const std::shared_ptr<Call>& call, Millis within) {
  call->due = core::Now() + within;
  call->timer.expires_after(core::ToDuration(within));
  call->timer.async_wait([this, call](error_code ec) {
    // One that was due already when the call came on is told all the same.
    if (ec || core::Now() < call->due - kTimerEarly) return;
    // One that comes late tells of this process, not of discovery: the answer may lie in the socket, unread
    // as the timer was.
    if (core::Now() - call->due > kTimerLate && !std::exchange(call->spared, true))
      return Expect(call, kToRead);
    Fail(call);
  });
}

void DiscoveryClient::Ask() {
  const auto call = call_ = std::make_shared<Call>(io_, revision_);
  if (connected_) {
    Expect(call, kLongPollWait + kLongPollGrace);
    return Connected(call, kLongPollWait);
  }
  Expect(call, kConnectTimeout);
  socket_->async_connect(address_, [this, call, socket = socket_](error_code ec) {
    if (call != call_) return;
    if (ec) return Fail(call);
    connected_ = true;
    connected_at_ = core::Now();
    error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    Expect(call, kFirstPollTimeout);
    Connected(call, kFirstPollWait);
  });
}

void DiscoveryClient::Connected(const std::shared_ptr<Call>& call, Millis wait) {
  call->request.method(http::verb::get);
  std::string target = "/discovery/hosts";
  if (call->after) {
    target += "?after=" + std::to_string(*call->after) + "&wait_ms=" + std::to_string(static_cast<int>(wait));
  }
  call->request.target(target);
  call->request.set(http::field::host, address_.address().to_string());
  http::async_write(*socket_, call->request, [this, call, socket = socket_](error_code ec, std::size_t) {
    if (call != call_) return;
    if (ec) return Fail(call);
    http::async_read(*socket, call->buffer, call->parser,
                     [this, call, socket](error_code read_ec, std::size_t) {
                       if (call != call_) return;
                       if (read_ec) return Fail(call);
                       Answered(call);
                     });
  });
}

void DiscoveryClient::Answered(const std::shared_ptr<Call>& call) {
  const auto& answer = call->parser.get();
  auto list = answer.result() == http::status::ok ? ParseEndpointList(answer.body()) : std::nullopt;
  if (!list) return Fail(call);
  // Changes to a list that is not the one held would leave hosts that have gone.
  if (!list->is_snapshot && (!call->after || list->revision < *call->after)) {
    revision_.reset();
    return Fail(call);
  }
  call->timer.cancel();
  call_.reset();
  if (!answer.keep_alive()) Renew();
  // A discovery that answers at once, as an agent with pushed lists does, must not be asked in a tight loop.
  pause_.expires_after(core::ToDuration(kCallGap - (core::Now() - call->begun)));
  pause_.async_wait([this, moves = moves_](error_code ec) {
    if (!ec && moves == moves_) Ask();
  });
  // Last: news that could not be taken in is asked for again.
  const std::int64_t revision = list->revision;
  callbacks_.on_update(std::move(*list));
  revision_ = revision;
}

void DiscoveryClient::Fail(const std::shared_ptr<Call>& call) {
  if (call != call_) return;
  Drop();
  watching_ = false;
  callbacks_.on_failure();
}

// Ends the call and the connection; whatever of them is still on its way finds that it is not the current
// one.
void DiscoveryClient::Drop() {
  if (call_) call_->timer.cancel();
  call_.reset();
  Renew();
}

// The next connection's descriptor is taken as the last one's is given back: whoever fills up the others,
// there is one to learn by that hosts leave.
void DiscoveryClient::Renew() {
  error_code ignored;
  if (socket_) socket_->close(ignored);
  connected_ = false;
  socket_ = std::make_shared<tcp::socket>(io_);
  socket_->open(address_.protocol(), ignored);  // the dial tries again, and tells
}

}  // namespace meadowyard::discovery
