// Joins the parts: the gateways come up, the day begins, its incidents happen, the judge hears of everything,
// and all processes are gone at the end.
#include "play/real/real_day.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>

#include "checker/rules.h"
#include "checker/timeline.h"
#include "play/real/clients.h"
#include "play/real/misbehaving_peers.h"
#include "play/real/operators.h"
#include "play/real/peers.h"
#include "play/real/relays.h"

namespace lemonchute::lab {
namespace {

constexpr int kMostGateways = 100;
// The figures may lag by so much (LATER).
constexpr Micros kFiguresLag = 600'000;

// A folder that ends with the day, or the one that was asked for.
class Folder {
 public:
  explicit Folder(const std::string& wanted) : path_(wanted), ends_(wanted.empty()) {
    if (ends_) {
      std::string form = (std::filesystem::temp_directory_path() / "lemonchute-lab-XXXXXX").string();
      if (mkdtemp(form.data()) == nullptr)
        throw CannotPlay("cannot make a folder in " + std::filesystem::temp_directory_path().string());
      path_ = form;
    } else {
      std::error_code failed;
      std::filesystem::create_directories(path_, failed);
      if (failed) throw CannotPlay("cannot make the folder " + path_ + ": " + failed.message());
    }
  }
  ~Folder() {
    std::error_code ignored;
    if (ends_) std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool ends_;
};

double OwnCpu() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         1e-6 * static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
}

class RealDay {
 public:
  RealDay(const RunSpec& day, const RealOptions& options)
      : day_(day),
        options_(options),
        folder_(options.folder),
        world_(day),
        discovery_agents_(world_),
        backends_(world_, options.visitors),
        admin_client_(world_),
        relays_(world_),
        peers_(world_, history_),
        fleet_(world_, discovery_agents_, admin_client_, history_, options.program, options.faults_library,
               folder_.path()),
        clients_(world_, backends_, options.null_run,
                 [this](int g, Micros sent) { return options_.null_run || fleet_.Answers(g, sent); }),
        operators_(world_, fleet_, admin_client_,
                   [this](int g) { return clients_.Connections(g) + backends_.Connections(); }),
        misbehaving_peers_(world_,
                           [this](int g) { return fleet_.Ready(g) && fleet_.Answers(g, world_.Now()); }),
        signals_(world_.io, SIGINT, SIGTERM) {
    if (options_.history != nullptr) world_.judge.RecordTo(&history_);
    backends_.OnChange([this](int backend, bool up) { relays_.Backend(backend, up); });
  }

  nlohmann::json Play() {
    double cpu_before = OwnCpu();
    auto file = std::make_shared<spdlog::sinks::basic_file_sink_st>(folder_.path() + "/lab.log");
    world_.log = std::make_shared<spdlog::logger>("lab", file);
    world_.log->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
    world_.log->info("day={} seed={} gateways={} backends={} requests={}", day_.scenario, day_.seed,
                     day_.gateways, day_.backends.size(), day_.arrivals.size());
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      stopped_ = true;
      Finish();
    });
    if (options_.null_run)
      Begin({});
    else
      fleet_.Start([this](std::vector<int> late) { Begin(std::move(late)); });
    world_.io.run();
    if (!options_.null_run) JudgeHistory();
    for (const Violation& b : world_.judge.violations()) {
      world_.log->error("at_s={:.3f} rule=\"{}\" request={} what=\"{}\"", ToSeconds(b.at), b.rule,
                        RequestId(day_, static_cast<uint32_t>(b.request)), b.description);
    }
    world_.log->info("over at_s={:.3f} breaches={}", ToSeconds(ended_), world_.judge.violation_count());
    nlohmann::json report = world_.judge.Report(std::min(day_.end, ended_));
    report["play"] = options_.null_run ? "null" : "real";
    report["stopped"] = stopped_;
    report["lab"] = {{"cpu_s", OwnCpu() - cpu_before},
                     {"late_p50_ms", static_cast<double>(world_.schedule.LateAt(0.5)) / 1000},
                     {"late_p99_ms", static_cast<double>(world_.schedule.LateAt(0.99)) / 1000},
                     {"late_worst_ms", static_cast<double>(world_.schedule.LateAt(1)) / 1000},
                     {"delayed_exchanges", clients_.delayed_by_lab()}};
    auto beside = [&](double share) {
      std::sort(world_.beside.begin(), world_.beside.end());
      if (world_.beside.empty()) return 0.0;
      size_t at = std::min(world_.beside.size() - 1,
                           static_cast<size_t>(share * static_cast<double>(world_.beside.size())));
      return static_cast<double>(world_.beside[at]) / 1000;
    };
    report["beside_backend_ms"] = {{"p50", beside(0.5)}, {"p90", beside(0.9)}, {"p99", beside(0.99)}};
    if (!options_.null_run) {
      report.update(fleet_.Report());
      report.update(operators_.Report());
      const Peers::Counts& peers = peers_.counts();
      report["datagrams"] = {{"sent", peers.sent},         {"arrived", peers.arrived},
                             {"lost", peers.lost},         {"too_long", peers.too_long},
                             {"too_many", peers.too_many}, {"from_strangers", peers.strangers}};
      report["relays"] = relays_.paths();
      report["timeline"] = BuildTimeline(history_, ended_);
    }
    if (options_.history != nullptr) *options_.history = std::move(history_);
    return report;
  }

 private:
  // What hangs on times no longer than the lab's own lateness says so.
  void JudgeHistory() {
    fleet_.ReadSayings();
    history_.Sort();
    RuleLimits bounds = RuleLimitsOf(day_, ended_);
    Micros late = world_.schedule.LateAt(1);
    for (const FleetViolation& f : CheckFleet(history_, bounds)) {
      std::string what = f.description;
      if (f.duration <= late) what += " (for no longer than the lab itself was late)";
      world_.judge.AddViolation("fleet: " + f.rule, f.at, UINT32_MAX, what);
    }
  }

  void Begin(std::vector<int> late) {
    if (finishing_) return;
    world_.schedule.Begin(Schedule::Clock::now());
    world_.log->info("begins not_ready={} clock_s={:.6f}", late.size(),
                     ToSeconds(world_.schedule.ClockAtStart()));
    discovery_agents_.Begin();
    for (int g : late) {
      world_.judge.OnGatewayCrashed(0, g, "did not become ready");
      world_.client_router.OnGatewayDown(g, 0);
    }
    clients_.Begin();
    for (const SiteEvent& incident : day_.site_events)
      world_.schedule.At(incident.at, [this, &incident] { Happen(incident); });
    world_.schedule.At(day_.end + kFiguresLag, [this] { Finish(); });
    if (options_.watch) Show();
  }

  void Show() {
    if (finishing_) return;
    nlohmann::json now = world_.judge.Report(world_.Now());
    for (int g = 0; g < day_.gateways; ++g) {
      now["doors"].push_back(Slice::Text(world_.slice.Ops(g, 0))),
          now["listens"].push_back(Slice::Text(world_.slice.Gateway(g)));
    }
    for (const BackendSpec& b : day_.backends) now["names"].push_back(b.name);
    now["plan"] = day_.plans[0].name, now["class"] = day_.classes[0].name;
    options_.watch(now);
    world_.schedule.After(kSecond, [this] { Show(); });
  }

  void Finish() {
    if (finishing_) return;
    finishing_ = true;
    ended_ = world_.Now();
    if (options_.null_run) return world_.io.stop();
    auto end = [this] { fleet_.End([this] { world_.io.stop(); }); };
    if (stopped_) return end();
    operators_.Compare(end);
  }

  void Path(int fault, bool on) {
    world_.paths.SetActive(fault, on);
    relays_.Changed();
    if (day_.path_faults[static_cast<size_t>(fault)].remote != RemoteParty::kDiscovery) return;
    for (int g : world_.paths.GatewaysOf(fault))
      discovery_agents_.Cut(g, !world_.paths.Passes(g, RemoteParty::kDiscovery));
  }

  void Happen(const SiteEvent& incident) {
    if (options_.null_run || finishing_) return;
    bool on = incident.size > 0;
    RecordSiteEvent(day_, incident, &history_);
    std::string targets;
    for (int t : incident.targets) targets.append(targets.empty() ? "" : ",").append(std::to_string(t));
    world_.log->info("at_s={:.3f} incident=\"{}\" targets={} size={}", ToSeconds(incident.at),
                     Name(incident.kind), targets, incident.size);
    for (int t : incident.targets) {
      switch (incident.kind) {
        case SiteEventKind::kKillGateway: fleet_.Kill(t); break;
        case SiteEventKind::kTerminateGateway: fleet_.Terminate(t); break;
        case SiteEventKind::kStartGateway: fleet_.Revive(t); break;
        case SiteEventKind::kPauseGateway: fleet_.Stop(t, true); break;
        case SiteEventKind::kResumeGateway: fleet_.Stop(t, false); break;
        case SiteEventKind::kDrainBackend: discovery_agents_.Tell({t, ListState::kLeaving, 0}); break;
        case SiteEventKind::kRemoveBackend:
          backends_.Leave(t);
          discovery_agents_.Tell({t, ListState::kLeft, 0});
          break;
        case SiteEventKind::kStopBackend: backends_.End(t); break;
        case SiteEventKind::kStartBackend:
          backends_.Start(t);
          discovery_agents_.Tell({t, ListState::kActive, world_.Now()});
          break;
        case SiteEventKind::kBackendErrors: backends_.Fail(t, incident.size); break;
        case SiteEventKind::kBackendSlow: backends_.Slow(t, incident.size); break;
        case SiteEventKind::kBackendSilent: backends_.Silent(t, on); break;
        case SiteEventKind::kZoneCut: world_.network.SetZoneCut(t, on); break;
        case SiteEventKind::kBackendOffline: operators_.Offline(t, true); break;
        case SiteEventKind::kBackendOnline: operators_.Offline(t, false); break;
        case SiteEventKind::kGatewayOutOfService: operators_.Drain(t, true); break;
        case SiteEventKind::kGatewayInService: operators_.Drain(t, false); break;
        case SiteEventKind::kUpgradeGateway: fleet_.Upgrade(t); break;
        case SiteEventKind::kPathFault: Path(t, on); break;
        case SiteEventKind::kClaimIdentity: fleet_.Claim(t, static_cast<int>(incident.size)); break;
        case SiteEventKind::kStateFolderFault:
          fleet_.Befall(t, static_cast<StateFolderFault>(static_cast<int>(incident.size)));
          break;
        case SiteEventKind::kStarveGateway: fleet_.Squeeze(t, incident.size); break;
        default: break;
      }
    }
    switch (incident.kind) {
      case SiteEventKind::kAttemptResets: backends_.Resets(incident.size); break;
      case SiteEventKind::kCounterDown: world_.counter.SetDown(on); break;
      case SiteEventKind::kCounterLoses: world_.counter.SetLostShare(incident.size); break;
      case SiteEventKind::kDiscoverySilent: discovery_agents_.Silent(on); break;
      case SiteEventKind::kDiscoveryRefuses: discovery_agents_.Refuse(on); break;
      case SiteEventKind::kMisbehavingPeers: misbehaving_peers_.Come(incident.size); break;
      case SiteEventKind::kScaleQuotas: fleet_.Retune(incident.size); break;
      case SiteEventKind::kScrapeMetrics: operators_.Scrape(incident.size); break;
      default: break;
    }
  }

  const RunSpec& day_;
  const RealOptions options_;
  Folder folder_;
  World world_;
  DiscoveryAgents discovery_agents_;
  StubBackends backends_;
  AdminClient admin_client_;
  History history_;
  Relays relays_;
  Peers peers_;
  Fleet fleet_;
  Clients clients_;
  Operators operators_;
  MisbehavingPeers misbehaving_peers_;
  asio::signal_set signals_;
  Micros ended_ = 0;
  bool stopped_ = false, finishing_ = false;
};

}  // namespace

nlohmann::json PlayReal(const RunSpec& day, const RealOptions& options) {
  if (day.gateways > kMostGateways) {
    throw CannotPlay("a day on real sockets has at most " + std::to_string(kMostGateways) +
                     " gateways, this one has " + std::to_string(day.gateways) + ": play it in virtual time");
  }
  if (day.HasStreamFaults() && static_cast<int>(day.backends.size()) > Slice::kMostVia) {
    throw CannotPlay("paths can be befallen with at most " + std::to_string(Slice::kMostVia) +
                     " backends, this day has " + std::to_string(day.backends.size()));
  }
  if (!options.null_run && access(options.program.c_str(), X_OK) != 0)
    throw CannotPlay("there is no gateway program at " + options.program +
                     ": build it, or name it with --gateway");
  try {
    return RealDay(day, options).Play();
  } catch (const boost::system::system_error& error) {
    throw CannotPlay(std::string("the site's addresses could not be had: ") + error.what());
  } catch (const std::system_error& error) {
    throw CannotPlay(error.what());
  }
}

}  // namespace lemonchute::lab
