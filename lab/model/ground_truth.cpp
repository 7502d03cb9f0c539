// Token buckets as BENCH and PROTOCOL define them: full at the start, refilled evenly, never above the burst.
// A try beyond the quota takes nothing; the bucket of a ceiling takes the estimated units of every forwarded
// try.
#include "model/ground_truth.h"

#include <algorithm>

namespace lemonchute::lab {

namespace {
// On sockets the ceiling's slack is wider by this many seconds of its rate (PROTOCOL, the rules on sockets).
constexpr double kSocketSlackS = 0.15;
}  // namespace

GroundTruth::GroundTruth(const RunSpec& spec)
    : spec_(&spec), plans_(spec.plans), states_(spec.customers.size()) {
  for (size_t c = 0; c < states_.size(); ++c) {
    const PlanSpec& plan = Plan(static_cast<uint32_t>(c));
    states_[c].tokens = plan.burst, states_[c].ceiling_tokens = plan.ceiling_burst;
  }
}

double GroundTruth::TokensAt(const QuotaState& state, const PlanSpec& plan, Micros now) const {
  return std::min(plan.burst, state.tokens + ToSeconds(now - state.updated_at) * plan.rate);
}

void GroundTruth::Refill(QuotaState* state, const PlanSpec& plan, Micros now) {
  state->tokens = TokensAt(*state, plan, now);
  state->ceiling_tokens = std::min(
      plan.ceiling_burst, state->ceiling_tokens + ToSeconds(now - state->updated_at) * plan.ceiling_rate);
  state->updated_at = now;
}

QuotaStatus GroundTruth::StatusOf(uint32_t customer, Micros now, double units) const {
  const QuotaState& state = states_[customer];
  const PlanSpec& plan = Plan(customer);
  if (TokensAt(state, plan, now) < units) return QuotaStatus::kOverRate;
  return plan.attempt_cap > 0 && state.attempts_in_flight >= plan.attempt_cap ? QuotaStatus::kOverCap
                                                                              : QuotaStatus::kWithinQuota;
}

QuotaStatus GroundTruth::Forward(uint32_t customer, Micros now, double estimated_units,
                                 double* ceiling_margin) {
  QuotaState& state = states_[customer];
  const PlanSpec& plan = Plan(customer);
  QuotaStatus quota = StatusOf(customer, now, estimated_units);
  Refill(&state, plan, now);
  if (quota == QuotaStatus::kWithinQuota) state.tokens -= estimated_units;
  *ceiling_margin = 1e9;
  if (plan.ceiling_rate > 0) {
    state.ceiling_tokens -= estimated_units;
    *ceiling_margin = state.ceiling_tokens + plan.ceiling_slack + kSocketSlackS * plan.ceiling_rate;
  }
  return quota;
}

void GroundTruth::Settle(uint32_t customer, Micros now, double estimated_units, double units) {
  QuotaState& state = states_[customer];
  Refill(&state, Plan(customer), now);
  state.tokens = std::min(Plan(customer).burst, state.tokens + estimated_units - units);
}

double GroundTruth::TokenShare(uint32_t customer, Micros now) const {
  const PlanSpec& plan = Plan(customer);
  return plan.burst > 0 ? TokensAt(states_[customer], plan, now) / plan.burst : 1;
}

void GroundTruth::ScaleQuotas(double factor) {
  for (PlanSpec& plan : plans_) {
    plan.rate *= factor, plan.burst *= factor;
    plan.ceiling_rate *= factor, plan.ceiling_burst *= factor;
  }
}

std::vector<bool> WithinQuotaByFirstTries(const RunSpec& spec) {
  GroundTruth single_gateway(spec);
  std::vector<bool> inside;
  inside.reserve(spec.arrivals.size());
  for (const Arrival& a : spec.arrivals) {
    double ceiling = 0;
    bool in = single_gateway.Forward(a.customer, a.at, a.units, &ceiling) == QuotaStatus::kWithinQuota;
    inside.push_back(in);
  }
  return inside;
}

}  // namespace lemonchute::lab
