// Owns one budget's division at the arbiter: what every holder may still use, and what the next one that asks
// may have. A part that was given counts until it runs out or its holder says that it holds another.
#ifndef LEMONCHUTE_BUDGET_DIVISION_H_
#define LEMONCHUTE_BUDGET_DIVISION_H_

#include <map>
#include <optional>
#include <ostream>

#include "budget/terms.h"

namespace lemonchute::budget {

struct Ask {
  uint16_t holder = 0;
  uint32_t life = 0;
  uint32_t round = 0;   // grows with each ask of that life
  uint32_t wanted = 0;  // grains, beyond its floor
  uint32_t held = 0;    // the grant that it uses now; nought: none, or another arbiter's
};
struct Grant {
  uint32_t number = 0, amount = 0;
  Micros term = 0;  // by the arbiter's clock, from now on
};

class Division {
 public:
  explicit Division(uint32_t pool) : pool_(pool) {}

  // None where the ask is older than one that came before. `until`: by the arbiter's clock, when all that it
  // gives has to be over.
  std::optional<Grant> Answer(Micros now, const Ask& ask, Micros term, Micros until, Micros lately);
  // What all may still use.
  uint64_t Out(Micros now) const;
  // What its holders want, of those that asked lately.
  uint64_t Wanted() const;
  void Describe(std::ostream& out) const;
  // A new whole: what is out stays until it runs out.
  void SetPool(uint32_t pool) { pool_ = pool; }

 private:
  struct Part {
    uint32_t number = 0, amount = 0;
    Micros until = 0;
  };
  struct Life {
    uint32_t round = 0;
    std::vector<Part> parts;  // two at most: the one that it holds, and the one on its way
    uint32_t Most(Micros now) const;
  };
  struct Due {
    uint32_t share = 0;
    bool turn_begins = false;  // one grain of it is a turn of what the even share leaves over
  };
  struct Holder {
    uint32_t wanted = 0;
    Micros asked_at = 0, turn_at = INT64_MIN / 2;  // when its last such turn began
    std::map<uint32_t, Life> lives;                // those whose parts may still be used
  };

  void Forget(Micros now, Micros lately);
  Due Share(Micros now, uint16_t holder, uint32_t held, Micros term) const;

  uint32_t pool_;
  uint32_t last_ = 0;
  std::map<uint16_t, Holder> holders_;
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_DIVISION_H_
