// The reader of scenarios: every fault by its place, and nothing that random or cut-off text can break.
#include <algorithm>

#include "model/random.h"
#include "tiny.h"

namespace lemonchute::lab {
namespace {

TEST(Scenario, EveryFaultIsNamedWithItsLineAndKey) {
  struct Case {
    const char *line, *key, *why;  // a line put at the end of the tiny scenario, and what is said of it
  };
  const std::vector<Case> cases = {
      {"[load]\nuse = [2, 1]", "load.use", "inverted range"},
      {"[load]\nuse = 11", "load.use", "from 0 to 10"},
      {"[load]\nuse = \"much\"", "load.use", "neither a number nor a range"},
      {"[load]\nuse = [1]", "load.use", "range of two numbers"},
      {"[load]\nuse = nan", "load.use", "not a finite number"},
      {"[load]\nusage = 1", "load.usage", "not known"},
      {"[network]\nclient_s = 1", "network.client_s", "did you mean network.client_ms"},
      {"[requests]\nunits_top = 1.5", "requests.units_top", "whole number"},
      {"[loads]\nuse = 1", "loads", "not known"},
      {"[[event]]\nkind = \"kil\"\nat_s = 1", "event[0].kind", "\"kil\" is not known"},
      {"[[event]]\nkind = \"kill\"\nat_s = 21", "event[0].at_s", "past the end of the run"},
      {"[[event]]\nat_s = 1", "event[0].kind", "is missing"},
      {"[[event]]\nkind = \"kill\"\nat_s = 1\npart = 2", "event[0].part", "from 0 to 1"},
      {"[[class]]\nname = \"A b\"", "class[1].name", "lower-case letters"},
      {"[[class]]\nname = \"b\"\naim_ms = 5000", "class[1].aim_ms", "past deadline_ms"},
      {"[[plan]]\nname = \"b\"\nrate = 1", "plan[2].rate", "not known"},
      {"[expect]\ng = 1", "expect.g", "not known"},
      {"[expect]\nrules = \"no\"", "expect.rules", "\"kept\" or \"any\""},
      {"[expect]\ng_at_least = \"x\"", "expect.g_at_least", "not a number"},
  };
  for (const Case& c : cases) {
    std::string text = std::string(kTiny) + c.line + "\n";
    auto lines = static_cast<int>(std::count(kTiny, kTiny + std::string(kTiny).size(), '\n'));
    std::vector<ScenarioError> faults = ParseScenario(text).errors;
    auto named = std::find_if(faults.begin(), faults.end(), [&](const ScenarioError& f) {
      return f.key == c.key && f.message.find(c.why) != std::string::npos;
    });
    ASSERT_NE(named, faults.end()) << c.line << ": "
                                   << (faults.empty() ? "no fault" : faults[0].key + " " + faults[0].message);
    EXPECT_TRUE(named->line == 0 || named->line > lines) << c.line;
  }
}

TEST(Scenario, AllFaultsComeInOneGo) {
  ScenarioParseResult read =
      ParseScenario("name = \"UP\"\n[load]\nuse = [2, 1]\nusage = 3\n[fleet]\nzones = 9\ngateways = 3\n");
  std::vector<std::string> keys;
  for (const ScenarioError& fault : read.errors) keys.push_back(fault.key);
  for (const char* key : {"name", "load.use", "load.usage", "class", "plan", "fleet.zones"}) {
    EXPECT_EQ(std::count(keys.begin(), keys.end(), key), 1) << key;
  }
}

TEST(Scenario, BrokenTextIsOneFaultWithItsLine) {
  ScenarioParseResult read = ParseScenario("name = \"a\"\n[load\n");
  ASSERT_EQ(read.errors.size(), 1u);
  EXPECT_EQ(read.errors[0].line, 2);
  EXPECT_EQ(ParseScenario(std::string(2 << 20, '#')).errors.size(), 1u);
}

TEST(Scenario, CutOffAndRandomTextEndsInFaultsOrAScenario) {
  std::string whole = Slurp(ShippedPath("split"));
  ASSERT_TRUE(ParseScenario(whole).errors.empty());
  for (size_t length = 0; length < whole.size(); length += 7) ParseScenario(whole.substr(0, length));
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed, Stream::kSeeds);
    std::string text = whole;
    for (int i = 0; i < 12; ++i)
      text[static_cast<size_t>(random.UniformInt(static_cast<int>(text.size())))] =
          static_cast<char>(random.UniformInt(256));
    ScenarioParseResult read = ParseScenario(text);
    EXPECT_LE(read.errors.size(), 64u);
    for (const ScenarioError& fault : read.errors) EXPECT_FALSE(fault.message.empty());
  }
}

TEST(Scenario, OneFigureIsSetOrRefusedLikeInAFile) {
  Scenario scenario;
  EXPECT_FALSE(SetParameter(&scenario, "load.use=[0.1, 0.2]"));
  EXPECT_EQ(scenario.load_use, (Range{0.1, 0.2}));
  for (const char* wrong :
       {"load.use", "load.use=", "load.use=x", "load.use=[2,1]", "load.usage=1", "load.use=99", "=1"}) {
    EXPECT_TRUE(SetParameter(&scenario, wrong)) << wrong;
  }
  EXPECT_EQ(scenario.load_use, (Range{0.1, 0.2}));
}

TEST(Scenario, TheSameSeedDrawsTheSameDay) {
  Scenario scenario = Shipped("herd");
  RunSpec a = DrawRunSpec(scenario, 5), b = DrawRunSpec(scenario, 5), c = DrawRunSpec(scenario, 6);
  ASSERT_EQ(a.arrivals.size(), b.arrivals.size());
  for (size_t i = 0; i < a.arrivals.size(); ++i) {
    ASSERT_EQ(a.arrivals[i].at, b.arrivals[i].at);
    ASSERT_EQ(a.arrivals[i].work_s, b.arrivals[i].work_s);
  }
  EXPECT_EQ(a.site_events.size(), b.site_events.size());
  EXPECT_NE(a.arrivals[0].at, c.arrivals[0].at);
  EXPECT_TRUE(std::is_sorted(a.arrivals.begin(), a.arrivals.end(),
                             [](const Arrival& x, const Arrival& y) { return x.at < y.at; }));
}

TEST(Scenario, LoadIsTheShareOfCapacityThatWasAskedFor) {
  // Inside quotas, over ten seeds: what is asked is use times what the backends do, give or take a customer.
  double asked = 0, wanted = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    RunSpec day = DrawRunSpec(Shipped("quiet", {"load.use=0.5", "customers.heavy_share=0",
                                                "customers.spiky_share=0", "day.length_s=60"}),
                              seed);
    for (const Arrival& a : day.arrivals) asked += a.work_s;
    wanted += 0.5 * day.InitialCapacity() * ToSeconds(day.length);
  }
  EXPECT_NEAR(asked / wanted, 1, 0.1);
}

}  // namespace
}  // namespace lemonchute::lab
