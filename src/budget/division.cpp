// Max-min fair by what is wanted (Bertsekas and Gallager, "Data Networks", 6.5.2), in whole grains; what an
// even share leaves over goes round in turns.
#include "budget/division.h"

#include <algorithm>

namespace lemonchute::budget {
uint32_t Division::Life::Most(Micros now) const {
  uint32_t most = 0;
  for (const Part& part : parts) most = part.until > now ? std::max(most, part.amount) : most;
  return most;
}

uint64_t Division::Out(Micros now) const {
  uint64_t out = 0;
  for (const auto& [number, holder] : holders_) {
    for (const auto& [life, one] : holder.lives) out += one.Most(now);
  }
  return out;
}

uint64_t Division::Wanted() const {
  uint64_t wanted = 0;
  for (const auto& [number, holder] : holders_) wanted += holder.wanted;
  return wanted;
}

void Division::Forget(Micros now, Micros lately) {
  for (auto& [number, holder] : holders_) {
    bool silent = holder.asked_at + lately < now;
    if (silent) holder.wanted = 0;
    // A life's last round stays with it as long as it may still be heard, or an old ask would be taken anew.
    std::erase_if(holder.lives, [&](const auto& one) { return one.second.Most(now) == 0 && silent; });
  }
  std::erase_if(holders_, [](const auto& one) { return one.second.lives.empty() && one.second.wanted == 0; });
}

// What `number` should have in all, now.
Division::Due Division::Share(Micros now, uint16_t number, uint32_t held, Micros term) const {
  std::vector<uint32_t> wants;
  uint64_t wanted = 0;
  for (const auto& [other, holder] : holders_) {
    if (holder.wanted > 0) wants.push_back(holder.wanted);
    wanted += holder.wanted;
  }
  const Holder& mine = holders_.at(number);
  if (wanted <= pool_) return {mine.wanted, false};
  // The level up to which all are served alike.
  std::sort(wants.begin(), wants.end());
  uint64_t left = pool_, level = 0;
  size_t rest = wants.size();
  for (uint32_t want : wants) {
    level = left / rest;
    if (want > level) break;
    left -= want;
    --rest;
  }
  uint64_t over = left - level * rest;  // grains that the even share leaves, fewer than there are takers
  uint64_t share = std::min<uint64_t>(mine.wanted, level);
  bool begins = false;
  if (mine.wanted > level && over > 0) {
    // A turn lasts a term. Then it goes to one of the half that has waited longest, whoever asks first: to
    // wait for the longest waiter's ask would leave it idle meanwhile.
    size_t takers = 0, before = 0;
    for (const auto& [other, holder] : holders_) {
      if (holder.wanted <= level) continue;
      ++takers;
      before += holder.turn_at < mine.turn_at || (holder.turn_at == mine.turn_at && other < number) ? 1 : 0;
    }
    bool keeps = held > level && now < mine.turn_at + term;
    begins = !keeps && before < std::max<size_t>(over, (takers + 1) / 2);
    share += keeps || begins ? 1 : 0;
  }
  return {static_cast<uint32_t>(share), begins};
}

std::optional<Grant> Division::Answer(Micros now, const Ask& ask, Micros term, Micros until, Micros lately) {
  Forget(now, lately);
  Holder& holder = holders_[ask.holder];
  Life& life = holder.lives[ask.life];
  if (ask.round <= life.round) return std::nullopt;
  life.round = ask.round;
  holder.wanted = ask.wanted, holder.asked_at = now;
  // It uses none but the one that it names, and takes no answer to an older ask any more.
  std::erase_if(life.parts, [&](const Part& part) { return part.number != ask.held || part.until <= now; });
  uint32_t held = life.Most(now);
  Grant grant;
  grant.term = std::min(term, until - now);
  grant.number = ++last_;
  if (grant.term <= 0) return grant;  // nothing, and the want is known
  uint64_t others = Out(now) - held;
  uint64_t free = pool_ > others ? pool_ - others : 0;
  Due due = Share(now, ask.holder, held, term);
  grant.amount = static_cast<uint32_t>(std::min<uint64_t>(due.share, free));
  if (due.turn_begins && grant.amount == due.share) holder.turn_at = now;
  life.parts.push_back({grant.number, grant.amount, now + grant.term});
  return grant;
}

void Division::Describe(std::ostream& out) const {
  out << 'D' << pool_ << ' ' << last_;
  for (const auto& [number, holder] : holders_) {
    out << " h" << number << ' ' << holder.wanted << ' ' << holder.asked_at << ' ' << holder.turn_at;
    for (const auto& [id, life] : holder.lives) {
      out << " l" << id << ' ' << life.round;
      for (const Part& part : life.parts)
        out << ' ' << part.number << ':' << part.amount << '@' << part.until;
    }
  }
}

}  // namespace lemonchute::budget
