// Each request gets one final answer by its deadline. A request is excused if its process ends or is paused
// before then, or if its client has left.
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
              {"", event.subject + " was answered but never received", event.at, kNever, event.gateway});
        } else if (request->second.answered) {
          violations.push_back({"", event.subject + " was answered twice", event.at, kNever, event.gateway});
        } else {
          request->second.answered = true;
        }
        break;
      }
      case HistoryEventKind::kClientGone:
        requests[event.subject].excused = true;
        break;  // possibly before the request has arrived
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
        {"", subject + " had no final answer by its deadline", request.due, kNever, request.gateway});
  }
  return violations;
}

}  // namespace lemonchute::lab
