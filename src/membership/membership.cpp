// A period: a ping at its start, help asked for at its half, a suspicion at its end.
#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lemonchute::membership {
namespace {

// What a period costs at each member on average: a ping and an ack each way round, help (three askers, of
// whom each failed probe at 8% loss needs a ping, an ack, an answer or a nack: 0.15 x 12), a repair and its
// answer.
constexpr double kMessagesAPeriod = 6;
constexpr size_t kHelpers = 3;  // k of the papers
constexpr int kMostHealth = 8;  // S of Lifeguard
constexpr double kAlpha = 4,
                 kBeta = 6;        // suspicion: least and most, as Lifeguard's evaluation has them at best
constexpr Micros kHeldUpPart = 4;  // late by a period's quarter, five ways there and back, we were held up
// Others are asked of a suspect when half of its time is over, by when a refutation has reached nearly all,
// and twice more, each after half of what is left: at 8% loss one answer in 300 misses all three. The suspect
// itself is not asked: all of a large fleet would do so within a second.
constexpr int kAsks = 3;
constexpr size_t kConfirmations = 3;  // K of Lifeguard
constexpr int kLambda = 4;            // each word is told so many times the logarithm of the fleet
constexpr size_t kMostRelays = 32;    // pings in others' places at once
constexpr size_t kDeadEach = 4;       // one period in so many, a dead member is pinged too
constexpr int kLately = 12;           // periods: as long as a word takes to reach all of 3,000 with margin
constexpr double kAgree = 0.95;
// An honest member spreads its pace over the fleet. One that sends us more than half of it is not listened to
// beyond that, so that at least half of our own pace is left to the others.
constexpr double kFlood = 0.5;

double Magnitude(size_t members) { return std::max(1.0, std::log10(static_cast<double>(members))); }

}  // namespace

const char* Name(Verdict verdict) {
  switch (verdict) {
    case Verdict::kUnknown: return "unknown";
    case Verdict::kCutOff: return "cut off";
    case Verdict::kDiverged: return "diverged";
    case Verdict::kConverged: return "converged";
  }
  return "";
}

Membership::Membership(const Settings& settings, Micros now)
    : settings_(settings),
      period_(static_cast<Micros>(1e6 * kMessagesAPeriod / (settings.in_per_s * settings.share))),
      started_(now),
      view_(settings.members, settings.self, now),
      random_(settings.seed),
      last_(settings.members),
      tokens_(Rate()),
      tokens_at_(now) {
  // Members that start in one instant don't probe in one.
  next_period_ = now + static_cast<Micros>(Below(static_cast<size_t>(period_)));
  view_.Take({settings.self, State::kAlive, settings.self, 1, settings.about}, now);
}

size_t Membership::Below(size_t n) { return n == 0 ? 0 : static_cast<size_t>(random_() % n); }

bool Membership::There(size_t member) const { return view_.At(member).state <= State::kSuspect; }

int Membership::Spreads() const {
  return kLambda * static_cast<int>(std::ceil(std::log10(static_cast<double>(settings_.members) + 1)));
}

Micros Membership::LeastSuspicion() const {
  size_t there = view_.Count(State::kAlive) + view_.Count(State::kSuspect);
  return static_cast<Micros>(kAlpha * Magnitude(there) * static_cast<double>(period_));
}

Micros Membership::MostSuspicion() const { return static_cast<Micros>(kBeta) * LeastSuspicion(); }

Micros Membership::EndOf(const Suspicion& suspicion) const {
  auto least = static_cast<double>(LeastSuspicion()), most = static_cast<double>(MostSuspicion());
  size_t needed = std::min(kConfirmations, settings_.members < 3 ? 0 : settings_.members - 2);
  if (needed == 0) return suspicion.since + static_cast<Micros>(least);
  auto more = static_cast<double>(suspicion.by.empty() ? 0 : suspicion.by.size() - 1);
  double wait = most - (most - least) * std::log(more + 1) / std::log(static_cast<double>(needed) + 1);
  return suspicion.since + static_cast<Micros>(std::max(least, wait));
}

Micros Membership::AskOf(const Suspicion& suspicion) const {
  Micros end = EndOf(suspicion);
  return end - ((end - suspicion.since) >> (suspicion.asks + 1));
}

Micros Membership::NextAt() const {
  Micros next = next_period_;
  if (probe_.out && !probe_.asked) next = std::min(next, probe_.ask_at);
  for (const auto& [member, suspicion] : suspicions_)
    next = std::min(next, suspicion.asks < kAsks ? AskOf(suspicion) : EndOf(suspicion));
  for (const Relay& relay : relays_) next = std::min(next, relay.nack_at);
  return next;
}

void Membership::Tick(Micros now, Actions* out) {
  Micros due = NextAt();
  if (now < due) return;
  if (now - due > period_ / kHeldUpPart) {
    // We were held up ourselves: what should have come may be waiting unread, and accuses nobody.
    ++counts_.held_up;
    health_ = std::min(kMostHealth, health_ + 1);
    probe_.out = false;
    relays_.clear();
    for (auto& [member, suspicion] : suspicions_) suspicion.since += now - due;
    next_period_ = now;
  }
  if (probe_.out && !probe_.asked && now >= probe_.ask_at) AskOthers(now, out);
  for (size_t i = 0; i < relays_.size();) {
    if (now < relays_[i].nack_at) {
      ++i;
      continue;
    }
    Relay relay = relays_[i];
    relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    Message nack;
    nack.kind = Kind::kNack, nack.sequence = relay.askers, nack.target = relay.target;
    Send(now, relay.asker, std::move(nack), out);
  }
  std::vector<uint16_t> over;
  for (const auto& [member, suspicion] : suspicions_) {
    if (suspicion.asks == kAsks && now >= EndOf(suspicion)) over.push_back(member);
  }
  AskOfSuspects(now, out);
  for (uint16_t member : over) {
    Update dead = view_.WordOn(member);
    dead.state = State::kDead, dead.by = settings_.self;
    Apply(now, dead, out);
  }
  if (now >= next_period_) {
    EndProbe(now, out);
    BeginPeriod(now, out);
  }
}

// One ping to one other with all the suspicions whose time has come; what is newer comes back with the ack.
void Membership::AskOfSuspects(Micros now, Actions* out) {
  Message ping;
  for (auto& [member, suspicion] : suspicions_) {
    if (suspicion.asks == kAsks || now < AskOf(suspicion)) continue;
    ++suspicion.asks;
    ping.updates.push_back(view_.WordOn(member));
  }
  if (ping.updates.empty()) return;
  for (uint16_t other : SomeOthers(1, -1)) {
    ping.sequence = ++sequence_;
    Send(now, other, std::move(ping), out);
  }
}

int Membership::NextTarget() {
  // Randomized round-robin: every member once in each round, in an order of its own.
  for (size_t looked = 0; looked <= settings_.members; ++looked) {
    if (turn_ >= order_.size()) {
      order_.clear();
      for (size_t m = 0; m < settings_.members; ++m) {
        if (m != settings_.self && There(m)) order_.push_back(static_cast<uint16_t>(m));
      }
      for (size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[Below(i)]);
      turn_ = 0;
      if (order_.empty()) return -1;
    }
    uint16_t target = order_[turn_++];
    if (There(target)) return target;
  }
  return -1;
}

void Membership::BeginPeriod(Micros now, Actions* out) {
  next_period_ = now + period_ * (1 + health_);
  if (Below(kDeadEach) == 0 && view_.Count(State::kDead) > 0) {
    size_t at = Below(view_.Count(State::kDead));
    for (size_t m = 0; m < settings_.members; ++m) {
      if (view_.At(m).state != State::kDead || at-- > 0) continue;
      Message ping;
      ping.sequence = ++sequence_;
      Send(now, static_cast<uint16_t>(m), std::move(ping), out);
      break;
    }
  }
  int target = NextTarget();
  if (target < 0) return;
  probe_ = {};
  probe_.target = static_cast<uint16_t>(target);
  probe_.sequence = ++sequence_;
  probe_.ask_at = now + (next_period_ - now) / 2;
  Message ping;
  ping.sequence = probe_.sequence;
  probe_.out = Send(now, probe_.target, std::move(ping), out);
  counts_.probes += probe_.out ? 1 : 0;
}

std::vector<uint16_t> Membership::SomeOthers(size_t most, int but) {
  std::vector<uint16_t> all;
  for (size_t m = 0; m < settings_.members; ++m) {
    bool fit = m != settings_.self && static_cast<int>(m) != but && view_.At(m).state == State::kAlive;
    if (fit) all.push_back(static_cast<uint16_t>(m));
  }
  for (size_t i = 0; i < std::min(most, all.size()); ++i) std::swap(all[i], all[i + Below(all.size() - i)]);
  all.resize(std::min(most, all.size()));
  return all;
}

void Membership::AskOthers(Micros now, Actions* out) {
  probe_.asked = true;
  for (uint16_t helper : SomeOthers(kHelpers, probe_.target)) {
    Message ask;
    ask.kind = Kind::kAskPing, ask.target = probe_.target, ask.sequence = probe_.sequence;
    if (!Send(now, helper, std::move(ask), out)) continue;
    ++counts_.indirect;
    ++probe_.nacks_due;
  }
}

void Membership::EndProbe(Micros now, Actions* out) {
  if (!probe_.out) return;
  probe_.out = false;
  ++counts_.failed;
  // Helpers that gave no sign either point at us: Lifeguard's local health.
  health_ = std::min(kMostHealth, health_ + probe_.nacks_due);
  Suspect(now, probe_.target, out);
}

void Membership::Suspect(Micros now, uint16_t member, Actions* out) {
  Update word = view_.WordOn(member);
  if (word.state > State::kSuspect) return;
  word.state = State::kSuspect, word.by = settings_.self;
  Apply(now, word, out);
}

void Membership::Refute(Micros now, uint32_t above) {
  if (left_) return;
  Update self = view_.WordOn(settings_.self);
  self.incarnation = std::min(kMostIncarnation, above + 1);
  self.state = State::kAlive, self.about = settings_.about;
  ++counts_.refuted;
  view_.Take(self, now);
}

void Membership::Apply(Micros now, const Update& update, Actions* out) {
  if (update.member == settings_.self) {
    const Entry& self = view_.At(settings_.self);
    bool accused = update.state != State::kAlive && update.incarnation >= self.incarnation;
    // A life before this one, or another that claims our number.
    bool other = update.incarnation > self.incarnation ||
                 (update.incarnation == self.incarnation && update.about != self.about);
    if (update.state == State::kSuspect && accused) health_ = std::min(kMostHealth, health_ + 1);
    if (accused || other) Refute(now, update.incarnation);
    return;
  }
  const Entry before = view_.At(update.member);
  bool newer = view_.Take(update, now);
  if (newer && before.state != update.state)
    out->changes.push_back({update.member, before.state, update.state, update.incarnation, update.by});
  const Entry& is = view_.At(update.member);
  if (is.state != State::kSuspect) {
    suspicions_.erase(update.member);
    return;
  }
  if (update.state != State::kSuspect || update.incarnation != is.incarnation) return;
  auto [suspicion, fresh] = suspicions_.try_emplace(update.member, Suspicion{now, {}, 0});
  if (newer) suspicion->second = {now, {}, 0};
  // Each of the first words of others is told on, as the end comes sooner by it.
  bool confirms =
      suspicion->second.by.size() <= kConfirmations && suspicion->second.by.insert(update.by).second;
  if (confirms && !newer) view_.Confirm(update.member, update.by);
}

bool Membership::Floods(Micros now, Last* sender) const {
  double gained = kFlood * Rate() * 1e-6 * static_cast<double>(now - sender->tokens_at);
  sender->tokens = sender->at < 0 ? Rate() : std::min(Rate(), sender->tokens + gained);
  sender->tokens_at = now;
  if (sender->tokens < 1) return true;
  sender->tokens -= 1;
  return false;
}

void Membership::Heard(Micros now, int from, std::span<const uint8_t> bytes, Actions* out) {
  if (from < 0 || from >= static_cast<int>(settings_.members)) {
    ++counts_.strangers;
    return;
  }
  Last& sender = last_[static_cast<size_t>(from)];
  if (Floods(now, &sender)) {
    ++counts_.flooded;
    return;
  }
  Fault fault = Fault::kNone;
  std::optional<Message> read = membership::Read(bytes, settings_.members, &fault);
  if (!read) {
    ++counts_.bad[static_cast<size_t>(fault)];
    return;
  }
  Message& m = *read;
  if (m.from != from) {
    ++counts_.misnumbered;
    return;
  }
  sender.at = now, sender.digest = m.digest;
  if (from == settings_.self) {
    ++counts_.claimed;
    claimed_at_ = now;
    return;
  }
  ++counts_.heard;
  // Where lists of peers differ for a while, what is said of others is no use here, and no fault.
  counts_.beyond += std::erase_if(
      m.updates, [&](const Update& u) { return u.member >= settings_.members || u.by >= settings_.members; });
  for (const Update& update : m.updates) Apply(now, update, out);
  switch (m.kind) {
    case Kind::kPing: {
      Message ack;
      ack.kind = Kind::kAck, ack.sequence = m.sequence, ack.target = settings_.self;
      for (const Update& update : m.updates) {
        Update ours = view_.WordOn(update.member);
        bool newer = std::tie(ours.incarnation, ours.state) > std::tie(update.incarnation, update.state);
        if (newer && update.member != settings_.self) ack.updates.push_back(ours);
      }
      Send(now, m.from, std::move(ack), out);
      Repair(now, m.from, m.digest, out);
      break;
    }
    case Kind::kAck:
      Acked(now, m, out);
      Repair(now, m.from, m.digest, out);
      break;
    case Kind::kAskPing: {
      if (relays_.size() >= kMostRelays || m.target == settings_.self) break;
      Message ping;
      ping.sequence = ++sequence_;
      if (Send(now, m.target, std::move(ping), out))
        relays_.push_back({m.from, m.target, sequence_, m.sequence, now + period_ * 2 / 5});
      break;
    }
    case Kind::kNack:
      if (probe_.out && m.sequence == probe_.sequence) probe_.nacks_due = std::max(0, probe_.nacks_due - 1);
      break;
    case Kind::kDigests: Compare(now, m, out); break;
    case Kind::kEntries: {
      if (m.sequence != 1) break;  // an answer is not answered
      Message newer;
      newer.kind = Kind::kEntries, newer.sequence = 2;
      for (const Update& update : m.updates) {
        Update ours = view_.WordOn(update.member);
        if (ours != update && update.member != settings_.self) newer.updates.push_back(ours);
      }
      if (!newer.updates.empty()) Send(now, m.from, std::move(newer), out);
      break;
    }
  }
}

void Membership::Acked(Micros now, const Message& m, Actions* out) {
  if (probe_.out && m.sequence == probe_.sequence && m.target == probe_.target) {
    probe_.out = false;
    health_ = std::max(0, health_ - 1);
    return;
  }
  for (size_t i = 0; i < relays_.size(); ++i) {
    if (relays_[i].sequence != m.sequence || relays_[i].target != m.from) continue;
    Message ack;
    ack.kind = Kind::kAck, ack.sequence = relays_[i].askers, ack.target = relays_[i].target;
    uint16_t asker = relays_[i].asker;
    relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    Send(now, asker, std::move(ack), out);
    return;
  }
}

void Membership::Repair(Micros now, uint16_t with, uint64_t digest, Actions* out) {
  if (digest == view_.digest() || now < next_repair_) return;
  next_repair_ = now + period_;
  Message digests;
  digests.kind = Kind::kDigests;
  digests.parts.assign(view_.parts().begin(), view_.parts().end());
  if (Send(now, with, std::move(digests), out)) ++counts_.repairs;
}

// Words of one part that differs, from a place in it that chance picks: with several rounds all of it comes.
void Membership::Compare(Micros now, const Message& m, Actions* out) {
  if (m.parts.empty()) return;
  size_t first = Below(kParts);
  for (size_t i = 0; i < kParts; ++i) {
    size_t part = (first + i) % kParts;
    if (m.parts[part] == view_.parts()[part]) continue;
    std::vector<size_t> members;
    for (size_t member = part; member < settings_.members; member += kParts) members.push_back(member);
    Message entries;
    entries.kind = Kind::kEntries, entries.sequence = 1;
    size_t from = Below(members.size());
    for (size_t n = 0; n < std::min(members.size(), UpdatesThatFit(false) - 2); ++n)
      entries.updates.push_back(view_.WordOn(members[(from + n) % members.size()]));
    Send(now, m.from, std::move(entries), out);
    return;
  }
}

bool Membership::Send(Micros now, uint16_t to, Message m, Actions* out) {
  // Nobody sends more than its share, so nobody is sent more on average, whatever goes on.
  tokens_ = std::min(Rate(), tokens_ + Rate() * 1e-6 * static_cast<double>(now - tokens_at_));
  tokens_at_ = now;
  if (tokens_ < 1) {
    ++counts_.paced;
    return false;
  }
  tokens_ -= 1;
  m.from = settings_.self;
  m.digest = view_.digest();
  // Its own word always, and what is believed of the receiver, so that it can refute (Lifeguard's buddy
  // system).
  m.updates.insert(m.updates.begin(), view_.WordOn(settings_.self));
  if (view_.At(to).state != State::kAlive) m.updates.insert(m.updates.begin() + 1, view_.WordOn(to));
  size_t room = UpdatesThatFit(!m.parts.empty());
  if (m.updates.size() < room) {
    for (const Update& update : view_.ToSpread(room - m.updates.size(), Spreads()))
      m.updates.push_back(update);
  }
  ++counts_.sent;
  out->send.push_back({to, Write(m)});
  return true;
}

void Membership::Leave(Micros now, Actions* out) {
  if (left_) return;
  left_ = true;
  probe_.out = false;
  Update self = view_.WordOn(settings_.self);
  self.state = State::kLeft;
  view_.Take(self, now);
  for (uint16_t other : SomeOthers(static_cast<size_t>(Spreads()), -1)) {
    Message ping;
    ping.sequence = ++sequence_;
    Send(now, other, std::move(ping), out);
  }
}

void Membership::Return(Micros now) {
  if (!left_) return;
  left_ = false;
  Refute(now, view_.At(settings_.self).incarnation);
}

void Membership::Resize(Micros now, size_t members) {
  settings_.members = members;
  view_.Resize(members, now);
  last_.resize(members);
  order_.clear();
  turn_ = 0;
  if (probe_.target >= members) probe_.out = false;
  std::erase_if(suspicions_, [&](const auto& one) { return one.first >= members; });
  std::erase_if(relays_, [&](const Relay& r) { return r.asker >= members || r.target >= members; });
}

void Membership::Tell(Micros now, const About& about) {
  if (settings_.about == about) return;
  settings_.about = about;
  if (left_) return;  // said on its return
  Update self = view_.WordOn(settings_.self);
  self.about = about;
  self.incarnation = std::min(kMostIncarnation, self.incarnation + 1);
  view_.Take(self, now);
}

Reading Membership::Read(Micros now) const {
  Micros heard = started_;
  for (size_t m = 0; m < last_.size(); ++m) {
    if (m != settings_.self) heard = std::max(heard, last_[m].at);
  }
  return {Judge(now), now - heard, Agreement(now), view_.Count(State::kAlive) + view_.Count(State::kSuspect)};
}

double Membership::Agreement(Micros now) const {
  size_t lately = 0, same = 0;
  for (size_t m = 0; m < last_.size(); ++m) {
    const Last& last = last_[m];
    if (m == settings_.self || last.at < 0 || last.at + kLately * period_ < now) continue;
    ++lately;
    same += last.digest == view_.digest() ? 1 : 0;
  }
  return lately == 0 ? 0 : static_cast<double>(same) / static_cast<double>(lately);
}

Verdict Membership::Judge(Micros now) const {
  size_t heard_of = 1, expected = 0;
  bool lately = settings_.members == 1;
  for (size_t m = 0; m < settings_.members; ++m) {
    const Entry& e = view_.At(m);
    expected += e.state != State::kLeft ? 1 : 0;
    if (m == settings_.self) continue;
    heard_of += e.state <= State::kSuspect && e.incarnation > 0 ? 1 : 0;
    lately |= last_[m].at >= 0 && last_[m].at + kLately * period_ >= now;
  }
  // Another that speaks with our number is heard in our place: nobody listens to us.
  if (claimed_at_ >= 0 && claimed_at_ + kLately * period_ >= now) return Verdict::kCutOff;
  if (expected <= 1) return Verdict::kConverged;
  bool few = heard_of * 2 <= expected || !lately;
  if (few) return now - started_ < kLately * period_ ? Verdict::kUnknown : Verdict::kCutOff;
  return Agreement(now) >= kAgree ? Verdict::kConverged : Verdict::kDiverged;
}

}  // namespace lemonchute::membership
