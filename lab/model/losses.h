// Owns where worth went: for each request that was asked for inside its quota, what became of its latest try.
#ifndef LEMONCHUTE_LAB_MODEL_LOSSES_H_
#define LEMONCHUTE_LAB_MODEL_LOSSES_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

enum class Loss : uint8_t {
  kUnanswered,          // nothing came of it by the day's end
  kServed,              // no loss
  kRefusedNeedlessly,   // refused, though its true store held the units and a known backend had a free slot
  kRefusedForQuota,     // refused rightly: retries and others of its customer had used the units
  kRefusedForCap,       // likewise, the cap on attempts out
  kRefusedNoCapacity,   // refused with no free slot anywhere
  kServedOverQuota,     // served, but sent on beyond the quota: worth nothing
  kServedLate,          // served after its aim
  kFailed,              // an error, or refused after attempts
  kGatewayUnreachable,  // its gateway was not there
  kNoAnswer,            // no answer in its time, or its client left early
  kCount
};
const char* Name(Loss loss);

class Losses {
 public:
  explicit Losses(const RunSpec& spec) : last_loss_(spec.arrivals.size(), Loss::kUnanswered) {}
  void Set(uint32_t arrival, Loss loss) { last_loss_[arrival] = loss; }
  // By name, the share of `offered`; `worth` is an arrival's, nought where it does not count.
  template <typename Worth>
  nlohmann::json Report(double offered, Worth worth) const {
    std::vector<double> loss_sums(static_cast<size_t>(Loss::kCount), 0);
    for (uint32_t i = 0; i < last_loss_.size(); ++i)
      loss_sums[static_cast<size_t>(last_loss_[i])] += worth(i);
    nlohmann::json report;
    for (size_t index = 0; index < loss_sums.size(); ++index) {
      bool counts = static_cast<Loss>(index) != Loss::kServed && offered > 0;
      if (counts) report[Name(static_cast<Loss>(index))] = std::round(1e6 * loss_sums[index] / offered) / 1e6;
    }
    return report;
  }

 private:
  std::vector<Loss> last_loss_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_LOSSES_H_
