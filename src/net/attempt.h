// The interface between the sender of an attempt and the backend pool: message, time limits, streaming
// callbacks and outcome.
#ifndef LEMONCHUTE_NET_ATTEMPT_H_
#define LEMONCHUTE_NET_ATTEMPT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/reasons.h"
#include "policy/balancer.h"

namespace lemonchute::net {

/// policy::kMaxProcessStallS as a duration.
inline constexpr auto kMaxProcessStall =
    std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(policy::kMaxProcessStallS));
/// Tolerance that the rules of the protocol specification add to each time limit (PROTOCOL).
inline constexpr auto kDeadlineSlack = std::chrono::milliseconds(50);

/// Outcome of one attempt. Reported exactly once, unless the attempt is cancelled.
struct AttemptEnd {
  policy::AttemptResult result = policy::AttemptResult::kOk;
  AttemptEndCause cause = AttemptEndCause::kResponse;
  bool streamed = false;  ///< Header and body were delivered through AttemptStream and are not here.
  double duration_s = 0;  ///< Time from BackendPool::Send to the end of the attempt.
  /// The part of `duration_s` that was not spent at the backend: until the last byte of a streamed request,
  /// or until a connect could be issued.
  double upload_s = 0;
  size_t body_bytes = 0;    ///< Of the response, as far as they were received.
  double silent_s = 0;      ///< Time since the latest of them; 0 if there were none.
  double actual_units = 0;  ///< Cost reported by the backend; 0 if none was.
  std::string headers;      ///< End-to-end header lines of a 200 response.
  std::string body;
};

/// The next bytes of a streamed request.
struct RequestPiece {
  std::string bytes;
  bool last = false;
  double timeout_s = 0;  ///< Of the last piece: until the attempt times out, which is known only now.
};

/// Callbacks for messages that are too large to be buffered.
struct AttemptStream {
  /// A streamed response begins.
  /// @param headers end-to-end header lines
  /// @param length length of the body in bytes, if known
  /// @return false if nobody waits for the response any more; the attempt then ends as cancelled
  std::function<bool(std::string headers, std::optional<uint64_t> length)> on_begin;
  /// The next piece of the response's body. The following piece is delivered only after `on_consumed` was
  /// called, within this call or later.
  std::function<void(std::string piece, std::function<void()> on_consumed)> on_piece;
  /// Requests the next bytes of the request. Set only if the message holds just the beginning of it.
  std::function<void(std::function<void(RequestPiece)>)> request_more;
};

/// The buffered bytes of a request.
struct AttemptMessage {
  std::string text;
  /// Offset in `text` at which the remaining time in milliseconds is inserted. It is inserted when the
  /// message is written, because connecting may take time. npos: not inserted.
  size_t timeout_offset = std::string::npos;
  double max_timeout_s = 0;  ///< Upper bound of the inserted time: the client's own timeout.
  /// Called immediately before the first byte is written. False ends the attempt as kNotSent.
  std::function<bool()> may_send = {};
};

/// Time limits of one attempt, counted from BackendPool::Send.
struct AttemptLimits {
  double timeout_s = 0;       ///< Until the attempt times out.
  double start_within_s = 0;  ///< Until the first byte must be written; 0: no limit but `timeout_s`.
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_ATTEMPT_H_
