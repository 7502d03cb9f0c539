#include "policy/backend/slow_start.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::policy {
namespace {

// Time constant of the warm backends' load.
constexpr double kWarmLoadTimeConstantS = 2;
// Factor on the measured load of a warm backend. The budget of a cold one is its fraction of capacity times
// the result, or times the load for one core if that is higher.
constexpr double kWarmLoadShare = 0.8;
// Share of the load at which a cold backend collapses that all gateways together may send.
constexpr double kOverloadShare = 0.4;
// Seconds of budget that may accumulate.
constexpr double kMaxSavedBudgetS = 0.3;
constexpr double kMinWarmUpS = 1e-3;

}  // namespace

void WarmBackendLoad::Record(double service_time_s, int warm_backends, double now) {
  work_s_ = work_s_ * std::exp(-(now - updated_s_) / kWarmLoadTimeConstantS) +
            service_time_s / std::max(1, warm_backends);
  updated_s_ = now;
}

double WarmBackendLoad::PerSecond(double now) const {
  return kWarmLoadShare * (work_s_ * std::exp(-(now - updated_s_) / kWarmLoadTimeConstantS)) /
         kWarmLoadTimeConstantS;
}

void SlowStart::Begin(double started_s, double now, double longest_service_time_s, RandomSource* random) {
  started_s_ = started_s;
  budget_updated_s_ = now;
  budget_s_ = -random->Uniform() * longest_service_time_s;
}

bool SlowStart::HasBudget(const SlowStartParameters& parameters, double now) {
  const Settings& settings = parameters.settings;
  double warmed_share = std::max(0.0, now - started_s_) / std::max(kMinWarmUpS, settings.warm_up_s);
  if (warmed_share >= 1) {
    started_s_ = 0;
    return true;
  }
  double capacity_fraction = settings.cold_capacity_share + (1 - settings.cold_capacity_share) * warmed_share;
  double one_core_per_s = settings.cold_overload_multiple * kOverloadShare /
                          (std::max(1, settings.gateway_count) * parameters.process_count);
  double budget_per_s = capacity_fraction * std::max(one_core_per_s, parameters.warm_load.PerSecond(now));
  budget_s_ = std::min(kMaxSavedBudgetS * budget_per_s, budget_s_ + budget_per_s * (now - budget_updated_s_));
  budget_updated_s_ = now;
  return budget_s_ > 0;
}

}  // namespace lemonchute::policy
