/// Checks the quotas of customers, and shares their use among the gateways through the counter.
#ifndef LEMONCHUTE_POLICY_QUOTA_QUOTA_MANAGER_H_
#define LEMONCHUTE_POLICY_QUOTA_QUOTA_MANAGER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "policy/action_sink.h"
#include "policy/quota/counter_channel.h"
#include "policy/quota/customer_quota.h"
#include "policy/quota/excess_share.h"
#include "policy/random_source.h"
#include "policy/types.h"

namespace lemonchute::policy {

enum class QuotaDecision {
  kInside,  ///< Within the customer's quota, as far as is known.
  kExcess,  ///< Beyond it, but admitted with capacity that others leave unused.
  kOver,    ///< Rejected.
};

/// The result of checking a request against its customer's quota.
struct QuotaCheck {
  QuotaDecision decision = QuotaDecision::kOver;
  double inside_chance = 0;  ///< The chance that the request is inside the quota.
  RejectReason reject_reason = RejectReason::kRateQuota;
};

/// A customer whose call to the counter has ended.
struct CounterUpdate {
  uint64_t customer_id = 0;
  CustomerQuota* customer = nullptr;  ///< nullptr: no longer known.
  bool succeeded = false;
};

/// Owns the customers. A pointer to a CustomerQuota stays valid until ExpireIdle or FindOrCreate. The order
/// of calls for a request: FindOrCreate, UpdatePlan, Check; then either RecordAdmission, or Enqueue and
/// AskCounter.
class QuotaManager {
 public:
  /// @param settings outlives this object; changes are announced by ApplySettings.
  QuotaManager(const Settings& settings, double now) : settings_(settings), started_s_(now) {}

  /// Extends the tables of `prepared` to the plans that its settings have added, and resets the renewed ones.
  void PrepareSettings(const SettingsIndices& renewed, PreparedSettings* prepared) const;
  /// Refills all buckets; before a change of settings, so that the old ones apply up to `now`.
  void RefillAll(double now);
  /// The settings have changed: buckets carry over, reduced to the new limits where these are lower.
  void ApplySettings(const std::vector<PlanSettings>& old_plans, std::vector<double> inside_quota_share,
                     double now);
  /// Sets the offset of the gateways' shared clock; windows have other names at the counter from now on.
  void SetWallClock(double now, double offset_s);
  void SetProcessCount(double now, int processes);
  int process_count() const { return process_count_; }
  void AddIndicesInUse(SettingsIndices* in_use) const;
  /// Forgets customers that have been idle for long enough that their buckets are full.
  void ExpireIdle(double now);

  /// @return nullptr if the customer is new and there is no room for it.
  CustomerQuota* FindOrCreate(const Request& request, double now);
  /// @return nullptr if the customer is unknown.
  CustomerQuota* Find(uint64_t customer_id);
  /// Moves a customer whose plan has been removed from the settings to the plan that its request names.
  /// @return whether `plan_index` is the customer's plan now.
  bool UpdatePlan(CustomerQuota* customer, int plan_index, double now);

  /// Refills the customer's bucket and checks a request against it.
  /// @param mean_service_time_s of the request's class.
  QuotaCheck Check(CustomerQuota* customer, const Request& request, double mean_service_time_s, double now);
  /// @return how long a client that is over its quota should wait.
  double RetryAfterS(const CustomerQuota& customer, const Request& request, double mean_service_time_s,
                     RandomSource* random) const;
  /// Charges a request that is sent to a backend.
  /// @param counter_asked the request has waited for the counter.
  void RecordAdmission(CustomerQuota* customer, double units, bool inside_quota, bool counter_asked,
                       RandomSource* random);
  void RecordAttemptSent(uint64_t customer_id, double now, ActionSink* sink);
  void RecordAttemptEnded(uint64_t customer_id, double now, ActionSink* sink);
  /// Records a successful response, and corrects the units that were charged.
  /// @param actual_units 0: as the request declared.
  void RecordServed(const Request& request, bool inside_quota, double actual_units, double now);
  void MarkOverloaded(double now) { excess_.MarkOverloaded(now); }

  /// @return whether a request should wait some milliseconds for the counter's response: if that may change
  /// the decision and is worth more than the price and congestion of a call.
  bool ShouldWaitForCounter(const CustomerQuota& customer, const Request& request, double inside_chance,
                            double now, RandomSource* random) const;
  /// Adds a request to those that wait for the counter.
  /// @param charged its units are added by the call.
  void Enqueue(CustomerQuota* customer, const Request& request, bool charged);
  /// Calls the counter for the queued requests, unless a call is in flight or not allowed yet.
  void AskCounter(CustomerQuota* customer, const Request& request, double mean_service_time_s, double now,
                  ActionSink* sink);
  /// Removes and returns the queued requests, for a decision on the current state.
  std::vector<QueuedRequest> TakeQueued(CustomerQuota* customer);
  /// Returns the units charged for one of them; they are charged again when it is admitted.
  void ReturnQueuedUnits(CustomerQuota* customer, const QueuedRequest& queued);
  /// Updates the shares of queued requests inside the quota, if the counter was read.
  void RecordQueuedDecision(CustomerQuota* customer, bool inside_quota, bool counter_read);

  CounterUpdate ApplyCounterResponse(const CounterResponse& response, double now, ActionSink* sink);
  /// Reports units to the counter, or reads it, if that is due and allowed.
  void MaybeReportUnits(uint64_t customer_id, CustomerQuota* customer, double now, ActionSink* sink);
  /// Reports a change of attempts in flight, now or as soon as calls are allowed.
  void ReportAttempts(uint64_t customer_id, CustomerQuota* customer, double now, ActionSink* sink);
  /// The timer of kReportTimerTag has expired.
  void ReportScheduledAttempts(double now, ActionSink* sink);

  static constexpr uint64_t kReportTimerTag = 1ULL << 41;
  /// Customers that are known at once. Clients choose the names of customers, so there has to be a limit.
  static constexpr size_t kMaxCustomers = 16384;

 private:
  // Calls to the counter that a query costs on average: one that adds and reads, at times one that corrects
  // it.
  static constexpr double kCallsPerQuery = 1.5;

  const PlanSettings& PlanOf(const CustomerQuota& customer) const {
    return settings_.plans[customer.plan_index];
  }
  // Gateway processes that the customer may arrive through. Those of one gateway share its part of the quota.
  double EntryPoints(const CustomerQuota& customer) const { return customer.entry_gateways * process_count_; }
  bool IsCounterUnavailable() const { return counter_.IsUnavailable(settings_); }
  BucketTerms TermsOf(const CustomerQuota& customer) const {
    return {PlanOf(customer), EntryPoints(customer), wall_clock_offset_s_, IsCounterUnavailable()};
  }
  void Refill(CustomerQuota* customer, double now) { customer->bucket.Refill(TermsOf(*customer), now); }
  double IdleTimeoutS(const PlanSettings& plan) const;
  bool IsInUse(const CustomerQuota& customer) const;
  bool IsRefilled(CustomerQuota* customer, double now);
  bool MakeRoom(double now);
  double UnreportedShare() const;
  void ChargeUnits(CustomerQuota* customer, double units, double sign);
  QuotaCheck CheckConcurrency(const CustomerQuota& customer, double capacity_chance, double now);
  QuotaCheck CheckRate(const CustomerQuota& customer, double units, double capacity_chance, double now);
  bool HasTokens(const CustomerQuota& customer, double units, double prior_chance, double now) const;
  double PriorInsideChance(const CustomerQuota& customer, double units, double now) const;
  double InsideChance(const CustomerQuota& customer, double units, double prior_chance, double now) const;
  void ApplyCounterTotal(const CounterCall& call, CustomerQuota* customer, double total, double now,
                         ActionSink* sink);

  const Settings& settings_;
  const double started_s_;
  double wall_clock_offset_s_ = 0;
  int process_count_ = 1;  // of this gateway
  std::unordered_map<uint64_t, CustomerQuota> customers_;
  std::vector<double> inside_quota_share_;  // of the queued requests, by plan
  CounterChannel counter_;
  ExcessAllocator excess_;
  std::vector<uint64_t> unreported_customers_;  // of ReportScheduledAttempts, each once
  double loss_logged_s_ = -1e9;
  double expired_s_ = 0;
  double made_room_s_ = -1e9;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_QUOTA_MANAGER_H_
