#include "policy/quota/concurrency_cap.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::policy {
namespace {

constexpr double kEpochS = 4;
// While more than this share of the attempts last read is still in flight, too few have ended for an
// estimate.
constexpr double kFreshShare = 0.9;
// Time constant with which confidence in the number last read decays.
constexpr double kReadTimeConstantS = 1;
// Time constant of the mean number of remote attempts.
constexpr double kMeanTimeConstantS = 1.0;

}  // namespace

int64_t ConcurrencyCap::EpochAt(double wall_clock_s) {
  return static_cast<int64_t>(std::floor(wall_clock_s / kEpochS));
}

double ConcurrencyCap::ExpiryS() { return 2 * kEpochS; }

void ConcurrencyCap::BeginEpoch(int64_t new_epoch) {
  if (new_epoch == epoch) return;
  epoch = new_epoch;
  reported_attempts = 0;
}

void ConcurrencyCap::ApplyResponse(int64_t call_epoch, double delta, const CounterResponse& response,
                                   double now) {
  if (call_epoch != epoch) return;
  // A call that timed out may have been applied.
  if (response.result == AttemptResult::kOk || response.result == AttemptResult::kTimeout)
    reported_attempts += delta;
  if (response.result != AttemptResult::kOk) return;
  double weight = remote_read_s < 0 ? 1 : 1 - std::exp(-(now - remote_read_s) / kMeanTimeConstantS);
  remote_attempts = std::max(0.0, response.total - reported_attempts);
  mean_remote_attempts += weight * (remote_attempts - mean_remote_attempts);
  remote_read_s = now;
}

double ConcurrencyCap::CapacityChance(int max_in_flight, double attempt_duration_s, double now) const {
  int free_attempts = max_in_flight - local_attempts;
  double unchanged_share = remote_read_s < 0 ? 0 : std::exp(-(now - remote_read_s) / attempt_duration_s);
  if (free_attempts <= 0 || unchanged_share > kFreshShare) return free_attempts > remote_attempts ? 1 : 0;
  double mean = unchanged_share * remote_attempts + (1 - unchanged_share) * mean_remote_attempts;
  double term = std::exp(-mean);
  double chance = 0;
  for (int k = 0; k < free_attempts; term *= mean / ++k) chance += term;
  return chance;
}

double ConcurrencyCap::Confidence(double now) const {
  return remote_read_s < 0 ? 0 : std::exp(-(now - remote_read_s) / kReadTimeConstantS);
}

}  // namespace lemonchute::policy
