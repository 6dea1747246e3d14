/// @file
/// The operators' calls: which paths there are, and what each answers. Does no I/O of its own.
#ifndef MEADOWYARD_OPERATIONS_ADMIN_ROUTER_HPP_
#define MEADOWYARD_OPERATIONS_ADMIN_ROUTER_HPP_

#include <boost/beast/http/status.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "http/messages.hpp"
#include "operations/admin_delegate.hpp"

namespace meadowyard::operations {

/// A reply with a body of plain text.
HttpResponse PlainTextReply(boost::beast::http::status status, std::string text);

/// Finds the handler of a call by its path and method, and has it answer.
class AdminRouter {
 public:
  /// The delegate must outlive the router.
  explicit AdminRouter(AdminDelegate& delegate) : delegate_(delegate) {}

  /// Answers a complete request. A mistake of the caller is answered with a status of 4xx.
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
