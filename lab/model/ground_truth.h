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
  explicit GroundTruth(const RunSpec& day);

  // How a try of so many units would stand now; nothing changes.
  QuotaStatus StatusOf(uint32_t customer, Micros now, double units) const;
  // A try is first sent on: takes its units where it is inside. `ceiling_left` is what the ceiling's store
  // holds after that, above its slack: below nought the rule is broken. Large where there is no ceiling.
  QuotaStatus Forward(uint32_t customer, Micros now, double guess, double* ceiling_left);
  void OnAttemptSent(uint32_t customer) { ++stores_[customer].open; }
  void OnAttemptEnded(uint32_t customer) { --stores_[customer].open; }
  // The first good answer of a try inside the quota tells the true units.
  void Settle(uint32_t customer, Micros now, double guess, double units);
  // Share of its store that a customer has now.
  double TokenShare(uint32_t customer, Micros now) const;
  void ScaleQuotas(double times);  // every quota from here on

 private:
  struct Store {
    double units = 0, ceiling = 0;
    Micros at = 0;
    int open = 0;
  };
  const PlanSpec& Plan(uint32_t customer) const {
    return plans_[static_cast<size_t>(day_->customers[customer].plan)];
  }
  double Filled(const Store& store, const PlanSpec& plan, Micros now) const;
  void Fill(Store* store, const PlanSpec& plan, Micros now);

  const RunSpec* day_;
  std::vector<PlanSpec> plans_;
  std::vector<Store> stores_;
};

// For each arrival, whether one gateway that saw all first tries would let it in: what is asked inside
// quotas.
std::vector<bool> WithinQuotaByFirstTries(const RunSpec& day);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_GROUND_TRUTH_H_
