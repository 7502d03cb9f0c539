// One HTTP/1.1 connection to a backend and the attempt on it.
#ifndef LEMONCHUTE_NET_BACKEND_CONNECTION_H_
#define LEMONCHUTE_NET_BACKEND_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/attempt.h"
#include "net/backend_response.h"
#include "net/http.h"
#include "net/message_decoding.h"
#include "net/one_shot_timer.h"
#include "net/peer_rate.h"
#include "net/send_watch.h"
#include "net/steady_clock.h"

namespace lemonchute::net {

class BackendPool;

/// A connection that serves one attempt at a time. Created by BackendPool, which outlives its use: the pool
/// refers to it by attempt while it is busy and by backend while it is idle, and pending I/O handlers keep it
/// alive until they have run.
///
/// Order of calls: Start, then the attempt's Done or Abort; then Start again if the connection went idle. A
/// read is always pending while the connection is idle, to detect a close or unsolicited bytes.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  using Done = std::function<void(AttemptEnd)>;

  /// The connection counts towards the limit of `pool` from here until CloseSocket.
  BackendConnection(BackendPool* pool, uint32_t backend, const tcp::endpoint& address);
  ~BackendConnection();

  /// Whether the last byte of the attempt was written, so that the backend may have executed the request.
  bool may_have_run() const { return written_; }
  bool open() const { return open_; }
  /// Whether the pause between two attempts on one connection is over.
  bool IsReusable(Clock::time_point now) const { return now >= reusable_at_; }
  /// Whether the idle connection can carry another attempt: open on both sides and without unread bytes.
  bool IsUsable() { return open_ && !busy_ && !IsStale(socket_); }

  /// Connects if necessary and sends `message`. `done` runs once, never within this call.
  void Start(uint64_t attempt, AttemptMessage message, AttemptLimits limits, Done done, AttemptStream stream);
  /// Ends an attempt whose request is not written completely, and so has not been executed.
  void FailUnwritten();
  /// Ends the attempt without reporting an outcome and closes the connection.
  void Abort();
  /// Closes the connection. Its pending handlers do nothing afterwards. Idempotent.
  void CloseSocket();
  /// Leaves the pool's idle order. The caller removes the connection from its backend's idle list.
  void LeaveIdleOrder();
  /// Closes an idle connection and removes it from its backend's idle list.
  void RemoveAndClose();

 private:
  // The attempt's timer.
  void WaitUntil(Clock::time_point when);
  void WaitForStream(Clock::time_point when);
  void WaitForUpload();
  void OnTimer();
  bool HasResponseDeadline() const;
  Clock::time_point ResponseDueAt() const;

  // Connecting.
  void Connect();
  void StartConnectAttempt();
  void OnConnectFailed(error_code error);
  void OnConnected();

  // The request.
  double InsertTimeout();
  void Write();
  void RequestNextPiece();
  void FailUnsent(policy::AttemptResult result);
  void CheckSendInvariants(double announced_s);

  // The response.
  void Read();
  void OnReadable(error_code error);
  void OnReadEnd(error_code error);
  void ContinueReading();
  void Parse();
  error_code Decode();
  void CountReceived(size_t size);
  bool ShouldStream() const;
  bool BeginStream();
  void DeliverPiece();
  void OnResponse(bool keep_alive);

  void Finish(policy::AttemptResult result, AttemptEndCause cause);
  void Finish(AttemptEnd end, bool keep_alive);

  BackendPool* pool_;
  const uint32_t backend_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  bool open_ = false;                 // connected
  bool closed_ = false;               // never opened again
  bool reading_ = false;              // a read is pending
  boost::beast::flat_buffer buffer_;  // received, not yet parsed

  // While idle.
  std::optional<std::list<BackendConnection*>::iterator> idle_position_;  // in the pool's idle order
  Clock::time_point reusable_at_;

  // Connecting.
  OneShotTimer connect_retry_;
  Clock::duration connect_backoff_{};  // before the latest retry; doubles
  bool local_shortage_ = false;        // the latest connect failed because a local resource was exhausted
  double connect_wait_s_ = 0;          // from the start until the latest connect was issued

  // The attempt.
  bool busy_ = false;
  uint64_t attempt_ = 0;
  Done done_;
  AttemptStream stream_;
  asio::steady_timer timer_;  // limits the attempt, then the idle time
  Clock::time_point started_at_;
  Clock::time_point deadline_;
  Clock::time_point send_deadline_;  // no request is started after it

  // Its request.
  std::string message_;  // being written
  size_t timeout_offset_ = std::string::npos;
  double max_timeout_s_ = 0;
  std::function<bool()> may_send_;
  bool streamed_request_ = false;  // forwarded piece by piece
  bool awaiting_upload_ = false;   // the next piece was requested and has not arrived
  bool write_pending_ = false;     // a write waits for the socket
  SendWatch send_watch_;           // of a streamed request
  bool written_ = false;           // the last byte was sent: the request may have been executed
  double upload_s_ = 0;            // from the start until the last piece arrived
  Clock::time_point last_write_at_;

  // Its response.
  std::optional<http::response_parser<http::buffer_body>> parser_;
  HeadCheck<http::response_parser<http::buffer_body>> head_check_;
  std::optional<BackendResponse> response_;  // once its header was parsed
  std::string body_;                         // not yet delivered
  bool streaming_response_ = false;          // delivered piece by piece; has begun
  bool awaiting_consumer_ = false;           // a piece was delivered and not yet consumed
  bool delivering_ = false;                  // within the call that delivers a piece
  size_t received_bytes_ = 0;                // of the decoded body
  Clock::time_point last_received_at_;       // when the latest of them arrived
  size_t delivered_bytes_ = 0;
  PeerRate rate_;                       // at which the body arrives
  Clock::time_point last_progress_at_;  // when a part of the body was last delivered or consumed
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_BACKEND_CONNECTION_H_
