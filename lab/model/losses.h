// Accounts for lost value: for each request that was within its quota, the result of its latest try.
#ifndef LEMONCHUTE_LAB_MODEL_LOSSES_H_
#define LEMONCHUTE_LAB_MODEL_LOSSES_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// The result of a request's latest try, as a loss of value.
enum class Loss : uint8_t {
  kUnanswered,          // no result by the end of the run
  kServed,              // not a loss
  kRefusedNeedlessly,   // refused although the true quota had the units and a known backend had a free slot
  kRefusedForQuota,     // rightly refused: retries and other requests of the customer had used the units
  kRefusedForCap,       // rightly refused: the cap on attempts in flight was reached
  kRefusedNoCapacity,   // refused, and no backend had a free slot
  kServedOverQuota,     // served, but forwarded beyond the quota, so worth nothing
  kServedLate,          // served after its aim
  kFailed,              // an error, or refused after attempts were made
  kGatewayUnreachable,  // the gateway could not be reached
  kNoAnswer,            // no answer in time, or the client left early
  kCount
};
/// The name in reports.
const char* Name(Loss loss);

/// The latest result of each arrival.
class Losses {
 public:
  explicit Losses(const RunSpec& spec) : last_loss_(spec.arrivals.size(), Loss::kUnanswered) {}
  void Set(uint32_t arrival, Loss loss) { last_loss_[arrival] = loss; }
  /// The lost share of `offered` by name of loss. `worth(i)` is the value of arrival i, or 0 if it does not
  /// count.
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
