#include "net/invariants.h"

#include <cstdio>

namespace lemonchute::net {
namespace {

constexpr int kMostLinesASecond = 10;

}  // namespace

const char* Name(Invariant invariant) {
  switch (invariant) {
    case Invariant::kAnsweredBeforeClose: return "answered_before_close";
    case Invariant::kAnsweredInTime: return "answered_in_time";
    case Invariant::kSentInTime: return "sent_in_time";
    case Invariant::kTimeTold: return "time_told";
    case Invariant::kSafeRepeat: return "safe_repeat";
    case Invariant::kReadyInTime: return "ready_in_time";
    case Invariant::kCount: break;
  }
  return "unknown";
}

void Invariants::Violated(Invariant invariant, const std::string& what) {
  ++violations_[static_cast<size_t>(invariant)];
  if (MayLog()) std::fprintf(stderr, "invariant violated: %s: %s\n", Name(invariant), what.c_str());
}

bool Invariants::MayLog() {
  auto now = std::chrono::steady_clock::now();
  if (now - logged_from_ >= std::chrono::seconds(1)) {
    logged_from_ = now;
    logged_ = 0;
  }
  return ++logged_ <= kMostLinesASecond;
}

}  // namespace lemonchute::net
