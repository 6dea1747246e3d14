// Scripted HTTP servers and clients on loopback that act as the gateway's peers in tests. They share the
// gateway's event loop. Tests wait for conditions rather than for fixed delays.
#ifndef MEADOWYARD_TESTS_PEERS_HPP_
#define MEADOWYARD_TESTS_PEERS_HPP_

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http/messages.hpp"

namespace meadowyard::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using meadowyard::HttpRequest;
using meadowyard::HttpResponse;
using tcp = asio::ip::tcp;

inline tcp::endpoint Loopback(unsigned short port = 0) { return {asio::ip::address_v4::loopback(), port}; }

inline std::string ToText(const tcp::endpoint& socket_address) {
  return socket_address.address().to_string() + ":" + std::to_string(socket_address.port());
}

// Runs the event loop until `condition` returns true; returns false after 30 s, far longer than a passing
// test needs.
template <typename Condition>
bool RunUntil(asio::io_context& io, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

// An HTTP server that records each request and answers only when the test calls Answer() on it or
// `serve` does so.
class Peer {
 public:
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(Peer& owner, tcp::socket accepted_socket) : peer(owner), socket(std::move(accepted_socket)) {}

    void Read() {
      parser.emplace();
      parser->body_limit(1 << 20);
      http::async_read(socket, buffer, *parser, [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec) {
          self->ended = true;
          return;
        }
        self->peer.requests.push_back({self->parser->release(), self});
        self->Read();
        if (self->peer.serve) self->peer.serve(self->peer.requests.back());
      });
    }
    void WriteRaw(std::string text) {
      const auto pending_text = std::make_shared<std::string>(std::move(text));
      asio::async_write(socket, asio::buffer(*pending_text),
                        [pending_text, self = shared_from_this()](error_code, std::size_t) {});
    }
    void Close() {
      error_code ignored;
      socket.close(ignored);
    }
    void Reset() {
      error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }

    Peer& peer;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    bool ended = false;  // reading failed: closed or reset by the gateway, or malformed data
  };

  struct ReceivedRequest {
    HttpRequest http;
    std::shared_ptr<Connection> source_connection;  // the connection on which the request arrived

    void Answer(int status, std::string body, const std::string& field = "",
                const std::string& value = "") const {
      HttpResponse response(static_cast<http::status>(status), 11);
      response.body() = std::move(body);
      response.prepare_payload();
      if (!field.empty()) response.set(field, value);
      std::ostringstream text;
      text << response;
      source_connection->WriteRaw(text.str());
    }
  };

  explicit Peer(asio::io_context& io) : io_(io), acceptor_(io, Loopback()) { Accept(); }
  ~Peer() {
    for (const auto& connection : connections) connection->Close();
  }

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void StopListening() { acceptor_.close(); }

  std::vector<ReceivedRequest> requests;
  std::vector<std::shared_ptr<Connection>> connections;
  std::function<void(const ReceivedRequest&)> serve;  // if set, called for each request

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<Connection>(*this, std::move(socket)));
      connections.back()->Read();
      Accept();
    });
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
};

// An HTTP client with one connection to the gateway, opened by the constructor.
class Client {
 public:
  Client(asio::io_context& io, const tcp::endpoint& socket_address)
      : io_(io), state_(std::make_shared<State>(io)) {
    state_->socket.connect(socket_address);
    Read(state_);
  }
  ~Client() { CloseConnection(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& text) {
    error_code ignored;  // the gateway may close the connection before it has read all of the text
    asio::write(state_->socket, asio::buffer(text), ignored);
  }
  void CloseConnection() {
    error_code ignored;
    state_->socket.close(ignored);
  }

  // Waits until `answer_count` answers have been received on this connection in total, and returns the last
  // of them.
  const HttpResponse& Await(std::size_t answer_count = 1) {
    static const HttpResponse kNone(http::status::unknown, 11);
    if (RunUntil(io_, [&] { return answers().size() >= answer_count; })) return answers()[answer_count - 1];
    ADD_FAILURE() << "no answer " << answer_count;
    return kNone;
  }
  bool AwaitEnd() {
    return RunUntil(io_, [&] { return ended(); });
  }
  const std::vector<HttpResponse>& answers() const { return state_->answers; }
  // Whether reading failed: closed or reset by the gateway, or malformed data.
  bool ended() const { return state_->ended; }

 private:
  struct State {  // kept alive by the pending read after the client is destroyed
    explicit State(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::vector<HttpResponse> answers;
    bool ended = false;
  };

  static void Read(const std::shared_ptr<State>& state) {
    state->parser.emplace();
    http::async_read(state->socket, state->buffer, *state->parser, [state](error_code ec, std::size_t) {
      if (ec == asio::error::operation_aborted) return;
      if (ec) {
        state->ended = true;
        return;
      }
      state->answers.push_back(state->parser->release());
      Read(state);
    });
  }

  asio::io_context& io_;
  const std::shared_ptr<State> state_;
};

// The text of a client request. `extra_header_lines` holds additional header lines, each terminated by CRLF.
inline std::string ApiCall(const std::string& id, const std::string& class_name = "view",
                           const std::string& deadline = "5000m", const std::string& body = "",
                           const std::string& extra_header_lines = "") {
  const bool is_safe = class_name == "view";
  std::string text = std::string(is_safe ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: backend.local\r\n";
  text += "Req-Id: " + id + "\r\nReq-Kind: " + class_name + "\r\nReq-Deadline: " + deadline + "\r\n" +
          extra_header_lines;
  if (!is_safe || !body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// A host entry of the list that discovery serves.
inline nlohmann::json Member(const std::string& id, const tcp::endpoint& socket_address,
                             const std::string& phase = "up") {
  return {{"id", id},        {"host_port", ToText(socket_address)},
          {"locality", "a"}, {"flavor", "m"},
          {"cell", 0},       {"phase", phase},
          {"size", 1.0},     {"up_since_ms", 0}};
}

inline nlohmann::json List(int revision, bool complete, std::vector<nlohmann::json> members) {
  return {{"revision", revision}, {"complete", complete}, {"members", std::move(members)}};
}

// Settings for the configuration file: the safe class `view`, `key` with idempotency keys and the unsafe
// class `pay`. Their latency targets are far longer than a loaded machine needs.
inline nlohmann::json TestSettings() {
  const auto class_settings = [](const char* name, const char* idempotency) {
    return nlohmann::json{{"name", name},      {"sloMs", 20000.0},           {"deadlineMs", 20000.0},
                          {"importance", 1.0}, {"idempotency", idempotency}, {"lateWorth", 0.0}};
  };
  return {{"categories",
           {class_settings("view", "pure"), class_settings("key", "token"),
            class_settings("pay", "side_effect")}},
          {"membershipMode", "ask"},
          {"limits",
           {{"maxAttempts", 4},
            {"dialTimeoutMs", 5000.0},
            {"connIdleMs", 60000.0},
            {"cancelling", true},
            {"retryAfter", true},
            {"maxRetryAfterMs", 2000.0}}},
          {"report", {{"fields", {"inflight", "util"}}, {"source", "answers"}}},
          {"zone", "a"},
          {"somethingNew", {{"never", "heard of"}}}};  // an unknown setting must be ignored
}

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_PEERS_HPP_
