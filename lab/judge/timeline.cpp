// A stretch without an end lasts to the end of the history.
#include "judge/timeline.h"

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
  std::string text = kHarms[static_cast<size_t>(fault.harm)];
  text.append(" gateways ").append(Numbers(fault.gateways)).append(kWays[static_cast<size_t>(fault.ways)]);
  text.append(kFar[static_cast<size_t>(fault.far)]);
  if (fault.far == Far::kGateways || fault.far == Far::kBackends)
    text.append(" ").append(Numbers(fault.others));
  return text;
}

}  // namespace

void NoteIncident(const Day& day, const Incident& incident, History* history) {
  auto add = [&](bool begins, const std::string& subject) {
    history->Add({incident.at, begins ? What::kFault : What::kHeal, -1, 0, subject, 0, 0, kNever});
  };
  bool on = incident.size > 0;
  const std::string targets = Numbers(incident.targets);
  switch (incident.what) {
    case Happening::kPath:
      for (int t : incident.targets) add(on, PathName(day.path_faults[static_cast<size_t>(t)]));
      break;
    case Happening::kCut: add(on, std::string("zone ").append(targets).append(" cut off")); break;
    case Happening::kSqueeze: add(on, std::string("gateways ").append(targets).append(" starved")); break;
    case Happening::kEnd:
    case Happening::kStart:
      add(incident.what == Happening::kEnd, std::string("backends ").append(targets).append(" down"));
      break;
    case Happening::kCounterDown:
    case Happening::kCounterLoses:
    case Happening::kDiscoverySilent:
    case Happening::kDiscoveryRefuses:
    case Happening::kResets: add(on, Name(incident.what)); break;
    case Happening::kFail:
    case Happening::kSlow:
    case Happening::kSilent: add(on, std::string(Name(incident.what)).append(" ").append(targets)); break;
    default: break;
  }
}

nlohmann::json Timeline(const History& history, Micros end) {
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
      to->push_back({{"name", name}, {"state", state}, {"from_s", ToS(from)}, {"to_s", ToS(until)}});
  };
  auto close = [&](auto* open, std::pair<int, int64_t> who, const char* state, Micros at) {
    auto found = open->find(who);
    if (found == open->end()) return;
    stretch(&lanes, GatewayName(who.first), state, found->second, at);
    open->erase(found);
  };
  for (const Fact& f : history.facts()) {
    std::pair<int, int64_t> who{f.gateway, f.process};
    switch (f.what) {
      case What::kStarts: up[who] = f.at; break;
      case What::kEnds: close(&stopped, who, "stopped", f.at), close(&up, who, "runs", f.at); break;
      case What::kStops: stopped[who] = f.at; break;
      case What::kGoesOn: close(&stopped, who, "stopped", f.at); break;
      case What::kFault: wrong.emplace(f.subject, f.at); break;
      case What::kHeal:
        if (auto found = wrong.find(f.subject); found != wrong.end()) {
          stretch(&faults, f.subject, "", found->second, f.at);
          wrong.erase(found);
        }
        break;
      case What::kWhole: sums[f.subject]["whole"] = f.amount; break;
      case What::kHolds:
      case What::kDrops:
      case What::kRevoked: {
        Held& all = held[f.subject];
        if (f.what == What::kHolds)
          all.parts[who] = {f.amount, f.until};
        else
          all.parts.erase(who);
        double sum = 0;
        for (const auto& [holder, part] : all.parts) sum += part.second > f.at ? part.first : 0;
        if (++points <= kMost) sums[f.subject]["points"].push_back({ToS(f.at), sum});
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
