#include "budget/fleet.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::budget {
namespace {

// A group's part outlives two lost answers with as much left as its members' parts need for theirs.
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
  inside.self = s.self, inside.life = s.life, inside.seed = s.seed, inside.budgets = s.budgets;
  inside.ask_every = std::max(kLeastAsk, static_cast<Micros>(1e6 * std::max(size, groups) / s.asks_per_s));
  inside.vote_term = std::max(kLeastVote, 2 * inside.PartTerm());
  Settings among = inside;
  for (uint16_t n = first; n < last && inside.voters.size() < s.voters; ++n) inside.voters.push_back(n);
  group_.emplace(inside, now);
  // A group's pool is what the fleet's arbiter leaves it.
  for (const Spec& spec : budgets_) group_->SetPool(spec.id, 0, 0);
  among.part_asks = kGroupAsks;
  among.vote_term = std::max(kLeastVote, 2 * among.PartTerm());
  among.numbers_a_holder = size, among.seed = s.seed + 1;
  for (uint16_t g = 0; g < groups && among.voters.size() < s.voters; ++g)
    among.voters.push_back(static_cast<uint16_t>(g * size));
  for (Spec& spec : among.budgets) spec = {spec.id, spec.Sound() ? spec.Pool() : 0, 0, 0};
  auto votes = [&](const std::vector<uint16_t>& voters) {
    return std::find(voters.begin(), voters.end(), s.self) != voters.end();
  };
  if (votes(inside.voters) || votes(among.voters)) among_.emplace(among, now);
}

// What the group may divide follows the part that it holds, and what it asks for follows its members.
void Fleet::Join(Micros now) {
  if (!among_) return;
  bool head = group_->Arbiter(now);
  for (const Spec& spec : budgets_) {
    Budgets::Lease part = head ? among_->Held(now, spec.id) : Budgets::Lease{};
    group_->SetPool(spec.id, part.amount, part.until);
    among_->SetLentOn(spec.id, group_->GivenOut(now, spec.id));
    among_->Want(spec.id,
                 head ? static_cast<uint32_t>(std::min<uint64_t>(group_->Wanted(spec.id), spec.whole)) : 0);
  }
}

template <typename Call>
void Fleet::Among(Out* out, Call call) {
  if (!among_) return;
  size_t before = out->size();
  call(*among_);
  for (size_t i = before; i < out->size(); ++i) (*out)[i].message.among_groups = true;
}

void Fleet::Heard(Micros now, uint16_t from, const Message& m, Out* out) {
  Join(now);
  if (m.among_groups) {
    Among(out, [&](Budgets& among) { among.Heard(now, from, m, out); });
  } else {
    group_->Heard(now, from, m, out);
  }
  Join(now);
}

void Fleet::Tick(Micros now, Out* out) {
  Join(now);
  group_->Tick(now, out);
  Join(now);
  Among(out, [&](Budgets& among) { among.Tick(now, out); });
  Join(now);
}

Micros Fleet::NextAt() const {
  return among_ ? std::min(group_->NextAt(), among_->NextAt()) : group_->NextAt();
}

void Fleet::Leave(Micros now, Out* out) {
  Join(now);
  Among(out, [&](Budgets& among) { among.Leave(now, out); });
  group_->Leave(now, out);
}

}  // namespace lemonchute::budget
