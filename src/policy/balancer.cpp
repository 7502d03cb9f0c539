#include "policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "policy/action_sink.h"
#include "policy/backend_selector.h"
#include "policy/in_flight_request.h"
#include "policy/load_shedder.h"
#include "policy/outcome_recorder.h"
#include "policy/quota/quota_manager.h"
#include "policy/random_source.h"
#include "policy/retry_policy.h"
#include "policy/service_time_estimates.h"

namespace lemonchute::policy {
namespace {

// Least chance of being inside the quota at which a queued request's units are added by the call to the
// counter.
constexpr double kMinInsideChanceToCharge = 0.5;
// Longest delay before a failed poll for endpoints is repeated.
constexpr double kMaxPollRetryS = 1.0;
constexpr uint64_t kPollTimerTag = 1ULL << 40;

}  // namespace

// Applies quotas first, then load shedding, then the choice of a backend.
class Balancer::Impl {
 public:
  Impl(const Settings& settings, uint64_t seed, double now, ActionSink* sink)
      : settings_(settings),
        random_(seed),
        quota_(settings_, now),
        recorder_(&estimates_, &selector_, &shedder_, &quota_, &random_) {
    PreparedSettings prepared = PrepareSettings(settings, {});
    estimates_.TakeFrom(&prepared);
    quota_.ApplySettings(settings_.plans, std::move(prepared.inside_quota_share), now);
    if (!settings_.discovery_pushes) sink->Append(ActionKind::kPollEndpoints);
  }

  PreparedSettings PrepareSettings(const Settings& settings, const SettingsIndices& renewed) const {
    PreparedSettings prepared;
    prepared.settings = settings;
    estimates_.CopyTo(&prepared);
    ServiceTimeEstimates::Extend(&prepared);
    for (int index : renewed.classes) ServiceTimeEstimates::Reset(&prepared, index);
    quota_.PrepareSettings(renewed, &prepared);
    return prepared;
  }

  SettingsIndices IndicesInUse() const {
    SettingsIndices in_use;
    quota_.AddIndicesInUse(&in_use);
    for (const auto& [id, active] : in_flight_requests_) {
      in_use.classes.insert(active.request.class_index);
      in_use.plans.insert(active.request.plan_index);
      in_use.zones.insert(active.run_zone);
    }
    selector_.AddIndicesInUse(&in_use);
    return in_use;
  }

  void OnSettings(double now, PreparedSettings&& prepared) noexcept {
    quota_.RefillAll(now);
    const std::vector<PlanSettings> old_plans = std::exchange(settings_, std::move(prepared.settings)).plans;
    estimates_.TakeFrom(&prepared);
    quota_.ApplySettings(old_plans, std::move(prepared.inside_quota_share), now);
  }

  void OnWallClock(double now, double offset_s) { quota_.SetWallClock(now, offset_s); }
  void OnProcessCount(double now, int processes) { quota_.SetProcessCount(now, processes); }
  int UnavailableBackends(double now) const { return selector_.CountUnavailable(now); }

  void OnMaintenance(double now, uint32_t backend_id, bool offline) {
    selector_.SetOffline(backend_id, offline, estimates_.LongestMeanServiceTimeS(), now, &random_);
  }

  void OnEndpointList(double now, EndpointListKind kind, const std::vector<Endpoint>& entries,
                      ActionSink* sink) {
    if (kind == EndpointListKind::kFailed && !settings_.discovery_pushes)
      sink->StartTimer(std::min(kMaxPollRetryS, settings_.endpoint_poll_interval_s), kPollTimerTag);
    selector_.ApplyEndpointList(kind, entries, settings_.warm_up_s, estimates_.LongestMeanServiceTimeS(), now,
                                &random_);
  }

  void OnCounterResponse(double now, const CounterResponse& response, ActionSink* sink) {
    CounterUpdate update = quota_.ApplyCounterResponse(response, now, sink);
    if (update.customer == nullptr) return;
    if (!update.customer->IsCallPending())
      ResolveQueuedRequests(update.customer_id, update.customer, update.succeeded, now, sink);
    if (update.succeeded) quota_.MaybeReportUnits(update.customer_id, update.customer, now, sink);
  }

  void OnRequest(double now, const Request& request, ActionSink* sink) {
    quota_.ExpireIdle(now);
    if (in_flight_requests_.count(request.id) != 0) return;
    if (!IsValid(request)) return Reject(request.id, 0, RejectReason::kInvalidRequest, sink);
    CustomerQuota* known = quota_.FindOrCreate(request, now);
    if (known == nullptr) return Reject(request.id, 0, RejectReason::kTooManyCustomers, sink);
    CustomerQuota& customer = *known;
    if (!quota_.UpdatePlan(&customer, request.plan_index, now))
      return Reject(request.id, 0, RejectReason::kInvalidRequest, sink);
    double mean_service_time_s = estimates_.MeanServiceTimeS(request.class_index);
    QuotaCheck check = quota_.Check(&customer, request, mean_service_time_s, now);
    estimates_.RecordArrival(request);
    if (quota_.ShouldWaitForCounter(customer, request, check.inside_chance, now, &random_))
      return QueueForCounter(&customer, request, check.inside_chance >= kMinInsideChanceToCharge, now, sink);
    if (check.decision == QuotaDecision::kOver) {
      double retry_after_s = quota_.RetryAfterS(customer, request, mean_service_time_s, &random_);
      return Reject(request.id, retry_after_s, check.reject_reason, sink);
    }
    InFlightRequest active = NewRequest(request, now);
    bool shed = ShouldShedLoad(request, check.decision != QuotaDecision::kInside);
    Backend* backend = shed ? nullptr : SelectBackend(active, now);
    if (backend == nullptr) {
      if (check.decision == QuotaDecision::kInside) quota_.MarkOverloaded(now);
      return Reject(request.id, 0, shed ? RejectReason::kLoadShed : RejectReason::kNoBackend, sink);
    }
    InFlightRequest& admitted = in_flight_requests_[request.id] = std::move(active);
    Admit(&admitted, &customer, check.decision, backend, false, now, sink);
    quota_.MaybeReportUnits(request.customer_id, &customer, now, sink);
  }

  void OnAttemptOutcome(double now, const AttemptOutcome& outcome, ActionSink* sink) {
    auto found = in_flight_requests_.find(outcome.request_id);
    if (found == in_flight_requests_.end()) return;
    InFlightRequest& active = found->second;
    if (!IsAttemptInFlight(active, outcome.attempt_index)) return;
    Attempt& attempt = active.attempts[outcome.attempt_index];
    attempt.in_flight = false;
    --active.attempts_in_flight;
    quota_.RecordAttemptEnded(active.request.customer_id, now, sink);
    Backend* backend = selector_.Find(attempt.backend_id);
    if (backend != nullptr) {
      if (attempt.response_started_s <= 0) --backend->in_flight;
      recorder_.RecordOutcome(backend, active, ClassOf(active), attempt, outcome, now, sink);
    }
    active.body_discarded = active.body_discarded || outcome.body_discarded;
    if (MayHaveRun(outcome.result) && !active.may_have_run) {
      active.may_have_run = true;
      active.first_run_s = attempt.sent_s;
      active.run_zone = backend != nullptr ? backend->endpoint.zone : -1;
      active.run_cell = backend != nullptr ? backend->endpoint.cell : -1;
    }
    bool served = outcome.result == AttemptResult::kOk && !active.finished;
    if (served) quota_.RecordServed(active.request, active.inside_quota, outcome.actual_units, now);
    if (outcome.request_finished || served) {
      EndRequest(&active, sink);
    } else if (active.finished) {
      if (active.attempts_in_flight == 0) in_flight_requests_.erase(found);
    } else if (active.attempts_in_flight == 0 && !Retry(&active, now, sink)) {
      FailRequest(&active, sink);
    }
  }

  void OnClientGone(uint32_t request_id, ActionSink* sink) {
    auto found = in_flight_requests_.find(request_id);
    if (found != in_flight_requests_.end() && !found->second.finished) EndRequest(&found->second, sink);
  }

  void OnResponseStarted(double now, uint32_t request_id, int attempt_index, ActionSink* sink) {
    auto found = in_flight_requests_.find(request_id);
    if (found == in_flight_requests_.end()) return;
    InFlightRequest& active = found->second;
    active.response_started = true;
    if (!IsAttemptInFlight(active, attempt_index)) return;
    Attempt& attempt = active.attempts[attempt_index];
    attempt.response_started_s = now;
    if (Backend* backend = selector_.Find(attempt.backend_id)) {
      --backend->in_flight;
      backend->last_response_s = now;
    }
    // The other hedged attempts are no longer needed.
    for (size_t i = 0; i < active.attempts.size(); ++i) {
      if (active.attempts[i].in_flight && static_cast<int>(i) != attempt_index && active.cancellation_allowed)
        sink->CancelAttempt(active.request.id, i);
    }
  }

  void OnTimer(double now, uint64_t tag, ActionSink* sink) {
    if (tag == kPollTimerTag) {
      sink->Append(ActionKind::kPollEndpoints);
      return;
    }
    if (tag == QuotaManager::kReportTimerTag) return quota_.ReportScheduledAttempts(now, sink);
    auto found = in_flight_requests_.find(static_cast<uint32_t>(tag));
    if (found == in_flight_requests_.end()) return;
    if (!found->second.finished && !found->second.response_started) OnRequestTimer(&found->second, now, sink);
  }

 private:
  const ClassSettings& ClassOf(const InFlightRequest& active) const {
    return settings_.classes[active.request.class_index];
  }

  bool IsValid(const Request& request) const {
    return request.class_index >= 0 && request.class_index < static_cast<int>(settings_.classes.size()) &&
           request.plan_index >= 0 && request.plan_index < static_cast<int>(settings_.plans.size()) &&
           std::isfinite(request.units) && request.units > 0 && std::isfinite(request.time_left_s) &&
           request.time_left_s > 2 * settings_.timer_resolution_s && std::isfinite(request.entry_gateways);
  }

  static bool IsAttemptInFlight(const InFlightRequest& active, int attempt_index) {
    return attempt_index >= 0 && attempt_index < static_cast<int>(active.attempts.size()) &&
           active.attempts[attempt_index].in_flight;
  }

  InFlightRequest NewRequest(const Request& request, double now) const {
    InFlightRequest active;
    active.request = request;
    active.deadline_s = now + request.time_left_s;
    active.max_attempts = settings_.max_attempts;
    active.hedging_allowed = settings_.hedging_allowed;
    active.cancellation_allowed = settings_.cancellation_allowed;
    return active;
  }

  bool ShouldShedLoad(const Request& request, bool beyond_quota) {
    return shedder_.ShouldShed(request, beyond_quota, settings_, estimates_, selector_.TotalLoad(), &random_);
  }

  Backend* SelectBackend(const InFlightRequest& active, double now) {
    return selector_.Select(active, settings_, quota_.process_count(), now, &random_);
  }

  // Queues the request until the counter responds.
  // @param charged its units are added by the call.
  void QueueForCounter(CustomerQuota* customer, const Request& request, bool charged, double now,
                       ActionSink* sink) {
    if (ShouldShedLoad(request, false)) return Reject(request.id, 0, RejectReason::kLoadShed, sink);
    quota_.Enqueue(customer, request, charged);
    ArmRequestTimer(in_flight_requests_[request.id] = NewRequest(request, now), now, sink);
    quota_.AskCounter(customer, request, estimates_.MeanServiceTimeS(request.class_index), now, sink);
    if (!customer->IsCallPending()) ResolveQueuedRequests(request.customer_id, customer, false, now, sink);
  }

  // Decides the queued requests on the current state of the quota.
  // @param counter_read the counter has responded.
  void ResolveQueuedRequests(uint64_t customer_id, CustomerQuota* customer, bool counter_read, double now,
                             ActionSink* sink) {
    for (const QueuedRequest& queued : quota_.TakeQueued(customer)) {
      quota_.ReturnQueuedUnits(customer, queued);
      auto found = in_flight_requests_.find(queued.request_id);
      if (found == in_flight_requests_.end() || found->second.finished) continue;
      InFlightRequest& active = found->second;
      double mean_service_time_s = estimates_.MeanServiceTimeS(active.request.class_index);
      QuotaCheck check = quota_.Check(customer, active.request, mean_service_time_s, now);
      bool inside = check.decision == QuotaDecision::kInside;
      quota_.RecordQueuedDecision(customer, inside, counter_read);
      Backend* backend = inside ? SelectBackend(active, now) : nullptr;
      if (backend != nullptr) {
        Admit(&active, customer, check.decision, backend, true, now, sink);
        continue;
      }
      if (check.decision == QuotaDecision::kOver) {
        double retry_after_s = quota_.RetryAfterS(*customer, active.request, mean_service_time_s, &random_);
        Reject(queued.request_id, retry_after_s, check.reject_reason, sink);
      } else {
        Reject(queued.request_id, 0, RejectReason::kNoBackend, sink);
      }
      in_flight_requests_.erase(found);
    }
    quota_.ReportAttempts(customer_id, customer, now, sink);
  }

  // Sends the first attempt.
  // @param counter_asked the request has waited for the counter.
  void Admit(InFlightRequest* active, CustomerQuota* customer, QuotaDecision decision, Backend* backend,
             bool counter_asked, double now, ActionSink* sink) {
    active->inside_quota = decision == QuotaDecision::kInside;
    quota_.RecordAdmission(customer, active->request.units, active->inside_quota, counter_asked, &random_);
    retry_budget_.RecordFirstAttempt();
    Send(active, backend, now, sink);
    ArmRequestTimer(*active, now, sink);
  }

  void Send(InFlightRequest* active, Backend* backend, double now, ActionSink* sink) {
    active->attempts.push_back({backend->endpoint.id, now, true});
    ++active->attempts_in_flight;
    ++backend->in_flight;
    if (backend->slow_start.active())
      backend->slow_start.Spend(estimates_.ExpectedServiceTimeS(active->request));
    quota_.RecordAttemptSent(active->request.customer_id, now, sink);
    Action& action = sink->Append(ActionKind::kSendAttempt, active->request.id);
    action.backend_id = backend->endpoint.id;
    action.duration_s = std::max(settings_.timer_resolution_s, active->deadline_s - now);
    const ClassSettings& class_settings = ClassOf(*active);
    if (!active->may_have_run || class_settings.idempotency != Idempotency::kWithinWindow) return;
    action.start_within_s =
        IdempotencyWindowEndS(*active, class_settings, settings_.timer_resolution_s) - now;
  }

  // Starts the timer for the next check for silence, or for shortly before the client's deadline.
  void ArmRequestTimer(const InFlightRequest& active, double now, ActionSink* sink) {
    const Backend* backend =
        active.attempts.empty() ? nullptr : selector_.Find(active.attempts.back().backend_id);
    double relative_latency = backend != nullptr ? std::max(1.0, backend->latency.relative_latency()) : 1;
    double expected_latency_s = estimates_.ExpectedServiceTimeS(active.request) * relative_latency;
    double check_s = SilenceCheckS(ClassOf(active), expected_latency_s);
    double deadline_in_s = active.deadline_s - 2 * settings_.timer_resolution_s - now;
    sink->StartTimer(std::max(0.0, std::min(deadline_in_s, check_s)), active.request.id);
  }

  // The request's timer has expired: a check for silence is due, or the client's deadline is near.
  void OnRequestTimer(InFlightRequest* active, double now, ActionSink* sink) {
    // A backend that has not responded to anything since the attempt was sent is taken to hang; a busy one
    // would respond to other requests. If it has responded to a later attempt, this attempt's own connection
    // may be dead.
    const Attempt attempt = active->attempts.empty() ? Attempt{} : active->attempts.back();
    Backend* backend = selector_.Find(attempt.backend_id);
    bool at_backend = attempt.in_flight && backend != nullptr;
    bool silent = at_backend && backend->last_response_s <= attempt.sent_s;
    if (now >= active->deadline_s - 3 * settings_.timer_resolution_s) {
      // Without cancellation the attempt's own outcome follows and is recorded instead.
      if (active->cancellation_allowed || active->attempts_in_flight == 0)
        silent ? recorder_.RecordFailure(backend, false, now, sink) : recorder_.RecordMissedDeadline(now);
      return FailRequest(active, sink);
    }
    bool answered_later_attempt = at_backend && backend->last_answered_sent_s > attempt.sent_s;
    if (silent || answered_later_attempt) HedgeOrCancel(active, silent, backend, now, sink);
    ArmRequestTimer(*active, now, sink);
  }

  // The only attempt in flight may never end: sends a hedged one, or cancels it so that a retry replaces it.
  void HedgeOrCancel(InFlightRequest* active, bool silent, Backend* backend, double now, ActionSink* sink) {
    if (active->attempts_in_flight != 1 || !retry_budget_.HasRetry()) return;
    if (ClassOf(*active).idempotency != Idempotency::kIdempotent) return;
    if (!IsRetrySafe(*active, ClassOf(*active), settings_.timer_resolution_s, now)) return;
    if (active->hedging_allowed) {
      if (silent && backend->in_flight > 1) recorder_.RecordFailure(backend, false, now, sink);
      Retry(active, now, sink);
    } else if (active->cancellation_allowed) {
      sink->CancelAttempt(active->request.id, active->attempts.size() - 1);
    }
  }

  // @return whether a further attempt has been sent.
  bool Retry(InFlightRequest* active, double now, ActionSink* sink) {
    if (!IsRetrySafe(*active, ClassOf(*active), settings_.timer_resolution_s, now)) return false;
    if (!retry_budget_.HasRetry()) return false;
    if (active->deadline_s - now < estimates_.ExpectedServiceTimeS(active->request)) return false;
    Backend* backend = SelectBackend(*active, now);
    if (backend == nullptr) return false;
    retry_budget_.Spend();
    Send(active, backend, now, sink);
    return true;
  }

  // No attempt is left: the client gets a rejection if it may send the request again, otherwise a failure.
  void FailRequest(InFlightRequest* active, ActionSink* sink) {
    ActionKind kind = IsRejectSafe(*active, ClassOf(*active)) ? ActionKind::kReject : ActionKind::kFail;
    sink->Append(kind, active->request.id).reason = RejectReason::kAttemptsExhausted;
    EndRequest(active, sink);
  }

  void EndRequest(InFlightRequest* active, ActionSink* sink) {
    active->finished = true;
    for (size_t i = 0; i < active->attempts.size(); ++i) {
      if (active->attempts[i].in_flight && active->cancellation_allowed && !active->response_started) {
        sink->CancelAttempt(active->request.id, i);
      }
    }
    if (active->attempts_in_flight == 0) in_flight_requests_.erase(active->request.id);
  }

  // @param retry_after_s sent where the settings allow it.
  void Reject(uint32_t id, double retry_after_s, RejectReason reason, ActionSink* sink) {
    sink->Reject(id, settings_.retry_after_allowed ? retry_after_s : 0, reason);
  }

  Settings settings_;
  RandomSource random_;
  ServiceTimeEstimates estimates_;
  QuotaManager quota_;  // refers to settings_
  BackendSelector selector_;
  LoadShedder shedder_;
  OutcomeRecorder recorder_;  // refers to the components above
  RetryBudget retry_budget_;
  std::unordered_map<uint32_t, InFlightRequest> in_flight_requests_;
};

Balancer::Balancer(const Settings& settings, uint64_t seed, double now, Actions* out) {
  ActionSink sink(out);
  impl_ = std::make_unique<Impl>(settings, seed, now, &sink);
}
Balancer::~Balancer() = default;
void Balancer::OnEndpointList(double now, EndpointListKind kind, const std::vector<Endpoint>& entries,
                              Actions* out) {
  ActionSink sink(out);
  impl_->OnEndpointList(now, kind, entries, &sink);
}
void Balancer::OnRequest(double now, const Request& request, Actions* out) {
  ActionSink sink(out);
  impl_->OnRequest(now, request, &sink);
}
void Balancer::OnResponseStarted(double now, uint32_t request, int attempt, Actions* out) {
  ActionSink sink(out);
  impl_->OnResponseStarted(now, request, attempt, &sink);
}
void Balancer::OnAttemptOutcome(double now, const AttemptOutcome& outcome, Actions* out) {
  ActionSink sink(out);
  impl_->OnAttemptOutcome(now, outcome, &sink);
}
void Balancer::OnClientGone(double, uint32_t request, Actions* out) {
  ActionSink sink(out);
  impl_->OnClientGone(request, &sink);
}
void Balancer::OnTimer(double now, uint64_t tag, Actions* out) {
  ActionSink sink(out);
  impl_->OnTimer(now, tag, &sink);
}
void Balancer::OnMaintenance(double now, uint32_t backend, bool offline, Actions*) {
  impl_->OnMaintenance(now, backend, offline);
}
SettingsIndices Balancer::IndicesInUse() const { return impl_->IndicesInUse(); }
PreparedSettings Balancer::PrepareSettings(const Settings& settings, const SettingsIndices& renewed) const {
  return impl_->PrepareSettings(settings, renewed);
}
void Balancer::OnSettings(double now, PreparedSettings&& prepared, Actions*) noexcept {
  impl_->OnSettings(now, std::move(prepared));
}
void Balancer::OnWallClock(double now, double offset_s) { impl_->OnWallClock(now, offset_s); }
void Balancer::OnProcessCount(double now, int processes, Actions*) { impl_->OnProcessCount(now, processes); }
int Balancer::UnavailableBackends(double now) const { return impl_->UnavailableBackends(now); }
void Balancer::OnCounterResponse(double now, const CounterResponse& response, Actions* out) {
  ActionSink sink(out);
  impl_->OnCounterResponse(now, response, &sink);
}

}  // namespace lemonchute::policy
