// Owns the lab's clock on real days: what is to be done at which moment of the day, and how late the lab
// itself was in doing it.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_SCHEDULE_H_
#define LEMONCHUTE_LAB_PLAY_REAL_SCHEDULE_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <queue>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

namespace asio = boost::asio;

class Schedule {
 public:
  using Clock = std::chrono::steady_clock;
  explicit Schedule(asio::io_context& io) : timer_(io), start_(Clock::now()) {}

  // Moments from here on count from `start`.
  void Begin(Clock::time_point start) { start_ = start; }
  // The monotonic clock at that start.
  Micros ClockAtStart() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(start_.time_since_epoch()).count();
  }
  Micros Now() const { return MomentOf(Clock::now()); }
  Micros MomentOf(Clock::time_point at) const {
    return std::chrono::duration_cast<std::chrono::microseconds>(at - start_).count();
  }
  void At(Micros at, std::function<void()> what) {
    // What is past already is due now: the lab is not late by it.
    due_.push({std::max(start_ + std::chrono::microseconds(at), Clock::now()), ++order_, std::move(what)});
    Arm();
  }
  void After(Micros wait, std::function<void()> what) { At(Now() + wait, std::move(what)); }
  // By how much the lab was late, at that share of all moments.
  Micros LateAt(double share) const {
    if (lateness_.empty()) return 0;
    std::vector<Micros> sorted = lateness_;
    size_t at = std::min(sorted.size() - 1, static_cast<size_t>(share * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at), sorted.end());
    return sorted[at];
  }

 private:
  struct Due {
    Clock::time_point at;
    uint64_t order;
    std::function<void()> what;
    bool operator>(const Due& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  void Arm() {
    if (due_.empty() || (armed_ && armed_at_ <= due_.top().at)) return;
    armed_ = true;
    armed_at_ = due_.top().at;
    timer_.expires_at(armed_at_);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      armed_ = false;
      while (!due_.empty() && due_.top().at <= Clock::now()) {
        Due due = due_.top();
        due_.pop();
        lateness_.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - due.at).count());
        due.what();
      }
      Arm();
    });
  }

  asio::steady_timer timer_;
  Clock::time_point start_, armed_at_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  uint64_t order_ = 0;
  bool armed_ = false;
  std::vector<Micros> lateness_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_SCHEDULE_H_
