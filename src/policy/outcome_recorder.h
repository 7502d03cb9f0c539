/// Updates the state of backends, the estimates and the load shedder from the outcomes of attempts.
#ifndef LEMONCHUTE_POLICY_OUTCOME_RECORDER_H_
#define LEMONCHUTE_POLICY_OUTCOME_RECORDER_H_

#include "policy/action_sink.h"
#include "policy/backend_selector.h"
#include "policy/in_flight_request.h"
#include "policy/load_shedder.h"
#include "policy/quota/quota_manager.h"
#include "policy/random_source.h"
#include "policy/service_time_estimates.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// Passes each outcome to the components that adapt to it.
class OutcomeRecorder {
 public:
  /// All components outlive this object.
  OutcomeRecorder(ServiceTimeEstimates* estimates, BackendSelector* selector, LoadShedder* shedder,
                  QuotaManager* quota, RandomSource* random)
      : estimates_(estimates), selector_(selector), shedder_(shedder), quota_(quota), random_(random) {}

  /// @param attempt has ended with `outcome`, and is no longer counted as in flight at `backend`.
  void RecordOutcome(Backend* backend, const InFlightRequest& active, const ClassSettings& class_settings,
                     const Attempt& attempt, const AttemptOutcome& outcome, double now, ActionSink* sink);
  /// @param connection_failed the connection was not established, or was reset.
  void RecordFailure(Backend* backend, bool connection_failed, double now, ActionSink* sink);
  /// A request's deadline has passed although its backend responds to other requests.
  void RecordMissedDeadline(double now);

 private:
  void RecordSuccess(Backend* backend, const InFlightRequest& active, const ClassSettings& class_settings,
                     const Attempt& attempt, const AttemptOutcome& outcome, double now, ActionSink* sink);
  void RecordOverload(Backend* backend, double now);

  ServiceTimeEstimates* estimates_;
  BackendSelector* selector_;
  LoadShedder* shedder_;
  QuotaManager* quota_;
  RandomSource* random_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_OUTCOME_RECORDER_H_
