/// Limits the attempts that one gateway may have in flight at one backend.
#ifndef LEMONCHUTE_POLICY_BACKEND_CONCURRENCY_LIMIT_H_
#define LEMONCHUTE_POLICY_BACKEND_CONCURRENCY_LIMIT_H_

namespace lemonchute::policy {

/// Mean of latency over latency objective above which a queue is assumed. Keeping the mean well within the
/// objective keeps queues short whatever causes them: overload, a slow backend, or many gateways that
/// selected the same one. It may reject too much if service alone takes a third of the objective.
inline constexpr double kQueueThreshold = 0.27;

/// Additive increase, multiplicative decrease.
class ConcurrencyLimit {
 public:
  double value() const { return limit_; }

  /// Adjusts the limit after a response.
  /// @param objective_ratio the backend's mean of latency over latency objective.
  /// @param in_flight attempts that remain at the backend.
  void OnResponse(double objective_ratio, int in_flight, double now);
  /// Decreases the limit on a sign of overload, at most once an interval.
  void Decrease(int in_flight, double now);
  /// Starts again from the initial limit.
  void Reset() { limit_ = kInitialLimit; }

 private:
  static constexpr double kInitialLimit = 3;

  double limit_ = kInitialLimit;
  double decreased_s_ = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BACKEND_CONCURRENCY_LIMIT_H_
