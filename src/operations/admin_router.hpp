/// @file
/// The paths, methods and responses of the operators' calls. Performs no I/O.
#ifndef MEADOWYARD_OPERATIONS_ADMIN_ROUTER_HPP_
#define MEADOWYARD_OPERATIONS_ADMIN_ROUTER_HPP_

#include <boost/beast/http/status.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "http/messages.hpp"
#include "operations/admin_delegate.hpp"

namespace meadowyard::operations {

/// A response with a plain-text body.
HttpResponse PlainTextResponse(boost::beast::http::status status, std::string text);

/// Dispatches each call by its path and method to the function that answers it.
class AdminRouter {
 public:
  /// The delegate must outlive the router.
  explicit AdminRouter(AdminDelegate& delegate) : delegate_(delegate) {}

  /// Answers a complete request. An invalid request gets a 4xx status.
  HttpResponse Handle(const HttpRequest& request);

 private:
  using Handler = HttpResponse (AdminRouter::*)(std::string_view query);
  struct Route;
  static const Route* FindRoute(std::string_view path);

  HttpResponse Readiness(std::string_view query);
  HttpResponse Metrics(std::string_view query);
  HttpResponse Peers(std::string_view query);
  HttpResponse Tunnels(std::string_view query);
  HttpResponse CloseTunnel(std::string_view query);
  HttpResponse EnterMaintenance(std::string_view query);
  HttpResponse ExitMaintenance(std::string_view query);
  HttpResponse ChangeMaintenance(std::string_view query, bool in_maintenance);

  AdminDelegate& delegate_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_ADMIN_ROUTER_HPP_
