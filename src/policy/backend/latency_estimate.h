/// Latency of one backend, relative to the fleet and to the latency objectives.
#ifndef LEMONCHUTE_POLICY_BACKEND_LATENCY_ESTIMATE_H_
#define LEMONCHUTE_POLICY_BACKEND_LATENCY_ESTIMATE_H_

#include "policy/service_time_estimates.h"

namespace lemonchute::policy {

/// Two exponentially weighted means of a backend's latencies.
class LatencyEstimate {
 public:
  /// Mean of latency over the fleet's mean for such requests; changes slowly.
  double relative_latency() const { return relative_latency_; }
  /// Mean of latency over latency objective, adjusted for the requests' sizes: a high one indicates a queue.
  double objective_ratio() const { return objective_ratio_; }

  /// Records a response.
  /// @return its latency over the latency objective, adjusted for its size.
  double Record(double latency_s, double latency_objective_s, const ServiceTimeSample& sample, double now);
  /// Discards the history, as after a restart.
  void Reset();

 private:
  double relative_latency_ = 1;
  double objective_ratio_ = 0;
  double updated_s_ = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BACKEND_LATENCY_ESTIMATE_H_
