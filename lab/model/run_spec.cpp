// Draws a run specification. Customers ask for load as TERMS describes it: most use a part of their quota,
// some nearly all of it, some ask for more than it all the time or in spikes. Requests of a customer form a
// Poisson process with its current rate.
#include "model/run_spec.h"

#include <algorithm>
#include <array>

namespace lemonchute::lab {
namespace {

// Smallest work of a request, 0.02 ms: what a backend needs to look at a request at all.
constexpr double kMinWorkS = 20e-6;

double DrawFrom(Random* random, Range range) { return random->Uniform(range.lo, range.hi); }
int DrawInt(Random* random, Range range) {
  return static_cast<int>(range.lo) + random->UniformInt(static_cast<int>(range.hi - range.lo) + 1);
}
bool DrawFlag(Random* random, Range range) { return random->Chance(DrawFrom(random, range)); }

// A random subset of `all` with this share of the elements; at least one if the share is not 0 and there are
// any.
std::vector<int> RandomSubset(Random* random, std::vector<int> all, double share) {
  random->Shuffle(&all);
  auto n = static_cast<size_t>(std::llround(share * static_cast<double>(all.size())));
  if (share > 0 && n == 0) n = 1;
  all.resize(std::min(n, all.size()));
  return all;
}

std::vector<int> Indices(int n) {
  std::vector<int> all(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i) all[static_cast<size_t>(i)] = i;
  return all;
}

void DrawParameters(const Scenario& scenario, Random* random, RunSpec* spec) {
  spec->length = FromSeconds(DrawFrom(random, scenario.length_s));
  spec->end = spec->length + FromSeconds(DrawFrom(random, scenario.settle_s));
  spec->gateways = DrawInt(random, scenario.gateways);
  spec->zones = DrawInt(random, scenario.zones);
  spec->memory_mb = static_cast<int>(DrawFrom(random, scenario.memory_mb));
  spec->descriptors = static_cast<int>(DrawFrom(random, scenario.descriptors));
  spec->crowding_loss = DrawFrom(random, scenario.crowding_loss),
  spec->crowding_at = DrawFrom(random, scenario.crowding_at);
  spec->cold_share = DrawFrom(random, scenario.cold_share), spec->cold_s = DrawFrom(random, scenario.cold_s);
  spec->cold_from = scenario.cold_share.lo, spec->warm_after_s = scenario.cold_s.hi;
  spec->tip_multiple = DrawFrom(random, scenario.tip_multiple),
  spec->tip_s = DrawFrom(random, scenario.tip_s);
  spec->handshake_work_s = DrawFrom(random, scenario.handshake_work_ms) * 1e-3,
  spec->handshake_trips = DrawFrom(random, scenario.handshake_trips);
  spec->idle_s = DrawFrom(random, scenario.idle_s),
  spec->connect_timeout_s = DrawFrom(random, scenario.connect_timeout_ms) * 1e-3;
  spec->error_share = DrawFrom(random, scenario.error_share);
  spec->cancel_running = DrawFlag(random, scenario.cancel_running),
  spec->drops_overdue = DrawFlag(random, scenario.drops_overdue);
  spec->same_zone_s = DrawFrom(random, scenario.same_zone_ms) * 1e-3,
  spec->cross_zone_s = DrawFrom(random, scenario.cross_zone_ms) * 1e-3;
  spec->client_s = DrawFrom(random, scenario.client_ms) * 1e-3,
  spec->jitter = DrawFrom(random, scenario.jitter);
  spec->units_top = DrawInt(random, scenario.units_top), spec->retries = DrawInt(random, scenario.retries);
  spec->try_timeout_share = DrawFrom(random, scenario.try_timeout_share),
  spec->backoff_s = DrawFrom(random, scenario.backoff_ms) * 1e-3;
  spec->backoff_grows = DrawFlag(random, scenario.backoff_grows),
  spec->heeds_retry_after_share = DrawFrom(random, scenario.heeds_retry_after_share);
  spec->max_retry_after_s = DrawFrom(random, scenario.max_retry_after_ms) * 1e-3,
  spec->impatient_share = DrawFrom(random, scenario.impatient_share);
  // Not drawn, so that the random stream of scenarios without it is unchanged.
  spec->use_until_end_share = scenario.use_until_end_share.lo;
  spec->skew = DrawFrom(random, scenario.skew), spec->shift_s = DrawFrom(random, scenario.shift_s),
  spec->front_notice_s = DrawFrom(random, scenario.front_notice_s);
  spec->discovery_notice_lo = scenario.discovery_notice_s.lo,
  spec->discovery_notice_hi = scenario.discovery_notice_s.hi;
  spec->discovery_start_notice_lo = scenario.discovery_start_notice_s.lo,
  spec->discovery_start_notice_hi = scenario.discovery_start_notice_s.hi;
  spec->discovery_agent_s = DrawFrom(random, scenario.discovery_agent_ms) * 1e-3;
  spec->counter_parts = DrawInt(random, scenario.counter_parts),
  spec->counter_calls_per_s = DrawFrom(random, scenario.counter_calls_per_s),
  spec->counter_call_s = DrawFrom(random, scenario.counter_call_ms) * 1e-3;
  spec->counter_line_timeouts = DrawFrom(random, scenario.counter_line_timeouts),
  spec->counter_timeout_s = DrawFrom(random, scenario.counter_timeout_ms) * 1e-3;
  spec->counter_lost_share = DrawFrom(random, scenario.counter_lost_share);
  spec->peer_in_per_s = scenario.peer_in_per_s.lo, spec->converge_s = scenario.converge_s.lo;
  spec->drain_grace_s = DrawFrom(random, scenario.drain_grace_ms) * 1e-3,
  spec->answer_grace_s = DrawFrom(random, scenario.answer_grace_ms) * 1e-3;
  spec->try_limit = DrawInt(random, scenario.try_limit);
  spec->counter_price = DrawFrom(random, scenario.counter_price),
  spec->waste_price = DrawFrom(random, scenario.waste_price);
  spec->late_price = DrawFrom(random, scenario.late_price),
  spec->cross_zone_price = DrawFrom(random, scenario.cross_zone_price);
  spec->handshake_price = DrawFrom(random, scenario.handshake_price),
  spec->misbehaving_peer_price = DrawFrom(random, scenario.misbehaving_peer_price),
  spec->held_request_price = DrawFrom(random, scenario.held_request_price);
  spec->goal_whole = DrawFrom(random, scenario.goal_whole),
  spec->goal_window = DrawFrom(random, scenario.goal_window),
  spec->goal_plan = DrawFrom(random, scenario.goal_plan);
  spec->peer_loss = DrawFrom(random, scenario.peer_loss);
}

void DrawBackend(const Scenario& scenario, Random* random, int zone, Micros starts_at, RunSpec* spec) {
  BackendSpec backend;
  char name[32];
  std::snprintf(name, sizeof(name), "s-%08x", static_cast<unsigned>(random->Bits() >> 32));
  backend.name = name;
  backend.zone = zone;
  backend.cores = DrawInt(random, scenario.cores);
  backend.speed = DrawFrom(random, scenario.speed);
  backend.slots =
      std::max(1, static_cast<int>(std::lround(DrawFrom(random, scenario.slots_per_core) * backend.cores)));
  backend.queue = static_cast<int>(std::lround(DrawFrom(random, scenario.queue_per_core) * backend.cores));
  backend.connections =
      std::max(1, static_cast<int>(DrawFrom(random, scenario.connections_per_core) * backend.cores));
  backend.starts_at = starts_at;
  spec->backends.push_back(backend);
}

void DrawClassesAndPlans(const Scenario& scenario, Random* random, RunSpec* spec) {
  double shares = 0;
  for (const ClassConfig& f : scenario.classes) shares += f.share.lo;
  for (const ClassConfig& f : scenario.classes) {
    ClassSpec c{f.name,
                f.share.lo / shares,
                DrawFrom(random, f.work_ms) * 1e-3,
                DrawFrom(random, f.work_cv),
                DrawFrom(random, f.aim_ms) * 1e-3,
                DrawFrom(random, f.deadline_ms) * 1e-3,
                DrawFrom(random, f.worth)};
    spec->mean_work_s += c.share * c.work_s;
    spec->classes.push_back(c);
  }
  spec->tip_slack_s = DrawFrom(random, scenario.tip_slack_requests) * spec->mean_work_s;
  shares = 0;
  for (const PlanConfig& f : scenario.plans) shares += f.share.lo;
  for (const PlanConfig& f : scenario.plans) {
    PlanSpec p;
    p.name = f.name, p.share = f.share.lo / shares;
    p.rate = std::round(DrawFrom(random, f.units_per_s) * 10) / 10;
    bool ceiling = f.ceiling_times.hi > 0;
    p.burst =
        std::max(std::round(p.rate * DrawFrom(random, f.burst_s)), (ceiling ? 4.0 : 2.0) * spec->units_top);
    p.price = DrawFrom(random, f.price), p.over_cost = DrawFrom(random, f.over_cost),
    p.over_worth = DrawFrom(random, f.over_worth);
    if (ceiling) {
      double times = DrawFrom(random, f.ceiling_times);
      p.ceiling_rate = std::round(p.rate * times), p.ceiling_burst = std::round(p.burst * times);
      p.ceiling_slack = std::max(std::ceil(DrawFrom(random, scenario.ceiling_slack_share) * p.ceiling_burst),
                                 static_cast<double>(spec->units_top));
    }
    // Attempts in flight that the rate causes on idle backends: requests per second times the work of one.
    double open = DrawFrom(random, f.open_times);
    if (open > 0)
      p.attempt_cap = std::max(2, static_cast<int>(std::ceil(open * p.rate / 2 * spec->mean_work_s)));
    spec->plans.push_back(p);
  }
}

// Units depend on the work: half of the mean work is one unit, so that a mean request counts two.
double UnitsOf(const RunSpec& spec, int class_index, double work_s) {
  double unit_work_s = spec.classes[static_cast<size_t>(class_index)].work_s / 2;
  return std::clamp(std::round(work_s / unit_work_s), 1.0, static_cast<double>(spec.units_top));
}

double MeanUnits(const RunSpec& spec, uint64_t seed) {
  Random random(seed, Stream::kSeeds, 7);
  double sum = 0;
  constexpr int kSamples = 4000;
  for (int i = 0; i < kSamples; ++i) {
    const ClassSpec& c = spec.classes.front();
    sum += UnitsOf(spec, 0, random.Work(c.work_s, c.work_cv));
  }
  return sum / kSamples;
}

// An interval in which all arrival rates are multiplied by a factor.
struct Surge {
  Micros from, to;
  double factor;
};

void DrawArrivals(const Scenario& scenario, const std::vector<Surge>& surges, RunSpec* spec) {
  Random random(spec->seed, Stream::kCustomers);
  double calm_lo = scenario.calm_use.lo, calm_hi = scenario.calm_use.hi;
  double full = DrawFrom(&random, scenario.full_share), heavy = DrawFrom(&random, scenario.heavy_share),
         spiky = DrawFrom(&random, scenario.spiky_share);
  double heavy_times = DrawFrom(&random, scenario.heavy_times),
         spike_times = DrawFrom(&random, scenario.spike_times);
  double spike_s = DrawFrom(&random, scenario.spike_s),
         spike_every_s = std::max(DrawFrom(&random, scenario.spike_every_s), spike_s);
  double use = DrawFrom(&random, scenario.load_use), max_excess = DrawFrom(&random, scenario.max_excess);
  double units = MeanUnits(*spec, spec->seed);
  double requests_per_s = use * spec->InitialCapacity() / spec->mean_work_s;
  double units_within_quota = 0, units_over_quota = 0;
  int number = 0;
  double length = ToSeconds(spec->length);
  for (size_t plan = 0; plan < spec->plans.size(); ++plan) {
    const PlanSpec& p = spec->plans[plan];
    double offered = 0, target = requests_per_s * p.share * units;
    while (offered < target) {
      Customer c;
      c.key = (0xb0000000ull + static_cast<uint64_t>(number) * 2654435761ull) & 0x1ffffffffull;
      c.plan = static_cast<int>(plan);
      c.gateway_count = std::min(spec->gateways, DrawInt(&random, scenario.set_size));
      c.first_gateway = random.UniformInt(spec->gateways);
      double kind = random.Uniform(0, 1), base = DrawFrom(&random, {calm_lo, calm_hi}), peak = 0;
      if (kind < full)
        base = random.Uniform(0.85, 1);
      else if (kind < full + heavy)
        base = units_over_quota <= max_excess * units_within_quota ? heavy_times : 1;
      else if (kind < full + heavy + spiky)
        peak = spike_times;
      offered += std::min(base, 1.0) * p.rate;
      units_within_quota += std::min(base, 1.0) * p.rate;
      units_over_quota +=
          std::max(0.0, base - 1) * p.rate + std::max(0.0, peak - 1) * p.rate * spike_s / spike_every_s;
      Random customer_random(spec->seed, Stream::kArrivals, static_cast<uint64_t>(number));
      double spike_at = peak > 0 ? customer_random.Uniform(0, spike_every_s) : 1e18;
      double max_factor = std::max(base, peak);
      for (const Surge& surge : surges)
        max_factor = std::max(max_factor, std::max(base, peak) * surge.factor);
      // Thinning (Lewis and Shedler 1979): draw at the highest rate, keep each arrival with the share of the
      // current rate.
      for (double at = customer_random.Exponential(units / (max_factor * p.rate)); at < length;
           at += customer_random.Exponential(units / (max_factor * p.rate))) {
        while (at > spike_at + spike_s) spike_at += customer_random.Uniform(0.5, 1.5) * spike_every_s;
        double rate = at >= spike_at && at <= spike_at + spike_s ? peak : base;
        for (const Surge& surge : surges) {
          if (FromSeconds(at) >= surge.from && FromSeconds(at) < surge.to) rate *= surge.factor;
        }
        if (!customer_random.Chance(rate / max_factor)) continue;
        Arrival a;
        a.at = FromSeconds(at);
        a.customer = static_cast<uint32_t>(number);
        double class_draw = customer_random.Uniform(0, 1);
        while (a.class_index + 1 < static_cast<int>(spec->classes.size()) &&
               class_draw >= spec->classes[static_cast<size_t>(a.class_index)].share) {
          class_draw -= spec->classes[static_cast<size_t>(a.class_index++)].share;
        }
        const ClassSpec& class_spec = spec->classes[static_cast<size_t>(a.class_index)];
        a.work_s = std::max(kMinWorkS, customer_random.Work(class_spec.work_s, class_spec.work_cv));
        a.units = UnitsOf(*spec, a.class_index, a.work_s);
        a.estimated_units = std::clamp(std::round(a.units * customer_random.LognormalFactor(DrawFrom(
                                                                &customer_random, scenario.guess_cv))),
                                       1.0, static_cast<double>(spec->units_top));
        spec->arrivals.push_back(a);
      }
      spec->customers.push_back(c);
      ++number;
    }
  }
  std::stable_sort(spec->arrivals.begin(), spec->arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
}

class TimelineBuilder {
 public:
  TimelineBuilder(const Scenario& scenario, Random* random, RunSpec* spec, std::vector<Surge>* surges)
      : scenario_(scenario), random_(random), spec_(spec), surges_(surges) {
    for (size_t i = 0; i < spec->backends.size(); ++i) running_backends_.push_back(static_cast<int>(i));
  }

  void AddConfiguredEvent(const EventConfig& event) {
    Micros at = FromSeconds(DrawFrom(random_, event.at_s)),
           to = at + FromSeconds(DrawFrom(random_, event.for_s));
    double part = DrawFrom(random_, event.part), size = DrawFrom(random_, event.size);
    int zone = random_->UniformInt(spec_->zones);
    if (event.kind.rfind("zone-", 0) == 0 && !event.targets.empty()) zone = event.targets[0];
    std::vector<int> all = Indices(spec_->gateways);
    Micros ended = to;
    auto gateways = [&] { return event.targets.empty() ? RandomSubset(random_, all, part) : event.targets; };
    auto backends = [&] {
      return event.targets.empty() ? RandomSubset(random_, running_backends_, part) : event.targets;
    };
    if (event.kind == "burst") {
      surges_->push_back({at, to, size});
    } else if (event.kind == "shift") {
      spec_->shifts.push_back(at), spec_->shift_share = part;
    } else if (event.kind == "hot") {
      spec_->hot_from = at, spec_->hot_to = to, spec_->hot_share = size;
    } else if (event.kind == "kill") {
      for (int g : gateways()) {
        AddEvent(at, SiteEventKind::kKillGateway, {g});
        Micros back = at + FromSeconds(DrawFrom(random_, event.down_s));
        ended = std::max(ended, back);
        AddEvent(back, SiteEventKind::kStartGateway, {g});
      }
    } else if (event.kind == "restart") {
      std::vector<int> chosen = gateways();
      auto batch = std::max<size_t>(1, static_cast<size_t>(size * spec_->gateways));
      size_t batches = (chosen.size() + batch - 1) / batch;
      for (size_t i = 0; i < chosen.size(); ++i) {
        Micros then = at + (to - at) * static_cast<Micros>(i / batch) /
                               static_cast<Micros>(std::max<size_t>(1, batches));
        AddEvent(then, SiteEventKind::kTerminateGateway, {chosen[i]});
        Micros killed = then + spec_->TerminationGrace();
        AddEvent(killed, SiteEventKind::kKillGateway, {chosen[i]});
        AddEvent(killed + FromSeconds(DrawFrom(random_, event.down_s)), SiteEventKind::kStartGateway,
                 {chosen[i]});
      }
    } else if (event.kind == "stop") {
      AddBeginAndEnd(at, to, SiteEventKind::kPauseGateway, SiteEventKind::kResumeGateway, gateways(), 0);
    } else if (event.kind == "replace") {
      std::vector<int> chosen = backends();
      for (size_t i = 0; i < chosen.size(); ++i) {
        Micros then = at + (to - at) * static_cast<Micros>(i) / static_cast<Micros>(chosen.size());
        AddEvent(then, SiteEventKind::kDrainBackend, {chosen[i]});
        AddEvent(then + FromSeconds(4), SiteEventKind::kRemoveBackend, {chosen[i]});
        AddEvent(then + FromSeconds(4.5), SiteEventKind::kStopBackend, {chosen[i]});
        DrawBackend(scenario_, random_, spec_->backends[static_cast<size_t>(chosen[i])].zone,
                    std::max<Micros>(1, then), spec_);
        int replacement = static_cast<int>(spec_->backends.size()) - 1;
        AddEvent(then, SiteEventKind::kStartBackend, {replacement});
        std::replace(running_backends_.begin(), running_backends_.end(), chosen[i], replacement);
      }
    } else if (event.kind == "crash" || event.kind == "zone-lost") {
      std::vector<int> chosen = event.kind == "crash" ? backends() : std::vector<int>();
      if (event.kind == "zone-lost") {
        for (int b : running_backends_) {
          if (spec_->backends[static_cast<size_t>(b)].zone == zone) chosen.push_back(b);
        }
      }
      AddBeginAndEnd(at, to, SiteEventKind::kStopBackend, SiteEventKind::kStartBackend, chosen, 0);
    } else if (event.kind == "fail") {
      AddBeginAndEnd(at, to, SiteEventKind::kBackendErrors, SiteEventKind::kBackendErrors, backends(), size);
    } else if (event.kind == "slow") {
      AddBeginAndEnd(at, to, SiteEventKind::kBackendSlow, SiteEventKind::kBackendSlow, backends(), size);
    } else if (event.kind == "silent") {
      AddBeginAndEnd(at, to, SiteEventKind::kBackendSilent, SiteEventKind::kBackendSilent, backends(), 1);
    } else if (event.kind == "zone-cut") {
      AddBeginAndEnd(at, to, SiteEventKind::kZoneCut, SiteEventKind::kZoneCut, {zone}, 1);
    } else if (event.kind == "resets") {
      AddBeginAndEnd(at, to, SiteEventKind::kAttemptResets, SiteEventKind::kAttemptResets, {}, size);
    } else if (event.kind == "counter-down") {
      AddBeginAndEnd(at, to, SiteEventKind::kCounterDown, SiteEventKind::kCounterDown, {}, 1);
    } else if (event.kind == "counter-loses") {
      AddBeginAndEnd(at, to, SiteEventKind::kCounterLoses, SiteEventKind::kCounterLoses, {}, size);
    } else if (event.kind == "discovery-silent") {
      AddBeginAndEnd(at, to, SiteEventKind::kDiscoverySilent, SiteEventKind::kDiscoverySilent, {}, 1);
    } else if (event.kind == "discovery-refuses") {
      AddBeginAndEnd(at, to, SiteEventKind::kDiscoveryRefuses, SiteEventKind::kDiscoveryRefuses, {}, 1);
    } else if (event.kind == "rude") {
      AddBeginAndEnd(at, to, SiteEventKind::kMisbehavingPeers, SiteEventKind::kMisbehavingPeers, {}, size);
    } else if (event.kind == "offline") {
      std::vector<int> chosen = backends();
      AddBeginAndEnd(at, to, SiteEventKind::kBackendOffline, SiteEventKind::kBackendOnline, chosen, 0);
      // While offline, the backends are restarted and come back cold.
      AddBeginAndEnd(at + (to - at) / 2, to - (to - at) / 4, SiteEventKind::kStopBackend,
                     SiteEventKind::kStartBackend, chosen, 0);
    } else if (event.kind == "drain") {
      AddBeginAndEnd(at, to, SiteEventKind::kGatewayOutOfService, SiteEventKind::kGatewayInService,
                     gateways(), 0);
    } else if (event.kind == "scrape") {
      AddBeginAndEnd(at, to, SiteEventKind::kScrapeMetrics, SiteEventKind::kScrapeMetrics, {}, size);
    } else if (event.kind == "retune") {
      AddEvent(at, SiteEventKind::kScaleQuotas, {}, size);
    } else if (event.kind == "site-trouble") {
      return AddRandomDisturbance(at);
    } else if (event.kind == "power-loss") {
      std::vector<int> chosen = gateways();
      for (int g : chosen) AddEvent(at, SiteEventKind::kKillGateway, {g});
      if (event.order != "drawn") std::sort(chosen.begin(), chosen.end());
      if (event.order == "down") std::reverse(chosen.begin(), chosen.end());
      Micros first = at + FromSeconds(DrawFrom(random_, event.down_s));
      auto wave = std::max<size_t>(1, static_cast<size_t>(std::lround(size * spec_->gateways)));
      size_t waves = (chosen.size() + wave - 1) / wave;
      for (size_t i = 0; i < chosen.size(); ++i) {
        Micros then = first + (to - at) * static_cast<Micros>(i / wave) /
                                  static_cast<Micros>(std::max<size_t>(1, waves));
        ended = std::max(ended, then);
        AddEvent(then, SiteEventKind::kStartGateway, {chosen[i]});
      }
    } else if (event.kind == "starve") {
      AddBeginAndEnd(at, to, SiteEventKind::kStarveGateway, SiteEventKind::kStarveGateway, gateways(), size);
    } else if (event.kind == "claim") {
      for (int g : gateways()) {
        AddEvent(at, SiteEventKind::kKillGateway, {g});
        AddEvent(at, SiteEventKind::kClaimIdentity, {g}, size);
        AddEvent(to, SiteEventKind::kKillGateway, {g});
        AddEvent(to, SiteEventKind::kStartGateway, {g});
      }
    } else if (event.kind == "spoil") {
      static const std::array<const char*, 8> kFaultNames = {"cut",  "flip",       "older",     "other",
                                                             "gone", "unreadable", "read-only", "no-room"};
      auto fault_index = std::find(kFaultNames.begin(), kFaultNames.end(), event.what) - kFaultNames.begin();
      AddEvent(at, SiteEventKind::kStateFolderFault, gateways(), static_cast<double>(fault_index));
    } else if (event.kind.rfind("path-", 0) == 0) {
      static const std::array<const char*, 8> kKindNames = {"cut",   "black-hole", "reset",     "trickle",
                                                            "delay", "loss",       "duplicate", "reorder"};
      PathFault fault;
      fault.kind = static_cast<PathFaultKind>(
          std::find(kKindNames.begin(), kKindNames.end(), event.kind.substr(5)) - kKindNames.begin());
      fault.remote = event.to == "gateways"    ? RemoteParty::kGateways
                     : event.to == "counter"   ? RemoteParty::kCounter
                     : event.to == "discovery" ? RemoteParty::kDiscovery
                                               : RemoteParty::kBackends;
      fault.direction = event.way == "both"  ? PathDirection::kBoth
                        : event.way == "out" ? PathDirection::kOut
                                             : PathDirection::kIn;
      fault.gateways = gateways(), fault.others = event.others, fault.size = size;
      AddBeginAndEnd(at, to, SiteEventKind::kPathFault, SiteEventKind::kPathFault,
                     {static_cast<int>(spec_->path_faults.size())}, 1);
      spec_->path_faults.push_back(std::move(fault));
    } else if (event.kind == "upgrade") {
      AddEvent(at, SiteEventKind::kUpgradeGateway, gateways());
    }
    spec_->disturbances.push_back({at, ended, event.kind});
  }

 private:
  // Draws one of the disturbances that the operators have recorded (TERMS 7). Three in five are bursts, as 15
  // of 25 runs of the fleet's kinds at 100 gateways showed one; the other types are equally likely.
  void AddRandomDisturbance(Micros at) {
    struct DisturbanceType {
      const char* kind;
      Range for_s, part, size, down_s;
    };
    static constexpr DisturbanceType kTypes[] = {
        {"restart", {10, 26}, {0.54, 0.95}, {0.061, 0.24}, {0.32, 1.4}},
        {"burst", {2.5, 10}, {1, 1}, {1.5, 2.4}, {0, 0}},
        {"fail", {7.5, 29}, {0.073, 0.19}, {0.34, 1}, {0, 0}},
        {"hot", {13, 29}, {1, 1}, {0.078, 0.21}, {0, 0}},
        {"shift", {0, 0}, {0.16, 0.59}, {1, 1}, {0, 0}}};
    const DisturbanceType& type =
        random_->Chance(0.5) ? kTypes[1] : kTypes[random_->UniformInt(static_cast<int>(std::size(kTypes)))];
    EventConfig event;
    event.kind = type.kind, event.at_s = {ToSeconds(at), ToSeconds(at)};
    event.for_s = type.for_s, event.part = type.part, event.size = type.size, event.down_s = type.down_s;
    AddConfiguredEvent(event);
  }
  void AddEvent(Micros at, SiteEventKind kind, std::vector<int> targets, double size = 0) {
    spec_->site_events.push_back({at, kind, std::move(targets), size});
  }
  void AddBeginAndEnd(Micros from, Micros to, SiteEventKind begin, SiteEventKind end,
                      const std::vector<int>& targets, double size) {
    AddEvent(from, begin, targets, size);
    AddEvent(to, end, targets, 0);
  }

  const Scenario& scenario_;
  Random* random_;
  RunSpec* spec_;
  std::vector<Surge>* surges_;
  std::vector<int> running_backends_;  // backends that exist after the events so far
};

}  // namespace

const char* Name(SiteEventKind kind) {
  switch (kind) {
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
  RunSpec spec;
  spec.seed = seed;
  spec.scenario = scenario.name;
  spec.extensions = scenario.extensions;
  Random site_random(seed, Stream::kSite);
  DrawParameters(scenario, &site_random, &spec);
  DrawClassesAndPlans(scenario, &site_random, &spec);
  for (int g = 0; g < spec.gateways; ++g) spec.gateway_zone.push_back(g % spec.zones);
  int backends = DrawInt(&site_random, scenario.backends);
  for (int b = 0; b < backends; ++b) DrawBackend(scenario, &site_random, b % spec.zones, 0, &spec);
  Random timeline_random(seed, Stream::kTimeline);
  std::vector<Surge> surges;
  TimelineBuilder timeline(scenario, &timeline_random, &spec, &surges);
  for (const EventConfig& event : scenario.events) timeline.AddConfiguredEvent(event);
  std::stable_sort(spec.site_events.begin(), spec.site_events.end(),
                   [](const SiteEvent& a, const SiteEvent& b) { return a.at < b.at; });
  DrawArrivals(scenario, surges, &spec);
  return spec;
}

}  // namespace lemonchute::lab
