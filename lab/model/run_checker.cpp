// The rules as PROTOCOL, TERMS and WIRE word them, and G as BENCH and BRIEF do.
#include "model/run_checker.h"

#include <xxhash.h>

#include <algorithm>

namespace lemonchute::lab {
namespace {

constexpr size_t kMostBreaches = 100;
// What discovery has to tell counts as told this long after at the latest (PROTOCOL, Figures).
constexpr Micros kToldAnyway = 6 * kSecond;
constexpr Micros kAnswerCrosses = 50'000;  // an attempt on its way while the answer is; the slack on sockets
constexpr double kFullPush =
    2.0 / 3;  // of a push that tips a backend: by gateways told of its start, it is a breach
constexpr Micros kFirstCounted = kSecond;
constexpr Micros kAnswerLate = 500'000;  // later than this past its time, a request is lost (BENCH)
constexpr double kWindowS = 10;          // the worst one weighs

double Share(double part, double of) { return of > 0 ? part / of : 0; }
double Round(double x) { return std::round(x * 1e6) / 1e6; }

}  // namespace

const char* Name(DecisionKind mark) {
  switch (mark) {
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

RunChecker::RunChecker(const RunSpec& day, const Discovery& discovery)
    : day_(&day),
      discovery_(&discovery),
      ground_truth_(day),
      inside_(WithinQuotaByFirstTries(day)),
      losses_(day),
      done_(day.arrivals.size(), 0),
      versions_of_(day.backends.size()),
      started_(static_cast<size_t>(day.gateways), 0),
      open_at_(static_cast<size_t>(day.gateways)),
      plan_served_(day.plans.size(), 0),
      latency_(std::make_tuple(LogAxis(400, 1e-4, 1e3))) {
  seconds_.resize(static_cast<size_t>(ToSeconds(day.end)) + 2);
  for (size_t i = 0; i < day.arrivals.size(); ++i) {
    const Arrival& a = day.arrivals[i];
    if (a.at < kFirstCounted) continue;
    SecondOf(a.at).offered += Offered(static_cast<uint32_t>(i));
  }
}

RunChecker::Second& RunChecker::SecondOf(Micros now) {
  return seconds_[std::min(seconds_.size() - 1, static_cast<size_t>(std::max<Micros>(0, now) / kSecond))];
}

double RunChecker::Worth(uint32_t arrival, double units) const {
  const Arrival& a = day_->arrivals[arrival];
  return day_->classes[static_cast<size_t>(a.class_index)].worth *
         day_->plans[static_cast<size_t>(day_->customers[a.customer].plan)].price * units;
}

// Inside quotas its worth; beyond them what its plan still gives for it.
double RunChecker::Offered(uint32_t arrival) const {
  const Arrival& a = day_->arrivals[arrival];
  return Worth(arrival, a.units) *
         (inside_[arrival] ? 1
                           : day_->plans[static_cast<size_t>(day_->customers[a.customer].plan)].over_worth);
}

void RunChecker::Note(char what, Micros now, uint64_t a, uint64_t b) {
  uint64_t words[4] = {static_cast<uint64_t>(what), static_cast<uint64_t>(now), a, b};
  digest_ = XXH3_64bits_withSeed(words, sizeof(words), digest_);
}

void RunChecker::Say(HistoryEventKind what, Micros now, uint32_t id) {
  if (history_ == nullptr) return;
  const Try& t = tries_[id];
  std::string name("try ");
  history_->Add({now, what, t.gateway, 0, name.append(std::to_string(id)), 0, 0,
                 what == HistoryEventKind::kRequestReceived ? t.sent_at + t.timeout + kAnswerLate : kNever});
}

void RunChecker::AddViolation(const std::string& rule, Micros now, uint32_t id, const std::string& what) {
  ++broken_;
  if (breaches_.size() >= kMostBreaches) return;
  Violation breach{rule, what, now, id, {}};
  if (id < tries_.size()) {
    for (const Try& t : tries_) {
      if (t.arrival == tries_[id].arrival) breach.gateways.push_back(t.gateway);
    }
  }
  breaches_.push_back(std::move(breach));
}

uint32_t RunChecker::OnTrySent(Micros now, uint32_t arrival, int number, int gateway, Micros patience) {
  auto id = static_cast<uint32_t>(tries_.size());
  Note('s', now, arrival, static_cast<uint64_t>(gateway));
  Try t;
  t.arrival = arrival, t.number = number, t.gateway = gateway, t.sent_at = now, t.timeout = patience;
  tries_.push_back(t);
  SecondOf(now).asked += number == 0 ? 1 : 0;
  ++SecondOf(now).tries;
  return id;
}

void RunChecker::OnTryReceived(Micros now, uint32_t id) {
  Say(HistoryEventKind::kRequestReceived, now, id);
  tries_[id].received_at = now;
  open_at_[static_cast<size_t>(tries_[id].gateway)].insert(id);
}

void RunChecker::OnTryUndelivered(Micros now, uint32_t id) {
  Note('u', now, id);
  Say(HistoryEventKind::kClientGone, now, id);
  ++unheard_;
  losses_.Set(tries_[id].arrival, Loss::kGatewayUnreachable);
  open_at_[static_cast<size_t>(tries_[id].gateway)].erase(id);
  tries_[id].ended_at = now, tries_[id].closed = true;
  ++SecondOf(now).failed;
}

ListState RunChecker::AnnouncedState(int gateway, int backend, Micros now, Micros* since) const {
  auto* self = const_cast<RunChecker*>(this);  // the index by backend is only a faster way to the same list
  for (; versions_seen_ < discovery_->changes().size(); ++versions_seen_) {
    self->versions_of_[static_cast<size_t>(discovery_->changes()[versions_seen_].entry.backend)].push_back(
        static_cast<int>(versions_seen_) + 1);
  }
  const std::vector<int>& versions = versions_of_[static_cast<size_t>(backend)];
  for (auto version = versions.rbegin(); version != versions.rend(); ++version) {
    const Discovery::Change& change = discovery_->changes()[static_cast<size_t>(*version - 1)];
    Micros told = discovery_->NotifiedAt(gateway, *version);
    // What a silent or refusing discovery keeps back, nobody can know; only what is late counts as told.
    if (!discovery_->Withheld(*version)) told = std::min(told, change.at + kToldAnyway);
    if (told > now) continue;
    *since = std::max(told, started_[static_cast<size_t>(gateway)]);
    return change.entry.state;
  }
  *since = 0;
  return day_->backends[static_cast<size_t>(backend)].starts_at == 0 ? ListState::kActive : ListState::kLeft;
}

void RunChecker::OnAttemptStarted(Micros now, uint32_t id, int backend) {
  const Try& t = tries_[id];
  Micros since = 0, grace = FromSeconds(day_->drain_grace_s + 0.05);  // 50 ms longer on sockets
  if (AnnouncedState(t.gateway, backend, now, &since) != ListState::kActive && now > since + grace) {
    AddViolation("drain", now, id,
                 "sent to " + day_->backends[static_cast<size_t>(backend)].name + " " +
                     std::to_string(ToSeconds(now - since)) +
                     " s after being told that it drains or is gone");
  }
  if (t.outcome && now > t.ended_at + kAnswerCrosses) {
    AddViolation("duplicate", now, id,
                 "an attempt for a request that had its final answer " +
                     std::to_string(ToSeconds(now - t.ended_at)) + " s before");
  }
  auto offline = offline_since_.find(backend);
  if (offline != offline_since_.end() && now > offline->second + FromSeconds(1.05)) {
    AddViolation(
        "drain", now, id,
        "sent to " + day_->backends[static_cast<size_t>(backend)].name + ", which an operator had taken out");
  }
}

void RunChecker::OnAttemptArrived(Micros now, uint32_t id, int backend, Regret regret) {
  Try& t = tries_[id];
  const Arrival& a = day_->arrivals[t.arrival];
  Note('a', now, id, static_cast<uint64_t>(backend));
  if (t.received_at == kNever)
    AddViolation("duplicate", now, id, "an attempt for a request that its gateway had not been given");
  if (t.attempts >= day_->try_limit)
    AddViolation("duplicate", now, id,
                 "attempt " + std::to_string(t.attempts + 1) + " where " + std::to_string(day_->try_limit) +
                     " are allowed");
  if (t.attempts++ == 0) {
    double ceiling = 0;
    t.quota_status = ground_truth_.Forward(a.customer, now, a.estimated_units, &ceiling);
    if (ceiling < 0)
      AddViolation("ceiling", now, id,
                   "customer " + std::to_string(a.customer) + " is " + std::to_string(-ceiling) +
                       " units past its ceiling and slack");
    MarkAs(t.quota_status == QuotaStatus::kWithinQuota ? DecisionKind::kAdmittedWithinQuota
           : t.quota_status == QuotaStatus::kOverRate  ? DecisionKind::kAdmittedOverRate
                                                       : DecisionKind::kAdmittedOverCap,
           now, id);
    units_on_ += a.estimated_units, units_settled_ += a.estimated_units;
    if (t.quota_status != QuotaStatus::kWithinQuota) {
      const PlanSpec& plan = day_->plans[static_cast<size_t>(day_->customers[a.customer].plan)];
      units_beyond_ += a.estimated_units, SecondOf(now).beyond_units += a.estimated_units;
      over_cost_ += plan.over_cost * Worth(t.arrival, a.units);
    }
  }
  ++t.in_flight;
  ground_truth_.OnAttemptSent(a.customer);
  ++attempts_, ++SecondOf(now).attempts;
  cross_zone_ +=
      day_->gateway_zone[static_cast<size_t>(t.gateway)] != day_->backends[static_cast<size_t>(backend)].zone
          ? 1
          : 0;
  if (regret.best_s >= 0) ++regrets_, regret_known_s_ += regret.known_s, regret_best_s_ += regret.best_s;
}

void RunChecker::OnAttemptEnded(Micros now, uint32_t id, bool served, double work_s) {
  Try& t = tries_[id];
  const Arrival& a = day_->arrivals[t.arrival];
  --t.in_flight;
  ground_truth_.OnAttemptEnded(a.customer);
  if (!served) wasted_s_ += work_s;
  if (served) units_settled_ += a.units - a.estimated_units;
  if (served && t.quota_status == QuotaStatus::kWithinQuota)
    ground_truth_.Settle(a.customer, now, a.estimated_units, a.units);
}

void RunChecker::MarkAs(DecisionKind mark, Micros now, uint32_t id) {
  Note('m', now, id, static_cast<uint64_t>(mark));
  ++SecondOf(now).marks[static_cast<size_t>(mark)];
}

void RunChecker::OnTryAnswered(Micros now, uint32_t id, TryOutcome final, bool room) {
  Try& t = tries_[id];
  const Arrival& a = day_->arrivals[t.arrival];
  const ClassSpec& cls = day_->classes[static_cast<size_t>(a.class_index)];
  Note('f', now, id, static_cast<uint64_t>(final));
  Say(HistoryEventKind::kRequestAnswered, now, id);
  if (t.closed && t.ended_at != kNever && now <= t.sent_at + t.timeout)
    AddViolation("one answer", now, id, "a second final answer");
  bool late_client = now > t.sent_at + t.timeout;
  t.ended_at = now, t.closed = true, t.outcome = final;
  open_at_[static_cast<size_t>(t.gateway)].erase(id);
  bool held_long = now - t.sent_at > t.timeout / 2 && t.attempts == 0;
  if (final == TryOutcome::kServed && t.attempts == 0)
    AddViolation("one answer", now, id, "served, though no attempt reached a backend");
  if (final == TryOutcome::kServed && !late_client) {
    ++served_;
    latency_(std::max(2e-4, ToSeconds(now - t.sent_at)));
    bool in_time = now <= a.at + FromSeconds(cls.aim_s);
    const PlanSpec& plan = day_->plans[static_cast<size_t>(day_->customers[a.customer].plan)];
    if (done_[t.arrival] == 0 && in_time && a.at >= kFirstCounted) {
      double worth =
          Worth(t.arrival, a.units) * (t.quota_status == QuotaStatus::kWithinQuota ? 1 : plan.over_worth);
      SecondOf(a.at).served += worth;
      plan_served_[static_cast<size_t>(day_->customers[a.customer].plan)] += worth;
    }
    if (done_[t.arrival] != 1) done_[t.arrival] = in_time ? 1 : 2;
    losses_.Set(t.arrival, !in_time                                      ? Loss::kServedLate
                           : t.quota_status == QuotaStatus::kWithinQuota ? Loss::kServed
                                                                         : Loss::kServedOverQuota);
    return;
  }
  losses_.Set(t.arrival, Loss::kFailed);
  if (final == TryOutcome::kRefused) {
    ++refused_;
    if (t.attempts == 0) {
      QuotaStatus quota = ground_truth_.StatusOf(a.customer, now, a.estimated_units);
      auto [mark, loss] =
          quota == QuotaStatus::kOverRate  ? std::pair(DecisionKind::kRefusedForQuota, Loss::kRefusedForQuota)
          : quota == QuotaStatus::kOverCap ? std::pair(DecisionKind::kRefusedForCap, Loss::kRefusedForCap)
          : room ? std::pair(DecisionKind::kRefusedNeedlessly, Loss::kRefusedNeedlessly)
                 : std::pair(DecisionKind::kRefusedNoCapacity, Loss::kRefusedNoCapacity);
      MarkAs(mark, now, id);
      losses_.Set(t.arrival, loss);
      if (ground_truth_.TokenShare(a.customer, now) >= 0.5) ++refused_with_half_;
    }
  } else {
    ++failed_, ++SecondOf(now).failed;
  }
  if (held_long) hidden_worth_ += Worth(t.arrival, a.units);
}

void RunChecker::OnClientLeft(Micros now, uint32_t id) {
  Try& t = tries_[id];
  if (t.closed) return;
  Note('l', now, id);
  Say(HistoryEventKind::kClientGone, now, id);
  losses_.Set(t.arrival, Loss::kNoAnswer);
  t.closed = true;
  t.ended_at = now;
  open_at_[static_cast<size_t>(t.gateway)].erase(id);
  ++failed_, ++SecondOf(now).failed;
  if (t.attempts == 0) hidden_worth_ += Worth(t.arrival, day_->arrivals[t.arrival].units);
}

void RunChecker::OnTryLost(Micros now, uint32_t id, const std::string& how) {
  Try& t = tries_[id];
  Note('x', now, id);
  open_at_[static_cast<size_t>(t.gateway)].erase(id);
  if (t.gateway_ended) return;
  t.closed = true, t.ended_at = now;
  ++lost_;
  AddViolation("one answer", now, id, how);
}

void RunChecker::OnGatewayEnded(Micros now, int gateway) {
  Note('g', now, static_cast<uint64_t>(gateway));
  for (uint32_t id : open_at_[static_cast<size_t>(gateway)]) tries_[id].gateway_ended = true;
  open_at_[static_cast<size_t>(gateway)].clear();
}

void RunChecker::OnGatewayKilledAfterGrace(Micros now, int gateway, Micros since) {
  std::set<uint32_t> open = open_at_[static_cast<size_t>(gateway)];
  for (uint32_t id : open) {
    if (tries_[id].received_at > since)
      OnTryLost(now, id, "SIGKILL found it unanswered, taken late after SIGTERM");
  }
}

void RunChecker::OnGatewayCrashed(Micros now, int gateway, const std::string& how) {
  AddViolation("crash", now, UINT32_MAX, "gateway " + std::to_string(gateway) + " " + how);
}

void RunChecker::OnBackendTipped(Micros now, int backend, const Backend::Tip& tip) {
  Note('t', now, static_cast<uint64_t>(backend));
  ++tipped_;
  if (tip.informed_share < kFullPush) return;
  char text[160];
  std::snprintf(text, sizeof(text),
                " fell over: sent %.2f s of work in %.1f s where it bears %.2f, %.1f s after its start, "
                "%.0f%% by gateways that were told",
                tip.received_s, day_->tip_s, tip.limit_s, tip.age_s, 100 * tip.informed_share);
  AddViolation("cold backend", now, UINT32_MAX, day_->backends[static_cast<size_t>(backend)].name + text);
}

void RunChecker::OnCounterCall(Micros now, int gateway, double amount) {
  Note('c', now, static_cast<uint64_t>(gateway));
  ++calls_, ++SecondOf(now).calls;
  units_told_ += amount;
}

void RunChecker::OnHandshake(Micros now) { ++handshakes_, ++SecondOf(now).handshakes; }

void RunChecker::OnBackendOffline(Micros now, int backend, bool offline) {
  if (offline)
    offline_since_.insert({backend, now});
  else
    offline_since_.erase(backend);
}

RunChecker::ClassTotals RunChecker::TotalsOf(int gateway) const {
  ClassTotals seen;
  for (auto* counts : {&seen.served, &seen.refused, &seen.failed, &seen.gone})
    counts->assign(day_->classes.size(), 0);
  for (const Try& t : tries_) {
    if (t.gateway != gateway) continue;
    seen.attempts += static_cast<uint64_t>(t.attempts + t.undelivered);
    auto cls = static_cast<size_t>(day_->arrivals[t.arrival].class_index);
    if (t.received_at == kNever) continue;
    auto& counts = !t.outcome                           ? seen.gone
                   : *t.outcome == TryOutcome::kServed  ? seen.served
                   : *t.outcome == TryOutcome::kRefused ? seen.refused
                                                        : seen.failed;
    ++counts[cls];
  }
  return seen;
}

nlohmann::json RunChecker::Report(Micros now) const {
  nlohmann::json report;
  double offered = 0, served = 0;
  // Of a day that ended early, what was asked for until then.
  double asked_s = 0, first_tries = 0;
  std::vector<double> plan_offered(day_->plans.size(), 0);
  for (uint32_t i = 0; i < day_->arrivals.size(); ++i) {
    const Arrival& a = day_->arrivals[i];
    if (a.at >= now) break;
    first_tries += 1;
    if (a.at < kFirstCounted) continue;
    plan_offered[static_cast<size_t>(day_->customers[a.customer].plan)] += Offered(i);
    offered += Offered(i), asked_s += a.work_s;
  }
  for (const Second& s : seconds_) served += s.served;
  double worst_window = 1, worst_plan = 1;
  auto length = static_cast<size_t>(ToSeconds(std::min(now, day_->length)));
  for (size_t from = 1;
       from + static_cast<size_t>(kWindowS) <= std::max(length, static_cast<size_t>(kWindowS) + 1); ++from) {
    double o = 0, s = 0;
    for (size_t i = from; i < from + static_cast<size_t>(kWindowS) && i < seconds_.size(); ++i)
      o += seconds_[i].offered, s += seconds_[i].served;
    if (o > 0) worst_window = std::min(worst_window, s / o);
  }
  for (size_t p = 0; p < plan_offered.size(); ++p) {
    report["plans"][day_->plans[p].name] = Round(Share(plan_served_[p], plan_offered[p]));
    if (plan_offered[p] > 0) worst_plan = std::min(worst_plan, plan_served_[p] / plan_offered[p]);
  }
  // Worth inside quotas that failed, or was served, only after its aim had gone by.
  std::vector<Micros> last(day_->arrivals.size(), 0);
  for (const Try& t : tries_)
    last[t.arrival] = std::max(last[t.arrival], t.ended_at == kNever ? 0 : t.ended_at);
  double late_worth = 0;
  for (uint32_t i = 0; i < last.size(); ++i) {
    const Arrival& a = day_->arrivals[i];
    bool late = last[i] > a.at + FromSeconds(day_->classes[static_cast<size_t>(a.class_index)].aim_s);
    if (done_[i] != 1 && inside_[i] && late && a.at >= kFirstCounted) late_worth += Worth(i, a.units);
  }
  nlohmann::json prices = {
      {"over_quota", Share(over_cost_, offered)},
      {"counter", day_->counter_price * Share(static_cast<double>(calls_), first_tries)},
      {"waste", day_->waste_price * Share(wasted_s_, asked_s)},
      {"late", day_->late_price * Share(late_worth, offered)},
      {"cross_zone", day_->cross_zone_price * Share(static_cast<double>(cross_zone_), first_tries)},
      {"handshake", day_->handshake_price * Share(static_cast<double>(handshakes_), first_tries)},
      {"rude", day_->misbehaving_peer_price *
                   Share(static_cast<double>(rude_left_), static_cast<double>(misbehaving_peers_))},
      {"hidden", day_->held_request_price * Share(hidden_worth_, offered)},
  };
  double whole = Share(served, offered);
  double g = day_->goal_whole * whole + day_->goal_window * worst_window + day_->goal_plan * worst_plan;
  for (auto& [name, price] : prices.items()) {
    g -= price.get<double>();
    price = Round(price);
  }
  report["scenario"] = day_->scenario, report["seed"] = day_->seed;
  report["gateways"] = day_->gateways, report["backends"] = day_->backends.size();
  report["length_s"] = ToSeconds(day_->length), report["until_s"] = ToSeconds(now);
  report["g"] = Round(g), report["served"] = Round(whole), report["worst_window"] = Round(worst_window),
  report["worst_plan"] = Round(worst_plan);
  report["prices"] = prices;
  report["losses"] = losses_.Report(offered, [&](uint32_t i) {
    bool counts = inside_[i] && day_->arrivals[i].at >= kFirstCounted && day_->arrivals[i].at < now;
    return counts ? Worth(i, day_->arrivals[i].units) : 0;
  });
  report["rules"] = broken_ == 0 ? "kept" : "broken";
  report["broken"] = broken_;
  for (const Violation& b : breaches_) {
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
            {"unheard", unheard_},
            {"lost", lost_},
            {"tipped", tipped_},
            {"rude", misbehaving_peers_},
            {"calls", calls_},
            {"handshakes", handshakes_}};
  std::array<uint64_t, static_cast<size_t>(DecisionKind::kCount)> marks{};
  for (const Second& s : seconds_) {
    for (size_t m = 0; m < marks.size(); ++m) marks[m] += s.marks[m];
  }
  for (size_t m = 0; m < marks.size(); ++m) report["marks"][Name(static_cast<DecisionKind>(m))] = marks[m];
  report["refused_share"] = Round(Share(static_cast<double>(refused_), static_cast<double>(tries_.size())));
  report["refused_with_half_share"] =
      Round(Share(static_cast<double>(refused_with_half_), static_cast<double>(refused_)));
  // What all gateways added to counts, over the units that they sent on: attempts that are told as out and
  // back again add up to nothing.
  report["told_over_sent"] = Round(Share(units_told_, units_settled_));
  report["units_beyond_share"] = Round(Share(units_beyond_, units_on_));
  report["tries_a_request"] = Round(Share(static_cast<double>(tries_.size()), first_tries));
  report["regret_known_ms"] = Round(1e3 * Share(regret_known_s_, static_cast<double>(regrets_)));
  report["regret_best_ms"] = Round(1e3 * Share(regret_best_s_, static_cast<double>(regrets_)));
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
  for (const Disturbance& t : day_->disturbances) {
    report["troubles"].push_back(
        {{"kind", t.kind}, {"from_s", ToSeconds(t.from)}, {"to_s", ToSeconds(t.to)}});
  }
  nlohmann::json& series = report["series"];
  for (size_t i = 0; i < seconds_.size() && i <= static_cast<size_t>(ToSeconds(now)); ++i) {
    const Second& s = seconds_[i];
    series["offered"].push_back(Round(s.offered)), series["served"].push_back(Round(s.served));
    series["asked"].push_back(s.asked), series["tries"].push_back(s.tries),
        series["attempts"].push_back(s.attempts);
    series["calls"].push_back(s.calls), series["failed"].push_back(s.failed),
        series["handshakes"].push_back(s.handshakes);
    series["beyond_units"].push_back(Round(s.beyond_units));
    for (size_t m = 0; m < s.marks.size(); ++m)
      series[Name(static_cast<DecisionKind>(m))].push_back(s.marks[m]);
  }
  char digest[17];
  std::snprintf(digest, sizeof(digest), "%016llx", static_cast<unsigned long long>(digest_));
  report["digest"] = digest;
  return report;
}

}  // namespace lemonchute::lab
