// Draws a day. What customers ask for follows TERMS: most use a part of their quota, some nearly all, some
// ask for more all day or in spells; each asks by a Poisson process of its present rate.
#include "model/run_spec.h"

#include <algorithm>
#include <array>

namespace lemonchute::lab {
namespace {

// The smallest piece of work: a fiftieth of a millisecond, what a backend needs to look at a request at all.
constexpr double kLeastWorkS = 20e-6;

double Pick(Random* random, Range range) { return random->Uniform(range.lo, range.hi); }
int Whole(Random* random, Range range) {
  return static_cast<int>(range.lo) + random->UniformInt(static_cast<int>(range.hi - range.lo) + 1);
}
bool Flag(Random* random, Range range) { return random->Chance(Pick(random, range)); }

// `part` of `all`, in random order; at least one where there are any and the part is not nought.
std::vector<int> Some(Random* random, std::vector<int> all, double part) {
  random->Shuffle(&all);
  auto n = static_cast<size_t>(std::llround(part * static_cast<double>(all.size())));
  if (part > 0 && n == 0) n = 1;
  all.resize(std::min(n, all.size()));
  return all;
}

std::vector<int> UpTo(int n) {
  std::vector<int> all(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i) all[static_cast<size_t>(i)] = i;
  return all;
}

void DrawFigures(const Scenario& s, Random* r, RunSpec* d) {
  d->length = FromSeconds(Pick(r, s.length_s));
  d->end = d->length + FromSeconds(Pick(r, s.settle_s));
  d->gateways = Whole(r, s.gateways);
  d->zones = Whole(r, s.zones);
  d->memory_mb = static_cast<int>(Pick(r, s.memory_mb));
  d->descriptors = static_cast<int>(Pick(r, s.descriptors));
  d->crowding_loss = Pick(r, s.crowding_loss), d->crowding_at = Pick(r, s.crowding_at);
  d->cold_share = Pick(r, s.cold_share), d->cold_s = Pick(r, s.cold_s);
  d->cold_from = s.cold_share.lo, d->warm_after_s = s.cold_s.hi;
  d->tip_multiple = Pick(r, s.tip_multiple), d->tip_s = Pick(r, s.tip_s);
  d->handshake_work_s = Pick(r, s.handshake_work_ms) * 1e-3, d->handshake_trips = Pick(r, s.handshake_trips);
  d->idle_s = Pick(r, s.idle_s), d->connect_timeout_s = Pick(r, s.connect_timeout_ms) * 1e-3;
  d->error_share = Pick(r, s.error_share);
  d->cancel_running = Flag(r, s.cancel_running), d->drops_overdue = Flag(r, s.drops_overdue);
  d->same_zone_s = Pick(r, s.same_zone_ms) * 1e-3, d->cross_zone_s = Pick(r, s.cross_zone_ms) * 1e-3;
  d->client_s = Pick(r, s.client_ms) * 1e-3, d->jitter = Pick(r, s.jitter);
  d->units_top = Whole(r, s.units_top), d->retries = Whole(r, s.retries);
  d->try_timeout_share = Pick(r, s.try_timeout_share), d->backoff_s = Pick(r, s.backoff_ms) * 1e-3;
  d->backoff_grows = Flag(r, s.backoff_grows),
  d->heeds_retry_after_share = Pick(r, s.heeds_retry_after_share);
  d->max_retry_after_s = Pick(r, s.max_retry_after_ms) * 1e-3,
  d->impatient_share = Pick(r, s.impatient_share);
  d->use_until_end_share = s.use_until_end_share.lo;  // no draw: days without it stay as they are
  d->skew = Pick(r, s.skew), d->shift_s = Pick(r, s.shift_s), d->front_notice_s = Pick(r, s.front_notice_s);
  d->discovery_notice_lo = s.discovery_notice_s.lo, d->discovery_notice_hi = s.discovery_notice_s.hi;
  d->discovery_start_notice_lo = s.discovery_start_notice_s.lo,
  d->discovery_start_notice_hi = s.discovery_start_notice_s.hi;
  d->discovery_agent_s = Pick(r, s.discovery_agent_ms) * 1e-3;
  d->counter_parts = Whole(r, s.counter_parts), d->counter_calls_per_s = Pick(r, s.counter_calls_per_s),
  d->counter_call_s = Pick(r, s.counter_call_ms) * 1e-3;
  d->counter_line_timeouts = Pick(r, s.counter_line_timeouts),
  d->counter_timeout_s = Pick(r, s.counter_timeout_ms) * 1e-3;
  d->counter_lost_share = Pick(r, s.counter_lost_share);
  d->peer_in_per_s = s.peer_in_per_s.lo, d->converge_s = s.converge_s.lo;
  d->drain_grace_s = Pick(r, s.drain_grace_ms) * 1e-3, d->answer_grace_s = Pick(r, s.answer_grace_ms) * 1e-3;
  d->try_limit = Whole(r, s.try_limit);
  d->counter_price = Pick(r, s.counter_price), d->waste_price = Pick(r, s.waste_price);
  d->late_price = Pick(r, s.late_price), d->cross_zone_price = Pick(r, s.cross_zone_price);
  d->handshake_price = Pick(r, s.handshake_price),
  d->misbehaving_peer_price = Pick(r, s.misbehaving_peer_price),
  d->held_request_price = Pick(r, s.held_request_price);
  d->goal_whole = Pick(r, s.goal_whole), d->goal_window = Pick(r, s.goal_window),
  d->goal_plan = Pick(r, s.goal_plan);
  d->peer_loss = Pick(r, s.peer_loss);
}

void DrawBackend(const Scenario& s, Random* r, int zone, Micros starts_at, RunSpec* d) {
  BackendSpec b;
  char name[32];
  std::snprintf(name, sizeof(name), "s-%08x", static_cast<unsigned>(r->Bits() >> 32));
  b.name = name;
  b.zone = zone;
  b.cores = Whole(r, s.cores);
  b.speed = Pick(r, s.speed);
  b.slots = std::max(1, static_cast<int>(std::lround(Pick(r, s.slots_per_core) * b.cores)));
  b.queue = static_cast<int>(std::lround(Pick(r, s.queue_per_core) * b.cores));
  b.connections = std::max(1, static_cast<int>(Pick(r, s.connections_per_core) * b.cores));
  b.starts_at = starts_at;
  d->backends.push_back(b);
}

void DrawPlans(const Scenario& s, Random* r, RunSpec* d) {
  double shares = 0;
  for (const ClassConfig& f : s.classes) shares += f.share.lo;
  for (const ClassConfig& f : s.classes) {
    ClassSpec c{f.name,
                f.share.lo / shares,
                Pick(r, f.work_ms) * 1e-3,
                Pick(r, f.work_cv),
                Pick(r, f.aim_ms) * 1e-3,
                Pick(r, f.deadline_ms) * 1e-3,
                Pick(r, f.worth)};
    d->mean_work_s += c.share * c.work_s;
    d->classes.push_back(c);
  }
  d->tip_slack_s = Pick(r, s.tip_slack_requests) * d->mean_work_s;
  shares = 0;
  for (const PlanConfig& f : s.plans) shares += f.share.lo;
  for (const PlanConfig& f : s.plans) {
    PlanSpec p;
    p.name = f.name, p.share = f.share.lo / shares;
    p.rate = std::round(Pick(r, f.units_per_s) * 10) / 10;
    bool ceiling = f.ceiling_times.hi > 0;
    p.burst = std::max(std::round(p.rate * Pick(r, f.burst_s)), (ceiling ? 4.0 : 2.0) * d->units_top);
    p.price = Pick(r, f.price), p.over_cost = Pick(r, f.over_cost), p.over_worth = Pick(r, f.over_worth);
    if (ceiling) {
      double times = Pick(r, f.ceiling_times);
      p.ceiling_rate = std::round(p.rate * times), p.ceiling_burst = std::round(p.burst * times);
      p.ceiling_slack = std::max(std::ceil(Pick(r, s.ceiling_slack_share) * p.ceiling_burst),
                                 static_cast<double>(d->units_top));
    }
    // What the rate keeps out on idle backends: requests a second times the work of one.
    double open = Pick(r, f.open_times);
    if (open > 0)
      p.attempt_cap = std::max(2, static_cast<int>(std::ceil(open * p.rate / 2 * d->mean_work_s)));
    d->plans.push_back(p);
  }
}

// Units go by the request's work: half of the mean work is one unit, so that a mean request counts two.
double Units(const RunSpec& d, int cls, double work_s) {
  double one = d.classes[static_cast<size_t>(cls)].work_s / 2;
  return std::clamp(std::round(work_s / one), 1.0, static_cast<double>(d.units_top));
}

double MeanUnits(const RunSpec& d, uint64_t seed) {
  Random r(seed, Stream::kSeeds, 7);
  double sum = 0;
  constexpr int kDraws = 4000;
  for (int i = 0; i < kDraws; ++i) {
    const ClassSpec& c = d.classes.front();
    sum += Units(d, 0, r.Work(c.work_s, c.work_cv));
  }
  return sum / kDraws;
}

// When the rate of arrivals is other than usual, for all.
struct Surge {
  Micros from, to;
  double times;
};

void DrawArrivals(const Scenario& s, const std::vector<Surge>& surges, RunSpec* d) {
  Random r(d->seed, Stream::kCustomers);
  double calm_lo = s.calm_use.lo, calm_hi = s.calm_use.hi;
  double full = Pick(&r, s.full_share), heavy = Pick(&r, s.heavy_share), spiky = Pick(&r, s.spiky_share);
  double heavy_times = Pick(&r, s.heavy_times), spike_times = Pick(&r, s.spike_times);
  double spike_s = Pick(&r, s.spike_s), spike_every_s = std::max(Pick(&r, s.spike_every_s), spike_s);
  double use = Pick(&r, s.load_use), most_excess = Pick(&r, s.max_excess);
  double units = MeanUnits(*d, d->seed);
  double requests_per_s = use * d->InitialCapacity() / d->mean_work_s;
  double inside = 0, excess = 0;
  int number = 0;
  double length = ToSeconds(d->length);
  for (size_t plan = 0; plan < d->plans.size(); ++plan) {
    const PlanSpec& p = d->plans[plan];
    double asked = 0, goal = requests_per_s * p.share * units;
    while (asked < goal) {
      Customer c;
      c.key = (0xb0000000ull + static_cast<uint64_t>(number) * 2654435761ull) & 0x1ffffffffull;
      c.plan = static_cast<int>(plan);
      c.gateway_count = std::min(d->gateways, Whole(&r, s.set_size));
      c.first_gateway = r.UniformInt(d->gateways);
      double kind = r.Uniform(0, 1), base = Pick(&r, {calm_lo, calm_hi}), peak = 0;
      if (kind < full)
        base = r.Uniform(0.85, 1);
      else if (kind < full + heavy)
        base = excess <= most_excess * inside ? heavy_times : 1;
      else if (kind < full + heavy + spiky)
        peak = spike_times;
      asked += std::min(base, 1.0) * p.rate;
      inside += std::min(base, 1.0) * p.rate;
      excess += std::max(0.0, base - 1) * p.rate + std::max(0.0, peak - 1) * p.rate * spike_s / spike_every_s;
      Random own(d->seed, Stream::kArrivals, static_cast<uint64_t>(number));
      double spike_at = peak > 0 ? own.Uniform(0, spike_every_s) : 1e18;
      double most = std::max(base, peak);
      for (const Surge& surge : surges) most = std::max(most, std::max(base, peak) * surge.times);
      // Thinning (Lewis and Shedler 1979): draw at the highest rate, keep by the present one.
      for (double at = own.Exponential(units / (most * p.rate)); at < length;
           at += own.Exponential(units / (most * p.rate))) {
        while (at > spike_at + spike_s) spike_at += own.Uniform(0.5, 1.5) * spike_every_s;
        double rate = at >= spike_at && at <= spike_at + spike_s ? peak : base;
        for (const Surge& surge : surges) {
          if (FromSeconds(at) >= surge.from && FromSeconds(at) < surge.to) rate *= surge.times;
        }
        if (!own.Chance(rate / most)) continue;
        Arrival a;
        a.at = FromSeconds(at);
        a.customer = static_cast<uint32_t>(number);
        double cls = own.Uniform(0, 1);
        while (a.class_index + 1 < static_cast<int>(d->classes.size()) &&
               cls >= d->classes[static_cast<size_t>(a.class_index)].share) {
          cls -= d->classes[static_cast<size_t>(a.class_index++)].share;
        }
        const ClassSpec& klass = d->classes[static_cast<size_t>(a.class_index)];
        a.work_s = std::max(kLeastWorkS, own.Work(klass.work_s, klass.work_cv));
        a.units = Units(*d, a.class_index, a.work_s);
        a.estimated_units = std::clamp(std::round(a.units * own.LognormalFactor(Pick(&own, s.guess_cv))), 1.0,
                                       static_cast<double>(d->units_top));
        d->arrivals.push_back(a);
      }
      d->customers.push_back(c);
      ++number;
    }
  }
  std::stable_sort(d->arrivals.begin(), d->arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
}

class Timeline {
 public:
  Timeline(const Scenario& s, Random* r, RunSpec* d, std::vector<Surge>* surges)
      : s_(s), r_(r), d_(d), surges_(surges) {
    for (size_t i = 0; i < d->backends.size(); ++i) running_.push_back(static_cast<int>(i));
  }

  void Add(const EventConfig& e) {
    Micros at = FromSeconds(Pick(r_, e.at_s)), to = at + FromSeconds(Pick(r_, e.for_s));
    double part = Pick(r_, e.part), size = Pick(r_, e.size);
    int zone = r_->UniformInt(d_->zones);
    if (e.kind.rfind("zone-", 0) == 0 && !e.targets.empty()) zone = e.targets[0];
    std::vector<int> all = UpTo(d_->gateways);
    Micros ended = to;
    auto gateways = [&] { return e.targets.empty() ? Some(r_, all, part) : e.targets; };
    auto backends = [&] { return e.targets.empty() ? Some(r_, running_, part) : e.targets; };
    if (e.kind == "burst") {
      surges_->push_back({at, to, size});
    } else if (e.kind == "shift") {
      d_->shifts.push_back(at), d_->shift_share = part;
    } else if (e.kind == "hot") {
      d_->hot_from = at, d_->hot_to = to, d_->hot_share = size;
    } else if (e.kind == "kill") {
      for (int g : gateways()) {
        Put(at, SiteEventKind::kKillGateway, {g});
        Micros back = at + FromSeconds(Pick(r_, e.down_s));
        ended = std::max(ended, back);
        Put(back, SiteEventKind::kStartGateway, {g});
      }
    } else if (e.kind == "restart") {
      std::vector<int> chosen = gateways();
      auto batch = std::max<size_t>(1, static_cast<size_t>(size * d_->gateways));
      size_t batches = (chosen.size() + batch - 1) / batch;
      for (size_t i = 0; i < chosen.size(); ++i) {
        Micros then = at + (to - at) * static_cast<Micros>(i / batch) /
                               static_cast<Micros>(std::max<size_t>(1, batches));
        Put(then, SiteEventKind::kTerminateGateway, {chosen[i]});
        Micros killed = then + d_->TerminationGrace();
        Put(killed, SiteEventKind::kKillGateway, {chosen[i]});
        Put(killed + FromSeconds(Pick(r_, e.down_s)), SiteEventKind::kStartGateway, {chosen[i]});
      }
    } else if (e.kind == "stop") {
      Both(at, to, SiteEventKind::kPauseGateway, SiteEventKind::kResumeGateway, gateways(), 0);
    } else if (e.kind == "replace") {
      std::vector<int> chosen = backends();
      for (size_t i = 0; i < chosen.size(); ++i) {
        Micros then = at + (to - at) * static_cast<Micros>(i) / static_cast<Micros>(chosen.size());
        Put(then, SiteEventKind::kDrainBackend, {chosen[i]});
        Put(then + FromSeconds(4), SiteEventKind::kRemoveBackend, {chosen[i]});
        Put(then + FromSeconds(4.5), SiteEventKind::kStopBackend, {chosen[i]});
        DrawBackend(s_, r_, d_->backends[static_cast<size_t>(chosen[i])].zone, std::max<Micros>(1, then), d_);
        int fresh = static_cast<int>(d_->backends.size()) - 1;
        Put(then, SiteEventKind::kStartBackend, {fresh});
        std::replace(running_.begin(), running_.end(), chosen[i], fresh);
      }
    } else if (e.kind == "crash" || e.kind == "zone-lost") {
      std::vector<int> chosen = e.kind == "crash" ? backends() : std::vector<int>();
      if (e.kind == "zone-lost") {
        for (int b : running_) {
          if (d_->backends[static_cast<size_t>(b)].zone == zone) chosen.push_back(b);
        }
      }
      Both(at, to, SiteEventKind::kStopBackend, SiteEventKind::kStartBackend, chosen, 0);
    } else if (e.kind == "fail") {
      Both(at, to, SiteEventKind::kBackendErrors, SiteEventKind::kBackendErrors, backends(), size);
    } else if (e.kind == "slow") {
      Both(at, to, SiteEventKind::kBackendSlow, SiteEventKind::kBackendSlow, backends(), size);
    } else if (e.kind == "silent") {
      Both(at, to, SiteEventKind::kBackendSilent, SiteEventKind::kBackendSilent, backends(), 1);
    } else if (e.kind == "zone-cut") {
      Both(at, to, SiteEventKind::kZoneCut, SiteEventKind::kZoneCut, {zone}, 1);
    } else if (e.kind == "resets") {
      Both(at, to, SiteEventKind::kAttemptResets, SiteEventKind::kAttemptResets, {}, size);
    } else if (e.kind == "counter-down") {
      Both(at, to, SiteEventKind::kCounterDown, SiteEventKind::kCounterDown, {}, 1);
    } else if (e.kind == "counter-loses") {
      Both(at, to, SiteEventKind::kCounterLoses, SiteEventKind::kCounterLoses, {}, size);
    } else if (e.kind == "discovery-silent") {
      Both(at, to, SiteEventKind::kDiscoverySilent, SiteEventKind::kDiscoverySilent, {}, 1);
    } else if (e.kind == "discovery-refuses") {
      Both(at, to, SiteEventKind::kDiscoveryRefuses, SiteEventKind::kDiscoveryRefuses, {}, 1);
    } else if (e.kind == "rude") {
      Both(at, to, SiteEventKind::kMisbehavingPeers, SiteEventKind::kMisbehavingPeers, {}, size);
    } else if (e.kind == "offline") {
      std::vector<int> chosen = backends();
      Both(at, to, SiteEventKind::kBackendOffline, SiteEventKind::kBackendOnline, chosen, 0);
      // In the time it is out it is restarted and comes back cold.
      Both(at + (to - at) / 2, to - (to - at) / 4, SiteEventKind::kStopBackend, SiteEventKind::kStartBackend,
           chosen, 0);
    } else if (e.kind == "drain") {
      Both(at, to, SiteEventKind::kGatewayOutOfService, SiteEventKind::kGatewayInService, gateways(), 0);
    } else if (e.kind == "scrape") {
      Both(at, to, SiteEventKind::kScrapeMetrics, SiteEventKind::kScrapeMetrics, {}, size);
    } else if (e.kind == "retune") {
      Put(at, SiteEventKind::kScaleQuotas, {}, size);
    } else if (e.kind == "site-trouble") {
      return AddSiteTrouble(at);
    } else if (e.kind == "power-loss") {
      std::vector<int> chosen = gateways();
      for (int g : chosen) Put(at, SiteEventKind::kKillGateway, {g});
      if (e.order != "drawn") std::sort(chosen.begin(), chosen.end());
      if (e.order == "down") std::reverse(chosen.begin(), chosen.end());
      Micros first = at + FromSeconds(Pick(r_, e.down_s));
      auto wave = std::max<size_t>(1, static_cast<size_t>(std::lround(size * d_->gateways)));
      size_t waves = (chosen.size() + wave - 1) / wave;
      for (size_t i = 0; i < chosen.size(); ++i) {
        Micros then = first + (to - at) * static_cast<Micros>(i / wave) /
                                  static_cast<Micros>(std::max<size_t>(1, waves));
        ended = std::max(ended, then);
        Put(then, SiteEventKind::kStartGateway, {chosen[i]});
      }
    } else if (e.kind == "starve") {
      Both(at, to, SiteEventKind::kStarveGateway, SiteEventKind::kStarveGateway, gateways(), size);
    } else if (e.kind == "claim") {
      for (int g : gateways()) {
        Put(at, SiteEventKind::kKillGateway, {g});
        Put(at, SiteEventKind::kClaimIdentity, {g}, size);
        Put(to, SiteEventKind::kKillGateway, {g});
        Put(to, SiteEventKind::kStartGateway, {g});
      }
    } else if (e.kind == "spoil") {
      static const std::array<const char*, 8> kWhat = {"cut",  "flip",       "older",     "other",
                                                       "gone", "unreadable", "read-only", "no-room"};
      auto what = std::find(kWhat.begin(), kWhat.end(), e.what) - kWhat.begin();
      Put(at, SiteEventKind::kStateFolderFault, gateways(), static_cast<double>(what));
    } else if (e.kind.rfind("path-", 0) == 0) {
      static const std::array<const char*, 8> kHarms = {"cut",   "black-hole", "reset",     "trickle",
                                                        "delay", "loss",       "duplicate", "reorder"};
      PathFault fault;
      fault.kind = static_cast<PathFaultKind>(std::find(kHarms.begin(), kHarms.end(), e.kind.substr(5)) -
                                              kHarms.begin());
      fault.remote = e.to == "gateways"    ? RemoteParty::kGateways
                     : e.to == "counter"   ? RemoteParty::kCounter
                     : e.to == "discovery" ? RemoteParty::kDiscovery
                                           : RemoteParty::kBackends;
      fault.direction = e.way == "both"  ? PathDirection::kBoth
                        : e.way == "out" ? PathDirection::kOut
                                         : PathDirection::kIn;
      fault.gateways = gateways(), fault.others = e.others, fault.size = size;
      Both(at, to, SiteEventKind::kPathFault, SiteEventKind::kPathFault,
           {static_cast<int>(d_->path_faults.size())}, 1);
      d_->path_faults.push_back(std::move(fault));
    } else if (e.kind == "upgrade") {
      Put(at, SiteEventKind::kUpgradeGateway, gateways());
    }
    d_->disturbances.push_back({at, ended, e.kind});
  }

 private:
  // The incidents that the operators have recorded (TERMS 7). Three in five are bursts: of 25 days of the
  // fleet's kinds at 100 gateways 15 showed one; the others are as likely as one another.
  void AddSiteTrouble(Micros at) {
    struct Own {
      const char* kind;
      Range for_s, part, size, down_s;
    };
    static constexpr Own kOwn[] = {{"restart", {10, 26}, {0.54, 0.95}, {0.061, 0.24}, {0.32, 1.4}},
                                   {"burst", {2.5, 10}, {1, 1}, {1.5, 2.4}, {0, 0}},
                                   {"fail", {7.5, 29}, {0.073, 0.19}, {0.34, 1}, {0, 0}},
                                   {"hot", {13, 29}, {1, 1}, {0.078, 0.21}, {0, 0}},
                                   {"shift", {0, 0}, {0.16, 0.59}, {1, 1}, {0, 0}}};
    const Own& own = r_->Chance(0.5) ? kOwn[1] : kOwn[r_->UniformInt(static_cast<int>(std::size(kOwn)))];
    EventConfig event;
    event.kind = own.kind, event.at_s = {ToSeconds(at), ToSeconds(at)};
    event.for_s = own.for_s, event.part = own.part, event.size = own.size, event.down_s = own.down_s;
    Add(event);
  }
  void Put(Micros at, SiteEventKind what, std::vector<int> targets, double size = 0) {
    d_->site_events.push_back({at, what, std::move(targets), size});
  }
  void Both(Micros from, Micros to, SiteEventKind begin, SiteEventKind end, const std::vector<int>& targets,
            double size) {
    Put(from, begin, targets, size);
    Put(to, end, targets, 0);
  }

  const Scenario& s_;
  Random* r_;
  RunSpec* d_;
  std::vector<Surge>* surges_;
  std::vector<int> running_;  // backends that are there when the events so far are over
};

}  // namespace

const char* Name(SiteEventKind what) {
  switch (what) {
    case SiteEventKind::kKillGateway: return "gateway killed";
    case SiteEventKind::kTerminateGateway: return "gateway told to end";
    case SiteEventKind::kStartGateway: return "gateway started";
    case SiteEventKind::kPauseGateway: return "gateway stopped";
    case SiteEventKind::kResumeGateway: return "gateway goes on";
    case SiteEventKind::kDrainBackend: return "backend drains";
    case SiteEventKind::kRemoveBackend: return "backend leaves";
    case SiteEventKind::kStopBackend: return "backend ends";
    case SiteEventKind::kStartBackend: return "backend starts cold";
    case SiteEventKind::kBackendErrors: return "backend fails requests";
    case SiteEventKind::kBackendSlow: return "backend slow";
    case SiteEventKind::kBackendSilent: return "backend silent";
    case SiteEventKind::kZoneCut: return "zone cut off";
    case SiteEventKind::kAttemptResets: return "attempts reset";
    case SiteEventKind::kCounterDown: return "counter down";
    case SiteEventKind::kCounterLoses: return "counter loses answers";
    case SiteEventKind::kDiscoverySilent: return "discovery silent";
    case SiteEventKind::kDiscoveryRefuses: return "discovery refuses";
    case SiteEventKind::kMisbehavingPeers: return "rude peers";
    case SiteEventKind::kBackendOffline: return "backend out by hand";
    case SiteEventKind::kBackendOnline: return "backend called back";
    case SiteEventKind::kGatewayOutOfService: return "gateway drained";
    case SiteEventKind::kGatewayInService: return "gateway in service";
    case SiteEventKind::kScaleQuotas: return "quotas changed";
    case SiteEventKind::kUpgradeGateway: return "gateway upgraded";
    case SiteEventKind::kScrapeMetrics: return "figures read";
    case SiteEventKind::kPathFault: return "path";
    case SiteEventKind::kClaimIdentity: return "gateway claims a number";
    case SiteEventKind::kStateFolderFault: return "state spoilt";
    case SiteEventKind::kStarveGateway: return "gateway starved";
  }
  return "";
}

Micros RunSpec::LongestDeadline() const {
  Micros longest = 0;
  for (const ClassSpec& c : classes) longest = std::max(longest, FromSeconds(c.deadline_s));
  return longest;
}

Micros RunSpec::TerminationGrace() const {
  return std::min(LongestDeadline(), 3 * kSecond) + FromSeconds(0.7);
}

bool RunSpec::HasStreamFaults() const {
  return std::any_of(path_faults.begin(), path_faults.end(),
                     [](const PathFault& f) { return f.remote != RemoteParty::kGateways; });
}

double RunSpec::InitialCapacity() const {
  double sum = 0;
  for (const BackendSpec& b : backends) sum += b.starts_at == 0 ? b.cores * b.speed : 0;
  return sum;
}

RunSpec DrawRunSpec(const Scenario& scenario, uint64_t seed) {
  RunSpec d;
  d.seed = seed;
  d.scenario = scenario.name;
  d.extensions = scenario.extensions;
  Random site(seed, Stream::kSite);
  DrawFigures(scenario, &site, &d);
  DrawPlans(scenario, &site, &d);
  for (int g = 0; g < d.gateways; ++g) d.gateway_zone.push_back(g % d.zones);
  int backends = Whole(&site, scenario.backends);
  for (int b = 0; b < backends; ++b) DrawBackend(scenario, &site, b % d.zones, 0, &d);
  Random timeline(seed, Stream::kTimeline);
  std::vector<Surge> surges;
  Timeline drawn(scenario, &timeline, &d, &surges);
  for (const EventConfig& event : scenario.events) drawn.Add(event);
  std::stable_sort(d.site_events.begin(), d.site_events.end(),
                   [](const SiteEvent& a, const SiteEvent& b) { return a.at < b.at; });
  DrawArrivals(scenario, surges, &d);
  return d;
}

}  // namespace lemonchute::lab
