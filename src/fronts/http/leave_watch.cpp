#include "fronts/http/leave_watch.hpp"

#include <poll.h>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t kMostReadAhead = 4096;  // of what follows a request that waits
constexpr Millis kGlanceEvery = 50;  // half of the time in which a client that has left must be noticed

}  // namespace

bool HasEnded(int socket) {
  pollfd asked = {socket, POLLRDHUP, 0};
  return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void LeaveWatch::Begin(bool reads) {
  End();
  if (!reads) return Glance();
  if (!reader_.unread().empty()) handlers_.came();
  ReadOn();
}

void LeaveWatch::ReadOn() {
  if (reader_.unread().size() >= kMostReadAhead) return Glance();
  socket_.async_wait(tcp::socket::wait_read, [this, owner = handlers_.owner(), turn = turn_](error_code ec) {
    if (turn_ != turn) return;
    if (!ec) ec = reader_.ReadAhead(kMostReadAhead);
    if (ec && ec != boost::asio::error::would_block) return handlers_.left();
    if (!reader_.unread().empty()) handlers_.came();
    ReadOn();
  });
}

void LeaveWatch::Glance() {
  if (!timer_) timer_.emplace(io_);
  timer_->expires_after(core::ToDuration(kGlanceEvery));
  timer_->async_wait([this, owner = handlers_.owner(), turn = turn_](error_code ec) {
    if (ec || turn_ != turn) return;
    HasEnded(socket_.native_handle()) ? handlers_.left() : Glance();
  });
}

}  // namespace meadowyard
