#include "core/clock.hpp"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace meadowyard::core {
namespace {

struct IoWait : Clock::Timer {
  struct State {
    State(boost::asio::io_context& io, std::function<void()> t) : timer(io), then(std::move(t)) {}
    boost::asio::steady_timer timer;
    std::function<void()> then;
  };
  explicit IoWait(std::shared_ptr<State> s) : state(std::move(s)) {}
  ~IoWait() override {
    state->then = nullptr;  // one that is due already is told of no more
    state->timer.cancel();
  }
  const std::shared_ptr<State> state;
};

}  // namespace

std::unique_ptr<Clock::Timer> AsioClock::StartTimer(Millis wait, std::function<void()> then) {
  auto state = std::make_shared<IoWait::State>(io_, std::move(then));
  state->timer.expires_after(ToDuration(wait));
  state->timer.async_wait([state](boost::system::error_code ec) {
    // Moved out first: what is called may end the wait itself.
    if (const auto due = std::exchange(state->then, nullptr); due && !ec) due();
  });
  return std::make_unique<IoWait>(std::move(state));
}

}  // namespace meadowyard::core
