/// Appends actions to a caller's list.
#ifndef LEMONCHUTE_POLICY_ACTION_SINK_H_
#define LEMONCHUTE_POLICY_ACTION_SINK_H_

#include <cstdint>
#include <string>

#include "policy/types.h"

namespace lemonchute::policy {

/// Builds the actions of one event, in order. A reference to an action stays valid until the next one is
/// appended.
class ActionSink {
 public:
  /// @param actions outlives this object.
  explicit ActionSink(Actions* actions) : actions_(actions) {}

  /// @return the new action, for the caller to fill in its remaining fields.
  Action& Append(ActionKind kind, uint32_t request_id = 0) {
    Action& action = actions_->emplace_back();
    action.kind = kind;
    action.request_id = request_id;
    return action;
  }
  /// @param retry_after_s value of Retry-After in the response; 0: none.
  void Reject(uint32_t request_id, double retry_after_s, RejectReason reason);
  void CancelAttempt(uint32_t request_id, size_t attempt_index);
  void StartTimer(double delay_s, uint64_t tag);
  void Log(std::string text);

 private:
  Actions* actions_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_ACTION_SINK_H_
