// Measures the cost of budgets and their recovery times in virtual time over many seeds.
//   lemonchute_budget_measure [SEEDS]      10 seeds by default
// One level at 10, 30, 100 and 300 members; two levels at these, and with at most 3 seeds at 1000 and 3000.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "budget_world.h"

namespace {

using namespace lemonchute::budget;
using lemonchute::kSecond;

// The lease requests per second that a leader receives at most: a quarter of what a gateway accepts (60),
// less the messages of its votes.
constexpr double kLeaseRequestsPerS = 12;
constexpr uint32_t kTotal = 30000;

struct Samples {
  std::vector<double> values;
  void Add(Micros from, Micros to) { values.push_back(to < 0 ? 1e9 : static_cast<double>(to - from) * 1e-6); }
  void Print(const char* name, bool most_is_worst = true) {
    std::sort(values.begin(), values.end());
    std::printf("  %-62s median %6.1f worst %6.1f\n", name, values[values.size() / 2],
                most_is_worst ? values.back() : values.front());
  }
};

template <typename Simulation, typename MakeSimulation>
void Measure(uint16_t members, uint64_t seeds, const char* levels, MakeSimulation make_simulation) {
  Samples startup, after_kill, steady, after_leader_death;
  double sent = 0, bytes = 0, violations = 0, seconds = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Simulation simulation = make_simulation(seed);
    auto reaches_95_percent = [&](uint64_t killed_count) {
      return [&simulation, killed_count, members] {
        return simulation.TotalUsable(1) * 100 >= (kTotal - killed_count * (kTotal / 2 / members)) * 95;
      };
    };
    auto set_demand = [&](int n) { simulation.SetDemand(n, 1, kTotal / 4); };
    // The usable share of the total in percent: mean of a minute.
    auto usable_share = [&] {
      double sum = 0;
      for (int i = 0; i < 60; ++i) {
        simulation.Run(simulation.now + kSecond);
        sum += static_cast<double>(simulation.TotalUsable(1)) / kTotal / 60;
      }
      return 100 * sum;
    };
    simulation.check_each_event = false;
    simulation.StartAll();
    for (int n = 0; n < members; ++n) set_demand(n);
    startup.Add(0, simulation.RunUntil(3600 * kSecond, reaches_95_percent(0)));
    uint64_t before = simulation.sent, bytes_before = simulation.bytes;
    steady.values.push_back(usable_share());
    sent += static_cast<double>(simulation.sent - before),
        bytes += static_cast<double>(simulation.bytes - bytes_before);
    seconds += 60;
    // The last fifth of the members: whole groups, without voters on the fleet's leader.
    Micros from = simulation.now;
    int killed = std::max(1, members / 5);
    for (int n = 0; n < killed; ++n) simulation.Kill(members - 1 - n);
    after_kill.Add(
        from, simulation.RunUntil(from + 3600 * kSecond, reaches_95_percent(static_cast<uint64_t>(killed))));
    for (int n = 0; n < killed; ++n) simulation.Start(members - 1 - n), set_demand(members - 1 - n);
    simulation.RunUntil(simulation.now + 3600 * kSecond, reaches_95_percent(0));
    for (int n = 0; n < members; ++n) {
      auto& process = simulation.processes[static_cast<size_t>(n)];
      if (!process.core || !process.core->IsLeader(simulation.Clock(process))) continue;
      simulation.Kill(n);
      simulation.Schedule(simulation.now + kSecond,
                          [&simulation, set_demand, n] { simulation.Start(n), set_demand(n); });
      break;
    }
    after_leader_death.values.push_back(usable_share());
    violations += static_cast<double>(simulation.violations);
  }
  std::printf("%d members, %s; demand exceeds the total, 8%% of the messages lost, %llu seeds\n", members,
              levels, static_cast<unsigned long long>(seeds));
  startup.Print("simultaneous start: until 95% is usable, s");
  after_kill.Print("a fifth killed: until 95% of the rest is usable, s");
  steady.Print("usable share of the total, mean of a minute without faults, %", false);
  after_leader_death.Print("the same in the minute after a leader's death, back after 1 s", false);
  std::printf(
      "  messages sent per member and second %.2f, %.0f bytes without datagram headers; invariant violations "
      "%.0f\n",
      sent / seconds / members, bytes / seconds / members, violations);
}

}  // namespace

int main(int argc, char** argv) {
  uint64_t seeds = argc > 1 ? static_cast<uint64_t>(std::atol(argv[1])) : 10;
  for (uint16_t members : {10, 30, 100, 300, 1000, 3000}) {
    uint64_t run_seeds = members >= 1000 ? std::min<uint64_t>(seeds, 3) : seeds;
    if (members <= 300)
      Measure<BudgetSimulation>(members, run_seeds, "one level", [&](uint64_t seed) {
        BudgetSimulation simulation(members, seed);
        simulation.process_settings = MakeSettings(members, 7, {kTotal});
        simulation.process_settings.request_interval =
            std::max<Micros>(kSecond, static_cast<Micros>(members / kLeaseRequestsPerS * kSecond));
        simulation.process_settings.vote_term =
            std::max<Micros>(12 * kSecond, 2 * simulation.process_settings.LeaseTerm());
        return simulation;
      });
    Measure<HierarchicalSimulation>(members, run_seeds, "two levels", [&](uint64_t seed) {
      HierarchicalSimulation simulation(members, seed, 0);
      simulation.process_settings = MakeSettings(members, 0, {kTotal});
      return simulation;
    });
  }
}
