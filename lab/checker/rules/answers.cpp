// A request dies with its process, and waits while that is stopped; else one answer is due by its time.
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckSingleAnswer(const History& history, const RuleLimits& bounds) {
  struct Request {
    int gateway = 0;
    Micros due = kNever;
    bool answered = false, excused = false;
  };
  std::map<std::string, Request> requests;
  std::vector<FleetViolation> found;
  for (const HistoryEvent& fact : history.events()) {
    switch (fact.kind) {
      case HistoryEventKind::kRequestReceived:
        requests[fact.subject].gateway = fact.gateway, requests[fact.subject].due = fact.until;
        break;
      case HistoryEventKind::kRequestAnswered: {
        auto request = requests.find(fact.subject);
        if (request == requests.end() || request->second.due == kNever) {
          found.push_back(
              {"", fact.subject + " was answered and never asked", fact.at, kNever, fact.gateway});
        } else if (request->second.answered) {
          found.push_back({"", fact.subject + " was answered twice", fact.at, kNever, fact.gateway});
        } else {
          request->second.answered = true;
        }
        break;
      }
      case HistoryEventKind::kClientGone:
        requests[fact.subject].excused = true;
        break;  // even before it has arrived
      case HistoryEventKind::kProcessEnded:
      case HistoryEventKind::kProcessPaused:
        for (auto& [subject, request] : requests) {
          if (request.gateway == fact.gateway && !request.answered && fact.at <= request.due)
            request.excused = true;
        }
        break;
      default: break;
    }
  }
  for (const auto& [subject, request] : requests) {
    if (request.answered || request.excused || request.due >= bounds.end || request.due == kNever) continue;
    found.push_back({"", subject + " had no final answer in its time", request.due, kNever, request.gateway});
  }
  return found;
}

}  // namespace lemonchute::lab
