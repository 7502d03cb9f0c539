#include "net/request_lifecycle.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lemonchute::net {

using policy::AttemptOutcome;
using policy::AttemptResult;
using policy::Idempotency;

namespace {

constexpr int kStatusOk = 200, kStatusNotFound = 404, kStatusConflict = 409, kStatusTooManyRequests = 429,
              kStatusBadGateway = 502, kStatusUnavailable = 503, kStatusGatewayTimeout = 504;
// A response that is decided later than this after the client's deadline is an invariant violation.
constexpr double kResponseGraceS = 0.5;
constexpr size_t kTimeoutHeaderBytes = 48;

// Whether the close was caused by the client rather than by the gateway.
bool ClosedByClient(CloseReason reason) {
  return reason == CloseReason::kClientEnded || reason == CloseReason::kSlowBody ||
         reason == CloseReason::kBrokenBody || reason == CloseReason::kSlowReader;
}

}  // namespace

RequestLifecycle::RequestLifecycle(Parts parts)
    : io_(parts.io),
      config_(parts.config),
      process_(parts.process),
      server_(parts.server),
      pool_(parts.pool),
      policy_(parts.policy),
      timers_(parts.timers),
      metrics_(parts.metrics),
      recent_requests_(parts.recent_requests),
      on_attempt_end_(std::move(parts.on_attempt_end)) {}

InFlightRequest* RequestLifecycle::Find(uint32_t id) {
  auto it = in_flight_.find(id);
  return it == in_flight_.end() ? nullptr : &it->second;
}

uint32_t RequestLifecycle::NextId() {
  do ++last_id_;
  while (in_flight_.count(last_id_) != 0);
  return last_id_;
}

void RequestLifecycle::OnClientRequest(uint64_t connection, ClientMessage message,
                                       const std::optional<Upload>& upload) {
  std::string_view target = OriginForm(ToStringView(message.target()));
  if (target.substr(0, 3) == "/-/") return RespondToHealthCheck(connection, target);
  ClientCall call = ParseCall(message, *config_);
  if (call.status == 0 && IsRepeat(message, call)) call.status = kStatusConflict;
  if (call.status != 0) {
    ClientResponse response;
    response.status = call.status;
    return server_.Reply(connection, std::move(response));
  }
  Clock::time_point received_at = server_.IncompleteUntil(connection);
  RequestTimeLimits limits =
      ComputeTimeLimits(call.timeout_s, message, upload, process_.RemainingLifetimeS());
  uint32_t id = NextId();
  InFlightRequest& request = in_flight_[id];
  request = MakeInFlightRequest(connection, message, target, upload);
  unanswered_by_connection_[connection] = id;
  auto class_index = static_cast<size_t>(call.request.class_index);
  request.config = config_;
  request.class_name = config_->socket_settings.classes[class_index];
  request.idempotency = config_->settings.classes[class_index].idempotency;
  if (request.idempotency == Idempotency::kNonIdempotent)
    recent_requests_.Add(request.request_id, Clock::now());
  request.timeout_s = call.timeout_s;
  request.margin_s = limits.margin_s;
  // The policy has to decide one margin before the client's timeout. Half a margin before the timeout the
  // gateway responds without it (OnResponseDeadline).
  request.deadline = received_at + Seconds(limits.timeout_s - limits.margin_s / 2);
  request.client_deadline = received_at + Seconds(limits.timeout_s);
  log_.Log(request.request_id, "taken", "connection=%llu class=%s left_s=%.3f",
           static_cast<unsigned long long>(connection), request.class_name.c_str(), limits.timeout_s);
  call.request.id = id;
  double waited_s = std::chrono::duration<double>(Clock::now() - received_at).count();
  call.request.time_left_s = limits.timeout_s - limits.margin_s - waited_s;
  timers_.Add(request.deadline, TimerKind::kResponseDeadline, id);
  if (request.uploading) timers_.Add(ResponseDeadlineOfUpload(request), TimerKind::kResponseDeadline, id);
  policy_.Dispatch(
      [request = call.request](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
        balancer.OnRequest(now_s, request, actions);
      });
  StartResponseTimer(id);
}

// Most refusals are immediate and need no timer. That of an upload is started again until its last byte has
// been read, so that none lies far in the future.
void RequestLifecycle::StartResponseTimer(uint32_t id) {
  const InFlightRequest* request = Find(id);
  if (request == nullptr || request->answered) return;
  auto due_at = request->deadline;
  if (request->uploading) due_at = std::min(due_at, ResponseDeadlineOfUpload(*request));
  timers_.Add(due_at, TimerKind::kResponseDeadline, id);
}

// Whether the request may have run already, for a client that has left since, and must not run again.
bool RequestLifecycle::IsRepeat(const ClientMessage& message, const ClientCall& call) {
  const auto& settings = config_->settings.classes[static_cast<size_t>(call.request.class_index)];
  if (settings.idempotency != Idempotency::kNonIdempotent) return false;
  if (!recent_requests_.Contains(ToStringView(message["Request-Id"]), Clock::now())) return false;
  ++metrics_.repeats_refused;
  return true;
}

void RequestLifecycle::RespondToHealthCheck(uint64_t connection, std::string_view target) {
  int ready_status = process_.IsReady() ? kStatusOk : kStatusUnavailable;
  ClientResponse response;
  response.status = target == "/-/ready" ? ready_status : kStatusNotFound;
  server_.Reply(connection, std::move(response));
}

void RequestLifecycle::SendAttempt(const policy::Action& action) {
  uint32_t id = action.request_id, backend = action.backend_id;
  InFlightRequest* found = Find(id);
  if (found == nullptr) return;
  InFlightRequest& request = *found;
  int attempt = static_cast<int>(request.attempts.size());
  SendVerdict verdict = CheckAttempt(request, attempt, SendCheck::kDecided);
  if (attempt > 0) metrics_.retried.Add(request.attempts.back().result);
  request.attempts.push_back({});
  request.attempts.back().in_flight = true;
  if (verdict != SendVerdict::kSend) {
    return PostAttemptEnd(id, attempt, backend, AttemptResult::kNotSent, AttemptEndCause::kNotAllowed);
  }
  double left_s = std::chrono::duration<double>(request.deadline - Clock::now()).count();
  double timeout_s = action.duration_s == 0 ? left_s : std::min(action.duration_s, left_s);
  AttemptMessage message = MakeAttemptMessage(id, request, attempt);
  request.attempts.back().pool_attempt = pool_.Send(
      backend, std::move(message), {timeout_s, action.start_within_s},
      [this, id, attempt, backend](AttemptEnd end) { OnAttemptEnd(id, attempt, backend, std::move(end)); },
      MakeAttemptStream(id, request, attempt));
}

AttemptMessage RequestLifecycle::MakeAttemptMessage(uint32_t id, const InFlightRequest& request,
                                                    int attempt) {
  AttemptMessage message;
  message.text.reserve(request.head.size() + request.body.size() + kTimeoutHeaderBytes);
  message.text.append(request.head).append("Request-Timeout-Ms: ");
  message.timeout_offset = message.text.size();
  message.max_timeout_s = request.timeout_s;
  message.may_send = [this, id, attempt] {
    const InFlightRequest* current = Find(id);
    return current != nullptr && CheckAttempt(*current, attempt, SendCheck::kWriting) == SendVerdict::kSend;
  };
  message.text.append("\r\n\r\n").append(request.body);
  return message;
}

AttemptStream RequestLifecycle::MakeAttemptStream(uint32_t id, const InFlightRequest& request, int attempt) {
  AttemptStream stream;
  stream.on_begin = [this, id, attempt](const std::string& headers, std::optional<uint64_t> length) {
    return OnResponseStarted(id, attempt, headers, length);
  };
  stream.on_piece = [this, connection = request.connection](const std::string& piece,
                                                            std::function<void()> on_consumed) {
    server_.SendPiece(connection, piece, std::move(on_consumed));
  };
  if (request.body_streamed) {
    stream.request_more = [this, id](std::function<void(RequestPiece)> deliver) {
      PullUpload(id, std::move(deliver));
    };
  }
  return stream;
}

// Counts and logs an attempt that must not be sent, and closes the connection of a client that has gone.
SendVerdict RequestLifecycle::CheckAttempt(const InFlightRequest& request, int attempt, SendCheck when) {
  const policy::Settings& settings = request.config->settings;
  SendFacts facts;
  facts.idempotency = request.idempotency;
  facts.answered = request.answered || request.streaming_attempt.has_value();
  facts.client_connected = server_.IsClientConnected(request.connection);
  facts.body_buffered = !request.body_discarded;
  facts.hedging_allowed = settings.hedging_allowed;
  for (size_t i = 0; i < request.attempts.size(); ++i)
    facts.other_in_flight |= request.attempts[i].in_flight && static_cast<int>(i) != attempt;
  facts.may_have_run = request.may_have_run;
  facts.attempts_left = attempt < settings.max_attempts;
  facts.now = Clock::now();
  facts.deadline = request.deadline;
  SendVerdict verdict = CheckSend(facts);
  log_.Log(request.request_id, when == SendCheck::kDecided ? "attempt" : "write", "attempt=%d verdict=%s",
           attempt, Name(verdict));
  if (verdict == SendVerdict::kSend) return verdict;
  metrics_.held_back.Add(verdict);
  if (verdict == SendVerdict::kUnsafeRepeat || verdict == SendVerdict::kOtherInFlight) {
    metrics_.invariants.RecordViolation(
        Invariant::kSafeRepeat,
        "request=" + request.request_id + " attempt=" + std::to_string(attempt) + " " + Name(verdict));
  }
  // Posted, since the caller may be in the middle of the actions of an event.
  if (verdict == SendVerdict::kClientGone)
    asio::post(io_, [this, connection = request.connection] { server_.CloseDisconnected(connection); });
  return verdict;
}

// A streamed response begins. From here on only this attempt can complete the request.
bool RequestLifecycle::OnResponseStarted(uint32_t id, int attempt, const std::string& headers,
                                         std::optional<uint64_t> length) {
  InFlightRequest* request = Find(id);
  if (request == nullptr || request->answered || request->streaming_attempt) return false;
  request->streaming_attempt = attempt;
  server_.BeginStream(request->connection, headers, length);
  policy_.Dispatch([id, attempt](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnResponseStarted(now_s, id, attempt, actions);
  });
  return true;
}

void RequestLifecycle::CancelAttempt(uint32_t id, int attempt, uint32_t backend) {
  InFlightRequest* request = Find(id);
  if (request == nullptr) return;
  auto index = static_cast<size_t>(attempt);
  if (index >= request->attempts.size() || !request->attempts[index].in_flight) return;
  bool may_have_run = false;
  // If false the attempt has already ended, and its own outcome will be reported.
  if (!pool_.Cancel(request->attempts[index].pool_attempt, &may_have_run)) return;
  // An attempt that was not written completely has not run, whatever the idempotency of the request.
  PostAttemptEnd(id, attempt, backend, may_have_run ? AttemptResult::kCancelled : AttemptResult::kNotSent,
                 AttemptEndCause::kCancelled);
}

void RequestLifecycle::PostAttemptEnd(uint32_t id, int attempt, uint32_t backend, AttemptResult result,
                                      AttemptEndCause cause) {
  asio::post(io_, [this, id, attempt, backend, result, cause] {
    AttemptEnd end;
    end.result = result;
    end.cause = cause;
    OnAttemptEnd(id, attempt, backend, std::move(end));
  });
}

void RequestLifecycle::OnAttemptEnd(uint32_t id, int attempt, uint32_t backend, AttemptEnd end) {
  InFlightRequest* request = Find(id);
  if (request == nullptr) return;
  InFlightAttempt& ended = request->attempts[static_cast<size_t>(attempt)];
  ended.in_flight = false;
  ended.result = end.result;
  metrics_.attempts.Add(end.result);
  metrics_.ended.Add(end.cause);
  log_.Log(request->request_id, "ended",
           "attempt=%d backend=%u result=%s cause=%s took_s=%.4f body_bytes=%zu silent_s=%.4f", attempt,
           backend, Name(end.result), Name(end.cause), end.duration_s, end.body_bytes, end.silent_s);
  reporting_id_ = id;
  if (policy::MayHaveRun(end.result)) request->may_have_run = true;
  // The first good response is sent to the client before the outcome is reported to the policy, because the
  // client is waiting for it.
  bool good = end.result == AttemptResult::kOk;
  bool ends_stream = end.streamed && request->streaming_attempt == attempt;
  if ((ends_stream || (good && !request->streaming_attempt)) && !request->answered) {
    ClientResponse response;
    response.status = good ? kStatusOk : kStatusBadGateway;
    response.headers = std::move(end.headers);
    response.body = std::move(end.body);
    Respond(id, std::move(response));
  }
  ReportOutcome(id, attempt, backend, end);
  on_attempt_end_();
}

void RequestLifecycle::ReportOutcome(uint32_t id, int attempt, uint32_t backend, const AttemptEnd& end) {
  const InFlightRequest& request = in_flight_.at(id);
  AttemptOutcome outcome;
  outcome.request_id = id;
  outcome.attempt_index = attempt;
  outcome.duration_s = end.duration_s;
  outcome.result = end.result;
  outcome.request_finished = request.answered;
  outcome.backend_id = backend;
  outcome.actual_units = end.actual_units;
  outcome.upload_s = end.upload_s;
  outcome.body_discarded = request.body_discarded;
  policy_.Dispatch([outcome](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnAttemptOutcome(now_s, outcome, actions);
  });
  reporting_id_ = 0;
  EraseIfFinished(id);
}

void RequestLifecycle::Reject(const policy::Action& action) {
  metrics_.refused.Add(action.reason);
  if (const InFlightRequest* request = Find(action.request_id)) {
    log_.Log(request->request_id, "refused", "reason=%s stay_away_s=%.3f", Name(action.reason),
             action.duration_s);
  }
  ClientResponse response;
  response.status = action.duration_s > 0 ? kStatusTooManyRequests : kStatusUnavailable;
  response.retry_after_s = action.duration_s;
  Respond(action.request_id, std::move(response));
}

void RequestLifecycle::Fail(uint32_t id) {
  ClientResponse response;
  response.status = kStatusBadGateway;
  Respond(id, std::move(response));
}

// Sends the only response of the request. The request is kept until the ends of its attempts are reported.
void RequestLifecycle::Respond(uint32_t id, ClientResponse response) {
  InFlightRequest* found = Find(id);
  if (found == nullptr || found->answered) return;
  InFlightRequest& request = *found;
  request.answered = true;
  request.ReleaseMessage();
  double past_deadline_s = std::chrono::duration<double>(Clock::now() - request.deadline).count();
  log_.Log(request.request_id, "answered", "status=%d past_deadline_s=%.4f", response.status,
           past_deadline_s);
  CountResponse(request, response.status);
  unanswered_by_connection_.erase(request.connection);
  server_.Reply(request.connection, std::move(response));
  CancelRequest(id);
  EraseIfFinished(id);
}

void RequestLifecycle::CountResponse(const InFlightRequest& request, int status) {
  bool in_time = Clock::now() <= request.client_deadline + Seconds(kResponseGraceS);
  if (!request.streaming_attempt && !in_time)
    metrics_.invariants.RecordViolation(Invariant::kAnsweredInTime, "request=" + request.request_id);
  Metrics::ClassCounts& count = metrics_.classes[request.class_name];
  bool shed = status == kStatusTooManyRequests || status == kStatusUnavailable;
  ++(status == kStatusOk ? count.ok : shed ? count.shed : count.errors);
}

// Nothing more is sent for a request that is over: an attempt that is still connecting, or whose upload can't
// be completed any more, is cancelled, even if the settings don't allow attempts to be cancelled.
void RequestLifecycle::CancelRequest(uint32_t id) {
  const InFlightRequest& request = in_flight_.at(id);
  for (size_t i = 0; i < request.attempts.size(); ++i) {
    const InFlightAttempt& attempt = request.attempts[i];
    bool may_have_run = false;
    bool cancelled =
        attempt.in_flight && (request.uploading ? pool_.Cancel(attempt.pool_attempt, &may_have_run)
                                                : pool_.CancelIfConnecting(attempt.pool_attempt));
    if (!cancelled) continue;
    PostAttemptEnd(id, static_cast<int>(i), 0, AttemptResult::kNotSent, AttemptEndCause::kCancelled);
  }
}

// Does nothing while an outcome of the request is being reported; ReportOutcome calls it again.
void RequestLifecycle::EraseIfFinished(uint32_t id) {
  const InFlightRequest* request = Find(id);
  if (request == nullptr || reporting_id_ == id) return;
  if (!request->answered || request->HasAttemptInFlight()) return;
  if (request->idempotency == Idempotency::kNonIdempotent && !request->may_have_run)
    recent_requests_.Remove(request->request_id);
  in_flight_.erase(id);
}

void RequestLifecycle::OnResponseDeadline(uint32_t id) {
  const InFlightRequest* request = Find(id);
  if (request == nullptr || request->answered || request->streaming_attempt) return;
  if (request->uploading) return CheckUploadDeadline(id);
  if (Clock::now() < request->deadline) return;  // the end of an upload has moved it
  FailWithTimeout(id);
}

void RequestLifecycle::FailWithTimeout(uint32_t id) {
  const InFlightRequest& request = in_flight_.at(id);
  bool without_effect = !request.may_have_run && !request.HasAttemptInFlight();
  ClientResponse response;
  response.status = request.idempotency == Idempotency::kIdempotent || without_effect ? kStatusUnavailable
                                                                                      : kStatusGatewayTimeout;
  Respond(id, std::move(response));
  ReportClientGone(id);
}

void RequestLifecycle::ReportClientGone(uint32_t id) {
  policy_.Dispatch([id](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnClientGone(now_s, id, actions);
  });
}

void RequestLifecycle::OnClientClosed(uint64_t connection, bool unanswered, CloseReason reason) {
  metrics_.closed.Add(reason);
  auto it = unanswered_by_connection_.find(connection);
  if (!unanswered || it == unanswered_by_connection_.end()) return;
  uint32_t id = it->second;
  unanswered_by_connection_.erase(it);
  InFlightRequest& request = in_flight_.at(id);
  log_.Log(request.request_id, "closed", "connection=%llu reason=%s",
           static_cast<unsigned long long>(connection), Name(reason));
  if (!ClosedByClient(reason)) {
    metrics_.invariants.RecordViolation(Invariant::kAnsweredBeforeClose,
                                        "request=" + request.request_id + " reason=" + Name(reason));
  }
  request.answered = true;
  request.ReleaseMessage();
  CancelRequest(id);
  if (request.streaming_attempt) CancelAttempt(id, *request.streaming_attempt, 0);
  ReportClientGone(id);
  EraseIfFinished(id);
}

size_t RequestLifecycle::CountAttemptsInFlight() const {
  size_t count = 0;
  for (const auto& [id, request] : in_flight_) {
    for (const InFlightAttempt& attempt : request.attempts) count += attempt.in_flight ? 1 : 0;
  }
  return count;
}

void RequestLifecycle::FailAllUnstarted() {
  std::vector<uint32_t> unstarted;
  for (const auto& [connection, id] : unanswered_by_connection_) {
    if (!in_flight_.at(id).streaming_attempt) unstarted.push_back(id);
  }
  for (uint32_t id : unstarted) FailWithTimeout(id);
}

}  // namespace lemonchute::net
