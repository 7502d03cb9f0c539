// Owns the small world that the budget tests share: cores on clocks that drift, over a seeded network in
// memory that loses, delays, doubles and reorders, with cuts, kills, stops and restarts. After each event the
// sum of what all may use is held against the whole.
#ifndef LEMONCHUTE_TESTS_BUDGET_WORLD_H_
#define LEMONCHUTE_TESTS_BUDGET_WORLD_H_

#include <functional>
#include <memory>
#include <sstream>

#include "budget/hierarchical_budgets.h"
#include "virtual_time.h"

namespace lemonchute::budget {

template <typename Core>
class BasicWorld : public VirtualTime {
 public:
  struct Process {
    std::unique_ptr<Core> core;
    bool stopped = false;
    uint64_t planned = 0, incarnation = 0;
    double rate = 1;  // of its clock
    Micros shift = 0;
    std::vector<std::pair<uint16_t, Message>> waiting;
  };
  std::function<bool(int from, int to)> passes = [](int, int) { return true; };
  double loss = 0.08, doubled = 0.02, late = 0.02;
  Settings form;  // of each; self, life and seed are its own
  std::vector<Process> processes;
  uint64_t over = 0, sent = 0, bytes = 0;
  bool look_each = true;  // after each event; else with each step of Run alone
  std::string first_over;

  // One process's core, from the form of all.
  std::function<std::unique_ptr<Core>(const Settings&, Micros now)> make;

  BasicWorld(size_t count, uint64_t seed) : processes(count), random_(seed) {
    for (Process& p : processes)
      p.rate = 1 - kMaxClockDrift + 2 * kMaxClockDrift * Uniform(), p.shift = Below(1000 * kSecond);
  }
  Micros Clock(const Process& p) const {
    return p.shift + static_cast<Micros>(static_cast<double>(now) * p.rate);
  }
  void Start(int n) {
    Process& p = processes[static_cast<size_t>(n)];
    Settings settings = form;
    settings.self = static_cast<uint16_t>(n), settings.seed = random_();
    settings.incarnation = static_cast<uint32_t>(random_() | 1);
    p.core = make(settings, Clock(p));
    p.stopped = false, p.waiting.clear();
    ++p.incarnation;
    Plan(n);
  }
  void StartAll() {
    for (size_t n = 0; n < processes.size(); ++n) Start(static_cast<int>(n));
  }
  void Kill(int n) { processes[static_cast<size_t>(n)].core.reset(); }
  void Stop(int n) { processes[static_cast<size_t>(n)].stopped = true; }
  void GoOn(int n) {
    Process& p = processes[static_cast<size_t>(n)];
    p.stopped = false;
    if (!p.core) return;
    auto waiting = std::move(p.waiting);
    p.waiting.clear();
    for (auto& [from, m] : waiting)
      Do(n, [&](OutgoingMessages* out) { p.core->OnMessage(Clock(p), from, m, out); });
    Plan(n);
  }
  void Do(int n, const std::function<void(OutgoingMessages*)>& what) {
    OutgoingMessages out;
    what(&out);
    for (Outgoing& o : out) Carry(n, o);
    Plan(n);
    if (look_each) Look();
  }
  void SetDemand(int n, uint32_t budget, uint32_t grains) {
    Process& p = processes[static_cast<size_t>(n)];
    if (p.core && !p.stopped) Do(n, [&](OutgoingMessages*) { p.core->SetDemand(budget, grains); });
  }
  // Of all that have not died, the stopped too: they may go on at any moment.
  uint64_t Sum(uint32_t budget) const {
    uint64_t sum = 0;
    for (const Process& p : processes) sum += p.core ? p.core->Usable(Clock(p), budget) : 0;
    return sum;
  }
  int Arbiters() const {
    int found = 0;
    for (const Process& p : processes) found += p.core && p.core->IsLeader(Clock(p)) ? 1 : 0;
    return found;
  }
  uint64_t Below(uint64_t n) { return random_() % n; }

 private:
  void OnRunEnd() override { Look(); }
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void Look() {
    for (const BudgetSpec& spec : form.budgets) {
      uint64_t sum = Sum(spec.id);
      if (sum <= spec.total) continue;
      if (over++ == 0) {
        std::ostringstream what;
        what << "budget " << spec.id << ": " << sum << " of " << spec.total << " at " << now;
        first_over = what.str();
      }
    }
    if (Arbiters() > 1 && over++ == 0) first_over = "two arbiters at " + std::to_string(now);
  }
  void Plan(int n) {
    Process& p = processes[static_cast<size_t>(n)];
    if (!p.core) return;
    uint64_t plan = ++p.planned, incarnation = p.incarnation;
    Micros next = p.core->NextTickAt();
    if (next == INT64_MAX) return;
    auto wait = std::max<Micros>(1, static_cast<Micros>(static_cast<double>(next - Clock(p)) / p.rate) + 1);
    Schedule(now + wait, [this, n, plan, incarnation] {
      Process& later = processes[static_cast<size_t>(n)];
      if (!later.core || later.incarnation != incarnation || later.planned != plan || later.stopped) return;
      Do(n, [&](OutgoingMessages* out) { later.core->Tick(Clock(later), out); });
    });
  }
  void Carry(int from, const Outgoing& o) {
    ++sent;
    // As it goes over the wire.
    std::vector<uint8_t> written = Encode(o.message);
    bytes += written.size();
    std::optional<Message> read = budget::Decode(written);
    if (!read || !passes(from, o.to) || Uniform() < loss) return;
    for (int copies = Uniform() < doubled ? 2 : 1; copies > 0; --copies) {
      Micros delay = 2'000 + static_cast<Micros>(Below(18'000));
      if (Uniform() < late) delay *= 100;
      Schedule(now + delay, [this, from, to = o.to, m = *read] {
        Process& p = processes[to];
        if (!p.core) return;
        if (p.stopped) return p.waiting.emplace_back(static_cast<uint16_t>(from), m), void();
        Do(to,
           [&](OutgoingMessages* out) { p.core->OnMessage(Clock(p), static_cast<uint16_t>(from), m, out); });
      });
    }
  }

  std::mt19937_64 random_;
};

class World : public BasicWorld<Budgets> {
 public:
  World(size_t count, uint64_t seed) : BasicWorld(count, seed) {
    make = [](const Settings& s, Micros at) { return std::make_unique<Budgets>(s, at); };
  }
};

// Two levels.
class FleetWorld : public BasicWorld<HierarchicalBudgets> {
 public:
  FleetWorld(size_t count, uint64_t seed, uint16_t group_size) : BasicWorld(count, seed) {
    make = [count, group_size](const Settings& s, Micros at) {
      HierarchicalSettings settings;
      settings.self = s.self, settings.member_count = static_cast<uint16_t>(count),
      settings.incarnation = s.incarnation;
      settings.budgets = s.budgets, settings.seed = s.seed, settings.group_size = group_size;
      return std::make_unique<HierarchicalBudgets>(settings, at);
    };
  }
};

// A whole of `whole` grains over that many numbers, half of it floors; the first `voters` of them vote.
inline Settings FormOf(uint16_t count, uint16_t voters, std::vector<uint32_t> wholes) {
  Settings form;
  for (uint16_t v = 0; v < std::min(voters, count); ++v) form.voters.push_back(v);
  uint32_t id = 0;
  for (uint32_t total : wholes) form.budgets.push_back({++id, total, total / 2 / count, count});
  return form;
}

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_TESTS_BUDGET_WORLD_H_
