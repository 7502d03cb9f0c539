// The shares of a budget never add up to more than its total. A share counts until it expires, even after its
// process ends: a killed process may be restarted with it, and a paused one may resume. Only a share without
// an expiry ends with its process.
#include <algorithm>
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {
namespace {

constexpr double kRelativeTolerance = 1e-9;  // of the total; for sums of shares in floating point

struct Part {
  double amount = 0;
  Micros until = kNever;
};

struct Budget {
  double total = -1, rate = 0, tokens = 0;
  Micros updated_at = 0, exceeded_since = kNever;
  double peak = 0;
  std::map<std::pair<int, int64_t>, Part> parts;

  double Sum(Micros at) const {
    double sum = 0;
    for (const auto& [process, part] : parts) sum += part.until > at ? part.amount : 0;
    return sum;
  }
};

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return text;
}

class BudgetTracker {
 public:
  void Process(const HistoryEvent& event) {
    bool relevant =
        event.kind == HistoryEventKind::kBudgetDefined || event.kind == HistoryEventKind::kShareHeld ||
        event.kind == HistoryEventKind::kShareReleased || event.kind == HistoryEventKind::kShareRevoked ||
        event.kind == HistoryEventKind::kBudgetUsed || event.kind == HistoryEventKind::kProcessEnded;
    if (!relevant) return;
    // Shares that expired before now may have ended an excess.
    for (auto& [name, budget] : budgets_) UpdateExcess(name, &budget, event.at);
    std::pair<int, int64_t> process{event.gateway, event.process};
    switch (event.kind) {
      case HistoryEventKind::kBudgetDefined: {
        Budget& budget = budgets_[event.subject];
        if (budget.total < 0) budget.tokens = event.amount, budget.updated_at = event.at;
        budget.total = event.amount, budget.rate = event.rate;
        break;
      }
      case HistoryEventKind::kShareHeld:
        budgets_[event.subject].parts[process] = {event.amount, event.until};
        break;
      case HistoryEventKind::kShareReleased:
      case HistoryEventKind::kShareRevoked: budgets_[event.subject].parts.erase(process); break;
      case HistoryEventKind::kBudgetUsed: CheckUse(event); break;
      case HistoryEventKind::kProcessEnded:
        for (auto& [name, budget] : budgets_) {
          auto part = budget.parts.find(process);
          if (part != budget.parts.end() && part->second.until == kNever) budget.parts.erase(part);
        }
        break;
      default: return;
    }
    for (auto& [name, budget] : budgets_) UpdateExcess(name, &budget, event.at);
  }

  std::vector<FleetViolation> Finish(Micros at) {
    for (auto& [name, budget] : budgets_) {
      UpdateExcess(name, &budget, at);
      if (budget.exceeded_since != kNever) ReportExcess(name, &budget, at);
    }
    return std::move(violations_);
  }

 private:
  // Covers every window at once: a token bucket of the burst that refills at the rate never falls below 0.
  void CheckUse(const HistoryEvent& event) {
    Budget& budget = budgets_[event.subject];
    if (budget.total < 0 || budget.rate <= 0) return;
    budget.tokens =
        std::min(budget.total, budget.tokens + budget.rate * ToSeconds(event.at - budget.updated_at));
    budget.updated_at = event.at;
    budget.tokens -= event.amount;
    if (budget.tokens >= -kRelativeTolerance * budget.total) return;
    violations_.push_back({"",
                           event.subject + ": used " + FormatNumber(-budget.tokens) + " beyond a burst of " +
                               FormatNumber(budget.total) + " at " + FormatNumber(budget.rate) + " a second",
                           event.at, kNever, event.gateway});
    budget.tokens = 0;  // report each excess once
  }

  void UpdateExcess(const std::string& name, Budget* budget, Micros at) {
    if (budget->total < 0) return;
    if (budget->exceeded_since != kNever) {
      // The excess ended when enough of the shares had expired.
      Micros recovered_at = at;
      std::vector<Micros> expiries;
      for (const auto& [process, part] : budget->parts) {
        if (part.until <= at && part.until > budget->exceeded_since) expiries.push_back(part.until);
      }
      std::sort(expiries.begin(), expiries.end());
      for (Micros end : expiries) {
        if (!Exceeded(*budget, end)) {
          recovered_at = end;
          break;
        }
      }
      budget->peak = std::max(budget->peak, budget->Sum(at));
      if (!Exceeded(*budget, at) || recovered_at < at) ReportExcess(name, budget, recovered_at);
    }
    if (budget->exceeded_since == kNever && Exceeded(*budget, at))
      budget->exceeded_since = at, budget->peak = budget->Sum(at);
  }

  static bool Exceeded(const Budget& budget, Micros at) {
    return budget.Sum(at) > budget.total * (1 + kRelativeTolerance);
  }

  void ReportExcess(const std::string& name, Budget* budget, Micros to) {
    if (to > budget->exceeded_since) {
      violations_.push_back({"",
                             name + ": the shares add up to " + FormatNumber(budget->peak) + " of " +
                                 FormatNumber(budget->total),
                             budget->exceeded_since, to - budget->exceeded_since, -1});
    }
    budget->exceeded_since = kNever, budget->peak = 0;
  }

  std::map<std::string, Budget> budgets_;
  std::vector<FleetViolation> violations_;
};

}  // namespace

std::vector<FleetViolation> CheckBudgetSum(const History& history, const RuleLimits& limits) {
  BudgetTracker tracker;
  Micros last = 0;
  for (const HistoryEvent& event : history.events()) {
    tracker.Process(event);
    last = event.at;
  }
  return tracker.Finish(limits.end == kNever ? last : std::max(last, limits.end));
}

}  // namespace lemonchute::lab
