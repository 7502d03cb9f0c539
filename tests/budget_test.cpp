// Budgets of the whole fleet: sums over any history in virtual time, every order of a small fleet, and what
// planted faults do to both.
#include <gtest/gtest.h>

#include <unordered_set>

#include "budget_world.h"

namespace lemonchute::budget {
namespace {

template <typename AnyWorld>
void WantAll(AnyWorld* world, uint32_t grains) {
  for (size_t n = 0; n < world->processes.size(); ++n) {
    for (const BudgetSpec& spec : world->form.budgets) world->SetDemand(static_cast<int>(n), spec.id, grains);
  }
}

// Kills, restarts, stops, cuts and planned ends; then quiet, in which all but those killed last are there.
template <typename AnyWorld>
void Trouble(AnyWorld* world, uint64_t seed, int events, Micros most_wait) {
  std::mt19937_64 random(seed * 7919);
  auto count = static_cast<int>(world->processes.size());
  auto cut = std::make_shared<std::vector<char>>(world->processes.size(), 0);
  auto lopsided = std::make_shared<bool>(false);
  world->passes = [cut, lopsided](int from, int to) {
    auto side = [&](int n) { return (*cut)[static_cast<size_t>(n)]; };
    return side(from) == side(to) || (*lopsided && side(from) < side(to));
  };
  for (int i = 0; i < events; ++i) {
    world->Run(world->now + static_cast<Micros>(random() % static_cast<uint64_t>(most_wait)));
    int n = static_cast<int>(random() % static_cast<uint64_t>(count));
    auto& p = world->processes[static_cast<size_t>(n)];
    switch (random() % 8) {
      case 0:
      case 1: world->Kill(n); break;
      case 2:
      case 3: world->Start(n); break;
      case 4: p.stopped ? world->GoOn(n) : world->Stop(n); break;
      case 5: (*cut)[static_cast<size_t>(n)] = static_cast<char>(random() % 3); break;
      case 6: *lopsided = !*lopsided; break;
      case 7:
        if (p.core && !p.stopped)
          world->Do(n, [&](OutgoingMessages* out) { p.core->Leave(world->Clock(p), out); });
        break;
    }
    WantAll(world, static_cast<uint32_t>(random() % 200));
  }
  std::fill(cut->begin(), cut->end(), 0);
}

TEST(Budgets, NoHistoryMakesTheSumMoreThanTheWhole) {
  // Sizes, voters, wholes: ample, small, and smaller than the fleet.
  const uint64_t seeds = 500;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    auto count = static_cast<uint16_t>(seed % 10 == 0 ? 100 : 5 + seed % 9);
    World world(count, seed);
    world.form = FormOf(count, seed % 2 == 0 ? 3 : 5, {1000, 3, 2u * count});
    world.StartAll();
    WantAll(&world, 100);
    Trouble(&world, seed, seed % 10 == 0 ? 12 : 40, 4 * kSecond);
    world.Run(world.now + 5 * kSecond);
    ASSERT_EQ(world.over, 0u) << "seed " << seed << ": " << world.first_over;
  }
}

TEST(Budgets, InTheQuietNearlyAllOfItCanBeUsed) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    auto count = static_cast<uint16_t>(5 + seed % 26);
    World world(count, seed);
    world.form = FormOf(count, 5, {1000, 7});
    world.StartAll();
    Trouble(&world, seed, 30, 4 * kSecond);
    for (uint16_t n = 0; n < count; ++n) {
      World::Process& p = world.processes[n];
      // A majority of the voters is there; of the rest some stay dead.
      if (n < 5 || p.core == nullptr) {
        if (n < 5 || seed % 2 == 0) world.Start(n);
      } else if (p.stopped) {
        world.GoOn(n);
      }
    }
    // Those that left are restarted by the platform.
    for (uint16_t n = 5; n < count; ++n) {
      if (world.processes[n].core) world.Start(n);
    }
    WantAll(&world, 1000);
    uint64_t alive = 0;
    for (World::Process& p : world.processes) alive += p.core ? 1 : 0;
    const BudgetSpec& large = world.form.budgets[0];
    // The floors of the dead are theirs; of all else 95 in 100. Stated: the quarantine of votes, a campaign
    // or three under loss, and then a part's term and two asks.
    uint64_t most = large.total - large.floor * (count - alive);
    Micros bound = 4 * world.form.vote_term + 2 * world.form.LeaseTerm();
    EXPECT_GE(world.RunUntil(world.now + bound, [&] { return world.Sum(1) * 100 >= most * 95; }), 0)
        << "seed " << seed << ": " << world.Sum(1) << " of " << most << ", arbiters " << world.Arbiters();
    EXPECT_GE(world.RunUntil(world.now + bound, [&] { return world.Sum(2) == 7; }), 0) << seed;
    EXPECT_EQ(world.over, 0u) << world.first_over;
  }
}

// The same on two levels: groups of two to six, some of them short of members.
TEST(Budgets, NoHistoryMakesTheSumOfTwoLevelsMoreThanTheWhole) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    auto count = static_cast<uint16_t>(7 + seed % 14);
    FleetWorld world(count, seed, static_cast<uint16_t>(2 + seed % 5));
    world.form = FormOf(count, 0, {1000, 3, 2u * count});
    world.StartAll();
    WantAll(&world, 100);
    world.Run(30 * kSecond);
    Trouble(&world, seed, 40, 4 * kSecond);
    world.Run(world.now + 5 * kSecond);
    ASSERT_EQ(world.over, 0u) << "seed " << seed << ": " << world.first_over;
    for (int n = 0; n < count; ++n) world.Start(n);
    WantAll(&world, 1000);
    // Each level as one: votes, a campaign or three under loss, a part's term and two asks.
    EXPECT_GE(world.RunUntil(world.now + 150 * kSecond, [&] { return world.Sum(1) >= 950; }), 0)
        << "seed " << seed << ": " << world.Sum(1) << ", arbiters " << world.Arbiters();
    ASSERT_EQ(world.over, 0u) << "seed " << seed << ": " << world.first_over;
  }
}

TEST(Budgets, TheCutOffKeepTheirFloorsAndNoMore) {
  World world(10, 3);
  world.form = FormOf(10, 5, {1000});
  world.StartAll();
  WantAll(&world, 1000);
  ASSERT_GE(world.RunUntil(60 * kSecond, [&] { return world.Sum(1) >= 950; }), 0);
  // Four, two of the five voters among them.
  auto inside = [](int n) { return n < 2 || n >= 8; };
  world.passes = [&](int from, int to) { return inside(from) == inside(to); };
  Micros cut = world.now;
  world.Run(world.now + world.form.vote_term + world.form.LeaseTerm());
  for (int n : {0, 1, 8, 9}) {
    const World::Process& p = world.processes[static_cast<size_t>(n)];
    EXPECT_EQ(p.core->Usable(world.Clock(p), 1), 50u) << n;
  }
  // What they had is in use again on the other side.
  EXPECT_GE(world.RunUntil(cut + 4 * world.form.vote_term, [&] { return world.Sum(1) >= 950; }), 0)
      << world.Sum(1);
  EXPECT_EQ(world.over, 0u) << world.first_over;
}

TEST(Budgets, SharesGoByDemandAndSmallWholesWander) {
  World world(10, 4);
  world.form = FormOf(10, 3, {1000, 2});
  world.loss = 0;
  world.StartAll();
  for (int n = 0; n < 10; ++n) world.SetDemand(n, 1, n == 9 ? 900 : 60), world.SetDemand(n, 2, 1);
  auto usable = [&](int n, uint32_t b) {
    const World::Process& p = world.processes[static_cast<size_t>(n)];
    return p.core->Usable(world.Clock(p), b);
  };
  // Nine have all that they want, and the tenth has what is left of the pool: 500 - 9 * 10, and its floor.
  auto served = [&] {
    for (int n = 0; n < 9; ++n) {
      if (usable(n, 1) != 60) return false;
    }
    return usable(9, 1) == 50 + 410;
  };
  EXPECT_GE(world.RunUntil(60 * kSecond, served), 0) << usable(9, 1);
  // A whole of two over ten that all want one: never more than two have it, and each has its turn.
  std::vector<int> had(10, 0);
  for (int i = 0; i < 1200; ++i) {
    world.Run(world.now + 100'000);
    for (int n = 0; n < 10; ++n) had[static_cast<size_t>(n)] += usable(n, 2) > 0 ? 1 : 0;
  }
  for (int n = 0; n < 10; ++n) EXPECT_GT(had[static_cast<size_t>(n)], 60) << n;
  EXPECT_EQ(world.over, 0u) << world.first_over;
  // What nobody wants is asked for by nobody.
  WantAll(&world, 0);
  world.Run(world.now + world.form.LeaseTerm() + 2 * kSecond);
  uint64_t asks = 0, later = 0;
  for (World::Process& p : world.processes) asks += p.core->counts().lease_requests;
  world.Run(world.now + 30 * kSecond);
  for (World::Process& p : world.processes) later += p.core->counts().lease_requests;
  EXPECT_EQ(asks, later);
}

// Datagrams of a sender that is wrong about itself, or no datagrams at all.
TEST(Budgets, BadInputIsNoPart) {
  std::mt19937_64 random(1);
  Message sound;
  sound.kind = Kind::kGrant, sound.entries = {{1, 2, 3}, {4, 5, 6}}, sound.term = 5000;
  std::vector<uint8_t> bytes = Encode(sound);
  EXPECT_EQ(Decode(bytes)->entries, sound.entries);
  for (size_t length = 0; length < bytes.size(); ++length)
    EXPECT_FALSE(Decode({bytes.data(), length})) << length;
  Settings form = FormOf(3, 3, {100});
  form.self = 2, form.incarnation = 9;
  Budgets core(form, 0);
  core.SetDemand(1, 100);
  OutgoingMessages out;
  core.RequestLeases(1000, &out, uint16_t{0});
  for (int i = 0; i < 200000; ++i) {
    std::vector<uint8_t> noise = bytes;
    for (size_t n = random() % 12; n > 0; --n)
      noise[random() % noise.size()] = static_cast<uint8_t>(random());
    auto read = Decode(noise);
    if (read) core.OnMessage(2000, static_cast<uint16_t>(random() % 3), *read, &out);
    if (i % 1000 == 0) out.clear();
  }
  EXPECT_EQ(core.Usable(3000, 1), 16u);
  // A vote of one that is no voter counts for nothing, and a grant of more than there is neither.
  Message vote;
  vote.kind = Kind::kVote, vote.incarnation = 9, vote.round = 1;
  core.Campaign(20 * kSecond, &out);
  for (uint16_t from : {uint16_t{7}, uint16_t{8}, uint16_t{9}})
    core.OnMessage(20 * kSecond, from, vote, &out);
  EXPECT_FALSE(core.IsLeader(20 * kSecond));
  Message greedy;
  greedy.kind = Kind::kGrant, greedy.incarnation = 9, greedy.round = 1, greedy.term = kSecond,
  greedy.entries = {{1, 101, 1}};
  core.OnMessage(2000, 0, greedy, &out);
  EXPECT_EQ(core.Usable(3000, 1), 16u);
  // Floors that sum to more than the whole give nobody anything.
  Settings wrong = form;
  wrong.budgets[0].floor = 40;
  EXPECT_EQ(Budgets(wrong, 0).Usable(0, 1), 0u);
}

TEST(Budgets, AWordThatComesLateTakesNoNewerVoteBack) {
  Voter voter(0, 10);
  const Candidate one{1, 7}, other{2, 8};
  EXPECT_FALSE(voter.RequestVote(9, one, 1));  // an earlier life may have promised its vote
  EXPECT_TRUE(voter.RequestVote(10, one, 3));
  voter.Release(11, one, 2);
  EXPECT_FALSE(voter.RequestVote(12, other, 1));
  voter.Release(12, other, 9);
  EXPECT_FALSE(voter.RequestVote(12, other, 2));
  voter.Release(13, one, 3);
  EXPECT_TRUE(voter.RequestVote(13, other, 3));
}

// Every order of what may happen to three members, from a start at which all have started and wait: deliver
// any message, lose it, double it, let a second pass (on clocks that drift apart), campaign, ask, crash and
// restart.
class Search {
 public:
  struct State {
    std::vector<Budgets> cores;
    std::vector<std::pair<Outgoing, uint16_t>> way;  // and its sender
    Micros now = 0;
    int restarts = 0, copies = 0;
  };
  static Micros Clock(Micros now, size_t n) {
    const double rates[] = {1 - kMaxClockDrift, 1 + kMaxClockDrift, 1};
    return static_cast<Micros>(static_cast<double>(now) * rates[n]) + static_cast<Micros>(n) * 77 * kSecond;
  }
  static Settings Form(size_t n, uint32_t incarnation) {
    Settings form = FormOf(3, 3, {10, 2});
    form.vote_term = 4 * kSecond, form.request_interval = kSecond;
    form.self = static_cast<uint16_t>(n), form.incarnation = incarnation;
    return form;
  }
  uint64_t states = 0;
  std::string found;

  // Breadth first, to a depth or to a number of states, from each of some beginnings.
  void Explore(size_t most) {
    State start;
    for (size_t n = 0; n < 3; ++n) Renew(&start, n, static_cast<uint32_t>(n + 1));
    start.now = 5 * kSecond;  // the quarantine of the first votes is over
    Act(&start, 0, [](Budgets& core, Micros now, OutgoingMessages* out) { core.Campaign(now, out); });
    State elected = start;
    // By two of three: the third has its own vote still.
    std::erase_if(elected.way, [](const auto& one) { return one.first.to == 2; });
    Deliver(&elected);
    Deliver(&elected);
    // The first, or the second, has all of the pools.
    State first = elected, second = elected;
    Asks(&first, 0, 0), Deliver(&first);
    Asks(&second, 1, 0), Deliver(&second), Deliver(&second);
    // The same shortly before the votes run out.
    State late = elected;
    late.now += 3 * kSecond;
    Asks(&late, 1, 0), Deliver(&late), Deliver(&late);
    // All have asked, and answers are on their way.
    State asked = first;
    asked.now += kSecond;
    Asks(&asked, 1, 0), Deliver(&asked), Asks(&asked, 0, 0), Asks(&asked, 2, 0);
    // One has given up, and its words are on their way.
    State back = start;
    Act(&back, 0, [](Budgets& core, Micros now, OutgoingMessages* out) { core.AbandonCampaign(now, out); });
    struct Beginning {
      State state;
      unsigned does;
      std::vector<size_t> who;
    };
    for (const auto& [beginning, does, who] :
         {Beginning{start, kVotes | kTime | kCopies, {0, 1, 2}}, Beginning{back, kVotes | kTime, {0, 2}},
          Beginning{first, kAsks | kTime | kCopies, {1, 2}},
          Beginning{second, kRebirth | kVotes | kAsks, {0, 2}},
          Beginning{second, kLeaves | kVotes | kAsks, {0, 2}}, Beginning{late, kTime | kVotes | kAsks, {2}},
          Beginning{asked, kAsks | kTime | kCopies, {1, 2}}}) {
      does_ = does, who_ = who;
      seen_.clear();
      std::vector<State> level = {beginning};
      size_t begun = states;
      int depth = 0;
      for (; !level.empty() && found.empty() && states - begun < most; ++depth) {
        std::vector<State> next;
        for (const State& state : level) {
          Step(state, &next);
          if (!found.empty() || states - begun >= most) break;
        }
        level = std::move(next);
      }
      if (!found.empty()) return;
      depths.push_back(depth - 1);  // every order to that depth
    }
  }
  std::vector<int> depths;
  enum : unsigned { kVotes = 1, kAsks = 2, kRebirth = 4, kLeaves = 8, kTime = 16, kCopies = 32 };

 private:
  template <typename What>
  static void Act(State* state, size_t n, What what) {
    OutgoingMessages out;
    what(state->cores[n], Clock(state->now, n), &out);
    for (Outgoing& o : out) state->way.emplace_back(std::move(o), static_cast<uint16_t>(n));
  }
  static void Renew(State* state, size_t n, uint32_t incarnation) {
    Budgets fresh(Form(n, incarnation), Clock(state->now, n));
    fresh.SetDemand(1, 10), fresh.SetDemand(2, 2);
    if (n < state->cores.size()) {
      state->cores[n] = fresh;
    } else {
      state->cores.push_back(fresh);
    }
  }
  static void Asks(State* state, size_t n, uint16_t at) {
    Act(state, n,
        [at](Budgets& core, Micros now, OutgoingMessages* out) { core.RequestLeases(now, out, at); });
  }
  // All that is on its way.
  static void Deliver(State* state) {
    for (const auto& [o, from] : std::exchange(state->way, {}))
      Act(state, o.to, [&, f = from](Budgets& core, Micros now, OutgoingMessages* out) {
        core.OnMessage(now, f, o.message, out);
      });
  }
  void Add(State state, std::vector<State>* next) {
    for (uint32_t budget : {1u, 2u}) {
      uint64_t sum = 0;
      for (size_t n = 0; n < 3; ++n) sum += state.cores[n].Usable(Clock(state.now, n), budget);
      if (sum > (budget == 1 ? 10u : 2u))
        found = "sum " + std::to_string(sum) + " of budget " + std::to_string(budget);
    }
    std::vector<std::string> way;
    for (const auto& [o, from] : state.way) {
      std::vector<uint8_t> bytes = Encode(o.message);
      way.push_back(std::string(bytes.begin(), bytes.end()) + static_cast<char>(o.to) +
                    static_cast<char>(from));
    }
    std::sort(way.begin(), way.end());
    std::ostringstream text;
    text << state.now << ' ' << state.restarts << state.copies << ' ';
    for (const Budgets& core : state.cores) core.Describe(text);
    for (const std::string& one : way) text << '|' << one;
    if (!seen_.insert(std::hash<std::string>()(text.str())).second) return;
    ++states;
    if (state.way.size() <= 8) next->push_back(std::move(state));
  }
  void Step(const State& state, std::vector<State>* next) {
    for (size_t i = 0; i < state.way.size(); ++i) {
      State lost = state;
      lost.way.erase(lost.way.begin() + static_cast<std::ptrdiff_t>(i));
      const auto& [o, from] = state.way[i];
      auto deliver = [&, f = from, &sent = o](State one) {
        Act(&one, sent.to, [&](Budgets& core, Micros now, OutgoingMessages* out) {
          core.OnMessage(now, f, sent.message, out);
        });
        Add(std::move(one), next);
      };
      deliver(std::move(lost));  // what is lost is what stays on its way
      if (state.copies == 1 || (does_ & kCopies) == 0) continue;
      State twice = state;
      ++twice.copies;
      deliver(std::move(twice));
    }
    if ((does_ & kTime) != 0) {
      State later = state;
      later.now += kSecond;
      Add(std::move(later), next);
    }
    for (size_t n : who_) {
      auto act = [&](unsigned kind, auto what) {
        if ((does_ & kind) == 0) return;
        State one = state;
        Act(&one, n, what);
        Add(std::move(one), next);
      };
      for (uint16_t at : {uint16_t{0}, static_cast<uint16_t>(n)}) {
        act(kAsks,
            [at](Budgets& core, Micros now, OutgoingMessages* out) { core.RequestLeases(now, out, at); });
        if (n == 0) break;
      }
      act(kVotes, [](Budgets& core, Micros now, OutgoingMessages* out) { core.Campaign(now, out); });
      act(kVotes, [](Budgets& core, Micros now, OutgoingMessages* out) { core.AbandonCampaign(now, out); });
      act(kLeaves, [](Budgets& core, Micros now, OutgoingMessages* out) { core.Leave(now, out); });
      if (state.restarts == 1 || (does_ & kRebirth) == 0) continue;
      State reborn = state;
      ++reborn.restarts;
      Renew(&reborn, n, static_cast<uint32_t>(10 + n));
      Add(std::move(reborn), next);
    }
  }
  std::unordered_set<size_t> seen_;
  unsigned does_ = 0;
  std::vector<size_t> who_;  // act by themselves
};

TEST(Budgets, EveryOrderOfASmallFleetKeepsTheSum) {
  Search search;
  search.Explore(60'000);
  EXPECT_EQ(search.found, "");
  std::printf("%llu states; every order from each beginning to depth",
              static_cast<unsigned long long>(search.states));
  for (int depth : search.depths) std::printf(" %d", depth);
  std::printf("\n");
}

}  // namespace
}  // namespace lemonchute::budget
