// Joins the parts: clients and their tries, the incidents, and the end.
#include "play/virtual/virtual_day.h"

#include "checker/rules.h"
#include "checker/timeline.h"
#include "play/virtual/gateways.h"

namespace lemonchute::lab {
namespace {

class VirtualDay {
 public:
  VirtualDay(const RunSpec& day, History* history)
      : day_(day),
        history_(history),
        world_(day),
        gateways_(world_, [this](uint32_t id, TryOutcome final, double retry_after_s, bool room) {
          Answer(id, final, retry_after_s, room);
        }) {
    if (history_ != nullptr) world_.judge.RecordTo(history_);
    for (int g = 0; g < day.gateways; ++g) Say(HistoryEventKind::kProcessStarted, g);
    for (const SiteEvent& incident : day.site_events)
      world_.agenda.At(incident.at, [this, &incident] { Happen(incident); });
    Next(0);
  }

  nlohmann::json Play(std::atomic<int>* progress) {
    constexpr int kSteps = 4096;
    while (world_.agenda.Run(day_.end, kSteps)) {
      if (progress != nullptr) progress->store(static_cast<int>(1000 * world_.Now() / day_.end));
    }
    if (history_ != nullptr) JudgeHistory();
    nlohmann::json report = world_.judge.Report(day_.end);
    if (history_ != nullptr) report["timeline"] = BuildTimeline(*history_, day_.end);
    report["play"] = "virtual";
    report["events"] = world_.agenda.events();
    if (!not_played_.empty()) report["not_played"] = not_played_;
    return report;
  }

 private:
  void Next(uint32_t arrival) {
    if (arrival >= day_.arrivals.size()) return;
    world_.agenda.At(day_.arrivals[arrival].at, [this, arrival] {
      Next(arrival + 1);
      Send(arrival, 0);
    });
  }

  void Send(uint32_t arrival, int number) {
    Micros now = world_.Now(), patience = world_.client_router.TryTimeout(arrival, now);
    int gateway = world_.client_router.PickGateway(arrival, number, now);
    const Customer& customer = day_.customers[day_.arrivals[arrival].customer];
    uint32_t id = world_.judge.OnTrySent(now, arrival, number, gateway < 0 ? customer.first_gateway : gateway,
                                         patience);
    world_.agenda.At(now + patience, [this, id] {
      if (world_.judge.GetTry(id).closed) return;
      world_.judge.OnClientLeft(world_.Now(), id);
      Again(id, 0);
    });
    if (gateway < 0) {
      world_.judge.OnTryUndelivered(now, id);
      return Again(id, 0);
    }
    world_.agenda.AtGateway(static_cast<uint32_t>(gateway), now + world_.network.ClientDelay(),
                            [this, id] { Reach(id); });
    if (auto leaves = world_.client_router.LeavesAfter(arrival, number, patience)) {
      world_.agenda.At(now + *leaves, [this, id] {
        if (world_.judge.GetTry(id).closed) return;
        world_.judge.OnClientLeft(world_.Now(), id);
        gateways_.Abandon(id);
      });
    }
  }

  void Reach(uint32_t id) {
    const Try& t = world_.judge.GetTry(id);
    if (t.closed) return;
    if (!gateways_.Up(static_cast<uint32_t>(t.gateway))) {
      world_.judge.OnTryUndelivered(world_.Now(), id);
      return Again(id, 0);
    }
    world_.agenda.At(t.sent_at + t.timeout + FromSeconds(day_.answer_grace_s), [this, id] {
      if (!gateways_.Owes(id)) return;
      // A stopped process can't answer, nor see that it has been given up before it goes on.
      auto gateway = static_cast<uint32_t>(world_.judge.GetTry(id).gateway);
      if (stops_[gateway] == 0)
        world_.judge.OnTryLost(world_.Now(), id, "no final answer by the end of its time and the grace");
      world_.agenda.AtGateway(gateway, world_.Now(), [this, id] { gateways_.Abandon(id); });
    });
    gateways_.Take(id);
  }

  void Answer(uint32_t id, TryOutcome final, double retry_after_s, bool room) {
    world_.agenda.At(world_.Now() + world_.network.ClientDelay(), [this, id, final, retry_after_s, room] {
      if (world_.judge.GetTry(id).closed) return;  // its client has gone
      world_.judge.OnTryAnswered(world_.Now(), id, final, room);
      if (final != TryOutcome::kServed) Again(id, retry_after_s);
    });
  }

  void Again(uint32_t id, double retry_after_s) {
    const Try& t = world_.judge.GetTry(id);
    auto at = world_.client_router.RetryAt(t.arrival, t.number, world_.Now(), retry_after_s);
    if (at)
      world_.agenda.At(*at, [this, arrival = t.arrival, number = t.number + 1] { Send(arrival, number); });
  }

  void TellList(const Discovery::Entry& entry) {
    std::vector<Micros> told;
    TellAt(world_.discovery.Publish(world_.Now(), entry, &told), told);
  }
  void TellAt(int version, const std::vector<Micros>& told) {
    for (uint32_t g = 0; g < told.size(); ++g) {
      if (told[g] != kNever)
        world_.agenda.AtGateway(g, told[g], [this, g, version] { gateways_.TellVersion(g, version); });
    }
  }

  void Say(HistoryEventKind what, int gateway) {
    if (history_ != nullptr)
      history_->Add({world_.Now(), what, gateway, life_[static_cast<size_t>(gateway)], "", 0, 0, kNever});
  }
  // Stops may overlap, and with starving: a gateway goes on with the last one's end.
  void Stop(uint32_t gateway, bool stop) {
    bool was = stops_[gateway] > 0;
    stops_[gateway] = std::max(0, stops_[gateway] + (stop ? 1 : -1));
    if (was == (stops_[gateway] > 0)) return;
    stop ? world_.agenda.Stop(gateway) : world_.agenda.Continue(gateway);
    Say(stop ? HistoryEventKind::kProcessPaused : HistoryEventKind::kProcessResumed,
        static_cast<int>(gateway));
  }

  void Path(int fault, bool on) {
    world_.paths.SetActive(fault, on);
    if (day_.path_faults[static_cast<size_t>(fault)].remote != RemoteParty::kDiscovery) return;
    auto newest = static_cast<int>(world_.discovery.changes().size());
    for (int g : world_.paths.GatewaysOf(fault)) {
      bool cut = !world_.paths.Passes(g, RemoteParty::kDiscovery);
      world_.discovery.SetCut(g, cut, world_.Now());
      if (cut || newest == 0) continue;
      auto gateway = static_cast<uint32_t>(g);
      world_.agenda.AtGateway(gateway, world_.discovery.NotifiedAt(g, newest),
                              [this, gateway, newest] { gateways_.TellVersion(gateway, newest); });
    }
  }
  // Runs its share of each slice; the size of the newest incident counts.
  void Squeeze(uint32_t gateway, double share) {
    uint64_t life = ++squeezes_[gateway];
    if (stops_[gateway] == 0) world_.agenda.Continue(gateway);
    if (share <= 0 || share >= 1) return;
    Slice(gateway, share, life);
  }
  void Slice(uint32_t gateway, double share, uint64_t life) {
    if (squeezes_[gateway] != life) return;
    world_.agenda.Stop(gateway);
    Micros stopped = FromSeconds((1 - share) * ToSeconds(kCpuSlice));
    world_.agenda.At(world_.Now() + stopped, [this, gateway, life] {
      if (squeezes_[gateway] == life && stops_[gateway] == 0) world_.agenda.Continue(gateway);
    });
    world_.agenda.At(world_.Now() + kCpuSlice, [this, gateway, share, life] { Slice(gateway, share, life); });
  }

  void Happen(const SiteEvent& incident);

  void JudgeHistory() {
    history_->Sort();
    for (const FleetViolation& f : CheckFleet(*history_, RuleLimitsOf(day_, day_.end)))
      world_.judge.AddViolation("fleet: " + f.rule, f.at, UINT32_MAX, f.description);
  }

  const RunSpec& day_;
  History* history_;
  VirtualWorld world_;
  VirtualGateways gateways_;
  std::vector<int64_t> life_ = std::vector<int64_t>(static_cast<size_t>(day_.gateways), 1);
  std::vector<int> stops_ = std::vector<int>(static_cast<size_t>(day_.gateways), 0);
  std::vector<uint64_t> squeezes_ = std::vector<uint64_t>(static_cast<size_t>(day_.gateways), 0);
  nlohmann::json not_played_ = nlohmann::json::array();
};

void VirtualDay::Happen(const SiteEvent& incident) {
  if (OnlyReal(incident.kind)) {
    const char* name = Name(incident.kind);
    if (std::find(not_played_.begin(), not_played_.end(), name) == not_played_.end())
      not_played_.push_back(name);
    return;
  }
  if (history_ != nullptr) RecordSiteEvent(day_, incident, history_);
  VirtualBackends& backends = gateways_.backends();
  bool on = incident.size > 0;
  for (int target : incident.targets) {
    auto t = static_cast<uint32_t>(target);
    switch (incident.kind) {
      case SiteEventKind::kKillGateway:
        if (gateways_.Up(t)) Say(HistoryEventKind::kProcessEnded, target);
        gateways_.End(t);
        break;
      case SiteEventKind::kTerminateGateway:
      case SiteEventKind::kGatewayOutOfService:
        world_.client_router.OnGatewayDraining(target, world_.Now());
        break;
      case SiteEventKind::kGatewayInService: world_.client_router.OnGatewayReady(target); break;
      case SiteEventKind::kStartGateway:
        if (!gateways_.Up(t)) ++life_[t], Say(HistoryEventKind::kProcessStarted, target);
        gateways_.Start(t);
        if (stops_[t] > 0) world_.agenda.Stop(t);
        break;
      case SiteEventKind::kPauseGateway: Stop(t, true); break;
      case SiteEventKind::kResumeGateway: Stop(t, false); break;
      case SiteEventKind::kDrainBackend: TellList({target, ListState::kLeaving, 0}); break;
      case SiteEventKind::kRemoveBackend:
        backends.Leave(t);
        TellList({target, ListState::kLeft, 0});
        break;
      case SiteEventKind::kStopBackend: backends.End(t); break;
      case SiteEventKind::kStartBackend:
        backends.Start(t);
        TellList({target, ListState::kActive, world_.Now()});
        break;
      case SiteEventKind::kBackendErrors: backends.Fail(t, incident.size); break;
      case SiteEventKind::kBackendSlow: backends.Slow(t, std::max(1.0, incident.size)); break;
      case SiteEventKind::kBackendSilent: backends.Silent(t, on); break;
      case SiteEventKind::kZoneCut: world_.network.SetZoneCut(target, on); break;
      case SiteEventKind::kPathFault: Path(target, on); break;
      case SiteEventKind::kStarveGateway: Squeeze(t, incident.size); break;
      case SiteEventKind::kBackendOffline: gateways_.Offline(t, true); break;
      case SiteEventKind::kBackendOnline: gateways_.Offline(t, false); break;
      default: break;
    }
  }
  switch (incident.kind) {
    case SiteEventKind::kAttemptResets: backends.Resets(incident.size); break;
    case SiteEventKind::kCounterDown: world_.counter.SetDown(on); break;
    case SiteEventKind::kCounterLoses: world_.counter.SetLostShare(incident.size); break;
    case SiteEventKind::kDiscoveryRefuses:  // the module hears of neither
    case SiteEventKind::kDiscoverySilent: {
      std::vector<Micros> told;
      world_.discovery.SetSilent(on, world_.Now(), &told);
      if (!on) TellAt(static_cast<int>(world_.discovery.changes().size()), told);
      break;
    }
    case SiteEventKind::kScaleQuotas: gateways_.Retune(incident.size); break;
    default: break;
  }
}

}  // namespace

bool OnlyReal(SiteEventKind what) {
  return what == SiteEventKind::kUpgradeGateway || what == SiteEventKind::kScrapeMetrics ||
         what == SiteEventKind::kMisbehavingPeers || what == SiteEventKind::kClaimIdentity ||
         what == SiteEventKind::kStateFolderFault;
}

nlohmann::json PlayVirtual(const RunSpec& day, std::atomic<int>* progress, History* history) {
  return VirtualDay(day, history).Play(progress);
}

}  // namespace lemonchute::lab
