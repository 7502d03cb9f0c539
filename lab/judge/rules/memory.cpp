// A gateway may begin from nothing (amount 0), never from what a newer version of its own had replaced, nor
// from what it never kept.
#include <map>

#include "judge/rules.h"

namespace lemonchute::lab {

std::vector<Finding> OnlyTheNewestIsTrusted(const History& history, const Bounds&) {
  std::map<std::pair<int, std::string>, double> newest;
  std::vector<Finding> found;
  for (const Fact& fact : history.facts()) {
    double& kept = newest[{fact.gateway, fact.subject}];
    if (fact.what == What::kKept) kept = std::max(kept, fact.amount);
    if (fact.what != What::kTrusts || fact.amount == 0 || fact.amount == kept) continue;
    auto version = [](double amount) { return std::to_string(static_cast<int64_t>(amount)); };
    found.push_back({"",
                     fact.subject + ": goes on from version " + version(fact.amount) +
                         ", the newest kept is " + version(kept),
                     fact.at, kNever, fact.gateway});
  }
  return found;
}

}  // namespace lemonchute::lab
