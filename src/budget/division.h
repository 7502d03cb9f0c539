/// The division of one budget at the leader: tracks what every holder may still use, and decides what the
/// next request is granted. A grant counts until it expires or its holder confirms another one.
#ifndef LEMONCHUTE_BUDGET_DIVISION_H_
#define LEMONCHUTE_BUDGET_DIVISION_H_

#include <map>
#include <optional>
#include <ostream>

#include "budget/terms.h"

namespace lemonchute::budget {

/// A holder's request for a lease of one budget.
struct LeaseRequest {
  uint16_t holder = 0;
  uint32_t incarnation = 0;
  uint32_t round = 0;       ///< Grows with each request of that incarnation.
  uint32_t demand = 0;      ///< In grains, beyond the floor.
  uint32_t held_grant = 0;  ///< Number of the grant in use; 0 for none, or for another leader's.
};
/// The answer to a lease request.
struct Grant {
  uint32_t number = 0, amount = 0;
  Micros term = 0;  ///< By the leader's clock, from now on.
};

/// The holders of one budget, their demands and their outstanding grants.
class Division {
 public:
  explicit Division(uint32_t pool) : pool_(pool) {}

  /// Records a request's demand and grants a lease.
  /// @param until when all grants have to end, by the leader's clock.
  /// @param demand_timeout after which a holder without requests has no demand.
  /// @return nothing if the request is no newer than an earlier one.
  std::optional<Grant> Answer(Micros now, const LeaseRequest& request, Micros term, Micros until,
                              Micros demand_timeout);
  /// What all holders may still use.
  uint64_t Outstanding(Micros now) const;
  /// The demand of the holders with recent requests.
  uint64_t Demand() const;
  void Describe(std::ostream& out) const;
  /// Changes the pool. Outstanding grants stay valid until they expire.
  void SetPool(uint32_t pool) { pool_ = pool; }

 private:
  struct OutstandingGrant {
    uint32_t number = 0, amount = 0;
    Micros until = 0;
  };
  struct Incarnation {
    uint32_t round = 0;
    std::vector<OutstandingGrant> grants;  // at most two: the one in use and the one in flight
    uint32_t MaxAmount(Micros now) const;
  };
  struct Entitlement {
    uint32_t share = 0;
    bool starts_turn = false;  // the share includes a grain of the remainder, as a new turn
  };
  struct Holder {
    uint32_t demand = 0;
    Micros requested_at = 0, turn_started_at = INT64_MIN / 2;  // the last turn with a grain of the remainder
    std::map<uint32_t, Incarnation> incarnations;              // those whose grants may still be in use
  };

  void Expire(Micros now, Micros demand_timeout);
  Entitlement ComputeEntitlement(Micros now, uint16_t holder_id, uint32_t held_amount, Micros term) const;

  uint32_t pool_;
  uint32_t last_grant_number_ = 0;
  std::map<uint16_t, Holder> holders_;
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_DIVISION_H_
