// The history of the whole fleet: what the lab did and observed, and what each gateway logged about itself,
// as events in order of the lab's clock. It does not depend on how the run was executed.
#ifndef LEMONCHUTE_LAB_CHECKER_HISTORY_H_
#define LEMONCHUTE_LAB_CHECKER_HISTORY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// The kind of a history event. The order is that of the names in history.cpp; kinds from kBudgetUsed on may
/// be logged by gateways.
enum class HistoryEventKind {
  // Actions of the lab.
  kProcessStarted,
  kProcessEnded,
  kProcessPaused,
  kProcessResumed,
  kFaultBegan,  // a fault that affects the fleet begins or ends; the subject describes it
  kFaultEnded,
  // Observed by other parties.
  kDatagramSent,      // sent by a gateway: `amount` is its size in bytes, the subject its receiver
  kDatagramReceived,  // received by a gateway; the subject is its sender
  kRequestReceived,   // a request reached a gateway; a final answer is due by `until`
  kRequestAnswered,   // one final answer to a request
  kClientGone,        // the client has left or was never read: no answer is due any more
  kBudgetUsed,        // `amount` of the subject was used, as observed by the other end
  // Logged by gateways, and taken from their settings.
  // The processes together may hold `amount` of the subject, or use it at `rate` per second with that burst.
  kBudgetDefined,
  kShareHeld,      // this process may use `amount` of the budget until `until`; replaces its earlier share
  kShareReleased,  // this process holds no share any more
  kShareRevoked,   // this process was told that its share is taken back
  kOwnershipHeld,  // this process alone acts for the subject until `until`
  kOwnershipReleased,
  kMembershipView,  // the subject is the digest of the process's view of the membership
  kVersionStored,   // version `amount` of the subject has been stored on disk
  kVersionLoaded,   // the process continues from version `amount` of the subject
};
/// The name in logs and history files.
const char* Name(HistoryEventKind kind);

/// One event of the history. The meaning of `subject`, `amount`, `rate` and `until` depends on the kind.
struct HistoryEvent {
  Micros at = 0;
  HistoryEventKind kind = HistoryEventKind::kFaultBegan;
  int gateway = -1;
  int64_t process = 0;  // distinguishes the processes of one gateway
  std::string subject;
  double amount = 0, rate = 0;
  Micros until = kNever;
};

/// A list of history events.
class History {
 public:
  void Add(HistoryEvent event) { events_.push_back(std::move(event)); }
  /// Sorts the events by time; events of the same time keep the order in which they were added.
  void Sort();
  const std::vector<HistoryEvent>& events() const { return events_; }
  /// One line of JSON per event.
  std::string ToJsonLines() const;

 private:
  std::vector<HistoryEvent> events_;
};

/// Parses a history event from a line of a gateway's log: `fleet at_us=N pid=N what=holds subject=cold/s-1
/// amount=2 rate=0 until_us=N`, with times of the monotonic clock. Returns none for any other line; `error`
/// is set if the line starts with the marker but is malformed.
std::optional<HistoryEvent> ParseLogEvent(std::string_view line, int gateway, Micros clock_at_start,
                                          std::string* error);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_CHECKER_HISTORY_H_
