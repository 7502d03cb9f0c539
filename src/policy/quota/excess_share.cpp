#include "policy/quota/excess_share.h"

#include <algorithm>

namespace lemonchute::policy {
void ExcessAllocator::RecordDemand(ExcessShare* share, double units, double tokens, double burst_units,
                                   double now) {
  int64_t tick = Advance(now);
  if (share->demand_tick != tick) {
    if (share->demand_tick >= 0 && tick - share->demand_tick < kTicks) {
      const Tick& last = ticks_[share->demand_tick % kTicks];
      double tokens_left = std::max(0.0, tokens);
      double free_units = std::max(0.0, burst_units - tokens);
      if (!last.overloaded && last.demand_units > 0 && last.served_units > tokens_left) {
        double grant = share->demand_units / last.demand_units * (last.served_units - tokens_left);
        share->granted_units = std::min(free_units, share->granted_units + grant);
      }
    }
    share->demand_tick = tick;
    share->demand_units = 0;
  }
  share->demand_units += units;
  ticks_[tick % kTicks].demand_units += units;
}

bool ExcessAllocator::IsOverloaded(double now) {
  int64_t tick = Advance(now);
  return ticks_[tick % kTicks].overloaded || ticks_[(tick + kTicks - 1) % kTicks].overloaded;
}

}  // namespace lemonchute::policy
