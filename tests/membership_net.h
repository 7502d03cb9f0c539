// Owns the small world that the membership tests share: cores on a manual clock, over a seeded network in
// memory that loses, delays, doubles and reorders datagrams, with cuts, kills, stops and restarts.
#ifndef LEMONCHUTE_TESTS_MEMBERSHIP_NET_H_
#define LEMONCHUTE_TESTS_MEMBERSHIP_NET_H_

#include <functional>
#include <memory>

#include "membership/membership.h"
#include "virtual_time.h"

namespace lemonchute::membership {

class Net : public VirtualTime {
 public:
  struct Member {
    std::unique_ptr<Membership> core;
    bool stopped = false;
    uint64_t life = 0, planned = 0;                             // planned: the newest of its ticks
    std::vector<std::pair<int, std::vector<uint8_t>>> waiting;  // what came while it was stopped
    std::vector<Micros> in;                                     // arrivals, of the last second
    size_t peak_in = 0;
    uint64_t all_in = 0;
  };
  // Called for each change that a member sees.
  std::function<void(int at, const Change& change)> on_change = [](int, const Change&) {};
  // Whether a datagram passes at all.
  std::function<bool(int from, int to)> passes = [](int, int) { return true; };
  double loss = 0.08, doubled = 0.02, late = 0.02;
  Micros least_delay = 2'000, most_delay = 20'000;

  Net(size_t count, uint64_t seed) : random_(seed), members(count) {}

  void Start(int m, SoftwareVersion version = {1, 1}) {
    Member& one = members[static_cast<size_t>(m)];
    Settings settings;
    settings.self = static_cast<uint16_t>(m), settings.member_count = members.size(),
    settings.seed = random_();
    settings.version = version;
    one.core = std::make_unique<Membership>(settings, now);
    one.stopped = false;
    ++one.life;
    Plan(m);
  }
  void StartAll() {
    for (size_t m = 0; m < members.size(); ++m) Start(static_cast<int>(m));
  }
  void Kill(int m) {
    members[static_cast<size_t>(m)].core.reset();
    members[static_cast<size_t>(m)].waiting.clear();
  }
  void Stop(int m) { members[static_cast<size_t>(m)].stopped = true; }
  void GoOn(int m) {
    Member& one = members[static_cast<size_t>(m)];
    one.stopped = false;
    if (one.core == nullptr) return;
    // The timer is seen first, as after a stop both are due.
    Do(m, [&](Actions* out) { one.core->Tick(now, out); });
    auto waiting = std::move(one.waiting);
    one.waiting.clear();
    for (const auto& datagram : waiting) {
      Do(m, [&](Actions* out) { one.core->OnDatagram(now, datagram.first, datagram.second, out); });
    }
  }
  void Do(int m, const std::function<void(Actions*)>& what) {
    Actions out;
    what(&out);
    for (const Change& change : out.changes) on_change(m, change);
    for (const Datagram& datagram : out.send) Carry(m, datagram.to, datagram.bytes);
    Plan(m);
  }
  bool OneDigest() const {
    const Membership* first = nullptr;
    for (const Member& m : members) {
      if (m.core == nullptr || m.stopped) continue;
      if (first == nullptr) first = m.core.get();
      if (m.core->view().digest() != first->view().digest()) return false;
    }
    return true;
  }
  // All that run believe that of `member`.
  bool All(int member, State state) const {
    for (size_t m = 0; m < members.size(); ++m) {
      if (static_cast<int>(m) == member || members[m].core == nullptr || members[m].stopped) continue;
      if (members[m].core->view().At(static_cast<size_t>(member)).state != state) return false;
    }
    return true;
  }
  size_t longest() const { return longest_; }

 private:
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void Plan(int m) {
    Member& one = members[static_cast<size_t>(m)];
    if (one.core == nullptr) return;
    uint64_t plan = ++one.planned, life = one.life;
    Schedule(one.core->NextTickAt(), [this, m, plan, life] {
      Member& later = members[static_cast<size_t>(m)];
      if (later.core == nullptr || later.life != life || later.planned != plan || later.stopped) return;
      Do(m, [&](Actions* out) { later.core->Tick(now, out); });
    });
  }
  void Carry(int from, int to, const std::vector<uint8_t>& bytes) {
    longest_ = std::max(longest_, bytes.size());
    if (!passes(from, to) || Uniform() < loss) return;
    for (int copies = Uniform() < doubled ? 2 : 1; copies > 0; --copies) {
      auto delay =
          least_delay + static_cast<Micros>(Uniform() * static_cast<double>(most_delay - least_delay));
      if (Uniform() < late) delay *= 10;
      Schedule(now + delay, [this, from, to, bytes] { Arrive(from, to, bytes); });
    }
  }
  void Arrive(int from, int to, const std::vector<uint8_t>& bytes) {
    Member& one = members[static_cast<size_t>(to)];
    if (one.core == nullptr) return;
    ++one.all_in;
    one.in.push_back(now);
    std::erase_if(one.in, [&](Micros at) { return at + kSecond <= now; });
    one.peak_in = std::max(one.peak_in, one.in.size());
    if (one.stopped) return one.waiting.emplace_back(from, bytes), void();
    Do(to, [&](Actions* out) { one.core->OnDatagram(now, from, bytes, out); });
  }

  std::mt19937_64 random_;
  size_t longest_ = 0;

 public:
  std::vector<Member> members;
};

}  // namespace lemonchute::membership

#endif  // LEMONCHUTE_TESTS_MEMBERSHIP_NET_H_
