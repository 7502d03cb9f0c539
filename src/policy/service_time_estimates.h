/// Estimates by request class: service time, units of a request, and time left at arrival.
#ifndef LEMONCHUTE_POLICY_SERVICE_TIME_ESTIMATES_H_
#define LEMONCHUTE_POLICY_SERVICE_TIME_ESTIMATES_H_

#include <vector>

#include "policy/types.h"

namespace lemonchute::policy {

/// One response, relative to the means of its class.
struct ServiceTimeSample {
  double mean_service_time_s = 0;  ///< Of its class, before this response.
  double relative_size = 1;        ///< The request's units over the mean of its class.
};

/// Estimates over all backends, by class index.
class ServiceTimeEstimates {
 public:
  /// Extends the tables of `prepared` to the classes that its settings have added.
  static void Extend(PreparedSettings* prepared);
  /// Resets the estimates of one class in `prepared`.
  static void Reset(PreparedSettings* prepared, int class_index);

  /// Copies the estimates to `prepared`.
  void CopyTo(PreparedSettings* prepared) const;
  /// Moves the tables out of `prepared`.
  void TakeFrom(PreparedSettings* prepared) noexcept;

  double MeanServiceTimeS(int class_index) const { return mean_service_time_s_[class_index]; }
  double LongestMeanServiceTimeS() const;
  /// @return the mean of the request's class, in proportion to its units.
  double ExpectedServiceTimeS(const Request& request) const {
    double mean_units = mean_units_[request.class_index];
    return mean_service_time_s_[request.class_index] * (mean_units > 0 ? request.units / mean_units : 1);
  }
  /// The longest time that a request of the class has had left at its arrival; one with less is taken as a
  /// client's retry.
  double LongestTimeLeftS(int class_index) const { return longest_time_left_s_[class_index]; }

  void RecordArrival(const Request& request);
  /// A response of `class_settings`' class has arrived after `latency_s`.
  ServiceTimeSample RecordResponse(int class_index, const ClassSettings& class_settings, double units,
                                   double latency_s);

 private:
  std::vector<double> mean_service_time_s_;
  std::vector<double> mean_units_;
  std::vector<double> longest_time_left_s_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_SERVICE_TIME_ESTIMATES_H_
