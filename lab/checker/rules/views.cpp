// All views agree within a limit after the last fault; before that they may differ. Processes that never log
// a view are not compared.
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckViewsConverge(const History& history, const RuleLimits& limits) {
  using Process = std::pair<int, int64_t>;
  std::map<Process, std::string> views;  // of live processes
  std::map<Process, bool> stopped;
  Micros last_fault = 0, last = 0, differ_since = kNever;
  std::vector<FleetViolation> violations;
  auto views_agree = [&] {
    const std::string* first = nullptr;
    for (const auto& [process, view] : views) {
      if (stopped[process]) continue;
      if (first == nullptr) first = &view;
      if (view != *first) return false;
    }
    return true;
  };
  // Reports views that still differ at `at`, after the limit.
  auto check_bound = [&](Micros at) {
    if (differ_since == kNever) return;
    Micros deadline = std::max(differ_since, last_fault) + limits.convergence;
    if (at <= deadline) return;
    std::string view_list;
    for (const auto& [process, view] : views)
      view_list +=
          (view_list.empty() ? "" : ", ") + std::to_string(process.first) + " says " + view.substr(0, 40);
    violations.push_back(
        {"", "views still differ after the limit: " + view_list, deadline, at - deadline, -1});
    differ_since = at;  // report once per limit
  };
  for (const HistoryEvent& event : history.events()) {
    Process process{event.gateway, event.process};
    bool disturbance = false;
    switch (event.kind) {
      case HistoryEventKind::kMembershipView:
      case HistoryEventKind::kProcessStarted:
      case HistoryEventKind::kProcessEnded:
      case HistoryEventKind::kProcessPaused:
      case HistoryEventKind::kProcessResumed:
      case HistoryEventKind::kFaultBegan:
      case HistoryEventKind::kFaultEnded: check_bound(event.at); break;
      default: continue;
    }
    switch (event.kind) {
      case HistoryEventKind::kMembershipView:
        if (event.subject == "none") {
          views.erase(process);
        } else {
          views[process] = event.subject;
        }
        break;
      case HistoryEventKind::kProcessEnded: views.erase(process); [[fallthrough]];
      case HistoryEventKind::kProcessStarted: disturbance = true; break;
      case HistoryEventKind::kProcessPaused: stopped[process] = disturbance = true; break;
      case HistoryEventKind::kProcessResumed: stopped[process] = false, disturbance = true; break;
      default: disturbance = true; break;
    }
    if (disturbance) last_fault = event.at;
    last = event.at;
    if (views_agree())
      differ_since = kNever;
    else if (differ_since == kNever)
      differ_since = event.at;
  }
  check_bound(limits.end == kNever ? last : limits.end);
  return violations;
}

}  // namespace lemonchute::lab
