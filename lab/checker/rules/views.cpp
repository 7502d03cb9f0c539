// Judged from the last fault on: before that, views may differ. Who never says a view has none to compare.
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckViewsConverge(const History& history, const RuleLimits& bounds) {
  using Who = std::pair<int, int64_t>;
  std::map<Who, std::string> views;  // of those that live
  std::map<Who, bool> stopped;
  Micros last_fault = 0, last = 0, differ_since = kNever;
  std::vector<FleetViolation> found;
  auto agree = [&] {
    const std::string* first = nullptr;
    for (const auto& [who, view] : views) {
      if (stopped[who]) continue;
      if (first == nullptr) first = &view;
      if (view != *first) return false;
    }
    return true;
  };
  // Names what went on differing past the bound, up to `at`.
  auto look = [&](Micros at) {
    if (differ_since == kNever) return;
    Micros due = std::max(differ_since, last_fault) + bounds.convergence;
    if (at <= due) return;
    std::string said;
    for (const auto& [who, view] : views)
      said += (said.empty() ? "" : ", ") + std::to_string(who.first) + " says " + view.substr(0, 40);
    found.push_back({"", "views differ past the bound: " + said, due, at - due, -1});
    differ_since = at;  // named once for each stretch of the bound
  };
  for (const HistoryEvent& fact : history.events()) {
    Who who{fact.gateway, fact.process};
    bool fault = false;
    switch (fact.kind) {
      case HistoryEventKind::kMembershipView:
      case HistoryEventKind::kProcessStarted:
      case HistoryEventKind::kProcessEnded:
      case HistoryEventKind::kProcessPaused:
      case HistoryEventKind::kProcessResumed:
      case HistoryEventKind::kFaultBegan:
      case HistoryEventKind::kFaultEnded: look(fact.at); break;
      default: continue;
    }
    switch (fact.kind) {
      case HistoryEventKind::kMembershipView:
        if (fact.subject == "none") {
          views.erase(who);
        } else {
          views[who] = fact.subject;
        }
        break;
      case HistoryEventKind::kProcessEnded: views.erase(who); [[fallthrough]];
      case HistoryEventKind::kProcessStarted: fault = true; break;
      case HistoryEventKind::kProcessPaused: stopped[who] = fault = true; break;
      case HistoryEventKind::kProcessResumed: stopped[who] = false, fault = true; break;
      default: fault = true; break;
    }
    if (fault) last_fault = fact.at;
    last = fact.at;
    if (agree())
      differ_since = kNever;
    else if (differ_since == kNever)
      differ_since = fact.at;
  }
  look(bounds.end == kNever ? last : bounds.end);
  return found;
}

}  // namespace lemonchute::lab
