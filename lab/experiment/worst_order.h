// Owns the search for the order of return after a power loss that costs the fleet the most.
#ifndef LEMONCHUTE_LAB_EXPERIMENT_WORST_ORDER_H_
#define LEMONCHUTE_LAB_EXPERIMENT_WORST_ORDER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "model/scenario.h"

namespace lemonchute::lab {

struct OrderWish {
  uint64_t seed = 1;  // of the day, and of the orders that are tried
  int plays = 256;    // in virtual time, at most
  int jobs = 1;
  std::function<void(double)> progress;
};
struct OrderCost {
  std::vector<int> order;
  double lost = 0;  // of the served worth, to the day's troubles
};
struct WorstOrder {
  OrderCost up, down, worst;
  std::vector<double> drawn;  // what orders cost that chance alone has picked
  Scenario scenario;          // with the worst order in place of what it said
  int plays = 0;
};
// The scenario's first power loss has its order replaced. Hill climbing from the worst of a first round: no
// proof that there is no worse one, but never better than those of the first round. Throws
// std::invalid_argument where the scenario has no power loss.
WorstOrder FindWorstOrder(const Scenario& scenario, const OrderWish& wish);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_EXPERIMENT_WORST_ORDER_H_
