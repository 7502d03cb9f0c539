/// Common types of the fleet-wide budgets, and their assumption about clocks.
#ifndef LEMONCHUTE_BUDGET_TERMS_H_
#define LEMONCHUTE_BUDGET_TERMS_H_

#include <cstdint>
#include <vector>

namespace lemonchute::budget {

using Micros = int64_t;  // microseconds of a process's own monotonic clock

// The bound on how much too fast or too slow a monotonic clock may run.
inline constexpr double kMaxClockDrift = 0.01;
/// The part of a lease that is valid for certain by the holder's clock (Gray and Cheriton, "Leases", 1989).
/// @param granted_term the lease's term by the grantor's clock.
/// @return the term by the holder's clock, counted from a moment before the lease was granted.
inline Micros GuaranteedTerm(Micros granted_term) {
  return static_cast<Micros>(static_cast<double>(granted_term) * (1 - kMaxClockDrift) / (1 + kMaxClockDrift));
}

/// A budget of the whole fleet, in grains: integers whose size the consumer chooses, so that sums are exact.
struct BudgetSpec {
  uint32_t id = 0;
  uint32_t total = 0;
  /// What each member may always use, even when it is partitioned from the rest. Times `max_members` it must
  /// not exceed the total.
  uint32_t floor = 0, max_members = 0;
  /// What is left for leases once all floors are subtracted.
  uint32_t Pool() const {
    uint64_t floors = static_cast<uint64_t>(floor) * max_members;
    return floors >= total ? 0 : total - static_cast<uint32_t>(floors);
  }
  bool IsValid() const { return static_cast<uint64_t>(floor) * max_members <= total; }
};

/// The parameters of one process.
struct Settings {
  uint16_t self = 0;
  uint32_t incarnation = 0;      ///< Random at each start; distinguishes a process from its predecessors.
  std::vector<uint16_t> voters;  ///< The same at all members, in any order.
  std::vector<BudgetSpec> budgets;
  Micros vote_term = 12'000'000;        ///< Of a vote, by the voter's clock; the same at all members.
  Micros request_interval = 1'000'000;  ///< Between the lease requests of a holder.
  uint64_t seed = 0;
  int lease_intervals = 3;          ///< The term of a lease, in request intervals.
  uint16_t members_per_holder = 1;  ///< Neighbouring members that count as one holder, their group.
  Micros VoteRenewalInterval() const { return vote_term / 4; }
  /// A lease survives two lost answers by default, and ends before the votes that it is granted under.
  Micros LeaseTerm() const { return lease_intervals * request_interval; }
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_TERMS_H_
