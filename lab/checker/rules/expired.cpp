// By the moment of use, not by that of asking: a process that was stopped wakes with what is no longer its
// own.
#include <map>
#include <set>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckNoUseAfterExpiry(const History& history, const RuleLimits&) {
  struct Hold {
    Micros until = kNever;
    bool revoked = false;
  };
  using Key = std::tuple<int, int64_t, std::string>;
  std::map<Key, Hold> holds;
  std::set<std::string> divided;  // what is held by anyone at all: other uses need no part
  for (const HistoryEvent& fact : history.events()) {
    if (fact.kind == HistoryEventKind::kShareHeld) divided.insert(fact.subject);
  }
  std::vector<FleetViolation> found;
  for (const HistoryEvent& fact : history.events()) {
    Key key{fact.gateway, fact.process, fact.subject};
    switch (fact.kind) {
      case HistoryEventKind::kShareHeld: holds[key] = {fact.until, false}; break;
      case HistoryEventKind::kShareRevoked: holds[key].revoked = true; break;
      case HistoryEventKind::kShareReleased: holds.erase(key); break;
      case HistoryEventKind::kBudgetUsed: {
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
