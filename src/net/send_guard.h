// The only check of whether an attempt, first or retry, may be sent. It is made twice: when the policy
// decides on the attempt, and again immediately before the first byte is written, since the connection may
// open late and the process may have been suspended in between.
#ifndef LEMONCHUTE_NET_SEND_GUARD_H_
#define LEMONCHUTE_NET_SEND_GUARD_H_

#include <chrono>

#include "policy/balancer.h"

namespace lemonchute::net {

/// The state of an attempt and its request at the time of the check.
struct SendFacts {
  policy::Idempotency idempotency = policy::Idempotency::kIdempotent;
  bool answered = false;         // the request has its response, or the response has begun
  bool client_connected = true;  // the client has not closed the connection
  bool body_buffered = true;     // the whole body is still buffered
  bool other_in_flight = false;  // another attempt of the request is in flight
  bool hedging_allowed = false;  // the settings allow several attempts at a time
  bool may_have_run = false;     // a backend may have executed an earlier attempt
  bool attempts_left = true;     // the settings' limit on attempts is not reached
  std::chrono::steady_clock::time_point now, deadline;
};

/// Whether an attempt may be sent, or else the first reason against it.
enum class SendVerdict {
  kSend,
  kAnswered,
  kClientGone,
  kDeadlinePassed,
  kBodyDiscarded,
  kTooManyAttempts,
  kOtherInFlight,
  kUnsafeRepeat,
};

/// Only idempotent requests may be hedged. A non-idempotent request that may have run is never retried.
inline SendVerdict CheckSend(const SendFacts& facts) {
  using policy::Idempotency;
  if (facts.answered) return SendVerdict::kAnswered;
  if (!facts.client_connected) return SendVerdict::kClientGone;
  if (facts.now >= facts.deadline) return SendVerdict::kDeadlinePassed;
  if (!facts.body_buffered) return SendVerdict::kBodyDiscarded;
  if (!facts.attempts_left) return SendVerdict::kTooManyAttempts;
  if (facts.other_in_flight && (!facts.hedging_allowed || facts.idempotency != Idempotency::kIdempotent))
    return SendVerdict::kOtherInFlight;
  if (facts.may_have_run && facts.idempotency == Idempotency::kNonIdempotent)
    return SendVerdict::kUnsafeRepeat;
  return SendVerdict::kSend;
}

/// @return the name in the metric `held_back` and in the log
inline const char* Name(SendVerdict verdict) {
  switch (verdict) {
    case SendVerdict::kSend: return "sent";
    case SendVerdict::kAnswered: return "answered";
    case SendVerdict::kClientGone: return "client_gone";
    case SendVerdict::kDeadlinePassed: return "time_over";
    case SendVerdict::kBodyDiscarded: return "body_gone";
    case SendVerdict::kTooManyAttempts: return "too_many_attempts";
    case SendVerdict::kOtherInFlight: return "other_out";
    case SendVerdict::kUnsafeRepeat: return "unsafe_repeat";
  }
  return "unknown";
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_SEND_GUARD_H_
