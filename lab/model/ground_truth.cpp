// Stores as BENCH and PROTOCOL word them: full at the start, filled evenly, never above the burst; a try
// beyond the quota takes nothing; a ceiling's store takes the guess of every try that is sent on.
#include "model/ground_truth.h"

#include <algorithm>

namespace lemonchute::lab {

namespace {
// Seconds of the ceiling's rate by which its slack is wider on sockets (PROTOCOL, the rules on sockets).
constexpr double kSocketSlackS = 0.15;
}  // namespace

GroundTruth::GroundTruth(const RunSpec& day) : day_(&day), plans_(day.plans), stores_(day.customers.size()) {
  for (size_t c = 0; c < stores_.size(); ++c) {
    const PlanSpec& plan = Plan(static_cast<uint32_t>(c));
    stores_[c].units = plan.burst, stores_[c].ceiling = plan.ceiling_burst;
  }
}

double GroundTruth::Filled(const Store& store, const PlanSpec& plan, Micros now) const {
  return std::min(plan.burst, store.units + ToSeconds(now - store.at) * plan.rate);
}

void GroundTruth::Fill(Store* store, const PlanSpec& plan, Micros now) {
  store->units = Filled(*store, plan, now);
  store->ceiling =
      std::min(plan.ceiling_burst, store->ceiling + ToSeconds(now - store->at) * plan.ceiling_rate);
  store->at = now;
}

QuotaStatus GroundTruth::StatusOf(uint32_t customer, Micros now, double units) const {
  const Store& store = stores_[customer];
  const PlanSpec& plan = Plan(customer);
  if (Filled(store, plan, now) < units) return QuotaStatus::kOverRate;
  return plan.attempt_cap > 0 && store.open >= plan.attempt_cap ? QuotaStatus::kOverCap
                                                                : QuotaStatus::kWithinQuota;
}

QuotaStatus GroundTruth::Forward(uint32_t customer, Micros now, double guess, double* ceiling_left) {
  Store& store = stores_[customer];
  const PlanSpec& plan = Plan(customer);
  QuotaStatus quota = StatusOf(customer, now, guess);
  Fill(&store, plan, now);
  if (quota == QuotaStatus::kWithinQuota) store.units -= guess;
  *ceiling_left = 1e9;
  if (plan.ceiling_rate > 0) {
    store.ceiling -= guess;
    *ceiling_left = store.ceiling + plan.ceiling_slack + kSocketSlackS * plan.ceiling_rate;
  }
  return quota;
}

void GroundTruth::Settle(uint32_t customer, Micros now, double guess, double units) {
  Store& store = stores_[customer];
  Fill(&store, Plan(customer), now);
  store.units = std::min(Plan(customer).burst, store.units + guess - units);
}

double GroundTruth::TokenShare(uint32_t customer, Micros now) const {
  const PlanSpec& plan = Plan(customer);
  return plan.burst > 0 ? Filled(stores_[customer], plan, now) / plan.burst : 1;
}

void GroundTruth::ScaleQuotas(double times) {
  for (PlanSpec& plan : plans_) {
    plan.rate *= times, plan.burst *= times;
    plan.ceiling_rate *= times, plan.ceiling_burst *= times;
  }
}

std::vector<bool> WithinQuotaByFirstTries(const RunSpec& day) {
  GroundTruth alone(day);
  std::vector<bool> inside;
  inside.reserve(day.arrivals.size());
  for (const Arrival& a : day.arrivals) {
    double ceiling = 0;
    bool in = alone.Forward(a.customer, a.at, a.units, &ceiling) == QuotaStatus::kWithinQuota;
    inside.push_back(in);
  }
  return inside;
}

}  // namespace lemonchute::lab
