#include "policy/service_time_estimates.h"

#include <algorithm>
#include <utility>

namespace lemonchute::policy {
namespace {

// Weight of one response in the means of its class.
constexpr double kMeanWeight = 0.02;
// The mean service time before the first response, as a share of the latency objective.
constexpr double kPriorObjectiveShare = 0.25;

}  // namespace

void ServiceTimeEstimates::Extend(PreparedSettings* prepared) {
  const std::vector<ClassSettings>& classes = prepared->settings.classes;
  for (size_t i = prepared->mean_service_time_s.size(); i < classes.size(); ++i)
    prepared->mean_service_time_s.push_back(classes[i].latency_objective_s * kPriorObjectiveShare);
  prepared->mean_units.resize(classes.size(), 0);
  prepared->longest_time_left_s.resize(classes.size(), 0);
}

void ServiceTimeEstimates::Reset(PreparedSettings* prepared, int class_index) {
  prepared->mean_service_time_s[class_index] =
      prepared->settings.classes[class_index].latency_objective_s * kPriorObjectiveShare;
  prepared->mean_units[class_index] = 0;
  prepared->longest_time_left_s[class_index] = 0;
}

void ServiceTimeEstimates::CopyTo(PreparedSettings* prepared) const {
  prepared->mean_service_time_s = mean_service_time_s_;
  prepared->mean_units = mean_units_;
  prepared->longest_time_left_s = longest_time_left_s_;
}

void ServiceTimeEstimates::TakeFrom(PreparedSettings* prepared) noexcept {
  mean_service_time_s_ = std::move(prepared->mean_service_time_s);
  mean_units_ = std::move(prepared->mean_units);
  longest_time_left_s_ = std::move(prepared->longest_time_left_s);
}

double ServiceTimeEstimates::LongestMeanServiceTimeS() const {
  double longest_s = 0;
  for (double mean_s : mean_service_time_s_) longest_s = std::max(longest_s, mean_s);
  return longest_s;
}

void ServiceTimeEstimates::RecordArrival(const Request& request) {
  double& longest_s = longest_time_left_s_[request.class_index];
  longest_s = std::max(longest_s, request.time_left_s);
}

ServiceTimeSample ServiceTimeEstimates::RecordResponse(int class_index, const ClassSettings& class_settings,
                                                       double units, double latency_s) {
  double& mean_units = mean_units_[class_index];
  mean_units += (mean_units > 0 ? kMeanWeight : 1) * (units - mean_units);
  double& mean_s = mean_service_time_s_[class_index];
  ServiceTimeSample sample{mean_s, units / mean_units};
  // Latency beyond the objective is mostly queueing, not service.
  mean_s += kMeanWeight * (std::min(latency_s, class_settings.latency_objective_s) - mean_s);
  return sample;
}

}  // namespace lemonchute::policy
