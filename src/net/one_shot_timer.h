// A timer whose handler never runs after it was cancelled or started again. asio's own timer gives no such
// promise: once it is due its handler is queued, and whatever cancels it in the same turn of the loop comes
// too late.
#ifndef LEMONCHUTE_NET_ONE_SHOT_TIMER_H_
#define LEMONCHUTE_NET_ONE_SHOT_TIMER_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <utility>

namespace lemonchute::net {

class OneShotTimer {
 public:
  explicit OneShotTimer(boost::asio::io_context& io) : timer_(io) {}

  template <typename Handler>
  void Start(boost::asio::steady_timer::duration after, Handler handler) {
    timer_.expires_after(after);
    timer_.async_wait(
        [this, turn = ++turn_, handler = std::move(handler)](boost::system::error_code failed) mutable {
          if (!failed && turn == turn_) handler();
        });
  }

  void Cancel() {
    ++turn_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  uint64_t turn_ = 0;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_ONE_SHOT_TIMER_H_
