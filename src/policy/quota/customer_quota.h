/// The state of one customer.
#ifndef LEMONCHUTE_POLICY_QUOTA_CUSTOMER_QUOTA_H_
#define LEMONCHUTE_POLICY_QUOTA_CUSTOMER_QUOTA_H_

#include <cstdint>
#include <vector>

#include "policy/quota/concurrency_cap.h"
#include "policy/quota/excess_share.h"
#include "policy/quota/token_bucket.h"

namespace lemonchute::policy {

/// A request that waits for the counter's response.
struct QueuedRequest {
  uint32_t request_id = 0;
  double units = 0;
  bool charged = false;  ///< The call adds its units; otherwise it only reads.
};

/// What this gateway knows of one customer's use.
struct CustomerQuota {
  int plan_index = 0;
  double entry_gateways = 1;  ///< Gateways that it may arrive through.
  double first_seen_s = 0;
  double last_seen_s = 0;
  double total_demand_units = 0;    ///< Since it was first seen.
  double inside_quota_share = 1;    ///< Share of its queued requests that were found inside the quota.
  bool units_call_pending = false;  ///< A call to the counter for its units is in flight.
  TokenBucket bucket;
  ConcurrencyCap cap;
  ExcessShare excess;
  std::vector<QueuedRequest> queued;  ///< In the order of arrival.

  bool IsCallPending() const { return units_call_pending || cap.call_pending; }
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_CUSTOMER_QUOTA_H_
