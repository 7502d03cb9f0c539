// A request dies with its process, and waits while that is stopped; else one answer is due by its time.
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckSingleAnswer(const History& history, const RuleLimits& limits) {
  struct Request {
    int gateway = 0;
    Micros due = kNever;
    bool answered = false, excused = false;
  };
  std::map<std::string, Request> requests;
  std::vector<FleetViolation> violations;
  for (const HistoryEvent& event : history.events()) {
    switch (event.kind) {
      case HistoryEventKind::kRequestReceived:
        requests[event.subject].gateway = event.gateway, requests[event.subject].due = event.until;
        break;
      case HistoryEventKind::kRequestAnswered: {
        auto request = requests.find(event.subject);
        if (request == requests.end() || request->second.due == kNever) {
          violations.push_back(
              {"", event.subject + " was answered and never asked", event.at, kNever, event.gateway});
        } else if (request->second.answered) {
          violations.push_back({"", event.subject + " was answered twice", event.at, kNever, event.gateway});
        } else {
          request->second.answered = true;
        }
        break;
      }
      case HistoryEventKind::kClientGone:
        requests[event.subject].excused = true;
        break;  // even before it has arrived
      case HistoryEventKind::kProcessEnded:
      case HistoryEventKind::kProcessPaused:
        for (auto& [subject, request] : requests) {
          if (request.gateway == event.gateway && !request.answered && event.at <= request.due)
            request.excused = true;
        }
        break;
      default: break;
    }
  }
  for (const auto& [subject, request] : requests) {
    if (request.answered || request.excused || request.due >= limits.end || request.due == kNever) continue;
    violations.push_back(
        {"", subject + " had no final answer in its time", request.due, kNever, request.gateway});
  }
  return violations;
}

}  // namespace lemonchute::lab
