// The counters that the admin endpoint shows (docs/ON-CALL.md). Each is incremented at exactly one place: at
// a request's response, or at the end of an attempt.
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

/// Writes one metric, as the admin endpoint names it.
using WriteMetric = std::function<void(const std::string& name, uint64_t value)>;

struct Metrics {
  /// Requests of one class that got a response.
  struct ClassCounts {
    uint64_t ok = 0, shed = 0, errors = 0;
    uint64_t removal_order = 0;  // 0: in the settings; otherwise the higher, the later it was removed
  };
  using ClassCountsByName = std::map<std::string, ClassCounts>;

  ClassCountsByName classes;
  uint64_t requests_written = 0;                                              // requests written completely
  uint64_t clock_steps = 0;                                                   // of the wall clock
  CountsBy<policy::AttemptResult, policy::AttemptResult::kNotSent> attempts;  // by how they ended
  CountsBy<policy::AttemptResult, policy::AttemptResult::kNotSent> retried;   // by the end of the one before
  CountsBy<policy::RejectReason, policy::RejectReason::kCount> refused;
  CountsBy<SendVerdict, SendVerdict::kUnsafeRepeat> held_back;  // attempts that were not sent
  CountsBy<CloseReason, CloseReason::kCount> closed;            // connections of clients
  Invariants invariants;

  /// How many classes that were removed from the settings keep their counts.
  static constexpr size_t kMaxRemovedClasses = 64;

  /// @param names the classes of new settings; an empty name is none.
  /// @return the counts under these settings. Removed classes keep theirs, except for those removed longest
  ///     ago where there are more than kMaxRemovedClasses.
  ClassCountsByName CountsForClasses(const std::vector<std::string>& names) const;
};

/// Writes all metrics in the order of the admin endpoint's page.
void AppendMetrics(const Metrics& metrics, const WriteMetric& write);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_METRICS_H_
