// Owns the picture of a fleet's day: a lane for each member, each fault, each divided budget and the served
// worth, all over the same seconds.
#ifndef LEMONCHUTE_LAB_REPORT_TIMELINE_CHART_H_
#define LEMONCHUTE_LAB_REPORT_TIMELINE_CHART_H_

#include <nlohmann/json.hpp>
#include <string>

namespace lemonchute::lab {

// Text with what HTML gives a meaning written out.
std::string EscapeHtml(const std::string& text);
// Of a report's `timeline` and `series`; empty where there is no timeline. At most 120 lanes are drawn.
std::string FleetTimelineChart(const nlohmann::json& report);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_REPORT_TIMELINE_CHART_H_
