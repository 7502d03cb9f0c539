// Each excess is named once a second, with who sent most of it.
#include <algorithm>
#include <deque>
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckDatagramLimits(const History& history, const RuleLimits& bounds) {
  struct Inbox {
    std::deque<std::pair<Micros, std::string>> heard;
    Micros named = -kSecond;
  };
  std::map<int, Inbox> inboxes;
  std::vector<FleetViolation> found;
  for (const HistoryEvent& fact : history.events()) {
    if (fact.kind == HistoryEventKind::kDatagramSent && fact.amount > bounds.datagram_bytes) {
      found.push_back({"",
                       "gateway " + std::to_string(fact.gateway) + " sent a datagram of " +
                           std::to_string(static_cast<int>(fact.amount)) + " bytes to " + fact.subject,
                       fact.at, kNever, fact.gateway});
    }
    if (fact.kind != HistoryEventKind::kDatagramReceived) continue;
    Inbox& inbox = inboxes[fact.gateway];
    inbox.heard.emplace_back(fact.at, fact.subject);
    while (inbox.heard.front().first + kSecond <= fact.at) inbox.heard.pop_front();
    if (static_cast<double>(inbox.heard.size()) <= bounds.datagrams_per_s || inbox.named + kSecond > fact.at)
      continue;
    inbox.named = fact.at;
    std::map<std::string, int> by;
    for (const auto& [at, sender] : inbox.heard) ++by[sender];
    auto most = std::max_element(by.begin(), by.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; });
    found.push_back({"",
                     "gateway " + std::to_string(fact.gateway) + " was sent " +
                         std::to_string(inbox.heard.size()) + " datagrams in a second, " +
                         std::to_string(most->second) + " of them by " + most->first,
                     fact.at, kNever, fact.gateway});
  }
  return found;
}

}  // namespace lemonchute::lab
