/// One customer's rate quota and ceiling, as far as this gateway knows them.
#ifndef LEMONCHUTE_POLICY_QUOTA_TOKEN_BUCKET_H_
#define LEMONCHUTE_POLICY_QUOTA_TOKEN_BUCKET_H_

#include <cstdint>

#include "policy/types.h"

namespace lemonchute::policy {

/// What the limits and rates of a bucket depend on.
struct BucketTerms {
  const PlanSettings& plan;
  double entry_points = 1;         ///< Gateway processes that the customer may arrive through.
  double wall_clock_offset_s = 0;  ///< The gateways' shared clock minus the module's clock.
  bool counter_unavailable = false;
};

/// The bucket is refilled at the guaranteed rate minus the rate at which the other gateways are estimated to
/// forward. The counter keeps a total for each window; window_used_units includes the bucket's state at the
/// window's start.
struct TokenBucket {
  double refilled_s = 0;
  double tokens = 0;          ///< Negative: a debt.
  double ceiling_tokens = 0;  ///< This gateway's part of the ceiling's bucket.
  double remote_units_per_s = 0;
  double local_units_per_s = 0;
  int64_t window = 0;
  double carried_units = 0;      ///< Part of window_used_units: burst minus tokens at the window's start.
  double window_used_units = 0;  ///< Carried over, reported by other gateways, and local.
  double total_units = 0;        ///< Last total read in this window.
  double total_read_s = 0;
  double unreported_units = 0;  ///< Local units; those of a call that timed out count as reported.
  double units_before_first_total = 0;
  bool synchronized = false;  ///< A total has been read, and no window has been missed since.

  /// @param gateway_started_s since when the ceiling's part fills from zero: a gateway that has started can't
  /// know what was used before. So the ceiling is kept after restarts, and with a counter that has lost its
  /// totals.
  void Start(const BucketTerms& terms, double gateway_started_s, double now);
  void Refill(const BucketTerms& terms, double now);
  /// Adopts other terms: units forwarded remain charged, and a debt remains a debt.
  void Rebase(const BucketTerms& terms, double now);
  /// Reduces the ceiling's part to its capacity; it refills over time.
  void LimitCeiling(const BucketTerms& terms);
  /// @param sign 1: units are used; -1: they are returned.
  void Charge(const PlanSettings& plan, double units, double sign);
  /// Applies units that other gateways have forwarded since the last read.
  /// @param local_units of this gateway in the same time.
  void ApplyRemoteUnits(const BucketTerms& terms, double remote_units, double local_units,
                        double since_read_s, double now);

  /// @return units per second that the other gateways are estimated to forward. While the counter is
  /// unavailable, this gateway keeps to its part of the use as last read: if demand rises at all gateways,
  /// each would otherwise admit what the others left unused before.
  double RemoteRate(const BucketTerms& terms) const;
  static int64_t WindowAt(const BucketTerms& terms, double now);
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_TOKEN_BUCKET_H_
