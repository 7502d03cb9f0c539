#include "policy/quota/quota_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/quota/plan_terms.h"

namespace lemonchute::policy {
namespace {

// A customer is forgotten after it has been idle for both times.
constexpr double kIdleWindows = 3;
constexpr double kMinIdleS = 10;
constexpr double kExpiryIntervalS = kMinIdleS / 10;
// Least time between two searches for customers that can be forgotten early.
constexpr double kMakeRoomIntervalS = 0.1;
// Share of queued requests taken to be inside the quota before any has been decided.
constexpr double kInitialInsideShare = 0.7;
// Weight of one queued request in that share of its plan, and of its customer.
constexpr double kPlanInsideWeight = 0.05;
constexpr double kCustomerInsideWeight = 0.3;
// Time left that a request needs in order to wait for the counter, as a multiple of the counter's timeout.
constexpr double kMinTimeLeftTimeouts = 4;
// Chance of capacity under a concurrency cap above which the counter is not asked.
constexpr double kCertainCapacityChance = 0.9;
// Variance of the tokens just after a read, and the factor of its growth with the units of other gateways.
constexpr double kBaseVariance = 0.01;
constexpr double kVarianceShare = 0.5;
// Scale at which the logistic function is close to the normal distribution.
constexpr double kLogisticScale = 1.7;
// Demand over the guaranteed rate up to which only the past decisions count.
constexpr double kUsualDemandShare = 0.5;
// Least value of the random factors, which are spread over a range of 1.
constexpr double kMinJitter = 0.5;

}  // namespace

void QuotaManager::PrepareSettings(const SettingsIndices& renewed, PreparedSettings* prepared) const {
  prepared->inside_quota_share = inside_quota_share_;
  prepared->inside_quota_share.resize(prepared->settings.plans.size(), kInitialInsideShare);
  for (int index : renewed.plans) prepared->inside_quota_share[index] = kInitialInsideShare;
}

void QuotaManager::RefillAll(double now) {
  for (auto& [id, customer] : customers_) Refill(&customer, now);
}

void QuotaManager::ApplySettings(const std::vector<PlanSettings>& old_plans,
                                 std::vector<double> inside_quota_share, double now) {
  inside_quota_share_ = std::move(inside_quota_share);
  for (auto& [id, customer] : customers_) {
    const PlanSettings& plan = PlanOf(customer);
    const PlanSettings& old_plan = old_plans[customer.plan_index];
    customer.bucket.LimitCeiling(TermsOf(customer));
    if (plan.rate_units_per_s != old_plan.rate_units_per_s || plan.burst_units != old_plan.burst_units)
      customer.bucket.Rebase(TermsOf(customer), now);
  }
}

void QuotaManager::SetWallClock(double now, double offset_s) {
  RefillAll(now);
  wall_clock_offset_s_ = offset_s;
  for (auto& [id, customer] : customers_) customer.bucket.Rebase(TermsOf(customer), now);
}

void QuotaManager::SetProcessCount(double now, int processes) {
  RefillAll(now);
  process_count_ = std::max(1, processes);
  for (auto& [id, customer] : customers_) customer.bucket.LimitCeiling(TermsOf(customer));
}

void QuotaManager::AddIndicesInUse(SettingsIndices* in_use) const {
  for (const auto& [id, customer] : customers_) in_use->plans.insert(customer.plan_index);
}

double QuotaManager::IdleTimeoutS(const PlanSettings& plan) const {
  double idle_s = std::max(kMinIdleS, plan.rate_units_per_s > 0 ? kIdleWindows * WindowS(plan) : 0);
  if (plan.ceiling_units_per_s <= 0) return idle_s;
  return std::max(idle_s,
                  2 * (plan.ceiling_burst_units + plan.ceiling_slack_units) / plan.ceiling_units_per_s);
}

void QuotaManager::ExpireIdle(double now) {
  if (now - expired_s_ < kExpiryIntervalS) return;
  expired_s_ = now;
  std::erase_if(customers_, [&](const auto& entry) {
    const CustomerQuota& customer = entry.second;
    return now > customer.last_seen_s + IdleTimeoutS(PlanOf(customer)) && !IsInUse(customer);
  });
}

bool QuotaManager::IsInUse(const CustomerQuota& customer) const {
  return customer.IsCallPending() || customer.cap.local_attempts > 0 || !customer.queued.empty();
}

bool QuotaManager::IsRefilled(CustomerQuota* customer, double now) {
  Refill(customer, now);
  const PlanSettings& plan = PlanOf(*customer);
  return customer->bucket.tokens >= plan.burst_units &&
         customer->bucket.ceiling_tokens >= CeilingCapacity(plan) / EntryPoints(*customer);
}

// Forgets customers that are not idle for long, but would start with the same tokens again.
bool QuotaManager::MakeRoom(double now) {
  if (now - made_room_s_ < kMakeRoomIntervalS) return false;
  made_room_s_ = now;
  for (auto entry = customers_.begin(); entry != customers_.end();) {
    bool forgettable = !IsInUse(entry->second) && IsRefilled(&entry->second, now);
    entry = forgettable ? customers_.erase(entry) : std::next(entry);
  }
  return customers_.size() < kMaxCustomers;
}

CustomerQuota* QuotaManager::FindOrCreate(const Request& request, double now) {
  if (customers_.size() >= kMaxCustomers && customers_.count(request.customer_id) == 0 && !MakeRoom(now))
    return nullptr;
  auto [entry, created] = customers_.try_emplace(request.customer_id);
  CustomerQuota& customer = entry->second;
  if (created) {
    customer.plan_index = request.plan_index;
    customer.inside_quota_share = inside_quota_share_[request.plan_index];
    customer.entry_gateways =
        std::clamp(request.entry_gateways, 1.0, static_cast<double>(std::max(1, settings_.gateway_count)));
    customer.first_seen_s = now;
    customer.bucket.Start(TermsOf(customer), started_s_, now);
  }
  customer.last_seen_s = now;
  customer.total_demand_units += request.units;
  return &customer;
}

CustomerQuota* QuotaManager::Find(uint64_t customer_id) {
  auto found = customers_.find(customer_id);
  return found == customers_.end() ? nullptr : &found->second;
}

bool QuotaManager::UpdatePlan(CustomerQuota* customer, int plan_index, double now) {
  if (customer->plan_index == plan_index) return true;
  if (!PlanOf(*customer).removed) return false;
  Refill(customer, now);
  customer->plan_index = plan_index;
  customer->inside_quota_share = inside_quota_share_[plan_index];
  customer->bucket.Rebase(TermsOf(*customer), now);
  return true;
}

QuotaCheck QuotaManager::Check(CustomerQuota* customer, const Request& request, double mean_service_time_s,
                               double now) {
  const PlanSettings& plan = PlanOf(*customer);
  Refill(customer, now);
  excess_.RecordDemand(&customer->excess, request.units, customer->bucket.tokens, plan.burst_units, now);
  QuotaCheck over_ceiling{QuotaDecision::kOver, 0, RejectReason::kCeiling};
  if (plan.ceiling_units_per_s > 0 && customer->bucket.ceiling_tokens < request.units) return over_ceiling;
  if (plan.rate_units_per_s <= 0 && plan.max_in_flight <= 0)  // no quota
    return {QuotaDecision::kInside, 1, RejectReason::kConcurrencyCap};
  double capacity_chance = 1;
  if (plan.max_in_flight > 0)
    capacity_chance = customer->cap.CapacityChance(plan.max_in_flight, mean_service_time_s, now);
  return plan.rate_units_per_s <= 0 ? CheckConcurrency(*customer, capacity_chance, now)
                                    : CheckRate(*customer, request.units, capacity_chance, now);
}

// As the number last read ages, the chance moves from what it implies to the share of earlier queued requests
// that were inside the quota. While the counter is unavailable, the number last read continues to apply.
QuotaCheck QuotaManager::CheckConcurrency(const CustomerQuota& customer, double capacity_chance, double now) {
  const PlanSettings& plan = PlanOf(customer);
  double confidence = 1;
  if (EntryPoints(customer) >= 2) {
    bool holds = customer.cap.remote_read_s >= 0 && IsCounterUnavailable();
    confidence = holds ? 1 : customer.cap.Confidence(now);
  }
  QuotaCheck check{QuotaDecision::kInside, 0, RejectReason::kConcurrencyCap};
  if (customer.cap.local_attempts < plan.max_in_flight)
    check.inside_chance = confidence * capacity_chance + (1 - confidence) * customer.inside_quota_share;
  double overage_loss = OverageLoss(plan);
  if (check.inside_chance * (1 + overage_loss) >= overage_loss) return check;
  bool excess = IsExcessProfitable(plan) && !excess_.IsOverloaded(now);
  check.decision = excess ? QuotaDecision::kExcess : QuotaDecision::kOver;
  return check;
}

QuotaCheck QuotaManager::CheckRate(const CustomerQuota& customer, double units, double capacity_chance,
                                   double now) {
  const PlanSettings& plan = PlanOf(customer);
  const TokenBucket& bucket = customer.bucket;
  double overage_loss = OverageLoss(plan);
  double prior_chance = PriorInsideChance(customer, units, now);
  QuotaCheck check{QuotaDecision::kInside, 0, RejectReason::kRateQuota};
  check.inside_chance = InsideChance(customer, units, prior_chance, now) * std::min(1.0, capacity_chance);
  if (capacity_chance * (1 + overage_loss) >= overage_loss && HasTokens(customer, units, prior_chance, now))
    return check;
  bool excess = IsExcessProfitable(plan) && bucket.tokens + customer.excess.granted_units >= units &&
                !excess_.IsOverloaded(now);
  check.decision = excess ? QuotaDecision::kExcess : QuotaDecision::kOver;
  return check;
}

bool QuotaManager::HasTokens(const CustomerQuota& customer, double units, double prior_chance,
                             double now) const {
  const PlanSettings& plan = PlanOf(customer);
  const TokenBucket& bucket = customer.bucket;
  if (bucket.tokens < units) return false;
  double even_part_units =
      (plan.burst_units + plan.rate_units_per_s * (now - customer.first_seen_s)) / EntryPoints(customer);
  if (!bucket.synchronized && bucket.units_before_first_total > 0 &&
      bucket.units_before_first_total + units > even_part_units)
    return false;
  if (bucket.window_used_units + units > plan.burst_units + plan.rate_units_per_s * WindowS(plan))
    return false;
  double overage_loss = OverageLoss(plan);
  return bucket.synchronized || EntryPoints(customer) < 2 ||
         prior_chance * (1 + overage_loss) >= overage_loss;
}

// Chance for a customer whose total has not been read: the share of earlier queued requests that were inside
// the quota, reduced if the demand at this gateway is higher than usual.
double QuotaManager::PriorInsideChance(const CustomerQuota& customer, double units, double now) const {
  double demand_units_per_s = (customer.total_demand_units - units) * EntryPoints(customer) /
                              (now - customer.first_seen_s + kMinIdleS);
  double excess_demand =
      std::max(0.0, demand_units_per_s / PlanOf(customer).rate_units_per_s - kUsualDemandShare);
  return customer.inside_quota_share / (1 + (IsCounterUnavailable() ? 0 : excess_demand));
}

// Moves from the state last read to the prior chance as the read ages. While the counter is unavailable, this
// gateway's part of the quota continues to apply.
double QuotaManager::InsideChance(const CustomerQuota& customer, double units, double prior_chance,
                                  double now) const {
  const TokenBucket& bucket = customer.bucket;
  bool single_entry = EntryPoints(customer) < 2;
  double since_read_s = now - bucket.total_read_s;
  double confidence = 0;
  if (bucket.synchronized)
    confidence =
        single_entry || IsCounterUnavailable() ? 1 : std::exp(-since_read_s / WindowS(PlanOf(customer)));
  double std_deviation =
      std::sqrt(kBaseVariance + kVarianceShare * settings_.max_request_units *
                                    (single_entry ? 0 : bucket.remote_units_per_s) * since_read_s);
  double deviations = (bucket.tokens - units) / std_deviation;
  return confidence / (1 + std::exp(-kLogisticScale * deviations)) + (1 - confidence) * prior_chance;
}

// A client of a customer whose plan has no rate, or whose bucket is known to lack tokens, is told to wait for
// the longest time that clients honour. If the plan has a rate and the bucket may have tokens (its
// concurrency cap is reached, the ceiling's part is used up, the counter has not been read), the client's
// next request may well be admitted, here or at another gateway, and one that waits for longer than its
// latency objective is lost: the client is told to return in about the time of a response, with jitter, so
// that clients rejected together don't return together.
double QuotaManager::RetryAfterS(const CustomerQuota& customer, const Request& request,
                                 double mean_service_time_s, RandomSource* random) const {
  bool known = customer.bucket.synchronized || EntryPoints(customer) < 2;
  if (PlanOf(customer).rate_units_per_s <= 0 || (known && customer.bucket.tokens < request.units))
    return settings_.max_retry_after_s;
  return std::min(settings_.max_retry_after_s, mean_service_time_s * (kMinJitter + random->Uniform()));
}

// Without a rate quota, a queued request is counted as an attempt in flight.
void QuotaManager::ChargeUnits(CustomerQuota* customer, double units, double sign) {
  const PlanSettings& plan = PlanOf(*customer);
  if (plan.rate_units_per_s > 0)
    customer->bucket.Charge(plan, units, sign);
  else
    customer->cap.local_attempts += sign > 0 ? 1 : -1;
}

void QuotaManager::RecordAdmission(CustomerQuota* customer, double units, bool inside_quota,
                                   bool counter_asked, RandomSource* random) {
  const PlanSettings& plan = PlanOf(*customer);
  TokenBucket& bucket = customer->bucket;
  if (plan.ceiling_units_per_s > 0) bucket.ceiling_tokens -= units;
  if (plan.rate_units_per_s <= 0) return;
  if (!inside_quota) {
    customer->excess.granted_units -= std::max(0.0, units - std::max(0.0, bucket.tokens));
    return;
  }
  ChargeUnits(customer, units, 1);
  if (counter_asked || EntryPoints(*customer) <= 1) return;
  // Only a sample of the requests is reported, scaled up to stand for the rest.
  double reported_share = 1 - UnreportedShare() * (1 - 1 / EntryPoints(*customer));
  bucket.unreported_units += units * ((random->Uniform() < reported_share ? 1 / reported_share : 0) - 1);
}

void QuotaManager::RecordAttemptSent(uint64_t customer_id, double now, ActionSink* sink) {
  CustomerQuota* customer = Find(customer_id);
  if (customer == nullptr) return;
  ++customer->cap.local_attempts;
  ReportAttempts(customer_id, customer, now, sink);
}

void QuotaManager::RecordAttemptEnded(uint64_t customer_id, double now, ActionSink* sink) {
  CustomerQuota* customer = Find(customer_id);
  if (customer == nullptr) return;
  Refill(customer, now);
  customer->cap.local_attempts = std::max(0, customer->cap.local_attempts - 1);
  ReportAttempts(customer_id, customer, now, sink);
}

void QuotaManager::RecordServed(const Request& request, bool inside_quota, double actual_units, double now) {
  excess_.RecordServed(request.units, now);
  if (actual_units <= 0 || !inside_quota) return;
  CustomerQuota* customer = Find(request.customer_id);
  if (customer != nullptr && PlanOf(*customer).rate_units_per_s > 0)
    ChargeUnits(customer, actual_units - request.units, 1);
}

bool QuotaManager::ShouldWaitForCounter(const CustomerQuota& customer, const Request& request,
                                        double inside_chance, double now, RandomSource* random) const {
  const PlanSettings& plan = PlanOf(customer);
  if (!settings_.counter_enabled || IsExcessProfitable(plan) || EntryPoints(customer) < 2) return false;
  if (request.time_left_s < kMinTimeLeftTimeouts * settings_.counter_timeout_s) return false;
  double gain =
      std::min(inside_chance, (1 - inside_chance) * OverageLoss(plan)) * (kMinJitter + random->Uniform());
  if (gain < kCallsPerQuery * settings_.counter_call_price + counter_.congestion()) return false;
  return now >= counter_.next_call_s() || customer.IsCallPending();
}

void QuotaManager::Enqueue(CustomerQuota* customer, const Request& request, bool charged) {
  if (charged) ChargeUnits(customer, request.units, 1);
  customer->queued.push_back({request.id, request.units, charged});
}

void QuotaManager::AskCounter(CustomerQuota* customer, const Request& request, double mean_service_time_s,
                              double now, ActionSink* sink) {
  // If the cap may be reached, its total is read as well. Without attempts of its own, this gateway would
  // otherwise rely forever on the number it last read, and two gateways could each reject on account of the
  // other's attempts.
  const PlanSettings& plan = PlanOf(*customer);
  bool cap_in_doubt =
      customer->cap.local_attempts < plan.max_in_flight &&
      customer->cap.CapacityChance(plan.max_in_flight, mean_service_time_s, now) < kCertainCapacityChance;
  if (plan.rate_units_per_s <= 0 || cap_in_doubt) ReportAttempts(request.customer_id, customer, now, sink);
  MaybeReportUnits(request.customer_id, customer, now, sink);
}

std::vector<QueuedRequest> QuotaManager::TakeQueued(CustomerQuota* customer) {
  return std::exchange(customer->queued, {});
}

void QuotaManager::ReturnQueuedUnits(CustomerQuota* customer, const QueuedRequest& queued) {
  if (queued.charged) ChargeUnits(customer, queued.units, -1);
}

void QuotaManager::RecordQueuedDecision(CustomerQuota* customer, bool inside_quota, bool counter_read) {
  if (!counter_read) return;
  double inside = inside_quota ? 1 : 0;
  double& plan_share = inside_quota_share_[customer->plan_index];
  plan_share += kPlanInsideWeight * (inside - plan_share);
  customer->inside_quota_share += kCustomerInsideWeight * (inside - customer->inside_quota_share);
}

}  // namespace lemonchute::policy
