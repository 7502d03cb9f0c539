// Multiplexes many timers onto one timer of the event loop.
#ifndef LEMONCHUTE_NET_TIMER_QUEUE_H_
#define LEMONCHUTE_NET_TIMER_QUEUE_H_

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace lemonchute::net {

enum class TimerKind {
  kPolicy,            // started by the policy, which chose the tag
  kResponseDeadline,  // deadline for a response; the tag is the id of the request
};

/// Timers can't be cancelled: a receiver ignores those that it no longer needs.
class TimerQueue {
 public:
  using Clock = std::chrono::steady_clock;
  using OnDue = std::function<void(TimerKind kind, uint64_t tag)>;
  using OnBatchEnd = std::function<void()>;

  /// @param on_due called for each timer that is due, earliest first
  /// @param on_batch_end called after all timers that were due in one iteration of the event loop
  TimerQueue(boost::asio::io_context& io, OnDue on_due, OnBatchEnd on_batch_end);

  void Add(Clock::time_point due_at, TimerKind kind, uint64_t tag);

 private:
  struct Timer {
    Clock::time_point due_at;
    TimerKind kind;
    uint64_t tag;
    bool operator>(const Timer& other) const { return due_at > other.due_at; }
  };

  void Arm();
  void RunDueTimers();

  const OnDue on_due_;
  const OnBatchEnd on_batch_end_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  boost::asio::steady_timer timer_;
  std::optional<Clock::time_point> armed_for_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_TIMER_QUEUE_H_
