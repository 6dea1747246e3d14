#include "lab/faulty_gateway.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "config/config.hpp"
#include "discovery/discovery.hpp"
#include "lab/random.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr double kOften = 0.05;    // share of requests that the fault hits
constexpr double kHeldBack = 0.9;  // of its time, that a refusal is held back

std::string Response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

class FaultyGateway {
 public:
  FaultyGateway(asio::io_context& io, const config::Configuration& config, Fault fault)
      : io_(io),
        fault_(fault),
        random_(config.seed, "faults"),
        acceptor_(io, config.listen_address),
        discovery_(io, config.discovery_address, config.known_endpoints.revision,
                   {[this](const discovery::EndpointList& list) { Told(list); }, [this] { Again(); }}) {
    Told(config.known_endpoints);
    discovery_.Start();
    Accept();
  }

 private:
  using ClientPtr = std::shared_ptr<ServerStream>;

  void Told(const discovery::EndpointList& list) {
    // One fault is to go on with what was told once.
    if (list.is_snapshot && fault_ != Fault::kDrain) hosts_.clear();
    for (const discovery::EndpointRecord& host : list.endpoints) {
      if (host.endpoint.state == EndpointState::kUp) {
        hosts_[host.endpoint.id] = {host.address, host.endpoint.started_at};
      } else if (fault_ != Fault::kDrain) {
        hosts_.erase(host.endpoint.id);
      }
    }
  }
  void Again() {
    const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(300));
    timer->async_wait([this, timer](error_code ec) {
      if (!ec) discovery_.Start();
    });
  }
  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      const auto client = std::make_shared<ServerStream>(std::move(socket));
      clients_.insert(client);
      client->Start(
          {[this, weak = std::weak_ptr(client)](ServerStream::Message& message, Millis, Millis) {
             if (const auto c = weak.lock()) Got(c, message);
           },
           nullptr,
           [this, weak = std::weak_ptr(client)](ServerStream::End) { clients_.erase(weak.lock()); }});
      Accept();
    });
  }
  void Got(const ClientPtr& client, ServerStream::Message& message) {
    if (message.target() == "/up") return client->Write(Response(200, ""));
    const bool hit = random_.Chance(kOften);
    const bool safe = message.method() == boost::beast::http::verb::get;
    if (hit && fault_ == Fault::kLose) return;
    if (hit && fault_ == Fault::kHold) return HoldBack(client, message);
    if (hit && fault_ == Fault::kSwap)
      return client->Write(Response(200, "0123456789abcdef:" + std::string(200, 'x')));
    Forward(client, message, fault_ == Fault::kTwice && hit ? 2 : 1);
    if (fault_ == Fault::kDuplicate && hit && !safe) Forward(nullptr, message, 0);
  }
  void HoldBack(const ClientPtr& client, const ServerStream::Message& message) {
    const auto field = message["Req-Deadline"];
    const Millis allowed =
        std::strtod(std::string(field.data(), field.size()).c_str(), nullptr) / 1000;  // in us
    const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(allowed * kHeldBack));
    timer->async_wait([client, timer](error_code ec) {
      if (!ec) client->Write(Response(503, ""));
    });
  }
  // `answers`: how often the client is told.
  void Forward(const ClientPtr& client, const ServerStream::Message& message, int answers) {
    if (hosts_.empty()) {
      if (client) client->Write(Response(503, ""));
      return;
    }
    auto host = std::next(hosts_.begin(), static_cast<std::ptrdiff_t>(random_.Below(hosts_.size())));
    if (fault_ == Fault::kFlood) {  // all to the host that was started last
      host = std::max_element(hosts_.begin(), hosts_.end(),
                              [](const auto& a, const auto& b) { return a.second.second < b.second.second; });
    }
    std::ostringstream text;
    text << message;
    const auto socket = std::make_shared<tcp::socket>(io_);
    socket->async_connect(
        host->second.first, [socket, client, answers, request = std::move(text).str()](error_code ec) {
          if (ec) {
            if (client) client->Write(Response(503, ""));
            return;
          }
          const auto stream = std::make_shared<ClientStream>(std::move(*socket));
          const auto keep = std::make_shared<std::shared_ptr<ClientStream>>(stream);
          stream->Start({[client, answers, keep](ClientStream::Message& answer, Millis, Millis) {
                           const int status = answer.result_int() == 200      ? 200
                                              : answer["Srv-Declined"] == "1" ? 503
                                                                              : 502;
                           for (int i = 0; client && i < answers; ++i)
                             client->Write(Response(status, answer.body()));
                           const auto done = std::exchange(*keep, nullptr);
                           if (done) done->Close();
                         },
                         nullptr,
                         [client, keep](ClientStream::End) {
                           if (client) client->Write(Response(502, ""));
                           keep->reset();
                         }});
          stream->Write(request);
        });
  }

  asio::io_context& io_;
  const Fault fault_;
  Random random_;
  tcp::acceptor acceptor_;
  std::map<std::string, std::pair<tcp::endpoint, Millis>> hosts_;  // and when each was started
  std::set<ClientPtr> clients_;
  discovery::DiscoveryClient discovery_;
};

}  // namespace

Fault ParseFault(const std::string& name) {
  const std::vector<std::pair<std::string, Fault>> names = {
      {"none", Fault::kNone},   {"duplicate", Fault::kDuplicate}, {"lose", Fault::kLose},
      {"drain", Fault::kDrain}, {"hold", Fault::kHold},           {"twice", Fault::kTwice},
      {"swap", Fault::kSwap},   {"flood", Fault::kFlood}};
  for (const auto& [known, fault] : names) {
    if (known == name) return fault;
  }
  throw std::invalid_argument("no fault is named '" + name + "'");
}

void RunFaultyGateway(Fault fault) {
  asio::io_context io(1);
  const config::Configuration config =
      config::LoadConfiguration([](const char* name) -> const char* { return std::getenv(name); });
  FaultyGateway gateway(io, config, fault);
  asio::signal_set ends(io, SIGTERM, SIGINT);
  ends.async_wait([&](error_code, int) { io.stop(); });
  io.run();
}

}  // namespace meadowyard::lab
