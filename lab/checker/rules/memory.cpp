// A gateway may start from nothing (amount 0), but not from a version that a newer one of its own had
// replaced or that it never stored.
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
                          event.subject + ": continues from version " + version(event.amount) +
                              ", but the newest stored is " + version(kept),
                          event.at, kNever, event.gateway});
  }
  return violations;
}

}  // namespace lemonchute::lab
