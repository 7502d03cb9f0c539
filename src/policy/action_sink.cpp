#include "policy/action_sink.h"

#include <utility>

namespace lemonchute::policy {

void ActionSink::Reject(uint32_t request_id, double retry_after_s, RejectReason reason) {
  Action& action = Append(ActionKind::kReject, request_id);
  action.duration_s = retry_after_s;
  action.reason = reason;
}

void ActionSink::CancelAttempt(uint32_t request_id, size_t attempt_index) {
  Append(ActionKind::kCancelAttempt, request_id).attempt_index = static_cast<int>(attempt_index);
}

void ActionSink::StartTimer(double delay_s, uint64_t tag) {
  Action& action = Append(ActionKind::kStartTimer);
  action.duration_s = delay_s;
  action.tag = tag;
}

void ActionSink::Log(std::string text) { Append(ActionKind::kLog).text = std::move(text); }

}  // namespace lemonchute::policy
