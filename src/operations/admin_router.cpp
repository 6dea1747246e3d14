#include "operations/admin_router.hpp"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <cstdint>
#include <utility>

#include "operations/query_string.hpp"

namespace meadowyard::operations {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;  // Beast's encoding of HTTP/1.1: 10 * major + minor

HttpResponse JsonResponse(std::string json) {
  HttpResponse response = PlainTextResponse(http::status::ok, std::move(json));
  response.set(http::field::content_type, "application/json");
  return response;
}

HttpResponse UnknownPathResponse() { return PlainTextResponse(http::status::not_found, "no such path\n"); }

HttpResponse JsonResponseOrNotFound(std::optional<std::string> json) {
  return json ? JsonResponse(std::move(*json)) : UnknownPathResponse();
}

// std::nullopt if the text is not a decimal number. A number of more than 64 bits yields 0, which is never a
// tunnel's id, so that the caller is answered with 404.
std::optional<std::uint64_t> ParseTunnelId(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  std::uint64_t id = 0;
  const char* const last = text->data() + text->size();
  if (std::from_chars(text->data(), last, id).ptr != last) return std::nullopt;
  return id;
}

}  // namespace

HttpResponse PlainTextResponse(http::status status, std::string text) {
  HttpResponse response(status, kHttp11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

struct AdminRouter::Route {
  std::string_view path;
  http::verb method;
  Handler handler;
};

const AdminRouter::Route* AdminRouter::FindRoute(std::string_view path) {
  static constexpr Route kRoutes[] = {
      {"/status", http::verb::get, &AdminRouter::Readiness},
      {"/status/metrics", http::verb::get, &AdminRouter::Metrics},
      {"/status/peers", http::verb::get, &AdminRouter::Peers},
      {"/status/tunnels", http::verb::get, &AdminRouter::Tunnels},
      {"/tunnels/close", http::verb::put, &AdminRouter::CloseTunnel},
      {"/maintenance/enter", http::verb::put, &AdminRouter::EnterMaintenance},
      {"/maintenance/exit", http::verb::put, &AdminRouter::ExitMaintenance},
  };
  for (const Route& route : kRoutes) {
    if (route.path == path) return &route;
  }
  return nullptr;
}

HttpResponse AdminRouter::Handle(const HttpRequest& request) {
  if (FramingOf(request) == Framing::kAmbiguous) {
    return PlainTextResponse(http::status::bad_request, "where the body ends is not clear\n");
  }
  const std::string_view target = View(request.target());
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view query = path.size() < target.size() ? target.substr(path.size() + 1) : "";
  const Route* const route = FindRoute(path);
  if (route == nullptr) return UnknownPathResponse();
  if (request.method() != route->method) {
    HttpResponse response =
        PlainTextResponse(http::status::method_not_allowed, "the path takes another method\n");
    response.set(http::field::allow, http::to_string(route->method));
    return response;
  }
  return (this->*route->handler)(query);
}

HttpResponse AdminRouter::Readiness(std::string_view /*query*/) {
  return delegate_.IsReady() ? PlainTextResponse(http::status::ok, "yes\n")
                             : PlainTextResponse(http::status::service_unavailable, "no\n");
}

HttpResponse AdminRouter::Metrics(std::string_view /*query*/) {
  return JsonResponse(delegate_.MetricsJson());
}

HttpResponse AdminRouter::Peers(std::string_view /*query*/) {
  return JsonResponseOrNotFound(delegate_.PeersJson());
}

HttpResponse AdminRouter::Tunnels(std::string_view /*query*/) {
  return JsonResponseOrNotFound(delegate_.TunnelsJson());
}

HttpResponse AdminRouter::CloseTunnel(std::string_view query) {
  if (!delegate_.TunnelsJson()) return UnknownPathResponse();
  const auto id = ParseTunnelId(FindQueryParameter(query, "id"));
  if (!id) return PlainTextResponse(http::status::bad_request, "id: one tunnel's number is wanted\n");
  if (!delegate_.CloseTunnel(*id)) {
    return PlainTextResponse(http::status::not_found, "no tunnel has this number\n");
  }
  return PlainTextResponse(http::status::ok, "closed\n");
}

HttpResponse AdminRouter::EnterMaintenance(std::string_view query) { return ChangeMaintenance(query, true); }

HttpResponse AdminRouter::ExitMaintenance(std::string_view query) { return ChangeMaintenance(query, false); }

HttpResponse AdminRouter::ChangeMaintenance(std::string_view query, bool in_maintenance) {
  const auto host = FindQueryParameter(query, "target");
  if (!host) return PlainTextResponse(http::status::bad_request, "target: one host id is wanted\n");
  if (!delegate_.ChangeMaintenance({.host_id = *host, .in_maintenance = in_maintenance})) {
    return PlainTextResponse(http::status::not_found, "no host has this id\n");
  }
  return PlainTextResponse(http::status::ok, in_maintenance ? "left out\n" : "put back\n");
}

}  // namespace meadowyard::operations
