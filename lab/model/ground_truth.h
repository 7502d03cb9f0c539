// Owns the truth on quotas: for each customer the one store that all gateways together draw on, its ceiling
// and the attempts that are really out. No gateway sees any of it.
#ifndef LEMONCHUTE_LAB_MODEL_GROUND_TRUTH_H_
#define LEMONCHUTE_LAB_MODEL_GROUND_TRUTH_H_

#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

// How a try stands to its customer's quota at the moment at which it is first sent on or turned away.
enum class QuotaStatus { kWithinQuota, kOverRate, kOverCap };

class GroundTruth {
 public:
  explicit GroundTruth(const RunSpec& spec);

  // How a try of so many units would stand now; nothing changes.
  QuotaStatus StatusOf(uint32_t customer, Micros now, double units) const;
  // A try is first sent on: takes its units where it is inside. `ceiling_left` is what the ceiling's store
  // holds after that, above its slack: below nought the rule is broken. Large where there is no ceiling.
  QuotaStatus Forward(uint32_t customer, Micros now, double estimated_units, double* ceiling_margin);
  void OnAttemptSent(uint32_t customer) { ++states_[customer].attempts_in_flight; }
  void OnAttemptEnded(uint32_t customer) { --states_[customer].attempts_in_flight; }
  // The first good answer of a try inside the quota tells the true units.
  void Settle(uint32_t customer, Micros now, double estimated_units, double units);
  // Share of its store that a customer has now.
  double TokenShare(uint32_t customer, Micros now) const;
  void ScaleQuotas(double factor);  // every quota from here on

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

// For each arrival, whether one gateway that saw all first tries would let it in: what is asked inside
// quotas.
std::vector<bool> WithinQuotaByFirstTries(const RunSpec& spec);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_GROUND_TRUTH_H_
