// The reasons for which connections, attempts and requests end: names in the metrics and the log, and counts.
// docs/ON-CALL.md explains the names.
#ifndef LEMONCHUTE_NET_REASONS_H_
#define LEMONCHUTE_NET_REASONS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "net/send_guard.h"
#include "policy/balancer.h"

namespace lemonchute::net {

/// Why a client's connection was closed.
enum class CloseReason {
  kClientEnded,   // closed by the client or by a network failure
  kNeverAsked,    // no first request within the time limit
  kSlowHead,      // the header of a request was not complete within the time limit
  kSlowBody,      // the body of a request was too slow
  kBrokenBody,    // the framing of a streamed body was invalid
  kSlowReader,    // the client did not read a response
  kAnsweredLast,  // after a response that ends the connection
  kCutShort,      // a response could not be completed
  kDrained,       // idle while the gateway drained, or evicted in favour of a new connection
  kCount,
};

inline const char* Name(CloseReason reason) {
  switch (reason) {
    case CloseReason::kClientEnded: return "client_ended";
    case CloseReason::kNeverAsked: return "never_asked";
    case CloseReason::kSlowHead: return "slow_head";
    case CloseReason::kSlowBody: return "slow_body";
    case CloseReason::kBrokenBody: return "broken_body";
    case CloseReason::kSlowReader: return "slow_reader";
    case CloseReason::kAnsweredLast: return "answered_last";
    case CloseReason::kCutShort: return "cut_short";
    case CloseReason::kDrained: return "drained";
    case CloseReason::kCount: break;
  }
  return "unknown";
}

inline const char* Name(policy::AttemptResult result) {
  using policy::AttemptResult;
  switch (result) {
    case AttemptResult::kOk: return "ok";
    case AttemptResult::kError: return "error";
    case AttemptResult::kOverloaded: return "full";
    case AttemptResult::kTimeout: return "timeout";
    case AttemptResult::kConnectFailed: return "connect_failed";
    case AttemptResult::kReset: return "reset";
    case AttemptResult::kCancelled: return "cancelled";
    case AttemptResult::kNotSent: return "never_sent";
  }
  return "unknown";
}

/// Why an attempt ended. Several causes have the same result.
enum class AttemptEndCause {
  kResponse,           // a complete response
  kNotConnected,       // the connection was refused or did not open in time
  kNotAllowed,         // the checks before the first byte failed
  kRequestStalled,     // the backend did not accept the whole request in time
  kTimeout,            // no response in time
  kResponseDeadline,   // a response that had begun was not complete in time
  kResponseStalled,    // a response that had begun made no progress
  kMalformedResponse,  // a response that is not HTTP, or exceeds a size limit
  kEarlyResponse,      // a response before the request was written completely
  kConnectionEnded,    // the backend or the network ended the connection
  kCancelled,          // by the gateway, which no longer needs the response
  kCount,
};

inline const char* Name(AttemptEndCause cause) {
  switch (cause) {
    case AttemptEndCause::kResponse: return "response";
    case AttemptEndCause::kNotConnected: return "not_connected";
    case AttemptEndCause::kNotAllowed: return "not_allowed";
    case AttemptEndCause::kRequestStalled: return "request_stalled";
    case AttemptEndCause::kTimeout: return "timeout";
    case AttemptEndCause::kResponseDeadline: return "response_deadline";
    case AttemptEndCause::kResponseStalled: return "response_stalled";
    case AttemptEndCause::kMalformedResponse: return "malformed_response";
    case AttemptEndCause::kEarlyResponse: return "early_response";
    case AttemptEndCause::kConnectionEnded: return "connection_ended";
    case AttemptEndCause::kCancelled: return "cancelled";
    case AttemptEndCause::kCount: break;
  }
  return "unknown";
}

inline const char* Name(policy::RejectReason reason) {
  using policy::RejectReason;
  switch (reason) {
    case RejectReason::kInvalidRequest: return "unsound";
    case RejectReason::kRateQuota: return "quota";
    case RejectReason::kCeiling: return "ceiling";
    case RejectReason::kConcurrencyCap: return "cap";
    case RejectReason::kLoadShed: return "crowded";
    case RejectReason::kNoBackend: return "no_backend";
    case RejectReason::kTooManyCustomers: return "too_many_customers";
    case RejectReason::kAttemptsExhausted: return "failed_attempts";
    case RejectReason::kCount: break;
  }
  return "unknown";
}

/// Counts how often each value of an enumeration occurs.
template <typename Enum, Enum kLast>
class CountsBy {
 public:
  void Add(Enum value) { ++counts_[static_cast<size_t>(value)]; }
  /// Calls visit(name, count) for each value that occurred.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (size_t i = 0; i < counts_.size(); ++i) {
      if (counts_[i] > 0) visit(Name(static_cast<Enum>(i)), counts_[i]);
    }
  }

 private:
  std::array<uint64_t, static_cast<size_t>(kLast) + 1> counts_{};
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_REASONS_H_
