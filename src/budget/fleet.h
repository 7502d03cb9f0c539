// Owns a process's part in budgets that are divided on two levels: the fleet's whole among groups of
// neighbouring numbers, and each group's part among its members. The arbiter of a group asks for the group,
// and what it gives ends before the part that it is cut from; so the sum holds for the same reason on both
// levels, and no arbiter hears more than about the root of the fleet.
//
// After Doorman's hierarchy of leased capacity. Departure: who asks for a group is elected in it.
#ifndef LEMONCHUTE_BUDGET_FLEET_H_
#define LEMONCHUTE_BUDGET_FLEET_H_

#include "budget/budgets.h"

namespace lemonchute::budget {

struct FleetSettings {
  uint16_t self = 0, members = 0;
  uint32_t life = 0;
  std::vector<Spec> budgets;
  uint64_t seed = 0;
  uint16_t group_size = 0;  // nought: about the root of the fleet
  double asks_per_s = 12;   // that an arbiter is meant to hear
  size_t voters = 5;        // in a group; and groups whose first member votes on the fleet's arbiter
};

class Fleet {
 public:
  Fleet(const FleetSettings& settings, Micros now);

  void Heard(Micros now, uint16_t from, const Message& message, Out* out);
  void Tick(Micros now, Out* out);
  Micros NextAt() const;
  // As of Budgets.
  void Want(uint32_t budget, uint32_t grains) { group_->Want(budget, grains); }
  uint32_t Usable(Micros now, uint32_t budget) const { return group_->Usable(now, budget); }
  void Leave(Micros now, Out* out);
  bool Arbiter(Micros now) const { return among_ && among_->Arbiter(now); }

 private:
  template <typename Call>
  void Among(Out* out, Call call);
  void Join(Micros now);

  std::vector<Spec> budgets_;
  std::optional<Budgets> group_, among_;  // among groups: who may ever ask or vote there
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_FLEET_H_
