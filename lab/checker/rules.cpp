// The table of rules.
#include "checker/rules.h"

namespace lemonchute::lab {

RuleLimits RuleLimitsOf(const RunSpec& spec, Micros end) {
  RuleLimits limits;
  limits.convergence = FromSeconds(spec.converge_s), limits.datagrams_per_s = spec.peer_in_per_s,
  limits.end = end;
  return limits;
}

const std::vector<NamedRule>& FleetRules() {
  static const std::vector<NamedRule> rules = {
      {"sum", "what all processes may use is never more than the whole, at any instant, over any window",
       CheckBudgetSum},
      {"expired", "nobody uses what has expired, was taken back or never was its own", CheckNoUseAfterExpiry},
      {"owner", "at most one process acts for a thing at a time", CheckSingleOwner},
      {"views", "within a bound after the last fault all that live believe the same", CheckViewsConverge},
      {"memory", "a process that starts goes on from the newest that was kept, or from nothing",
       CheckNewestVersionLoaded},
      {"answers", "each request gets one final answer, in its time", CheckSingleAnswer},
      {"datagrams", "no datagram is too long, and nobody is sent more than it takes", CheckDatagramLimits},
  };
  return rules;
}

std::vector<FleetViolation> CheckFleet(const History& history, const RuleLimits& limits) {
  std::vector<FleetViolation> all;
  for (const NamedRule& rule : FleetRules()) {
    std::vector<FleetViolation> violations = rule.rule(history, limits);
    if (violations.size() > kMaxViolationsPerRule) violations.resize(kMaxViolationsPerRule);
    for (FleetViolation& violation : violations) {
      violation.rule = rule.name;
      all.push_back(std::move(violation));
    }
  }
  return all;
}

}  // namespace lemonchute::lab
