#include "net/backend_connection.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/backend_pool.h"
#include "net/message_decoding.h"

namespace lemonchute::net {

using policy::AttemptResult;
using Cause = AttemptEndCause;

namespace {

// By how much the time announced in Request-Timeout-Ms may exceed the remaining time (PROTOCOL).
constexpr double kTimeoutHeaderSlackS = 0.15;
// Subtracted from the announced time, because a descheduled process can use up the whole slack by itself.
constexpr double kTimeoutHeaderMarginS = 0.01;
// Pause before a connection is reused. A backend may send a duplicate response some milliseconds after the
// first, which would be matched to the next request. More than twice the longest delay observed; a longer
// pause would require more new connections.
constexpr auto kReuseDelay = std::chrono::milliseconds(10);
// A streamed response without progress for this long counts as aborted.
constexpr auto kStallTimeout = std::chrono::seconds(10);
// How long after its deadline a small response that has begun may complete: half of the lateness that the
// platform allows for a final response.
constexpr auto kLateResponseGrace = std::chrono::milliseconds(250);
// How long after its deadline a response of unknown length may be silent, however much it had given before:
// the lateness that the platform allows for a final response.
constexpr auto kMaxLateSilence = std::chrono::milliseconds(500);
// A response of unknown length of which more than this has been passed on is taken to be larger than
// kMaxBody. Its backend may pause.
constexpr size_t kMinLongResponseBytes = kMaxBody * 2 / 3;
// Backoff between connects that fail because a local resource is exhausted.
constexpr auto kMinConnectBackoff = std::chrono::milliseconds(2);
constexpr auto kMaxConnectBackoff = std::chrono::milliseconds(50);

double ElapsedSeconds(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

BackendConnection::BackendConnection(BackendPool* pool, uint32_t backend, const tcp::endpoint& address)
    : pool_(pool),
      backend_(backend),
      address_(address),
      socket_(pool->io_),
      connect_retry_(pool->io_),
      timer_(pool->io_) {
  ++pool_->connections_;
}

BackendConnection::~BackendConnection() { CloseSocket(); }

void BackendConnection::Start(uint64_t attempt, AttemptMessage message, AttemptLimits limits, Done done,
                              AttemptStream stream) {
  busy_ = true;
  written_ = false;
  attempt_ = attempt;
  message_ = std::move(message.text);
  timeout_offset_ = message.timeout_offset;
  max_timeout_s_ = message.max_timeout_s;
  may_send_ = std::move(message.may_send);
  done_ = std::move(done);
  stream_ = std::move(stream);
  streaming_response_ = awaiting_consumer_ = awaiting_upload_ = false;
  send_watch_.Reset();
  received_bytes_ = delivered_bytes_ = 0;
  upload_s_ = connect_wait_s_ = 0;
  streamed_request_ = stream_.request_more != nullptr;
  body_.clear();
  response_.reset();
  started_at_ = Clock::now();
  rate_.Reset(started_at_);
  deadline_ = started_at_ + Seconds(std::max(0.0, limits.timeout_s));
  send_deadline_ = limits.start_within_s > 0
                       ? std::min(deadline_, started_at_ + Seconds(limits.start_within_s))
                       : deadline_;
  ResetParser(&parser_, kMaxStreamedBytes);
  head_check_.Reset();
  if (open_) {
    OnConnected();
  } else {
    Connect();
  }
}

void BackendConnection::Abort() {
  done_ = nullptr;
  stream_ = {};
  pool_->in_flight_.erase(attempt_);
  busy_ = false;
  CloseSocket();
}

void BackendConnection::CloseSocket() {
  if (closed_) return;
  closed_ = true;
  open_ = false;
  LeaveIdleOrder();
  timer_.cancel();
  connect_retry_.Cancel();
  CloseNow(socket_);
  --pool_->connections_;
}

void BackendConnection::LeaveIdleOrder() {
  if (idle_position_.has_value()) pool_->idle_order_.erase(*idle_position_);
  idle_position_.reset();
}

void BackendConnection::RemoveAndClose() {
  auto self = shared_from_this();  // the idle list may hold the last other reference
  pool_->RemoveIdle(backend_, this);
  CloseSocket();
}

void BackendConnection::WaitUntil(Clock::time_point when) {
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this(), this](error_code error) {
    // The timer may have been restarted after this handler was queued.
    if (error || closed_ || Clock::now() < timer_.expiry()) return;
    OnTimer();
  });
}

void BackendConnection::WaitForStream(Clock::time_point when) {
  WaitUntil(HasResponseDeadline() ? std::min(when, ResponseDueAt()) : when);
}

void BackendConnection::WaitForUpload() { WaitUntil(std::min(deadline_, Clock::now() + kSendCheckInterval)); }

void BackendConnection::OnTimer() {
  if (!busy_) return RemoveAndClose();
  if (streaming_response_ && HasResponseDeadline() && Clock::now() >= ResponseDueAt())
    return Finish(AttemptResult::kReset, Cause::kResponseDeadline);
  if (streaming_response_) {
    // Waiting for the client to consume a piece is no stall: the client's own write timeout applies.
    auto stalled_at = (awaiting_consumer_ ? Clock::now() : last_progress_at_) + kStallTimeout;
    return Clock::now() < stalled_at ? WaitForStream(stalled_at)
                                     : Finish(AttemptResult::kReset, Cause::kResponseStalled);
  }
  // Waiting for the next piece from the client is no failure of the backend.
  if (streamed_request_ && !written_ && open_ && Clock::now() < deadline_ &&
      (awaiting_upload_ || !send_watch_.IsTooSlow(socket_, Clock::now())))
    return WaitForUpload();
  written_ ? Finish(AttemptResult::kTimeout, Cause::kTimeout) : FailUnwritten();
}

void BackendConnection::FailUnwritten() {
  Finish(local_shortage_ ? AttemptResult::kNotSent : AttemptResult::kConnectFailed,
         open_ ? Cause::kRequestStalled : Cause::kNotConnected);
}

// Whether a streamed response must end soon after the request's deadline. A response larger than kMaxBody
// only has to begin in time and to make progress.
bool BackendConnection::HasResponseDeadline() const {
  auto length = parser_->content_length();
  return length ? *length <= kMaxBody : delivered_bytes_ <= kMinLongResponseBytes;
}

// When a response that has a deadline is cut off. One of unknown length may be larger than kMaxBody although
// that much of it has not arrived, so it goes on while its backend keeps up the minimum rate.
Clock::time_point BackendConnection::ResponseDueAt() const {
  auto due_at = deadline_ + kLateResponseGrace;
  // The backend can't give more while the client takes nothing, which has its own limit.
  if (awaiting_consumer_) return std::max(due_at, Clock::now() + kLateResponseGrace);
  if (parser_->content_length()) return due_at;
  due_at = std::max(due_at, rate_.covered_until() + kMaxProcessStall);
  return last_received_at_ > deadline_ ? due_at : std::min(due_at, deadline_ + kMaxLateSilence);
}

void BackendConnection::Connect() {
  WaitUntil(std::min(send_deadline_, started_at_ + pool_->connect_timeout_));
  StartConnectAttempt();
}

void BackendConnection::StartConnectAttempt() {
  connect_wait_s_ = ElapsedSeconds(started_at_, Clock::now());
  auto on_connect = [self = shared_from_this(), this](error_code failed) {
    if (closed_ || !busy_) return;
    if (failed) return OnConnectFailed(failed);
    local_shortage_ = false;
    open_ = true;
    OnConnected();
  };
  if (error_code error = OpenSocket(socket_, address_))
    return asio::post(pool_->io_, [on_connect, error] { on_connect(error); });
  socket_.async_connect(address_, on_connect);
}

// A local resource shortage says nothing about the backend and may be over in a moment. The connect is
// retried here, since an attempt on another backend would fail in the same way.
void BackendConnection::OnConnectFailed(error_code error) {
  if (!IsResourceShortage(error.value())) return Finish(AttemptResult::kConnectFailed, Cause::kNotConnected);
  local_shortage_ = true;
  CloseNow(socket_);
  connect_backoff_ =
      std::clamp<Clock::duration>(2 * connect_backoff_, kMinConnectBackoff, kMaxConnectBackoff);
  connect_retry_.Start(connect_backoff_, [self = shared_from_this(), this] {
    if (!closed_ && busy_) StartConnectAttempt();
  });
}

void BackendConnection::OnConnected() {
  // After a late connect or a stall of the process nothing is sent if the deadline, the retry window or the
  // grace period of a drain has passed, or if the client has gone.
  if (Clock::now() >= send_deadline_ || !pool_->IsSendAllowed(backend_))
    return FailUnsent(AttemptResult::kConnectFailed);
  if (may_send_ && !may_send_()) return FailUnsent(AttemptResult::kNotSent);
  last_write_at_ = Clock::now();
  double announced_s = InsertTimeout();
  streamed_request_ ? WaitForUpload() : WaitUntil(deadline_);
  Write();
  CheckSendInvariants(announced_s);
}

// Writes the remaining time into the message and returns it, in seconds.
double BackendConnection::InsertTimeout() {
  if (timeout_offset_ == std::string::npos) return max_timeout_s_;
  double remaining_s = ElapsedSeconds(last_write_at_, deadline_);
  double announced_s = std::min(remaining_s - kTimeoutHeaderMarginS, max_timeout_s_);
  long announced_ms = std::max(1L, static_cast<long>(announced_s * 1000));
  message_.insert(timeout_offset_, std::to_string(announced_ms));
  return announced_s;
}

// Checks the time limits again with the time after the first bytes were sent.
void BackendConnection::CheckSendInvariants(double announced_s) {
  auto now = Clock::now();
  Invariants& invariants = pool_->metrics_->invariants;
  auto ids = [this] {
    return "attempt=" + std::to_string(attempt_) + " backend=" + std::to_string(backend_);
  };
  bool in_time =
      now < send_deadline_ + kMaxProcessStall + kDeadlineSlack && pool_->IsSendWithinGrace(backend_, now);
  if (!in_time) invariants.RecordViolation(Invariant::kSentInTime, ids());
  double remaining_s = ElapsedSeconds(now, deadline_);
  if (!streamed_request_ && announced_s > std::max(0.001, remaining_s) + kTimeoutHeaderSlackS)
    invariants.RecordViolation(Invariant::kTimeoutAnnounced,
                               ids() + " told_s=" + std::to_string(announced_s));
}

void BackendConnection::Write() {
  if (!reading_) Read();
  write_pending_ = true;
  WriteAll(socket_, message_, [self = shared_from_this(), this, current = attempt_](error_code error) {
    if (closed_ || !busy_ || attempt_ != current) return;
    write_pending_ = false;
    send_watch_.Pause(Clock::now());
    if (!error && stream_.request_more) return RequestNextPiece();
    if (!error) {
      if (streamed_request_) WaitUntil(deadline_);
      written_ = true;
      ++pool_->metrics_->requests_written;
      message_ = std::string();
      return;
    }
    // The last byte was not written, so the request has not begun. Posted, as the caller may be in Start.
    asio::post(pool_->io_, [self, this, current] {
      if (busy_ && attempt_ == current) Finish(AttemptResult::kConnectFailed, Cause::kConnectionEnded);
    });
  });
  if (write_pending_ && streamed_request_) send_watch_.Resume(socket_, Clock::now());
}

void BackendConnection::RequestNextPiece() {
  awaiting_upload_ = true;
  // A copy, because the last piece clears the member during the call.
  auto request_more = stream_.request_more;
  request_more([self = shared_from_this(), this, current = attempt_](RequestPiece piece) {
    if (closed_ || !busy_ || attempt_ != current) return;
    awaiting_upload_ = false;
    last_write_at_ = Clock::now();
    message_ = std::move(piece.bytes);
    if (piece.last) {
      stream_.request_more = nullptr;
      upload_s_ = ElapsedSeconds(started_at_, last_write_at_);
      deadline_ = last_write_at_ + Seconds(piece.timeout_s);
      WaitForUpload();
    }
    Write();
  });
}

// Ends the attempt without sending anything, after the caller has returned. An open connection stays usable.
void BackendConnection::FailUnsent(AttemptResult result) {
  if (!reading_) Read();
  asio::post(pool_->io_, [self = shared_from_this(), this, current = attempt_, result] {
    if (!busy_ || attempt_ != current) return;
    AttemptEnd end;
    end.result = result;
    end.cause = Cause::kNotAllowed;
    Finish(std::move(end), !closed_);
  });
}

// Returns false if nobody waits for the response any more.
bool BackendConnection::BeginStream() {
  streaming_response_ = true;
  auto length = parser_->content_length();
  last_progress_at_ = Clock::now();
  WaitForStream(last_progress_at_ + kStallTimeout);
  return stream_.on_begin(std::exchange(response_->headers, std::string()),
                          length ? std::optional<uint64_t>(*length) : std::nullopt);
}

void BackendConnection::Finish(AttemptResult result, Cause cause) {
  AttemptEnd end;
  end.result = result;
  end.cause = cause;
  end.streamed = streaming_response_;
  Finish(std::move(end), false);
}

void BackendConnection::Finish(AttemptEnd end, bool keep_alive) {
  if (!busy_) return;
  busy_ = false;
  end.upload_s = std::max(upload_s_, connect_wait_s_);
  end.duration_s = ElapsedSeconds(started_at_, Clock::now());
  end.body_bytes = received_bytes_;
  if (received_bytes_ > 0) end.silent_s = ElapsedSeconds(last_received_at_, Clock::now());
  pool_->in_flight_.erase(attempt_);
  // The connection is released before the outcome is reported, so that a retry doesn't open a second one.
  if (keep_alive && pool_->KeepIdle(backend_, address_, shared_from_this())) {
    idle_position_ = pool_->idle_order_.insert(pool_->idle_order_.end(), this);
    reusable_at_ = Clock::now() + kReuseDelay;
    WaitUntil(Clock::now() + pool_->idle_timeout_);
  } else {
    CloseSocket();
  }
  Done done = std::move(done_);
  done_ = nullptr;
  stream_ = {};
  body_ = std::string();
  response_.reset();
  parser_->get().base().clear();  // trailers
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  if (done) done(std::move(end));
}

}  // namespace lemonchute::net
