// A gateway may begin from nothing (amount 0), never from what a newer version of its own had replaced, nor
// from what it never kept.
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckNewestVersionLoaded(const History& history, const RuleLimits&) {
  std::map<std::pair<int, std::string>, double> newest;
  std::vector<FleetViolation> found;
  for (const HistoryEvent& fact : history.events()) {
    double& kept = newest[{fact.gateway, fact.subject}];
    if (fact.kind == HistoryEventKind::kVersionStored) kept = std::max(kept, fact.amount);
    if (fact.kind != HistoryEventKind::kVersionLoaded || fact.amount == 0 || fact.amount == kept) continue;
    auto version = [](double amount) { return std::to_string(static_cast<int64_t>(amount)); };
    found.push_back({"",
                     fact.subject + ": goes on from version " + version(fact.amount) +
                         ", the newest kept is " + version(kept),
                     fact.at, kNever, fact.gateway});
  }
  return found;
}

}  // namespace lemonchute::lab
