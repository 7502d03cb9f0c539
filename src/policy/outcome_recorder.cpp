#include "policy/outcome_recorder.h"

#include <algorithm>
#include <string>

namespace lemonchute::policy {
namespace {

// Latency over latency objective that is recorded for a rejection by an overloaded backend, and for a missed
// deadline.
constexpr double kOverloadedRatio = 1;
constexpr double kMissedDeadlineRatio = 2;
// Time without a response, after which a failed connection means that the backend's process is dead.
constexpr double kDeadAfterSilenceS = 1.5;

}  // namespace

void OutcomeRecorder::RecordOutcome(Backend* backend, const InFlightRequest& active,
                                    const ClassSettings& class_settings, const Attempt& attempt,
                                    const AttemptOutcome& outcome, double now, ActionSink* sink) {
  bool silent = backend->last_response_s <= attempt.sent_s;
  if (outcome.result == AttemptResult::kOk || outcome.result == AttemptResult::kOverloaded ||
      outcome.result == AttemptResult::kError) {
    backend->last_response_s = now;
    backend->last_answered_sent_s = std::max(backend->last_answered_sent_s, attempt.sent_s);
  }
  switch (outcome.result) {
    case AttemptResult::kOk:
      RecordSuccess(backend, active, class_settings, attempt, outcome, now, sink);
      break;
    case AttemptResult::kError: RecordFailure(backend, false, now, sink); break;
    case AttemptResult::kTimeout:
      if (silent) return RecordFailure(backend, false, now, sink);
      RecordOverload(backend, now);
      break;
    case AttemptResult::kOverloaded: RecordOverload(backend, now); break;
    case AttemptResult::kConnectFailed:
    case AttemptResult::kReset: RecordFailure(backend, true, now, sink); break;
    case AttemptResult::kCancelled:
      if (!active.finished && backend->in_flight > 0 && silent) RecordFailure(backend, false, now, sink);
      break;
    case AttemptResult::kNotSent: break;
  }
}

void OutcomeRecorder::RecordSuccess(Backend* backend, const InFlightRequest& active,
                                    const ClassSettings& class_settings, const Attempt& attempt,
                                    const AttemptOutcome& outcome, double now, ActionSink* sink) {
  double end_s = attempt.response_started_s > 0 ? attempt.response_started_s : now;
  double latency_s = std::max(0.0, end_s - attempt.sent_s - outcome.upload_s);
  selector_->RecordServed(*backend, estimates_->ExpectedServiceTimeS(active.request), now);
  if (backend->outlier.RecordSuccess()) sink->Log("backend back: " + std::to_string(backend->endpoint.id));
  double units = outcome.actual_units > 0 ? outcome.actual_units : active.request.units;
  ServiceTimeSample sample =
      estimates_->RecordResponse(active.request.class_index, class_settings, units, latency_s);
  double objective_ratio =
      backend->latency.Record(latency_s, class_settings.latency_objective_s, sample, now);
  shedder_->AdjustAdmissionRatio(objective_ratio, now);
  if (latency_s > class_settings.latency_objective_s) quota_->MarkOverloaded(now);
  backend->limit.OnResponse(backend->latency.objective_ratio(), backend->in_flight, now);
}

void OutcomeRecorder::RecordOverload(Backend* backend, double now) {
  shedder_->AdjustAdmissionRatio(kOverloadedRatio, now);
  quota_->MarkOverloaded(now);
  backend->limit.Decrease(backend->in_flight, now);
}

void OutcomeRecorder::RecordFailure(Backend* backend, bool connection_failed, double now, ActionSink* sink) {
  // A process that accepts no connection and has not responded for a while may be restarting, so it is in
  // slow start when it responds again. One that refuses some connections and serves others is not.
  if (connection_failed && now - backend->last_response_s > kDeadAfterSilenceS)
    backend->slow_start.Begin(now, now, estimates_->LongestMeanServiceTimeS(), random_);
  if (backend->outlier.RecordFailure(now))
    sink->Log("backend set aside: " + std::to_string(backend->endpoint.id));
}

void OutcomeRecorder::RecordMissedDeadline(double now) {
  shedder_->AdjustAdmissionRatio(kMissedDeadlineRatio, now);
}

}  // namespace lemonchute::policy
