// Handles messages: merges the updates of other members into the view and gossips its own.
#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lemonchute::membership {
namespace {

// Average datagrams per member and period: ping and ack in both directions, indirect probes and a digest
// exchange.
constexpr double kMessagesPerPeriod = 6;
constexpr int kGossipFactor = 4;   // transmissions of an update, in units of log10 of the fleet's size
constexpr size_t kMaxRelays = 32;  // pings in flight on behalf of other members
// The share of this member's rate that one sender may use; at least half is left for the others.
constexpr double kMaxSenderShare = 0.5;
constexpr uint32_t kEntriesRequest = 1, kEntriesAnswer = 2;  // `sequence` of a kEntries message

}  // namespace

Membership::Membership(const Settings& settings, Micros now)
    : settings_(settings),
      period_(static_cast<Micros>(1e6 * kMessagesPerPeriod /
                                  (settings.receive_limit_per_s * settings.rate_share))),
      started_(now),
      view_(settings.member_count, settings.self, now),
      random_(settings.seed),
      peer_records_(settings.member_count),
      tokens_(RatePerS()),
      tokens_at_(now) {
  // A random phase, so that members that start at the same time don't probe at the same time.
  next_period_ = now + static_cast<Micros>(RandomBelow(static_cast<size_t>(period_)));
  view_.Merge({settings.self, State::kAlive, settings.self, 1, settings.version}, now);
}

size_t Membership::RandomBelow(size_t n) { return n == 0 ? 0 : static_cast<size_t>(random_() % n); }

bool Membership::IsPresent(size_t member) const { return view_.At(member).state <= State::kSuspect; }

int Membership::GossipTransmitLimit() const {
  return kGossipFactor *
         static_cast<int>(std::ceil(std::log10(static_cast<double>(settings_.member_count) + 1)));
}

void Membership::Refute(Micros now, uint32_t incarnation) {
  if (has_left_) return;
  Update self = view_.UpdateFor(settings_.self);
  self.incarnation = std::min(kMaxIncarnation, incarnation + 1);
  self.state = State::kAlive;
  self.version = settings_.version;
  ++counts_.refutations;
  view_.Merge(self, now);
}

void Membership::Apply(Micros now, const Update& update, Actions* out) {
  if (update.member == settings_.self) {
    const Entry& self = view_.At(settings_.self);
    bool accused = update.state != State::kAlive && update.incarnation >= self.incarnation;
    // An earlier run of this member, or another process that uses its number.
    bool conflicting = update.incarnation > self.incarnation ||
                       (update.incarnation == self.incarnation && update.version != self.version);
    if (update.state == State::kSuspect && accused) health_ = std::min(kMaxHealth, health_ + 1);
    if (accused || conflicting) Refute(now, update.incarnation);
    return;
  }
  const Entry before = view_.At(update.member);
  bool newer = view_.Merge(update, now);
  if (newer && before.state != update.state)
    out->changes.push_back({update.member, before.state, update.state, update.incarnation, update.reporter});
  const Entry& after = view_.At(update.member);
  if (after.state != State::kSuspect) {
    suspicions_.erase(update.member);
    return;
  }
  if (update.state != State::kSuspect || update.incarnation != after.incarnation) return;
  auto [suspicion, inserted] = suspicions_.try_emplace(update.member, Suspicion{now, {}, 0});
  if (newer) suspicion->second = {now, {}, 0};
  // The first confirmations are gossiped too, since each shortens the suspicion.
  bool confirms = suspicion->second.reporters.size() <= kMaxConfirmations &&
                  suspicion->second.reporters.insert(update.reporter).second;
  if (confirms && !newer) view_.Confirm(update.member, update.reporter);
}

bool Membership::ExceedsSenderRate(Micros now, PeerRecord* sender) const {
  double gained = kMaxSenderShare * RatePerS() * 1e-6 * static_cast<double>(now - sender->tokens_at);
  sender->tokens = sender->received_at < 0 ? RatePerS() : std::min(RatePerS(), sender->tokens + gained);
  sender->tokens_at = now;
  if (sender->tokens < 1) return true;
  sender->tokens -= 1;
  return false;
}

void Membership::OnDatagram(Micros now, int from, std::span<const uint8_t> bytes, Actions* out) {
  if (from < 0 || from >= static_cast<int>(settings_.member_count)) {
    ++counts_.unknown_senders;
    return;
  }
  PeerRecord& sender = peer_records_[static_cast<size_t>(from)];
  if (ExceedsSenderRate(now, &sender)) {
    ++counts_.over_sender_rate;
    return;
  }
  DecodeError error = DecodeError::kNone;
  std::optional<Message> decoded = membership::Decode(bytes, settings_.member_count, &error);
  if (!decoded) {
    ++counts_.malformed[static_cast<size_t>(error)];
    return;
  }
  Message& message = *decoded;
  if (message.from != from) {
    ++counts_.sender_mismatches;
    return;
  }
  sender.received_at = now;
  sender.digest = message.digest;
  if (from == settings_.self) {
    ++counts_.impersonations;
    impersonated_at_ = now;
    return;
  }
  ++counts_.received;
  // Peer lists may differ during a reload, so updates about unknown members are dropped.
  counts_.unknown_members += std::erase_if(message.updates, [&](const Update& u) {
    return u.member >= settings_.member_count || u.reporter >= settings_.member_count;
  });
  for (const Update& update : message.updates) Apply(now, update, out);
  HandleMessage(now, message, out);
}

void Membership::HandleMessage(Micros now, const Message& message, Actions* out) {
  switch (message.kind) {
    case Kind::kPing: HandlePing(now, message, out); break;
    case Kind::kAck:
      HandleAck(now, message, out);
      SendDigests(now, message.from, message.digest, out);
      break;
    case Kind::kPingRequest: HandlePingRequest(now, message, out); break;
    case Kind::kNack:
      if (probe_.in_flight && message.sequence == probe_.sequence) {
        probe_.nacks_outstanding = std::max(0, probe_.nacks_outstanding - 1);
      }
      break;
    case Kind::kDigests: HandleDigests(now, message, out); break;
    case Kind::kEntries: HandleEntries(now, message, out); break;
  }
}

// The ack carries the entries that are newer here than the ping's updates.
void Membership::HandlePing(Micros now, const Message& ping, Actions* out) {
  Message ack;
  ack.kind = Kind::kAck;
  ack.sequence = ping.sequence;
  ack.target = settings_.self;
  for (const Update& update : ping.updates) {
    Update ours = view_.UpdateFor(update.member);
    const bool newer = std::tie(ours.incarnation, ours.state) > std::tie(update.incarnation, update.state);
    if (newer && update.member != settings_.self) ack.updates.push_back(ours);
  }
  Send(now, ping.from, std::move(ack), out);
  SendDigests(now, ping.from, ping.digest, out);
}

// An indirect probe: pings the target on behalf of the requester.
void Membership::HandlePingRequest(Micros now, const Message& request, Actions* out) {
  if (relays_.size() >= kMaxRelays || request.target == settings_.self) return;
  Message ping;
  ping.sequence = ++sequence_;
  if (!Send(now, request.target, std::move(ping), out)) return;
  relays_.push_back({request.from, request.target, sequence_, request.sequence, now + period_ * 2 / 5});
}

// Answers a request with the entries that differ here. Answers are not answered.
void Membership::HandleEntries(Micros now, const Message& entries, Actions* out) {
  if (entries.sequence != kEntriesRequest) return;
  Message answer;
  answer.kind = Kind::kEntries;
  answer.sequence = kEntriesAnswer;
  for (const Update& update : entries.updates) {
    Update ours = view_.UpdateFor(update.member);
    if (ours != update && update.member != settings_.self) answer.updates.push_back(ours);
  }
  if (!answer.updates.empty()) Send(now, entries.from, std::move(answer), out);
}

void Membership::SendDigests(Micros now, uint16_t peer, uint64_t peer_digest, Actions* out) {
  if (peer_digest == view_.digest() || now < next_repair_) return;
  next_repair_ = now + period_;
  Message digests;
  digests.kind = Kind::kDigests;
  digests.part_digests.assign(view_.part_digests().begin(), view_.part_digests().end());
  if (Send(now, peer, std::move(digests), out)) ++counts_.repairs;
}

// Sends entries of one differing part, starting at a random offset so that repeated rounds cover the part.
void Membership::HandleDigests(Micros now, const Message& message, Actions* out) {
  if (message.part_digests.empty()) return;
  size_t first = RandomBelow(kViewParts);
  for (size_t i = 0; i < kViewParts; ++i) {
    size_t part = (first + i) % kViewParts;
    if (message.part_digests[part] == view_.part_digests()[part]) continue;
    std::vector<size_t> members;
    for (size_t member = part; member < settings_.member_count; member += kViewParts)
      members.push_back(member);
    Message entries;
    entries.kind = Kind::kEntries;
    entries.sequence = kEntriesRequest;
    size_t from = RandomBelow(members.size());
    for (size_t n = 0; n < std::min(members.size(), UpdatesThatFit(false) - 2); ++n)
      entries.updates.push_back(view_.UpdateFor(members[(from + n) % members.size()]));
    Send(now, message.from, std::move(entries), out);
    return;
  }
}

bool Membership::Send(Micros now, uint16_t to, Message message, Actions* out) {
  // Every member limits what it sends, so that on average none receives more than that rate.
  tokens_ = std::min(RatePerS(), tokens_ + RatePerS() * 1e-6 * static_cast<double>(now - tokens_at_));
  tokens_at_ = now;
  if (tokens_ < 1) {
    ++counts_.rate_limited;
    return false;
  }
  tokens_ -= 1;
  message.from = settings_.self;
  message.digest = view_.digest();
  // Always includes our own state, and the receiver's unless it is alive, so that it can refute (Lifeguard's
  // buddy system).
  message.updates.insert(message.updates.begin(), view_.UpdateFor(settings_.self));
  if (view_.At(to).state != State::kAlive)
    message.updates.insert(message.updates.begin() + 1, view_.UpdateFor(to));
  size_t room = UpdatesThatFit(!message.part_digests.empty());
  if (message.updates.size() < room) {
    for (const Update& update : view_.TakeGossip(room - message.updates.size(), GossipTransmitLimit()))
      message.updates.push_back(update);
  }
  ++counts_.sent;
  out->send.push_back({to, Encode(message)});
  return true;
}

void Membership::Leave(Micros now, Actions* out) {
  if (has_left_) return;
  has_left_ = true;
  probe_.in_flight = false;
  Update self = view_.UpdateFor(settings_.self);
  self.state = State::kLeft;
  view_.Merge(self, now);
  for (uint16_t other : RandomPeers(static_cast<size_t>(GossipTransmitLimit()), -1)) {
    Message ping;
    ping.sequence = ++sequence_;
    Send(now, other, std::move(ping), out);
  }
}

void Membership::Rejoin(Micros now) {
  if (!has_left_) return;
  has_left_ = false;
  Refute(now, view_.At(settings_.self).incarnation);
}

void Membership::Resize(Micros now, size_t member_count) {
  settings_.member_count = member_count;
  view_.Resize(member_count, now);
  peer_records_.resize(member_count);
  probe_order_.clear();
  next_target_ = 0;
  if (probe_.target >= member_count) probe_.in_flight = false;
  std::erase_if(suspicions_, [&](const auto& one) { return one.first >= member_count; });
  std::erase_if(relays_,
                [&](const Relay& r) { return r.requester >= member_count || r.target >= member_count; });
}

void Membership::SetVersion(Micros now, const SoftwareVersion& version) {
  if (settings_.version == version) return;
  settings_.version = version;
  if (has_left_) return;  // announced by Rejoin
  Update self = view_.UpdateFor(settings_.self);
  self.version = version;
  self.incarnation = std::min(kMaxIncarnation, self.incarnation + 1);
  view_.Merge(self, now);
}

}  // namespace lemonchute::membership
