// Notices that the process stood still: stopped by a signal, or kept from its core.
#ifndef MEADOWYARD_APP_PAUSE_WATCH_HPP_
#define MEADOWYARD_APP_PAUSE_WATCH_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "core/clock.hpp"

namespace meadowyard {

// After a pause, clients' requests and the news of hosts lie side by side in sockets, and whichever is read
// first is handled first; what discovery has learned since its last answer isn't even there. So the first
// that would be sent has discovery asked anew, and nothing is sent until it has answered, or had its time. A call
// that fails is made again meanwhile: after a pause its time may have run out for no fault of discovery.
class PauseWatch {
 public:
  struct Handlers {
    // Discovery, unless it was asked after `since`; false: its list is not this process's to ask for.
    std::function<bool(Millis since)> ask;
    std::function<void()> resume;  // what waited may be sent
  };
  PauseWatch(boost::asio::io_context& io, Handlers handlers);

  // Whether the list of hosts is no older than the last turn of the loop.
  bool Current();
  // Discovery has answered.
  void Heard();

 private:
  void Tick();

  const Handlers handlers_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer enough_;
  Millis ticked_ = Now();
  bool asked_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_APP_PAUSE_WATCH_HPP_
