// Owns one process's part in the budgets of the whole fleet: what it may use, its vote if it is a voter, and
// the division if it is the arbiter. Events and monotonic time come in, messages go out; nothing here knows
// sockets, clocks or threads.
//
// What must never be, for any order of events: the parts that all processes may use, of the dead and the
// stopped too until they run out, sum to more than the whole. What is assumed: clocks drift by kDrift at
// most, and of the processes of one number at most one uses its floor (docs/BUDGETS.md says how the adapter
// sees to that).
#ifndef LEMONCHUTE_BUDGET_BUDGETS_H_
#define LEMONCHUTE_BUDGET_BUDGETS_H_

#include <random>

#include "budget/division.h"
#include "budget/election.h"
#include "budget/message.h"

namespace lemonchute::budget {

struct Outgoing {
  uint16_t to = 0;
  Message message;
};
using Out = std::vector<Outgoing>;

class Budgets {
 public:
  Budgets(const Settings& settings, Micros now);

  void Heard(Micros now, uint16_t from, const Message& message, Out* out);
  // Has to be called at NextAt() or later; earlier calls do nothing.
  void Tick(Micros now, Out* out);
  Micros NextAt() const;

  // What the consumer would use of a budget, floor included. Told now and then; asked for with the next ask.
  void Want(uint32_t budget, uint32_t grains);
  // What may be used at this moment, floor included: to be asked at every use. Nought for an unknown budget.
  uint32_t Usable(Micros now, uint32_t budget) const;
  // Between two levels. What the pool of a budget is, and until when (own clock); what is lent on from a
  // part, which is kept as long as that is more than the arbiter would leave; the part itself.
  void SetPool(uint32_t budget, uint32_t pool, Micros until);
  void SetLentOn(uint32_t budget, uint64_t grains);
  struct Lease {
    uint32_t amount = 0;
    Micros until = 0;
  };
  Lease Held(Micros now, uint32_t budget) const;
  uint64_t Wanted(uint32_t budget) const;
  // Gives up all parts and the votes, at a planned end.
  void Leave(Micros now, Out* out);

  // What Tick does by the clock, by hand: for a search that explores every order.
  void Campaign(Micros now, Out* out);
  void GiveUp(Micros now, Out* out);
  void AskForParts(Micros now, Out* out, std::optional<uint16_t> at = std::nullopt);

  bool Arbiter(Micros now) const { return voter_ && now < votes_.Until(); }
  // At the arbiter: what all may still use of a budget, floors apart.
  uint64_t GivenOut(Micros now, uint32_t budget) const;
  // All that decides what comes next, but for chance and the timers of Tick: for comparing two.
  void Describe(std::ostream& out) const;
  struct Counts {
    uint64_t campaigns = 0, asks = 0, grants = 0, answers = 0, stale = 0, unknown = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Holding {
    Spec spec;
    uint32_t wanted = 0;
    uint32_t amount = 0, number = 0, arbiter = 0;  // the grant, and the life of who gave it
    Micros until = 0;
    uint64_t lent_on = 0;
    uint32_t pressed = UINT32_MAX;  // the arbiter would leave no more than this
  };

  bool Needs(const Holding& holding, Micros now) const;
  void Send(Micros now, uint16_t to, Message message, Out* out);
  void OnAskVote(Micros now, uint16_t from, const Message& m, Out* out);
  void OnAsk(Micros now, uint16_t from, const Message& m, Out* out);
  void OnGrant(Micros now, const Message& m);
  void OnNo(Micros now, const Message& m, Out* out);
  void StandBack(Micros now, Micros wait, Out* out);
  uint16_t SomeVoter() { return settings_.voters[random_() % settings_.voters.size()]; }
  Micros Some(Micros most);
  bool IsVoter(uint16_t number) const;

  Settings settings_;
  std::map<uint32_t, Holding> holdings_;
  std::optional<Voter> voter_;
  Votes votes_;
  std::map<uint32_t, Division> divisions_;
  std::map<uint32_t, Micros> pool_until_;  // of pools that end
  std::minstd_rand random_;  // for moments and for whom to ask; small, as a search copies many of these
  bool campaigning_ = false, left_ = false;
  int refused_ = 0;            // in this campaign
  Micros campaign_at_ = 0;     // the next, or the next renewal
  uint16_t ask_at_ = kNobody;  // whom to ask for parts
  bool answered_ = true;       // the last ask was
  uint32_t ask_round_ = 0;
  Micros asked_at_ = 0, next_ask_ = 0;
  Counts counts_;
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_BUDGETS_H_
