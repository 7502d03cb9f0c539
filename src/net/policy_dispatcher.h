// The only caller of the policy: passes events to it and executes the actions that it returns.
#ifndef LEMONCHUTE_NET_POLICY_DISPATCHER_H_
#define LEMONCHUTE_NET_POLICY_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <utility>

#include "net/clock.h"
#include "policy/balancer.h"

namespace lemonchute::net {

/// Owns the policy. Start() comes before every other call.
class PolicyDispatcher {
 public:
  using Execute = std::function<void(policy::Action& action)>;

  /// @param clock the clock whose time is passed to the policy; must outlive this object
  /// @param execute executes one action. Should not call Dispatch(): a consequence of an action has to be
  ///     dispatched as a separate event.
  /// @param on_reentry called if an action has called Dispatch() all the same; its event waits
  PolicyDispatcher(const GatewayClock& clock, Execute execute, std::function<void()> on_reentry)
      : clock_(clock), execute_(std::move(execute)), on_reentry_(std::move(on_reentry)) {}

  /// Creates the policy. The actions of its start are executed with those of the first event.
  void Start(const policy::Settings& settings, uint64_t seed) {
    balancer_.emplace(settings, seed, clock_.NowS(), &actions_);
  }

  /// Passes one event to the policy, then executes the resulting actions. They run after the call of the
  /// policy has returned, so that it is never re-entered. An event that arises while actions are executed
  /// waits until all of them are.
  /// @param event called as event(balancer, now_s, &actions), within this call or later: it owns what it
  /// needs
  template <typename Event>
  void Dispatch(Event event) {
    if (executing_now_) {
      on_reentry_();
      waiting_.push_back(std::move(event));
      return;
    }
    Run(event);
    while (!waiting_.empty()) {
      auto next = std::move(waiting_.front());
      waiting_.pop_front();
      Run(next);
    }
  }

  const policy::Balancer& balancer() const { return *balancer_; }
  /// @return the number of backends that currently get no new requests
  int UnavailableBackends() { return balancer_->UnavailableBackends(clock_.NowS()); }

 private:
  template <typename Event>
  void Run(Event& event) {
    event(*balancer_, clock_.NowS(), &actions_);
    executing_.swap(actions_);
    executing_now_ = true;
    for (policy::Action& action : executing_) execute_(action);
    executing_now_ = false;
    executing_.clear();
  }

  const GatewayClock& clock_;
  const Execute execute_;
  const std::function<void()> on_reentry_;
  std::deque<std::function<void(policy::Balancer&, double, policy::Actions*)>> waiting_;
  bool executing_now_ = false;
  policy::Actions actions_, executing_;
  std::optional<policy::Balancer> balancer_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_POLICY_DISPATCHER_H_
