// A digest is the sum of the hashes of its entries, so that a changed entry costs two additions.
#include "membership/view.h"

#include <algorithm>

namespace lemonchute::membership {
namespace {

// The finalizer of splitmix64 (Steele, Lea, Flood 2014): every bit of the input affects every bit of the
// result.
uint64_t Mix(uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

uint64_t HashEntry(size_t member, const Entry& entry) {
  State state = entry.state == State::kSuspect ? State::kAlive : entry.state;
  uint64_t member_hash = Mix((static_cast<uint64_t>(member) << 8) ^ static_cast<uint64_t>(state));
  return Mix(member_hash ^ (static_cast<uint64_t>(entry.version.program) << 32) ^ entry.version.config);
}

}  // namespace

View::View(size_t member_count, uint16_t self, Micros now) : self_(self) { Resize(member_count, now); }

void View::Resize(size_t member_count, Micros now) {
  size_t old_count = entries_.size();
  for (size_t m = member_count; m < old_count; ++m) AddToTotals(m, -1);
  std::erase_if(gossip_queue_, [&](const GossipItem& r) { return r.member >= member_count; });
  entries_.resize(member_count);
  for (size_t m = old_count; m < member_count; ++m) {
    entries_[m].reporter = self_, entries_[m].since = now;
    AddToTotals(m, 1);
  }
}

void View::AddToTotals(size_t member, int sign) {
  const Entry& entry = entries_[member];
  uint64_t hash = HashEntry(member, entry);
  counts_[static_cast<size_t>(entry.state)] += static_cast<size_t>(sign);
  digest_ += sign > 0 ? hash : 0 - hash;
  uint32_t& part = part_digests_[PartOf(member)];
  auto low = static_cast<uint32_t>(hash);
  part += sign > 0 ? low : 0 - low;
}

bool View::Merge(const Update& update, Micros now) {
  Entry& entry = entries_[update.member];
  bool newer = update.incarnation != entry.incarnation ? update.incarnation > entry.incarnation
               : update.state != entry.state           ? update.state > entry.state
                                                       : update.version > entry.version;
  if (!newer) return false;
  AddToTotals(update.member, -1);
  if (update.state != entry.state) entry.since = now;
  entry.state = update.state, entry.incarnation = update.incarnation, entry.reporter = update.reporter;
  entry.version = update.version;
  AddToTotals(update.member, 1);
  QueueGossip(update.member);
  return true;
}

Update View::UpdateFor(size_t member) const {
  const Entry& entry = entries_[member];
  return {static_cast<uint16_t>(member), entry.state, entry.reporter, entry.incarnation, entry.version};
}

void View::Confirm(size_t member, uint16_t reporter) {
  entries_[member].reporter = reporter;
  QueueGossip(member);
}

void View::QueueGossip(size_t member) {
  std::erase_if(gossip_queue_, [&](const GossipItem& r) { return r.member == member; });
  gossip_queue_.push_back({static_cast<uint16_t>(member), 0});
}

std::vector<Update> View::TakeGossip(size_t max_updates, int max_transmissions) {
  size_t count = std::min(max_updates, gossip_queue_.size());
  std::partial_sort(gossip_queue_.begin(), gossip_queue_.begin() + static_cast<std::ptrdiff_t>(count),
                    gossip_queue_.end(), [](const GossipItem& a, const GossipItem& b) {
                      return a.transmissions != b.transmissions ? a.transmissions < b.transmissions
                                                                : a.member < b.member;
                    });
  std::vector<Update> updates;
  for (size_t i = 0; i < count; ++i) {
    updates.push_back(UpdateFor(gossip_queue_[i].member));
    ++gossip_queue_[i].transmissions;
  }
  std::erase_if(gossip_queue_, [&](const GossipItem& r) { return r.transmissions >= max_transmissions; });
  return updates;
}

}  // namespace lemonchute::membership
