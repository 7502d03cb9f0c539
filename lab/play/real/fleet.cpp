// Every process is known by its id, and signals go to these ids alone.
#include "play/real/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <utility>

#include "model/settings.h"
#include "play/real/real_day.h"
#include "play/real/system_faults.h"

namespace lemonchute::lab {
namespace {

constexpr Micros kReadyLimit = 30 * kSecond;   // clients come then at the latest (DEPLOY)
constexpr Micros kUpgradeLimit = 6 * kSecond;  // a new process says yes by then (LATER)
constexpr Micros kReadyEach = 100'000;         // the front asks ten times a second (LATER)
constexpr Micros kEndLimit = 5 * kSecond;
// What SIGKILL finds unanswered is lost where it came so long after SIGTERM (PROTOCOL, Figures).
constexpr Micros kTakenAfterSigterm = 700'000;
constexpr Micros kWatchEach = 50'000;
constexpr std::string_view kViolated = "invariant violated: ";  // as gateways say it in their logs
constexpr uintmax_t kMostLog = uintmax_t{64}
                               << 20;  // bytes; a day's log that is longer is a fault of its own

}  // namespace

Fleet::Fleet(World& world, DiscoveryAgents& agents, AdminClient& admin_client, History& history,
             std::string program, std::string faults_library, std::string folder)
    : world_(world),
      discovery_agents_(agents),
      admin_client_(admin_client),
      history_(history),
      program_(std::move(program)),
      faults_library_(std::move(faults_library)),
      folder_(std::move(folder)),
      seeds_(world.day.seed, Stream::kSeeds),
      spoils_(world.day.seed, Stream::kFaults),
      members_(static_cast<size_t>(world.day.gateways)) {
  bool passed = std::any_of(world.day.site_events.begin(), world.day.site_events.end(),
                            [](const SiteEvent& i) { return i.kind == SiteEventKind::kUpgradeGateway; });
  for (int g = 0; g < world.day.gateways; ++g) {
    Member& m = members_[static_cast<size_t>(g)];
    m.state = std::make_unique<StateFolder>(folder_ + "/" + GatewayName(g) + "-state");
    m.counter =
        std::make_unique<StubCounter>(world.io, world.schedule, world.slice.Counter(g),
                                      [this, g](std::string_view name, double amount, double keep_ms) {
                                        Micros now = world_.Now();
                                        world_.judge.OnCounterCall(now, g, amount);
                                        int zone = world_.day.gateway_zone[static_cast<size_t>(g)];
                                        if (!world_.network.Passes(zone, 0)) return Counter::Reply{};
                                        Counter::Reply answer = world_.counter.Call(
                                            now + world_.network.OneWayDelay(zone, 0), name, amount, keep_ms);
                                        if (answer.kind != Counter::ReplyKind::kNoReply)
                                          answer.at += world_.network.OneWayDelay(0, zone);
                                        return answer;
                                      });
    if (!passed) continue;
    // The platform holds the clients' socket, and every process of the gateway inherits it.
    m.listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(m.listening, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    auto at = world.slice.Gateway(g);
    if (bind(m.listening, at.data(), static_cast<socklen_t>(at.size())) != 0 || listen(m.listening, 256) != 0)
      throw CannotPlay("cannot listen on " + Slice::Text(at) + ": it is taken");
  }
}

Fleet::~Fleet() {
  for (Member& m : members_) {
    m.processes.clear();
    if (m.listening >= 0) close(m.listening);
  }
}

std::string Fleet::Write(int gateway) {
  GatewayAddresses addresses;
  addresses.listen = Slice::Text(world_.slice.Gateway(gateway));
  addresses.discovery = Slice::Text(world_.AgentAt(gateway));
  addresses.counter = Slice::Text(world_.CounterAt(gateway));
  addresses.peer_listen = Slice::Text(world_.slice.PeerListen(gateway));
  addresses.peers_all = Slice::Text(world_.slice.AllPeers());
  for (int g = 0; g < world_.day.gateways; ++g) addresses.peers.push_back(Slice::Text(world_.slice.Peer(g)));
  const Member& m = members_[static_cast<size_t>(gateway)];
  nlohmann::json config = ConfigurationOf(world_.day, m.claims >= 0 ? m.claims : gateway, addresses,
                                          discovery_agents_.Known(gateway), seeds_.Bits(), scale_);
  if (!world_.day.extensions.empty()) {
    std::string text = world_.day.extensions;
    for (size_t at = 0; (at = text.find("$STATE", at)) != std::string::npos; at += m.state->path().size())
      text.replace(at, 6, m.state->path());
    config["extensions"] = nlohmann::json::parse(text);
  }
  std::string path = folder_ + "/" + GatewayName(gateway) + ".json", fresh = path + ".new";
  std::ofstream(fresh) << config.dump(1);
  std::filesystem::rename(fresh, path);
  return path;
}

void Fleet::Launch(int gateway, bool beside) {
  Member& m = members_[static_cast<size_t>(gateway)];
  std::string name = GatewayName(gateway);
  world_.judge.OnGatewayStarted(world_.Now(), gateway);
  world_.told_to_end_at[static_cast<size_t>(gateway)] = kNever;
  if (!beside) {  // empty at each start, but for a new version beside the old
    m.temporary = folder_ + "/" + name + "-tmp-" + std::to_string(m.launches);
    std::filesystem::create_directory(m.temporary);
  }
  // What waits in a queue that the platform holds is owed an answer once the process takes clients.
  if (!beside && m.launches > 0) m.went_on = kNever;
  m.ops = m.launches % 2;
  Process::Start start;
  start.program = program_;
  start.environment = {{"LB_NAME", m.claims >= 0 ? GatewayName(m.claims) : name},
                       {"LB_LISTEN", Slice::Text(world_.slice.Gateway(gateway))},
                       {"LB_DISCOVERY", Slice::Text(world_.AgentAt(gateway))},
                       {"LB_CONFIG", Write(gateway)},
                       {"LB_OPS", Slice::Text(world_.slice.Ops(gateway, m.ops))},
                       {"TMPDIR", m.temporary}};
  if (!faults_library_.empty()) {
    start.environment["LD_PRELOAD"] = faults_library_;
    start.environment["LEMONCHUTE_FAULTS"] =
        DrawSystemFaults({world_.day.seed, gateway, m.launches, ToSeconds(world_.day.length),
                          std::max(0.0, ToSeconds(world_.Now()))});
  }
  if (m.listening >= 0) start.environment["LB_PASSED_SOCKET"] = "4";
  start.listening = m.listening;
  start.log = folder_ + "/" + name + ".log";
  start.descriptors = world_.day.descriptors;
  int ends[2] = {-1, -1};
  if (m.state->no_room()) {
    start.file_bytes = 0;
    if (pipe2(ends, O_CLOEXEC) != 0) throw CannotPlay("no descriptors are left for a log");
    auto pipe = std::make_shared<LogPipe>(world_.io);
    pipe->out.assign(ends[0]);
    pipe->path = start.log;
    start.log = "/proc/self/fd/" + std::to_string(ends[1]);
    Drain(pipe);
  }
  m.state->Starting();
  m.processes.push_back(std::make_unique<Process>(start));
  if (ends[1] >= 0) close(ends[1]);
  m.state->Started();
  history_.Add(
      {world_.Now(), HistoryEventKind::kProcessStarted, gateway, m.processes.back()->id(), "", 0, 0, kNever});
  m.expected_end = false;
  ++m.launches;
}

void Fleet::Drain(std::shared_ptr<LogPipe> pipe) {
  pipe->out.async_read_some(asio::buffer(pipe->part),
                            [this, pipe](boost::system::error_code error, size_t n) {
                              std::ofstream(pipe->path, std::ios::app | std::ios::binary)
                                  .write(pipe->part.data(), static_cast<std::streamsize>(n));
                              if (!error) Drain(pipe);
                            });
}

void Fleet::Start(std::function<void(std::vector<int>)> ready) {
  for (int g = 0; g < world_.day.gateways; ++g) {
    Launch(g, false);
    AskReady(g);
  }
  Watch();
  on_ready_ = std::move(ready);
  world_.schedule.After(kReadyEach, [this, until = world_.Now() + kReadyLimit] { LookReady(until); });
}

void Fleet::LookReady(Micros until) {
  std::vector<int> late;
  for (int g = 0; g < world_.day.gateways; ++g) {
    if (!members_[static_cast<size_t>(g)].ready) late.push_back(g);
  }
  // Who has ended will not be ready by waiting.
  bool waits = std::any_of(late.begin(), late.end(), [this](int g) {
    return !members_[static_cast<size_t>(g)].processes.back()->Ended();
  });
  if (waits && world_.Now() < until && !ending_) {
    return world_.schedule.After(kReadyEach, [this, until] { LookReady(until); });
  }
  world_.io.post([this, late] { on_ready_(late); });
}

// As the front does: ten times a second, on a connection that is kept.
void Fleet::AskReady(int gateway) {
  if (ending_) return;
  Member& m = members_[static_cast<size_t>(gateway)];
  world_.schedule.After(kReadyEach, [this, gateway] { AskReady(gateway); });
  if (m.asking) return;
  m.asking = true;
  auto connection = m.front ? m.front : std::make_shared<HttpConnection>(world_.io);
  m.front = connection;
  Micros asked = world_.Now();
  connection->Ask(world_.slice.Gateway(gateway), "GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n",
                  [this, gateway, connection](const HttpConnection::Answer& answer) {
                    Member& member = members_[static_cast<size_t>(gateway)];
                    if (member.front != connection) return;
                    member.asking = false;
                    if (!answer.keeps) member.front.reset();
                    if (ending_) return;
                    member.ready = answer.status == 200;
                    if (member.ready && member.went_on == kNever) member.went_on = world_.Now();
                    if (member.ready)
                      world_.client_router.OnGatewayReady(gateway);
                    else if (answer.status != 0)
                      world_.client_router.OnGatewayDraining(gateway, world_.Now());
                    else
                      world_.client_router.OnGatewayDown(gateway, world_.Now());
                  });
  world_.schedule.After(kSecond, [this, gateway, connection, asked] {
    Member& member = members_[static_cast<size_t>(gateway)];
    if (member.front != connection || !member.asking || world_.Now() - asked < kSecond) return;
    // No answer at all: the process is stopped, or cut off.
    member.front.reset();
    member.asking = member.ready = false;
    connection->Close();
    world_.client_router.OnGatewayDown(gateway, asked);
  });
}

void Fleet::Watch() {
  for (int g = 0; g < world_.day.gateways; ++g) {
    Member& m = members_[static_cast<size_t>(g)];
    for (; m.told_ended < m.processes.size(); ++m.told_ended) {
      Process& process = *m.processes[m.told_ended];
      auto ended = process.Ended();
      if (!ended) break;
      Ends(g, process);
      bool newest = m.told_ended + 1 == m.processes.size();
      if (newest) world_.told_to_end_at[static_cast<size_t>(g)] = kNever;
      if (newest && !m.expected_end && !ending_) {
        world_.judge.OnGatewayCrashed(world_.Now(), g, *ended);
        world_.judge.OnGatewayEnded(world_.Now(), g);
        m.whole_day = false;
      }
    }
  }
  if (!ending_) world_.schedule.After(kWatchEach, [this] { Watch(); });
}

void Fleet::Ends(int gateway, const Process& process) {
  history_.Add({world_.Now(), HistoryEventKind::kProcessEnded, gateway, process.id(), "", 0, 0, kNever});
}

void Fleet::SignalAll(Member& member, int signal) {
  for (auto& process : member.processes) {
    if (!process->Ended()) process->Signal(signal);
  }
}

void Fleet::Kill(int gateway) {
  Member& m = members_[static_cast<size_t>(gateway)];
  m.expected_end = true;
  m.whole_day = m.ready = false;
  if (m.processes.empty() || m.processes.back()->Ended()) return;
  Micros told_to_end_at = std::exchange(world_.told_to_end_at[static_cast<size_t>(gateway)], kNever);
  bool had_its_time = told_to_end_at != kNever &&
                      world_.Now() + kWatchEach >= told_to_end_at + world_.day.TerminationGrace() &&
                      !m.held_up;
  if (had_its_time)
    world_.judge.OnGatewayKilledAfterGrace(world_.Now(), gateway, told_to_end_at + kTakenAfterSigterm);
  world_.judge.OnGatewayEnded(world_.Now(), gateway);
  SignalAll(m, SIGKILL);  // both, in the middle of an upgrade
}

void Fleet::Terminate(int gateway) {
  Member& m = members_[static_cast<size_t>(gateway)];
  m.expected_end = true;
  m.whole_day = false;
  if (!m.processes.empty() && !m.processes.back()->Ended())
    world_.told_to_end_at[static_cast<size_t>(gateway)] = world_.Now();
  SignalAll(m, SIGTERM);
}

void Fleet::Revive(int gateway) {
  Member& m = members_[static_cast<size_t>(gateway)];
  if (!m.processes.empty() && !m.processes.back()->Ended()) {
    if (!m.expected_end) return;  // another event has brought it back already
    // Its end is on its way: a killed process is gone within a moment.
    return world_.schedule.After(kWatchEach, [this, gateway] { Revive(gateway); });
  }
  m.claims = -1;
  Launch(gateway, false);
  if (m.stops > 0) SignalAll(m, SIGSTOP);
}

void Fleet::Claim(int gateway, int number) {
  Member& m = members_[static_cast<size_t>(gateway)];
  if (!m.processes.empty() && !m.processes.back()->Ended())
    return world_.schedule.After(kWatchEach, [this, gateway, number] { Claim(gateway, number); });
  m.claims = number;
  Launch(gateway, false);
}

void Fleet::Stop(int gateway, bool stop) {
  Member& m = members_[static_cast<size_t>(gateway)];
  bool was = m.stops > 0;
  m.held_up = true;
  m.stops = std::max(0, m.stops + (stop ? 1 : -1));
  if (was == (m.stops > 0) || m.processes.empty()) return;
  SignalAll(m, stop ? SIGSTOP : SIGCONT);
  if (!stop && m.went_on != kNever) m.went_on = world_.Now();
  history_.Add({world_.Now(), stop ? HistoryEventKind::kProcessPaused : HistoryEventKind::kProcessResumed,
                gateway, m.processes.back()->id(), "", 0, 0, kNever});
}

void Fleet::Squeeze(int gateway, double share) {
  Member& m = members_[static_cast<size_t>(gateway)];
  uint64_t squeeze = ++m.squeezes;
  m.held_up = true;
  if (m.stops == 0) SignalAll(m, SIGCONT);
  if (share > 0 && share < 1) Slice(gateway, share, squeeze);
}

void Fleet::Slice(int gateway, double share, uint64_t squeeze) {
  Member& m = members_[static_cast<size_t>(gateway)];
  if (m.squeezes != squeeze || ending_) return;
  SignalAll(m, SIGSTOP);
  world_.schedule.After(FromSeconds((1 - share) * ToSeconds(kCpuSlice)), [this, gateway, squeeze] {
    Member& member = members_[static_cast<size_t>(gateway)];
    if (member.squeezes == squeeze && member.stops == 0) SignalAll(member, SIGCONT);
  });
  world_.schedule.After(kCpuSlice, [this, gateway, share, squeeze] { Slice(gateway, share, squeeze); });
}

void Fleet::Befall(int gateway, StateFolderFault what) {
  auto g = static_cast<size_t>(gateway);
  try {
    members_[g].state->Befall(what, *members_[(g + 1) % members_.size()].state, &spoils_);
  } catch (const std::filesystem::filesystem_error& error) {
    world_.log->warn("at_s={:.3f} state of {} could not be spoilt: {}", ToSeconds(world_.Now()),
                     GatewayName(gateway), error.what());
  }
}

// The platform's order: the new process, its yes, SIGTERM to the old one, SIGKILL after the longest deadline.
void Fleet::Upgrade(int gateway) {
  Member& m = members_[static_cast<size_t>(gateway)];
  // The platform upgrades what runs, one step at a time.
  size_t running = 0;
  for (auto& process : m.processes) running += process->Ended() ? 0 : 1;
  if (running != 1 || m.expected_end) return;
  m.whole_day = false;
  Process* old = m.processes.back().get();
  Launch(gateway, true);
  int ops = m.ops;
  Micros until = world_.Now() + kUpgradeLimit;
  world_.schedule.After(kReadyEach,
                        [this, gateway, ops, old, until] { AskUpgraded(gateway, ops, old, until); });
}

void Fleet::AskUpgraded(int gateway, int ops, Process* old, Micros until) {
  admin_client_.Call(
      gateway, ops, "GET", "/control/ready",
      [this, gateway, ops, old, until](const HttpConnection::Answer& answer, Micros) {
        if (members_[static_cast<size_t>(gateway)].expected_end) return;  // it was killed meanwhile
        if (answer.status == 200) {
          old->Signal(SIGTERM);
          return world_.schedule.After(world_.day.TerminationGrace(), [old] {
            if (!old->Ended()) old->Signal(SIGKILL);
          });
        }
        // Without a list it takes no clients, and a stopped one does nothing: its time begins after
        // that.
        bool held = !discovery_agents_.Answers(gateway) || members_[static_cast<size_t>(gateway)].stops > 0;
        Micros limit = held ? world_.Now() + kUpgradeLimit : until;
        if (world_.Now() < limit) {
          return world_.schedule.After(
              kReadyEach, [this, gateway, ops, old, limit] { AskUpgraded(gateway, ops, old, limit); });
        }
        world_.judge.AddViolation("upgrade", world_.Now(), UINT32_MAX,
                                  GatewayName(gateway) + ": the new process was not ready within 6 s");
      });
}

void Fleet::Retune(double scale) {
  scale_ *= scale;
  ++hups_;
  world_.judge.OnQuotasScaled(scale);
  for (int g = 0; g < world_.day.gateways; ++g) {
    Write(g);
    SignalAll(members_[static_cast<size_t>(g)], SIGHUP);
  }
}

bool Fleet::Answers(int gateway, Micros sent) const {
  const Member& m = members_[static_cast<size_t>(gateway)];
  bool serves = !m.expected_end || world_.told_to_end_at[static_cast<size_t>(gateway)] != kNever;
  return m.stops == 0 && serves && m.went_on <= sent;
}

bool Fleet::WholeDay(int gateway) const {
  const Member& m = members_[static_cast<size_t>(gateway)];
  return m.whole_day && m.stops == 0;
}

size_t Fleet::Descriptors(int gateway) {
  return members_[static_cast<size_t>(gateway)].processes.back()->Use().descriptors;
}

void Fleet::End(std::function<void()> done) {
  ending_ = true;
  for (Member& m : members_) {
    for (auto& process : m.processes) {
      process->Use();
      process->Signal(SIGCONT);
      process->Signal(SIGTERM);
    }
  }
  on_ended_ = std::move(done);
  LookEnded(world_.Now() + kEndLimit);
}

void Fleet::LookEnded(Micros until) {
  bool all = true;
  for (Member& m : members_) {
    for (auto& process : m.processes) all &= process->Ended().has_value();
  }
  if (!all && world_.Now() < until)
    return world_.schedule.After(kWatchEach, [this, until] { LookEnded(until); });
  for (Member& m : members_) {
    for (auto& process : m.processes) process->Signal(SIGKILL);
  }
  world_.io.post([this] { on_ended_(); });
}

void Fleet::ReadSayings() {
  for (int g = 0; g < world_.day.gateways; ++g) {
    std::string path = folder_ + "/" + GatewayName(g) + ".log";
    std::error_code failed;
    auto bytes = std::filesystem::file_size(path, failed);
    if (!failed && bytes > kMostLog) {
      world_.judge.AddViolation("log", world_.Now(), UINT32_MAX,
                                GatewayName(g) + " wrote " + std::to_string(bytes) + " bytes of log");
      continue;
    }
    std::ifstream in(path, std::ios::binary);
    std::string fault;
    int unread = 0;
    for (std::string line; std::getline(in, line);) {
      // A process that the lab has stopped for longer than the rules allow for can't keep times.
      bool of_times =
          line.find("_in_time: ") != std::string::npos || line.find("time_told: ") != std::string::npos;
      if (line.rfind(kViolated, 0) == 0 && !(of_times && members_[static_cast<size_t>(g)].held_up))
        world_.judge.AddViolation("invariant", world_.Now(), UINT32_MAX, GatewayName(g) + ": " + line);
      if (auto fact = ParseLogEvent(line, g, world_.schedule.ClockAtStart(), &fault))
        history_.Add(std::move(*fact));
      else if (!fault.empty() && ++unread == 1)
        world_.log->warn("{} said what can't be read: {}: {}", GatewayName(g), fault, line.substr(0, 200));
    }
  }
}

nlohmann::json Fleet::Report() {
  nlohmann::json report;
  for (int g = 0; g < world_.day.gateways; ++g) {
    Member& m = members_[static_cast<size_t>(g)];
    nlohmann::json& one = report["processes"][GatewayName(g)];
    double cpu_s = 0;
    long peak = 0;
    for (auto& process : m.processes) {
      ProcessUse use = process->Use();
      cpu_s += use.cpu_s, peak = std::max(peak, use.peak_kb);
    }
    std::error_code none;
    auto log = std::filesystem::file_size(folder_ + "/" + GatewayName(g) + ".log", none);
    one = {{"starts", m.launches},
           {"cpu_s", cpu_s},
           {"peak_mb", static_cast<double>(peak) / 1024},
           {"log_bytes", none ? 0 : log}};
  }
  return report;
}

}  // namespace lemonchute::lab
