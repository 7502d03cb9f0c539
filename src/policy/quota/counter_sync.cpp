// QuotaManager's side of the counter: when units and attempts are reported, and what a total changes.
#include <algorithm>
#include <cmath>

#include "policy/quota/plan_terms.h"
#include "policy/quota/quota_manager.h"

namespace lemonchute::policy {
namespace {

// Share of the tokens left, divided by the entry points, that may be used without a report.
constexpr double kReportBatchShare = 0.25;
// Windows after which unreported units are reported anyway.
constexpr double kMaxUnreportedWindows = 0.25;
// Share of admitted requests that are not reported, per unit of a call's price and congestion; its maximum.
constexpr double kUnreportedSharePerCallPrice = 5;
constexpr double kMaxUnreportedShare = 0.8;
// The total of a customer is read for the first time only while less than this share is not reported.
constexpr double kMaxUnreportedShareForRead = 0.5;
// Windows for which the counter keeps a total: when units are reported, and when the previous window is read.
constexpr double kExpiryWindows = 3;
constexpr double kLastWindowExpiryWindows = 2;
// Units below which a total is treated as zero.
constexpr double kZeroUnitsTolerance = 1e-3;
constexpr double kLossLogIntervalS = 5;

}  // namespace

// Reports are sampled: a customer that each of many gateways sees once would otherwise never be reported, or
// take a call each time.
double QuotaManager::UnreportedShare() const {
  return std::min(kMaxUnreportedShare,
                  kUnreportedSharePerCallPrice * (counter_.congestion() + settings_.counter_call_price));
}

void QuotaManager::MaybeReportUnits(uint64_t customer_id, CustomerQuota* customer, double now,
                                    ActionSink* sink) {
  const PlanSettings& plan = PlanOf(*customer);
  TokenBucket& bucket = customer->bucket;
  if (!settings_.counter_enabled || plan.rate_units_per_s <= 0) return;
  if (customer->units_call_pending || now < counter_.next_call_s()) return;
  double since_read_s = now - bucket.total_read_s;
  double tokens_left = std::max(0.0, bucket.tokens);
  double batch_units = std::max(1.0, kReportBatchShare * tokens_left / EntryPoints(*customer));
  bool first_read = !bucket.synchronized && UnreportedShare() < kMaxUnreportedShareForRead;
  bool overdue = bucket.unreported_units > 0 && since_read_s > kMaxUnreportedWindows * WindowS(plan);
  if (!first_read && !overdue && std::fabs(bucket.unreported_units) < batch_units && customer->queued.empty())
    return;
  CounterCall call{customer_id, bucket.window, bucket.unreported_units, false, now};
  if (!counter_.Send(call, kExpiryWindows * WindowS(plan), settings_.gateway_count, sink)) return;
  customer->units_call_pending = true;
  bucket.unreported_units = 0;
}

void QuotaManager::ReportAttempts(uint64_t customer_id, CustomerQuota* customer, double now,
                                  ActionSink* sink) {
  ConcurrencyCap& cap = customer->cap;
  if (!settings_.counter_enabled || PlanOf(*customer).max_in_flight <= 0) return;
  if (EntryPoints(*customer) < 2 || cap.call_pending) return;
  cap.BeginEpoch(ConcurrencyCap::EpochAt(now + wall_clock_offset_s_));
  double delta = cap.local_attempts - cap.reported_attempts;
  if (delta == 0 && customer->queued.empty()) return;
  if (now >= counter_.next_call_s()) {
    CounterCall call{customer_id, cap.epoch, delta, true, now};
    cap.call_pending = counter_.Send(call, ConcurrencyCap::ExpiryS(), settings_.gateway_count, sink);
    return;
  }
  // Reported as soon as calls are allowed, or other gateways would keep counting attempts that have ended.
  if (cap.report_scheduled) return;
  cap.report_scheduled = true;
  unreported_customers_.push_back(customer_id);
  if (unreported_customers_.size() == 1)
    sink->StartTimer(std::max(settings_.timer_resolution_s, counter_.next_call_s() - now), kReportTimerTag);
}

void QuotaManager::ReportScheduledAttempts(double now, ActionSink* sink) {
  std::vector<uint64_t> customer_ids;
  customer_ids.swap(unreported_customers_);
  for (uint64_t customer_id : customer_ids) {
    CustomerQuota* customer = Find(customer_id);
    if (customer == nullptr) continue;
    customer->cap.report_scheduled = false;
    ReportAttempts(customer_id, customer, now, sink);
  }
}

CounterUpdate QuotaManager::ApplyCounterResponse(const CounterResponse& response, double now,
                                                 ActionSink* sink) {
  std::optional<CounterCall> call = counter_.Take(response.counter_name);
  if (!call.has_value()) return {};
  CustomerQuota* customer = Find(call->customer_id);
  if (customer == nullptr) return {};
  Refill(customer, now);
  (call->counts_attempts ? customer->cap.call_pending : customer->units_call_pending) = false;
  bool succeeded = response.result == AttemptResult::kOk;
  counter_.RecordResult(*call, succeeded, settings_, now, sink);
  TokenBucket& bucket = customer->bucket;
  if (call->counts_attempts) {
    customer->cap.ApplyResponse(call->window, call->delta, response, now);
  } else if (succeeded) {
    if (call->window == bucket.window) ApplyCounterTotal(*call, customer, response.total, now, sink);
    // A read of the previous window: use there beyond the bucket's size is a debt in this one.
    const PlanSettings& plan = PlanOf(*customer);
    double debt_units = std::clamp(response.total - plan.burst_units, 0.0, plan.burst_units);
    if (call->window + 1 == bucket.window && call->delta == 0) ChargeUnits(customer, debt_units, 1);
  } else if (response.result != AttemptResult::kTimeout) {
    bucket.unreported_units += call->delta;
  }
  return {call->customer_id, customer, succeeded};
}

void QuotaManager::ApplyCounterTotal(const CounterCall& call, CustomerQuota* customer, double total,
                                     double now, ActionSink* sink) {
  const PlanSettings& plan = PlanOf(*customer);
  TokenBucket& bucket = customer->bucket;
  double remote_units = total - bucket.total_units - call.delta;
  double since_read_s = now - bucket.total_read_s;
  bucket.total_read_s = now;
  bucket.total_units = total;
  if (remote_units < -settings_.max_request_units) {
    // Totals hardly ever fall within a window, so the counter has lost some: the bucket keeps its state. This
    // applies to counters that were lost, emptied or restarted alike.
    if (now - loss_logged_s_ > kLossLogIntervalS)
      sink->Log("counter has lost counts: keeping what was known");
    loss_logged_s_ = now;
    return;
  }
  // The first report in a window carries the bucket's state over for all gateways, most of which see the
  // customer too seldom to know it; a gateway that does not know it reads the previous window. If both fail,
  // a full bucket is assumed.
  bool first_of_window =
      remote_units < kZeroUnitsTolerance && total > 0 && total - call.delta < kZeroUnitsTolerance;
  if (first_of_window && bucket.synchronized) bucket.unreported_units += bucket.carried_units;
  double read_cost = kCallsPerQuery * settings_.counter_call_price + counter_.congestion();
  if (first_of_window && !bucket.synchronized &&
      (1 - customer->inside_quota_share) * OverageLoss(plan) > read_cost) {
    CounterCall read{call.customer_id, bucket.window - 1, 0, false, now};
    customer->units_call_pending =
        counter_.Send(read, kLastWindowExpiryWindows * WindowS(plan), settings_.gateway_count, sink);
  }
  bucket.ApplyRemoteUnits(TermsOf(*customer), remote_units, call.delta, since_read_s, now);
}

}  // namespace lemonchute::policy
