#include "net/invariants.h"

#include <cstdio>

namespace lemonchute::net {
namespace {

constexpr int kMaxLogLinesPerS = 10;

}  // namespace

const char* Name(Invariant invariant) {
  switch (invariant) {
    case Invariant::kAnsweredBeforeClose: return "answered_before_close";
    case Invariant::kAnsweredInTime: return "answered_in_time";
    case Invariant::kSentInTime: return "sent_in_time";
    case Invariant::kTimeoutAnnounced: return "time_told";
    case Invariant::kSafeRepeat: return "safe_repeat";
    case Invariant::kNoReentry: return "reentry";
    case Invariant::kReadyInTime: return "ready_in_time";
    case Invariant::kCount: break;
  }
  return "unknown";
}

void Invariants::RecordViolation(Invariant invariant, const std::string& context) {
  ++violations_[static_cast<size_t>(invariant)];
  if (TakeLogLine()) std::fprintf(stderr, "invariant violated: %s: %s\n", Name(invariant), context.c_str());
}

bool Invariants::TakeLogLine() {
  auto now = std::chrono::steady_clock::now();
  if (now - log_period_began_at_ >= std::chrono::seconds(1)) {
    log_period_began_at_ = now;
    logged_lines_ = 0;
  }
  return ++logged_lines_ <= kMaxLogLinesPerS;
}

}  // namespace lemonchute::net
