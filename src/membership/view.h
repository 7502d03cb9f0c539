/// One member's view of the fleet: state, incarnation and reporter of each member, digests of the whole and
/// of its parts, and the queue of updates to gossip. Sending and timeouts are in Membership.
#ifndef LEMONCHUTE_MEMBERSHIP_VIEW_H_
#define LEMONCHUTE_MEMBERSHIP_VIEW_H_

#include <array>
#include <vector>

#include "membership/message.h"

namespace lemonchute::membership {

using Micros = int64_t;  // microseconds of a monotonic clock

/// What is believed about one member.
struct Entry {
  State state = State::kAlive;
  uint32_t incarnation = 0;  ///< 0: presumed from the peer list, no update yet.
  uint16_t reporter = 0;
  SoftwareVersion version;
  Micros since = 0;  ///< When the state began.
};

/// The entries of all members. A member alone decides on its own entry; Membership refutes other claims.
class View {
 public:
  /// All members of the peer list are presumed alive at incarnation 0.
  View(size_t member_count, uint16_t self, Micros now);

  /// Applies a new length of the peer list; `self` has to be below it.
  void Resize(size_t member_count, Micros now);
  /// Applies an update if it is newer than the entry, and queues it for gossip.
  /// @return whether it was newer.
  bool Merge(const Update& update, Micros now);
  const Entry& At(size_t member) const { return entries_[member]; }
  Update UpdateFor(size_t member) const;
  size_t size() const { return entries_.size(); }
  size_t Count(State state) const { return counts_[static_cast<size_t>(state)]; }

  /// Equal for equal views. Suspicions are transient, so a suspect counts as alive here.
  uint64_t digest() const { return digest_; }
  const std::array<uint32_t, kViewParts>& part_digests() const { return part_digests_; }
  static size_t PartOf(size_t member) { return member % kViewParts; }

  /// Takes updates to gossip, least transmitted first; one that has been taken `max_transmissions` times
  /// leaves the queue.
  std::vector<Update> TakeGossip(size_t max_updates, int max_transmissions);
  /// Records another reporter of the same state, and gossips the entry under its name.
  void Confirm(size_t member, uint16_t reporter);
  /// Queues a member's entry for gossip, with no transmissions yet.
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
