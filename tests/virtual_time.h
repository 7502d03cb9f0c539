/// Virtual time for tests that don't sleep: an event queue, and a clock that advances from event to event.
#ifndef LEMONCHUTE_TESTS_VIRTUAL_TIME_H_
#define LEMONCHUTE_TESTS_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lemonchute {

inline constexpr int64_t kSecond = 1'000'000;  // microseconds

/// Events with equal times run in the order in which they were scheduled.
class VirtualTime {
 public:
  virtual ~VirtualTime() = default;
  void Schedule(int64_t time, std::function<void()> action) {
    events_.push({time, ++order_, std::move(action)});
  }
  void Run(int64_t until) {
    while (!events_.empty() && events_.top().time <= until) {
      Event event = events_.top();
      events_.pop();
      now = event.time;
      event.action();
    }
    now = until;
    OnRunEnd();
  }
  /// Runs until the condition holds, checking it at every `step`.
  /// @return when it was first seen to hold; -1 if it did not by the limit.
  int64_t RunUntil(int64_t limit, const std::function<bool()>& condition, int64_t step = 100'000) {
    while (now < limit) {
      if (condition()) return now;
      Run(now + step);
    }
    return condition() ? now : -1;
  }

  int64_t now = 0;

 protected:
  virtual void OnRunEnd() {}  // called at the end of each Run

 private:
  struct Event {
    int64_t time;
    uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  uint64_t order_ = 0;
};

}  // namespace lemonchute

#endif  // LEMONCHUTE_TESTS_VIRTUAL_TIME_H_
