// Prints what membership costs and how fast it is, in virtual time over many seeds: median and worst.
//   lemonchute_membership_measure [MEMBERS [SEEDS]]      300 members, 50 seeds
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <set>

#include "membership_net.h"

namespace {

using namespace lemonchute::membership;
using lemonchute::kSecond;

struct Figure {
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
  Figure first, all, false_deaths, beliefs, heal, herd, back, in_mean, in_peak, storm_peak, leave;
  double core_s = 0, simulated = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Net net(members, seed);
    Micros suspected = -1;
    int victim = -1;
    std::set<std::pair<int, uint32_t>> wrong;  // each false death once, however many believe it
    uint64_t believed = 0;
    net.on_change = [&](int, const Change& change) {
      if (change.member == victim && change.current >= State::kSuspect && suspected < 0) suspected = net.now;
      bool lives = net.members[change.member].core != nullptr && !net.members[change.member].stopped;
      if (change.current != State::kDead || !lives || change.member == victim) return;
      wrong.insert({change.member, change.incarnation});
      ++believed;
    };
    net.StartAll();
    net.Run(20 * kSecond);
    // A calm minute in which 5% of the members are held up for up to a second, again and again.
    std::mt19937_64 random(seed);
    for (auto& m : net.members) m.all_in = 0, m.peak_in = 0;
    for (int s = 0; s < 60; ++s) {
      for (size_t n = 0; n < members / 20; ++n) {
        auto m = static_cast<int>(random() % members);
        if (net.members[static_cast<size_t>(m)].stopped) continue;
        net.Stop(m);
        net.Schedule(net.now + static_cast<Micros>(random() % kSecond), [&net, m] { net.GoOn(m); });
      }
      net.Run(net.now + kSecond);
    }
    net.Run(net.now + kSecond);
    double mean = 0, peak = 0;
    for (auto& m : net.members) {
      mean += static_cast<double>(m.all_in) / 61 / static_cast<double>(members);
      peak = std::max(peak, static_cast<double>(m.peak_in));
    }
    in_mean.Add(mean), in_peak.Add(peak);
    double hours = static_cast<double>(members) * 61 / 3600;
    false_deaths.Add(static_cast<double>(wrong.size()) / hours);
    beliefs.Add(static_cast<double>(believed) / hours / static_cast<double>(members));
    // One dies.
    victim = static_cast<int>(random() % members);
    Micros from = net.now;
    net.Kill(victim);
    Micros known = net.RunUntil(from + 120 * kSecond, [&] { return net.All(victim, State::kDead); });
    first.Add(Seconds(from, suspected)), all.Add(Seconds(from, known));
    from = net.now;
    net.Start(victim);
    back.Add(
        Seconds(from, net.RunUntil(from + 120 * kSecond, [&] { return net.All(victim, State::kAlive); })));
    from = net.now;
    net.Do(victim, [&](Actions* out) { net.members[static_cast<size_t>(victim)].core->Leave(net.now, out); });
    leave.Add(
        Seconds(from, net.RunUntil(from + 120 * kSecond, [&] { return net.All(victim, State::kLeft); })));
    net.Kill(victim);
    // A zone of a fifth is cut off for 10 s.
    net.passes = [&](int a, int b) { return (a % 5 == 0) == (b % 5 == 0); };
    net.Run(net.now + 10 * kSecond);
    net.passes = [](int, int) { return true; };
    from = net.now;
    heal.Add(Seconds(from, net.RunUntil(from + 300 * kSecond, [&] { return net.OneDigest(); })));
    // Seven in ten are killed at once, and are back after a second.
    for (auto& m : net.members) m.peak_in = 0;
    std::vector<int> killed;
    for (size_t m = 0; m < members; ++m) {
      if (m % 10 < 7 && static_cast<int>(m) != victim) killed.push_back(static_cast<int>(m));
    }
    for (int m : killed) net.Kill(m);
    net.Run(net.now + kSecond);
    for (int m : killed) net.Start(m, {2, 2});
    from = net.now;
    herd.Add(Seconds(from, net.RunUntil(from + 300 * kSecond, [&] {
      return net.OneDigest() &&
             net.members[9].core->view().At(static_cast<size_t>(killed[0])).version.program == 2;
    })));
    peak = 0;
    for (auto& m : net.members) peak = std::max(peak, static_cast<double>(m.peak_in));
    storm_peak.Add(peak);
    simulated += static_cast<double>(net.now) * 1e-6 * static_cast<double>(members);
  }
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  core_s = static_cast<double>(used.ru_utime.tv_sec) + 1e-6 * static_cast<double>(used.ru_utime.tv_usec);
  std::printf("%zu members, 8%% of the datagrams lost, 2%% doubled, 2%% late by ten times, 2 to 20 ms\n",
              members);
  first.Print("death: first suspicion by anybody", "s");
  all.Print("death: known to all", "s");
  back.Print("return without memory: known to all", "s");
  leave.Print("planned leave: known to all", "s");
  false_deaths.Print("false deaths a member-hour, 5% of the members held up", "");
  beliefs.Print("the same, as the share of members that believed one", "");
  heal.Print("a fifth cut off for 10 s: one digest after the heal", "s");
  herd.Print("seven in ten killed, back after 1 s: one digest", "s");
  in_mean.Print("datagrams taken a second, mean of the members", "");
  in_peak.Print("datagrams taken in any one second, worst member", "");
  storm_peak.Print("the same while seven in ten die and return", "");
  std::printf("processor: %.2f us a member and second, network of the test included; peak memory %ld MB\n",
              1e6 * core_s / simulated, used.ru_maxrss / 1024);
}
