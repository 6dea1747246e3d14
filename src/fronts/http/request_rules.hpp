/// @file Validates the heads of client requests and converts requests and answers between HTTP and the core.
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

/// A response to a client, without the part of the body that is streamed.
struct Page {
  int status = 200;
  core::Fields fields;
  std::string body;
  bool close = false;  // close the connection after this response
};
/// A text/plain error response that closes the connection.
Page ErrorPage(int status, std::string text);
/// Converts an answer of the core: 200 served, 503 rejected, 502 failed, 504 timed out, 409 request id in
/// use. Moves fields and body out of `answer`.
Page ToPage(core::Answer& answer);

/// Formats the status line and the fields. `length` is the body length; none for a body that is chunked or
/// ends with the connection.
std::string FormatHead(const Page& page, unsigned version, bool keep_alive,
                       std::optional<std::uint64_t> length, bool chunked);

using AdmissionCheck =
    std::function<Policy::Admission(const std::string& class_name, Idempotency idempotency)>;
using RequestHead = boost::beast::http::request_header<>;

/// Validates `head` and fills in `request` from it; returns the error page if the request is not acceptable.
std::optional<Page> ParseRequestHead(const RequestHead& head, const AdmissionCheck& check_admission,
                                     core::ClientRequest& request);

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_REQUEST_RULES_HPP_
