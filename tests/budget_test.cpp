// Budgets of the whole fleet: the sum of what all may use under random faults in virtual time, and under
// every order of events in a small fleet. The planted faults of budget_cuts.cmake run both.
#include <gtest/gtest.h>

#include <unordered_set>

#include "budget_world.h"

namespace lemonchute::budget {
namespace {

template <typename Simulation>
void SetAllDemands(Simulation* simulation, uint32_t grains) {
  for (size_t n = 0; n < simulation->processes.size(); ++n) {
    for (const BudgetSpec& spec : simulation->process_settings.budgets)
      simulation->SetDemand(static_cast<int>(n), spec.id, grains);
  }
}

// Kills, starts, pauses and resumes processes, partitions the network and lets members leave, at random. At
// the end the partitions are healed; processes that are dead, paused or leaving stay so.
template <typename Simulation>
void InjectFaults(Simulation* simulation, uint64_t seed, int events, Micros max_wait) {
  std::mt19937_64 random(seed * 7919);
  auto count = static_cast<int>(simulation->processes.size());
  auto partition = std::make_shared<std::vector<char>>(simulation->processes.size(), 0);
  auto one_way = std::make_shared<bool>(false);
  simulation->passes = [partition, one_way](int from, int to) {
    auto partition_of = [&](int n) { return (*partition)[static_cast<size_t>(n)]; };
    return partition_of(from) == partition_of(to) || (*one_way && partition_of(from) < partition_of(to));
  };
  for (int i = 0; i < events; ++i) {
    simulation->Run(simulation->now + static_cast<Micros>(random() % static_cast<uint64_t>(max_wait)));
    int n = static_cast<int>(random() % static_cast<uint64_t>(count));
    auto& process = simulation->processes[static_cast<size_t>(n)];
    switch (random() % 8) {
      case 0:
      case 1: simulation->Kill(n); break;
      case 2:
      case 3: simulation->Start(n); break;
      case 4: process.paused ? simulation->Resume(n) : simulation->Pause(n); break;
      case 5: (*partition)[static_cast<size_t>(n)] = static_cast<char>(random() % 3); break;
      case 6: *one_way = !*one_way; break;
      case 7:
        if (process.core && !process.paused)
          simulation->Execute(
              n, [&](OutgoingMessages* out) { process.core->Leave(simulation->Clock(process), out); });
        break;
    }
    SetAllDemands(simulation, static_cast<uint32_t>(random() % 200));
  }
  std::fill(partition->begin(), partition->end(), 0);
}

TEST(Budgets, RandomFaultsNeverExceedTheTotal) {
  // Various fleet sizes and voters; totals that are ample, small, and smaller than the fleet.
  const uint64_t seeds = 500;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    auto count = static_cast<uint16_t>(seed % 10 == 0 ? 100 : 5 + seed % 9);
    BudgetSimulation simulation(count, seed);
    simulation.process_settings = MakeSettings(count, seed % 2 == 0 ? 3 : 5, {1000, 3, 2u * count});
    simulation.StartAll();
    SetAllDemands(&simulation, 100);
    InjectFaults(&simulation, seed, seed % 10 == 0 ? 12 : 40, 4 * kSecond);
    simulation.Run(simulation.now + 5 * kSecond);
    ASSERT_EQ(simulation.violations, 0u) << "seed " << seed << ": " << simulation.first_violation;
  }
}

TEST(Budgets, NearlyAllOfTheTotalIsUsableAfterRecovery) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    auto count = static_cast<uint16_t>(5 + seed % 26);
    BudgetSimulation simulation(count, seed);
    simulation.process_settings = MakeSettings(count, 5, {1000, 7});
    simulation.StartAll();
    InjectFaults(&simulation, seed, 30, 4 * kSecond);
    for (uint16_t n = 0; n < count; ++n) {
      BudgetSimulation::Process& process = simulation.processes[n];
      // All five voters are started anew; the dead among the others are started at even seeds only.
      if (n < 5 || process.core == nullptr) {
        if (n < 5 || seed % 2 == 0) simulation.Start(n);
      } else if (process.paused) {
        simulation.Resume(n);
      }
    }
    // Processes that left are restarted, as the platform does.
    for (uint16_t n = 5; n < count; ++n) {
      if (simulation.processes[n].core) simulation.Start(n);
    }
    SetAllDemands(&simulation, 1000);
    uint64_t alive = 0;
    for (BudgetSimulation::Process& process : simulation.processes) alive += process.core ? 1 : 0;
    const BudgetSpec& large = simulation.process_settings.budgets[0];
    // The floors of the dead stay unused; of the rest 95% have to be usable. The bound covers the time in
    // which a restarted voter grants no vote, up to three campaigns under loss, a lease term and two lease
    // requests.
    uint64_t reachable = large.total - large.floor * (count - alive);
    Micros bound = 4 * simulation.process_settings.vote_term + 2 * simulation.process_settings.LeaseTerm();
    EXPECT_GE(simulation.RunUntil(simulation.now + bound,
                                  [&] { return simulation.TotalUsable(1) * 100 >= reachable * 95; }),
              0)
        << "seed " << seed << ": " << simulation.TotalUsable(1) << " of " << reachable << ", leaders "
        << simulation.LeaderCount();
    EXPECT_GE(simulation.RunUntil(simulation.now + bound, [&] { return simulation.TotalUsable(2) == 7; }), 0)
        << seed;
    EXPECT_EQ(simulation.violations, 0u) << simulation.first_violation;
  }
}

// The same on two levels: groups of two to six, of which some are incomplete.
TEST(Budgets, RandomFaultsNeverExceedTheTotalOnTwoLevels) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    auto count = static_cast<uint16_t>(7 + seed % 14);
    HierarchicalSimulation simulation(count, seed, static_cast<uint16_t>(2 + seed % 5));
    simulation.process_settings = MakeSettings(count, 0, {1000, 3, 2u * count});
    simulation.StartAll();
    SetAllDemands(&simulation, 100);
    simulation.Run(30 * kSecond);
    InjectFaults(&simulation, seed, 40, 4 * kSecond);
    simulation.Run(simulation.now + 5 * kSecond);
    ASSERT_EQ(simulation.violations, 0u) << "seed " << seed << ": " << simulation.first_violation;
    for (int n = 0; n < count; ++n) simulation.Start(n);
    SetAllDemands(&simulation, 1000);
    // Per level: the votes, up to three campaigns under loss, a lease term and two lease requests.
    EXPECT_GE(
        simulation.RunUntil(simulation.now + 150 * kSecond, [&] { return simulation.TotalUsable(1) >= 950; }),
        0)
        << "seed " << seed << ": " << simulation.TotalUsable(1) << ", leaders " << simulation.LeaderCount();
    ASSERT_EQ(simulation.violations, 0u) << "seed " << seed << ": " << simulation.first_violation;
  }
}

TEST(Budgets, APartitionedMinorityKeepsOnlyItsFloors) {
  BudgetSimulation simulation(10, 3);
  simulation.process_settings = MakeSettings(10, 5, {1000});
  simulation.StartAll();
  SetAllDemands(&simulation, 1000);
  ASSERT_GE(simulation.RunUntil(60 * kSecond, [&] { return simulation.TotalUsable(1) >= 950; }), 0);
  // Four members, with two of the five voters among them.
  auto isolated = [](int n) { return n < 2 || n >= 8; };
  simulation.passes = [&](int from, int to) { return isolated(from) == isolated(to); };
  Micros cut_at = simulation.now;
  simulation.Run(simulation.now + simulation.process_settings.vote_term +
                 simulation.process_settings.LeaseTerm());
  for (int n : {0, 1, 8, 9}) {
    const BudgetSimulation::Process& process = simulation.processes[static_cast<size_t>(n)];
    EXPECT_EQ(process.core->Usable(simulation.Clock(process), 1), 50u) << n;
  }
  // Their leases are in use again on the other side.
  EXPECT_GE(simulation.RunUntil(cut_at + 4 * simulation.process_settings.vote_term,
                                [&] { return simulation.TotalUsable(1) >= 950; }),
            0)
      << simulation.TotalUsable(1);
  EXPECT_EQ(simulation.violations, 0u) << simulation.first_violation;
}

TEST(Budgets, SharesFollowDemandAndScarceGrainsRotate) {
  BudgetSimulation simulation(10, 4);
  simulation.process_settings = MakeSettings(10, 3, {1000, 2});
  simulation.loss_share = 0;
  simulation.StartAll();
  for (int n = 0; n < 10; ++n) simulation.SetDemand(n, 1, n == 9 ? 900 : 60), simulation.SetDemand(n, 2, 1);
  auto usable = [&](int n, uint32_t b) {
    const BudgetSimulation::Process& process = simulation.processes[static_cast<size_t>(n)];
    return process.core->Usable(simulation.Clock(process), b);
  };
  // Nine get their full demand; the tenth gets the rest of the pool, 500 - 9 * 10, and its floor.
  auto demands_met = [&] {
    for (int n = 0; n < 9; ++n) {
      if (usable(n, 1) != 60) return false;
    }
    return usable(9, 1) == 50 + 410;
  };
  EXPECT_GE(simulation.RunUntil(60 * kSecond, demands_met), 0) << usable(9, 1);
  // Two grains for ten members that demand one each: at most two hold one at a time, and all take turns.
  std::vector<int> samples_with_lease(10, 0);
  for (int i = 0; i < 1200; ++i) {
    simulation.Run(simulation.now + 100'000);
    for (int n = 0; n < 10; ++n) samples_with_lease[static_cast<size_t>(n)] += usable(n, 2) > 0 ? 1 : 0;
  }
  for (int n = 0; n < 10; ++n) EXPECT_GT(samples_with_lease[static_cast<size_t>(n)], 60) << n;
  EXPECT_EQ(simulation.violations, 0u) << simulation.first_violation;
  // Without demand there are no lease requests.
  SetAllDemands(&simulation, 0);
  simulation.Run(simulation.now + simulation.process_settings.LeaseTerm() + 2 * kSecond);
  uint64_t requests_before = 0, requests_after = 0;
  for (BudgetSimulation::Process& process : simulation.processes)
    requests_before += process.core->counts().lease_requests;
  simulation.Run(simulation.now + 30 * kSecond);
  for (BudgetSimulation::Process& process : simulation.processes)
    requests_after += process.core->counts().lease_requests;
  EXPECT_EQ(requests_before, requests_after);
}

// Malformed messages, random bytes and messages with false claims.
TEST(Budgets, InvalidMessagesGrantNothing) {
  std::mt19937_64 random(1);
  Message valid;
  valid.kind = Kind::kGrant, valid.entries = {{1, 2, 3}, {4, 5, 6}}, valid.term = 5000;
  std::vector<uint8_t> bytes = Encode(valid);
  EXPECT_EQ(Decode(bytes)->entries, valid.entries);
  for (size_t length = 0; length < bytes.size(); ++length)
    EXPECT_FALSE(Decode({bytes.data(), length})) << length;
  Settings settings = MakeSettings(3, 3, {100});
  settings.self = 2, settings.incarnation = 9;
  Budgets core(settings, 0);
  core.SetDemand(1, 100);
  OutgoingMessages out;
  core.RequestLeases(1000, &out, uint16_t{0});
  for (int i = 0; i < 200000; ++i) {
    std::vector<uint8_t> noise = bytes;
    for (size_t n = random() % 12; n > 0; --n)
      noise[random() % noise.size()] = static_cast<uint8_t>(random());
    auto decoded = Decode(noise);
    if (decoded) core.OnMessage(2000, static_cast<uint16_t>(random() % 3), *decoded, &out);
    if (i % 1000 == 0) out.clear();
  }
  EXPECT_EQ(core.Usable(3000, 1), 16u);
  // Votes of members that are no voters don't count, nor does a grant that exceeds the total.
  Message vote;
  vote.kind = Kind::kVote, vote.incarnation = 9, vote.round = 1;
  core.Campaign(20 * kSecond, &out);
  for (uint16_t from : {uint16_t{7}, uint16_t{8}, uint16_t{9}})
    core.OnMessage(20 * kSecond, from, vote, &out);
  EXPECT_FALSE(core.IsLeader(20 * kSecond));
  Message oversized;
  oversized.kind = Kind::kGrant, oversized.incarnation = 9, oversized.round = 1, oversized.term = kSecond,
  oversized.entries = {{1, 101, 1}};
  core.OnMessage(2000, 0, oversized, &out);
  EXPECT_EQ(core.Usable(3000, 1), 16u);
  // Floors that sum to more than the total make the budget unusable.
  Settings invalid = settings;
  invalid.budgets[0].floor = 40;
  EXPECT_EQ(Budgets(invalid, 0).Usable(0, 1), 0u);
}

TEST(Budgets, AStaleReleaseDoesNotRevokeANewerVote) {
  Voter voter(0, 10);
  const Candidate one{1, 7}, other{2, 8};
  EXPECT_FALSE(voter.RequestVote(9, one, 1));  // an earlier incarnation may have promised its vote
  EXPECT_TRUE(voter.RequestVote(10, one, 3));
  voter.Release(11, one, 2);
  EXPECT_FALSE(voter.RequestVote(12, other, 1));
  voter.Release(12, other, 9);
  EXPECT_FALSE(voter.RequestVote(12, other, 2));
  voter.Release(13, one, 3);
  EXPECT_TRUE(voter.RequestVote(13, other, 3));
}

// Explores every order of events of three members that have just started: deliver, lose or duplicate any
// message, advance time by a second (on clocks that drift apart), campaign, request leases, leave, crash and
// restart.
class ExhaustiveSearch {
 public:
  struct State {
    std::vector<Budgets> cores;
    std::vector<std::pair<Outgoing, uint16_t>> in_flight;  // and its sender
    Micros now = 0;
    int restarts = 0, duplicates = 0;
  };
  static Micros Clock(Micros now, size_t n) {
    const double rates[] = {1 - kMaxClockDrift, 1 + kMaxClockDrift, 1};
    return static_cast<Micros>(static_cast<double>(now) * rates[n]) + static_cast<Micros>(n) * 77 * kSecond;
  }
  static Settings SettingsOf(size_t n, uint32_t incarnation) {
    Settings settings = MakeSettings(3, 3, {10, 2});
    settings.vote_term = 4 * kSecond, settings.request_interval = kSecond;
    settings.self = static_cast<uint16_t>(n), settings.incarnation = incarnation;
    return settings;
  }
  uint64_t states = 0;
  std::string violation;

  // Breadth first from each of several start points, up to a number of states.
  void Explore(size_t max_states) {
    State start;
    for (size_t n = 0; n < 3; ++n) StartCore(&start, n, static_cast<uint32_t>(n + 1));
    start.now = 5 * kSecond;  // the initial wait of the voters is over
    Invoke(&start, 0, [](Budgets& core, Micros now, OutgoingMessages* out) { core.Campaign(now, out); });
    State elected = start;
    // Elected by two of three: the third has not been asked.
    std::erase_if(elected.in_flight, [](const auto& one) { return one.first.to == 2; });
    DeliverAll(&elected);
    DeliverAll(&elected);
    // The first, or the second member, holds all of the pools.
    State first = elected, second = elected;
    SendLeaseRequest(&first, 0, 0), DeliverAll(&first);
    SendLeaseRequest(&second, 1, 0), DeliverAll(&second), DeliverAll(&second);
    // The same shortly before the votes expire.
    State near_expiry = elected;
    near_expiry.now += 3 * kSecond;
    SendLeaseRequest(&near_expiry, 1, 0), DeliverAll(&near_expiry), DeliverAll(&near_expiry);
    // All have requested leases, and answers are in flight.
    State asked = first;
    asked.now += kSecond;
    SendLeaseRequest(&asked, 1, 0), DeliverAll(&asked), SendLeaseRequest(&asked, 0, 0),
        SendLeaseRequest(&asked, 2, 0);
    // One has abandoned its campaign, and its messages are in flight.
    State abandoned = start;
    Invoke(&abandoned, 0,
           [](Budgets& core, Micros now, OutgoingMessages* out) { core.AbandonCampaign(now, out); });
    struct StartPoint {
      State state;
      unsigned actions;
      std::vector<size_t> actors;
    };
    for (const auto& [start_point, actions, actors] :
         {StartPoint{start, kVoteActions | kClockSteps | kDuplicates, {0, 1, 2}},
          StartPoint{abandoned, kVoteActions | kClockSteps, {0, 2}},
          StartPoint{first, kLeaseRequests | kClockSteps | kDuplicates, {1, 2}},
          StartPoint{second, kRestarts | kVoteActions | kLeaseRequests, {0, 2}},
          StartPoint{second, kLeaves | kVoteActions | kLeaseRequests, {0, 2}},
          StartPoint{near_expiry, kClockSteps | kVoteActions | kLeaseRequests, {2}},
          StartPoint{asked, kLeaseRequests | kClockSteps | kDuplicates, {1, 2}}}) {
      actions_ = actions, actors_ = actors;
      seen_.clear();
      std::vector<State> level = {start_point};
      size_t states_before = states;
      int depth = 0;
      for (; !level.empty() && violation.empty() && states - states_before < max_states; ++depth) {
        std::vector<State> next;
        for (const State& state : level) {
          ExpandState(state, &next);
          if (!violation.empty() || states - states_before >= max_states) break;
        }
        level = std::move(next);
      }
      if (!violation.empty()) return;
      depths.push_back(depth - 1);  // every order was explored to that depth
    }
  }
  std::vector<int> depths;
  enum : unsigned {
    kVoteActions = 1,
    kLeaseRequests = 2,
    kRestarts = 4,
    kLeaves = 8,
    kClockSteps = 16,
    kDuplicates = 32
  };

 private:
  template <typename Action>
  static void Invoke(State* state, size_t n, Action action) {
    OutgoingMessages out;
    action(state->cores[n], Clock(state->now, n), &out);
    for (Outgoing& outgoing : out)
      state->in_flight.emplace_back(std::move(outgoing), static_cast<uint16_t>(n));
  }
  static void StartCore(State* state, size_t n, uint32_t incarnation) {
    Budgets fresh(SettingsOf(n, incarnation), Clock(state->now, n));
    fresh.SetDemand(1, 10), fresh.SetDemand(2, 2);
    if (n < state->cores.size()) {
      state->cores[n] = fresh;
    } else {
      state->cores.push_back(fresh);
    }
  }
  static void SendLeaseRequest(State* state, size_t n, uint16_t target) {
    Invoke(state, n, [target](Budgets& core, Micros now, OutgoingMessages* out) {
      core.RequestLeases(now, out, target);
    });
  }
  // Delivers all messages that are in flight.
  static void DeliverAll(State* state) {
    for (const auto& [outgoing, from] : std::exchange(state->in_flight, {}))
      Invoke(state, outgoing.to, [&, f = from](Budgets& core, Micros now, OutgoingMessages* out) {
        core.OnMessage(now, f, outgoing.message, out);
      });
  }
  void AddState(State state, std::vector<State>* next) {
    for (uint32_t budget : {1u, 2u}) {
      uint64_t sum = 0;
      for (size_t n = 0; n < 3; ++n) sum += state.cores[n].Usable(Clock(state.now, n), budget);
      if (sum > (budget == 1 ? 10u : 2u))
        violation = "sum " + std::to_string(sum) + " of budget " + std::to_string(budget);
    }
    std::vector<std::string> in_flight_keys;
    for (const auto& [outgoing, from] : state.in_flight) {
      std::vector<uint8_t> bytes = Encode(outgoing.message);
      in_flight_keys.push_back(std::string(bytes.begin(), bytes.end()) + static_cast<char>(outgoing.to) +
                               static_cast<char>(from));
    }
    std::sort(in_flight_keys.begin(), in_flight_keys.end());
    std::ostringstream text;
    text << state.now << ' ' << state.restarts << state.duplicates << ' ';
    for (const Budgets& core : state.cores) core.Describe(text);
    for (const std::string& key : in_flight_keys) text << '|' << key;
    if (!seen_.insert(std::hash<std::string>()(text.str())).second) return;
    ++states;
    if (state.in_flight.size() <= 8) next->push_back(std::move(state));
  }
  void ExpandState(const State& state, std::vector<State>* next) {
    for (size_t i = 0; i < state.in_flight.size(); ++i) {
      State delivered = state;
      delivered.in_flight.erase(delivered.in_flight.begin() + static_cast<std::ptrdiff_t>(i));
      const auto& [outgoing, from] = state.in_flight[i];
      auto deliver = [&, f = from, &sent = outgoing](State successor) {
        Invoke(&successor, sent.to, [&](Budgets& core, Micros now, OutgoingMessages* out) {
          core.OnMessage(now, f, sent.message, out);
        });
        AddState(std::move(successor), next);
      };
      deliver(std::move(delivered));  // a lost message is one that stays in flight
      if (state.duplicates == 1 || (actions_ & kDuplicates) == 0) continue;
      State duplicated = state;
      ++duplicated.duplicates;
      deliver(std::move(duplicated));
    }
    if ((actions_ & kClockSteps) != 0) {
      State later = state;
      later.now += kSecond;
      AddState(std::move(later), next);
    }
    for (size_t n : actors_) {
      auto act = [&](unsigned kind, auto action) {
        if ((actions_ & kind) == 0) return;
        State successor = state;
        Invoke(&successor, n, action);
        AddState(std::move(successor), next);
      };
      for (uint16_t target : {uint16_t{0}, static_cast<uint16_t>(n)}) {
        act(kLeaseRequests, [target](Budgets& core, Micros now, OutgoingMessages* out) {
          core.RequestLeases(now, out, target);
        });
        if (n == 0) break;
      }
      act(kVoteActions, [](Budgets& core, Micros now, OutgoingMessages* out) { core.Campaign(now, out); });
      act(kVoteActions,
          [](Budgets& core, Micros now, OutgoingMessages* out) { core.AbandonCampaign(now, out); });
      act(kLeaves, [](Budgets& core, Micros now, OutgoingMessages* out) { core.Leave(now, out); });
      if (state.restarts == 1 || (actions_ & kRestarts) == 0) continue;
      State restarted = state;
      ++restarted.restarts;
      StartCore(&restarted, n, static_cast<uint32_t>(10 + n));
      AddState(std::move(restarted), next);
    }
  }
  std::unordered_set<size_t> seen_;
  unsigned actions_ = 0;
  std::vector<size_t> actors_;  // the members that act on their own, not only on messages
};

TEST(Budgets, EveryOrderOfEventsKeepsTheTotal) {
  ExhaustiveSearch search;
  search.Explore(60'000);
  EXPECT_EQ(search.violation, "");
  std::printf("%llu states; every order from each start point to depth",
              static_cast<unsigned long long>(search.states));
  for (int depth : search.depths) std::printf(" %d", depth);
  std::printf("\n");
}

}  // namespace
}  // namespace lemonchute::budget
