// An interval that is not closed lasts until the end of the history.
#include "checker/timeline.h"

#include <algorithm>
#include <map>

#include "model/settings.h"

namespace lemonchute::lab {
namespace {

constexpr size_t kMaxPoints = 4000;

std::string FormatNumbers(const std::vector<int>& numbers) {
  std::string text;
  for (int n : numbers) text.append(text.empty() ? "" : ",").append(std::to_string(n));
  return text.empty() ? "all" : text;
}

std::string PathName(const PathFault& fault) {
  static const char* const kKindNames[] = {"cut",   "black hole", "resets",     "trickle",
                                           "delay", "loss",       "duplicates", "reordering"};
  static const char* const kRemoteNames[] = {"gateways", "counter", "discovery", "backends"};
  static const char* const kDirectionSigns[] = {" - ", " > ", " < "};
  std::string text = kKindNames[static_cast<size_t>(fault.kind)];
  text.append(" gateways ")
      .append(FormatNumbers(fault.gateways))
      .append(kDirectionSigns[static_cast<size_t>(fault.direction)]);
  text.append(kRemoteNames[static_cast<size_t>(fault.remote)]);
  if (fault.remote == RemoteParty::kGateways || fault.remote == RemoteParty::kBackends)
    text.append(" ").append(FormatNumbers(fault.others));
  return text;
}

}  // namespace

void RecordSiteEvent(const RunSpec& spec, const SiteEvent& event, History* history) {
  auto add = [&](bool begins, const std::string& subject) {
    history->Add({event.at, begins ? HistoryEventKind::kFaultBegan : HistoryEventKind::kFaultEnded, -1, 0,
                  subject, 0, 0, kNever});
  };
  bool on = event.size > 0;
  const std::string targets = FormatNumbers(event.targets);
  switch (event.kind) {
    case SiteEventKind::kPathFault:
      for (int t : event.targets) add(on, PathName(spec.path_faults[static_cast<size_t>(t)]));
      break;
    case SiteEventKind::kZoneCut: add(on, std::string("zone ").append(targets).append(" cut off")); break;
    case SiteEventKind::kStarveGateway:
      add(on, std::string("gateways ").append(targets).append(" starved"));
      break;
    case SiteEventKind::kStopBackend:
    case SiteEventKind::kStartBackend:
      add(event.kind == SiteEventKind::kStopBackend,
          std::string("backends ").append(targets).append(" down"));
      break;
    case SiteEventKind::kCounterDown:
    case SiteEventKind::kCounterLoses:
    case SiteEventKind::kDiscoverySilent:
    case SiteEventKind::kDiscoveryRefuses:
    case SiteEventKind::kAttemptResets: add(on, Name(event.kind)); break;
    case SiteEventKind::kBackendErrors:
    case SiteEventKind::kBackendSlow:
    case SiteEventKind::kBackendSilent:
      add(on, std::string(Name(event.kind)).append(" ").append(targets));
      break;
    default: break;
  }
}

nlohmann::json BuildTimeline(const History& history, Micros end) {
  using nlohmann::json;
  json lanes = json::array(), faults = json::array(), budgets = json::object();
  std::map<std::pair<int, int64_t>, Micros> running, stopped;
  std::map<std::string, Micros> open_faults;
  struct HeldShares {
    std::map<std::pair<int, int64_t>, std::pair<double, Micros>> shares;
  };
  std::map<std::string, HeldShares> held_budgets;
  size_t points = 0;
  auto add_interval = [&](json* to, const std::string& name, const char* state, Micros from, Micros until) {
    if (++points <= kMaxPoints)
      to->push_back(
          {{"name", name}, {"state", state}, {"from_s", ToSeconds(from)}, {"to_s", ToSeconds(until)}});
  };
  auto close_interval = [&](auto* open, std::pair<int, int64_t> process, const char* state, Micros at) {
    auto found = open->find(process);
    if (found == open->end()) return;
    add_interval(&lanes, GatewayName(process.first), state, found->second, at);
    open->erase(found);
  };
  for (const HistoryEvent& entry : history.events()) {
    std::pair<int, int64_t> process{entry.gateway, entry.process};
    switch (entry.kind) {
      case HistoryEventKind::kProcessStarted: running[process] = entry.at; break;
      case HistoryEventKind::kProcessEnded:
        close_interval(&stopped, process, "stopped", entry.at),
            close_interval(&running, process, "runs", entry.at);
        break;
      case HistoryEventKind::kProcessPaused: stopped[process] = entry.at; break;
      case HistoryEventKind::kProcessResumed: close_interval(&stopped, process, "stopped", entry.at); break;
      case HistoryEventKind::kFaultBegan: open_faults.emplace(entry.subject, entry.at); break;
      case HistoryEventKind::kFaultEnded:
        if (auto found = open_faults.find(entry.subject); found != open_faults.end()) {
          add_interval(&faults, entry.subject, "", found->second, entry.at);
          open_faults.erase(found);
        }
        break;
      case HistoryEventKind::kBudgetDefined: budgets[entry.subject]["whole"] = entry.amount; break;
      case HistoryEventKind::kShareHeld:
      case HistoryEventKind::kShareReleased:
      case HistoryEventKind::kShareRevoked: {
        HeldShares& holders = held_budgets[entry.subject];
        if (entry.kind == HistoryEventKind::kShareHeld)
          holders.shares[process] = {entry.amount, entry.until};
        else
          holders.shares.erase(process);
        double sum = 0;
        for (const auto& [holder, share] : holders.shares) sum += share.second > entry.at ? share.first : 0;
        if (++points <= kMaxPoints) budgets[entry.subject]["points"].push_back({ToSeconds(entry.at), sum});
        break;
      }
      default: break;
    }
  }
  for (const auto& [process, since] : running)
    add_interval(&lanes, GatewayName(process.first), "runs", since, end);
  for (const auto& [process, since] : stopped)
    add_interval(&lanes, GatewayName(process.first), "stopped", since, end);
  for (const auto& [subject, since] : open_faults) add_interval(&faults, subject, "", since, end);
  return {{"lanes", lanes}, {"faults", faults}, {"sums", budgets}, {"cut_short", points > kMaxPoints}};
}

}  // namespace lemonchute::lab
