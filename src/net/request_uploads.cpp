// RequestLifecycle's requests whose body is forwarded piece by piece: their pieces and their deadline.
#include <algorithm>
#include <utility>
#include <vector>

#include "net/request_lifecycle.h"

namespace lemonchute::net {

// From the first piece on the request can't be retried, because the bytes that were sent are not buffered.
void RequestLifecycle::PullUpload(uint32_t id, std::function<void(RequestPiece)> deliver) {
  InFlightRequest* request = Find(id);
  if (request == nullptr || request->answered) return;
  request->body_discarded = true;
  request->body = std::string();
  server_.Pull(request->connection, [this, id, chunked = request->chunked, deliver = std::move(deliver)](
                                        std::string bytes, bool last) {
    RequestPiece piece{std::move(bytes), last};
    if (last) piece.timeout_s = OnUploadEnd(id);
    if (chunked && !piece.bytes.empty()) piece.bytes = EncodeChunk(piece.bytes);
    if (chunked && last) piece.bytes += "0\r\n\r\n";
    deliver(std::move(piece));
  });
}

double RequestLifecycle::OnUploadEnd(uint32_t id) {
  InFlightRequest* request = Find(id);
  if (request == nullptr) return 0;
  request->uploading = false;
  auto deadline_in = ResponseDeadlineOfUpload(*request) - Clock::now();
  double left_s = std::min(std::chrono::duration<double>(deadline_in).count(), process_.RemainingLifetimeS());
  log_.Log(request->request_id, "received", "left_s=%.3f", left_s);
  request->deadline = Clock::now() + Seconds(left_s);
  request->client_deadline = request->deadline + Seconds(request->margin_s / 2);
  timers_.Add(request->deadline, TimerKind::kResponseDeadline, id);
  return left_s;
}

// The client's timeout counts from the last byte of its request, which may have arrived long before it is
// read: reading pauses while the backend accepts nothing.
Clock::time_point RequestLifecycle::ResponseDeadlineOfUpload(const InFlightRequest& request) const {
  return server_.IncompleteUntil(request.connection) + Seconds(request.timeout_s - request.margin_s / 2);
}

// Ends the attempts that are not written completely, as failures of their backends: each had bytes of the
// request to accept for the whole of the client's timeout.
void RequestLifecycle::FailStalledAttempts(uint32_t id) {
  std::vector<uint64_t> in_flight;
  for (const InFlightAttempt& attempt : in_flight_.at(id).attempts) {
    if (attempt.in_flight) in_flight.push_back(attempt.pool_attempt);
  }
  for (uint64_t attempt : in_flight) pool_.FailIfUnwritten(attempt);
}

void RequestLifecycle::CheckUploadDeadline(uint32_t id) {
  const InFlightRequest& request = in_flight_.at(id);
  auto deadline = std::min(request.deadline, ResponseDeadlineOfUpload(request));
  if (Clock::now() < deadline) return timers_.Add(deadline, TimerKind::kResponseDeadline, id);
  FailStalledAttempts(id);
  const InFlightRequest* remaining = Find(id);
  if (remaining != nullptr && !remaining->answered) FailWithTimeout(id);
}

}  // namespace lemonchute::net
