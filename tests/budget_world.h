/// The simulation that the budget tests share: processes on drifting clocks over a seeded network in memory
/// that loses, delays, duplicates and reorders messages, with partitions, kills, pauses and restarts. After
/// each event the sum of what all processes may use is checked against the total.
#ifndef LEMONCHUTE_TESTS_BUDGET_WORLD_H_
#define LEMONCHUTE_TESTS_BUDGET_WORLD_H_

#include <functional>
#include <memory>
#include <sstream>

#include "budget/hierarchical_budgets.h"
#include "virtual_time.h"

namespace lemonchute::budget {

/// @tparam Core Budgets or HierarchicalBudgets.
template <typename Core>
class BasicSimulation : public VirtualTime {
 public:
  struct Process {
    std::unique_ptr<Core> core;
    bool paused = false;
    uint64_t scheduled_tick = 0, incarnation = 0;
    double clock_rate = 1;  // of its clock, relative to true time
    Micros clock_offset = 0;
    std::vector<std::pair<uint16_t, Message>> pending;
  };
  std::function<bool(int from, int to)> passes = [](int, int) { return true; };
  double loss_share = 0.08, duplicate_share = 0.02, late_share = 0.02;
  Settings process_settings;  // shared; `self`, `incarnation` and `seed` are set for each process
  std::vector<Process> processes;
  uint64_t violations = 0, sent = 0, bytes = 0;
  bool check_each_event = true;  // otherwise only at the end of each Run
  std::string first_violation;

  /// Creates the core of one process.
  std::function<std::unique_ptr<Core>(const Settings&, Micros now)> make_core;

  BasicSimulation(size_t count, uint64_t seed) : processes(count), random_(seed) {
    for (Process& process : processes)
      process.clock_rate = 1 - kMaxClockDrift + 2 * kMaxClockDrift * Uniform(),
      process.clock_offset = RandomBelow(1000 * kSecond);
  }
  Micros Clock(const Process& process) const {
    return process.clock_offset + static_cast<Micros>(static_cast<double>(now) * process.clock_rate);
  }
  void Start(int n) {
    Process& process = processes[static_cast<size_t>(n)];
    Settings settings = process_settings;
    settings.self = static_cast<uint16_t>(n), settings.seed = random_();
    settings.incarnation = static_cast<uint32_t>(random_() | 1);
    process.core = make_core(settings, Clock(process));
    process.paused = false, process.pending.clear();
    ++process.incarnation;
    ScheduleTick(n);
  }
  void StartAll() {
    for (size_t n = 0; n < processes.size(); ++n) Start(static_cast<int>(n));
  }
  void Kill(int n) { processes[static_cast<size_t>(n)].core.reset(); }
  void Pause(int n) { processes[static_cast<size_t>(n)].paused = true; }
  void Resume(int n) {
    Process& process = processes[static_cast<size_t>(n)];
    process.paused = false;
    if (!process.core) return;
    auto pending = std::move(process.pending);
    process.pending.clear();
    for (auto& [from, message] : pending)
      Execute(n, [&](OutgoingMessages* out) { process.core->OnMessage(Clock(process), from, message, out); });
    ScheduleTick(n);
  }
  void Execute(int n, const std::function<void(OutgoingMessages*)>& action) {
    OutgoingMessages out;
    action(&out);
    for (Outgoing& outgoing : out) Transmit(n, outgoing);
    ScheduleTick(n);
    if (check_each_event) CheckInvariants();
  }
  void SetDemand(int n, uint32_t budget, uint32_t grains) {
    Process& process = processes[static_cast<size_t>(n)];
    if (process.core && !process.paused)
      Execute(n, [&](OutgoingMessages*) { process.core->SetDemand(budget, grains); });
  }
  /// What all processes that were not killed may use. Paused ones count, as they may resume at any moment.
  uint64_t TotalUsable(uint32_t budget) const {
    uint64_t sum = 0;
    for (const Process& process : processes)
      sum += process.core ? process.core->Usable(Clock(process), budget) : 0;
    return sum;
  }
  int LeaderCount() const {
    int leaders = 0;
    for (const Process& process : processes)
      leaders += process.core && process.core->IsLeader(Clock(process)) ? 1 : 0;
    return leaders;
  }
  uint64_t RandomBelow(uint64_t n) { return random_() % n; }

 private:
  void OnRunEnd() override { CheckInvariants(); }
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void CheckInvariants() {
    for (const BudgetSpec& spec : process_settings.budgets) {
      uint64_t sum = TotalUsable(spec.id);
      if (sum <= spec.total) continue;
      if (violations++ == 0) {
        std::ostringstream description;
        description << "budget " << spec.id << ": " << sum << " of " << spec.total << " at " << now;
        first_violation = description.str();
      }
    }
    if (LeaderCount() > 1 && violations++ == 0) first_violation = "two leaders at " + std::to_string(now);
  }
  void ScheduleTick(int n) {
    Process& process = processes[static_cast<size_t>(n)];
    if (!process.core) return;
    uint64_t tick = ++process.scheduled_tick, incarnation = process.incarnation;
    Micros next = process.core->NextTickAt();
    if (next == INT64_MAX) return;
    auto wait = std::max<Micros>(
        1, static_cast<Micros>(static_cast<double>(next - Clock(process)) / process.clock_rate) + 1);
    Schedule(now + wait, [this, n, tick, incarnation] {
      Process& target = processes[static_cast<size_t>(n)];
      if (!target.core || target.incarnation != incarnation || target.scheduled_tick != tick || target.paused)
        return;
      Execute(n, [&](OutgoingMessages* out) { target.core->Tick(Clock(target), out); });
    });
  }
  void Transmit(int from, const Outgoing& outgoing) {
    ++sent;
    // Delivered as decoded from its encoding, as on the wire.
    std::vector<uint8_t> encoded = Encode(outgoing.message);
    bytes += encoded.size();
    std::optional<Message> decoded = budget::Decode(encoded);
    if (!decoded || !passes(from, outgoing.to) || Uniform() < loss_share) return;
    for (int copies = Uniform() < duplicate_share ? 2 : 1; copies > 0; --copies) {
      Micros delay = 2'000 + static_cast<Micros>(RandomBelow(18'000));
      if (Uniform() < late_share) delay *= 100;
      Schedule(now + delay, [this, from, to = outgoing.to, message = *decoded] {
        Process& process = processes[to];
        if (!process.core) return;
        if (process.paused) return process.pending.emplace_back(static_cast<uint16_t>(from), message), void();
        Execute(to, [&](OutgoingMessages* out) {
          process.core->OnMessage(Clock(process), static_cast<uint16_t>(from), message, out);
        });
      });
    }
  }

  std::mt19937_64 random_;
};

class BudgetSimulation : public BasicSimulation<Budgets> {
 public:
  BudgetSimulation(size_t count, uint64_t seed) : BasicSimulation(count, seed) {
    make_core = [](const Settings& base, Micros clock_now) {
      return std::make_unique<Budgets>(base, clock_now);
    };
  }
};

/// The same with budgets on two levels.
class HierarchicalSimulation : public BasicSimulation<HierarchicalBudgets> {
 public:
  HierarchicalSimulation(size_t count, uint64_t seed, uint16_t group_size) : BasicSimulation(count, seed) {
    make_core = [count, group_size](const Settings& base, Micros clock_now) {
      HierarchicalSettings settings;
      settings.self = base.self, settings.member_count = static_cast<uint16_t>(count),
      settings.incarnation = base.incarnation;
      settings.budgets = base.budgets, settings.seed = base.seed, settings.group_size = group_size;
      return std::make_unique<HierarchicalBudgets>(settings, clock_now);
    };
  }
};

/// One budget for each total, half of it in floors; the first `voter_count` of `count` members vote.
inline Settings MakeSettings(uint16_t count, uint16_t voter_count, std::vector<uint32_t> totals) {
  Settings settings;
  for (uint16_t voter = 0; voter < std::min(voter_count, count); ++voter) settings.voters.push_back(voter);
  uint32_t id = 0;
  for (uint32_t total : totals) settings.budgets.push_back({++id, total, total / 2 / count, count});
  return settings;
}

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_TESTS_BUDGET_WORLD_H_
