/// @file The remainder of a long request body, which is forwarded while it arrives.
#ifndef MEADOWYARD_FRONTS_HTTP_UPLOAD_HPP_
#define MEADOWYARD_FRONTS_HTTP_UPLOAD_HPP_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

#include "core/body_source.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

/// The part of a long request body that is still to be received; the request's handler reads it from here. It
/// may outlive the client connection.
class Upload : public core::RequestBody {
 public:
  struct Connection {
    /// Makes the connection read a piece, which it passes to Deliver().
    std::function<void()> on_data_requested;
    /// See RequestReader::IsBodyKnownIncomplete.
    std::function<bool(bool settled)> is_known_incomplete;
  };
  Upload(boost::asio::io_context& io, std::optional<std::uint64_t> size, Millis earliest_complete_at,
         Connection connection)
      : io_(io),
        size_(size),
        connection_(std::move(connection)),
        earliest_complete_at_(earliest_complete_at) {}

  void RequestData(DataCallback callback) override;
  void Cancel() override {}
  Millis EarliestCompleteAt() override;
  /// Checks whether the client is known not to have sent the last byte yet.
  void ObserveClient();
  /// The client had not sent the last byte at `time`.
  void SetIncompleteAt(Millis time) { earliest_complete_at_ = std::max(earliest_complete_at_, time); }
  /// Whether the receiver has requested data without a pause for long enough that the client has sent what it
  /// held back before. During a pause the receive window may be closed, although little unread data has
  /// arrived.
  bool IsSettled() const;
  std::optional<std::uint64_t> length() const override { return size_; }
  bool data_requested() const override { return data_requested_; }

  bool is_waiting() const { return callback_ != nullptr; }
  /// Passes a piece, or the end of the body, to the pending RequestData() callback, if there is one.
  void Deliver(Status status, std::string_view piece);
  /// Disconnects this from the client connection: a pending request for data, and each later one, gets
  /// kBroken.
  void Detach();

 private:
  boost::asio::io_context& io_;
  const std::optional<std::uint64_t> size_;
  Connection connection_;  // its functions are null once this is detached
  Millis earliest_complete_at_;
  Millis resumed_at_ = 0;    // when the receiver last requested data after a pause
  bool delivering_ = false;  // a request for data in this time follows the last piece without a pause
  DataCallback callback_;
  bool data_requested_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_UPLOAD_HPP_
