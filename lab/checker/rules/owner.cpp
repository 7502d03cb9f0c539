// An owner's time ends when it yields, when its term is over, or with its process where the term has no end.
#include <algorithm>
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckSingleOwner(const History& history, const RuleLimits& bounds) {
  struct Term {
    int gateway = 0;
    int64_t process = 0;
    Micros from = 0, to = kNever;
    bool endless = false;
  };
  std::map<std::string, std::vector<Term>> terms;
  auto close = [](std::vector<Term>& all, const HistoryEvent& fact, bool endless_only) {
    for (Term& term : all) {
      if (term.gateway == fact.gateway && term.process == fact.process && (!endless_only || term.endless))
        term.to = std::min(term.to, fact.at);
    }
  };
  for (const HistoryEvent& fact : history.events()) {
    if (fact.kind == HistoryEventKind::kOwnershipHeld || fact.kind == HistoryEventKind::kOwnershipReleased)
      close(terms[fact.subject], fact, false);
    if (fact.kind == HistoryEventKind::kOwnershipHeld) {
      terms[fact.subject].push_back(
          {fact.gateway, fact.process, fact.at, std::min(fact.until, bounds.end), fact.until == kNever});
    }
    if (fact.kind == HistoryEventKind::kProcessEnded) {
      for (auto& [subject, all] : terms) close(all, fact, true);
    }
  }
  std::vector<FleetViolation> found;
  for (const auto& [subject, all] : terms) {
    for (size_t i = 1; i < all.size(); ++i) {
      const Term& b = all[i];
      for (size_t j = 0; j < i; ++j) {
        const Term& a = all[j];
        Micros from = std::max(a.from, b.from), to = std::min(a.to, b.to);
        bool same = a.gateway == b.gateway && a.process == b.process;
        if (same || to <= from) continue;
        found.push_back({"",
                         subject + " has two owners: gateways " + std::to_string(a.gateway) + " and " +
                             std::to_string(b.gateway),
                         from, to == kNever ? kNever : to - from, b.gateway});
      }
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const FleetViolation& a, const FleetViolation& b) { return a.at < b.at; });
  return found;
}

}  // namespace lemonchute::lab
