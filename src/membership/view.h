// Owns what one member believes of all: a state, an incarnation and on whose word for each, digests of the
// whole and of its parts, and the words that have still to be spread. Nothing of sending or time-outs.
#ifndef LEMONCHUTE_MEMBERSHIP_VIEW_H_
#define LEMONCHUTE_MEMBERSHIP_VIEW_H_

#include <array>
#include <vector>

#include "membership/message.h"

namespace lemonchute::membership {

using Micros = int64_t;  // of a monotonic clock

struct Entry {
  State state = State::kAlive;
  uint32_t incarnation = 0;  // 0: presumed from the list of peers, nobody has spoken of it
  uint16_t reporter = 0;
  SoftwareVersion version;
  Micros since = 0;  // in that state
};

class View {
 public:
  // All are presumed alive at incarnation 0, as the list of peers names them.
  View(size_t member_count, uint16_t self, Micros now);

  // Another list of peers; `self` is below `members`.
  void Resize(size_t member_count, Micros now);
  // Takes a word where it is newer than what is believed; whether it was. About itself a member is not told
  // here (Membership refutes).
  bool Merge(const Update& update, Micros now);
  const Entry& At(size_t member) const { return entries_[member]; }
  Update UpdateFor(size_t member) const;
  size_t size() const { return entries_.size(); }
  size_t Count(State state) const { return counts_[static_cast<size_t>(state)]; }

  // Equal for views that believe the same. A suspicion is on its way to one of the other states, so it counts
  // as alive here.
  uint64_t digest() const { return digest_; }
  const std::array<uint32_t, kViewParts>& part_digests() const { return part_digests_; }
  static size_t PartOf(size_t member) { return member % kViewParts; }

  // Up to `most` words to spread, those told least often first; each is given out `times` times at most.
  std::vector<Update> TakeGossip(size_t max_updates, int max_transmissions);
  // Another says the same of it: told on with that one's name.
  void Confirm(size_t member, uint16_t reporter);
  // Puts a word back among those to spread.
  void QueueGossip(size_t member);

 private:
  void AddToTotals(size_t member, int sign);

  const uint16_t self_;
  std::vector<Entry> entries_;
  std::array<size_t, 4> counts_{};
  uint64_t digest_ = 0;
  std::array<uint32_t, kViewParts> part_digests_{};
  struct GossipItem {
    uint16_t member = 0;
    int transmissions = 0;
  };
  std::vector<GossipItem> gossip_queue_;
};

}  // namespace lemonchute::membership

#endif  // LEMONCHUTE_MEMBERSHIP_VIEW_H_
