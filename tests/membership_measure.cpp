// Measures the cost and the convergence times of membership in virtual time: median and worst of many seeds.
//   lemonchute_membership_measure [MEMBERS [SEEDS]]      300 members, 50 seeds
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <set>

#include "membership_net.h"

namespace {

using namespace lemonchute::membership;
using lemonchute::kSecond;

struct Samples {
  std::vector<double> values;
  void Add(double value) { values.push_back(value); }
  void Print(const char* name, const char* unit) {
    std::sort(values.begin(), values.end());
    if (values.empty()) return std::printf("%-62s -\n", name), void();
    std::printf("%-62s median %8.2f worst %8.2f %s, %zu seeds\n", name, values[values.size() / 2],
                values.back(), unit, values.size());
  }
};

double Seconds(Micros from, Micros to) { return to < 0 ? 1e9 : static_cast<double>(to - from) * 1e-6; }

}  // namespace

int main(int argc, char** argv) {
  size_t members = argc > 1 ? static_cast<size_t>(std::atol(argv[1])) : 300;
  uint64_t seeds = argc > 2 ? static_cast<uint64_t>(std::atol(argv[2])) : 50;
  Samples first_suspicion, known_to_all, false_deaths, false_death_views, heal, mass_restart, restart,
      arrivals_mean, arrivals_peak, restart_peak, planned_leave;
  double cpu_s = 0, member_seconds = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulatedNetwork net(members, seed);
    Micros suspected_at = -1;
    int victim = -1;
    std::set<std::pair<int, uint32_t>> false_death_events;  // each false death once, in however many views
    uint64_t false_death_view_count = 0;
    net.on_change = [&](int, const Change& change) {
      if (change.member == victim && change.current >= State::kSuspect && suspected_at < 0)
        suspected_at = net.now;
      bool running = net.members[change.member].core != nullptr && !net.members[change.member].paused;
      if (change.current != State::kDead || !running || change.member == victim) return;
      false_death_events.insert({change.member, change.incarnation});
      ++false_death_view_count;
    };
    net.StartAll();
    net.Run(20 * kSecond);
    // A minute without kills in which 5% of the members are paused for up to a second, every second.
    std::mt19937_64 random(seed);
    for (auto& m : net.members) m.total_arrivals = 0, m.peak_arrivals_per_s = 0;
    for (int second = 0; second < 60; ++second) {
      for (size_t n = 0; n < members / 20; ++n) {
        auto m = static_cast<int>(random() % members);
        if (net.members[static_cast<size_t>(m)].paused) continue;
        net.Pause(m);
        net.Schedule(net.now + static_cast<Micros>(random() % kSecond), [&net, m] { net.Resume(m); });
      }
      net.Run(net.now + kSecond);
    }
    net.Run(net.now + kSecond);
    double mean = 0, peak = 0;
    for (auto& m : net.members) {
      mean += static_cast<double>(m.total_arrivals) / 61 / static_cast<double>(members);
      peak = std::max(peak, static_cast<double>(m.peak_arrivals_per_s));
    }
    arrivals_mean.Add(mean), arrivals_peak.Add(peak);
    double hours = static_cast<double>(members) * 61 / 3600;
    false_deaths.Add(static_cast<double>(false_death_events.size()) / hours);
    false_death_views.Add(static_cast<double>(false_death_view_count) / hours / static_cast<double>(members));
    // One member dies.
    victim = static_cast<int>(random() % members);
    Micros from = net.now;
    net.Kill(victim);
    Micros all_knew_at = net.RunUntil(from + 120 * kSecond, [&] { return net.AllSee(victim, State::kDead); });
    first_suspicion.Add(Seconds(from, suspected_at)), known_to_all.Add(Seconds(from, all_knew_at));
    from = net.now;
    net.Start(victim);
    restart.Add(
        Seconds(from, net.RunUntil(from + 120 * kSecond, [&] { return net.AllSee(victim, State::kAlive); })));
    from = net.now;
    net.Execute(victim,
                [&](Actions* out) { net.members[static_cast<size_t>(victim)].core->Leave(net.now, out); });
    planned_leave.Add(
        Seconds(from, net.RunUntil(from + 120 * kSecond, [&] { return net.AllSee(victim, State::kLeft); })));
    net.Kill(victim);
    // A zone with a fifth of the members is partitioned off for 10 s.
    net.passes = [&](int a, int b) { return (a % 5 == 0) == (b % 5 == 0); };
    net.Run(net.now + 10 * kSecond);
    net.passes = [](int, int) { return true; };
    from = net.now;
    heal.Add(Seconds(from, net.RunUntil(from + 300 * kSecond, [&] { return net.DigestsAgree(); })));
    // 70% of the members are killed at once and restarted after a second.
    for (auto& m : net.members) m.peak_arrivals_per_s = 0;
    std::vector<int> killed;
    for (size_t m = 0; m < members; ++m) {
      if (m % 10 < 7 && static_cast<int>(m) != victim) killed.push_back(static_cast<int>(m));
    }
    for (int m : killed) net.Kill(m);
    net.Run(net.now + kSecond);
    for (int m : killed) net.Start(m, {2, 2});
    from = net.now;
    mass_restart.Add(Seconds(from, net.RunUntil(from + 300 * kSecond, [&] {
      return net.DigestsAgree() &&
             net.members[9].core->view().At(static_cast<size_t>(killed[0])).version.program == 2;
    })));
    peak = 0;
    for (auto& m : net.members) peak = std::max(peak, static_cast<double>(m.peak_arrivals_per_s));
    restart_peak.Add(peak);
    member_seconds += static_cast<double>(net.now) * 1e-6 * static_cast<double>(members);
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  cpu_s = static_cast<double>(usage.ru_utime.tv_sec) + 1e-6 * static_cast<double>(usage.ru_utime.tv_usec);
  std::printf(
      "%zu members; 8%% of the datagrams lost, 2%% duplicated, delays 2 to 20 ms, of 2%% ten times that\n",
      members);
  first_suspicion.Print("death: first suspicion by any member", "s");
  known_to_all.Print("death: known to all", "s");
  restart.Print("restart: known to all", "s");
  planned_leave.Print("planned leave: known to all", "s");
  false_deaths.Print("false deaths per member-hour, 5% of the members paused", "");
  false_death_views.Print("the same, as the share of members that saw one", "");
  heal.Print("a fifth partitioned off for 10 s: one digest after the heal", "s");
  mass_restart.Print("70% killed, restarted after 1 s: one digest", "s");
  arrivals_mean.Print("datagrams received per second, mean of the members", "");
  arrivals_peak.Print("datagrams received in any one second, worst member", "");
  restart_peak.Print("the same while 70% die and restart", "");
  std::printf("CPU: %.2f us per member and second, simulated network included; peak memory %ld MB\n",
              1e6 * cpu_s / member_seconds, usage.ru_maxrss / 1024);
}
