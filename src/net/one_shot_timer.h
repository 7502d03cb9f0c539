// A timer whose cancellation is reliable.
#ifndef LEMONCHUTE_NET_ONE_SHOT_TIMER_H_
#define LEMONCHUTE_NET_ONE_SHOT_TIMER_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <utility>

namespace lemonchute::net {

/// A timer whose handler never runs after Cancel() or after the timer was restarted. asio's own timer gives
/// no such guarantee: once it has expired its handler is queued, and a cancellation in the same iteration of
/// the event loop comes too late.
class OneShotTimer {
 public:
  explicit OneShotTimer(boost::asio::io_context& io) : timer_(io) {}

  /// Calls handler() once, after `delay`. An earlier start is cancelled.
  template <typename Handler>
  void Start(boost::asio::steady_timer::duration delay, Handler handler) {
    timer_.expires_after(delay);
    timer_.async_wait([this, generation = ++generation_,
                       handler = std::move(handler)](boost::system::error_code failed) mutable {
      if (!failed && generation == generation_) handler();
    });
  }

  void Cancel() {
    ++generation_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  uint64_t generation_ = 0;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_ONE_SHOT_TIMER_H_
