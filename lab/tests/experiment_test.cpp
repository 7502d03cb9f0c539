// Many days: the same seed gives the same report, chance is told from difference, and pages hold what was
// found.
#include <filesystem>
#include <set>

#include "cli/tables.h"
#include "experiment/compare.h"
#include "experiment/runner.h"
#include "experiment/statistics.h"
#include "experiment/worst_order.h"
#include "report/html.h"
#include "tiny.h"

namespace lemonchute::lab {
namespace {

Batch Days(const std::vector<std::string>& names, uint64_t to, int jobs) {
  Batch batch;
  for (const std::string& name : names) batch.scenarios.push_back(Shipped(name, {"day.length_s=12"}));
  for (Scenario& s : batch.scenarios)
    s.events.erase(
        std::remove_if(s.events.begin(), s.events.end(), [](const EventConfig& e) { return e.at_s.hi > 12; }),
        s.events.end());
  batch.last_seed = to;
  batch.jobs = jobs;
  return batch;
}

std::string Dump(const std::vector<nlohmann::json>& reports) {
  std::string text;
  for (const nlohmann::json& report : reports) text += report.dump() + "\n";
  return text;
}

TEST(Experiment, TheSameSeedsGiveTheSameReportsByteForByte) {
  std::vector<nlohmann::json> alone = Play(Days({"herd", "split"}, 3, 1));
  EXPECT_EQ(Dump(alone), Dump(Play(Days({"herd", "split"}, 3, 4))));
  EXPECT_NE(alone[0]["digest"], alone[1]["digest"]);
  for (const nlohmann::json& report : alone) EXPECT_GT(report["counts"]["served"], 1000);
}

// What these have in part only real processes can show.
const std::set<std::string> kRealOnly = {"upgrade", "scrape", "join"};

TEST(Experiment, EveryShippedScenarioIsSoundAndKeepsTheRulesInVirtualTime) {
  for (const char* name : {"quiet", "burst", "herd", "zone", "split", "join", "roll", "upgrade", "drain",
                           "hand", "scrape", "retune"}) {
    Batch batch;
    batch.scenarios = {Shipped(name)};
    nlohmann::json report = Play(batch)[0];
    EXPECT_EQ(report["broken"], 0) << name << ": " << report.value("breaches", nlohmann::json()).dump();
    EXPECT_EQ(report.contains("not_played"), kRealOnly.count(name) == 1) << name;
  }
  Shipped("soak");
}

TEST(Experiment, WhatIsExpectedIsHeldAgainstTheReport) {
  nlohmann::json report = {{"broken", 1},
                           {"g", 0.5},
                           {"served", 0.6},
                           {"told_over_sent", 1.5},
                           {"troubles", {{{"recover_s", -1}}}}};
  struct Case {
    Expectations expect;
    bool held;
  };
  Expectations none, rules, g, served, told, recover;
  for (Expectations* e : {&none, &g, &served, &told, &recover}) e->rules_kept = false;
  g.g_at_least = 0.5, served.served_at_least = 0.61, told.told_at_most = 1.2, recover.recover_s_at_most = 10;
  for (const Case& c : std::vector<Case>{
           {none, true}, {rules, false}, {g, true}, {served, false}, {told, false}, {recover, false}}) {
    nlohmann::json copy = report;
    Hold(c.expect, &copy);
    EXPECT_EQ(copy["held"], c.held) << copy["expectations"].dump();
  }
}

TEST(Experiment, ADifferenceIsToldFromNoise) {
  EXPECT_TRUE(Bootstrap({0.1, 0.11, 0.09, 0.12, 0.1}).Tells());
  EXPECT_FALSE(Bootstrap({0.1, -0.11, 0.09, -0.12, 0.02}).Tells());
  EXPECT_FALSE(Bootstrap({0.1}).Tells());
  Interval interval = Bootstrap({1, 2, 3});
  EXPECT_DOUBLE_EQ(interval.mean, 2);
  EXPECT_GE(interval.low, 1);
  EXPECT_LE(interval.high, 3);
  EXPECT_DOUBLE_EQ(Median({3, 1, 2, 10}), 2.5);
  EXPECT_DOUBLE_EQ(Median({}), 0);
}

TEST(Experiment, ComparingTellsTwoModulesApartAndOneFromItself) {
  // Folders as builds leave them: the sound lab, and the one round a module that tells the counter twice.
  std::string folder = testing::TempDir() + "lab-compare";
  Builds builds;
  for (auto [name, program] : {std::pair{"sound", std::string(LAB_PROGRAM)},
                               {"cut", std::string(LAB_CUTS) + "/lab_cut_told_twice"}}) {
    std::filesystem::create_directories(folder + "/" + name);
    std::filesystem::remove(folder + "/" + name + "/lemonchute-lab");
    std::filesystem::create_symlink(program, folder + "/" + name + "/lemonchute-lab");
  }
  builds.a = builds.b = folder + "/sound";
  builds.scenarios = {ShippedPath("quiet")}, builds.settings = {"day.length_s=10"}, builds.last_seed = 6;
  nlohmann::json same = Compare(builds)["scenarios"][0]["figures"];
  for (const auto& [name, figure] : same.items()) EXPECT_EQ(figure["difference"], 0) << name;
  builds.b = folder + "/cut";
  nlohmann::json other = Compare(builds)["scenarios"][0]["figures"];
  EXPECT_TRUE(other["refused_share"]["tells"]);
  EXPECT_GT(other["refused_share"]["low"], 0);
  std::filesystem::remove_all(folder);
}

TEST(Experiment, TheWorstOrderOfReturnIsFoundAndPlaysAgain) {
  Scenario day =
      Shipped("faults", {"fleet.gateways=8", "fleet.backends=12", "day.length_s=12", "day.settle_s=4"});
  OrderWish wish;
  wish.plays = 64, wish.jobs = 4;
  EXPECT_THROW(FindWorstOrder(day, wish), std::invalid_argument);
  EventConfig loss;
  loss.kind = "power-loss", loss.at_s = {4, 4}, loss.for_s = {4, 4}, loss.down_s = {0.5, 0.5};
  loss.size = {0.125, 0.125}, loss.targets = {0, 1, 2, 3, 4, 5, 6, 7};
  day.events = {loss};
  WorstOrder found = FindWorstOrder(day, wish);
  EXPECT_EQ(found.plays, 64);
  EXPECT_GE(found.worst.lost, std::max(found.up.lost, found.down.lost));
  EXPECT_GE(found.worst.lost, *std::max_element(found.drawn.begin(), found.drawn.end()));
  EXPECT_GT(found.worst.lost, std::min(found.up.lost, found.down.lost));
  EXPECT_EQ(FindWorstOrder(day, wish).worst.order, found.worst.order);
  // What is written is that day.
  ScenarioParseResult read = ParseScenario(WriteScenario(found.scenario));
  ASSERT_TRUE(read.errors.empty()) << read.errors[0].message;
  Batch batch;
  batch.scenarios = {read.scenario};
  EXPECT_DOUBLE_EQ(Play(batch)[0]["lost_to_troubles"], found.worst.lost);
}

TEST(Report, ThePageStandsAloneAndEscapesWhatItIsGiven) {
  Batch batch = Days({"zone"}, 1, 1);
  batch.with_history = true;
  std::vector<nlohmann::json> reports = Play(batch);
  reports[0]["breaches"] = {
      {{"rule", "<b>"}, {"at_s", 1}, {"request", 1}, {"gateways", {0}}, {"what", "a & \"b\""}}};
  std::string page = HtmlReport(reports);
  for (const char* wanted :
       {"<svg", "zone-lost", "&lt;b&gt;", "a &amp; &quot;b&quot;", "Refused tries by the truth", "n9 runs",
        "worth served of asked", "class=\"fault\"", "class=\"breach\"", "</html>"}) {
    EXPECT_NE(page.find(wanted), std::string::npos) << wanted;
  }
  for (const char* outside : {"http://", "https://", "src=", "<script", ">nan", ",nan"})
    EXPECT_EQ(page.find(outside), std::string::npos) << outside;
  EXPECT_NE(DayTable(reports).find("zone"), std::string::npos);
}

}  // namespace
}  // namespace lemonchute::lab
