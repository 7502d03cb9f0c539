/// Rejects requests of low value while the backends are overloaded.
#ifndef LEMONCHUTE_POLICY_LOAD_SHEDDER_H_
#define LEMONCHUTE_POLICY_LOAD_SHEDDER_H_

#include "policy/backend_selector.h"
#include "policy/random_source.h"
#include "policy/service_time_estimates.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// Reserves the last part of the capacity for the requests with the highest value per second of service time.
/// Sheds a request when attempts in flight reach the share of the limits that its value allows, or at random
/// while latencies exceed kQueueThreshold of their objective. A class whose service time is overestimated is
/// shed too early.
class LoadShedder {
 public:
  /// Adjusts the admission ratio after a response from any backend. This is an integral controller over time,
  /// so it is as stable at a few responses per second as at many.
  /// @param objective_ratio latency over latency objective; OutcomeRecorder passes 1 for an overloaded
  /// backend and 2 for a missed deadline.
  void AdjustAdmissionRatio(double objective_ratio, double now);

  /// @param beyond_quota the request is beyond its customer's quota, and is shed first.
  bool ShouldShed(const Request& request, bool beyond_quota, const Settings& settings,
                  const ServiceTimeEstimates& estimates, const BackendLoad& load, RandomSource* random) const;

 private:
  double admission_ratio_ = 1;
  double updated_s_ = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_LOAD_SHEDDER_H_
