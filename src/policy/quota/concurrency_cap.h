/// Attempts in flight of one customer, over all gateways.
#ifndef LEMONCHUTE_POLICY_QUOTA_CONCURRENCY_CAP_H_
#define LEMONCHUTE_POLICY_QUOTA_CONCURRENCY_CAP_H_

#include <cstdint>

#include "policy/types.h"

namespace lemonchute::policy {

/// The counter keeps one total of attempts for the customer, to which each gateway adds the changes of its
/// own. A new total starts at zero in each epoch, so that the attempts of a gateway that has crashed are not
/// counted forever.
struct ConcurrencyCap {
  int local_attempts = 0;        ///< In flight from this gateway.
  int64_t epoch = 0;             ///< Of the counter's total.
  double reported_attempts = 0;  ///< Local attempts as reported in this epoch.
  double remote_attempts = 0;    ///< Of the other gateways, as last read.
  double mean_remote_attempts = 0;
  double remote_read_s = -1;      ///< When the total was last read; negative: never.
  bool call_pending = false;      ///< A call to the counter is in flight.
  bool report_scheduled = false;  ///< A change is waiting until calls to the counter are allowed.

  static int64_t EpochAt(double wall_clock_s);
  /// @return how long the counter keeps the total.
  static double ExpiryS();

  void BeginEpoch(int64_t new_epoch);
  /// The call that reported `delta` attempts in `call_epoch` has ended.
  void ApplyResponse(int64_t call_epoch, double delta, const CounterResponse& response, double now);

  /// @return the probability that the other gateways have fewer attempts in flight than the cap leaves free.
  /// Their number is taken as Poisson distributed, with a mean that moves from the number last read to its
  /// average; a number that has just been read is taken as exact.
  double CapacityChance(int max_in_flight, double attempt_duration_s, double now) const;
  /// @return the confidence in the number last read: 1 just after the read, decaying to 0.
  double Confidence(double now) const;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_CONCURRENCY_CAP_H_
