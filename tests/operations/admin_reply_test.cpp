/// @file
/// The exact bytes of the responses to operators' calls. Operators' tools depend on them, so they must never
/// change.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "operations/admin_server.hpp"
#include "peers.hpp"

namespace meadowyard::testing {
namespace {

struct Exchange {
  std::string request;
  std::string response;
};

std::string FormatResponse(const std::string& status, const std::string& content_type,
                           const std::string& body, const std::string& extra_headers = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + content_type + "\r\n" + extra_headers +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string TextResponse(const std::string& status, const std::string& body) {
  return FormatResponse(status, "text/plain", body);
}
std::string JsonResponse(const std::string& body) {
  return FormatResponse("200 OK", "application/json", body);
}
std::string Get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
std::string Put(const std::string& target) { return "PUT " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

// Has tunnel support and peers only if `has_tunnels_and_peers`.
struct FakeGateway : operations::AdminDelegate {
  explicit FakeGateway(bool with_tunnels_and_peers,
                       operations::AdminServer::Limits limits = operations::AdminServer::Limits())
      : has_tunnels_and_peers(with_tunnels_and_peers), server(io, Loopback(), limits, *this) {}

  bool IsReady() override { return ready; }
  std::string MetricsJson() override { return "{\"sends\":1}"; }
  bool ChangeMaintenance(const operations::MaintenanceChange& change) override {
    return change.host_id == "web 1";
  }
  std::optional<std::string> TunnelsJson() override {
    return has_tunnels_and_peers ? std::optional<std::string>("[7]") : std::nullopt;
  }
  bool CloseTunnel(std::uint64_t id) override { return id == 7; }
  std::optional<std::string> PeersJson() override {
    return has_tunnels_and_peers ? std::optional<std::string>("{}") : std::nullopt;
  }

  // Sends `request` and returns all bytes received until the server closes the connection.
  std::string Call(const std::string& request) {
    tcp::socket socket(io);
    socket.connect(server.address());
    asio::write(socket, asio::buffer(request));
    std::string response;
    bool closed = false;
    asio::async_read(socket, asio::dynamic_buffer(response), [&](error_code, std::size_t) { closed = true; });
    EXPECT_TRUE(RunUntil(io, [&] { return closed; }));
    return response;
  }

  bool ready = true;
  const bool has_tunnels_and_peers;
  asio::io_context io;
  operations::AdminServer server;
};

// Guards operators' tools against a changed status, header or body, for valid and invalid requests.
TEST(AdminResponses, HaveUnchangedBytes) {
  const std::string not_found = TextResponse("404 Not Found", "no such path\n");
  const std::string host_id_required = TextResponse("400 Bad Request", "target: one host id is wanted\n");
  const std::string tunnel_id_required =
      TextResponse("400 Bad Request", "id: one tunnel's number is wanted\n");
  const std::string unknown_tunnel = TextResponse("404 Not Found", "no tunnel has this number\n");
  const auto wrong_method = [](const std::string& allowed) {
    return FormatResponse("405 Method Not Allowed", "text/plain", "the path takes another method\n",
                          "Allow: " + allowed + "\r\n");
  };
  const std::vector<Exchange> exchanges = {
      {Get("/status"), TextResponse("200 OK", "yes\n")},
      {Get("/status?x=1"), TextResponse("200 OK", "yes\n")},
      {Get("/status/metrics"), JsonResponse("{\"sends\":1}")},
      {Get("/status/peers"), JsonResponse("{}")},
      {Get("/status/tunnels"), JsonResponse("[7]")},
      {Put("/tunnels/close?id=7"), TextResponse("200 OK", "closed\n")},
      {Put("/tunnels/close?id=8"), unknown_tunnel},
      {Put("/tunnels/close?id=99999999999999999999999"), unknown_tunnel},
      {Put("/tunnels/close?id=7x"), tunnel_id_required},
      {Put("/tunnels/close?id=-7"), tunnel_id_required},
      {Put("/tunnels/close"), tunnel_id_required},
      {Put("/maintenance/enter?target=web+1"), TextResponse("200 OK", "left out\n")},
      {Put("/maintenance/exit?a=b&target=web%201&"), TextResponse("200 OK", "put back\n")},
      {Put("/maintenance/enter?target=web2"), TextResponse("404 Not Found", "no host has this id\n")},
      {Put("/maintenance/exit"), host_id_required},
      {Put("/maintenance/exit?target"), host_id_required},
      {Put("/maintenance/exit?target=a&target=a"), host_id_required},
      {Put("/maintenance/exit?target=%2"), host_id_required},
      {Put("/maintenance/exit?target=%2x"), host_id_required},
      {Put("/status"), wrong_method("GET")},
      {Put("/status/peers"), wrong_method("GET")},
      {Get("/tunnels/close?id=7"), wrong_method("PUT")},
      {Get("/maintenance/exit?target=a"), wrong_method("PUT")},
      {Get("/"), not_found},
      {Get("/status/"), not_found},
      {Put("/maintenance"), not_found},
      {"GET /status HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
       TextResponse("400 Bad Request", "where the body ends is not clear\n")},
      {"GET /status HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       TextResponse("400 Bad Request", "bad Transfer-Encoding\n")},
      {"BOGUS\r\n\r\n", TextResponse("400 Bad Request", "bad method\n")},
      {"GET / HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n",
       TextResponse("400 Bad Request", "header limit exceeded\n")},
  };
  FakeGateway gateway(true);
  for (const Exchange& exchange : exchanges) {
    EXPECT_EQ(gateway.Call(exchange.request), exchange.response) << exchange.request.substr(0, 80);
  }
}

// Guards against calls that appear to succeed on a gateway without tunnels or peers, and checks the response
// of a gateway that isn't ready.
TEST(AdminResponses, ReportMissingFeaturesAsUnknownPaths) {
  const std::string not_found = TextResponse("404 Not Found", "no such path\n");
  FakeGateway gateway(false);
  gateway.ready = false;
  EXPECT_EQ(gateway.Call(Get("/status")), TextResponse("503 Service Unavailable", "no\n"));
  for (const std::string& request :
       {Get("/status/peers"), Get("/status/tunnels"), Put("/tunnels/close?id=7"), Put("/tunnels/close")}) {
    EXPECT_EQ(gateway.Call(request), not_found) << request;
  }
}

// Guards against a connection closed without a response when the request's end doesn't arrive in time.
TEST(AdminResponses, ReportARequestTimeout) {
  operations::AdminServer::Limits limits;
  limits.timeouts.request = 1;
  FakeGateway gateway(true, limits);
  EXPECT_EQ(gateway.Call("GET /sta"), TextResponse("408 Request Timeout", "the call is not whole\n"));
}

}  // namespace
}  // namespace meadowyard::testing
