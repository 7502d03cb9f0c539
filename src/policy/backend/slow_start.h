/// Limits the work sent to a backend that has just started.
#ifndef LEMONCHUTE_POLICY_BACKEND_SLOW_START_H_
#define LEMONCHUTE_POLICY_BACKEND_SLOW_START_H_

#include "policy/random_source.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// Work that one warm backend does for this gateway, fading over seconds.
class WarmBackendLoad {
 public:
  /// @param service_time_s of a request that a warm backend has served.
  /// @param warm_backends backends that share this load.
  void Record(double service_time_s, int warm_backends, double now);
  /// @return seconds of work a second.
  double PerSecond(double now) const;

 private:
  double work_s_ = 0;
  double updated_s_ = 0;
};

/// What the budget of all backends in slow start depends on.
struct SlowStartParameters {
  const Settings& settings;
  int process_count = 1;  ///< Of this gateway.
  const WarmBackendLoad& warm_load;
};

/// One backend's ramp. A cold backend collapses under a load that a warm one serves, so its budget of work is
/// its fraction of what this gateway sends a warm one now: all gateways together send no more than that
/// fraction of what the warm ones take. Where they are little used, it is as if the backend had one core,
/// divided by the gateways. This prevents collapse, and a rush to the first backend that returns.
class SlowStart {
 public:
  bool active() const { return started_s_ > 0; }
  double started_s() const { return started_s_; }

  /// Starts the ramp. The budget starts below zero by a random part of a request, so that many gateways whose
  /// budgets are less than one request don't all send one at once.
  /// @param started_s when the backend started.
  /// @param longest_service_time_s the longest mean of the request classes.
  void Begin(double started_s, double now, double longest_service_time_s, RandomSource* random);
  /// Accrues the budget, and ends the ramp when the backend is warm.
  /// @return whether an attempt may be sent now.
  bool HasBudget(const SlowStartParameters& parameters, double now);
  /// An attempt is sent.
  void Spend(double service_time_s) { budget_s_ -= service_time_s; }

 private:
  double started_s_ = 0;  // 0: warm
  double budget_s_ = 0;   // work that may be sent
  double budget_updated_s_ = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BACKEND_SLOW_START_H_
