#include "policy/load_shedder.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::policy {
namespace {

// Share of the capacity that a class with almost no value per second of service time may use.
constexpr double kMinCapacityShare = 0.3;
// Part of its share of the capacity that a request beyond the quota may use.
constexpr double kExcessCapacityShare = 0.5;
// Least relative step of the admission ratio for a response with a deviation of 1.
constexpr double kMinStep = 0.02;
// If responses are rare: the time in which a constant deviation of 1 divides the ratio by e.
constexpr double kStepTimeConstantS = 0.8;
// Upper bound on the time between two responses in one adjustment.
constexpr double kMaxStepTimeS = 1.0;
// Bounds of one response's relative deviation from the queue threshold.
constexpr double kMinDeviation = -1.0;
constexpr double kMaxDeviation = 2.0;
// Growth of the ratio per second since the previous adjustment, of which at most kMaxStepTimeS counts. Each
// adjustment adds it to the step that follows from the deviation.
constexpr double kRecoveryPerS = 0.05;
// Least share that is admitted, so that responses keep reporting the state of the backends.
constexpr double kMinAdmissionRatio = 0.05;

// The request's value for its work over the highest of all classes: 0 to 1. A client's
// retry that arrives after the class's latency objective has passed is worth only late_value_share of that.
double ValueShare(const Request& request, const Settings& settings, const ServiceTimeEstimates& estimates) {
  double max_value_per_s = 0;
  for (size_t i = 0; i < settings.classes.size(); ++i) {
    double value_per_s =
        settings.classes[i].priority_weight / estimates.MeanServiceTimeS(static_cast<int>(i));
    max_value_per_s = std::max(max_value_per_s, value_per_s);
  }
  const ClassSettings& class_settings = settings.classes[request.class_index];
  double share = 1;
  if (max_value_per_s > 0)
    share =
        class_settings.priority_weight / estimates.MeanServiceTimeS(request.class_index) / max_value_per_s;
  bool client_retry =
      request.time_left_s < estimates.LongestTimeLeftS(request.class_index) - settings.timer_resolution_s;
  bool late =
      client_retry && class_settings.deadline_s - request.time_left_s > class_settings.latency_objective_s;
  return late ? share * class_settings.late_value_share : share;
}

}  // namespace

void LoadShedder::AdjustAdmissionRatio(double objective_ratio, double now) {
  double since_update_s = std::min(kMaxStepTimeS, now - updated_s_);
  double step = std::max(kMinStep, since_update_s / kStepTimeConstantS);
  double deviation = std::clamp(objective_ratio / kQueueThreshold - 1, kMinDeviation, kMaxDeviation);
  admission_ratio_ *= std::exp(-step * deviation);
  admission_ratio_ = std::clamp(admission_ratio_ + kRecoveryPerS * since_update_s, kMinAdmissionRatio, 1.0);
  updated_s_ = now;
}

bool LoadShedder::ShouldShed(const Request& request, bool beyond_quota, const Settings& settings,
                             const ServiceTimeEstimates& estimates, const BackendLoad& load,
                             RandomSource* random) const {
  double share = ValueShare(request, settings, estimates);
  double capacity_share = kMinCapacityShare + (1 - kMinCapacityShare) * share;
  // With few attempts in flight per backend the limits seldom bind, so the ratio follows the responses of all
  // backends together.
  double admission_ratio = std::pow(admission_ratio_, (beyond_quota ? 2 : 1) / capacity_share);
  if (random->Uniform() > std::max(kMinAdmissionRatio, admission_ratio)) return true;
  return load.in_flight >= load.limit * capacity_share * (beyond_quota ? kExcessCapacityShare : 1);
}

}  // namespace lemonchute::policy
