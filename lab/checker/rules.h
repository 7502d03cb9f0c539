// The table of the rules that a whole fleet has to keep. Each rule is a pure function over a history in a
// file of its own. To add one, add its file, its declaration here and an entry in the table.
#ifndef LEMONCHUTE_LAB_CHECKER_RULES_H_
#define LEMONCHUTE_LAB_CHECKER_RULES_H_

#include <string>
#include <vector>

#include "checker/history.h"

namespace lemonchute::lab {

/// A violation of a rule on the fleet.
struct FleetViolation {
  std::string rule, description;
  Micros at = 0;
  // How long the violation lasted, if applicable; compared with the lab's own lateness.
  Micros duration = kNever;
  int gateway = -1;
};

/// Limits used by the rules. Times are those of the site or the stated limits of a component.
struct RuleLimits {
  Micros convergence = 10 * kSecond;  // from the last fault until all views agree
  double datagrams_per_s = 60;        // accepted by a gateway in any second (specifics.peer-in-per-s)
  double datagram_bytes = kMaxPeerDatagramBytes;
  Micros end = kNever;  // of the history: anything due later is not checked
};

/// The limits for a run whose history ends at `end`.
RuleLimits RuleLimitsOf(const RunSpec& spec, Micros end);

/// Checks one rule and returns its violations; the rule's name is filled in by CheckFleet().
using FleetRule = std::vector<FleetViolation> (*)(const History& history, const RuleLimits& limits);

/// The rules; each is described in its source file.
std::vector<FleetViolation> CheckBudgetSum(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckNoUseAfterExpiry(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckSingleOwner(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckViewsConverge(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckNewestVersionLoaded(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckSingleAnswer(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckDatagramLimits(const History&, const RuleLimits&);

/// An entry of the table: name in reports, description and function.
struct NamedRule {
  const char* name;
  const char* about;
  FleetRule rule;
};
const std::vector<NamedRule>& FleetRules();
/// Checks all rules over one history. Each rule reports at most `kMaxViolationsPerRule` violations.
inline constexpr size_t kMaxViolationsPerRule = 20;
std::vector<FleetViolation> CheckFleet(const History& history, const RuleLimits& limits);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_CHECKER_RULES_H_
