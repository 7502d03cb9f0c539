// A request dies with its process, and waits while that is stopped; else one answer is due by its time.
#include <map>

#include "judge/rules.h"

namespace lemonchute::lab {

std::vector<Finding> OneAnswer(const History& history, const Bounds& bounds) {
  struct Request {
    int gateway = 0;
    Micros due = kNever;
    bool answered = false, excused = false;
  };
  std::map<std::string, Request> requests;
  std::vector<Finding> found;
  for (const Fact& fact : history.facts()) {
    switch (fact.what) {
      case What::kAsked:
        requests[fact.subject].gateway = fact.gateway, requests[fact.subject].due = fact.until;
        break;
      case What::kAnswered: {
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
      case What::kGone: requests[fact.subject].excused = true; break;  // even before it has arrived
      case What::kEnds:
      case What::kStops:
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
