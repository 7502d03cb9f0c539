// By the moment of use, not by that of asking: a process that was stopped wakes with what is no longer its
// own.
#include <map>
#include <set>

#include "judge/rules.h"

namespace lemonchute::lab {

std::vector<Finding> NothingExpiredIsUsed(const History& history, const Bounds&) {
  struct Hold {
    Micros until = kNever;
    bool revoked = false;
  };
  using Key = std::tuple<int, int64_t, std::string>;
  std::map<Key, Hold> holds;
  std::set<std::string> divided;  // what is held by anyone at all: other uses need no part
  for (const Fact& fact : history.facts()) {
    if (fact.what == What::kHolds) divided.insert(fact.subject);
  }
  std::vector<Finding> found;
  for (const Fact& fact : history.facts()) {
    Key key{fact.gateway, fact.process, fact.subject};
    switch (fact.what) {
      case What::kHolds: holds[key] = {fact.until, false}; break;
      case What::kRevoked: holds[key].revoked = true; break;
      case What::kDrops: holds.erase(key); break;
      case What::kUses: {
        if (divided.count(fact.subject) == 0) break;
        auto hold = holds.find(key);
        if (hold == holds.end()) {
          found.push_back(
              {"", fact.subject + " was used without a part of it", fact.at, kNever, fact.gateway});
        } else if (hold->second.revoked) {
          found.push_back(
              {"", fact.subject + " was used after it had been taken back", fact.at, kNever, fact.gateway});
        } else if (fact.at > hold->second.until) {
          Micros late = fact.at - hold->second.until;
          found.push_back({"",
                           fact.subject + " was used " + std::to_string(late / 1000) + " ms after it ran out",
                           fact.at, late, fact.gateway});
        }
        break;
      }
      default: break;
    }
  }
  return found;
}

}  // namespace lemonchute::lab
