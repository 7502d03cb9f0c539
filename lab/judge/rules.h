// Owns the table of the rules on a whole fleet. Each is a pure function over a history, in a file of its own;
// a new one is such a file, its declaration here and a line in the table.
#ifndef LEMONCHUTE_LAB_JUDGE_RULES_H_
#define LEMONCHUTE_LAB_JUDGE_RULES_H_

#include <string>
#include <vector>

#include "judge/history.h"

namespace lemonchute::lab {

struct Finding {
  std::string rule, what;
  Micros at = 0;
  Micros lasted = kNever;  // how long it was so, where that has a meaning: against the lab's own lateness
  int gateway = -1;
};

// What the rules go by. Times are the site's, or a consumer's own stated bounds.
struct Bounds {
  Micros converge = 10 * kSecond;  // from the last fault until all views agree
  double in_per_s = 60;            // datagrams that a gateway takes in any second (specifics.peer-in-per-s)
  double datagram_bytes = kMostDatagram;
  Micros end = kNever;  // of the history: what would be due later is not judged
};

Bounds BoundsOf(const Day& day, Micros end);

using FleetRule = std::vector<Finding> (*)(const History& history, const Bounds& bounds);

std::vector<Finding> SumWithinWhole(const History&, const Bounds&);
std::vector<Finding> NothingExpiredIsUsed(const History&, const Bounds&);
std::vector<Finding> OneOwner(const History&, const Bounds&);
std::vector<Finding> ViewsConverge(const History&, const Bounds&);
std::vector<Finding> OnlyTheNewestIsTrusted(const History&, const Bounds&);
std::vector<Finding> OneAnswer(const History&, const Bounds&);
std::vector<Finding> DatagramsWithinBounds(const History&, const Bounds&);

struct NamedRule {
  const char* name;
  const char* about;
  FleetRule rule;
};
const std::vector<NamedRule>& FleetRules();
// All rules over one history; each names at most `kMostFindings`.
inline constexpr size_t kMostFindings = 20;
std::vector<Finding> JudgeFleet(const History& history, const Bounds& bounds);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_JUDGE_RULES_H_
