// Prints what the core of budgets costs and how soon parts are in use again, in virtual time over many seeds.
//   lemonchute_budget_measure [SEEDS]      20 seeds, at 10, 30, 100 and 300 members
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "budget_world.h"

namespace {

using namespace lemonchute::budget;

// An arbiter hears so many asks a second at most: a quarter of what a gateway takes in (60), less its votes.
constexpr double kAsksPerS = 12;
constexpr uint32_t kWhole = 30000;

struct Figure {
  std::vector<double> values;
  void Add(Micros from, Micros to) { values.push_back(to < 0 ? 1e9 : static_cast<double>(to - from) * 1e-6); }
  void Print(const char* name) {
    std::sort(values.begin(), values.end());
    std::printf("  %-58s median %7.1f worst %7.1f s\n", name, values[values.size() / 2], values.back());
  }
};

}  // namespace

int main(int argc, char** argv) {
  uint64_t seeds = argc > 1 ? static_cast<uint64_t>(std::atol(argv[1])) : 20;
  for (uint16_t members : {10, 30, 100, 300}) {
    Figure start, dead, arbiter;
    double sent = 0, bytes = 0, over = 0, seconds = 0;
    Micros ask = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      World world(members, seed);
      world.form = FormOf(members, 7, {kWhole});
      world.form.ask_every = ask =
          std::max<Micros>(kSecond, static_cast<Micros>(members / kAsksPerS * kSecond));
      world.form.vote_term = std::max<Micros>(12 * kSecond, 2 * world.form.PartTerm());
      auto all = [&](uint64_t gone) {
        return [&world, gone, members] {
          uint64_t most = kWhole - gone * (kWhole / 2 / members);
          return world.Sum(1) * 100 >= most * 95;
        };
      };
      world.StartAll();
      for (int n = 0; n < members; ++n) world.Want(n, 1, kWhole / 4);
      start.Add(0, world.RunUntil(3600 * kSecond, all(0)));
      uint64_t before = world.sent, bytes_before = world.bytes;
      world.Run(world.now + 120 * kSecond);
      sent += static_cast<double>(world.sent - before),
          bytes += static_cast<double>(world.bytes - bytes_before);
      seconds += 120;
      // A fifth of those that don't vote.
      Micros from = world.now;
      int killed = std::max(1, (members - 7) / 5);
      for (int n = 0; n < killed; ++n) world.Kill(members - 1 - n);
      dead.Add(from, world.RunUntil(from + 3600 * kSecond, all(static_cast<uint64_t>(killed))));
      for (int n = 0; n < killed; ++n)
        world.Start(members - 1 - n), world.Want(members - 1 - n, 1, kWhole / 4);
      world.RunUntil(world.now + 3600 * kSecond, all(0));
      from = world.now;
      for (int n = 0; n < 7 && n < members; ++n) {
        World::Process& p = world.processes[static_cast<size_t>(n)];
        if (!p.core || !p.core->Arbiter(world.Clock(p))) continue;
        world.Kill(n);
        world.Run(from + kSecond);
        world.Start(n);
        world.Want(n, 1, kWhole / 4);
        break;
      }
      // Until the parts that the dead one gave are over, nothing is missing; then there has to be another.
      world.Run(world.now + world.form.PartTerm());
      arbiter.Add(from, world.RunUntil(from + 3600 * kSecond, all(0)));
      over += static_cast<double>(world.over);
    }
    std::printf("%d members, all want more than there is; asks every %.1f s, parts last %.1f s, 8%% lost\n",
                members, static_cast<double>(ask) * 1e-6, static_cast<double>(3 * ask) * 1e-6);
    start.Print("from a start in one instant until 95% can be used");
    dead.Print("a fifth killed: until 95% of what is left can be used");
    arbiter.Print("the arbiter killed, back after 1 s: until 95% can be used");
    std::printf(
        "  datagrams sent a member and second %.2f, %.0f bytes beside their heads; moments past the whole "
        "%.0f\n",
        sent / seconds / members, bytes / seconds / members, over);
  }
}
