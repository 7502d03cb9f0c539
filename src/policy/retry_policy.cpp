#include "policy/retry_policy.h"

#include <algorithm>

namespace lemonchute::policy {
namespace {

// Retries earned by a first attempt.
constexpr double kRetriesPerRequest = 0.1;
// A check for silence is due after this share of the latency objective or this many expected latencies,
// whichever is longer.
constexpr double kSilenceCheckObjectiveShare = 0.5;
constexpr double kSilenceCheckLatencies = 6;

}  // namespace

void RetryBudget::RecordFirstAttempt() { retries_ = std::min(kMaxRetries, retries_ + kRetriesPerRequest); }

double IdempotencyWindowEndS(const InFlightRequest& active, const ClassSettings& class_settings,
                             double timer_resolution_s) {
  return active.first_run_s + class_settings.idempotency_window_s - kMaxProcessStallS -
         2 * timer_resolution_s;
}

bool IsRetrySafe(const InFlightRequest& active, const ClassSettings& class_settings,
                 double timer_resolution_s, double now) {
  if (active.body_discarded || static_cast<int>(active.attempts.size()) >= active.max_attempts) return false;
  if (!active.may_have_run || class_settings.idempotency == Idempotency::kIdempotent) return true;
  if (class_settings.idempotency == Idempotency::kNonIdempotent) return false;
  return now < IdempotencyWindowEndS(active, class_settings, timer_resolution_s);
}

bool IsRejectSafe(const InFlightRequest& active, const ClassSettings& class_settings) {
  if (class_settings.idempotency == Idempotency::kIdempotent) return true;
  if (!active.may_have_run && active.attempts_in_flight == 0) return true;
  return class_settings.idempotency == Idempotency::kWithinWindow &&
         class_settings.idempotency_scope == IdempotencyScope::kAll;
}

double SilenceCheckS(const ClassSettings& class_settings, double expected_latency_s) {
  return std::max(kSilenceCheckObjectiveShare * class_settings.latency_objective_s,
                  kSilenceCheckLatencies * expected_latency_s);
}

}  // namespace lemonchute::policy
