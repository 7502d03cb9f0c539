/// Decides whether, when and until when a request may be attempted again.
#ifndef LEMONCHUTE_POLICY_RETRY_POLICY_H_
#define LEMONCHUTE_POLICY_RETRY_POLICY_H_

#include "policy/in_flight_request.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// Limits retries to a share of the first attempts, so that they can't amplify an overload.
class RetryBudget {
 public:
  /// A first attempt earns a fraction of a retry.
  void RecordFirstAttempt();
  bool HasRetry() const { return retries_ >= 1; }
  void Spend() { retries_ -= 1; }

 private:
  static constexpr double kMaxRetries = 20;

  double retries_ = kMaxRetries;
};

/// @return the time before which a repeat must start so that backends still drop it by its idempotency key.
double IdempotencyWindowEndS(const InFlightRequest& active, const ClassSettings& class_settings,
                             double timer_resolution_s);
/// @return whether idempotency and the number of attempts allow another attempt.
bool IsRetrySafe(const InFlightRequest& active, const ClassSettings& class_settings,
                 double timer_resolution_s, double now);
/// @return whether `endpoint` shares its store of idempotency keys with the first attempt that may have run.
inline bool IsInIdempotencyScope(const InFlightRequest& active, const ClassSettings& class_settings,
                                 const Endpoint& endpoint) {
  if (!active.may_have_run || class_settings.idempotency == Idempotency::kIdempotent) return true;
  switch (class_settings.idempotency_scope) {
    case IdempotencyScope::kAll: return true;
    case IdempotencyScope::kZone: return endpoint.zone == active.run_zone;
    case IdempotencyScope::kCell: return endpoint.cell == active.run_cell;
  }
  return false;
}
/// @return whether the client may send the request again: it was not run, or a repeat is dropped.
bool IsRejectSafe(const InFlightRequest& active, const ClassSettings& class_settings);
/// @return how long to wait for a response before its backend is checked for silence; few responses take that
/// long by chance.
/// @param expected_latency_s of the attempt at its backend.
double SilenceCheckS(const ClassSettings& class_settings, double expected_latency_s);

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_RETRY_POLICY_H_
