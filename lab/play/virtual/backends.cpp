// A connection carries one attempt at a time, and is kept where its answer came whole.
#include "play/virtual/backends.h"

#include "model/choice.h"

namespace lemonchute::lab {
namespace {

using policy::AttemptResult;

// With more backends than this, regret is taken of one attempt in sixteen: it looks at all of them.
constexpr size_t kRegretEach = 500;
constexpr uint32_t kRegretOneIn = 16;
// A backend that fails a request quickly does so at once; a millisecond keeps it apart from what never ran.
constexpr Micros kQuickFail = 1000;
// A gateway leaves alone what its backend may be closing at that moment.
constexpr double kIdleUsed = 0.9;
// A small request or answer with its head, for paths that pass only so many bytes a second.
constexpr size_t kMessageBytes = 300;

}  // namespace

VirtualBackends::VirtualBackends(VirtualWorld& world, Gateways gateways)
    : world_(world),
      gateways_(std::move(gateways)),
      chance_(world.day.seed, Stream::kBackends),
      armed_(world.day.backends.size(), kNever),
      connections_(world.day.backends.size(), 0),
      fails_(world.day.backends.size(), 0),
      idle_(static_cast<size_t>(world.day.gateways)) {
  for (const BackendSpec& b : world.day.backends) {
    cores_.emplace_back(world.day, b);
    if (b.starts_at == 0) cores_.back().Start(0, false);
  }
}

PathState VirtualBackends::PathOf(uint32_t gateway, uint32_t backend, bool out) const {
  auto g = static_cast<int>(gateway), b = static_cast<int>(backend);
  return out ? world_.paths.Outbound(g, RemoteParty::kBackends, b)
             : world_.paths.Inbound(g, RemoteParty::kBackends, b);
}

Micros VirtualBackends::Way(uint32_t gateway, uint32_t backend, bool out) {
  return world_.network.OneWayDelay(world_.day.gateway_zone[gateway], world_.day.backends[backend].zone) +
         world_.paths.StreamDelay(PathOf(gateway, backend, out), kMessageBytes);
}

bool VirtualBackends::Passes(uint32_t gateway, uint32_t backend, bool out) const {
  return silent_.count(backend) == 0 &&
         world_.network.Passes(world_.day.gateway_zone[gateway], world_.day.backends[backend].zone) &&
         PathOf(gateway, backend, out).Passes();
}

void VirtualBackends::Disconnect(uint32_t backend, int connections) {
  connections_[backend] = std::max(0, connections_[backend] - connections);
}

uint32_t VirtualBackends::Add(Attempt attempt) {
  attempt.sent = world_.Now();
  attempts_.push_back(attempt);
  return static_cast<uint32_t>(attempts_.size() - 1);
}

void VirtualBackends::Send(uint32_t index, Micros due) {
  Attempt& attempt = attempts_[index];
  uint32_t gateway = attempt.gateway, backend = attempt.backend;
  Micros now = world_.Now();
  world_.judge.OnAttemptStarted(now, attempt.id, static_cast<int>(backend));
  // The connection that was used last; those at the front have been idle longest.
  std::vector<Micros>& idle = idle_[gateway][backend];
  size_t old = 0;
  while (old < idle.size() && idle[old] + FromSeconds(kIdleUsed * world_.day.idle_s) <= now) ++old;
  Disconnect(backend, static_cast<int>(old));
  idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(old));
  Micros way = Way(gateway, backend, true);
  if (!idle.empty()) {
    idle.pop_back();
  } else {
    attempt.fresh = true;
    world_.judge.OnHandshake(now);
    if (PathOf(gateway, backend, true).resets)
      return Over(index, std::min(due, now + 2 * way), AttemptResult::kConnectFailed);
    if (!Passes(gateway, backend, true) || !Passes(gateway, backend, false)) {  // no sign of it
      return Over(index, std::min(due, now + FromSeconds(world_.day.connect_timeout_s)),
                  AttemptResult::kConnectFailed);
    }
    if (!cores_[backend].up() || connections_[backend] >= world_.day.backends[backend].connections) {
      return Over(index, std::min(due, now + 2 * way), AttemptResult::kConnectFailed);
    }
    ++connections_[backend];
    way += static_cast<Micros>(2 * world_.day.handshake_trips * static_cast<double>(way));
  }
  world_.agenda.At(now + way, [this, index] { There(index); });
  world_.agenda.AtGateway(gateway, due, [this, index] { GiveUp(index, AttemptResult::kTimeout); });
}

void VirtualBackends::There(uint32_t index) {
  Attempt& attempt = attempts_[index];
  uint32_t gateway = attempt.gateway, backend = attempt.backend;
  Micros now = world_.Now();
  if (attempt.told) return Disconnect(backend);  // given up on the way
  if (!Passes(gateway, backend, true)) {
    attempt.unheard = true;
    bool reset = PathOf(gateway, backend, true).resets;
    if (reset) Over(index, now, AttemptResult::kReset);
    return;
  }
  Backend& core = cores_[backend];
  Advance(backend);
  if (!core.up()) {
    return Over(index, now + Way(gateway, backend, false),
                attempt.fresh ? AttemptResult::kConnectFailed : AttemptResult::kReset);
  }
  const Try& t = world_.judge.GetTry(attempt.id);
  double work_s = world_.day.arrivals[t.arrival].work_s;
  Regret regret{-1, -1};
  if (cores_.size() <= kRegretEach || index % kRegretOneIn == 0) {
    const std::vector<char>& list = gateways_.list(gateway);
    regret = RegretOf(cores_, backend, work_s, now, [&](size_t other) { return list[other] != 0; });
  }
  if (attempt.fresh) core.Handshake(now);
  attempt.arrived = attempt.out = true;
  world_.judge.OnAttemptArrived(now, attempt.id, static_cast<int>(backend), regret);
  Micros since = 0;
  bool told = world_.judge.AnnouncedState(static_cast<int>(gateway), static_cast<int>(backend), attempt.sent,
                                          &since) == ListState::kActive;
  if (auto tip = core.RecordColdLoad(now, work_s, told)) {
    world_.judge.OnBackendTipped(now, static_cast<int>(backend), *tip);
    return End(backend);
  }
  bool fails = chance_.Chance(fails_[backend]);
  if (fails || core.Offer(now, {index, work_s, t.sent_at + t.timeout}) == Backend::Admission::kFull) {
    attempts_[index].out = false;
    world_.judge.OnAttemptEnded(now, attempts_[index].id, false, 0);
    Over(index, now + (fails ? kQuickFail : 0) + Way(gateway, backend, false),
         fails ? AttemptResult::kError : AttemptResult::kOverloaded);
  }
  Arm(backend);
}

void VirtualBackends::Over(uint32_t index, Micros at, AttemptResult result) {
  attempts_[index].result = result;
  world_.agenda.AtGateway(attempts_[index].gateway, at, [this, index] { gateways_.outcome(index); });
}

void VirtualBackends::GiveUp(uint32_t index, AttemptResult result) {
  Attempt& attempt = attempts_[index];
  if (attempt.told) return;
  // What was not written whole has not run, whatever was meant by it.
  bool written = attempt.arrived || !attempt.fresh;
  Close(index);
  Over(index, world_.Now(),
       written                               ? result
       : result == AttemptResult::kCancelled ? AttemptResult::kNotSent
                                             : AttemptResult::kConnectFailed);
}

// Of an attempt whose connection is of no more use; one that is still on its way finds that out by itself.
void VirtualBackends::Close(uint32_t index) {
  const Attempt& attempt = attempts_[index];
  if (attempt.arrived && attempt.out) {
    world_.agenda.At(world_.Now() + Way(attempt.gateway, attempt.backend, true),
                     [this, index] { CancelThere(index); });
  } else if (attempt.arrived || attempt.unheard) {
    Disconnect(attempt.backend);
  }
}

void VirtualBackends::CancelThere(uint32_t index) {
  Attempt& attempt = attempts_[index];
  Advance(attempt.backend);
  Disconnect(attempt.backend);
  if (attempt.out) {
    attempt.out = false;
    world_.judge.OnAttemptEnded(world_.Now(), attempt.id, false,
                                cores_[attempt.backend].Cancel(world_.Now(), index));
  }
  Arm(attempt.backend);
}

void VirtualBackends::Settle(uint32_t index) {
  const Attempt& attempt = attempts_[index];
  AttemptResult result = attempt.result;
  if (result == AttemptResult::kOk || result == AttemptResult::kError ||
      result == AttemptResult::kOverloaded) {
    idle_[attempt.gateway][attempt.backend].push_back(world_.Now());
  } else if (result == AttemptResult::kReset) {
    Disconnect(attempt.backend);
  }
}

void VirtualBackends::Drop(uint32_t index) {
  if (attempts_[index].told) return;
  attempts_[index].told = true;
  Close(index);
}

void VirtualBackends::DropIdle(uint32_t gateway) {
  for (auto& [backend, idle] : idle_[gateway]) Disconnect(backend, static_cast<int>(idle.size()));
  idle_[gateway].clear();
}

// What has been done by now: answers go back, work that was given up is counted as wasted.
void VirtualBackends::Advance(uint32_t backend) {
  ends_.clear();
  cores_[backend].Advance(world_.Now(), &ends_);
  for (const Backend::Completion& end : ends_) {
    auto index = static_cast<uint32_t>(end.id);
    Attempt& attempt = attempts_[index];
    if (!attempt.out) {
      world_.judge.AddWastedWork(end.work_s);
      continue;
    }
    attempt.out = false;
    bool error = chance_.Chance(world_.day.error_share), reset = !error && chance_.Chance(resets_);
    bool heard = Passes(attempt.gateway, backend, false);
    bool served = !end.overdue && !error && !reset && !attempt.told && heard && gateways_.wants(index);
    world_.judge.OnAttemptEnded(world_.Now(), attempt.id, served, end.work_s);
    if (!heard) continue;  // the answer never comes
    Over(index, world_.Now() + Way(attempt.gateway, backend, false),
         end.overdue ? AttemptResult::kOverloaded
         : error     ? AttemptResult::kError
         : reset     ? AttemptResult::kReset
                     : AttemptResult::kOk);
  }
}

void VirtualBackends::Arm(uint32_t backend) {
  Micros next = cores_[backend].NextEventAt();
  if (next == kNever || next >= armed_[backend]) return;
  armed_[backend] = next;
  world_.agenda.At(next, [this, backend] {
    if (armed_[backend] != world_.Now()) return;  // an earlier moment was set meanwhile
    armed_[backend] = kNever;
    Advance(backend);
    Arm(backend);
  });
}

void VirtualBackends::Start(uint32_t backend) { cores_[backend].Start(world_.Now(), true); }

void VirtualBackends::End(uint32_t backend) {
  Micros longest = world_.day.LongestDeadline();
  Advance(backend);
  cores_[backend].Stop();
  connections_[backend] = 0;
  for (auto& idle : idle_) idle.erase(backend);
  for (auto index = static_cast<uint32_t>(attempts_.size()); index-- > 0;) {
    Attempt& attempt = attempts_[index];
    if (world_.Now() - attempt.sent > longest + kSecond) break;  // none outlives its client's patience
    if (attempt.backend != backend || !attempt.out) continue;
    attempt.out = false;
    world_.judge.OnAttemptEnded(world_.Now(), attempt.id, false, 0);
    if (!attempt.told && Passes(attempt.gateway, backend, false))
      Over(index, world_.Now() + Way(attempt.gateway, backend, false), AttemptResult::kReset);
  }
}

void VirtualBackends::Slow(uint32_t backend, double times) {
  Advance(backend);
  cores_[backend].SetSlowdown(world_.Now(), times);
  Arm(backend);
}

void VirtualBackends::Silent(uint32_t backend, bool silent) {
  if (silent)
    silent_.insert(backend);
  else
    silent_.erase(backend);
}

bool VirtualBackends::Room(uint32_t gateway) const {
  const std::vector<char>& list = gateways_.list(gateway);
  return AnySlotFree(cores_, [&](size_t b) { return list[b] != 0; });
}

}  // namespace lemonchute::lab
