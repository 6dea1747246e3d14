// A request and an answer as the core knows them: no protocol's types, so that any front can hand one over
// and any kind of upstream can carry it. The names are HTTP's (RFC 9110), for all hosts speak it.
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

// Fields in the order they came in, found by name whatever the case (RFC 9110, section 5.1). All texts lie in
// one block: a message costs two allocations however many fields it has. Views last until the next change.
class Fields {
 public:
  void Add(std::string_view name, std::string_view value);
  // In place of all fields of that name.
  void Set(std::string_view name, std::string_view value);
  void Erase(std::string_view name);
  // The first of that name; empty if there is none.
  std::string_view Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

  // Calls `each(name, value)` in order.
  template <typename Each>
  void ForEach(Each each) const {
    for (const Entry& e : entries_) each(NameOf(e), ValueOf(e));
  }

 private:
  struct Entry {
    std::uint32_t at = 0, name = 0, value = 0;  // the value follows the name
  };
  std::string_view NameOf(const Entry& e) const { return std::string_view(text_).substr(e.at, e.name); }
  std::string_view ValueOf(const Entry& e) const {
    return std::string_view(text_).substr(e.at + e.name, e.value);
  }
  std::string text_;
  std::vector<Entry> entries_;
};

bool EqualFieldNames(std::string_view a, std::string_view b);

// What goes to a host.
struct RequestMessage {
  std::string method = "GET";
  std::string target;
  Fields fields;
  std::string body;  // all of it, or the first of one whose rest is a BodySource
};

// What a host gave back, without what concerned its connection alone.
struct ResponseMessage {
  Fields fields;
  std::string body;         // all of it, or the first of one whose rest is a BodySource
  std::string load_report;  // "name=value,..." as the host sent it; empty if it sent none
};

// The one final answer that a front gives its client.
struct Answer {
  enum class Kind {
    kServed,       // `reply` is the host's
    kRejected,     // trying again is harmless; `retry_after` says when, if it is above 0
    kFailed,       // it may or may not have run
    kTimedOut,     // the same, given up for lack of time
    kDuplicateId,  // another open request has this id: never taken
  };
  Kind kind = Kind::kServed;
  Millis retry_after = 0;
  ResponseMessage response;
  std::shared_ptr<BodySource> body_source;  // of a long answer's body; null: the answer is whole
  std::function<void(bool whole)>
      on_delivered;        // for one with a rest: all of it has gone to the client, or not
  bool attempted = false;  // some attempt was made
  std::unique_ptr<TunnelEndpoint> tunnel_endpoint;  // for a tunnel that is served: the host's end
  std::function<void(TunnelEnd)> on_tunnel_closed;  // for that one: to be called once, when it has ended
};

// A client's well-formed request, as a front hands it to the core.
struct ClientRequest {
  RequestMessage message;
  std::string id, class_name, tenant, key;
  Idempotency idempotency = Idempotency::kNonIdempotent;  // as which the client made it
  bool is_retry = false;                                  // the client's own further try
  bool is_tunnel = false;                                 // its answer is an open way to a host
  std::string pinned_endpoint;                            // the one host that it may go to; empty: any
  Millis received_at = 0;                                 // when its last byte was read
  Millis earliest_sent_at = 0;                            // no sooner did it come; 0: as it was received
  Millis client_timeout = 0;                              // how long the client waits, from when it sent it
  std::shared_ptr<BodySource> body_source;                // of a body that is not whole yet; null if it is
  std::function<void(Answer)> on_answer;                  // to be called once; what follows is dropped
  std::function<bool()>
      has_disconnected;  // whether its client has left, though nobody was told yet; may be null
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_MESSAGE_HPP_
