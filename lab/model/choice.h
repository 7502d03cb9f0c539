// Ground truth on the choice of a backend: the regret of a choice, and whether a refused try could have had a
// slot. `Listed` is a predicate that tells which backends the gateway knew.
#ifndef LEMONCHUTE_LAB_MODEL_CHOICE_H_
#define LEMONCHUTE_LAB_MODEL_CHOICE_H_

#include <algorithm>
#include <vector>

#include "model/backend.h"

namespace lemonchute::lab {

/// How much longer a request is expected to take at the chosen backend than at the best known backend, and
/// than at the best backend of all.
struct Regret {
  double known_s = 0, best_s = 0;
};

/// The regret of choosing backend `chosen` for a request of `work_s`.
template <typename Listed>
Regret RegretOf(const std::vector<Backend>& backends, size_t chosen, double work_s, Micros now,
                Listed listed) {
  double own = backends[chosen].ExpectedSeconds(now, work_s), known = own, best = own;
  for (size_t b = 0; b < backends.size(); ++b) {
    if (!backends[b].AcceptsNew()) continue;
    double expected = backends[b].ExpectedSeconds(now, work_s);
    best = std::min(best, expected);
    if (listed(b)) known = std::min(known, expected);
  }
  return {own - known, own - best};
}

/// Whether any backend that the gateway knew accepts work and has a free slot.
template <typename Listed>
bool AnySlotFree(const std::vector<Backend>& backends, Listed listed) {
  for (size_t b = 0; b < backends.size(); ++b) {
    if (backends[b].HasFreeSlot() && backends[b].AcceptsNew() && listed(b)) return true;
  }
  return false;
}

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_CHOICE_H_
