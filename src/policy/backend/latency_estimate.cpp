#include "policy/backend/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::policy {
namespace {

// Least weight of one response in the objective ratio; more where responses are rare.
constexpr double kMinObjectiveRatioWeight = 0.15;
// Time constant of the objective ratio.
constexpr double kObjectiveRatioTimeConstantS = 0.7;
// Weight of one response in the relative latency: the time since the last one over the time constant, within
// bounds.
constexpr double kMinRelativeLatencyWeight = 0.05;
constexpr double kMaxRelativeLatencyWeight = 0.15;
constexpr double kRelativeLatencyTimeConstantS = 20;
// Bounds of one sample, so that a single response can't dominate a mean.
constexpr double kMaxRelativeLatencySample = 5.0;
constexpr double kMaxObjectiveRatioSample = 2.0;

}  // namespace

double LatencyEstimate::Record(double latency_s, double latency_objective_s, const ServiceTimeSample& sample,
                               double now) {
  double since_update_s = now - updated_s_;
  updated_s_ = now;

  double relative_latency = latency_s / (sample.mean_service_time_s * sample.relative_size);
  double relative_weight = std::clamp(since_update_s / kRelativeLatencyTimeConstantS,
                                      kMinRelativeLatencyWeight, kMaxRelativeLatencyWeight);
  relative_latency_ +=
      relative_weight * (std::min(relative_latency, kMaxRelativeLatencySample) - relative_latency_);

  // Latency due to the size of the request does not indicate a queue.
  double size_adjusted_s = latency_s - sample.mean_service_time_s * (sample.relative_size - 1);
  double objective_ratio = size_adjusted_s / latency_objective_s;
  double ratio_weight =
      std::max(kMinObjectiveRatioWeight, 1 - std::exp(-since_update_s / kObjectiveRatioTimeConstantS));
  objective_ratio_ +=
      ratio_weight * (std::clamp(objective_ratio, 0.0, kMaxObjectiveRatioSample) - objective_ratio_);
  return objective_ratio;
}

void LatencyEstimate::Reset() {
  relative_latency_ = 1;
  objective_ratio_ = 0;
}

}  // namespace lemonchute::policy
