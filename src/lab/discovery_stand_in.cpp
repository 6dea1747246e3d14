#include "lab/discovery_stand_in.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using nlohmann::json;

constexpr Millis kMostWatch = 60000;

std::optional<double> Parameter(const std::string& target, const std::string& name) {
  for (const char* const mark : {"?", "&"}) {
    const std::size_t at = target.find(mark + name + "=");
    if (at == std::string::npos) continue;
    double value = 0;
    const char* const first = target.data() + at + name.size() + 2;
    const auto [end, error] = std::from_chars(first, target.data() + target.size(), value);
    if (error == std::errc()) return value;
  }
  return std::nullopt;
}

std::string Response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

DiscoveryStandIn::DiscoveryStandIn(asio::io_context& io, const DiscoverySpec& spec, int gateways,
                                   FleetLedger& ledger, Seen seen)
    : io_(io), spec_(spec), ledger_(ledger), seen_(std::move(seen)) {
  for (int g = 0; g < gateways; ++g) {
    doors_.push_back(std::make_unique<Door>(Door{tcp::acceptor(io), {}}));
    ports_.emplace_back(io);
    Listen(g);
  }
}

std::vector<std::string> DiscoveryStandIn::addresses() const {
  std::vector<std::string> all;
  for (const KeptPort& port : ports_) all.push_back("127.0.0.1:" + std::to_string(port.address().port()));
  return all;
}

void DiscoveryStandIn::Listen(int gateway) {
  auto& acceptor = doors_[static_cast<std::size_t>(gateway)]->acceptor;
  acceptor = ports_[static_cast<std::size_t>(gateway)].Listen(io_);
  Accept(gateway);
}

void DiscoveryStandIn::Accept(int gateway) {
  doors_[static_cast<std::size_t>(gateway)]->acceptor.async_accept(
      [this, gateway](error_code ec, tcp::socket socket) {
        if (ec) return;
        const auto stream = std::make_shared<ServerStream>(std::move(socket));
        streams_.insert(stream);
        stream->Start(
            {[this, gateway, weak = std::weak_ptr(stream)](ServerStream::Message& message, Millis, Millis) {
               const auto target = message.target();
               Called(weak.lock(), gateway, {target.data(), target.size()});
             },
             nullptr,
             [this, weak = std::weak_ptr(stream)](ServerStream::End) {
               const auto ended = weak.lock();
               watches_.remove_if([&](const Watch& watch) { return watch.stream == ended; });
               streams_.erase(ended);
             }});
        Accept(gateway);
      });
}

// One after the other: whoever would wait its turn for too long is told so at once.
void DiscoveryStandIn::Called(const std::shared_ptr<ServerStream>& stream, int gateway,
                              const std::string& target) {
  ++ledger_.discovery_calls;
  if (!target.starts_with("/discovery/hosts")) return stream->Write(Response(404, ""));
  const Millis now = Clock();
  const Millis turn = std::max(now, busy_until_);
  if (turn - now > spec_.most_wait) return stream->Write(Response(503, ""));
  busy_until_ = turn + spec_.call_work;
  const auto after = Parameter(target, "after");
  const Millis wait = std::min(kMostWatch, Parameter(target, "wait_ms").value_or(0));
  const auto serve = [this, stream, gateway, revision = after ? static_cast<std::int64_t>(*after) : -1,
                      wait] {
    if (stream->open()) Serve(stream, gateway, revision, wait);
  };
  if (busy_until_ - now < 0.2) return serve();
  const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(busy_until_ - now));
  timer->async_wait([timer, serve](error_code ec) {
    if (!ec) serve();
  });
}

void DiscoveryStandIn::Serve(const std::shared_ptr<ServerStream>& stream, int gateway, std::int64_t after,
                             Millis wait) {
  if (after < 0 || after > revision_) return Tell(stream, gateway, 0, true);
  if (after < revision_ || wait <= 0) return Tell(stream, gateway, after, false);
  Watch watch{stream, gateway, after, std::make_unique<asio::steady_timer>(io_, Wait(wait))};
  watch.timer->async_wait([this, stream, gateway, after](error_code ec) {
    // One that was told of a change as its time ran out has its answer.
    if (ec || watches_.remove_if([&](const Watch& w) { return w.stream == stream; }) == 0) return;
    Tell(stream, gateway, after, false);
  });
  watches_.push_back(std::move(watch));
}

void DiscoveryStandIn::Tell(const std::shared_ptr<ServerStream>& stream, int gateway, std::int64_t after,
                            bool whole) {
  json members = json::array();
  auto& up = doors_[static_cast<std::size_t>(gateway)]->up;
  const Millis now = Clock();
  std::vector<Told> told;
  for (const auto& [host, entry] : entries_) {
    const bool removed = entry.member.phase == "removed";
    if (whole ? removed && !up.contains(host) : entry.revision <= after) continue;
    if (!(whole && removed)) members.push_back(ToJson(gateway, host, entry.member));
    told.push_back({now, gateway, host, entry.member.phase == "up"});
  }
  stream->Write(
      Response(200, json{{"revision", revision_}, {"complete", whole}, {"members", members}}.dump()));
  for (const Told& t : told) {
    t.up ? (void)up.insert(t.host) : (void)up.erase(t.host);
    ledger_.told.push_back(t);
  }
}

void DiscoveryStandIn::Put(int host, const Member& member) {
  entries_[host] = {member, ++revision_};
  for (auto& door : doors_) door->up.insert(host);
}

void DiscoveryStandIn::Change(int host, const Member& member) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(spec_.delay));
  timer->async_wait([this, timer, host, member](error_code ec) {
    if (ec) return;
    entries_[host] = {member, ++revision_};
    auto waiting = std::move(watches_);
    watches_.clear();
    for (Watch& watch : waiting) {
      watch.timer->cancel();
      Tell(watch.stream, watch.gateway, watch.after, false);
    }
  });
}

void DiscoveryStandIn::Dark(bool dark) {
  if (std::exchange(dark_, dark) == dark) return;
  watches_.clear();
  for (const auto& stream : std::exchange(streams_, {})) stream->Reset();
  for (std::size_t g = 0; g < doors_.size(); ++g) {
    error_code ignored;
    dark ? (void)doors_[g]->acceptor.close(ignored) : Listen(static_cast<int>(g));
  }
}

json DiscoveryStandIn::List(int gateway) const {
  json members = json::array();
  for (const auto& [host, entry] : entries_) {
    if (entry.member.phase != "removed") members.push_back(ToJson(gateway, host, entry.member));
  }
  return {{"revision", revision_}, {"complete", true}, {"members", members}};
}

json DiscoveryStandIn::ToJson(int gateway, int host, Member m) const {
  if (seen_) seen_(gateway, host, m);
  return {{"id", m.id}, {"host_port", m.address}, {"locality", m.hall}, {"flavor", m.kind},
          {"cell", 0},  {"phase", m.phase},       {"size", m.size},     {"up_since_ms", m.up_since}};
}

}  // namespace meadowyard::lab
