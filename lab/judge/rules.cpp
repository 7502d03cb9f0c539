// The table.
#include "judge/rules.h"

namespace lemonchute::lab {

Bounds BoundsOf(const Day& day, Micros end) {
  Bounds bounds;
  bounds.converge = FromS(day.converge_s), bounds.in_per_s = day.peer_in_per_s, bounds.end = end;
  return bounds;
}

const std::vector<NamedRule>& FleetRules() {
  static const std::vector<NamedRule> rules = {
      {"sum", "what all processes may use is never more than the whole, at any instant, over any window",
       SumWithinWhole},
      {"expired", "nobody uses what has expired, was taken back or never was its own", NothingExpiredIsUsed},
      {"owner", "at most one process acts for a thing at a time", OneOwner},
      {"views", "within a bound after the last fault all that live believe the same", ViewsConverge},
      {"memory", "a process that starts goes on from the newest that was kept, or from nothing",
       OnlyTheNewestIsTrusted},
      {"answers", "each request gets one final answer, in its time", OneAnswer},
      {"datagrams", "no datagram is too long, and nobody is sent more than it takes", DatagramsWithinBounds},
  };
  return rules;
}

std::vector<Finding> JudgeFleet(const History& history, const Bounds& bounds) {
  std::vector<Finding> all;
  for (const NamedRule& rule : FleetRules()) {
    std::vector<Finding> found = rule.rule(history, bounds);
    if (found.size() > kMostFindings) found.resize(kMostFindings);
    for (Finding& finding : found) {
      finding.rule = rule.name;
      all.push_back(std::move(finding));
    }
  }
  return all;
}

}  // namespace lemonchute::lab
