/// Types that the decision module and its callers exchange: settings, events in, actions out.
///
/// Names carry their units: `_s` is seconds, `_units` the operators' units of work, `_per_s` a rate per
/// second.
#ifndef LEMONCHUTE_POLICY_TYPES_H_
#define LEMONCHUTE_POLICY_TYPES_H_

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace lemonchute::policy {

/// Whether a request may run more than once.
enum class Idempotency {
  kIdempotent,     ///< Any number of attempts is safe.
  kWithinWindow,   ///< Backends drop repeats by idempotency key, within a window and a scope.
  kNonIdempotent,  ///< Never sent again once an attempt may have run.
};

/// Which backends share one store of idempotency keys.
enum class IdempotencyScope { kAll, kZone, kCell };

/// One class of requests.
struct ClassSettings {
  double latency_objective_s = 0;  ///< A response within this earns the full priority weight.
  double deadline_s = 0;           ///< The longest that a client waits.
  /// How long backends drop repeats, counted from the first attempt that may have run.
  double idempotency_window_s = 0;
  double priority_weight = 0;   ///< The value of a response within the latency objective.
  double late_value_share = 0;  ///< Share of that value between latency objective and deadline.
  Idempotency idempotency = Idempotency::kIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  bool removed = false;  ///< Only requests that are still in flight refer to this index.
  bool operator==(const ClassSettings&) const = default;
};

/// One plan. Its quotas apply to each customer, over all gateways together.
struct PlanSettings {
  double rate_units_per_s = 0;     ///< Guaranteed rate; 0: no rate quota.
  double burst_units = 0;          ///< Size of the token bucket.
  double ceiling_units_per_s = 0;  ///< Rate that is never exceeded; 0: no ceiling.
  double ceiling_burst_units = 0;
  double ceiling_slack_units = 0;  ///< Tolerated excess over the ceiling.
  double excess_value_share = 0;   ///< Share of the priority weight earned beyond the quota.
  double overage_cost = 0;         ///< Share of the priority weight charged beyond the quota.
  double price = 0;
  int max_in_flight = 0;  ///< Attempts in flight at once; 0: no cap.
  bool removed = false;   ///< Only customers seen before still refer to this index.
};

/// The settings of the deployment and of this gateway.
struct Settings {
  int gateway_index = 0;  ///< From 0.
  int gateway_count = 0;
  int zone = 0;
  double timer_resolution_s = 0;
  bool discovery_pushes = false;  ///< Discovery pushes endpoint lists; otherwise they are polled.
  double max_request_units = 0;
  bool counter_enabled = false;  ///< The gateways share a counter service.
  double counter_timeout_s = 0;
  double counter_call_price = 0;
  double cross_zone_price = 0;
  bool cancellation_allowed = false;
  bool hedging_allowed = false;
  bool retry_after_allowed = false;  ///< A rejection may carry Retry-After.
  double max_retry_after_s = 0;
  int max_attempts = 0;
  double cold_capacity_share = 0;     ///< Share of its full capacity that a backend has when it starts.
  double warm_up_s = 0;               ///< Time from start to full capacity.
  double cold_overload_multiple = 0;  ///< Load over capacity at which a cold backend collapses.
  double cold_overload_window_s = 0;
  double endpoint_poll_interval_s = 0;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
};

enum class EndpointState { kRemoved, kReady, kDraining };

/// One backend, as discovery reports it.
struct Endpoint {
  uint32_t id = 0;
  EndpointState state = EndpointState::kReady;
  int kind = 0;
  int zone = 0;
  int cell = 0;
  double weight = 0;
  double started_s = 0;  ///< Clock of its last start; 0: long ago.
};

/// What an endpoint list holds.
enum class EndpointListKind {
  kDelta,     ///< Only the endpoints that changed.
  kSnapshot,  ///< All endpoints.
  kCached,    ///< All endpoints, from a cache.
  kFailed,    ///< None: discovery could not be reached.
};

/// A request that has arrived.
struct Request {
  uint32_t id = 0;
  int class_index = 0;
  int plan_index = 0;
  uint64_t customer_id = 0;
  double time_left_s = 0;  ///< Until the client's deadline.
  double units = 0;
  double entry_gateways = 1;  ///< Gateways that this customer may arrive through.
};

enum class AttemptResult {
  kOk,             ///< Status 200.
  kError,          ///< Another status; the request may have run.
  kOverloaded,     ///< Status 503 or 504 that says that the request was not started.
  kTimeout,        ///< Written completely, and no response in time.
  kConnectFailed,  ///< No connection, or the time was over before the request was written completely.
  kReset,          ///< The connection broke; the request may have run.
  kCancelled,      ///< Cancelled after it was written completely.
  kNotSent,        ///< Held back by the gateway, or cancelled before it was written completely.
};

/// @return whether an attempt with this result may have taken effect at the backend.
constexpr bool MayHaveRun(AttemptResult result) {
  return result != AttemptResult::kOverloaded && result != AttemptResult::kConnectFailed &&
         result != AttemptResult::kNotSent;
}

/// Longest time that the process is assumed to be descheduled between reading its clock and writing.
inline constexpr double kMaxProcessStallS = 0.15;

/// The end of one attempt.
struct AttemptOutcome {
  uint32_t request_id = 0;
  int attempt_index = 0;  ///< From 0, in the order of sending.
  double duration_s = 0;
  AttemptResult result = AttemptResult::kOk;
  bool request_finished = false;
  uint32_t backend_id = 0;
  double actual_units = 0;  ///< 0: not reported.
  /// Time not spent by the backend: until the last byte of a request that arrived in pieces was sent, or
  /// until a connection was available.
  double upload_s = 0;
  bool body_discarded = false;  ///< The body is gone, so the request can't be sent again.
};

/// The counter service's response to ActionKind::kCallCounter.
struct CounterResponse {
  uint64_t counter_name = 0;
  double total = 0;  ///< Of the counter, including the call's delta.
  AttemptResult result = AttemptResult::kOk;
};

/// Why a request was rejected or failed.
enum class RejectReason {
  kInvalidRequest,     ///< Its fields are invalid, or its time is over.
  kRateQuota,          ///< Beyond its customer's rate quota, as far as this gateway knows.
  kCeiling,            ///< Beyond this gateway's part of the ceiling.
  kConcurrencyCap,     ///< Its customer has as many attempts in flight as its plan allows.
  kLoadShed,           ///< Capacity is reserved for requests of higher value.
  kNoBackend,          ///< No backend may take it now.
  kTooManyCustomers,   ///< Its customer is new, and as many as can be known are in use.
  kAttemptsExhausted,  ///< Its attempts have failed and none is left.
  kCount,
};

enum class ActionKind {
  kSendAttempt,
  kCancelAttempt,
  kReject,  ///< The request was not run, or may be sent again by its client.
  kFail,    ///< The request may have run.
  kStartTimer,
  kCallCounter,
  kLog,
  kPollEndpoints
};

/// One operation for the caller to carry out.
struct Action {
  ActionKind kind = ActionKind::kLog;
  uint32_t request_id = 0;
  uint32_t backend_id = 0;
  int attempt_index = 0;
  uint64_t tag = 0;          ///< The timer's tag, or the counter's name.
  double duration_s = 0;     ///< Attempt timeout, timer delay, Retry-After or counter expiry.
  double counter_delta = 0;  ///< Added to the counter.
  RejectReason reason = RejectReason::kInvalidRequest;  ///< Of kReject and kFail.
  /// Of kSendAttempt: time within which it must start, so that a repeat is still dropped; 0: no limit.
  double start_within_s = 0;
  std::string text;  ///< Of kLog.
};
using Actions = std::vector<Action>;

/// Indices of the settings' lists that are still referred to: classes, plans, zones and kinds of backends.
struct SettingsIndices {
  std::unordered_set<int> classes, plans, zones, kinds;
};

/// Settings with everything that a change to them has to allocate, so that the change itself can't fail.
struct PreparedSettings {
  Settings settings;
  std::vector<double> mean_service_time_s, mean_units, longest_time_left_s, inside_quota_share;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_TYPES_H_
