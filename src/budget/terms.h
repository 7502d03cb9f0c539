// Owns the words and the one assumption of fleet budgets: what a promise of some time is worth on another
// process's clock.
#ifndef LEMONCHUTE_BUDGET_TERMS_H_
#define LEMONCHUTE_BUDGET_TERMS_H_

#include <cstdint>
#include <vector>

namespace lemonchute::budget {

using Micros = int64_t;  // of a process's own monotonic clock

// Monotonic clocks run at most this much too fast or too slow. Nothing else is assumed of time.
inline constexpr double kDrift = 0.01;
// Of a promise of `promised` by another's clock, what has surely not run out by ours, counted from a moment
// before the promise was made (Gray and Cheriton, "Leases", 1989).
inline Micros Surely(Micros promised) {
  return static_cast<Micros>(static_cast<double>(promised) * (1 - kDrift) / (1 + kDrift));
}

// A budget that belongs to the whole fleet, in whole grains of a size that its consumer sets, so that sums
// are exact and what is small is never cut into useless pieces.
struct Spec {
  uint32_t id = 0;
  uint32_t whole = 0;
  // Of each number's own, lent to nobody: all that one that is cut off may use. Times `slots`, the numbers
  // that there may be, it is no more than the whole.
  uint32_t floor = 0, slots = 0;
  uint32_t Pool() const {
    uint64_t floors = static_cast<uint64_t>(floor) * slots;
    return floors >= whole ? 0 : whole - static_cast<uint32_t>(floors);
  }
  bool Sound() const { return static_cast<uint64_t>(floor) * slots <= whole; }
};

struct Settings {
  uint16_t self = 0;
  uint32_t life = 0;             // drawn anew by each process: tells it from those before it
  std::vector<uint16_t> voters;  // the same at all, in any order
  std::vector<Spec> budgets;
  Micros vote_term = 12'000'000;  // of a vote, by the voter's clock; the same at all
  Micros ask_every = 1'000'000;   // a holder that wants or holds a part asks this often
  uint64_t seed = 0;
  int part_asks = 3;
  uint16_t numbers_a_holder = 1;  // so many neighbouring numbers ask for one holder, their group
  Micros RenewEvery() const { return vote_term / 4; }
  // A part outlives two lost answers, and ends before the votes that it stands on.
  Micros PartTerm() const { return part_asks * ask_every; }
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_TERMS_H_
