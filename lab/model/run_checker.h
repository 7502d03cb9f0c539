// Checks and scores one run. It is notified of what really happened at clients, backends and the counter,
// checks every rule, and classifies each decision of a gateway against the ground truth. Events have to be
// reported in order of time. It does not depend on how the run is executed.
#ifndef LEMONCHUTE_LAB_MODEL_RUN_CHECKER_H_
#define LEMONCHUTE_LAB_MODEL_RUN_CHECKER_H_

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "checker/history.h"
#include "model/choice.h"
#include "model/discovery.h"
#include "model/ground_truth.h"
#include "model/losses.h"

namespace lemonchute::lab {

/// The final answer of a try, as the client classifies it.
enum class TryOutcome { kServed, kRefused, kFailed };

/// One try of a client's request at one gateway. Its id is its index: RunChecker::GetTry(id).
struct Try {
  uint32_t arrival = 0;
  int number = 0;  // 0 is the first try
  int gateway = 0;
  Micros sent_at = 0, timeout = 0;
  // The result.
  Micros received_at = kNever, ended_at = kNever;
  int attempts = 0, in_flight = 0, undelivered = 0;
  bool gateway_ended = false;         // its gateway's process ended while the try was open
  bool closed = false;                // a final answer was given or the client had left
  std::optional<TryOutcome> outcome;  // as the client received it
  QuotaStatus quota_status = QuotaStatus::kWithinQuota;
};

/// A gateway's decision to admit or refuse a try, judged by the true state of the site.
enum class DecisionKind {
  kAdmittedWithinQuota,
  kAdmittedOverRate,
  kAdmittedOverCap,
  kRefusedForQuota,
  kRefusedForCap,
  kRefusedNoCapacity,
  kRefusedNeedlessly,
  kCount
};
/// The name in reports.
const char* Name(DecisionKind decision);

/// A violation of a rule of the run.
struct Violation {
  std::string rule, description;
  Micros at = 0;
  uint64_t request = 0;
  std::vector<int> gateways;  // of all tries of the client's request
};

/// Checks and scores a run from the events that it is notified of.
class RunChecker {
 public:
  RunChecker(const RunSpec& spec, const Discovery& discovery);
  /// From here on, also records requests and their answers in `history`, which has to outlive the checker.
  void RecordTo(History* history) { history_ = history; }

  uint32_t OnTrySent(Micros now, uint32_t arrival, int number, int gateway, Micros timeout);
  void OnTryReceived(Micros now, uint32_t id);
  /// The gateway could not be reached, or closed the connection without reading the request. The try has
  /// failed but does not count as lost.
  void OnTryUndelivered(Micros now, uint32_t id);
  /// A gateway starts to send an attempt. This is the moment that the drain rules apply to.
  void OnAttemptStarted(Micros now, uint32_t id, int backend);
  /// An attempt has arrived at a backend completely and is in flight from now on. A negative regret was not
  /// measured and is not counted.
  void OnAttemptArrived(Micros now, uint32_t id, int backend, Regret regret);
  /// An attempt was written completely but none of it arrived: its backend is cut off or silent.
  void OnAttemptUndelivered(uint32_t id) { ++tries_[id].undelivered; }
  /// An attempt is no longer in flight. The backend has done `work_s` for it, which is wasted unless it was
  /// served.
  void OnAttemptEnded(Micros now, uint32_t id, bool served, double work_s);
  /// Adds work that a backend did for an attempt that was no longer in flight.
  void AddWastedWork(double work_s) { wasted_s_ += work_s; }
  /// The client has received a complete final answer. `slot_free`: when the gateway refused the try, a
  /// backend that it knew had a free slot.
  void OnTryAnswered(Micros now, uint32_t id, TryOutcome outcome, bool slot_free);
  /// The client has left, or its timeout has expired.
  void OnClientLeft(Micros now, uint32_t id);
  /// The gateway closed the try's connection without a complete answer, or never answered.
  void OnTryLost(Micros now, uint32_t id, const std::string& reason);
  void OnGatewayEnded(Micros now, int gateway);
  /// The gateway was killed after its termination grace: tries that it received after `since` and still holds
  /// are lost.
  void OnGatewayKilledAfterGrace(Micros now, int gateway, Micros since);
  /// A new process of the gateway starts. What discovery announced to its predecessor counts as announced to
  /// it from now on.
  void OnGatewayStarted(Micros now, int gateway) { gateway_started_at_[static_cast<size_t>(gateway)] = now; }
  void OnGatewayCrashed(Micros now, int gateway, const std::string& reason);
  void OnBackendTipped(Micros now, int backend, const Backend::Tip& tip);
  void OnCounterCall(Micros now, int gateway, double amount);
  void OnHandshake(Micros now);
  /// A peer that sent no valid request was rejected in time, by an error or a close, or was not.
  void OnMisbehavingPeer(bool rejected_in_time) {
    ++misbehaving_peers_, unrejected_peers_ += rejected_in_time ? 0 : 1;
  }
  void OnBackendOffline(Micros now, int backend, bool offline);
  void OnQuotasScaled(double times) { ground_truth_.ScaleQuotas(times); }
  void AddViolation(const std::string& rule, Micros now, uint32_t id, const std::string& description);

  /// The latest state of `backend` that discovery has announced to `gateway` by `now`. `since` receives the
  /// time of the announcement, or 0 if there was none.
  ListState AnnouncedState(int gateway, int backend, Micros now, Micros* since) const;

  /// What clients and backends observed of one gateway, by request class: final answers, tries whose client
  /// had left, and attempts.
  struct ClassTotals {
    std::vector<uint64_t> served, refused, failed, gone;
    uint64_t attempts = 0;
  };
  ClassTotals TotalsOf(int gateway) const;

  const Try& GetTry(uint32_t id) const { return tries_[id]; }
  size_t try_count() const { return tries_.size(); }
  const std::vector<Violation>& violations() const { return violations_; }
  uint64_t violation_count() const { return violation_count_; }
  /// The report of the run up to `now`: counts, prices, decisions, per-second series and violations.
  nlohmann::json Report(Micros now) const;

 private:
  struct Second {
    double offered = 0, served = 0;  // value requested within quotas, by time of arrival
    double over_quota_units = 0;
    std::array<uint32_t, static_cast<size_t>(DecisionKind::kCount)> decisions{};
    uint32_t first_try_count = 0, tries = 0, attempts = 0, calls = 0, failed = 0, handshakes = 0;
  };
  double Worth(uint32_t arrival, double units) const;
  double OfferedWorth(uint32_t arrival) const;
  Second& SecondOf(Micros now);
  void CountDecision(DecisionKind decision, Micros now, uint32_t id);
  void RecordRequestEvent(HistoryEventKind event, Micros now, uint32_t id);
  void UpdateDigest(char tag, Micros now, uint64_t a, uint64_t b = 0);

  const RunSpec* spec_;
  const Discovery* discovery_;
  GroundTruth ground_truth_;
  std::vector<bool> within_quota_;  // by arrival; see WithinQuotaByFirstTries()
  std::vector<Try> tries_;
  Losses losses_;
  std::vector<char> served_state_;                     // by arrival: 1 served in time, 2 served late
  std::vector<std::vector<int>> versions_by_backend_;  // by backend: the discovery versions that mention it
  mutable size_t indexed_versions_ = 0;
  std::vector<Micros> gateway_started_at_;  // by gateway: start of its latest process
  std::map<int, Micros> offline_since_;
  std::vector<std::set<uint32_t>> open_tries_;  // by gateway: tries received and not ended
  std::vector<Violation> violations_;
  uint64_t violation_count_ = 0;
  std::vector<Second> seconds_;
  std::vector<double> plan_served_;
  double over_cost_ = 0, wasted_s_ = 0, held_worth_ = 0;
  uint64_t calls_ = 0, attempts_ = 0, cross_zone_ = 0, handshakes_ = 0, undelivered_ = 0, lost_ = 0,
           tipped_ = 0, misbehaving_peers_ = 0, unrejected_peers_ = 0;
  uint64_t served_ = 0, refused_ = 0, failed_ = 0, refused_at_half_tokens_ = 0;
  double units_forwarded_ = 0, units_over_quota_ = 0, units_settled_ = 0, units_reported_ = 0;
  double regret_known_s_ = 0, regret_best_s_ = 0;
  uint64_t regret_count_ = 0;
  using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<LogAxis>> latency_;
  uint64_t digest_ = 0;
  History* history_ = nullptr;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_RUN_CHECKER_H_
