#include "budget/hierarchical_budgets.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::budget {
namespace {

// A group's lease survives two lost answers with enough time left for its members' leases to do the same.
constexpr int kGroupAsks = 5;
constexpr Micros kLeastAsk = 1'000'000, kLeastVote = 12'000'000;

uint16_t RootOf(uint16_t members) {
  return static_cast<uint16_t>(std::max(1.0, std::ceil(std::sqrt(members))));
}

}  // namespace

Fleet::Fleet(const FleetSettings& s, Micros now) : budgets_(s.budgets) {
  const uint16_t size = s.group_size != 0 ? s.group_size : RootOf(s.members);
  const auto groups = static_cast<uint16_t>((s.members + size - 1) / size);
  const auto first = static_cast<uint16_t>(s.self / size * size);
  const auto last = static_cast<uint16_t>(std::min<int>(first + size, s.members));
  Settings inside;
  inside.self = s.self, inside.incarnation = s.incarnation, inside.seed = s.seed, inside.budgets = s.budgets;
  inside.request_interval =
      std::max(kLeastAsk, static_cast<Micros>(1e6 * std::max(size, groups) / s.asks_per_s));
  inside.vote_term = std::max(kLeastVote, 2 * inside.LeaseTerm());
  Settings among = inside;
  for (uint16_t n = first; n < last && inside.voters.size() < s.voters; ++n) inside.voters.push_back(n);
  group_.emplace(inside, now);
  // A group's pool is what the fleet's leader grants it.
  for (const Spec& spec : budgets_) group_->SetPool(spec.id, 0, 0);
  among.lease_intervals = kGroupAsks;
  among.vote_term = std::max(kLeastVote, 2 * among.LeaseTerm());
  among.members_per_holder = size, among.seed = s.seed + 1;
  for (uint16_t g = 0; g < groups && among.voters.size() < s.voters; ++g)
    among.voters.push_back(static_cast<uint16_t>(g * size));
  for (Spec& spec : among.budgets) spec = {spec.id, spec.IsValid() ? spec.Pool() : 0, 0, 0};
  auto votes = [&](const std::vector<uint16_t>& voters) {
    return std::find(voters.begin(), voters.end(), s.self) != voters.end();
  };
  if (votes(inside.voters) || votes(among.voters)) inter_group_.emplace(among, now);
}

// The group's pool follows its lease, and its demand follows its members'.
void Fleet::Join(Micros now) {
  if (!inter_group_) return;
  bool head = group_->IsLeader(now);
  for (const Spec& spec : budgets_) {
    Budgets::Lease part = head ? inter_group_->HeldLease(now, spec.id) : Budgets::Lease{};
    group_->SetPool(spec.id, part.amount, part.until);
    inter_group_->SetSublet(spec.id, group_->Outstanding(now, spec.id));
    inter_group_->SetDemand(
        spec.id, head ? static_cast<uint32_t>(std::min<uint64_t>(group_->Demand(spec.id), spec.total)) : 0);
  }
}

template <typename Call>
void Fleet::CallInterGroup(OutgoingMessages* out, Call call) {
  if (!inter_group_) return;
  size_t before = out->size();
  call(*inter_group_);
  for (size_t i = before; i < out->size(); ++i) (*out)[i].message.between_groups = true;
}

void Fleet::OnMessage(Micros now, uint16_t from, const Message& m, OutgoingMessages* out) {
  Join(now);
  if (m.between_groups) {
    CallInterGroup(out, [&](Budgets& among) { among.OnMessage(now, from, m, out); });
  } else {
    group_->OnMessage(now, from, m, out);
  }
  Join(now);
}

void Fleet::Tick(Micros now, OutgoingMessages* out) {
  Join(now);
  group_->Tick(now, out);
  Join(now);
  CallInterGroup(out, [&](Budgets& among) { among.Tick(now, out); });
  Join(now);
}

Micros Fleet::NextAt() const {
  return inter_group_ ? std::min(group_->NextAt(), inter_group_->NextAt()) : group_->NextAt();
}

void Fleet::Leave(Micros now, OutgoingMessages* out) {
  Join(now);
  CallInterGroup(out, [&](Budgets& among) { among.Leave(now, out); });
  group_->Leave(now, out);
}

}  // namespace lemonchute::budget
