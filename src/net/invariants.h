// Run-time checks of rules that a gateway must never break. A violation is counted and logged with the ids by
// which it can be traced; it has no other effect.
#ifndef LEMONCHUTE_NET_INVARIANTS_H_
#define LEMONCHUTE_NET_INVARIANTS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lemonchute::net {

enum class Invariant {
  kAnsweredBeforeClose,  // the gateway closes no connection whose request has no response yet
  kAnsweredInTime,       // a response is decided at most 0.5 s after the request's deadline
  kSentInTime,        // an attempt's first byte is sent within its deadline, its retry window and the grace
                      // of a draining backend
  kTimeoutAnnounced,  // an attempt's Request-Timeout-Ms is at most the time left plus the protocol's slack
  kSafeRepeat,        // a request that must not run twice is never retried or hedged
  kNoReentry,         // no event reaches the policy while the actions of another one are executed
  kReadyInTime,       // a process accepts clients within 10 s of its start
  kCount,
};
/// @return the name in the metrics and the log
const char* Name(Invariant invariant);

/// Counts violations, and logs a limited number of them per second.
class Invariants {
 public:
  /// @param context ids of the request, connection, attempt and backend concerned
  void RecordViolation(Invariant invariant, const std::string& context);
  uint64_t violations(Invariant invariant) const { return violations_[static_cast<size_t>(invariant)]; }

 private:
  bool TakeLogLine();  // false if the limit of this second is reached

  std::array<uint64_t, static_cast<size_t>(Invariant::kCount)> violations_{};
  std::chrono::steady_clock::time_point log_period_began_at_{};
  int logged_lines_ = 0;  // since then
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_INVARIANTS_H_
