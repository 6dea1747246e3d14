#include "fronts/http/upload.hpp"

#include <boost/asio/post.hpp>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

// Longer than the receive window takes to open to a client that is near; that client then sends what it held
// back.
constexpr Millis kSettleTime = 100;

}  // namespace

void Upload::RequestData(DataCallback callback) {
  data_requested_ = true;
  if (!delivering_) resumed_at_ = core::Now();
  if (!connection_.on_data_requested) {
    boost::asio::post(io_, [callback = std::move(callback)] { callback(Status::kBroken, {}); });
    return;
  }
  callback_ = std::move(callback);
  connection_.on_data_requested();
}

Millis Upload::EarliestCompleteAt() {
  ObserveClient();
  // While the receiver waits for a client of which nothing has arrived, the client is not known to have sent
  // everything either. Not stored: it may be about to send what it held back.
  const bool awaits_client =
      is_waiting() && connection_.is_known_incomplete && connection_.is_known_incomplete(/*settled=*/true);
  return awaits_client ? core::Now() : earliest_complete_at_;
}

void Upload::ObserveClient() {
  if (connection_.is_known_incomplete && connection_.is_known_incomplete(IsSettled()))
    SetIncompleteAt(core::Now());
}

bool Upload::IsSettled() const { return is_waiting() && core::Now() - resumed_at_ >= kSettleTime; }

void Upload::Deliver(Status status, std::string_view piece) {
  const auto callback = std::exchange(callback_, nullptr);
  if (!callback) return;
  delivering_ = true;
  callback(status, piece);
  delivering_ = false;
}

void Upload::Detach() {
  connection_ = {};
  Deliver(Status::kBroken, {});
}

}  // namespace meadowyard
