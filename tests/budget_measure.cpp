// Prints what the core of budgets costs and how soon parts are in use again, in virtual time over many seeds.
//   lemonchute_budget_measure [SEEDS]      20 seeds, at 10, 30, 100 and 300 members
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "budget_world.h"

namespace {

using namespace lemonchute::budget;
using lemonchute::kSecond;

// An arbiter hears so many asks a second at most: a quarter of what a gateway takes in (60), less its votes.
constexpr double kAsksPerS = 12;
constexpr uint32_t kWhole = 30000;

struct Figure {
  std::vector<double> values;
  void Add(Micros from, Micros to) { values.push_back(to < 0 ? 1e9 : static_cast<double>(to - from) * 1e-6); }
  void Print(const char* name, bool most_is_worst = true) {
    std::sort(values.begin(), values.end());
    std::printf("  %-62s median %6.1f worst %6.1f\n", name, values[values.size() / 2],
                most_is_worst ? values.back() : values.front());
  }
};

template <typename AnyWorld, typename Make>
void Measure(uint16_t members, uint64_t seeds, const char* levels, Make make) {
  Figure start, dead, steady, leader;
  double sent = 0, bytes = 0, over = 0, seconds = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    AnyWorld world = make(seed);
    auto all = [&](uint64_t gone) {
      return [&world, gone, members] {
        return world.Sum(1) * 100 >= (kWhole - gone * (kWhole / 2 / members)) * 95;
      };
    };
    auto want = [&](int n) { world.SetDemand(n, 1, kWhole / 4); };
    // Of the whole, that can be used: the mean of a minute.
    auto share = [&] {
      double sum = 0;
      for (int i = 0; i < 60; ++i) {
        world.Run(world.now + kSecond);
        sum += static_cast<double>(world.Sum(1)) / kWhole / 60;
      }
      return 100 * sum;
    };
    world.look_each = false;
    world.StartAll();
    for (int n = 0; n < members; ++n) want(n);
    start.Add(0, world.RunUntil(3600 * kSecond, all(0)));
    uint64_t before = world.sent, bytes_before = world.bytes;
    steady.values.push_back(share());
    sent += static_cast<double>(world.sent - before),
        bytes += static_cast<double>(world.bytes - bytes_before);
    seconds += 60;
    // The last fifth: whole groups, and no voters of the fleet's arbiter.
    Micros from = world.now;
    int killed = std::max(1, members / 5);
    for (int n = 0; n < killed; ++n) world.Kill(members - 1 - n);
    dead.Add(from, world.RunUntil(from + 3600 * kSecond, all(static_cast<uint64_t>(killed))));
    for (int n = 0; n < killed; ++n) world.Start(members - 1 - n), want(members - 1 - n);
    world.RunUntil(world.now + 3600 * kSecond, all(0));
    for (int n = 0; n < members; ++n) {
      auto& p = world.processes[static_cast<size_t>(n)];
      if (!p.core || !p.core->IsLeader(world.Clock(p))) continue;
      world.Kill(n);
      world.Schedule(world.now + kSecond, [&world, want, n] { world.Start(n), want(n); });
      break;
    }
    leader.values.push_back(share());
    over += static_cast<double>(world.over);
  }
  std::printf("%d members, %s; all want more than there is, 8%% lost, %llu seeds\n", members, levels,
              static_cast<unsigned long long>(seeds));
  start.Print("from a start in one instant until 95% can be used, s");
  dead.Print("a fifth killed: until 95% of what is left can be used, s");
  steady.Print("of the whole that can be used, mean of a quiet minute, %", false);
  leader.Print("likewise, the minute after the arbiter's death, back after 1 s", false);
  std::printf(
      "  datagrams sent a member and second %.2f, %.0f bytes beside their heads; moments past the whole "
      "%.0f\n",
      sent / seconds / members, bytes / seconds / members, over);
}

}  // namespace

int main(int argc, char** argv) {
  uint64_t seeds = argc > 1 ? static_cast<uint64_t>(std::atol(argv[1])) : 10;
  for (uint16_t members : {10, 30, 100, 300, 1000, 3000}) {
    uint64_t some = members >= 1000 ? std::min<uint64_t>(seeds, 3) : seeds;
    if (members <= 300)
      Measure<World>(members, some, "one level", [&](uint64_t seed) {
        World world(members, seed);
        world.form = FormOf(members, 7, {kWhole});
        world.form.request_interval =
            std::max<Micros>(kSecond, static_cast<Micros>(members / kAsksPerS * kSecond));
        world.form.vote_term = std::max<Micros>(12 * kSecond, 2 * world.form.LeaseTerm());
        return world;
      });
    Measure<FleetWorld>(members, some, "two levels", [&](uint64_t seed) {
      FleetWorld world(members, seed, 0);
      world.form = FormOf(members, 0, {kWhole});
      return world;
    });
  }
}
