/// Ejects a backend whose attempts fail.
#ifndef LEMONCHUTE_POLICY_BACKEND_OUTLIER_DETECTOR_H_
#define LEMONCHUTE_POLICY_BACKEND_OUTLIER_DETECTOR_H_

namespace lemonchute::policy {

/// A circuit breaker on the share of failed attempts: closed, ejected for a time that doubles, then half open
/// with one attempt at a time until one succeeds.
class OutlierDetector {
 public:
  double failure_share() const { return failure_share_; }
  /// One attempt at a time: the backend was ejected and has not succeeded since.
  bool half_open() const { return half_open_; }
  bool IsEjected(double now) const { return ejected_until_s_ > now; }

  /// @return whether this success has closed a half-open breaker.
  bool RecordSuccess();
  /// @return whether this failure has ejected the backend.
  bool RecordFailure(double now);

  /// Ends an ejection and forgets failures, as after a restart; a half-open breaker stays half open.
  void EndEjection() { ejected_until_s_ = failure_share_ = 0; }
  void Reset() { *this = OutlierDetector(); }

 private:
  double failure_share_ = 0;
  double ejected_until_s_ = 0;
  double ejection_s_ = 0;  // length of the last ejection
  bool half_open_ = false;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BACKEND_OUTLIER_DETECTOR_H_
