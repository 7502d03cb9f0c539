// No datagram is too long, and no gateway is sent more of them than it accepts. An excess is reported once a
// second, with the main sender.
#include <algorithm>
#include <deque>
#include <map>

#include "checker/rules.h"

namespace lemonchute::lab {

std::vector<FleetViolation> CheckDatagramLimits(const History& history, const RuleLimits& limits) {
  struct Inbox {
    std::deque<std::pair<Micros, std::string>> received;
    Micros reported_at = -kSecond;
  };
  std::map<int, Inbox> inboxes;
  std::vector<FleetViolation> violations;
  for (const HistoryEvent& event : history.events()) {
    if (event.kind == HistoryEventKind::kDatagramSent && event.amount > limits.datagram_bytes) {
      violations.push_back({"",
                            "gateway " + std::to_string(event.gateway) + " sent a datagram of " +
                                std::to_string(static_cast<int>(event.amount)) + " bytes to " + event.subject,
                            event.at, kNever, event.gateway});
    }
    if (event.kind != HistoryEventKind::kDatagramReceived) continue;
    Inbox& inbox = inboxes[event.gateway];
    inbox.received.emplace_back(event.at, event.subject);
    while (inbox.received.front().first + kSecond <= event.at) inbox.received.pop_front();
    if (static_cast<double>(inbox.received.size()) <= limits.datagrams_per_s ||
        inbox.reported_at + kSecond > event.at)
      continue;
    inbox.reported_at = event.at;
    std::map<std::string, int> count_by_sender;
    for (const auto& [at, sender] : inbox.received) ++count_by_sender[sender];
    auto top_sender = std::max_element(count_by_sender.begin(), count_by_sender.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
    violations.push_back({"",
                          "gateway " + std::to_string(event.gateway) + " was sent " +
                              std::to_string(inbox.received.size()) + " datagrams in a second, " +
                              std::to_string(top_sender->second) + " of them by " + top_sender->first,
                          event.at, kNever, event.gateway});
  }
  return violations;
}

}  // namespace lemonchute::lab
