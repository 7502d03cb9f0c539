// Owns the history of the whole fleet: what the lab did and saw, and what each gateway said of itself, as
// facts in order of the lab's clock. Nothing here knows how a day was played.
#ifndef LEMONCHUTE_LAB_CHECKER_HISTORY_H_
#define LEMONCHUTE_LAB_CHECKER_HISTORY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

enum class HistoryEventKind {
  // The lab's own doing.
  kProcessStarted,  // a process
  kProcessEnded,
  kProcessPaused,
  kProcessResumed,
  kFaultBegan,  // something begins, or ends, that the fleet has to bear; the subject says what
  kFaultEnded,
  // What others saw.
  kDatagramSent,      // sent by a gateway: amount is its bytes, the subject its receiver
  kDatagramReceived,  // arrived at a gateway; the subject is its sender
  kRequestReceived,   // a request reached a gateway; a final answer is due by `until`
  kRequestAnswered,   // one final answer to it
  kClientGone,        // its client has left or was never heard: nothing is owed any more
  kBudgetUsed,        // amount of the subject was used, as its other end saw it
  // What gateways say, and the settings with them.
  kBudgetDefined,  // all together may hold `amount` of the subject, or use it at `rate` a second with that
                   // burst
  kShareHeld,      // this process may use `amount` of it until then, in place of what it held before
  kShareReleased,  // it holds none of it any more
  kShareRevoked,   // it was told that what it holds is taken back
  kOwnershipHeld,  // it acts alone for the subject until then
  kOwnershipReleased,
  kMembershipView,  // the digest of who it believes is there
  kVersionStored,   // version `amount` of the subject is on its disk
  kVersionLoaded,   // it goes on from that version of the subject
};
const char* Name(HistoryEventKind kind);

struct HistoryEvent {
  Micros at = 0;
  HistoryEventKind kind = HistoryEventKind::kFaultBegan;
  int gateway = -1;
  int64_t process = 0;  // tells the processes of one gateway apart
  std::string subject;
  double amount = 0, rate = 0;
  Micros until = kNever;
};

class History {
 public:
  void Add(HistoryEvent event) { events_.push_back(std::move(event)); }
  // Orders what was added; of one moment, in the order in which it was added.
  void Sort();
  const std::vector<HistoryEvent>& events() const { return events_; }
  // One line of JSON a fact.
  std::string ToJsonLines() const;

 private:
  std::vector<HistoryEvent> events_;
};

// A line of a gateway's log that speaks to the history: `fleet at_us=N pid=N what=holds subject=cold/s-1
// amount=2 rate=0 until_us=N`, times by the monotonic clock. None where it is another line; `fault` where it
// has the word but can't be read.
std::optional<HistoryEvent> ParseLogEvent(std::string_view line, int gateway, Micros clock_at_start,
                                          std::string* error);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_CHECKER_HISTORY_H_
