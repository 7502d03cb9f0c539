/// The state of one backend.
#ifndef LEMONCHUTE_POLICY_BACKEND_BACKEND_H_
#define LEMONCHUTE_POLICY_BACKEND_BACKEND_H_

#include "policy/backend/concurrency_limit.h"
#include "policy/backend/latency_estimate.h"
#include "policy/backend/outlier_detector.h"
#include "policy/backend/slow_start.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// One backend of the endpoint list, or one removed from it that has attempts in flight.
struct Backend {
  Endpoint endpoint;
  bool offline = false;             ///< Taken out of service by an operator.
  int in_flight = 0;                ///< Attempts of this gateway.
  double last_response_s = 0;       ///< Initially the time at which it was listed.
  double last_answered_sent_s = 0;  ///< When the most recently sent attempt with a response was sent.
  LatencyEstimate latency;
  ConcurrencyLimit limit;
  OutlierDetector outlier;
  SlowStart slow_start;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BACKEND_BACKEND_H_
