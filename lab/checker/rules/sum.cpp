// A part that was given counts until it expires, whatever became of its process: one that was killed may be
// reborn with it, one that is stopped may go on. Only a part without an end dies with its process.
#include <algorithm>
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {
namespace {

constexpr double kRounding = 1e-9;  // of the whole: sums of parts in floating point

struct Part {
  double amount = 0;
  Micros until = kNever;
};

struct Budget {
  double whole = -1, rate = 0, level = 0;
  Micros level_at = 0, over_since = kNever;
  double worst = 0;
  std::map<std::pair<int, int64_t>, Part> parts;

  double Sum(Micros at) const {
    double sum = 0;
    for (const auto& [who, part] : parts) sum += part.until > at ? part.amount : 0;
    return sum;
  }
};

std::string Text(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return text;
}

class Sums {
 public:
  void Take(const HistoryEvent& fact) {
    bool speaks =
        fact.kind == HistoryEventKind::kBudgetDefined || fact.kind == HistoryEventKind::kShareHeld ||
        fact.kind == HistoryEventKind::kShareReleased || fact.kind == HistoryEventKind::kShareRevoked ||
        fact.kind == HistoryEventKind::kBudgetUsed || fact.kind == HistoryEventKind::kProcessEnded;
    if (!speaks) return;
    // Parts that ran out before now may have ended an excess.
    for (auto& [name, budget] : budgets_) Look(name, &budget, fact.at);
    std::pair<int, int64_t> who{fact.gateway, fact.process};
    switch (fact.kind) {
      case HistoryEventKind::kBudgetDefined: {
        Budget& budget = budgets_[fact.subject];
        if (budget.whole < 0) budget.level = fact.amount, budget.level_at = fact.at;
        budget.whole = fact.amount, budget.rate = fact.rate;
        break;
      }
      case HistoryEventKind::kShareHeld: budgets_[fact.subject].parts[who] = {fact.amount, fact.until}; break;
      case HistoryEventKind::kShareReleased:
      case HistoryEventKind::kShareRevoked: budgets_[fact.subject].parts.erase(who); break;
      case HistoryEventKind::kBudgetUsed: Use(fact); break;
      case HistoryEventKind::kProcessEnded:
        for (auto& [name, budget] : budgets_) {
          auto part = budget.parts.find(who);
          if (part != budget.parts.end() && part->second.until == kNever) budget.parts.erase(part);
        }
        break;
      default: return;
    }
    for (auto& [name, budget] : budgets_) Look(name, &budget, fact.at);
  }

  std::vector<FleetViolation> End(Micros at) {
    for (auto& [name, budget] : budgets_) {
      Look(name, &budget, at);
      if (budget.over_since != kNever) Name(name, &budget, at);
    }
    return std::move(found_);
  }

 private:
  // Over every window at once: a store of the burst that fills at the rate never falls below nothing.
  void Use(const HistoryEvent& fact) {
    Budget& budget = budgets_[fact.subject];
    if (budget.whole < 0 || budget.rate <= 0) return;
    budget.level = std::min(budget.whole, budget.level + budget.rate * ToSeconds(fact.at - budget.level_at));
    budget.level_at = fact.at;
    budget.level -= fact.amount;
    if (budget.level >= -kRounding * budget.whole) return;
    found_.push_back({"",
                      fact.subject + ": used " + Text(-budget.level) + " beyond a burst of " +
                          Text(budget.whole) + " at " + Text(budget.rate) + " a second",
                      fact.at, kNever, fact.gateway});
    budget.level = 0;  // each excess is named once
  }

  void Look(const std::string& name, Budget* budget, Micros at) {
    if (budget->whole < 0) return;
    if (budget->over_since != kNever) {
      // It ended where enough of the parts had run out.
      Micros back = at;
      std::vector<Micros> ends;
      for (const auto& [who, part] : budget->parts) {
        if (part.until <= at && part.until > budget->over_since) ends.push_back(part.until);
      }
      std::sort(ends.begin(), ends.end());
      for (Micros end : ends) {
        if (!Over(*budget, end)) {
          back = end;
          break;
        }
      }
      budget->worst = std::max(budget->worst, budget->Sum(at));
      if (!Over(*budget, at) || back < at) Name(name, budget, back);
    }
    if (budget->over_since == kNever && Over(*budget, at))
      budget->over_since = at, budget->worst = budget->Sum(at);
  }

  static bool Over(const Budget& budget, Micros at) {
    return budget.Sum(at) > budget.whole * (1 + kRounding);
  }

  void Name(const std::string& name, Budget* budget, Micros to) {
    if (to > budget->over_since) {
      found_.push_back({"",
                        name + ": all together may use " + Text(budget->worst) + " of " + Text(budget->whole),
                        budget->over_since, to - budget->over_since, -1});
    }
    budget->over_since = kNever, budget->worst = 0;
  }

  std::map<std::string, Budget> budgets_;
  std::vector<FleetViolation> found_;
};

}  // namespace

std::vector<FleetViolation> CheckBudgetSum(const History& history, const RuleLimits& bounds) {
  Sums sums;
  Micros last = 0;
  for (const HistoryEvent& fact : history.events()) {
    sums.Take(fact);
    last = fact.at;
  }
  return sums.End(bounds.end == kNever ? last : std::max(last, bounds.end));
}

}  // namespace lemonchute::lab
