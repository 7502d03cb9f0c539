#include "budget/hierarchical_budgets.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::budget {
namespace {

// A group's lease survives two lost answers with enough time left for its members' leases to survive two.
constexpr int kGroupLeaseIntervals = 5;
constexpr Micros kMinRequestInterval = 1'000'000, kMinVoteTerm = 12'000'000;

uint16_t DefaultGroupSize(uint16_t members) {
  return static_cast<uint16_t>(std::max(1.0, std::ceil(std::sqrt(members))));
}

}  // namespace

HierarchicalBudgets::HierarchicalBudgets(const HierarchicalSettings& settings, Micros now)
    : budgets_(settings.budgets) {
  const uint16_t group_size =
      settings.group_size != 0 ? settings.group_size : DefaultGroupSize(settings.member_count);
  const auto group_count = static_cast<uint16_t>((settings.member_count + group_size - 1) / group_size);
  const auto first_member = static_cast<uint16_t>(settings.self / group_size * group_size);
  const auto end_member =
      static_cast<uint16_t>(std::min<int>(first_member + group_size, settings.member_count));
  Settings group_settings;
  group_settings.self = settings.self, group_settings.incarnation = settings.incarnation,
  group_settings.seed = settings.seed, group_settings.budgets = settings.budgets;
  group_settings.request_interval =
      std::max(kMinRequestInterval,
               static_cast<Micros>(1e6 * std::max(group_size, group_count) / settings.lease_requests_per_s));
  group_settings.vote_term = std::max(kMinVoteTerm, 2 * group_settings.LeaseTerm());
  Settings inter_group_settings = group_settings;
  for (uint16_t n = first_member; n < end_member && group_settings.voters.size() < settings.max_voters; ++n)
    group_settings.voters.push_back(n);
  group_.emplace(group_settings, now);
  // Until the fleet's leader grants a lease, a group has nothing to divide.
  for (const BudgetSpec& spec : budgets_) group_->SetPool(spec.id, 0, 0);
  inter_group_settings.lease_intervals = kGroupLeaseIntervals;
  inter_group_settings.vote_term = std::max(kMinVoteTerm, 2 * inter_group_settings.LeaseTerm());
  inter_group_settings.members_per_holder = group_size, inter_group_settings.seed = settings.seed + 1;
  for (uint16_t g = 0; g < group_count && inter_group_settings.voters.size() < settings.max_voters; ++g)
    inter_group_settings.voters.push_back(static_cast<uint16_t>(g * group_size));
  for (BudgetSpec& spec : inter_group_settings.budgets)
    spec = {spec.id, spec.IsValid() ? spec.Pool() : 0, 0, 0};
  auto is_voter = [&](const std::vector<uint16_t>& voters) {
    return std::find(voters.begin(), voters.end(), settings.self) != voters.end();
  };
  if (is_voter(group_settings.voters) || is_voter(inter_group_settings.voters))
    inter_group_.emplace(inter_group_settings, now);
}

// Passes the group's lease down as its pool, and its members' demand up.
void HierarchicalBudgets::SyncLevels(Micros now) {
  if (!inter_group_) return;
  bool is_group_leader = group_->IsLeader(now);
  for (const BudgetSpec& spec : budgets_) {
    Budgets::Lease lease = is_group_leader ? inter_group_->HeldLease(now, spec.id) : Budgets::Lease{};
    group_->SetPool(spec.id, lease.amount, lease.until);
    inter_group_->SetSublet(spec.id, group_->Outstanding(now, spec.id));
    inter_group_->SetDemand(
        spec.id,
        is_group_leader ? static_cast<uint32_t>(std::min<uint64_t>(group_->Demand(spec.id), spec.total)) : 0);
  }
}

template <typename Call>
void HierarchicalBudgets::CallInterGroup(OutgoingMessages* out, Call call) {
  if (!inter_group_) return;
  size_t before = out->size();
  call(*inter_group_);
  for (size_t i = before; i < out->size(); ++i) (*out)[i].message.inter_group = true;
}

void HierarchicalBudgets::OnMessage(Micros now, uint16_t from, const Message& message,
                                    OutgoingMessages* out) {
  SyncLevels(now);
  if (message.inter_group) {
    CallInterGroup(out, [&](Budgets& budgets) { budgets.OnMessage(now, from, message, out); });
  } else {
    group_->OnMessage(now, from, message, out);
  }
  SyncLevels(now);
}

void HierarchicalBudgets::Tick(Micros now, OutgoingMessages* out) {
  SyncLevels(now);
  group_->Tick(now, out);
  SyncLevels(now);
  CallInterGroup(out, [&](Budgets& budgets) { budgets.Tick(now, out); });
  SyncLevels(now);
}

Micros HierarchicalBudgets::NextTickAt() const {
  return inter_group_ ? std::min(group_->NextTickAt(), inter_group_->NextTickAt()) : group_->NextTickAt();
}

void HierarchicalBudgets::Leave(Micros now, OutgoingMessages* out) {
  SyncLevels(now);
  CallInterGroup(out, [&](Budgets& budgets) { budgets.Leave(now, out); });
  group_->Leave(now, out);
}

}  // namespace lemonchute::budget
