// The state of a client's request that the gateway is processing, and how it is created from the message.
#ifndef LEMONCHUTE_NET_IN_FLIGHT_REQUEST_H_
#define LEMONCHUTE_NET_IN_FLIGHT_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/backend_pool.h"
#include "net/client_call.h"
#include "net/client_server.h"
#include "net/config.h"
#include "policy/balancer.h"

namespace lemonchute::net {

/// One attempt of a request.
struct InFlightAttempt {
  uint64_t pool_attempt = 0;                                  // its id in the backend pool
  bool in_flight = false;                                     // until its end was reported
  policy::AttemptResult result = policy::AttemptResult::kOk;  // once it has ended
};

/// A request from its arrival until its response was sent and the ends of all its attempts were reported.
struct InFlightRequest {
  uint64_t connection = 0;  // id of the client's connection
  std::string request_id;   // the client's Request-Id
  std::string head;        // sent to backends, without the Request-Timeout-Ms header and the final empty line
  std::string body;        // sent to backends; only the buffered part
  std::string class_name;  // for the metrics
  std::shared_ptr<const Config> config;  // in effect when the request arrived
  policy::Idempotency idempotency = policy::Idempotency::kIdempotent;
  double timeout_s = 0;               // as requested by the client
  double margin_s = 0;                // see RequestTimeLimits
  Clock::time_point deadline;         // for the decision on the response
  Clock::time_point client_deadline;  // at which the client gives up, as estimated here
  std::vector<InFlightAttempt> attempts;
  std::optional<int> streaming_attempt;  // the attempt whose response is being streamed to the client
  bool body_streamed = false;            // the body is forwarded as it arrives
  bool uploading = false;                // its last byte has not been read yet
  bool chunked = false;                  // the body is sent in chunks
  bool body_discarded = false;           // a part of the body was sent and is no longer buffered
  bool answered = false;                 // the response was sent, or the client has gone
  bool may_have_run = false;             // a backend may have executed the request

  /// Frees what only a further attempt would need.
  void ReleaseMessage() { head = body = std::string(); }
  bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const InFlightAttempt& attempt) { return attempt.in_flight; });
  }
};

/// The time limits of a request.
struct RequestTimeLimits {
  double timeout_s = 0;  // until the client gives up
  double margin_s = 0;   // the part of it that is reserved for sending the response and for CPU contention
};

/// @param remaining_lifetime_s how long the process can still work on the request
RequestTimeLimits ComputeTimeLimits(double client_timeout_s, const ClientMessage& message,
                                    const std::optional<Upload>& upload, double remaining_lifetime_s);

/// @param message the client's message; its body is moved from
/// @param target the message's target in origin form
InFlightRequest MakeInFlightRequest(uint64_t connection, ClientMessage& message, std::string_view target,
                                    const std::optional<Upload>& upload);

/// @return `piece` as one chunk of a chunked body (RFC 9112, 7.1)
std::string EncodeChunk(const std::string& piece);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_IN_FLIGHT_REQUEST_H_
