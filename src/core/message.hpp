/// @file
/// Requests and answers as the core handles them, independent of any protocol library, so that any front can
/// submit them and any kind of upstream can carry them. The terms are those of HTTP (RFC 9110), which all
/// hosts speak.
#ifndef MEADOWYARD_CORE_MESSAGE_HPP_
#define MEADOWYARD_CORE_MESSAGE_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/body_source.hpp"
#include "core/tunnel_endpoint.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::core {

/// Header fields in the order of arrival; names are case-insensitive (RFC 9110, section 5.1). All names and
/// values are stored in one string, so that a message costs two allocations whatever its number of fields.
/// Returned views are valid until the next change.
class Fields {
 public:
  void Add(std::string_view name, std::string_view value);
  /// Replaces all fields of this name.
  void Set(std::string_view name, std::string_view value);
  void Erase(std::string_view name);
  /// Value of the first field of this name; empty if there is none.
  std::string_view Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

  /// Calls `each(name, value)` for each field in order.
  template <typename Each>
  void ForEach(Each each) const {
    for (const Entry& entry : entries_) each(NameOf(entry), ValueOf(entry));
  }

 private:
  struct Entry {
    std::uint32_t offset = 0, name_size = 0, value_size = 0;  // in `text_`; the value follows the name
  };
  std::string_view NameOf(const Entry& entry) const {
    return std::string_view(text_).substr(entry.offset, entry.name_size);
  }
  std::string_view ValueOf(const Entry& entry) const {
    return std::string_view(text_).substr(entry.offset + entry.name_size, entry.value_size);
  }
  std::string text_;
  std::vector<Entry> entries_;
};

/// Compares names without regard to ASCII case.
bool EqualFieldNames(std::string_view a, std::string_view b);

/// A request as it is sent to a host.
struct RequestMessage {
  std::string method = "GET";
  std::string target;
  Fields fields;
  std::string body;  // complete, or the first part if a BodySource provides the remainder
};

/// A host's response without the fields that concern its connection only.
struct ResponseMessage {
  Fields fields;
  std::string body;         // complete, or the first part if a BodySource provides the remainder
  std::string load_report;  // "name=value,..." as the host sent it; empty if it sent none
  Millis begun_at = 0;      // when the host began to send it
};

/// The final answer that a front gives its client: a host's response, or one of the gateway's own.
struct Answer {
  enum class Kind {
    kServed,       // `response` is the host's
    kRejected,     // a retry is harmless; advised after `retry_after`, if that is above 0
    kFailed,       // it may or may not have been executed
    kTimedOut,     // may or may not have been executed; the client's timeout was about to expire
    kDuplicateId,  // another open request has this id; it was not accepted
  };
  Kind kind = Kind::kServed;
  Millis retry_after = 0;
  ResponseMessage response;
  std::shared_ptr<BodySource> body_source;  // remainder of a streamed response; null: it is complete
  /// With `body_source`: to be called once, with whether the client was sent the complete response.
  std::function<void(bool complete)> on_delivered;
  /// To be called once after the answer was written, if it is set: `was_read` is false if the connection
  /// broke before the client sent a further request or closed it in order.
  std::function<void(bool was_read)> on_settled;
  bool attempted = false;                           // at least one attempt was started
  std::unique_ptr<TunnelEndpoint> tunnel_endpoint;  // for a tunnel that is served: the host's end
  std::function<void(TunnelEnd)> on_tunnel_closed;  // with it: to be called once, when the tunnel has ended
};

/// A client's well-formed request, as a front submits it to the core.
struct ClientRequest {
  RequestMessage message;
  std::string id, class_name, tenant, key;
  Idempotency idempotency = Idempotency::kNonIdempotent;  // as the client declared it
  bool is_retry = false;                                  // the client's retry of an earlier request
  bool is_tunnel = false;                                 // answered with an open connection to a host
  std::string pinned_endpoint;                            // the only host that it may go to; empty: any
  Millis received_at = 0;                                 // when its last byte was read
  Millis earliest_sent_at = 0;  // earliest time at which the client can have sent it; 0: `received_at`
  Millis client_timeout = 0;    // how long the client waits, from when it sent the request
  std::shared_ptr<RequestBody> body_source;  // remainder of a body that is still arriving; null if complete
  std::function<void(Answer)> on_answer;     // to be called once; further calls are ignored
  /// Whether the client has disconnected, even if OnClientDisconnected was not called yet; may be null.
  std::function<bool()> has_disconnected;
  /// Whether the answer is not written completely, or the client has reset its connection after it, even if
  /// Answer::on_settled was not called yet; may be null.
  std::function<bool()> is_answer_unread;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_MESSAGE_HPP_
