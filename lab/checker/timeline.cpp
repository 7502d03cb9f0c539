// A stretch without an end lasts to the end of the history.
#include "checker/timeline.h"

#include <algorithm>
#include <map>

#include "model/settings.h"

namespace lemonchute::lab {
namespace {

constexpr size_t kMost = 4000;

std::string Numbers(const std::vector<int>& numbers) {
  std::string text;
  for (int n : numbers) text.append(text.empty() ? "" : ",").append(std::to_string(n));
  return text.empty() ? "all" : text;
}

std::string PathName(const PathFault& fault) {
  static const char* const kHarms[] = {"cut",   "black hole", "resets",     "trickle",
                                       "delay", "loss",       "duplicates", "reordering"};
  static const char* const kFar[] = {"gateways", "counter", "discovery", "backends"};
  static const char* const kWays[] = {" - ", " > ", " < "};
  std::string text = kHarms[static_cast<size_t>(fault.kind)];
  text.append(" gateways ")
      .append(Numbers(fault.gateways))
      .append(kWays[static_cast<size_t>(fault.direction)]);
  text.append(kFar[static_cast<size_t>(fault.remote)]);
  if (fault.remote == RemoteParty::kGateways || fault.remote == RemoteParty::kBackends)
    text.append(" ").append(Numbers(fault.others));
  return text;
}

}  // namespace

void RecordSiteEvent(const RunSpec& day, const SiteEvent& incident, History* history) {
  auto add = [&](bool begins, const std::string& subject) {
    history->Add({incident.at, begins ? HistoryEventKind::kFaultBegan : HistoryEventKind::kFaultEnded, -1, 0,
                  subject, 0, 0, kNever});
  };
  bool on = incident.size > 0;
  const std::string targets = Numbers(incident.targets);
  switch (incident.kind) {
    case SiteEventKind::kPathFault:
      for (int t : incident.targets) add(on, PathName(day.path_faults[static_cast<size_t>(t)]));
      break;
    case SiteEventKind::kZoneCut: add(on, std::string("zone ").append(targets).append(" cut off")); break;
    case SiteEventKind::kStarveGateway:
      add(on, std::string("gateways ").append(targets).append(" starved"));
      break;
    case SiteEventKind::kStopBackend:
    case SiteEventKind::kStartBackend:
      add(incident.kind == SiteEventKind::kStopBackend,
          std::string("backends ").append(targets).append(" down"));
      break;
    case SiteEventKind::kCounterDown:
    case SiteEventKind::kCounterLoses:
    case SiteEventKind::kDiscoverySilent:
    case SiteEventKind::kDiscoveryRefuses:
    case SiteEventKind::kAttemptResets: add(on, Name(incident.kind)); break;
    case SiteEventKind::kBackendErrors:
    case SiteEventKind::kBackendSlow:
    case SiteEventKind::kBackendSilent:
      add(on, std::string(Name(incident.kind)).append(" ").append(targets));
      break;
    default: break;
  }
}

nlohmann::json BuildTimeline(const History& history, Micros end) {
  using nlohmann::json;
  json lanes = json::array(), faults = json::array(), sums = json::object();
  std::map<std::pair<int, int64_t>, Micros> up, stopped;
  std::map<std::string, Micros> wrong;
  struct Held {
    std::map<std::pair<int, int64_t>, std::pair<double, Micros>> parts;
  };
  std::map<std::string, Held> held;
  size_t points = 0;
  auto stretch = [&](json* to, const std::string& name, const char* state, Micros from, Micros until) {
    if (++points <= kMost)
      to->push_back(
          {{"name", name}, {"state", state}, {"from_s", ToSeconds(from)}, {"to_s", ToSeconds(until)}});
  };
  auto close = [&](auto* open, std::pair<int, int64_t> who, const char* state, Micros at) {
    auto found = open->find(who);
    if (found == open->end()) return;
    stretch(&lanes, GatewayName(who.first), state, found->second, at);
    open->erase(found);
  };
  for (const HistoryEvent& f : history.events()) {
    std::pair<int, int64_t> who{f.gateway, f.process};
    switch (f.kind) {
      case HistoryEventKind::kProcessStarted: up[who] = f.at; break;
      case HistoryEventKind::kProcessEnded:
        close(&stopped, who, "stopped", f.at), close(&up, who, "runs", f.at);
        break;
      case HistoryEventKind::kProcessPaused: stopped[who] = f.at; break;
      case HistoryEventKind::kProcessResumed: close(&stopped, who, "stopped", f.at); break;
      case HistoryEventKind::kFaultBegan: wrong.emplace(f.subject, f.at); break;
      case HistoryEventKind::kFaultEnded:
        if (auto found = wrong.find(f.subject); found != wrong.end()) {
          stretch(&faults, f.subject, "", found->second, f.at);
          wrong.erase(found);
        }
        break;
      case HistoryEventKind::kBudgetDefined: sums[f.subject]["whole"] = f.amount; break;
      case HistoryEventKind::kShareHeld:
      case HistoryEventKind::kShareReleased:
      case HistoryEventKind::kShareRevoked: {
        Held& all = held[f.subject];
        if (f.kind == HistoryEventKind::kShareHeld)
          all.parts[who] = {f.amount, f.until};
        else
          all.parts.erase(who);
        double sum = 0;
        for (const auto& [holder, part] : all.parts) sum += part.second > f.at ? part.first : 0;
        if (++points <= kMost) sums[f.subject]["points"].push_back({ToSeconds(f.at), sum});
        break;
      }
      default: break;
    }
  }
  for (const auto& [who, since] : up) stretch(&lanes, GatewayName(who.first), "runs", since, end);
  for (const auto& [who, since] : stopped) stretch(&lanes, GatewayName(who.first), "stopped", since, end);
  for (const auto& [subject, since] : wrong) stretch(&faults, subject, "", since, end);
  return {{"lanes", lanes}, {"faults", faults}, {"sums", sums}, {"cut_short", points > kMost}};
}

}  // namespace lemonchute::lab
