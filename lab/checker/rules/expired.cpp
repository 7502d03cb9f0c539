// No process uses a share that has expired, was revoked or was never its own. The time of use counts, not
// that of the request for the share: a process that was paused may resume with a share that is no longer
// valid.
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
  std::set<std::string> shared_budgets;  // budgets of which anyone holds a share; using any other needs none
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
          violations.push_back({"", event.subject + " was used without holding a share of it", event.at,
                                kNever, event.gateway});
        } else if (share->second.revoked) {
          violations.push_back(
              {"", event.subject + " was used after the share was revoked", event.at, kNever, event.gateway});
        } else if (event.at > share->second.until) {
          Micros late = event.at - share->second.until;
          violations.push_back(
              {"", event.subject + " was used " + std::to_string(late / 1000) + " ms after the share expired",
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
