// Max-min fair division by demand (Bertsekas and Gallager, "Data Networks", 6.5.2), in whole grains. The
// remainder of the even division is granted in turns.
#include "budget/division.h"

#include <algorithm>

namespace lemonchute::budget {
uint32_t Division::Incarnation::MaxAmount(Micros now) const {
  uint32_t max_amount = 0;
  for (const OutstandingGrant& grant : grants)
    max_amount = grant.until > now ? std::max(max_amount, grant.amount) : max_amount;
  return max_amount;
}

uint64_t Division::Outstanding(Micros now) const {
  uint64_t total = 0;
  for (const auto& [holder_id, holder] : holders_) {
    for (const auto& [id, incarnation] : holder.incarnations) total += incarnation.MaxAmount(now);
  }
  return total;
}

uint64_t Division::Demand() const {
  uint64_t total_demand = 0;
  for (const auto& [holder_id, holder] : holders_) total_demand += holder.demand;
  return total_demand;
}

void Division::Expire(Micros now, Micros demand_timeout) {
  for (auto& [holder_id, holder] : holders_) {
    bool expired = holder.requested_at + demand_timeout < now;
    if (expired) holder.demand = 0;
    // The last round is kept while an older request may still arrive; it would pass for a new one otherwise.
    std::erase_if(holder.incarnations,
                  [&](const auto& one) { return one.second.MaxAmount(now) == 0 && expired; });
  }
  std::erase_if(holders_,
                [](const auto& one) { return one.second.incarnations.empty() && one.second.demand == 0; });
}

// What the holder should hold in total at this moment.
Division::Entitlement Division::ComputeEntitlement(Micros now, uint16_t holder_id, uint32_t held_amount,
                                                   Micros term) const {
  std::vector<uint32_t> demands;
  uint64_t total_demand = 0;
  for (const auto& [other, holder] : holders_) {
    if (holder.demand > 0) demands.push_back(holder.demand);
    total_demand += holder.demand;
  }
  const Holder& requester = holders_.at(holder_id);
  if (total_demand <= pool_) return {requester.demand, false};
  // Water filling: demands up to the level are met in full, larger ones get the level.
  std::sort(demands.begin(), demands.end());
  uint64_t remaining = pool_, level = 0;
  size_t unmet_count = demands.size();
  for (uint32_t next_demand : demands) {
    level = remaining / unmet_count;
    if (next_demand > level) break;
    remaining -= next_demand;
    --unmet_count;
  }
  uint64_t remainder = remaining - level * unmet_count;  // in grains; fewer than unmet holders
  uint64_t share = std::min<uint64_t>(requester.demand, level);
  bool starts_turn = false;
  if (requester.demand > level && remainder > 0) {
    // A turn lasts one term, then goes to the first request from the half of the holders that waited longest.
    // Reserving it for the one that waited longest would leave the grain unused until its request comes.
    size_t contenders = 0, waiting_longer = 0;
    for (const auto& [other, holder] : holders_) {
      if (holder.demand <= level) continue;
      ++contenders;
      waiting_longer += holder.turn_started_at < requester.turn_started_at ||
                                (holder.turn_started_at == requester.turn_started_at && other < holder_id)
                            ? 1
                            : 0;
    }
    bool keeps_turn = held_amount > level && now < requester.turn_started_at + term;
    starts_turn = !keeps_turn && waiting_longer < std::max<size_t>(remainder, (contenders + 1) / 2);
    share += keeps_turn || starts_turn ? 1 : 0;
  }
  return {static_cast<uint32_t>(share), starts_turn};
}

std::optional<Grant> Division::Answer(Micros now, const LeaseRequest& request, Micros term, Micros until,
                                      Micros demand_timeout) {
  Expire(now, demand_timeout);
  Holder& holder = holders_[request.holder];
  Incarnation& incarnation = holder.incarnations[request.incarnation];
  if (request.round <= incarnation.round) return std::nullopt;
  incarnation.round = request.round;
  holder.demand = request.demand, holder.requested_at = now;
  // The holder uses only the grant that it names and ignores answers to its older requests.
  std::erase_if(incarnation.grants, [&](const OutstandingGrant& grant) {
    return grant.number != request.held_grant || grant.until <= now;
  });
  uint32_t held_amount = incarnation.MaxAmount(now);
  Grant grant;
  grant.term = std::min(term, until - now);
  grant.number = ++last_grant_number_;
  if (grant.term <= 0) return grant;  // nothing granted, but the demand is recorded
  uint64_t others = Outstanding(now) - held_amount;
  uint64_t available = pool_ > others ? pool_ - others : 0;
  Entitlement entitlement = ComputeEntitlement(now, request.holder, held_amount, term);
  grant.amount = static_cast<uint32_t>(std::min<uint64_t>(entitlement.share, available));
  if (entitlement.starts_turn && grant.amount == entitlement.share) holder.turn_started_at = now;
  incarnation.grants.push_back({grant.number, grant.amount, now + grant.term});
  return grant;
}

void Division::Describe(std::ostream& out) const {
  out << 'D' << pool_ << ' ' << last_grant_number_;
  for (const auto& [holder_id, holder] : holders_) {
    out << " h" << holder_id << ' ' << holder.demand << ' ' << holder.requested_at << ' '
        << holder.turn_started_at;
    for (const auto& [id, incarnation] : holder.incarnations) {
      out << " l" << id << ' ' << incarnation.round;
      for (const OutstandingGrant& grant : incarnation.grants)
        out << ' ' << grant.number << ':' << grant.amount << '@' << grant.until;
    }
  }
}

}  // namespace lemonchute::budget
