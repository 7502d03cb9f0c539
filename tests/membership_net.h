/// The simulation that the membership tests share: members in virtual time over a seeded network in memory
/// that loses, delays, duplicates and reorders datagrams, with partitions, kills, pauses and restarts.
#ifndef LEMONCHUTE_TESTS_MEMBERSHIP_NET_H_
#define LEMONCHUTE_TESTS_MEMBERSHIP_NET_H_

#include <functional>
#include <memory>

#include "membership/membership.h"
#include "virtual_time.h"

namespace lemonchute::membership {

/// The members of a fleet and the network between them.
class SimulatedNetwork : public VirtualTime {
 public:
  struct Member {
    std::unique_ptr<Membership> core;
    bool paused = false;
    uint64_t start_count = 0, scheduled_tick = 0;  // the ticks scheduled so far; only the newest one runs
    std::vector<std::pair<int, std::vector<uint8_t>>> pending;  // arrivals while it was paused: sender, bytes
    std::vector<Micros> recent_arrivals;                        // times, of the last second
    size_t peak_arrivals_per_s = 0;
    uint64_t total_arrivals = 0;
  };
  /// Called for each change in a member's view.
  std::function<void(int observer, const Change& change)> on_change = [](int, const Change&) {};
  /// Whether the link between two members is up.
  std::function<bool(int from, int to)> passes = [](int, int) { return true; };
  double loss_share = 0.08, duplicate_share = 0.02, late_share = 0.02;
  Micros min_delay = 2'000, max_delay = 20'000;

  SimulatedNetwork(size_t count, uint64_t seed) : random_(seed), members(count) {}

  void Start(int m, SoftwareVersion version = {1, 1}) {
    Member& member = members[static_cast<size_t>(m)];
    Settings settings;
    settings.self = static_cast<uint16_t>(m), settings.member_count = members.size(),
    settings.seed = random_();
    settings.version = version;
    member.core = std::make_unique<Membership>(settings, now);
    member.paused = false;
    ++member.start_count;
    ScheduleTick(m);
  }
  void StartAll() {
    for (size_t m = 0; m < members.size(); ++m) Start(static_cast<int>(m));
  }
  void Kill(int m) {
    members[static_cast<size_t>(m)].core.reset();
    members[static_cast<size_t>(m)].pending.clear();
  }
  void Pause(int m) { members[static_cast<size_t>(m)].paused = true; }
  void Resume(int m) {
    Member& member = members[static_cast<size_t>(m)];
    member.paused = false;
    if (member.core == nullptr) return;
    // The timer goes first, since after a pause both the timer and the datagrams are due.
    Execute(m, [&](Actions* out) { member.core->Tick(now, out); });
    auto pending = std::move(member.pending);
    member.pending.clear();
    for (const auto& datagram : pending) {
      Execute(m, [&](Actions* out) { member.core->OnDatagram(now, datagram.first, datagram.second, out); });
    }
  }
  void Execute(int m, const std::function<void(Actions*)>& action) {
    Actions out;
    action(&out);
    for (const Change& change : out.changes) on_change(m, change);
    for (const Datagram& datagram : out.send) Transmit(m, datagram.to, datagram.bytes);
    ScheduleTick(m);
  }
  bool DigestsAgree() const {
    const Membership* first = nullptr;
    for (const Member& member : members) {
      if (member.core == nullptr || member.paused) continue;
      if (first == nullptr) first = member.core.get();
      if (member.core->view().digest() != first->view().digest()) return false;
    }
    return true;
  }
  /// Whether all other running members see the member in that state.
  bool AllSee(int member, State state) const {
    for (size_t m = 0; m < members.size(); ++m) {
      if (static_cast<int>(m) == member || members[m].core == nullptr || members[m].paused) continue;
      if (members[m].core->view().At(static_cast<size_t>(member)).state != state) return false;
    }
    return true;
  }
  size_t longest_datagram() const { return longest_datagram_; }

 private:
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void ScheduleTick(int m) {
    Member& member = members[static_cast<size_t>(m)];
    if (member.core == nullptr) return;
    uint64_t tick = ++member.scheduled_tick, start_count = member.start_count;
    Schedule(member.core->NextTickAt(), [this, m, tick, start_count] {
      Member& target = members[static_cast<size_t>(m)];
      if (target.core == nullptr || target.start_count != start_count || target.scheduled_tick != tick ||
          target.paused)
        return;
      Execute(m, [&](Actions* out) { target.core->Tick(now, out); });
    });
  }
  void Transmit(int from, int to, const std::vector<uint8_t>& bytes) {
    longest_datagram_ = std::max(longest_datagram_, bytes.size());
    if (!passes(from, to) || Uniform() < loss_share) return;
    for (int copies = Uniform() < duplicate_share ? 2 : 1; copies > 0; --copies) {
      auto delay = min_delay + static_cast<Micros>(Uniform() * static_cast<double>(max_delay - min_delay));
      if (Uniform() < late_share) delay *= 10;
      Schedule(now + delay, [this, from, to, bytes] { Deliver(from, to, bytes); });
    }
  }
  void Deliver(int from, int to, const std::vector<uint8_t>& bytes) {
    Member& member = members[static_cast<size_t>(to)];
    if (member.core == nullptr) return;
    ++member.total_arrivals;
    member.recent_arrivals.push_back(now);
    std::erase_if(member.recent_arrivals, [&](Micros at) { return at + kSecond <= now; });
    member.peak_arrivals_per_s = std::max(member.peak_arrivals_per_s, member.recent_arrivals.size());
    if (member.paused) return member.pending.emplace_back(from, bytes), void();
    Execute(to, [&](Actions* out) { member.core->OnDatagram(now, from, bytes, out); });
  }

  std::mt19937_64 random_;
  size_t longest_datagram_ = 0;

 public:
  std::vector<Member> members;
};

}  // namespace lemonchute::membership

#endif  // LEMONCHUTE_TESTS_MEMBERSHIP_NET_H_
