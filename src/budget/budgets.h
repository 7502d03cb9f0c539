/// One process's part in the fleet-wide budgets: its leases, its vote if it is a voter, and the division of
/// the budgets if it is the leader. Takes events and monotonic time, returns messages; uses no sockets,
/// clocks or threads.
///
/// Invariant, for any order of events: the floors and leases that all processes may use, including those of
/// dead and stopped processes until they expire, sum to no more than the budget's total. Assumptions: clocks
/// drift by at most kMaxClockDrift, and at most one of a member's processes uses its floor (docs/BUDGETS.md).
#ifndef LEMONCHUTE_BUDGET_BUDGETS_H_
#define LEMONCHUTE_BUDGET_BUDGETS_H_

#include <random>

#include "budget/division.h"
#include "budget/election.h"
#include "budget/message.h"

namespace lemonchute::budget {

/// A message to be sent.
struct Outgoing {
  uint16_t to = 0;
  Message message;
};
using OutgoingMessages = std::vector<Outgoing>;

/// One process of the fleet, as holder, voter and possibly leader.
class Budgets {
 public:
  Budgets(const Settings& settings, Micros now);

  void OnMessage(Micros now, uint16_t from, const Message& message, OutgoingMessages* out);
  /// Runs what is due. Has to be called at NextTickAt() or later; earlier calls do nothing.
  void Tick(Micros now, OutgoingMessages* out);
  Micros NextTickAt() const;

  /// Sets what the consumer could use of a budget, floor included. Sent with the next lease request.
  void SetDemand(uint32_t budget, uint32_t grains);
  /// @return what may be used now, floor included; 0 for an unknown budget. Has to be called at every use.
  uint32_t Usable(Micros now, uint32_t budget) const;
  // For the two levels of HierarchicalBudgets: the pool of a budget and when it ends (by this process's
  // clock), how much of a lease is sublet (the lease is kept while that exceeds what the leader offers), and
  // the lease.
  void SetPool(uint32_t budget, uint32_t pool, Micros until);
  void SetSublet(uint32_t budget, uint64_t grains);
  struct Lease {
    uint32_t amount = 0;
    Micros until = 0;
  };
  Lease HeldLease(Micros now, uint32_t budget) const;
  /// At the leader: the demand of the holders with recent requests.
  uint64_t Demand(uint32_t budget) const;
  /// Releases leases and votes at a planned shutdown. A leader with outstanding leases keeps its votes until
  /// they expire.
  void Leave(Micros now, OutgoingMessages* out);

  // The steps that Tick takes by the clock; public for tests that explore every order of them.
  void Campaign(Micros now, OutgoingMessages* out);
  void AbandonCampaign(Micros now, OutgoingMessages* out);
  void RequestLeases(Micros now, OutgoingMessages* out, std::optional<uint16_t> target = std::nullopt);

  bool IsLeader(Micros now) const { return voter_ && now < votes_.MajorityUntil(); }
  /// At the leader: what all members may still use of a budget, without the floors.
  uint64_t Outstanding(Micros now, uint32_t budget) const;
  /// Writes all state except random numbers and timers, for comparing two instances.
  void Describe(std::ostream& out) const;
  /// Event counts since the start. `rejected_entries` are about unknown budgets or exceed the pool.
  struct Counts {
    uint64_t campaigns = 0, lease_requests = 0, grants = 0, grants_received = 0, stale_messages = 0,
             rejected_entries = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Holding {
    BudgetSpec spec;
    uint32_t demand = 0;
    uint32_t amount = 0, grant_number = 0, leader_incarnation = 0;  // the grant
    Micros until = 0;
    uint64_t sublet = 0;
    uint32_t recall_limit = UINT32_MAX;  // what the leader last offered, if more is sublet
  };

  bool NeedsRequest(const Holding& holding, Micros now) const;
  void Send(Micros now, uint16_t to, Message message, OutgoingMessages* out);
  void OnVoteRequest(Micros now, uint16_t from, const Message& message, OutgoingMessages* out);
  void OnLeaseRequest(Micros now, uint16_t from, const Message& message, OutgoingMessages* out);
  void OnGrant(Micros now, const Message& message);
  void OnVoteDenied(Micros now, const Message& message, OutgoingMessages* out);
  void BackOff(Micros now, Micros wait, OutgoingMessages* out);
  uint16_t RandomVoter() { return settings_.voters[random_() % settings_.voters.size()]; }
  Micros RandomDelay(Micros max_delay);
  bool IsVoter(uint16_t member) const;

  Settings settings_;
  std::map<uint32_t, Holding> holdings_;
  std::optional<Voter> voter_;
  Votes votes_;
  std::map<uint32_t, Division> divisions_;
  std::map<uint32_t, Micros> pool_until_;  // for pools that end
  std::minstd_rand random_;  // for delays and the choice of voters; small, as tests copy many instances
  bool campaigning_ = false, has_left_ = false;
  int denials_ = 0;                      // in this campaign
  Micros campaign_at_ = 0;               // the next campaign or renewal of votes
  uint16_t request_target_ = kNoMember;  // the presumed leader, or a voter
  bool answered_ = true;                 // whether the last lease request was
  uint32_t request_round_ = 0;
  Micros requested_at_ = 0, next_request_ = 0;
  Counts counts_;
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_BUDGETS_H_
