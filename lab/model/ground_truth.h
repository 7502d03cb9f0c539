// Ground truth on quotas: for each customer the single token bucket that all gateways share, its ceiling and
// the attempts really in flight. No gateway sees any of it.
#ifndef LEMONCHUTE_LAB_MODEL_GROUND_TRUTH_H_
#define LEMONCHUTE_LAB_MODEL_GROUND_TRUTH_H_

#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// How a try relates to its customer's quota when it is first forwarded or refused.
enum class QuotaStatus { kWithinQuota, kOverRate, kOverCap };

/// The true state of all quotas.
class GroundTruth {
 public:
  explicit GroundTruth(const RunSpec& spec);

  /// The status that a try of this many units would have now; changes nothing.
  QuotaStatus StatusOf(uint32_t customer, Micros now, double units) const;
  /// A try is forwarded for the first time: takes its units if it is within the quota. `ceiling_margin`
  /// receives what is left in the ceiling's bucket plus its slack; below 0 the ceiling rule is violated.
  /// Large if there is no ceiling.
  QuotaStatus Forward(uint32_t customer, Micros now, double estimated_units, double* ceiling_margin);
  void OnAttemptSent(uint32_t customer) { ++states_[customer].attempts_in_flight; }
  void OnAttemptEnded(uint32_t customer) { --states_[customer].attempts_in_flight; }
  /// The first successful answer to a try within the quota reveals the true units.
  void Settle(uint32_t customer, Micros now, double estimated_units, double units);
  /// The share of the customer's bucket that is filled.
  double TokenShare(uint32_t customer, Micros now) const;
  void ScaleQuotas(double factor);  // applies to every quota from now on

 private:
  struct QuotaState {
    double tokens = 0, ceiling_tokens = 0;
    Micros updated_at = 0;
    int attempts_in_flight = 0;
  };
  const PlanSpec& Plan(uint32_t customer) const {
    return plans_[static_cast<size_t>(spec_->customers[customer].plan)];
  }
  double TokensAt(const QuotaState& state, const PlanSpec& plan, Micros now) const;
  void Refill(QuotaState* state, const PlanSpec& plan, Micros now);

  const RunSpec* spec_;
  std::vector<PlanSpec> plans_;
  std::vector<QuotaState> states_;
};

/// For each arrival, whether a single gateway that saw all first tries would admit it. This defines the load
/// offered within quotas.
std::vector<bool> WithinQuotaByFirstTries(const RunSpec& spec);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_GROUND_TRUTH_H_
