/// One customer's rate quota and ceiling, as far as this gateway knows them.
#ifndef LEMONCHUTE_POLICY_QUOTA_TOKEN_BUCKET_H_
#define LEMONCHUTE_POLICY_QUOTA_TOKEN_BUCKET_H_

#include <cstdint>

#include "policy/types.h"

namespace lemonchute::policy {

/// What a bucket's figures depend on.
struct BucketTerms {
  const PlanSettings& plan;
  double entry_points = 1;         ///< Gateway processes that the customer may arrive through.
  double wall_clock_offset_s = 0;  ///< The gateways' shared clock less the module's clock.
  bool counter_unavailable = false;
};

/// The bucket is refilled at the guaranteed rate, less what the other gateways are taken to forward. The
/// counter keeps a total for each window; the window's used units carry the bucket's state at the window's
/// start.
struct TokenBucket {
  double refilled_s = 0;
  double tokens = 0;          ///< Negative: a debt.
  double ceiling_tokens = 0;  ///< This gateway's part of the ceiling's bucket.
  double remote_units_per_s = 0;
  double local_units_per_s = 0;
  int64_t window = 0;
  double carried_units = 0;      ///< Of window_used_units: burst less tokens at the window's start.
  double window_used_units = 0;  ///< Carried, reported by others, and local.
  double total_units = 0;        ///< Last total read in this window.
  double total_read_s = 0;
  double unreported_units = 0;  ///< Local units; those of a call that timed out count as reported.
  double units_before_first_total = 0;
  bool synchronized = false;  ///< A total has been read, and nothing has been missed since.

  /// @param gateway_started_s the ceiling's part fills from zero since then: nothing tells a gateway that has
  /// started what was used before. This holds after restarts, and with a counter that has lost its totals.
  void Start(const BucketTerms& terms, double gateway_started_s, double now);
  void Refill(const BucketTerms& terms, double now);
  /// Adopts other terms: what was forwarded stays forwarded, and a debt stays a debt.
  void Rebase(const BucketTerms& terms, double now);
  /// Cuts the ceiling's part to its capacity; time fills it again.
  void LimitCeiling(const BucketTerms& terms);
  /// @param sign 1: units are used; -1: they are returned.
  void Charge(const PlanSettings& plan, double units, double sign);
  /// Applies units that other gateways have forwarded since the last read.
  /// @param local_units of this gateway in the same time.
  void ApplyRemoteUnits(const BucketTerms& terms, double remote_units, double local_units,
                        double since_read_s, double now);

  /// @return units a second that the other gateways are taken to forward. While the counter is unavailable,
  /// this gateway keeps to its part of the use as last read, so that a rise everywhere does not make each
  /// gateway pass what the others left before.
  double RemoteRate(const BucketTerms& terms) const;
  static int64_t WindowAt(const BucketTerms& terms, double now);
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_TOKEN_BUCKET_H_
