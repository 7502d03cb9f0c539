// The metrics that the admin endpoint shows (docs/ON-CALL.md). Each is incremented in exactly one place: when
// a request gets its response, or when an attempt ends.
#ifndef LEMONCHUTE_NET_METRICS_H_
#define LEMONCHUTE_NET_METRICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/invariants.h"
#include "net/reasons.h"

namespace lemonchute::net {

/// Writes one metric under its name at the admin endpoint.
using WriteMetric = std::function<void(const std::string& name, uint64_t value)>;

struct Metrics {
  /// Requests of one class that got a response.
  struct ClassCounts {
    uint64_t ok = 0, shed = 0, errors = 0;
    uint64_t removal_order = 0;  // 0: in the settings; otherwise higher for classes that were removed later
  };
  using ClassCountsByName = std::map<std::string, ClassCounts>;

  ClassCountsByName classes;
  uint64_t requests_written = 0;  // requests written completely
  uint64_t repeats_refused = 0;   // non-idempotent requests that arrived again
  uint64_t clock_steps = 0;       // steps of the wall clock
  CountsBy<policy::AttemptResult, policy::AttemptResult::kNotSent> attempts;  // by their result
  CountsBy<policy::AttemptResult, policy::AttemptResult::kNotSent> retried;   // by the previous result
  CountsBy<AttemptEndCause, AttemptEndCause::kCount> ended;                   // attempts by their cause
  CountsBy<policy::RejectReason, policy::RejectReason::kCount> refused;
  CountsBy<SendVerdict, SendVerdict::kUnsafeRepeat> held_back;  // attempts that were not sent
  CountsBy<CloseReason, CloseReason::kCount> closed;            // connections of clients
  Invariants invariants;

  /// How many classes keep their counts after they were removed from the settings.
  static constexpr size_t kMaxRemovedClasses = 64;

  /// @param names the classes of new settings; empty names are skipped
  /// @return the counts under these settings. Removed classes keep theirs, except for those removed longest
  ///     ago if there are more than kMaxRemovedClasses.
  ClassCountsByName CountsForClasses(const std::vector<std::string>& names) const;
};

/// Writes all metrics in the order in which the admin endpoint shows them.
void AppendMetrics(const Metrics& metrics, const WriteMetric& write);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_METRICS_H_
