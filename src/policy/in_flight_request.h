/// The state of one request from its arrival until its last attempt has ended.
#ifndef LEMONCHUTE_POLICY_IN_FLIGHT_REQUEST_H_
#define LEMONCHUTE_POLICY_IN_FLIGHT_REQUEST_H_

#include <cstdint>
#include <vector>

#include "policy/types.h"

namespace lemonchute::policy {

/// One attempt at one backend.
struct Attempt {
  uint32_t backend_id = 0;
  double sent_s = 0;
  bool in_flight = false;
  /// When the first byte of a streamed response arrived; its backend's work is done by then. 0: not yet.
  double response_started_s = 0;
};

/// A request that waits for the counter or for its attempts.
struct InFlightRequest {
  Request request;
  double deadline_s = 0;
  std::vector<Attempt> attempts;  ///< In the order of sending.
  int attempts_in_flight = 0;
  int max_attempts = 0;  ///< By the settings at its arrival, as the next two.
  bool hedging_allowed = false;
  bool cancellation_allowed = false;
  bool body_discarded = false;  ///< The request can't be sent again.
  bool finished = false;        ///< Has its response, or its client has gone.
  bool response_started = false;
  bool inside_quota = false;
  bool may_have_run = false;  ///< An attempt has ended without proof that the backend did not run it.
  double first_run_s = 0;     ///< When the first attempt that may have run was sent.
  int run_zone = 0;           ///< Of that attempt's backend; -1: no longer listed.
  int run_cell = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_IN_FLIGHT_REQUEST_H_
