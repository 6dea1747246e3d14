#include "fronts/http/leave_watch.hpp"

#include <poll.h>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t kMaxReadAheadBytes = 4096;  // pipelined data read while a request is unanswered
constexpr Millis kPollInterval = 50;  // half of the 100 ms within which a disconnect has to be detected

}  // namespace

bool IsClosedByPeer(int socket) {
  pollfd descriptor = {socket, POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool IsBroken(int socket) {
  pollfd descriptor = {socket, 0, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & POLLERR) != 0;
}

void LeaveWatch::Begin(bool read_ahead) {
  End();
  if (!read_ahead) return PollForClose();
  if (!reader_.unread().empty()) handlers_.on_data();
  ReadPipelined();
}

void LeaveWatch::ReadPipelined() {
  if (reader_.unread().size() >= kMaxReadAheadBytes) return PollForClose();
  socket_.async_wait(tcp::socket::wait_read, [this, owner_reference = handlers_.owner_reference(),
                                              generation = generation_](error_code ec) {
    if (generation_ != generation) return;
    if (!ec) ec = reader_.ReadAhead(kMaxReadAheadBytes);
    if (ec && ec != boost::asio::error::would_block) return handlers_.on_disconnect();
    if (!reader_.unread().empty()) handlers_.on_data();
    ReadPipelined();
  });
}

void LeaveWatch::PollForClose() {
  if (!timer_) timer_.emplace(io_);
  timer_->expires_after(core::ToDuration(kPollInterval));
  timer_->async_wait(
      [this, owner_reference = handlers_.owner_reference(), generation = generation_](error_code ec) {
        if (ec || generation_ != generation) return;
        IsClosedByPeer(socket_.native_handle()) ? handlers_.on_disconnect() : PollForClose();
      });
}

}  // namespace meadowyard
