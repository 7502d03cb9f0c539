// Owns the verdict on a day: it hears what really happened at clients, backends and the counter, whoever
// plays the day, checks every rule, and marks each decision by the truth. Events have to come in order of
// time.
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

enum class TryOutcome { kServed, kRefused, kFailed };

// One try of a client at a gateway; its id is its place in RunChecker::try_count().
struct Try {
  uint32_t arrival = 0;
  int number = 0;  // 0: the first
  int gateway = 0;
  Micros sent_at = 0, timeout = 0;
  // What became of it.
  Micros received_at = kNever, ended_at = kNever;
  int attempts = 0, in_flight = 0, undelivered = 0;
  bool gateway_ended = false;         // its gateway ended while it was open
  bool closed = false;                // a final answer was given, or the client had gone
  std::optional<TryOutcome> outcome;  // as the client got it
  QuotaStatus quota_status = QuotaStatus::kWithinQuota;
};

// What a refusal or an admission was, by the truth.
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
const char* Name(DecisionKind decision);

struct Violation {
  std::string rule, description;
  Micros at = 0;
  uint64_t request = 0;
  std::vector<int> gateways;  // that the client's request crossed, all its tries together
};

class RunChecker {
 public:
  RunChecker(const RunSpec& spec, const Discovery& discovery);
  // Requests and their answers are put into `history` too, from here on. It outlives the judge.
  void RecordTo(History* history) { history_ = history; }

  uint32_t OnTrySent(Micros now, uint32_t arrival, int number, int gateway, Micros timeout);
  void OnTryReceived(Micros now, uint32_t id);
  // The gateway could not be reached or closed the connection unheard. Failed, and not lost.
  void OnTryUndelivered(Micros now, uint32_t id);
  // An attempt begins to be sent: the moment that rules on drains go by.
  void OnAttemptStarted(Micros now, uint32_t id, int backend);
  // An attempt has reached a backend whole; it is out from then on. A negative regret was not taken.
  void OnAttemptArrived(Micros now, uint32_t id, int backend, Regret regret);
  // An attempt was written whole and nothing of it arrived: its backend is cut off or silent.
  void OnAttemptUndelivered(uint32_t id) { ++tries_[id].undelivered; }
  // It is out no more. `work_s` was done for it, in vain unless it served.
  void OnAttemptEnded(Micros now, uint32_t id, bool served, double work_s);
  // Work that a backend did for an attempt after it was out no more.
  void AddWastedWork(double work_s) { wasted_s_ += work_s; }
  // The client has a whole final answer. `room`: a refusal's gateway knew of a backend with a free slot.
  void OnTryAnswered(Micros now, uint32_t id, TryOutcome outcome, bool slot_free);
  // The client has left, or its patience is over.
  void OnClientLeft(Micros now, uint32_t id);
  // The gateway ended this request's connection without a whole answer, or never answered.
  void OnTryLost(Micros now, uint32_t id, const std::string& reason);
  void OnGatewayEnded(Micros now, int gateway);
  // It is killed after the time that it had to end by itself: what it took after `since` and holds is lost.
  void OnGatewayKilledAfterGrace(Micros now, int gateway, Micros since);
  // A process of it starts: what was told to the one before counts as told from here on.
  void OnGatewayStarted(Micros now, int gateway) { gateway_started_at_[static_cast<size_t>(gateway)] = now; }
  void OnGatewayCrashed(Micros now, int gateway, const std::string& reason);
  void OnBackendTipped(Micros now, int backend, const Backend::Tip& tip);
  void OnCounterCall(Micros now, int gateway, double amount);
  void OnHandshake(Micros now);
  // A peer that sent no proper request was given an error or a close in time, or was not.
  void OnMisbehavingPeer(bool rejected_in_time) {
    ++misbehaving_peers_, unrejected_peers_ += rejected_in_time ? 0 : 1;
  }
  void OnBackendOffline(Micros now, int backend, bool offline);
  void OnQuotasScaled(double times) { ground_truth_.ScaleQuotas(times); }
  void AddViolation(const std::string& rule, Micros now, uint32_t id, const std::string& description);

  // Whether `gateway` has been told by `now` that `backend` is there, drains or has left; the last word
  // counts.
  ListState AnnouncedState(int gateway, int backend, Micros now, Micros* since) const;

  // What peers saw of one gateway, by class: final answers, tries whose client had gone, attempts.
  struct ClassTotals {
    std::vector<uint64_t> served, refused, failed, gone;
    uint64_t attempts = 0;
  };
  ClassTotals TotalsOf(int gateway) const;

  const Try& GetTry(uint32_t id) const { return tries_[id]; }
  size_t try_count() const { return tries_.size(); }
  const std::vector<Violation>& violations() const { return violations_; }
  uint64_t violation_count() const { return violation_count_; }
  // Everything about the day as it stands: figures, prices, marks, series by the second, breaches.
  nlohmann::json Report(Micros now) const;

 private:
  struct Second {
    double offered = 0, served = 0;  // worth inside quotas, by when it was asked
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
  std::vector<bool> within_quota_;  // by first tries
  std::vector<Try> tries_;
  Losses losses_;
  std::vector<char> served_state_;                     // by arrival: 1 served in time, 2 served late
  std::vector<std::vector<int>> versions_by_backend_;  // by backend: discovery's versions that speak of it
  mutable size_t indexed_versions_ = 0;
  std::vector<Micros> gateway_started_at_;  // by gateway: its latest process
  std::map<int, Micros> offline_since_;
  std::vector<std::set<uint32_t>> open_tries_;  // by gateway: tries taken and not ended
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
