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

RunSpec WithFaults(std::vector<PathFault> faults) {
  RunSpec day = TinyDay();
  day.gateways = 4;
  day.path_faults = std::move(faults);
  return day;
}

TEST(Paths, EachWayOfEachPathByItself) {
  using F = RemoteParty;
  using W = PathDirection;
  RunSpec day = WithFaults({{F::kGateways, W::kBoth, PathFaultKind::kCut, {0}, {1}, 0},
                            {F::kGateways, W::kOut, PathFaultKind::kCut, {0}, {2}, 0},  // 2 does not hear 0
                            {F::kGateways, W::kIn, PathFaultKind::kCut, {0}, {3}, 0},   // 0 does not hear 3
                            {F::kBackends, W::kOut, PathFaultKind::kBlackHole, {1}, {}, 0},
                            {F::kCounter, W::kIn, PathFaultKind::kReset, {}, {}, 0}});
  Paths paths(day);
  EXPECT_TRUE(paths.Passes(0, F::kGateways, 1));
  for (int i = 0; i < 5; ++i) paths.SetActive(i, true);
  struct Case {
    int gateway;
    RemoteParty far;
    int other;
    bool out, in;
  };
  for (const Case& c : {Case{0, F::kGateways, 1, false, false}, Case{1, F::kGateways, 0, false, false},
                        Case{0, F::kGateways, 2, false, true}, Case{2, F::kGateways, 0, true, false},
                        Case{0, F::kGateways, 3, true, false}, Case{3, F::kGateways, 0, false, true},
                        Case{1, F::kGateways, 2, true, true},  // the bridge hears both sides
                        Case{1, F::kBackends, 0, false, true}, Case{0, F::kBackends, 0, true, true},
                        Case{2, F::kCounter, 0, true, false}, Case{2, F::kDiscovery, 0, true, true}}) {
    EXPECT_EQ(paths.Outbound(c.gateway, c.far, c.other).Passes(), c.out) << c.gateway << " > " << c.other;
    EXPECT_EQ(paths.Inbound(c.gateway, c.far, c.other).Passes(), c.in) << c.gateway << " < " << c.other;
  }
  for (int i = 0; i < 5; ++i) paths.SetActive(i, false);
  EXPECT_TRUE(paths.Passes(2, F::kCounter));
}

TEST(Paths, FaultsThatOverlapAddUpAndEndByThemselves) {
  RunSpec day =
      WithFaults({{RemoteParty::kCounter, PathDirection::kBoth, PathFaultKind::kDelay, {0}, {}, 20},
                  {RemoteParty::kCounter, PathDirection::kBoth, PathFaultKind::kDelay, {0}, {}, 30},
                  {RemoteParty::kCounter, PathDirection::kBoth, PathFaultKind::kLoss, {0}, {}, 0.5},
                  {RemoteParty::kCounter, PathDirection::kBoth, PathFaultKind::kLoss, {0}, {}, 0.5},
                  {RemoteParty::kCounter, PathDirection::kBoth, PathFaultKind::kThrottle, {0}, {}, 500},
                  {RemoteParty::kCounter, PathDirection::kBoth, PathFaultKind::kThrottle, {0}, {}, 100}});
  Paths paths(day);
  for (int i = 0; i < 6; ++i) paths.SetActive(i, true);
  PathState state = paths.Outbound(0, RemoteParty::kCounter);
  EXPECT_NEAR(state.delay_s, 0.05, 1e-12);
  EXPECT_NEAR(state.loss, 0.75, 1e-12);
  EXPECT_EQ(state.bytes_per_s, 100);
  paths.SetActive(0, false), paths.SetActive(5, false);
  EXPECT_NEAR(paths.Outbound(0, RemoteParty::kCounter).delay_s, 0.03, 1e-12);
  EXPECT_EQ(paths.Outbound(0, RemoteParty::kCounter).bytes_per_s, 500);
  EXPECT_EQ(paths.Outbound(1, RemoteParty::kCounter).delay_s, 0);
}

TEST(Paths, DatagramsAreLostDoubledAndOvertakenAtTheirShares) {
  struct Case {
    PathFaultKind harm;
    double size, copies, late;  // the copies of a datagram in the mean, and the share that comes late
  };
  for (const Case& c :
       {Case{PathFaultKind::kLoss, 0.3, 0.7, 0}, Case{PathFaultKind::kDuplicate, 0.2, 1.2, 0},
        Case{PathFaultKind::kReorder, 0.25, 1, 0.25}, Case{PathFaultKind::kDelay, 100, 1, 1}}) {
    RunSpec day = WithFaults({{RemoteParty::kGateways, PathDirection::kBoth, c.harm, {}, {}, c.size}});
    Paths paths(day);
    paths.SetActive(0, true);
    constexpr int kMany = 20000;
    double copies = 0, late = 0;
    for (int i = 0; i < kMany; ++i) {
      for (Micros at : paths.DatagramDelays(0, 1, kMs)) copies += 1, late += at > 2 * kMs ? 1 : 0;
    }
    EXPECT_NEAR(copies / kMany, c.copies, 0.02) << static_cast<int>(c.harm);
    EXPECT_NEAR(late / copies, c.late, 0.02) << static_cast<int>(c.harm);
  }
}

TEST(Discovery, OneGatewaysCutKeepsFromItAloneWhatIsNew) {
  RunSpec day = TinyDay();
  day.discovery_notice_lo = day.discovery_notice_hi = 1;
  Discovery discovery(day);
  discovery.Publish(0, {0, ListState::kLeaving, 0}, nullptr);
  discovery.SetCut(0, true, 500 * kMs);
  discovery.Publish(2 * kSecond, {1, ListState::kLeaving, 0}, nullptr);
  EXPECT_EQ(discovery.VersionAt(0, 9 * kSecond), 0);
  EXPECT_EQ(discovery.VersionAt(1, 9 * kSecond), 2);
  discovery.SetSilent(true, 10 * kSecond, nullptr);
  discovery.SetCut(0, false, 11 * kSecond);  // the silence still holds it
  EXPECT_EQ(discovery.VersionAt(0, 19 * kSecond), 0);
  discovery.SetSilent(false, 20 * kSecond, nullptr);
  EXPECT_EQ(discovery.VersionAt(0, 21 * kSecond), 2);
  EXPECT_TRUE(discovery.Withheld(1) && discovery.Withheld(2));
}

std::string Texts(const std::vector<EventConfig>& events) {
  Scenario scenario = Shipped("faults");
  scenario.events = events;
  return WriteScenario(scenario);
}

TEST(Plans, AreTheSameForASeedEndInQuietAndReadBackAsTheyAre) {
  Scenario base = Shipped("faults");
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    PlanWish wish;
    wish.events = 15, wish.real = true;
    std::vector<EventConfig> plan = DrawPlan(base, seed, wish);
    EXPECT_GE(plan.size(), 15u);
    EXPECT_EQ(Texts(plan), Texts(DrawPlan(base, seed, wish)));
    ScenarioParseResult read = ParseScenario(Texts(plan));
    ASSERT_TRUE(read.errors.empty()) << seed << ": " << read.errors[0].key << " " << read.errors[0].message;
    EXPECT_EQ(WriteScenario(read.scenario), Texts(plan));
    Scenario scenario = base;
    scenario.events = plan;
    RunSpec day = DrawRunSpec(scenario, seed), again = DrawRunSpec(read.scenario, seed);
    ASSERT_EQ(day.site_events.size(), again.site_events.size());
    for (const SiteEvent& incident : day.site_events)
      EXPECT_LE(incident.at, FromSeconds(30 - wish.quiet_s) + kMs) << seed;
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
                         [&](const EventConfig& e) { return e.at_s.lo == at; });
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
    RunSpec day = DrawRunSpec(scenario, seed);
    History first, second;
    nlohmann::json report = PlayVirtual(day, nullptr, &first);
    PlayVirtual(day, nullptr, &second);
    EXPECT_EQ(report["broken"], 0) << report.value("breaches", nlohmann::json()).dump();
    EXPECT_EQ(first.ToJsonLines(), second.ToJsonLines());
    EXPECT_GT(first.events().size(), 1000u);
    EXPECT_GT(report["timeline"]["lanes"].size(), 9u);
  }
}

// A record that is replaced in four ways, with a power loss after it: what a reader may then find of old and
// new.
TEST(Disk, ForgetsWhatWasNotSynced) {
  using Steps = std::function<void(SimulatedDisk*)>;
  const std::string old = "old", fresh = "fresh";
  struct Case {
    const char* about;
    Steps steps;
    bool may_be_old, may_be_fresh, may_be_torn, may_be_gone;
  };
  auto aside = [&](SimulatedDisk* d, bool bytes, bool names) {
    d->Write("record.new", fresh);
    if (bytes) d->Sync("record.new");
    d->Rename("record.new", "record");
    if (names) d->SyncDirectory();
  };
  for (const Case& c :
       {Case{"synced, renamed, names synced", [&](SimulatedDisk* d) { aside(d, true, true); }, false, true,
             false, false},
        Case{"names not synced", [&](SimulatedDisk* d) { aside(d, true, false); }, true, true, false, false},
        Case{"bytes not synced", [&](SimulatedDisk* d) { aside(d, false, true); }, false, true, true, false},
        Case{"written over", [&](SimulatedDisk* d) { d->Write("record", fresh); }, true, true, true, false},
        Case{"removed", [&](SimulatedDisk* d) { d->Remove("record"); }, true, false, false, true}}) {
    bool was_old = false, was_fresh = false, was_torn = false, was_gone = false;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
      Random random(seed, Stream::kFaults);
      SimulatedDisk disk;
      disk.Write("record", old), disk.Sync("record"), disk.SyncDirectory();
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
  SimulatedDisk disk(10);
  EXPECT_TRUE(disk.Append("log", "12345"));
  EXPECT_TRUE(disk.Sync("log") && disk.SyncDirectory());
  EXPECT_TRUE(disk.Append("log", "678"));
  EXPECT_FALSE(disk.Append("log", "xxx"));  // no room
  disk.SetFailing(true);
  EXPECT_FALSE(disk.Write("log", "") || disk.Sync("log") || disk.Rename("log", "other") ||
               disk.Remove("log"));
  disk.SetFailing(false);
  EXPECT_EQ(disk.Read("log"), "12345678");
  disk.PowerLoss(&random);
  EXPECT_EQ(disk.Read("log")->substr(0, 5), "12345");
  EXPECT_EQ(disk.ListNames(), std::vector<std::string>{"log"});
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
  RunSpec day = DrawRunSpec(scenario, 1), quiet = WithoutTroubles(day);
  EXPECT_FALSE(day.site_events.empty());
  EXPECT_TRUE(quiet.site_events.empty());
  EXPECT_EQ(day.arrivals.size(), quiet.arrivals.size());
}

}  // namespace
}  // namespace lemonchute::lab
