#include "net/timer_queue.h"

#include <utility>

namespace lemonchute::net {

TimerQueue::TimerQueue(boost::asio::io_context& io, OnDue on_due, OnBatchEnd on_batch_end)
    : on_due_(std::move(on_due)), on_batch_end_(std::move(on_batch_end)), timer_(io) {}

void TimerQueue::Add(Clock::time_point due_at, TimerKind kind, uint64_t tag) {
  timers_.push({due_at, kind, tag});
  if (!armed_for_ || due_at < *armed_for_) Arm();
}

void TimerQueue::Arm() {
  if (timers_.empty()) return;
  armed_for_ = timers_.top().due_at;
  timer_.expires_at(*armed_for_);
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) RunDueTimers();
  });
}

// Removes all due timers from the queue first, since a handler may add timers that are due immediately.
void TimerQueue::RunDueTimers() {
  armed_for_.reset();
  auto now = Clock::now();
  std::vector<Timer> due;
  while (!timers_.empty() && timers_.top().due_at <= now) {
    due.push_back(timers_.top());
    timers_.pop();
  }
  for (const Timer& timer : due) on_due_(timer.kind, timer.tag);
  if (!armed_for_) Arm();
  on_batch_end_();
}

}  // namespace lemonchute::net
