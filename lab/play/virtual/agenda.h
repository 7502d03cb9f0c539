// Owns virtual time: what is to happen at which moment, in order of time and then of being put down, so that
// the same day is played in the same order. What a stopped process would see waits until it goes on.
#ifndef LEMONCHUTE_LAB_PLAY_VIRTUAL_AGENDA_H_
#define LEMONCHUTE_LAB_PLAY_VIRTUAL_AGENDA_H_

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

class Agenda {
 public:
  explicit Agenda(int gateways)
      : stopped_(static_cast<size_t>(gateways), 0), deferred_(static_cast<size_t>(gateways)) {}

  Micros now() const { return now_; }
  uint64_t events() const { return order_; }
  void At(Micros at, std::function<void()> what) { Put(at, kNobody, std::move(what)); }
  void AtGateway(uint32_t gateway, Micros at, std::function<void()> what) {
    Put(at, gateway, std::move(what));
  }

  void Stop(uint32_t gateway) { stopped_[gateway] = 1; }
  void Continue(uint32_t gateway) {
    stopped_[gateway] = 0;
    std::vector<std::function<void()>> deferred;
    std::swap(deferred, deferred_[gateway]);
    for (auto& what : deferred) Put(now_, gateway, std::move(what));
  }
  // Its process has ended: what it had not seen, nobody sees.
  void Forget(uint32_t gateway) {
    stopped_[gateway] = 0;
    deferred_[gateway].clear();
  }

  // Goes on until the next event lies past `end`, or `steps` have been made.
  bool Run(Micros end, int steps) {
    for (; steps > 0 && !due_.empty() && due_.top().at <= end; --steps) {
      Due due = due_.top();
      due_.pop();
      now_ = due.at;
      if (due.gateway != kNobody && stopped_[due.gateway] != 0) {
        deferred_[due.gateway].push_back(std::move(due.what));
      } else {
        due.what();
      }
    }
    return steps == 0;
  }

 private:
  static constexpr uint32_t kNobody = UINT32_MAX;
  struct Due {
    Micros at;
    uint64_t order;
    uint32_t gateway;
    std::function<void()> what;
    bool operator>(const Due& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  void Put(Micros at, uint32_t gateway, std::function<void()> what) {
    due_.push({std::max(at, now_), ++order_, gateway, std::move(what)});
  }

  Micros now_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<char> stopped_;
  std::vector<std::vector<std::function<void()>>> deferred_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_VIRTUAL_AGENDA_H_
