// A gateway may begin from nothing (amount 0), never from what a newer version of its own had replaced, nor
// from what it never kept.
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckNewestVersionLoaded(const History& history, const RuleLimits&) {
  std::map<std::pair<int, std::string>, double> newest;
  std::vector<FleetViolation> violations;
  for (const HistoryEvent& event : history.events()) {
    double& kept = newest[{event.gateway, event.subject}];
    if (event.kind == HistoryEventKind::kVersionStored) kept = std::max(kept, event.amount);
    if (event.kind != HistoryEventKind::kVersionLoaded || event.amount == 0 || event.amount == kept) continue;
    auto version = [](double amount) { return std::to_string(static_cast<int64_t>(amount)); };
    violations.push_back({"",
                          event.subject + ": goes on from version " + version(event.amount) +
                              ", the newest kept is " + version(kept),
                          event.at, kNever, event.gateway});
  }
  return violations;
}

}  // namespace lemonchute::lab
