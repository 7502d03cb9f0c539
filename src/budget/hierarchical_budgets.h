/// Budgets divided on two levels: the fleet's total among groups of neighbouring members, and each group's
/// lease among its members. A group's leader requests leases for the group, and what it grants ends before
/// the group's own lease, so the invariant of Budgets holds on both levels. Each leader serves about as many
/// requesters as the square root of the fleet's size.
///
/// Follows Doorman's hierarchy of leased capacity, with an elected leader for each group.
#ifndef LEMONCHUTE_BUDGET_HIERARCHICAL_BUDGETS_H_
#define LEMONCHUTE_BUDGET_HIERARCHICAL_BUDGETS_H_

#include "budget/budgets.h"

namespace lemonchute::budget {

/// The parameters of one process.
struct HierarchicalSettings {
  uint16_t self = 0, member_count = 0;
  uint32_t incarnation = 0;
  std::vector<BudgetSpec> budgets;
  uint64_t seed = 0;
  uint16_t group_size = 0;           ///< 0: about the square root of the fleet's size.
  double lease_requests_per_s = 12;  ///< The load a leader is meant to serve.
  size_t max_voters = 5;  ///< Per group; also of groups whose first member votes on the fleet's leader.
};

/// One process of the fleet on both levels.
class HierarchicalBudgets {
 public:
  HierarchicalBudgets(const HierarchicalSettings& settings, Micros now);

  void OnMessage(Micros now, uint16_t from, const Message& message, OutgoingMessages* out);
  void Tick(Micros now, OutgoingMessages* out);
  Micros NextTickAt() const;
  /// As in Budgets.
  void SetDemand(uint32_t budget, uint32_t grains) { group_->SetDemand(budget, grains); }
  uint32_t Usable(Micros now, uint32_t budget) const { return group_->Usable(now, budget); }
  void Leave(Micros now, OutgoingMessages* out);
  bool IsLeader(Micros now) const { return inter_group_ && inter_group_->IsLeader(now); }

 private:
  template <typename Call>
  void CallInterGroup(OutgoingMessages* out, Call call);
  void SyncLevels(Micros now);

  std::vector<BudgetSpec> budgets_;
  // The upper level exists only at the voters of either level: no other process can vote or request leases
  // there.
  std::optional<Budgets> group_, inter_group_;
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_HIERARCHICAL_BUDGETS_H_
