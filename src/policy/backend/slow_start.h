/// Limits the work sent to a backend that has just started.
#ifndef LEMONCHUTE_POLICY_BACKEND_SLOW_START_H_
#define LEMONCHUTE_POLICY_BACKEND_SLOW_START_H_

#include "policy/random_source.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// Work that one warm backend does for this gateway, decaying exponentially over seconds.
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

/// Inputs to the budgets of all backends in slow start.
struct SlowStartParameters {
  const Settings& settings;
  int process_count = 1;  ///< Of this gateway.
  const WarmBackendLoad& warm_load;
};

/// Slow start of one backend. A cold backend collapses under a load that a warm one serves, so its budget of
/// work is its fraction of capacity times what this gateway currently sends a warm one: all gateways together
/// send it no more than that fraction of a warm one's load. If the warm ones are little used, the budget is
/// that of a backend with one core, divided by the number of gateways. This prevents a collapse, and a surge
/// to the first backend that returns.
class SlowStart {
 public:
  bool active() const { return started_s_ > 0; }
  double started_s() const { return started_s_; }

  /// Starts the ramp. The budget starts below zero by a random part of a request's service time, so that many
  /// gateways whose budgets are less than one request don't all send one at once.
  /// @param started_s when the backend started.
  /// @param longest_service_time_s longest mean service time of a request class.
  void Begin(double started_s, double now, double longest_service_time_s, RandomSource* random);
  /// Accrues the budget, and ends the ramp when the backend is warm.
  /// @return whether an attempt may be sent now.
  bool HasBudget(const SlowStartParameters& parameters, double now);
  /// Charges an attempt that is sent.
  void Spend(double service_time_s) { budget_s_ -= service_time_s; }

 private:
  double started_s_ = 0;  // 0: warm
  double budget_s_ = 0;   // work that may be sent
  double budget_updated_s_ = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BACKEND_SLOW_START_H_
