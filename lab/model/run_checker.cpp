// Rules as PROTOCOL, TERMS and WIRE define them; the score G as BENCH and BRIEF define it.
#include "model/run_checker.h"

#include <xxhash.h>

#include <algorithm>

namespace lemonchute::lab {
namespace {

constexpr size_t kMaxViolations = 100;
// An announcement of discovery counts as received after this time at the latest (PROTOCOL, Figures).
constexpr Micros kMaxNoticeDelay = 6 * kSecond;
// An attempt may be in transit while the answer is; the slack on sockets.
constexpr Micros kAnswerInTransit = 50'000;
// A tipped backend is a violation if at least this share of its work came from gateways told of its start.
constexpr double kInformedShareLimit = 2.0 / 3;
constexpr Micros kScoringStart = kSecond;
// A request that is unanswered this long after its time is lost (BENCH).
constexpr Micros kAnswerGrace = 500'000;
// Length of the worst window in the score.
constexpr double kWorstWindowS = 10;

double Share(double part, double of) { return of > 0 ? part / of : 0; }
double Round(double x) { return std::round(x * 1e6) / 1e6; }

}  // namespace

const char* Name(DecisionKind decision) {
  switch (decision) {
    case DecisionKind::kAdmittedWithinQuota: return "admitted_inside";
    case DecisionKind::kAdmittedOverRate: return "admitted_beyond_rate";
    case DecisionKind::kAdmittedOverCap: return "admitted_beyond_cap";
    case DecisionKind::kRefusedForQuota: return "refused_rightly_quota";
    case DecisionKind::kRefusedForCap: return "refused_rightly_cap";
    case DecisionKind::kRefusedNoCapacity: return "refused_rightly_room";
    case DecisionKind::kRefusedNeedlessly: return "refused_needlessly";
    case DecisionKind::kCount: break;
  }
  return "";
}

RunChecker::RunChecker(const RunSpec& spec, const Discovery& discovery)
    : spec_(&spec),
      discovery_(&discovery),
      ground_truth_(spec),
      within_quota_(WithinQuotaByFirstTries(spec)),
      losses_(spec),
      served_state_(spec.arrivals.size(), 0),
      versions_by_backend_(spec.backends.size()),
      gateway_started_at_(static_cast<size_t>(spec.gateways), 0),
      open_tries_(static_cast<size_t>(spec.gateways)),
      plan_served_(spec.plans.size(), 0),
      latency_(std::make_tuple(LogAxis(400, 1e-4, 1e3))) {
  seconds_.resize(static_cast<size_t>(ToSeconds(spec.end)) + 2);
  for (size_t i = 0; i < spec.arrivals.size(); ++i) {
    const Arrival& a = spec.arrivals[i];
    if (a.at < kScoringStart) continue;
    SecondOf(a.at).offered += OfferedWorth(static_cast<uint32_t>(i));
  }
}

RunChecker::Second& RunChecker::SecondOf(Micros now) {
  return seconds_[std::min(seconds_.size() - 1, static_cast<size_t>(std::max<Micros>(0, now) / kSecond))];
}

double RunChecker::Worth(uint32_t arrival, double units) const {
  const Arrival& a = spec_->arrivals[arrival];
  return spec_->classes[static_cast<size_t>(a.class_index)].worth *
         spec_->plans[static_cast<size_t>(spec_->customers[a.customer].plan)].price * units;
}

// Within quotas the full worth; beyond them what the plan still pays for it.
double RunChecker::OfferedWorth(uint32_t arrival) const {
  const Arrival& a = spec_->arrivals[arrival];
  return Worth(arrival, a.units) *
         (within_quota_[arrival]
              ? 1
              : spec_->plans[static_cast<size_t>(spec_->customers[a.customer].plan)].over_worth);
}

void RunChecker::UpdateDigest(char tag, Micros now, uint64_t a, uint64_t b) {
  uint64_t words[4] = {static_cast<uint64_t>(tag), static_cast<uint64_t>(now), a, b};
  digest_ = XXH3_64bits_withSeed(words, sizeof(words), digest_);
}

void RunChecker::RecordRequestEvent(HistoryEventKind event, Micros now, uint32_t id) {
  if (history_ == nullptr) return;
  const Try& t = tries_[id];
  std::string name("try ");
  history_->Add(
      {now, event, t.gateway, 0, name.append(std::to_string(id)), 0, 0,
       event == HistoryEventKind::kRequestReceived ? t.sent_at + t.timeout + kAnswerGrace : kNever});
}

void RunChecker::AddViolation(const std::string& rule, Micros now, uint32_t id,
                              const std::string& description) {
  ++violation_count_;
  if (violations_.size() >= kMaxViolations) return;
  Violation violation{rule, description, now, id, {}};
  if (id < tries_.size()) {
    for (const Try& t : tries_) {
      if (t.arrival == tries_[id].arrival) violation.gateways.push_back(t.gateway);
    }
  }
  violations_.push_back(std::move(violation));
}

uint32_t RunChecker::OnTrySent(Micros now, uint32_t arrival, int number, int gateway, Micros timeout) {
  auto id = static_cast<uint32_t>(tries_.size());
  UpdateDigest('s', now, arrival, static_cast<uint64_t>(gateway));
  Try t;
  t.arrival = arrival, t.number = number, t.gateway = gateway, t.sent_at = now, t.timeout = timeout;
  tries_.push_back(t);
  SecondOf(now).first_try_count += number == 0 ? 1 : 0;
  ++SecondOf(now).tries;
  return id;
}

void RunChecker::OnTryReceived(Micros now, uint32_t id) {
  RecordRequestEvent(HistoryEventKind::kRequestReceived, now, id);
  tries_[id].received_at = now;
  open_tries_[static_cast<size_t>(tries_[id].gateway)].insert(id);
}

void RunChecker::OnTryUndelivered(Micros now, uint32_t id) {
  UpdateDigest('u', now, id);
  RecordRequestEvent(HistoryEventKind::kClientGone, now, id);
  ++undelivered_;
  losses_.Set(tries_[id].arrival, Loss::kGatewayUnreachable);
  open_tries_[static_cast<size_t>(tries_[id].gateway)].erase(id);
  tries_[id].ended_at = now, tries_[id].closed = true;
  ++SecondOf(now).failed;
}

ListState RunChecker::AnnouncedState(int gateway, int backend, Micros now, Micros* since) const {
  auto* self = const_cast<RunChecker*>(this);  // the index by backend is a cache of discovery's list
  for (; indexed_versions_ < discovery_->changes().size(); ++indexed_versions_) {
    self->versions_by_backend_[static_cast<size_t>(discovery_->changes()[indexed_versions_].entry.backend)]
        .push_back(static_cast<int>(indexed_versions_) + 1);
  }
  const std::vector<int>& versions = versions_by_backend_[static_cast<size_t>(backend)];
  for (auto version = versions.rbegin(); version != versions.rend(); ++version) {
    const Discovery::Change& change = discovery_->changes()[static_cast<size_t>(*version - 1)];
    Micros told_at = discovery_->NotifiedAt(gateway, *version);
    // Gateways cannot know what a silent or refusing discovery withholds. Only late announcements count as
    // made.
    if (!discovery_->Withheld(*version)) told_at = std::min(told_at, change.at + kMaxNoticeDelay);
    if (told_at > now) continue;
    *since = std::max(told_at, gateway_started_at_[static_cast<size_t>(gateway)]);
    return change.entry.state;
  }
  *since = 0;
  return spec_->backends[static_cast<size_t>(backend)].starts_at == 0 ? ListState::kActive : ListState::kLeft;
}

void RunChecker::OnAttemptStarted(Micros now, uint32_t id, int backend) {
  const Try& t = tries_[id];
  Micros since = 0, grace = FromSeconds(spec_->drain_grace_s + 0.05);  // 50 ms longer on sockets
  if (AnnouncedState(t.gateway, backend, now, &since) != ListState::kActive && now > since + grace) {
    AddViolation("drain", now, id,
                 "attempt sent to " + spec_->backends[static_cast<size_t>(backend)].name + " " +
                     std::to_string(ToSeconds(now - since)) +
                     " s after the gateway was told that it is draining or gone");
  }
  if (t.outcome && now > t.ended_at + kAnswerInTransit) {
    AddViolation("duplicate", now, id,
                 "attempt for a request that had its final answer " +
                     std::to_string(ToSeconds(now - t.ended_at)) + " s earlier");
  }
  auto offline = offline_since_.find(backend);
  if (offline != offline_since_.end() && now > offline->second + FromSeconds(1.05)) {
    AddViolation("drain", now, id,
                 "attempt sent to " + spec_->backends[static_cast<size_t>(backend)].name +
                     ", which an operator had taken offline");
  }
}

void RunChecker::OnAttemptArrived(Micros now, uint32_t id, int backend, Regret regret) {
  Try& t = tries_[id];
  const Arrival& a = spec_->arrivals[t.arrival];
  UpdateDigest('a', now, id, static_cast<uint64_t>(backend));
  if (t.received_at == kNever)
    AddViolation("duplicate", now, id, "attempt for a request that its gateway had not received");
  if (t.attempts >= spec_->try_limit)
    AddViolation("duplicate", now, id,
                 "attempt " + std::to_string(t.attempts + 1) + " of a request limited to " +
                     std::to_string(spec_->try_limit) + " attempts");
  if (t.attempts++ == 0) {
    double ceiling = 0;
    t.quota_status = ground_truth_.Forward(a.customer, now, a.estimated_units, &ceiling);
    if (ceiling < 0)
      AddViolation("ceiling", now, id,
                   "customer " + std::to_string(a.customer) + " exceeds its ceiling and slack by " +
                       std::to_string(-ceiling) + " units");
    CountDecision(t.quota_status == QuotaStatus::kWithinQuota ? DecisionKind::kAdmittedWithinQuota
                  : t.quota_status == QuotaStatus::kOverRate  ? DecisionKind::kAdmittedOverRate
                                                              : DecisionKind::kAdmittedOverCap,
                  now, id);
    units_forwarded_ += a.estimated_units, units_settled_ += a.estimated_units;
    if (t.quota_status != QuotaStatus::kWithinQuota) {
      const PlanSpec& plan = spec_->plans[static_cast<size_t>(spec_->customers[a.customer].plan)];
      units_over_quota_ += a.estimated_units, SecondOf(now).over_quota_units += a.estimated_units;
      over_cost_ += plan.over_cost * Worth(t.arrival, a.units);
    }
  }
  ++t.in_flight;
  ground_truth_.OnAttemptSent(a.customer);
  ++attempts_, ++SecondOf(now).attempts;
  cross_zone_ += spec_->gateway_zone[static_cast<size_t>(t.gateway)] !=
                         spec_->backends[static_cast<size_t>(backend)].zone
                     ? 1
                     : 0;
  if (regret.best_s >= 0) ++regret_count_, regret_known_s_ += regret.known_s, regret_best_s_ += regret.best_s;
}

void RunChecker::OnAttemptEnded(Micros now, uint32_t id, bool served, double work_s) {
  Try& t = tries_[id];
  const Arrival& a = spec_->arrivals[t.arrival];
  --t.in_flight;
  ground_truth_.OnAttemptEnded(a.customer);
  if (!served) wasted_s_ += work_s;
  if (served) units_settled_ += a.units - a.estimated_units;
  if (served && t.quota_status == QuotaStatus::kWithinQuota)
    ground_truth_.Settle(a.customer, now, a.estimated_units, a.units);
}

void RunChecker::CountDecision(DecisionKind decision, Micros now, uint32_t id) {
  UpdateDigest('m', now, id, static_cast<uint64_t>(decision));
  ++SecondOf(now).decisions[static_cast<size_t>(decision)];
}

void RunChecker::OnTryAnswered(Micros now, uint32_t id, TryOutcome outcome, bool slot_free) {
  Try& t = tries_[id];
  const Arrival& a = spec_->arrivals[t.arrival];
  const ClassSpec& class_spec = spec_->classes[static_cast<size_t>(a.class_index)];
  UpdateDigest('f', now, id, static_cast<uint64_t>(outcome));
  RecordRequestEvent(HistoryEventKind::kRequestAnswered, now, id);
  if (t.closed && t.ended_at != kNever && now <= t.sent_at + t.timeout)
    AddViolation("one answer", now, id, "a second final answer");
  bool past_timeout = now > t.sent_at + t.timeout;
  t.ended_at = now, t.closed = true, t.outcome = outcome;
  open_tries_[static_cast<size_t>(t.gateway)].erase(id);
  bool held_unsent = now - t.sent_at > t.timeout / 2 && t.attempts == 0;
  if (outcome == TryOutcome::kServed && t.attempts == 0)
    AddViolation("one answer", now, id, "served although no attempt reached a backend");
  if (outcome == TryOutcome::kServed && !past_timeout) {
    ++served_;
    latency_(std::max(2e-4, ToSeconds(now - t.sent_at)));
    bool in_time = now <= a.at + FromSeconds(class_spec.aim_s);
    const PlanSpec& plan = spec_->plans[static_cast<size_t>(spec_->customers[a.customer].plan)];
    if (served_state_[t.arrival] == 0 && in_time && a.at >= kScoringStart) {
      double worth =
          Worth(t.arrival, a.units) * (t.quota_status == QuotaStatus::kWithinQuota ? 1 : plan.over_worth);
      SecondOf(a.at).served += worth;
      plan_served_[static_cast<size_t>(spec_->customers[a.customer].plan)] += worth;
    }
    if (served_state_[t.arrival] != 1) served_state_[t.arrival] = in_time ? 1 : 2;
    losses_.Set(t.arrival, !in_time                                      ? Loss::kServedLate
                           : t.quota_status == QuotaStatus::kWithinQuota ? Loss::kServed
                                                                         : Loss::kServedOverQuota);
    return;
  }
  losses_.Set(t.arrival, Loss::kFailed);
  if (outcome == TryOutcome::kRefused) {
    ++refused_;
    if (t.attempts == 0) {
      QuotaStatus quota = ground_truth_.StatusOf(a.customer, now, a.estimated_units);
      auto [decision, loss] =
          quota == QuotaStatus::kOverRate  ? std::pair(DecisionKind::kRefusedForQuota, Loss::kRefusedForQuota)
          : quota == QuotaStatus::kOverCap ? std::pair(DecisionKind::kRefusedForCap, Loss::kRefusedForCap)
          : slot_free ? std::pair(DecisionKind::kRefusedNeedlessly, Loss::kRefusedNeedlessly)
                      : std::pair(DecisionKind::kRefusedNoCapacity, Loss::kRefusedNoCapacity);
      CountDecision(decision, now, id);
      losses_.Set(t.arrival, loss);
      if (ground_truth_.TokenShare(a.customer, now) >= 0.5) ++refused_at_half_tokens_;
    }
  } else {
    ++failed_, ++SecondOf(now).failed;
  }
  if (held_unsent) held_worth_ += Worth(t.arrival, a.units);
}

void RunChecker::OnClientLeft(Micros now, uint32_t id) {
  Try& t = tries_[id];
  if (t.closed) return;
  UpdateDigest('l', now, id);
  RecordRequestEvent(HistoryEventKind::kClientGone, now, id);
  losses_.Set(t.arrival, Loss::kNoAnswer);
  t.closed = true;
  t.ended_at = now;
  open_tries_[static_cast<size_t>(t.gateway)].erase(id);
  ++failed_, ++SecondOf(now).failed;
  if (t.attempts == 0) held_worth_ += Worth(t.arrival, spec_->arrivals[t.arrival].units);
}

void RunChecker::OnTryLost(Micros now, uint32_t id, const std::string& reason) {
  Try& t = tries_[id];
  UpdateDigest('x', now, id);
  open_tries_[static_cast<size_t>(t.gateway)].erase(id);
  if (t.gateway_ended) return;
  t.closed = true, t.ended_at = now;
  ++lost_;
  AddViolation("one answer", now, id, reason);
}

void RunChecker::OnGatewayEnded(Micros now, int gateway) {
  UpdateDigest('g', now, static_cast<uint64_t>(gateway));
  for (uint32_t id : open_tries_[static_cast<size_t>(gateway)]) tries_[id].gateway_ended = true;
  open_tries_[static_cast<size_t>(gateway)].clear();
}

void RunChecker::OnGatewayKilledAfterGrace(Micros now, int gateway, Micros since) {
  std::set<uint32_t> open = open_tries_[static_cast<size_t>(gateway)];
  for (uint32_t id : open) {
    if (tries_[id].received_at > since)
      OnTryLost(now, id, "received after SIGTERM and still unanswered at SIGKILL");
  }
}

void RunChecker::OnGatewayCrashed(Micros now, int gateway, const std::string& reason) {
  AddViolation("crash", now, UINT32_MAX, "gateway " + std::to_string(gateway) + " " + reason);
}

void RunChecker::OnBackendTipped(Micros now, int backend, const Backend::Tip& tip) {
  UpdateDigest('t', now, static_cast<uint64_t>(backend));
  ++tipped_;
  if (tip.informed_share < kInformedShareLimit) return;
  char text[160];
  std::snprintf(text, sizeof(text),
                " tipped over: received %.2f s of work in %.1f s, its limit is %.2f, %.1f s after its start; "
                "%.0f%% came from gateways told of it",
                tip.received_s, spec_->tip_s, tip.limit_s, tip.age_s, 100 * tip.informed_share);
  AddViolation("cold backend", now, UINT32_MAX, spec_->backends[static_cast<size_t>(backend)].name + text);
}

void RunChecker::OnCounterCall(Micros now, int gateway, double amount) {
  UpdateDigest('c', now, static_cast<uint64_t>(gateway));
  ++calls_, ++SecondOf(now).calls;
  units_reported_ += amount;
}

void RunChecker::OnHandshake(Micros now) { ++handshakes_, ++SecondOf(now).handshakes; }

void RunChecker::OnBackendOffline(Micros now, int backend, bool offline) {
  if (offline)
    offline_since_.insert({backend, now});
  else
    offline_since_.erase(backend);
}

RunChecker::ClassTotals RunChecker::TotalsOf(int gateway) const {
  ClassTotals totals;
  for (auto* counts : {&totals.served, &totals.refused, &totals.failed, &totals.gone})
    counts->assign(spec_->classes.size(), 0);
  for (const Try& t : tries_) {
    if (t.gateway != gateway) continue;
    totals.attempts += static_cast<uint64_t>(t.attempts + t.undelivered);
    auto cls = static_cast<size_t>(spec_->arrivals[t.arrival].class_index);
    if (t.received_at == kNever) continue;
    auto& counts = !t.outcome                           ? totals.gone
                   : *t.outcome == TryOutcome::kServed  ? totals.served
                   : *t.outcome == TryOutcome::kRefused ? totals.refused
                                                        : totals.failed;
    ++counts[cls];
  }
  return totals;
}

nlohmann::json RunChecker::Report(Micros now) const {
  nlohmann::json report;
  double offered = 0, served = 0;
  // For a run that ended early, only what was requested until then.
  double asked_s = 0, first_tries = 0;
  std::vector<double> plan_offered(spec_->plans.size(), 0);
  for (uint32_t i = 0; i < spec_->arrivals.size(); ++i) {
    const Arrival& a = spec_->arrivals[i];
    if (a.at >= now) break;
    first_tries += 1;
    if (a.at < kScoringStart) continue;
    plan_offered[static_cast<size_t>(spec_->customers[a.customer].plan)] += OfferedWorth(i);
    offered += OfferedWorth(i), asked_s += a.work_s;
  }
  for (const Second& s : seconds_) served += s.served;
  double worst_window = 1, worst_plan = 1;
  auto length = static_cast<size_t>(ToSeconds(std::min(now, spec_->length)));
  for (size_t from = 1;
       from + static_cast<size_t>(kWorstWindowS) <= std::max(length, static_cast<size_t>(kWorstWindowS) + 1);
       ++from) {
    double o = 0, s = 0;
    for (size_t i = from; i < from + static_cast<size_t>(kWorstWindowS) && i < seconds_.size(); ++i)
      o += seconds_[i].offered, s += seconds_[i].served;
    if (o > 0) worst_window = std::min(worst_window, s / o);
  }
  for (size_t p = 0; p < plan_offered.size(); ++p) {
    report["plans"][spec_->plans[p].name] = Round(Share(plan_served_[p], plan_offered[p]));
    if (plan_offered[p] > 0) worst_plan = std::min(worst_plan, plan_served_[p] / plan_offered[p]);
  }
  // Worth within quotas that failed or was served only after its aim.
  std::vector<Micros> last(spec_->arrivals.size(), 0);
  for (const Try& t : tries_)
    last[t.arrival] = std::max(last[t.arrival], t.ended_at == kNever ? 0 : t.ended_at);
  double late_worth = 0;
  for (uint32_t i = 0; i < last.size(); ++i) {
    const Arrival& a = spec_->arrivals[i];
    bool late = last[i] > a.at + FromSeconds(spec_->classes[static_cast<size_t>(a.class_index)].aim_s);
    if (served_state_[i] != 1 && within_quota_[i] && late && a.at >= kScoringStart)
      late_worth += Worth(i, a.units);
  }
  nlohmann::json prices = {
      {"over_quota", Share(over_cost_, offered)},
      {"counter", spec_->counter_price * Share(static_cast<double>(calls_), first_tries)},
      {"waste", spec_->waste_price * Share(wasted_s_, asked_s)},
      {"late", spec_->late_price * Share(late_worth, offered)},
      {"cross_zone", spec_->cross_zone_price * Share(static_cast<double>(cross_zone_), first_tries)},
      {"handshake", spec_->handshake_price * Share(static_cast<double>(handshakes_), first_tries)},
      {"rude", spec_->misbehaving_peer_price *
                   Share(static_cast<double>(unrejected_peers_), static_cast<double>(misbehaving_peers_))},
      {"hidden", spec_->held_request_price * Share(held_worth_, offered)},
  };
  double whole = Share(served, offered);
  double g = spec_->goal_whole * whole + spec_->goal_window * worst_window + spec_->goal_plan * worst_plan;
  for (auto& [name, price] : prices.items()) {
    g -= price.get<double>();
    price = Round(price);
  }
  report["scenario"] = spec_->scenario, report["seed"] = spec_->seed;
  report["gateways"] = spec_->gateways, report["backends"] = spec_->backends.size();
  report["length_s"] = ToSeconds(spec_->length), report["until_s"] = ToSeconds(now);
  report["g"] = Round(g), report["served"] = Round(whole), report["worst_window"] = Round(worst_window),
  report["worst_plan"] = Round(worst_plan);
  report["prices"] = prices;
  report["losses"] = losses_.Report(offered, [&](uint32_t i) {
    bool counts = within_quota_[i] && spec_->arrivals[i].at >= kScoringStart && spec_->arrivals[i].at < now;
    return counts ? Worth(i, spec_->arrivals[i].units) : 0;
  });
  report["rules"] = violation_count_ == 0 ? "kept" : "broken";
  report["broken"] = violation_count_;
  for (const Violation& b : violations_) {
    report["breaches"].push_back({{"rule", b.rule},
                                  {"at_s", ToSeconds(b.at)},
                                  {"request", b.request},
                                  {"what", b.description},
                                  {"gateways", b.gateways}});
  }
  nlohmann::json& counts = report["counts"];
  counts = {{"first_tries", static_cast<uint64_t>(first_tries)},
            {"tries", tries_.size()},
            {"attempts", attempts_},
            {"served", served_},
            {"refused", refused_},
            {"failed", failed_},
            {"unheard", undelivered_},
            {"lost", lost_},
            {"tipped", tipped_},
            {"rude", misbehaving_peers_},
            {"calls", calls_},
            {"handshakes", handshakes_}};
  std::array<uint64_t, static_cast<size_t>(DecisionKind::kCount)> decisions{};
  for (const Second& s : seconds_) {
    for (size_t m = 0; m < decisions.size(); ++m) decisions[m] += s.decisions[m];
  }
  for (size_t m = 0; m < decisions.size(); ++m)
    report["marks"][Name(static_cast<DecisionKind>(m))] = decisions[m];
  report["refused_share"] = Round(Share(static_cast<double>(refused_), static_cast<double>(tries_.size())));
  report["refused_with_half_share"] =
      Round(Share(static_cast<double>(refused_at_half_tokens_), static_cast<double>(refused_)));
  // All increments sent to the counter over the units forwarded. Attempts reported as in flight and then as
  // ended add up to 0.
  report["told_over_sent"] = Round(Share(units_reported_, units_settled_));
  report["units_beyond_share"] = Round(Share(units_over_quota_, units_forwarded_));
  report["tries_a_request"] = Round(Share(static_cast<double>(tries_.size()), first_tries));
  report["regret_known_ms"] = Round(1e3 * Share(regret_known_s_, static_cast<double>(regret_count_)));
  report["regret_best_ms"] = Round(1e3 * Share(regret_best_s_, static_cast<double>(regret_count_)));
  auto total = boost::histogram::algorithm::sum(latency_);
  for (auto [name, share] : {std::pair{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}}) {
    double sum = 0, at = 0;
    for (auto&& cell : boost::histogram::indexed(latency_)) {
      sum += *cell;
      if (total > 0 && sum >= share * total) {
        at = cell.bin(0).upper();
        break;
      }
    }
    report["latency_ms"][name] = std::round(at * 1e4) / 10;
  }
  for (const Disturbance& t : spec_->disturbances) {
    report["troubles"].push_back(
        {{"kind", t.kind}, {"from_s", ToSeconds(t.from)}, {"to_s", ToSeconds(t.to)}});
  }
  nlohmann::json& series = report["series"];
  for (size_t i = 0; i < seconds_.size() && i <= static_cast<size_t>(ToSeconds(now)); ++i) {
    const Second& s = seconds_[i];
    series["offered"].push_back(Round(s.offered)), series["served"].push_back(Round(s.served));
    series["asked"].push_back(s.first_try_count), series["tries"].push_back(s.tries),
        series["attempts"].push_back(s.attempts);
    series["calls"].push_back(s.calls), series["failed"].push_back(s.failed),
        series["handshakes"].push_back(s.handshakes);
    series["beyond_units"].push_back(Round(s.over_quota_units));
    for (size_t m = 0; m < s.decisions.size(); ++m)
      series[Name(static_cast<DecisionKind>(m))].push_back(s.decisions[m]);
  }
  char digest[17];
  std::snprintf(digest, sizeof(digest), "%016llx", static_cast<unsigned long long>(digest_));
  report["digest"] = digest;
  return report;
}

}  // namespace lemonchute::lab
