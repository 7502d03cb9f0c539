// By the moment of use, not by that of asking: a process that was stopped wakes with what is no longer its
// own.
#include <map>
#include <set>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckNoUseAfterExpiry(const History& history, const RuleLimits&) {
  struct Share {
    Micros until = kNever;
    bool revoked = false;
  };
  using Key = std::tuple<int, int64_t, std::string>;
  std::map<Key, Share> shares;
  std::set<std::string> shared_budgets;  // what is held by anyone at all: other uses need no part
  for (const HistoryEvent& event : history.events()) {
    if (event.kind == HistoryEventKind::kShareHeld) shared_budgets.insert(event.subject);
  }
  std::vector<FleetViolation> violations;
  for (const HistoryEvent& event : history.events()) {
    Key key{event.gateway, event.process, event.subject};
    switch (event.kind) {
      case HistoryEventKind::kShareHeld: shares[key] = {event.until, false}; break;
      case HistoryEventKind::kShareRevoked: shares[key].revoked = true; break;
      case HistoryEventKind::kShareReleased: shares.erase(key); break;
      case HistoryEventKind::kBudgetUsed: {
        if (shared_budgets.count(event.subject) == 0) break;
        auto share = shares.find(key);
        if (share == shares.end()) {
          violations.push_back(
              {"", event.subject + " was used without a part of it", event.at, kNever, event.gateway});
        } else if (share->second.revoked) {
          violations.push_back({"", event.subject + " was used after it had been taken back", event.at,
                                kNever, event.gateway});
        } else if (event.at > share->second.until) {
          Micros late = event.at - share->second.until;
          violations.push_back(
              {"", event.subject + " was used " + std::to_string(late / 1000) + " ms after it ran out",
               event.at, late, event.gateway});
        }
        break;
      }
      default: break;
    }
  }
  return violations;
}

}  // namespace lemonchute::lab
