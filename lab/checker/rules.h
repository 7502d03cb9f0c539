// Owns the table of the rules on a whole fleet. Each is a pure function over a history, in a file of its own;
// a new one is such a file, its declaration here and a line in the table.
#ifndef LEMONCHUTE_LAB_CHECKER_RULES_H_
#define LEMONCHUTE_LAB_CHECKER_RULES_H_

#include <string>
#include <vector>

#include "checker/history.h"

namespace lemonchute::lab {

struct FleetViolation {
  std::string rule, description;
  Micros at = 0;
  Micros duration = kNever;  // how long it was so, where that has a meaning: against the lab's own lateness
  int gateway = -1;
};

// What the rules go by. Times are the site's, or a consumer's own stated bounds.
struct RuleLimits {
  Micros convergence = 10 * kSecond;  // from the last fault until all views agree
  double datagrams_per_s = 60;  // datagrams that a gateway takes in any second (specifics.peer-in-per-s)
  double datagram_bytes = kMaxPeerDatagramBytes;
  Micros end = kNever;  // of the history: what would be due later is not judged
};

RuleLimits RuleLimitsOf(const RunSpec& spec, Micros end);

using FleetRule = std::vector<FleetViolation> (*)(const History& history, const RuleLimits& limits);

std::vector<FleetViolation> CheckBudgetSum(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckNoUseAfterExpiry(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckSingleOwner(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckViewsConverge(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckNewestVersionLoaded(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckSingleAnswer(const History&, const RuleLimits&);
std::vector<FleetViolation> CheckDatagramLimits(const History&, const RuleLimits&);

struct NamedRule {
  const char* name;
  const char* about;
  FleetRule rule;
};
const std::vector<NamedRule>& FleetRules();
// All rules over one history; each names at most `kMostFindings`.
inline constexpr size_t kMaxViolationsPerRule = 20;
std::vector<FleetViolation> CheckFleet(const History& history, const RuleLimits& limits);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_CHECKER_RULES_H_
