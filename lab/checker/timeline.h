// Records site events in the history, and extracts the timeline that a report draws: when gateways ran, which
// faults were active and which shares were held.
#ifndef LEMONCHUTE_LAB_CHECKER_TIMELINE_H_
#define LEMONCHUTE_LAB_CHECKER_TIMELINE_H_

#include <nlohmann/json.hpp>

#include "checker/history.h"

namespace lemonchute::lab {

/// Records a site event that affects the fleet. Process starts, ends and pauses are recorded where they
/// really happen.
void RecordSiteEvent(const RunSpec& spec, const SiteEvent& event, History* history);
/// For each gateway the intervals in which it ran or was paused, for each fault its interval, for each budget
/// the sum of its shares over time. At most 4,000 intervals and points in all.
nlohmann::json BuildTimeline(const History& history, Micros end);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_CHECKER_TIMELINE_H_
