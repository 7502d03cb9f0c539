// Owns time for tests in which nothing sleeps: what is due, in order, and a clock that moves from one to the
// next.
#ifndef LEMONCHUTE_TESTS_VIRTUAL_TIME_H_
#define LEMONCHUTE_TESTS_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lemonchute {

inline constexpr int64_t kSecond = 1'000'000;  // microseconds

class VirtualTime {
 public:
  virtual ~VirtualTime() = default;
  void At(int64_t at, std::function<void()> what) { due_.push({at, ++order_, std::move(what)}); }
  void Run(int64_t until) {
    while (!due_.empty() && due_.top().at <= until) {
      Due due = due_.top();
      due_.pop();
      now = due.at;
      due.what();
    }
    now = until;
    Arrived();
  }
  // Runs until `what` holds, looking each `step`; when it first held, or -1.
  int64_t RunUntil(int64_t limit, const std::function<bool()>& what, int64_t step = 100'000) {
    while (now < limit) {
      if (what()) return now;
      Run(now + step);
    }
    return what() ? now : -1;
  }

  int64_t now = 0;

 protected:
  virtual void Arrived() {}  // at the end of each Run

 private:
  struct Due {
    int64_t at;
    uint64_t order;
    std::function<void()> what;
    bool operator>(const Due& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  uint64_t order_ = 0;
};

}  // namespace lemonchute

#endif  // LEMONCHUTE_TESTS_VIRTUAL_TIME_H_
