#include "policy/quota/token_bucket.h"

#include <algorithm>
#include <cmath>

#include "policy/quota/plan_terms.h"

namespace lemonchute::policy {
namespace {

// Share of an even part that a gateway grants at least while the counter is unavailable, for traffic that
// moves to it.
constexpr double kMinEvenPartShare = 0.5;
// Time constant of the rates, in windows.
constexpr double kRateTimeConstantWindows = 0.5;
// Least time between two reads over which a rate is computed.
constexpr double kMinRateSpanS = 1e-3;

}  // namespace

void TokenBucket::Start(const BucketTerms& terms, double gateway_started_s, double now) {
  const PlanSettings& plan = terms.plan;
  refilled_s = now;
  tokens = plan.burst_units;
  remote_units_per_s = plan.rate_units_per_s * (terms.entry_points - 1) / terms.entry_points;
  ceiling_tokens = std::min(CeilingCapacity(plan) / terms.entry_points,
                            plan.ceiling_units_per_s / terms.entry_points * (now - gateway_started_s));
  if (plan.rate_units_per_s > 0) window = WindowAt(terms, now);
}

void TokenBucket::Refill(const BucketTerms& terms, double now) {
  const PlanSettings& plan = terms.plan;
  double elapsed_s = now - refilled_s;
  if (elapsed_s <= 0) return;
  refilled_s = now;
  ceiling_tokens = std::min(CeilingCapacity(plan) / terms.entry_points,
                            ceiling_tokens + plan.ceiling_units_per_s / terms.entry_points * elapsed_s);
  if (plan.rate_units_per_s <= 0) return;
  // The other gateways are assumed to continue at the rate last read, until the next read. This also limits
  // this gateway to its part of the quota while the counter is unavailable, frozen or new.
  tokens = std::min(plan.burst_units, tokens + (plan.rate_units_per_s - RemoteRate(terms)) * elapsed_s);
  int64_t current_window = WindowAt(terms, now);
  if (current_window == window) return;
  // If a whole window has passed without a read, the use by other gateways in it is unknown.
  bool use_unknown = current_window > window + 1 && terms.entry_points > 1 && !terms.counter_unavailable;
  double left_over_units = window_used_units - plan.rate_units_per_s * WindowS(plan) *
                                                   static_cast<double>(current_window - window);
  window_used_units = use_unknown ? 0 : std::clamp(left_over_units, 0.0, plan.burst_units);
  carried_units = window_used_units;
  if (use_unknown) synchronized = false;
  window = current_window;
  // After a long outage of the counter, at most a burst is reported.
  unreported_units = std::min(unreported_units, plan.burst_units);
  total_units = 0;
}

void TokenBucket::Rebase(const BucketTerms& terms, double now) {
  const PlanSettings& plan = terms.plan;
  LimitCeiling(terms);
  tokens = std::min(tokens, plan.burst_units);
  remote_units_per_s = std::min(remote_units_per_s, plan.rate_units_per_s);
  if (plan.rate_units_per_s <= 0) return;
  // Windows of another length have other names at the counter, so a new one begins with the local state.
  window = WindowAt(terms, now);
  window_used_units = carried_units = std::max(0.0, plan.burst_units - tokens);
  total_units = 0;
  synchronized = false;
}

void TokenBucket::LimitCeiling(const BucketTerms& terms) {
  ceiling_tokens = std::min(ceiling_tokens, CeilingCapacity(terms.plan) / terms.entry_points);
}

void TokenBucket::Charge(const PlanSettings& plan, double units, double sign) {
  tokens = std::min(plan.burst_units, tokens - sign * units);
  window_used_units += sign * units;
  unreported_units += sign * units;
  if (!synchronized) units_before_first_total += sign * units;
}

void TokenBucket::ApplyRemoteUnits(const BucketTerms& terms, double remote_units, double local_units,
                                   double since_read_s, double now) {
  const PlanSettings& plan = terms.plan;
  double window_s = WindowS(plan);
  double into_window_s = now + terms.wall_clock_offset_s - static_cast<double>(window) * window_s;
  remote_units = std::max(0.0, remote_units) - std::min(carried_units, std::max(0.0, remote_units));
  carried_units = 0;
  window_used_units += remote_units;
  double weight = synchronized ? 1 - std::exp(-since_read_s / (kRateTimeConstantWindows * window_s)) : 1;
  double span_s = synchronized ? std::max(since_read_s, kMinRateSpanS)
                               : std::max(into_window_s, kRateTimeConstantWindows * window_s);
  remote_units_per_s +=
      weight * (std::min(2 * plan.rate_units_per_s, remote_units / span_s) - remote_units_per_s);
  remote_units_per_s = std::min(remote_units_per_s, plan.rate_units_per_s);
  local_units_per_s += weight * (std::max(0.0, local_units) / span_s - local_units_per_s);
  tokens = std::min(plan.burst_units,
                    plan.burst_units + plan.rate_units_per_s * into_window_s - window_used_units);
  synchronized = true;
}

double TokenBucket::RemoteRate(const BucketTerms& terms) const {
  if (!terms.counter_unavailable || !synchronized) return remote_units_per_s;
  double fleet_units_per_s = local_units_per_s + remote_units_per_s;
  if (fleet_units_per_s <= 0) return remote_units_per_s;
  double local_part = std::max(local_units_per_s / fleet_units_per_s, kMinEvenPartShare / terms.entry_points);
  return std::max(remote_units_per_s, terms.plan.rate_units_per_s * (1 - local_part));
}

int64_t TokenBucket::WindowAt(const BucketTerms& terms, double now) {
  return static_cast<int64_t>(std::floor((now + terms.wall_clock_offset_s) / WindowS(terms.plan)));
}

}  // namespace lemonchute::policy
