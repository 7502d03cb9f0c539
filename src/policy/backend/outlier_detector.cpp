#include "policy/backend/outlier_detector.h"

#include <algorithm>

namespace lemonchute::policy {
namespace {

// Weight of a success in the share of failures; a failure has twice the weight.
constexpr double kSuccessWeight = 0.1;
// Share of failures above which a backend is ejected: three failures in a row exceed it.
constexpr double kEjectionThreshold = 0.48;
// Share of failures below which the next ejection starts from the minimum again.
constexpr double kRecoveredShare = 0.1;
constexpr double kMinEjectionS = 0.5;
constexpr double kMaxEjectionS = 4.0;

}  // namespace

bool OutlierDetector::RecordSuccess() {
  bool readmitted = half_open_;
  failure_share_ -= kSuccessWeight * failure_share_;
  half_open_ = false;
  if (failure_share_ < kRecoveredShare) ejection_s_ = 0;
  return readmitted;
}

bool OutlierDetector::RecordFailure(double now) {
  failure_share_ += kSuccessWeight * 2 * (1 - failure_share_);
  if (IsEjected(now)) return false;
  if (!half_open_ && failure_share_ <= kEjectionThreshold) return false;
  ejection_s_ = std::clamp(ejection_s_ * 2, kMinEjectionS, kMaxEjectionS);
  ejected_until_s_ = now + ejection_s_;
  half_open_ = true;
  return true;
}

}  // namespace lemonchute::policy
