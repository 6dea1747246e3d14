#include "core/clock.hpp"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace meadowyard::core {
namespace {

struct AsioTimer : Clock::Timer {
  struct State {
    State(boost::asio::io_context& io, std::function<void()> on_expiry)
        : timer(io), callback(std::move(on_expiry)) {}
    boost::asio::steady_timer timer;
    std::function<void()> callback;
  };
  explicit AsioTimer(std::shared_ptr<State> timer_state) : state(std::move(timer_state)) {}
  ~AsioTimer() override {
    state->callback = nullptr;  // its handler may be queued already and must not call back any more
    state->timer.cancel();
  }
  const std::shared_ptr<State> state;
};

}  // namespace

std::unique_ptr<Clock::Timer> AsioClock::StartTimer(Millis delay, std::function<void()> callback) {
  auto state = std::make_shared<AsioTimer::State>(io_, std::move(callback));
  state->timer.expires_after(ToDuration(delay));
  state->timer.async_wait([state](boost::system::error_code ec) {
    // Moved out first: the callback may destroy the timer.
    if (const auto expired = std::exchange(state->callback, nullptr); expired && !ec) expired();
  });
  return std::make_unique<AsioTimer>(std::move(state));
}

}  // namespace meadowyard::core
