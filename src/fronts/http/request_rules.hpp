// What a client's request must say, and what it becomes.
#ifndef MEADOWYARD_FRONTS_HTTP_REQUEST_RULES_HPP_
#define MEADOWYARD_FRONTS_HTTP_REQUEST_RULES_HPP_

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/message.hpp"
#include "http/messages.hpp"

namespace meadowyard {

// What this side answers by itself.
struct Page {
  int status = 200;
  core::Fields fields;
  std::string body;
  bool close = false;  // the connection ends after it
};
Page FaultPage(int status, std::string text);
// The core's answer in HTTP: 200, or 503, 502, 504 and 409 for what was refused, failed, overdue or in use.
Page PageOf(core::Answer& answer);

// Status line and fields; `length` is that of the body, nothing for one in chunks or up to the close.
std::string HeadText(const Page& page, unsigned version, bool keep_alive, std::optional<std::uint64_t> length,
                     bool chunked);

using Admits = std::function<Policy::Admission(const std::string& class_name, Idempotency effect)>;
using RequestHead = boost::beast::http::request_header<>;

// Fills in what `head` says of `request`, or gives the page for whoever sent what can't be taken.
std::optional<Page> Check(const RequestHead& head, const Admits& admits, core::ClientRequest& request);

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_REQUEST_RULES_HPP_
