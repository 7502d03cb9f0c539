// Owns how incidents become facts, and the part of a history that a report draws: who lived when, what was
// wrong, and what was held.
#ifndef LEMONCHUTE_LAB_CHECKER_TIMELINE_H_
#define LEMONCHUTE_LAB_CHECKER_TIMELINE_H_

#include <nlohmann/json.hpp>

#include "checker/history.h"

namespace lemonchute::lab {

// Of an incident that the fleet has to bear; starts, ends and stops are told where they really happen.
void RecordSiteEvent(const RunSpec& spec, const SiteEvent& event, History* history);
// For each gateway the stretches in which it ran or was stopped, for each fault its stretch, for each budget
// the sum of its parts over time. Bounded: at most 4,000 stretches and points in all.
nlohmann::json BuildTimeline(const History& history, Micros end);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_CHECKER_TIMELINE_H_
