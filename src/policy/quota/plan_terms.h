/// Values derived from the settings of a plan.
#ifndef LEMONCHUTE_POLICY_QUOTA_PLAN_TERMS_H_
#define LEMONCHUTE_POLICY_QUOTA_PLAN_TERMS_H_

#include "policy/types.h"

namespace lemonchute::policy {

/// @return the length of the counter's windows: the time in which the guaranteed rate fills the bucket.
inline double WindowS(const PlanSettings& plan) { return plan.burst_units / plan.rate_units_per_s; }

/// @return whether a request beyond the quota earns more than it costs.
inline bool IsExcessProfitable(const PlanSettings& plan) {
  return plan.excess_value_share > plan.overage_cost;
}

/// @return what a request beyond the quota costs, as a share of its priority weight.
inline double OverageLoss(const PlanSettings& plan) { return plan.overage_cost - plan.excess_value_share; }

/// @return the units that the ceiling's bucket holds, over all gateways.
inline double CeilingCapacity(const PlanSettings& plan) {
  constexpr double kUsedSlackShare = 0.95;  // the rest is for rounding
  return plan.ceiling_burst_units + kUsedSlackShare * plan.ceiling_slack_units;
}

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_PLAN_TERMS_H_
