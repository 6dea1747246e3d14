/// @file
/// What operators' calls answer, to the byte: tools of the operators depend on these replies, so they never
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
  std::string reply;
};

std::string Reply(const std::string& status, const std::string& type, const std::string& body,
                  const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + type + "\r\n" + more +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string TextReply(const std::string& status, const std::string& body) {
  return Reply(status, "text/plain", body);
}
std::string JsonReply(const std::string& body) { return Reply("200 OK", "application/json", body); }
std::string Get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
std::string Put(const std::string& target) { return "PUT " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

// A gateway that has tunnels and peers only if `complete`.
struct Gateway : operations::AdminDelegate {
  explicit Gateway(bool complete_gateway,
                   operations::AdminServer::Limits limits = operations::AdminServer::Limits())
      : complete(complete_gateway), server(io, Loopback(), limits, *this) {}

  bool IsReady() override { return ready; }
  std::string MetricsJson() override { return "{\"sends\":1}"; }
  bool ChangeMaintenance(const operations::MaintenanceChange& change) override {
    return change.host_id == "web 1";
  }
  std::optional<std::string> TunnelsJson() override {
    return complete ? std::optional<std::string>("[7]") : std::nullopt;
  }
  bool CloseTunnel(std::uint64_t id) override { return id == 7; }
  std::optional<std::string> PeersJson() override {
    return complete ? std::optional<std::string>("{}") : std::nullopt;
  }

  // All bytes until the end of the connection.
  std::string Call(const std::string& request) {
    tcp::socket socket(io);
    socket.connect(server.address());
    asio::write(socket, asio::buffer(request));
    std::string reply;
    bool ended = false;
    asio::async_read(socket, asio::dynamic_buffer(reply), [&](error_code, std::size_t) { ended = true; });
    EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
    return reply;
  }

  bool ready = true;
  const bool complete;
  asio::io_context io;
  operations::AdminServer server;
};

TEST(AdminReplies, StayTheSameToTheByte) {
  const std::string not_found = TextReply("404 Not Found", "no such path\n");
  const std::string wanted_host = TextReply("400 Bad Request", "target: one host id is wanted\n");
  const std::string wanted_id = TextReply("400 Bad Request", "id: one tunnel's number is wanted\n");
  const std::string unknown_id = TextReply("404 Not Found", "no tunnel has this number\n");
  const auto wrong_method = [](const std::string& allowed) {
    return Reply("405 Method Not Allowed", "text/plain", "the path takes another method\n",
                 "Allow: " + allowed + "\r\n");
  };
  const std::vector<Exchange> exchanges = {
      {Get("/status"), TextReply("200 OK", "yes\n")},
      {Get("/status?x=1"), TextReply("200 OK", "yes\n")},
      {Get("/status/metrics"), JsonReply("{\"sends\":1}")},
      {Get("/status/peers"), JsonReply("{}")},
      {Get("/status/tunnels"), JsonReply("[7]")},
      {Put("/tunnels/close?id=7"), TextReply("200 OK", "closed\n")},
      {Put("/tunnels/close?id=8"), unknown_id},
      {Put("/tunnels/close?id=99999999999999999999999"), unknown_id},
      {Put("/tunnels/close?id=7x"), wanted_id},
      {Put("/tunnels/close?id=-7"), wanted_id},
      {Put("/tunnels/close"), wanted_id},
      {Put("/maintenance/enter?target=web+1"), TextReply("200 OK", "left out\n")},
      {Put("/maintenance/exit?a=b&target=web%201&"), TextReply("200 OK", "put back\n")},
      {Put("/maintenance/enter?target=web2"), TextReply("404 Not Found", "no host has this id\n")},
      {Put("/maintenance/exit"), wanted_host},
      {Put("/maintenance/exit?target"), wanted_host},
      {Put("/maintenance/exit?target=a&target=a"), wanted_host},
      {Put("/maintenance/exit?target=%2"), wanted_host},
      {Put("/maintenance/exit?target=%2x"), wanted_host},
      {Put("/status"), wrong_method("GET")},
      {Put("/status/peers"), wrong_method("GET")},
      {Get("/tunnels/close?id=7"), wrong_method("PUT")},
      {Get("/maintenance/exit?target=a"), wrong_method("PUT")},
      {Get("/"), not_found},
      {Get("/status/"), not_found},
      {Put("/maintenance"), not_found},
      {"GET /status HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
       TextReply("400 Bad Request", "where the body ends is not clear\n")},
      {"GET /status HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       TextReply("400 Bad Request", "bad Transfer-Encoding\n")},
      {"BOGUS\r\n\r\n", TextReply("400 Bad Request", "bad method\n")},
      {"GET / HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n",
       TextReply("400 Bad Request", "header limit exceeded\n")},
  };
  Gateway gateway(true);
  for (const Exchange& exchange : exchanges) {
    EXPECT_EQ(gateway.Call(exchange.request), exchange.reply) << exchange.request.substr(0, 80);
  }
}

TEST(AdminReplies, SayWhatAGatewayLacks) {
  const std::string not_found = TextReply("404 Not Found", "no such path\n");
  Gateway gateway(false);
  gateway.ready = false;
  EXPECT_EQ(gateway.Call(Get("/status")), TextReply("503 Service Unavailable", "no\n"));
  for (const std::string& request :
       {Get("/status/peers"), Get("/status/tunnels"), Put("/tunnels/close?id=7"), Put("/tunnels/close")}) {
    EXPECT_EQ(gateway.Call(request), not_found) << request;
  }
}

TEST(AdminReplies, NameARequestThatIsNotCompletedInTime) {
  operations::AdminServer::Limits limits;
  limits.timeouts.request = 1;
  Gateway gateway(true, limits);
  EXPECT_EQ(gateway.Call("GET /sta"), TextReply("408 Request Timeout", "the call is not whole\n"));
}

}  // namespace
}  // namespace meadowyard::testing
