// At most one process owns a subject at a time. An ownership ends when it is released, when its term is over,
// or with its process if the term has no end.
#include <algorithm>
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckSingleOwner(const History& history, const RuleLimits& limits) {
  struct Term {
    int gateway = 0;
    int64_t process = 0;
    Micros from = 0, to = kNever;
    bool endless = false;
  };
  std::map<std::string, std::vector<Term>> terms;
  auto end_terms = [](std::vector<Term>& all, const HistoryEvent& event, bool endless_only) {
    for (Term& term : all) {
      if (term.gateway == event.gateway && term.process == event.process && (!endless_only || term.endless))
        term.to = std::min(term.to, event.at);
    }
  };
  for (const HistoryEvent& event : history.events()) {
    if (event.kind == HistoryEventKind::kOwnershipHeld || event.kind == HistoryEventKind::kOwnershipReleased)
      end_terms(terms[event.subject], event, false);
    if (event.kind == HistoryEventKind::kOwnershipHeld) {
      terms[event.subject].push_back(
          {event.gateway, event.process, event.at, std::min(event.until, limits.end), event.until == kNever});
    }
    if (event.kind == HistoryEventKind::kProcessEnded) {
      for (auto& [subject, all] : terms) end_terms(all, event, true);
    }
  }
  std::vector<FleetViolation> violations;
  for (const auto& [subject, all] : terms) {
    for (size_t i = 1; i < all.size(); ++i) {
      const Term& b = all[i];
      for (size_t j = 0; j < i; ++j) {
        const Term& a = all[j];
        Micros from = std::max(a.from, b.from), to = std::min(a.to, b.to);
        bool same = a.gateway == b.gateway && a.process == b.process;
        if (same || to <= from) continue;
        violations.push_back({"",
                              subject + " has two owners: gateways " + std::to_string(a.gateway) + " and " +
                                  std::to_string(b.gateway),
                              from, to == kNever ? kNever : to - from, b.gateway});
      }
    }
  }
  std::stable_sort(violations.begin(), violations.end(),
                   [](const FleetViolation& a, const FleetViolation& b) { return a.at < b.at; });
  return violations;
}

}  // namespace lemonchute::lab
