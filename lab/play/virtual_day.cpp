// The host of the modules: does for each what its gateway's sockets would, with the ways and waits of the
// model.
#include "play/virtual_day.h"

#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>

#include "balance.h"
#include "model/backend.h"
#include "model/choice.h"
#include "model/counter.h"
#include "model/front.h"
#include "model/judge.h"
#include "model/network.h"
#include "model/settings.h"
#include "net/config.h"

namespace lemonchute::lab {
namespace {

using micadock::Action;
using micadock::ActionKind;
using micadock::Result;

constexpr double kEpochS = 1000;  // the modules' clock at the day's start; it begins at an arbitrary value
// With more backends than this, regret is taken of one attempt in sixteen: it looks at all of them.
constexpr size_t kRegretEach = 500;
constexpr uint32_t kRegretOneIn = 16;
// A backend that fails a request quickly does so at once; a millisecond keeps it apart from what never ran.
constexpr Micros kQuickFail = 1000;

class VirtualDay {
 public:
  VirtualDay(const Day& day, std::atomic<int>* progress);
  nlohmann::json Play();

 private:
  enum class Kind : uint8_t {
    kArrival,
    kAgain,
    kReach,
    kPatience,
    kLeaves,
    kOverdue,
    kTimer,
    kCallThere,
    kTotal,
    kAttemptThere,
    kAttemptDue,
    kCancelThere,
    kWake,
    kOutcome,
    kAtClient,
    kTold,
    kList,
    kIncident
  };
  // The meaning of a, b and c is the kind's.
  struct Event {
    Micros at;
    uint64_t order;
    Kind kind;
    uint32_t a, b;
    uint64_t c;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Held {
    std::vector<uint32_t> attempts;
    int waiting = 0;     // attempts whose outcome has not been told
    bool ended = false;  // it has its final answer, or its client has gone
  };
  struct Attempt {
    uint32_t id = 0, backend = 0, life = 0;
    int number = 0;
    Micros sent = 0;
    bool told = false;   // its outcome is told or on its way for good
    bool out = false;    // whole at the backend, its answer not written
    bool fresh = false;  // on a connection of its own
    bool arrived = false;
    bool unheard = false;  // what was sent went nowhere, on a connection that stays open
    Result result = Result::kOk;
  };
  struct Call {
    uint32_t gateway = 0, life = 0;
    uint64_t name = 0;
    double amount = 0, keep_ms = 0, total = 0;
    Result result = Result::kOk;
    bool told = false;
    int pending = 0;  // events that still name it
  };
  struct Gateway {
    std::unique_ptr<micadock::Balancer> module;
    uint32_t life = 0;
    bool stopped = false;
    std::vector<Event> deferred;  // what came while its process was stopped
    std::unordered_map<uint32_t, Held> held;
    std::unordered_map<uint32_t, std::vector<Micros>> idle;  // connections by backend, since when
    std::vector<char> listed;                                // by backend: 1 where the list says active
    int version = 0;
  };

  void Put(Micros at, Kind kind, uint32_t a, uint32_t b = 0, uint64_t c = 0) {
    events_.push({std::max(at, now_), ++order_, kind, a, b, c});
  }
  double Clock() const { return kEpochS + ToS(now_); }
  Micros Way(uint32_t gateway, uint32_t backend) {
    return network_.Way(day_.gateway_zone[gateway], day_.backends[backend].zone);
  }
  bool Passes(uint32_t gateway, uint32_t backend) const {
    return silent_.count(backend) == 0 &&
           network_.Passes(day_.gateway_zone[gateway], day_.backends[backend].zone);
  }

  void Handle(const Event& event);
  bool ForGateway(const Event& event, uint32_t* gateway) const;
  template <typename What>
  void Tell(uint32_t gateway, What event);
  void Act(uint32_t gateway, Action& action);

  void Start(uint32_t gateway);
  void End(uint32_t gateway);
  void GiveList(uint32_t gateway, micadock::ListKind kind, const std::vector<Discovery::Entry>& entries);

  void Send(uint32_t arrival, int number);
  void Again(uint32_t id, double retry_after_s);
  void Reach(uint32_t id);
  void Finish(uint32_t gateway, uint32_t id, Final final, double retry_after_s);
  void Abandon(uint32_t gateway, uint32_t id);

  void SendAttempt(uint32_t gateway, const Action& action);
  void AttemptThere(uint32_t index);
  void AttemptOver(uint32_t index, Micros at, Result result);
  void GiveUp(uint32_t index, Result result);
  void CloseAttempt(uint32_t index);
  void Disconnect(uint32_t backend) { connections_[backend] = std::max(0, connections_[backend] - 1); }
  void BackAtGateway(uint32_t index);
  void Wake(uint32_t backend);
  void Arm(uint32_t backend);
  void StopBackend(uint32_t backend);

  void CallThere(uint32_t index);
  void Total(uint32_t index, bool in_time);
  void Release(uint32_t index);
  void Happen(const Incident& incident);
  void TellList(const Discovery::Entry& entry);

  const Day& day_;
  std::atomic<int>* progress_;
  Micros now_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Network network_;
  Discovery discovery_;
  Counter counter_;
  Front front_;
  Judge judge_;
  Random chance_, seeds_;
  std::vector<Backend> backends_;
  std::vector<Micros> armed_;
  std::vector<int> connections_;
  std::vector<double> fails_;
  std::unordered_set<uint32_t> silent_;
  double resets_ = 0, scale_ = 1;
  std::vector<Gateway> gateways_;
  std::vector<Attempt> attempts_;
  std::vector<Call> calls_;
  std::vector<uint32_t> free_calls_;
  std::vector<double> retry_after_;  // by try, of its refusal
  std::vector<char> final_;          // by try, the answer on its way
  std::vector<char> room_;           // by try, whether there was room as it was refused
  std::vector<Backend::End> ends_;
  Micros longest_ = 0;  // deadline of any class
  micadock::Actions actions_;
  nlohmann::json not_played_ = nlohmann::json::array();
};

VirtualDay::VirtualDay(const Day& day, std::atomic<int>* progress)
    : day_(day),
      progress_(progress),
      network_(day),
      discovery_(day),
      counter_(day),
      front_(day),
      judge_(day, discovery_),
      chance_(day.seed, Stream::kBackends),
      seeds_(day.seed, Stream::kSeeds),
      armed_(day.backends.size(), kNever),
      connections_(day.backends.size(), 0),
      fails_(day.backends.size(), 0),
      gateways_(static_cast<size_t>(day.gateways)) {
  for (const DayBackend& b : day.backends) {
    backends_.emplace_back(day, b);
    if (b.starts_at == 0) backends_.back().Start(0, false);
  }
  for (const DayClass& c : day.classes) longest_ = std::max(longest_, FromS(c.deadline_s));
  for (uint32_t g = 0; g < gateways_.size(); ++g) Start(g);
  for (size_t i = 0; i < day.incidents.size(); ++i)
    Put(day.incidents[i].at, Kind::kIncident, static_cast<uint32_t>(i));
  if (!day.arrivals.empty()) Put(day.arrivals[0].at, Kind::kArrival, 0);
}

nlohmann::json VirtualDay::Play() {
  while (!events_.empty() && events_.top().at <= day_.end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
    if (progress_ != nullptr && (event.order & 0xfff) == 0)
      progress_->store(static_cast<int>(1000 * now_ / day_.end));
  }
  nlohmann::json report = judge_.Report(day_.end);
  report["play"] = "virtual";
  report["events"] = order_;
  if (!not_played_.empty()) report["not_played"] = not_played_;
  return report;
}

// Events that only a running gateway sees; a stopped one sees them when it goes on.
bool VirtualDay::ForGateway(const Event& event, uint32_t* gateway) const {
  switch (event.kind) {
    case Kind::kReach: *gateway = static_cast<uint32_t>(judge_.At(event.a).gateway); return true;
    case Kind::kTimer:
    case Kind::kTold:
    case Kind::kList: *gateway = event.a; return true;
    case Kind::kTotal: *gateway = calls_[event.a].gateway; return true;
    case Kind::kOutcome:
    case Kind::kAttemptDue:
      *gateway = static_cast<uint32_t>(judge_.At(attempts_[event.a].id).gateway);
      return true;
    default: return false;
  }
}

void VirtualDay::Handle(const Event& event) {
  if (uint32_t gateway = 0; ForGateway(event, &gateway) && gateways_[gateway].stopped) {
    gateways_[gateway].deferred.push_back(event);
    return;
  }
  switch (event.kind) {
    case Kind::kArrival:
      if (event.a + 1 < day_.arrivals.size()) Put(day_.arrivals[event.a + 1].at, Kind::kArrival, event.a + 1);
      return Send(event.a, 0);
    case Kind::kAgain: return Send(event.a, static_cast<int>(event.b));
    case Kind::kReach: return Reach(event.a);
    case Kind::kPatience:
      if (judge_.At(event.a).told) return;
      judge_.Left(now_, event.a);
      return Again(event.a, 0);
    case Kind::kLeaves:
      if (judge_.At(event.a).told) return;
      judge_.Left(now_, event.a);
      return Abandon(static_cast<uint32_t>(judge_.At(event.a).gateway), event.a);
    case Kind::kOverdue: {
      auto gateway = static_cast<uint32_t>(judge_.At(event.a).gateway);
      auto held = gateways_[gateway].held.find(event.a);
      if (held == gateways_[gateway].held.end() || held->second.ended) return;
      judge_.Lost(now_, event.a, "no final answer by the end of its time and the grace");
      return Abandon(gateway, event.a);
    }
    case Kind::kTimer:
      if (event.b != gateways_[event.a].life) return;
      return Tell(event.a, [&](micadock::Balancer& b, double now, micadock::Actions* out) {
        b.OnTimer(now, event.c, out);
      });
    case Kind::kCallThere: return CallThere(event.a);
    case Kind::kTotal: return Total(event.a, event.b != 0);
    case Kind::kAttemptThere: return AttemptThere(event.a);
    case Kind::kAttemptDue:
      if (attempts_[event.a].life ==
          gateways_[static_cast<size_t>(judge_.At(attempts_[event.a].id).gateway)].life)
        GiveUp(event.a, Result::kTimeout);
      return;
    case Kind::kCancelThere: {
      Attempt& attempt = attempts_[event.a];
      Wake(attempt.backend);
      Disconnect(attempt.backend);
      if (!attempt.out) return Arm(attempt.backend);
      attempt.out = false;
      judge_.Back(now_, attempt.id, false, backends_[attempt.backend].Cancel(now_, event.a));
      return Arm(attempt.backend);
    }
    case Kind::kWake:
      if (armed_[event.a] != event.at) return;
      armed_[event.a] = kNever;
      Wake(event.a);
      return Arm(event.a);
    case Kind::kOutcome: return BackAtGateway(event.a);
    case Kind::kAtClient: {
      if (judge_.At(event.a).told) return;
      auto final = static_cast<Final>(final_[event.a]);
      judge_.Answered(now_, event.a, final, room_[event.a] != 0);
      if (final != Final::kServed) Again(event.a, final == Final::kRefused ? retry_after_[event.a] : 0);
      return;
    }
    case Kind::kTold: {
      Gateway& g = gateways_[event.a];
      int version = static_cast<int>(event.b);
      if (g.module == nullptr || version <= g.version ||
          discovery_.ToldAt(static_cast<int>(event.a), version) > now_)
        return;
      std::vector<Discovery::Entry> entries;
      for (int v = g.version; v < version; ++v)
        entries.push_back(discovery_.changes()[static_cast<size_t>(v)].entry);
      g.version = version;
      return GiveList(event.a, micadock::ListKind::kDelta, entries);
    }
    case Kind::kList: {
      Gateway& g = gateways_[event.a];
      if (g.module == nullptr || event.b != g.life) return;
      g.version = discovery_.VersionAt(static_cast<int>(event.a), now_);
      GiveList(event.a, micadock::ListKind::kFull, discovery_.ListAt(g.version));
      return front_.Ready(static_cast<int>(event.a));
    }
    case Kind::kIncident: return Happen(day_.incidents[event.a]);
  }
}

template <typename What>
void VirtualDay::Tell(uint32_t gateway, What event) {
  Gateway& g = gateways_[gateway];
  if (g.module == nullptr) return;
  actions_.clear();
  event(*g.module, Clock(), &actions_);
  for (Action& action : actions_) Act(gateway, action);  // no action has the module called again at once
}

void VirtualDay::Act(uint32_t gateway, Action& action) {
  Gateway& g = gateways_[gateway];
  switch (action.kind) {
    case ActionKind::kSend: return SendAttempt(gateway, action);
    case ActionKind::kCancel: {
      auto held = g.held.find(action.request);
      if (held == g.held.end() || static_cast<size_t>(action.attempt) >= held->second.attempts.size()) return;
      return GiveUp(held->second.attempts[static_cast<size_t>(action.attempt)], Result::kCancelled);
    }
    case ActionKind::kRefuse: return Finish(gateway, action.request, Final::kRefused, action.seconds);
    case ActionKind::kFail: return Finish(gateway, action.request, Final::kFailed, 0);
    case ActionKind::kTimer:
      return Put(now_ + FromS(std::max(0.0, action.seconds)), Kind::kTimer, gateway, g.life, action.tag);
    case ActionKind::kCount: {
      uint32_t index = 0;
      if (free_calls_.empty()) {
        index = static_cast<uint32_t>(calls_.size());
        calls_.emplace_back();
      } else {
        index = free_calls_.back();
        free_calls_.pop_back();
      }
      calls_[index] = {gateway,
                       g.life,
                       action.tag,
                       action.amount,
                       std::clamp(action.seconds * 1000, 1.0, 60'000.0),
                       0,
                       Result::kTimeout,
                       false,
                       2};
      Put(now_ + network_.Way(day_.gateway_zone[gateway], 0), Kind::kCallThere, index);
      return Put(now_ + FromS(day_.count_timeout_s), Kind::kTotal, index, 0);
    }
    case ActionKind::kLog:
    case ActionKind::kSubscribe: return;
  }
}

// ---- Gateways.

void VirtualDay::Start(uint32_t gateway) {
  Gateway& g = gateways_[gateway];
  ++g.life;
  g.held.clear(), g.idle.clear(), g.deferred.clear();
  g.stopped = false;
  int version = g.version;
  ivygw::Config config = ivygw::ParseConfig(ConfigurationOf(day_, static_cast<int>(gateway),
                                                            {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", {}},
                                                            nlohmann::json(), 1, scale_));
  micadock::Actions actions;
  g.module = std::make_unique<micadock::Balancer>(config.settings, seeds_.Bits(), Clock(), &actions);
  for (Action& action : actions) Act(gateway, action);
  GiveList(gateway, micadock::ListKind::kCached, discovery_.ListAt(version));
  if (now_ == 0) return;
  judge_.GatewayStarted(now_, static_cast<int>(gateway));
  Put(now_ + FromS(day_.agent_s), Kind::kList, gateway, g.life);
}

void VirtualDay::End(uint32_t gateway) {
  Gateway& g = gateways_[gateway];
  if (g.module == nullptr) return;
  judge_.GatewayEnded(now_, static_cast<int>(gateway));
  front_.Gone(static_cast<int>(gateway), now_);
  // Its connections are reset: to clients at once, and backends see theirs end.
  std::vector<uint32_t> open;
  for (auto& [id, held] : g.held) {
    for (uint32_t index : held.attempts) {
      if (attempts_[index].told) continue;
      attempts_[index].told = true;
      CloseAttempt(index);
    }
    if (!held.ended) open.push_back(id);
  }
  std::sort(open.begin(), open.end());
  for (uint32_t id : open) {
    final_[id] = static_cast<char>(Final::kFailed);
    Put(now_ + network_.ClientWay(), Kind::kAtClient, id);
  }
  for (auto& [backend, idle] : g.idle)
    connections_[backend] = std::max(0, connections_[backend] - static_cast<int>(idle.size()));
  g.held.clear(), g.idle.clear(), g.deferred.clear();
  g.stopped = false;
  g.module.reset();
  ++g.life;
}

void VirtualDay::GiveList(uint32_t gateway, micadock::ListKind kind,
                          const std::vector<Discovery::Entry>& entries) {
  Gateway& g = gateways_[gateway];
  if (kind != micadock::ListKind::kDelta) g.listed.assign(day_.backends.size(), 0);
  std::vector<micadock::Backend> list;
  list.reserve(entries.size());
  for (const Discovery::Entry& entry : entries) {
    auto b = static_cast<uint32_t>(entry.backend);
    g.listed[b] = entry.state == Listed::kActive ? 1 : 0;
    micadock::Backend backend;
    backend.id = b + 1;
    backend.state = entry.state == Listed::kActive    ? micadock::BackendState::kReady
                    : entry.state == Listed::kLeaving ? micadock::BackendState::kDraining
                                                      : micadock::BackendState::kGone;
    backend.zone = day_.backends[b].zone;
    backend.cell = entry.backend / 4;
    backend.weight = 1;
    backend.started_s = entry.since == 0 ? 0 : kEpochS + ToS(entry.since);
    list.push_back(backend);
  }
  Tell(gateway,
       [&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnList(now, kind, list, out); });
}

// ---- Clients.

void VirtualDay::Send(uint32_t arrival, int number) {
  int gateway = front_.Pick(arrival, number, now_);
  const Customer& customer = day_.customers[day_.arrivals[arrival].customer];
  Micros patience = front_.Patience(arrival, now_);
  uint32_t id = judge_.Sent(now_, arrival, number, gateway < 0 ? customer.first : gateway, patience);
  retry_after_.push_back(0), final_.push_back(0), room_.push_back(0);
  Put(now_ + patience, Kind::kPatience, id);
  if (gateway < 0) {
    judge_.Unheard(now_, id);
    return Again(id, 0);
  }
  Put(now_ + network_.ClientWay(), Kind::kReach, id);
  if (auto leaves = front_.LeavesAfter(arrival, number, patience)) Put(now_ + *leaves, Kind::kLeaves, id);
}

void VirtualDay::Again(uint32_t id, double retry_after_s) {
  const Try& t = judge_.At(id);
  if (auto at = front_.Again(t.arrival, t.number, now_, retry_after_s))
    Put(*at, Kind::kAgain, t.arrival, static_cast<uint32_t>(t.number + 1));
}

void VirtualDay::Reach(uint32_t id) {
  const Try& t = judge_.At(id);
  auto gateway = static_cast<uint32_t>(t.gateway);
  if (t.told) return;
  if (gateways_[gateway].module == nullptr) {
    judge_.Unheard(now_, id);
    return Again(id, 0);
  }
  judge_.Taken(now_, id);
  gateways_[gateway].held[id];
  Put(t.sent + t.patience + FromS(day_.answer_grace_s), Kind::kOverdue, id);
  const Arrival& a = day_.arrivals[t.arrival];
  const Customer& c = day_.customers[a.customer];
  micadock::Request request;
  request.id = id, request.cls = a.cls, request.plan = c.plan, request.customer = c.key;
  request.left_s = std::max(0.001, ToS(t.sent + t.patience - now_));
  request.units = a.guess, request.entries = c.spread;
  Tell(gateway,
       [&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnRequest(now, request, out); });
}

// The module's own final answer: a refusal or a failure.
void VirtualDay::Finish(uint32_t gateway, uint32_t id, Final final, double retry_after_s) {
  Gateway& g = gateways_[gateway];
  auto held = g.held.find(id);
  if (held == g.held.end() || held->second.ended) return;
  held->second.ended = true;
  final_[id] = static_cast<char>(final);
  retry_after_[id] = retry_after_s;
  room_[id] = final == Final::kRefused && judge_.At(id).attempts == 0 &&
                      RoomAmong(backends_, [&](size_t b) { return g.listed[b] != 0; })
                  ? 1
                  : 0;
  Put(now_ + network_.ClientWay(), Kind::kAtClient, id);
  if (held->second.waiting == 0) g.held.erase(held);
}

// The client has gone, or the answer is long overdue: nothing is owed any more.
void VirtualDay::Abandon(uint32_t gateway, uint32_t id) {
  Gateway& g = gateways_[gateway];
  auto held = g.held.find(id);
  if (held == g.held.end() || held->second.ended) return;
  held->second.ended = true;
  Tell(gateway,
       [&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnAbandoned(now, id, out); });
  held = g.held.find(id);
  if (held != g.held.end() && held->second.waiting == 0) g.held.erase(held);
}

// ---- Attempts.

void VirtualDay::SendAttempt(uint32_t gateway, const Action& action) {
  Gateway& g = gateways_[gateway];
  auto held = g.held.find(action.request);
  if (held == g.held.end()) return;
  const Try& t = judge_.At(action.request);
  uint32_t backend = action.backend - 1;
  auto index = static_cast<uint32_t>(attempts_.size());
  Attempt attempt;
  attempt.id = action.request, attempt.backend = backend, attempt.life = g.life, attempt.sent = now_;
  attempt.number = static_cast<int>(held->second.attempts.size());
  held->second.attempts.push_back(index);
  ++held->second.waiting;
  Micros due = t.sent + t.patience;
  if (action.seconds > 0) due = std::min(due, now_ + FromS(action.seconds));
  if (held->second.ended || due <= now_ || action.seconds < 0 || attempt.number >= day_.try_limit) {
    attempts_.push_back(attempt);
    return AttemptOver(index, now_, Result::kNeverSent);
  }
  judge_.Sending(now_, action.request, static_cast<int>(backend));
  // A connection that is idle, the one used last; one that the backend may have closed is left alone.
  std::vector<Micros>& idle = g.idle[backend];
  size_t old = 0;
  while (old < idle.size() && idle[old] + FromS(0.9 * day_.idle_s) <= now_) ++old;
  connections_[backend] = std::max(0, connections_[backend] - static_cast<int>(old));
  idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(old));
  Micros way = Way(gateway, backend);
  if (!idle.empty()) {
    idle.pop_back();
  } else {
    attempt.fresh = true;
    judge_.Handshake(now_);
    if (!Passes(gateway, backend)) {  // no sign of it
      attempts_.push_back(attempt);
      return AttemptOver(index, std::min(due, now_ + FromS(day_.connect_timeout_s)), Result::kConnectFailed);
    }
    if (!backends_[backend].up() || connections_[backend] >= day_.backends[backend].connections) {
      attempts_.push_back(attempt);
      return AttemptOver(index, std::min(due, now_ + 2 * way), Result::kConnectFailed);
    }
    ++connections_[backend];
    way += static_cast<Micros>(2 * day_.handshake_trips * static_cast<double>(way));
  }
  attempts_.push_back(attempt);
  Put(now_ + way, Kind::kAttemptThere, index);
  Put(due, Kind::kAttemptDue, index);
}

void VirtualDay::AttemptThere(uint32_t index) {
  Attempt& attempt = attempts_[index];
  uint32_t backend = attempt.backend;
  auto gateway = static_cast<uint32_t>(judge_.At(attempt.id).gateway);
  if (attempt.told) return Disconnect(backend);  // given up on the way
  if (!Passes(gateway, backend)) {
    attempt.unheard = true;
    return;
  }
  Backend& b = backends_[backend];
  Wake(backend);
  if (!b.up())
    return AttemptOver(index, now_ + Way(gateway, backend),
                       attempt.fresh ? Result::kConnectFailed : Result::kReset);
  const Arrival& a = day_.arrivals[judge_.At(attempt.id).arrival];
  Regret regret{-1, -1};
  if (day_.backends.size() <= kRegretEach || index % kRegretOneIn == 0) {
    regret = RegretOf(backends_, backend, a.work_s, now_,
                      [&](size_t other) { return gateways_[gateway].listed[other] != 0; });
  }
  if (attempt.fresh) b.Handshake(now_);
  attempt.arrived = attempt.out = true;
  judge_.Arrived(now_, attempt.id, static_cast<int>(backend), regret);
  Micros since = 0;
  double told_share = 0;
  bool told = judge_.ToldState(static_cast<int>(gateway), static_cast<int>(backend), attempt.sent, &since) ==
              Listed::kActive;
  if (b.Push(now_, a.work_s, told, &told_share)) {
    judge_.Tipped(now_, static_cast<int>(backend), told_share);
    return StopBackend(backend);
  }
  auto turned = [&](Result result, Micros after) {
    attempts_[index].out = false;
    judge_.Back(now_, attempts_[index].id, false, 0);
    AttemptOver(index, now_ + after + Way(gateway, backend), result);
  };
  if (chance_.Chance(fails_[backend]))
    turned(Result::kError, kQuickFail);
  else if (b.Offer(now_, {index, a.work_s, judge_.At(attempt.id).sent + judge_.At(attempt.id).patience}) ==
           Backend::Taken::kFull)
    turned(Result::kFull, 0);
  Arm(backend);
}

// Its outcome reaches the gateway at `at`.
void VirtualDay::AttemptOver(uint32_t index, Micros at, Result result) {
  attempts_[index].result = result;
  Put(at, Kind::kOutcome, index);
}

// The gateway stops waiting: its connection is closed, which the backend sees a way later.
void VirtualDay::GiveUp(uint32_t index, Result result) {
  Attempt& attempt = attempts_[index];
  if (attempt.told) return;
  bool written = attempt.arrived || !attempt.fresh;
  attempt.result = written                        ? result
                   : result == Result::kCancelled ? Result::kNeverSent
                                                  : Result::kConnectFailed;
  CloseAttempt(index);
  Put(now_, Kind::kOutcome, index);
}

// Of an attempt whose connection is of no more use; one that is still on its way finds that out by itself.
void VirtualDay::CloseAttempt(uint32_t index) {
  const Attempt& attempt = attempts_[index];
  if (attempt.arrived && attempt.out)
    Put(now_ + Way(static_cast<uint32_t>(judge_.At(attempt.id).gateway), attempt.backend), Kind::kCancelThere,
        index);
  else if (attempt.arrived || attempt.unheard)
    Disconnect(attempt.backend);
}

void VirtualDay::BackAtGateway(uint32_t index) {
  Attempt& attempt = attempts_[index];
  auto gateway = static_cast<uint32_t>(judge_.At(attempt.id).gateway);
  Gateway& g = gateways_[gateway];
  if (attempt.told || attempt.life != g.life) return;
  attempt.told = true;
  auto held = g.held.find(attempt.id);
  if (held == g.held.end()) return;
  Result result = attempt.result;
  if (result == Result::kOk || result == Result::kError || result == Result::kFull)
    g.idle[attempt.backend].push_back(now_);
  else if (result == Result::kReset)
    Disconnect(attempt.backend);
  --held->second.waiting;
  const Arrival& a = day_.arrivals[judge_.At(attempt.id).arrival];
  micadock::Outcome outcome;
  outcome.request = attempt.id, outcome.attempt = attempt.number, outcome.took_s = ToS(now_ - attempt.sent);
  outcome.result = result, outcome.backend = attempt.backend + 1;
  if (result == Result::kOk && !held->second.ended) {
    outcome.true_units = a.units;
    held->second.ended = true;
    final_[attempt.id] = static_cast<char>(Final::kServed);
    Put(now_ + network_.ClientWay(), Kind::kAtClient, attempt.id);
  }
  outcome.finished = held->second.ended;
  uint32_t id = attempt.id;
  Tell(gateway,
       [&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnOutcome(now, outcome, out); });
  held = g.held.find(id);
  if (held != g.held.end() && held->second.ended && held->second.waiting == 0) g.held.erase(held);
}

// ---- Backends.

void VirtualDay::Wake(uint32_t backend) {
  ends_.clear();
  backends_[backend].Advance(now_, &ends_);
  for (const Backend::End& end : ends_) {
    auto index = static_cast<uint32_t>(end.id);
    Attempt& attempt = attempts_[index];
    if (!attempt.out) {  // given up before; this work went on all the same
      judge_.Wasted(end.work_s);
      continue;
    }
    attempt.out = false;
    auto gateway = static_cast<uint32_t>(judge_.At(attempt.id).gateway);
    bool error = chance_.Chance(day_.error_share), reset = !error && chance_.Chance(resets_);
    bool good = !end.overdue && !error && !reset;
    auto held = gateways_[gateway].held.find(attempt.id);
    bool wanted = good && !attempt.told && held != gateways_[gateway].held.end() && !held->second.ended &&
                  Passes(gateway, backend);
    judge_.Back(now_, attempt.id, wanted, end.work_s);
    if (!Passes(gateway, backend)) continue;  // the answer is never heard
    AttemptOver(index, now_ + Way(gateway, backend),
                end.overdue ? Result::kFull
                : error     ? Result::kError
                : reset     ? Result::kReset
                            : Result::kOk);
  }
}

void VirtualDay::Arm(uint32_t backend) {
  Micros next = backends_[backend].NextAt();
  if (next == kNever || next >= armed_[backend]) return;
  armed_[backend] = next;
  Put(next, Kind::kWake, backend);
}

// Its process has ended: what it holds is reset.
void VirtualDay::StopBackend(uint32_t backend) {
  backends_[backend].Stop();
  connections_[backend] = 0;
  for (Gateway& g : gateways_) g.idle.erase(backend);
  for (uint32_t index = static_cast<uint32_t>(attempts_.size()); index-- > 0;) {
    Attempt& attempt = attempts_[index];
    if (now_ - attempt.sent > longest_ + kSecond) break;  // none outlives its client's patience
    if (attempt.backend != backend || !attempt.out) continue;
    attempt.out = false;
    auto gateway = static_cast<uint32_t>(judge_.At(attempt.id).gateway);
    judge_.Back(now_, attempt.id, false, 0);
    if (!attempt.told && Passes(gateway, backend))
      AttemptOver(index, now_ + Way(gateway, backend), Result::kReset);
  }
}

// ---- The counter, and what happens to the site.

void VirtualDay::CallThere(uint32_t index) {
  Call& call = calls_[index];
  judge_.CounterCalled(now_, static_cast<int>(call.gateway), call.amount);
  int zone = day_.gateway_zone[call.gateway];
  if (!network_.Passes(zone, 0)) return Release(index);
  char name[8];
  std::memcpy(name, &call.name, sizeof(name));
  Counter::Answer answer = counter_.Call(now_, {name, sizeof(name)}, call.amount, call.keep_ms);
  if (answer.said == Counter::Said::kNothing) return Release(index);
  call.result = answer.said == Counter::Said::kTotal ? Result::kOk : Result::kFull;
  call.total = answer.total;
  Put(answer.at + network_.Way(0, zone), Kind::kTotal, index, 1);
}

// A call's answer and its time-out are both on their way: the first one counts.
void VirtualDay::Total(uint32_t index, bool in_time) {
  Call& call = calls_[index];
  if (!call.told && call.life == gateways_[call.gateway].life) {
    micadock::CountAnswer answer{call.name, call.total, in_time ? call.result : Result::kTimeout};
    if (answer.result != Result::kOk) answer.total = 0;
    call.told = true;
    Tell(call.gateway,
         [&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnCount(now, answer, out); });
  }
  Release(index);
}

void VirtualDay::Release(uint32_t index) {
  if (--calls_[index].pending == 0) free_calls_.push_back(index);
}

void VirtualDay::TellList(const Discovery::Entry& entry) {
  std::vector<Micros> told;
  int version = discovery_.Tell(now_, entry, &told);
  for (uint32_t g = 0; g < told.size(); ++g) {
    if (told[g] != kNever) Put(told[g], Kind::kTold, g, static_cast<uint32_t>(version));
  }
}

void VirtualDay::Happen(const Incident& incident) {
  if (OnlyReal(incident.what)) {
    const char* name = incident.what == Happening::kUpgrade ? "upgrade" : "scrape";
    if (std::find(not_played_.begin(), not_played_.end(), name) == not_played_.end())
      not_played_.push_back(name);
    return;
  }
  for (int target : incident.targets) {
    auto t = static_cast<uint32_t>(target);
    switch (incident.what) {
      case Happening::kKill: End(t); break;
      case Happening::kTerminate:
      case Happening::kOutOfService: front_.Draining(target, now_); break;
      case Happening::kInService: front_.Ready(target); break;
      case Happening::kRevive:
        if (gateways_[t].module == nullptr) Start(t);
        break;
      case Happening::kStop: gateways_[t].stopped = true; break;
      case Happening::kContinue: {
        std::vector<Event> deferred;
        std::swap(deferred, gateways_[t].deferred);
        gateways_[t].stopped = false;
        for (const Event& event : deferred) Put(now_, event.kind, event.a, event.b, event.c);
        break;
      }
      case Happening::kDrainBackend: TellList({target, Listed::kLeaving, 0}); break;
      case Happening::kLeave:
        backends_[t].Leave();
        TellList({target, Listed::kLeft, 0});
        break;
      case Happening::kEnd:
        Wake(t);
        StopBackend(t);
        break;
      case Happening::kStart:
        backends_[t].Start(now_, true);
        TellList({target, Listed::kActive, now_});
        break;
      case Happening::kFail: fails_[t] = incident.size; break;
      case Happening::kSlow:
        Wake(t);
        backends_[t].Slow(now_, std::max(1.0, incident.size));
        Arm(t);
        break;
      case Happening::kSilent:
        if (incident.size > 0)
          silent_.insert(t);
        else
          silent_.erase(t);
        break;
      case Happening::kCut: network_.Cut(target, incident.size > 0); break;
      case Happening::kOffline:
      case Happening::kOnline: {
        bool offline = incident.what == Happening::kOffline;
        judge_.Offline(now_, target, offline);
        for (uint32_t g = 0; g < gateways_.size(); ++g) {
          Tell(g, [&](micadock::Balancer& b, double now, micadock::Actions* out) {
            b.OnOffline(now, t + 1, offline, out);
          });
        }
        break;
      }
      default: break;
    }
  }
  switch (incident.what) {
    case Happening::kResets: resets_ = incident.size; break;
    case Happening::kCounterDown: counter_.Down(incident.size > 0); break;
    case Happening::kCounterLoses: counter_.Lose(incident.size); break;
    case Happening::kDiscoverySilent: {
      std::vector<Micros> told;
      discovery_.Silent(incident.size > 0, now_, &told);
      for (uint32_t g = 0; g < told.size() && incident.size <= 0; ++g) {
        Put(told[g], Kind::kTold, g, static_cast<uint32_t>(discovery_.changes().size()));
      }
      break;
    }
    case Happening::kRetune: {
      scale_ *= incident.size;
      judge_.Scaled(incident.size);
      for (uint32_t g = 0; g < gateways_.size(); ++g) {
        ivygw::Config config = ivygw::ParseConfig(
            ConfigurationOf(day_, static_cast<int>(g), {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", {}},
                            nlohmann::json(), 1, scale_));
        Tell(g, [&](micadock::Balancer& b, double now, micadock::Actions* out) {
          b.OnSettings(now, b.Prepare(config.settings, {}), out);
        });
      }
      break;
    }
    default: break;
  }
}

}  // namespace

bool OnlyReal(Happening what) { return what == Happening::kUpgrade || what == Happening::kScrape; }

nlohmann::json PlayVirtual(const Day& day, std::atomic<int>* progress) {
  return VirtualDay(day, progress).Play();
}

}  // namespace lemonchute::lab
