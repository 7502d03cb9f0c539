// Faults on paths, drawn plans and their shrinking, and the yardstick of recovery: all without sockets.
#include "model/paths.h"

#include <numeric>

#include "experiment/faults.h"
#include "experiment/recovery.h"
#include "experiment/runner.h"
#include "model/discovery.h"
#include "model/disk.h"
#include "play/virtual/virtual_day.h"
#include "tiny.h"

namespace lemonchute::lab {
namespace {

constexpr Micros kMs = 1000;

Day WithFaults(std::vector<PathFault> faults) {
  Day day = TinyDay();
  day.gateways = 4;
  day.path_faults = std::move(faults);
  return day;
}

TEST(Paths, EachWayOfEachPathByItself) {
  using F = Far;
  using W = Ways;
  Day day = WithFaults({{F::kGateways, W::kBoth, Harm::kCut, {0}, {1}, 0},
                        {F::kGateways, W::kOut, Harm::kCut, {0}, {2}, 0},  // 2 does not hear 0
                        {F::kGateways, W::kIn, Harm::kCut, {0}, {3}, 0},   // 0 does not hear 3
                        {F::kBackends, W::kOut, Harm::kBlackHole, {1}, {}, 0},
                        {F::kCounter, W::kIn, Harm::kReset, {}, {}, 0}});
  Paths paths(day);
  EXPECT_TRUE(paths.Passes(0, F::kGateways, 1));
  for (int i = 0; i < 5; ++i) paths.Set(i, true);
  struct Case {
    int gateway;
    Far far;
    int other;
    bool out, in;
  };
  for (const Case& c : {Case{0, F::kGateways, 1, false, false}, Case{1, F::kGateways, 0, false, false},
                        Case{0, F::kGateways, 2, false, true}, Case{2, F::kGateways, 0, true, false},
                        Case{0, F::kGateways, 3, true, false}, Case{3, F::kGateways, 0, false, true},
                        Case{1, F::kGateways, 2, true, true},  // the bridge hears both sides
                        Case{1, F::kBackends, 0, false, true}, Case{0, F::kBackends, 0, true, true},
                        Case{2, F::kCounter, 0, true, false}, Case{2, F::kDiscovery, 0, true, true}}) {
    EXPECT_EQ(paths.Out(c.gateway, c.far, c.other).Passes(), c.out) << c.gateway << " > " << c.other;
    EXPECT_EQ(paths.In(c.gateway, c.far, c.other).Passes(), c.in) << c.gateway << " < " << c.other;
  }
  for (int i = 0; i < 5; ++i) paths.Set(i, false);
  EXPECT_TRUE(paths.Passes(2, F::kCounter));
}

TEST(Paths, FaultsThatOverlapAddUpAndEndByThemselves) {
  Day day = WithFaults({{Far::kCounter, Ways::kBoth, Harm::kDelay, {0}, {}, 20},
                        {Far::kCounter, Ways::kBoth, Harm::kDelay, {0}, {}, 30},
                        {Far::kCounter, Ways::kBoth, Harm::kLoss, {0}, {}, 0.5},
                        {Far::kCounter, Ways::kBoth, Harm::kLoss, {0}, {}, 0.5},
                        {Far::kCounter, Ways::kBoth, Harm::kTrickle, {0}, {}, 500},
                        {Far::kCounter, Ways::kBoth, Harm::kTrickle, {0}, {}, 100}});
  Paths paths(day);
  for (int i = 0; i < 6; ++i) paths.Set(i, true);
  PathState state = paths.Out(0, Far::kCounter);
  EXPECT_NEAR(state.delay_s, 0.05, 1e-12);
  EXPECT_NEAR(state.loss, 0.75, 1e-12);
  EXPECT_EQ(state.bytes_per_s, 100);
  paths.Set(0, false), paths.Set(5, false);
  EXPECT_NEAR(paths.Out(0, Far::kCounter).delay_s, 0.03, 1e-12);
  EXPECT_EQ(paths.Out(0, Far::kCounter).bytes_per_s, 500);
  EXPECT_EQ(paths.Out(1, Far::kCounter).delay_s, 0);
}

TEST(Paths, DatagramsAreLostDoubledAndOvertakenAtTheirShares) {
  struct Case {
    Harm harm;
    double size, copies, late;  // the copies of a datagram in the mean, and the share that comes late
  };
  for (const Case& c : {Case{Harm::kLoss, 0.3, 0.7, 0}, Case{Harm::kDuplicate, 0.2, 1.2, 0},
                        Case{Harm::kReorder, 0.25, 1, 0.25}, Case{Harm::kDelay, 100, 1, 1}}) {
    Day day = WithFaults({{Far::kGateways, Ways::kBoth, c.harm, {}, {}, c.size}});
    Paths paths(day);
    paths.Set(0, true);
    constexpr int kMany = 20000;
    double copies = 0, late = 0;
    for (int i = 0; i < kMany; ++i) {
      for (Micros at : paths.Datagram(0, 1, kMs)) copies += 1, late += at > 2 * kMs ? 1 : 0;
    }
    EXPECT_NEAR(copies / kMany, c.copies, 0.02) << static_cast<int>(c.harm);
    EXPECT_NEAR(late / copies, c.late, 0.02) << static_cast<int>(c.harm);
  }
}

TEST(Discovery, OneGatewaysCutKeepsFromItAloneWhatIsNew) {
  Day day = TinyDay();
  day.list_notice_lo = day.list_notice_hi = 1;
  Discovery discovery(day);
  discovery.Tell(0, {0, Listed::kLeaving, 0}, nullptr);
  discovery.Cut(0, true, 500 * kMs);
  discovery.Tell(2 * kSecond, {1, Listed::kLeaving, 0}, nullptr);
  EXPECT_EQ(discovery.VersionAt(0, 9 * kSecond), 0);
  EXPECT_EQ(discovery.VersionAt(1, 9 * kSecond), 2);
  discovery.Silent(true, 10 * kSecond, nullptr);
  discovery.Cut(0, false, 11 * kSecond);  // the silence still holds it
  EXPECT_EQ(discovery.VersionAt(0, 19 * kSecond), 0);
  discovery.Silent(false, 20 * kSecond, nullptr);
  EXPECT_EQ(discovery.VersionAt(0, 21 * kSecond), 2);
  EXPECT_TRUE(discovery.Withheld(1) && discovery.Withheld(2));
}

std::string Texts(const std::vector<EventFigures>& events) {
  Scenario scenario = Shipped("faults");
  scenario.events = events;
  return WriteScenario(scenario);
}

TEST(Plans, AreTheSameForASeedEndInQuietAndReadBackAsTheyAre) {
  Scenario base = Shipped("faults");
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    PlanWish wish;
    wish.events = 15, wish.real = true;
    std::vector<EventFigures> plan = DrawPlan(base, seed, wish);
    EXPECT_GE(plan.size(), 15u);
    EXPECT_EQ(Texts(plan), Texts(DrawPlan(base, seed, wish)));
    ReadScenario read = ParseScenario(Texts(plan));
    ASSERT_TRUE(read.faults.empty()) << seed << ": " << read.faults[0].key << " " << read.faults[0].why;
    EXPECT_EQ(WriteScenario(read.scenario), Texts(plan));
    Scenario scenario = base;
    scenario.events = plan;
    Day day = DrawDay(scenario, seed), again = DrawDay(read.scenario, seed);
    ASSERT_EQ(day.incidents.size(), again.incidents.size());
    for (const Incident& incident : day.incidents)
      EXPECT_LE(incident.at, FromS(30 - wish.quiet_s) + kMs) << seed;
  }
  EXPECT_NE(Texts(DrawPlan(base, 1, {})), Texts(DrawPlan(base, 2, {})));
}

TEST(Plans, ShrinkToTheFewestEventsThatStillFail) {
  Scenario plan = Shipped("faults");
  PlanWish wish;
  wish.events = 15;
  plan.events = DrawPlan(plan, 7, wish);
  // Fails where two of them, far apart, are both there.
  double first = plan.events[2].at_s.lo, second = plan.events[12].at_s.lo;
  auto fails = [&](const Scenario& s) {
    auto has = [&](double at) {
      return std::any_of(s.events.begin(), s.events.end(),
                         [&](const EventFigures& e) { return e.at_s.lo == at; });
    };
    return has(first) && has(second);
  };
  Shrunk least = Shrink(plan, fails);
  ASSERT_EQ(least.scenario.events.size(), 2u);
  EXPECT_EQ(least.scenario.events[0].at_s.lo, first);
  EXPECT_EQ(least.scenario.events[1].at_s.lo, second);
  EXPECT_LT(least.plays, 60);
}

TEST(Plans, TheSamePlanGivesTheSameHistoryByteForByteAndKeepsTheRules) {
  Scenario scenario = Shipped("faults", {"day.length_s=16"});
  PlanWish wish;
  wish.events = 15, wish.quiet_s = 5;
  for (uint64_t seed : {3u, 4u}) {
    scenario.events = DrawPlan(scenario, seed, wish);
    Day day = DrawDay(scenario, seed);
    History first, second;
    nlohmann::json report = PlayVirtual(day, nullptr, &first);
    PlayVirtual(day, nullptr, &second);
    EXPECT_EQ(report["broken"], 0) << report.value("breaches", nlohmann::json()).dump();
    EXPECT_EQ(first.Lines(), second.Lines());
    EXPECT_GT(first.facts().size(), 1000u);
    EXPECT_GT(report["timeline"]["lanes"].size(), 9u);
  }
}

// A record that is replaced in four ways, with a power loss after it: what a reader may then find of old and
// new.
TEST(Disk, ForgetsWhatWasNotSynced) {
  using Steps = std::function<void(ForgetfulDisk*)>;
  const std::string old = "old", fresh = "fresh";
  struct Case {
    const char* about;
    Steps steps;
    bool may_be_old, may_be_fresh, may_be_torn, may_be_gone;
  };
  auto aside = [&](ForgetfulDisk* d, bool bytes, bool names) {
    d->Write("record.new", fresh);
    if (bytes) d->Sync("record.new");
    d->Rename("record.new", "record");
    if (names) d->SyncNames();
  };
  for (const Case& c :
       {Case{"synced, renamed, names synced", [&](ForgetfulDisk* d) { aside(d, true, true); }, false, true,
             false, false},
        Case{"names not synced", [&](ForgetfulDisk* d) { aside(d, true, false); }, true, true, false, false},
        Case{"bytes not synced", [&](ForgetfulDisk* d) { aside(d, false, true); }, false, true, true, false},
        Case{"written over", [&](ForgetfulDisk* d) { d->Write("record", fresh); }, true, true, true, false},
        Case{"removed", [&](ForgetfulDisk* d) { d->Remove("record"); }, true, false, false, true}}) {
    bool was_old = false, was_fresh = false, was_torn = false, was_gone = false;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
      Random random(seed, Stream::kFaults);
      ForgetfulDisk disk;
      disk.Write("record", old), disk.Sync("record"), disk.SyncNames();
      c.steps(&disk);
      disk.PowerLoss(&random);
      auto found = disk.Read("record");
      was_gone |= !found, was_old |= found == old, was_fresh |= found == fresh;
      was_torn |= found && found != old && found != fresh;
      if (found && found != old) {
        EXPECT_EQ(fresh.substr(0, found->size()), *found);
      }
    }
    EXPECT_EQ(was_old, c.may_be_old) << c.about;
    EXPECT_EQ(was_fresh, c.may_be_fresh) << c.about;
    EXPECT_EQ(was_torn, c.may_be_torn) << c.about;
    EXPECT_EQ(was_gone, c.may_be_gone) << c.about;
  }
}

TEST(Disk, AppendsKeepWhatWasSyncedAndAFullOrFailingDiskChangesNothing) {
  Random random(1, Stream::kFaults);
  ForgetfulDisk disk(10);
  EXPECT_TRUE(disk.Append("log", "12345"));
  EXPECT_TRUE(disk.Sync("log") && disk.SyncNames());
  EXPECT_TRUE(disk.Append("log", "678"));
  EXPECT_FALSE(disk.Append("log", "xxx"));  // no room
  disk.Fail(true);
  EXPECT_FALSE(disk.Write("log", "") || disk.Sync("log") || disk.Rename("log", "other") ||
               disk.Remove("log"));
  disk.Fail(false);
  EXPECT_EQ(disk.Read("log"), "12345678");
  disk.PowerLoss(&random);
  EXPECT_EQ(disk.Read("log")->substr(0, 5), "12345");
  EXPECT_EQ(disk.Names(), std::vector<std::string>{"log"});
}

TEST(Recovery, IsMeasuredAgainstTheSameSecondsWithoutTheTrouble) {
  // A burst in seconds 6 and 7 is load: it is asked for on both days.
  auto report = [](std::vector<double> served) {
    return nlohmann::json{{"length_s", 12.0},
                          {"series", {{"served", served}}},
                          {"troubles", {{{"kind", "kill"}, {"from_s", 2.0}, {"to_s", 3.5}}}}};
  };
  struct Case {
    std::vector<double> served;
    int recover_s;
    double lost;
  };
  const std::vector<double> usual = {0, 10, 10, 10, 10, 10, 40, 40, 10, 10, 10, 10};
  for (const Case& c : {Case{usual, 0, 0}, Case{{0, 10, 10, 2, 2, 2, 30, 39, 10, 10, 10, 10}, 3, 35.0 / 170},
                        Case{{0, 10, 10, 2, 2, 2, 2, 2, 2, 2, 2, 2}, -1, 132.0 / 170}}) {
    nlohmann::json with = report(c.served);
    Recover(report(usual), &with);
    EXPECT_EQ(with["troubles"][0]["recover_s"], c.recover_s);
    EXPECT_NEAR(with["lost_to_troubles"].get<double>(), c.lost, 1e-6);
  }
  nlohmann::json late = report(usual);
  late["troubles"][0]["to_s"] = 11.0;
  Recover(report(usual), &late);
  EXPECT_FALSE(late["troubles"][0].contains("recover_s"));
}

TEST(Recovery, ADayWithoutTroublesKeepsItsLoad) {
  Scenario scenario = Shipped("herd");
  Day day = DrawDay(scenario, 1), quiet = WithoutTroubles(day);
  EXPECT_FALSE(day.incidents.empty());
  EXPECT_TRUE(quiet.incidents.empty());
  EXPECT_EQ(day.arrivals.size(), quiet.arrivals.size());
}

}  // namespace
}  // namespace lemonchute::lab
