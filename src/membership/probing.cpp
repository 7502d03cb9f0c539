// Failure detection: a ping at the start of a period, indirect probes at its half, a suspicion at its end,
// and the timeouts of suspicions.
#include <algorithm>
#include <cmath>

#include "membership/membership.h"

namespace lemonchute::membership {
namespace {

constexpr size_t kIndirectProbes = 3;  // k in SWIM and Lifeguard
// Lifeguard's alpha and beta: the minimum suspicion timeout in units of log10(n) periods, and the maximum in
// units of the minimum.
constexpr double kSuspicionAlpha = 4, kSuspicionBeta = 6;
constexpr Micros kStallFraction = 4;  // a tick late by more than 1/4 of a period is a stall
// Peers are queried about a suspect at half of the suspicion, and twice more at half of the remaining time.
// The suspect itself is not queried: in a large fleet all members would query it within a second.
constexpr int kMaxSuspicionQueries = 3;
constexpr size_t kDeadProbePeriods = 4;  // a dead member is pinged in one of 4 periods, on average

double LogFleetSize(size_t members) { return std::max(1.0, std::log10(static_cast<double>(members))); }

}  // namespace

Micros Membership::MinSuspicionTimeout() const {
  size_t present = view_.Count(State::kAlive) + view_.Count(State::kSuspect);
  return static_cast<Micros>(kSuspicionAlpha * LogFleetSize(present) * static_cast<double>(period_));
}

Micros Membership::MaxSuspicionTimeout() const {
  return static_cast<Micros>(kSuspicionBeta) * MinSuspicionTimeout();
}

Micros Membership::SuspicionEnd(const Suspicion& suspicion) const {
  auto min_timeout = static_cast<double>(MinSuspicionTimeout()),
       max_timeout = static_cast<double>(MaxSuspicionTimeout());
  size_t needed = std::min(kMaxConfirmations, settings_.member_count < 3 ? 0 : settings_.member_count - 2);
  if (needed == 0) return suspicion.since + static_cast<Micros>(min_timeout);
  auto confirmations = static_cast<double>(suspicion.reporters.empty() ? 0 : suspicion.reporters.size() - 1);
  double wait = max_timeout - (max_timeout - min_timeout) * std::log(confirmations + 1) /
                                  std::log(static_cast<double>(needed) + 1);
  return suspicion.since + static_cast<Micros>(std::max(min_timeout, wait));
}

Micros Membership::SuspicionQueryTime(const Suspicion& suspicion) const {
  Micros end = SuspicionEnd(suspicion);
  return end - ((end - suspicion.since) >> (suspicion.queries + 1));
}

Micros Membership::NextTickAt() const {
  Micros next = next_period_;
  if (probe_.in_flight && !probe_.indirect_sent) next = std::min(next, probe_.indirect_at);
  for (const auto& [member, suspicion] : suspicions_)
    next = std::min(next, suspicion.queries < kMaxSuspicionQueries ? SuspicionQueryTime(suspicion)
                                                                   : SuspicionEnd(suspicion));
  for (const Relay& relay : relays_) next = std::min(next, relay.nack_at);
  return next;
}

void Membership::Tick(Micros now, Actions* out) {
  Micros due = NextTickAt();
  if (now < due) return;
  if (now - due > period_ / kStallFraction) RecoverFromStall(now, now - due);
  if (probe_.in_flight && !probe_.indirect_sent && now >= probe_.indirect_at) SendIndirectProbes(now, out);
  NackExpiredRelays(now, out);
  std::vector<uint16_t> expired;
  for (const auto& [member, suspicion] : suspicions_) {
    if (suspicion.queries == kMaxSuspicionQueries && now >= SuspicionEnd(suspicion))
      expired.push_back(member);
  }
  QueryAboutSuspects(now, out);
  for (uint16_t member : expired) {
    Update dead = view_.UpdateFor(member);
    dead.state = State::kDead;
    dead.reporter = settings_.self;
    Apply(now, dead, out);
  }
  if (now >= next_period_) {
    FailPendingProbe(now, out);
    StartProbePeriod(now, out);
  }
}

// This process was stopped or starved. Awaited answers may still be unread, so their absence proves nothing.
void Membership::RecoverFromStall(Micros now, Micros lateness) {
  ++counts_.stalls;
  health_ = std::min(kMaxHealth, health_ + 1);
  probe_.in_flight = false;
  relays_.clear();
  for (auto& [member, suspicion] : suspicions_) suspicion.since += lateness;
  next_period_ = now;
}

void Membership::NackExpiredRelays(Micros now, Actions* out) {
  for (size_t i = 0; i < relays_.size();) {
    if (now < relays_[i].nack_at) {
      ++i;
      continue;
    }
    const Relay relay = relays_[i];
    relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    Message nack;
    nack.kind = Kind::kNack;
    nack.sequence = relay.requester_sequence;
    nack.target = relay.target;
    Send(now, relay.requester, std::move(nack), out);
  }
}

// Sends one ping with all suspicions that are due to a random peer; its ack carries what is newer there.
void Membership::QueryAboutSuspects(Micros now, Actions* out) {
  Message ping;
  for (auto& [member, suspicion] : suspicions_) {
    if (suspicion.queries == kMaxSuspicionQueries || now < SuspicionQueryTime(suspicion)) continue;
    ++suspicion.queries;
    ping.updates.push_back(view_.UpdateFor(member));
  }
  if (ping.updates.empty()) return;
  const std::vector<uint16_t> peers = RandomPeers(1, -1);
  if (peers.empty()) return;
  ping.sequence = ++sequence_;
  Send(now, peers.front(), std::move(ping), out);
}

// Randomized round robin: each round probes every member once, in a new order.
// @return -1 if no other member is present.
int Membership::NextProbeTarget() {
  for (size_t checked = 0; checked <= settings_.member_count; ++checked) {
    if (next_target_ >= probe_order_.size()) {
      probe_order_.clear();
      for (size_t m = 0; m < settings_.member_count; ++m) {
        if (m != settings_.self && IsPresent(m)) probe_order_.push_back(static_cast<uint16_t>(m));
      }
      for (size_t i = probe_order_.size(); i > 1; --i)
        std::swap(probe_order_[i - 1], probe_order_[RandomBelow(i)]);
      next_target_ = 0;
      if (probe_order_.empty()) return -1;
    }
    uint16_t target = probe_order_[next_target_++];
    if (IsPresent(target)) return target;
  }
  return -1;
}

void Membership::StartProbePeriod(Micros now, Actions* out) {
  next_period_ = now + period_ * (1 + health_);
  if (RandomBelow(kDeadProbePeriods) == 0 && view_.Count(State::kDead) > 0) {
    size_t dead_index = RandomBelow(view_.Count(State::kDead));
    for (size_t m = 0; m < settings_.member_count; ++m) {
      if (view_.At(m).state != State::kDead || dead_index-- > 0) continue;
      Message ping;
      ping.sequence = ++sequence_;
      Send(now, static_cast<uint16_t>(m), std::move(ping), out);
      break;
    }
  }
  int target = NextProbeTarget();
  if (target < 0) return;
  probe_ = {};
  probe_.target = static_cast<uint16_t>(target);
  probe_.sequence = ++sequence_;
  probe_.indirect_at = now + (next_period_ - now) / 2;
  Message ping;
  ping.sequence = probe_.sequence;
  probe_.in_flight = Send(now, probe_.target, std::move(ping), out);
  counts_.probes += probe_.in_flight ? 1 : 0;
}

std::vector<uint16_t> Membership::RandomPeers(size_t max_count, int excluded) {
  std::vector<uint16_t> all;
  for (size_t m = 0; m < settings_.member_count; ++m) {
    bool eligible =
        m != settings_.self && static_cast<int>(m) != excluded && view_.At(m).state == State::kAlive;
    if (eligible) all.push_back(static_cast<uint16_t>(m));
  }
  for (size_t i = 0; i < std::min(max_count, all.size()); ++i)
    std::swap(all[i], all[i + RandomBelow(all.size() - i)]);
  all.resize(std::min(max_count, all.size()));
  return all;
}

void Membership::SendIndirectProbes(Micros now, Actions* out) {
  probe_.indirect_sent = true;
  for (uint16_t helper : RandomPeers(kIndirectProbes, probe_.target)) {
    Message request;
    request.kind = Kind::kPingRequest;
    request.target = probe_.target;
    request.sequence = probe_.sequence;
    if (!Send(now, helper, std::move(request), out)) continue;
    ++counts_.indirect_probes;
    ++probe_.nacks_outstanding;
  }
}

void Membership::FailPendingProbe(Micros now, Actions* out) {
  if (!probe_.in_flight) return;
  probe_.in_flight = false;
  ++counts_.failed_probes;
  // Lifeguard's local health: missing nacks of the helpers suggest that this member itself is at fault.
  health_ = std::min(kMaxHealth, health_ + probe_.nacks_outstanding);
  Suspect(now, probe_.target, out);
}

void Membership::Suspect(Micros now, uint16_t member, Actions* out) {
  Update update = view_.UpdateFor(member);
  if (update.state > State::kSuspect) return;
  update.state = State::kSuspect;
  update.reporter = settings_.self;
  Apply(now, update, out);
}

void Membership::HandleAck(Micros now, const Message& message, Actions* out) {
  if (probe_.in_flight && message.sequence == probe_.sequence && message.target == probe_.target) {
    probe_.in_flight = false;
    health_ = std::max(0, health_ - 1);
    return;
  }
  for (size_t i = 0; i < relays_.size(); ++i) {
    if (relays_[i].sequence != message.sequence || relays_[i].target != message.from) continue;
    Message ack;
    ack.kind = Kind::kAck;
    ack.sequence = relays_[i].requester_sequence;
    ack.target = relays_[i].target;
    uint16_t requester = relays_[i].requester;
    relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    Send(now, requester, std::move(ack), out);
    return;
  }
}

}  // namespace lemonchute::membership
