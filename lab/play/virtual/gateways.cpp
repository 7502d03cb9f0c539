// Events into the module and its actions out, each after the way that it takes.
#include "play/virtual/gateways.h"

#include <cstring>

#include "model/settings.h"
#include "net/config.h"

namespace lemonchute::lab {
namespace {

using policy::Action;
using policy::ActionKind;
using policy::Actions;
using policy::AttemptResult;
using policy::Balancer;

// A gateway that has no list asks for one about so often.
constexpr Micros kAskEach = 100'000;
// A call of the counter or its answer, for paths that pass only so many bytes a second.
constexpr size_t kCallBytes = 80;
constexpr double kEpochS = 1000;  // the modules' clock at the day's start; it begins at an arbitrary value

}  // namespace

VirtualGateways::VirtualGateways(VirtualWorld& world, Answer answer)
    : world_(world),
      answer_(std::move(answer)),
      backends_(world, {[this](uint32_t attempt) { Outcome(attempt); },
                        [this](uint32_t attempt) {
                          const VirtualBackends::Attempt& a = backends_.At(attempt);
                          const auto& held = gateways_[a.gateway].held;
                          auto found = held.find(a.id);
                          return found != held.end() && !found->second.ended;
                        },
                        [this](uint32_t g) -> const std::vector<char>& { return gateways_[g].listed; }}),
      seeds_(world.day.seed, Stream::kSeeds),
      gateways_(static_cast<size_t>(world.day.gateways)) {
  for (uint32_t g = 0; g < gateways_.size(); ++g) Start(g);
}

template <typename What>
void VirtualGateways::Tell(uint32_t gateway, What event) {
  Gateway& g = gateways_[gateway];
  if (g.module == nullptr) return;
  actions_.clear();
  event(*g.module, kEpochS + ToSeconds(world_.Now()), &actions_);
  for (const Action& action : actions_)
    Act(gateway, action);  // no action has the module called again at once
}

void VirtualGateways::Act(uint32_t gateway, const Action& action) {
  Gateway& g = gateways_[gateway];
  switch (action.kind) {
    case ActionKind::kSendAttempt: return SendAttempt(gateway, action);
    case ActionKind::kCancelAttempt: {
      auto held = g.held.find(action.request_id);
      if (held == g.held.end() || static_cast<size_t>(action.attempt_index) >= held->second.attempts.size())
        return;
      return backends_.GiveUp(held->second.attempts[static_cast<size_t>(action.attempt_index)],
                              AttemptResult::kCancelled);
    }
    case ActionKind::kReject:
      return Finish(gateway, action.request_id, TryOutcome::kRefused, action.duration_s);
    case ActionKind::kFail: return Finish(gateway, action.request_id, TryOutcome::kFailed, 0);
    case ActionKind::kStartTimer:
      return world_.agenda.AtGateway(
          gateway, world_.Now() + FromSeconds(std::max(0.0, action.duration_s)),
          [this, gateway, life = g.life, tag = action.tag] {
            if (life != gateways_[gateway].life) return;
            Tell(gateway, [tag](Balancer& b, double now, Actions* out) { b.OnTimer(now, tag, out); });
          });
    case ActionKind::kCallCounter: return Count(gateway, action);
    case ActionKind::kLog:
    case ActionKind::kPollEndpoints: return;
  }
}

policy::Settings VirtualGateways::SettingsFor(uint32_t gateway) const {
  GatewayAddresses nowhere;
  nowhere.listen = "127.0.0.1:1", nowhere.discovery = "127.0.0.1:2", nowhere.counter = "127.0.0.1:3";
  return net::ParseConfig(ConfigurationOf(world_.day, static_cast<int>(gateway), nowhere, nullptr, 1, scale_))
      .settings;
}

void VirtualGateways::Start(uint32_t gateway) {
  Gateway& g = gateways_[gateway];
  if (g.module != nullptr) return;
  ++g.life;
  Actions actions;
  g.module = std::make_unique<Balancer>(SettingsFor(gateway), seeds_.Bits(),
                                        kEpochS + ToSeconds(world_.Now()), &actions);
  for (const Action& action : actions) Act(gateway, action);
  GiveList(gateway, policy::EndpointListKind::kCached, world_.discovery.ListAt(g.version));
  if (world_.Now() == 0) return;
  world_.judge.OnGatewayStarted(world_.Now(), static_cast<int>(gateway));
  FirstList(gateway, FromSeconds(world_.day.discovery_agent_s));
}

// A gateway takes clients from its first list on; while its path to discovery is cut it goes on asking.
void VirtualGateways::FirstList(uint32_t gateway, Micros wait) {
  world_.agenda.AtGateway(gateway, world_.Now() + wait, [this, gateway, life = gateways_[gateway].life] {
    Gateway& started = gateways_[gateway];
    if (started.module == nullptr || life != started.life) return;
    if (!world_.paths.Passes(static_cast<int>(gateway), RemoteParty::kDiscovery))
      return FirstList(gateway, kAskEach);
    started.version = world_.discovery.VersionAt(static_cast<int>(gateway), world_.Now());
    GiveList(gateway, policy::EndpointListKind::kSnapshot, world_.discovery.ListAt(started.version));
    world_.client_router.OnGatewayReady(static_cast<int>(gateway));
  });
}

void VirtualGateways::End(uint32_t gateway) {
  Gateway& g = gateways_[gateway];
  if (g.module == nullptr) return;
  world_.judge.OnGatewayEnded(world_.Now(), static_cast<int>(gateway));
  world_.client_router.OnGatewayDown(static_cast<int>(gateway), world_.Now());
  std::vector<uint32_t> all;
  for (const auto& [id, held] : g.held) all.push_back(id);
  std::sort(all.begin(), all.end());  // the table's own order is chance
  for (uint32_t id : all) {
    for (uint32_t attempt : g.held[id].attempts) backends_.Drop(attempt);
  }
  for (uint32_t id : all) {
    if (!g.held[id].ended) answer_(id, TryOutcome::kFailed, 0, false);
  }
  backends_.DropIdle(gateway);
  g.held.clear();
  g.module.reset();
  ++g.life;
  world_.agenda.Forget(gateway);
}

void VirtualGateways::TellVersion(uint32_t gateway, int version) {
  Gateway& g = gateways_[gateway];
  if (g.module == nullptr || version <= g.version ||
      world_.discovery.NotifiedAt(static_cast<int>(gateway), version) > world_.Now())
    return;
  std::vector<Discovery::Entry> entries;
  for (int v = g.version; v < version; ++v)
    entries.push_back(world_.discovery.changes()[static_cast<size_t>(v)].entry);
  g.version = version;
  GiveList(gateway, policy::EndpointListKind::kDelta, entries);
}

void VirtualGateways::GiveList(uint32_t gateway, policy::EndpointListKind kind,
                               const std::vector<Discovery::Entry>& entries) {
  Gateway& g = gateways_[gateway];
  if (kind != policy::EndpointListKind::kDelta) g.listed.assign(world_.day.backends.size(), 0);
  std::vector<policy::Endpoint> list;
  list.reserve(entries.size());
  for (const Discovery::Entry& entry : entries) {
    auto b = static_cast<uint32_t>(entry.backend);
    g.listed[b] = entry.state == ListState::kActive ? 1 : 0;
    policy::Endpoint backend;
    backend.id = b + 1;
    backend.state = entry.state == ListState::kActive    ? policy::EndpointState::kReady
                    : entry.state == ListState::kLeaving ? policy::EndpointState::kDraining
                                                         : policy::EndpointState::kRemoved;
    backend.zone = world_.day.backends[b].zone;
    backend.cell = entry.backend / 4;
    backend.weight = 1;
    backend.started_s = entry.since == 0 ? 0 : kEpochS + ToSeconds(entry.since);
    list.push_back(backend);
  }
  Tell(gateway, [&](Balancer& b, double now, Actions* out) { b.OnEndpointList(now, kind, list, out); });
}

// ---- Requests.

void VirtualGateways::Take(uint32_t id) {
  const Try& t = world_.judge.GetTry(id);
  auto gateway = static_cast<uint32_t>(t.gateway);
  const Arrival& a = world_.day.arrivals[t.arrival];
  const Customer& c = world_.day.customers[a.customer];
  world_.judge.OnTryReceived(world_.Now(), id);
  gateways_[gateway].held[id];
  policy::Request request;
  request.id = id, request.class_index = a.class_index, request.plan_index = c.plan,
  request.customer_id = c.key;
  request.time_left_s = std::max(0.001, ToSeconds(t.sent_at + t.timeout - world_.Now()));
  request.units = a.estimated_units, request.entry_gateways = c.gateway_count;
  Tell(gateway, [&](Balancer& b, double now, Actions* out) { b.OnRequest(now, request, out); });
}

bool VirtualGateways::Owes(uint32_t id) const {
  const auto& held = gateways_[static_cast<size_t>(world_.judge.GetTry(id).gateway)].held;
  auto found = held.find(id);
  return found != held.end() && !found->second.ended;
}

void VirtualGateways::Abandon(uint32_t id) {
  if (!Owes(id)) return;
  auto gateway = static_cast<uint32_t>(world_.judge.GetTry(id).gateway);
  gateways_[gateway].held[id].ended = true;
  Tell(gateway, [&](Balancer& b, double now, Actions* out) { b.OnClientGone(now, id, out); });
  ForgetIfOver(gateway, id);
}

void VirtualGateways::Finish(uint32_t gateway, uint32_t id, TryOutcome final, double retry_after_s) {
  auto held = gateways_[gateway].held.find(id);
  if (held == gateways_[gateway].held.end() || held->second.ended) return;
  held->second.ended = true;
  bool room =
      final == TryOutcome::kRefused && world_.judge.GetTry(id).attempts == 0 && backends_.Room(gateway);
  answer_(id, final, retry_after_s, room);
  ForgetIfOver(gateway, id);
}

void VirtualGateways::ForgetIfOver(uint32_t gateway, uint32_t id) {
  auto held = gateways_[gateway].held.find(id);
  if (held != gateways_[gateway].held.end() && held->second.ended && held->second.waiting == 0)
    gateways_[gateway].held.erase(held);
}

void VirtualGateways::SendAttempt(uint32_t gateway, const Action& action) {
  Gateway& g = gateways_[gateway];
  auto held = g.held.find(action.request_id);
  if (held == g.held.end()) return;
  const Try& t = world_.judge.GetTry(action.request_id);
  VirtualBackends::Attempt attempt;
  attempt.id = action.request_id, attempt.gateway = gateway, attempt.backend = action.backend_id - 1,
  attempt.life = g.life;
  attempt.number = static_cast<int>(held->second.attempts.size());
  uint32_t index = backends_.Add(attempt);
  held->second.attempts.push_back(index);
  ++held->second.waiting;
  Micros due = t.sent_at + t.timeout;
  if (action.duration_s > 0) due = std::min(due, world_.Now() + FromSeconds(action.duration_s));
  bool moot = held->second.ended || due <= world_.Now() || action.duration_s < 0 ||
              attempt.number >= world_.day.try_limit;
  if (moot) return backends_.Over(index, world_.Now(), AttemptResult::kNotSent);
  backends_.Send(index, due);
}

void VirtualGateways::Outcome(uint32_t index) {
  const VirtualBackends::Attempt& attempt = backends_.At(index);
  uint32_t gateway = attempt.gateway, id = attempt.id;
  Gateway& g = gateways_[gateway];
  if (attempt.told || attempt.life != g.life) return;
  backends_.MarkTold(index);
  auto held = g.held.find(id);
  if (held == g.held.end()) return;
  backends_.Settle(index);
  --held->second.waiting;
  policy::AttemptOutcome outcome;
  outcome.request_id = id, outcome.attempt_index = attempt.number,
  outcome.duration_s = ToSeconds(world_.Now() - attempt.sent);
  outcome.result = attempt.result, outcome.backend_id = attempt.backend + 1;
  if (attempt.result == AttemptResult::kOk && !held->second.ended) {
    // The first good answer reaches the client by itself and ends the request.
    outcome.actual_units = world_.day.arrivals[world_.judge.GetTry(id).arrival].units;
    held->second.ended = true;
    answer_(id, TryOutcome::kServed, 0, false);
  }
  outcome.request_finished = held->second.ended;
  Tell(gateway, [&](Balancer& b, double now, Actions* out) { b.OnAttemptOutcome(now, outcome, out); });
  ForgetIfOver(gateway, id);
}

// ---- The counter.

void VirtualGateways::Count(uint32_t gateway, const Action& action) {
  uint32_t index = 0;
  if (free_calls_.empty()) {
    index = static_cast<uint32_t>(calls_.size());
    calls_.emplace_back();
  } else {
    index = free_calls_.back();
    free_calls_.pop_back();
  }
  Call call;
  call.gateway = gateway, call.life = gateways_[gateway].life, call.name = action.tag,
  call.amount = action.counter_delta;
  call.keep_ms = std::clamp(action.duration_s * 1000, 1.0, 60'000.0);
  calls_[index] = call;
  PathState path = world_.paths.Outbound(static_cast<int>(gateway), RemoteParty::kCounter);
  world_.agenda.At(world_.Now() + world_.network.OneWayDelay(world_.day.gateway_zone[gateway], 0) +
                       world_.paths.StreamDelay(path, kCallBytes),
                   [this, index] { CallThere(index); });
  world_.agenda.AtGateway(gateway, world_.Now() + FromSeconds(world_.day.counter_timeout_s),
                          [this, index] { Total(index, false); });
}

void VirtualGateways::CallThere(uint32_t index) {
  Call& call = calls_[index];
  int zone = world_.day.gateway_zone[call.gateway], gateway = static_cast<int>(call.gateway);
  PathState there = world_.paths.Outbound(gateway, RemoteParty::kCounter),
            back = world_.paths.Inbound(gateway, RemoteParty::kCounter);
  if (!there.Passes()) return Release(index);
  world_.judge.OnCounterCall(world_.Now(), gateway, call.amount);
  if (!world_.network.Passes(zone, 0)) return Release(index);
  char name[sizeof(call.name)];
  std::memcpy(name, &call.name, sizeof(name));
  Counter::Reply answer = world_.counter.Call(world_.Now(), {name, sizeof(name)}, call.amount, call.keep_ms);
  if (answer.kind == Counter::ReplyKind::kNoReply || !back.Passes()) return Release(index);
  call.result = answer.kind == Counter::ReplyKind::kTotal ? AttemptResult::kOk : AttemptResult::kOverloaded;
  call.total = answer.total;
  world_.agenda.AtGateway(
      call.gateway,
      answer.at + world_.network.OneWayDelay(0, zone) + world_.paths.StreamDelay(back, kCallBytes),
      [this, index] { Total(index, true); });
}

// A call's answer and its time-out are both on their way: the first one counts.
void VirtualGateways::Total(uint32_t index, bool in_time) {
  Call& call = calls_[index];
  if (!call.told && call.life == gateways_[call.gateway].life) {
    policy::CounterResponse answer{call.name, call.total, in_time ? call.result : AttemptResult::kTimeout};
    if (answer.result != AttemptResult::kOk) answer.total = 0;
    call.told = true;
    Tell(call.gateway, [&](Balancer& b, double now, Actions* out) { b.OnCounterResponse(now, answer, out); });
  }
  Release(index);
}

void VirtualGateways::Release(uint32_t index) {
  if (--calls_[index].pending == 0) free_calls_.push_back(index);
}

// ---- Operators.

void VirtualGateways::Offline(uint32_t backend, bool offline) {
  world_.judge.OnBackendOffline(world_.Now(), static_cast<int>(backend), offline);
  for (uint32_t g = 0; g < gateways_.size(); ++g) {
    Tell(g, [&](Balancer& b, double now, Actions* out) { b.OnMaintenance(now, backend + 1, offline, out); });
  }
}

void VirtualGateways::Retune(double scale) {
  scale_ *= scale;
  world_.judge.OnQuotasScaled(scale);
  for (uint32_t g = 0; g < gateways_.size(); ++g) {
    Tell(g, [&](Balancer& b, double now, Actions* out) {
      b.OnSettings(now, b.PrepareSettings(SettingsFor(g), {}), out);
    });
  }
}

}  // namespace lemonchute::lab
