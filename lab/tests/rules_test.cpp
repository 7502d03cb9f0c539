// The rules on a whole fleet, each over histories written by hand: what it names, and what it leaves alone.
#include "checker/rules.h"

#include <sstream>

#include "checker/timeline.h"
#include "model/random.h"
#include "tiny.h"

namespace lemonchute::lab {
namespace {

// Lines of "MS GATEWAY[.PROCESS] WHAT [SUBJECT [AMOUNT [UNTIL_MS [RATE]]]]"; "-" is no subject.
History Tell(const std::string& text) {
  History history;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    double at_ms = 0, until_ms = -1;
    std::string who, what;
    HistoryEvent fact;
    if (!(words >> at_ms >> who >> what)) continue;
    words >> fact.subject >> fact.amount >> until_ms >> fact.rate;
    if (fact.subject == "-") fact.subject.clear();
    fact.at = FromSeconds(at_ms / 1000);
    fact.gateway = std::stoi(who);
    fact.process = who.find('.') == std::string::npos ? 1 : std::stoi(who.substr(who.find('.') + 1));
    if (until_ms >= 0) fact.until = FromSeconds(until_ms / 1000);
    int kind = 0;
    while (what != Name(static_cast<HistoryEventKind>(kind))) ++kind;
    fact.kind = static_cast<HistoryEventKind>(kind);
    history.Add(fact);
  }
  history.Sort();
  return history;
}

struct Case {
  const char* about;
  const char* history;
  // Each finding as "rule@MS", with "/MS" where it says how long it lasted.
  std::string names;
};

std::string Named(const Case& c) {
  RuleLimits bounds;
  bounds.convergence = 2 * kSecond, bounds.end = 20 * kSecond;
  std::string text;
  for (const FleetViolation& f : CheckFleet(Tell(c.history), bounds)) {
    text.append(text.empty() ? "" : " ").append(f.rule).append("@").append(std::to_string(f.at / 1000));
    if (f.duration != kNever) text.append("/").append(std::to_string(f.duration / 1000));
  }
  return text;
}

TEST(FleetRules, NameWhatIsWrongAndNothingElse) {
  const std::vector<Case> cases = {
      {"parts that add up to the whole", "0 0 whole b 10\n1 0 holds b 4 900\n1 1 holds b 6 900\n", ""},
      {"a sum passed for 50 ms",
       "0 0 whole b 10\n1 0 holds b 4\n1 1 holds b 6\n500 1 holds b 7\n550 1 holds b 6\n", "sum@500/50"},
      {"passed until a part runs out", "0 0 whole b 10\n1 0 holds b 6 300\n100 1 holds b 6 900\n",
       "sum@100/200"},
      {"a part of the dead counts until it runs out",
       "0 0 whole b 10\n1 0 holds b 6 800\n2 0 ends\n100 1 holds b 6 900\n", "sum@100/700"},
      {"one without an end dies with its process",
       "0 0 whole b 10\n1 0 holds b 6\n2 0 ends\n100 1 holds b 6 900\n", ""},
      {"both processes of an upgrade", "0 0 whole b 10\n1 0.1 holds b 6 500\n1 0.2 holds b 6 500\n",
       "sum@1/499"},
      {"given back first, taken then", "0 0 whole b 10\n1 0 holds b 6\n50 0 drops b\n51 1 holds b 9 900\n",
       ""},
      {"a window that holds more than its burst and rate",
       "0 0 whole b 10 -1 5\n100 0 uses b 8\n200 1 uses b 2.2\n300 1 uses b 3\n", "sum@300"},
      {"the same in its time", "0 0 whole b 10 -1 5\n100 0 uses b 8\n500 1 uses b 3\n", ""},
      {"what nobody divides may be used by all", "0 0 uses b 8\n", ""},
      {"used after a stop", "0 1 holds b 5 300\n100 1 uses b 1\n200 1 stops\n900 1 goes-on\n901 1 uses b 1\n",
       "expired@901/601"},
      {"used at its last moment", "0 1 holds b 5 300\n300 1 uses b 1\n", ""},
      {"renewed and used", "0 1 holds b 5 300\n250 1 holds b 5 600\n550 1 uses b 1\n", ""},
      {"used after it was taken back", "0 1 holds b 5 900\n100 1 revoked b\n101 1 uses b 1\n", "expired@101"},
      {"used by one that has none", "0 1 holds b 5 900\n101 2 uses b 1\n", "expired@101"},
      {"used by the reborn with the part of the dead",
       "0 1.1 holds b 5 900\n100 1.1 ends\n200 1.2 uses b 1\n", "expired@200"},
      {"two owners", "0 1 owns x 0 500\n300 2 owns x 0 900\n", "owner@300/200"},
      {"one after the other",
       "0 1 owns x 0 500\n500 2 owns x 0 900\n900 1 owns x\n950 1 yields x\n960 2 owns x\n", ""},
      {"an owner without an end dies", "0 1 owns x\n300 1 ends\n301 2 owns x\n", ""},
      {"a view handed over to another process",
       "0 1 view ab\n0 2 view ab\n100 0 fault x\n200 1 view a\n300 2 view none\n", ""},
      {"views that agree in time", "0 1 view ab\n0 2 view ab\n50 0 fault x\n100 1 view a\n1900 2 view a\n",
       ""},
      {"a view that never converges",
       "0 1 view ab\n0 2 view ab\n100 0 fault cut\n200 1 view a\n300 0 heal cut\n", "views@2300/17700"},
      {"another fault gives more time",
       "0 1 view ab\n0 2 view ab\n100 1 view a\n2000 0 fault cut\n3900 1 view ab\n", ""},
      {"who is stopped or gone has no say",
       "0 1 view ab\n0 2 view ab\n100 1 stops\n100 3 view c\n100 3 ends\n150 2 view b\n", ""},
      {"trusts the newest", "0 1 kept inc 3\n0 1 kept inc 4\n9 1.2 trusts inc 4\n9 2 trusts inc\n", ""},
      {"trusts an old file", "0 1 kept inc 3\n5 1 kept inc 4\n9 1.2 trusts inc 3\n", "memory@9"},
      {"trusts what another kept", "0 1 kept inc 3\n9 2 trusts inc 3\n", "memory@9"},
      {"one answer each, or a reason",
       "0 1 asked a 0 900\n1 2 asked b 0 900\n2 3 asked c 0 900\n5 1 answered a\n9 2 ends\n9 3 gone c\n", ""},
      {"its client had left before it arrived", "0 1 gone a\n1 1 asked a 0 900\n", ""},
      {"a second final answer", "0 1 asked a 0 900\n5 1 answered a\n9 1 answered a\n", "answers@9"},
      {"no answer in its time", "0 1 asked a 0 900\n950 1 ends\n", "answers@900"},
      {"an answer to nothing", "5 1 answered a\n", "answers@5"},
      {"a datagram that is too long", "5 1 datagram n2 257\n6 1 datagram n2 256\n", "datagrams@5"},
  };
  for (const Case& c : cases) EXPECT_EQ(Named(c), c.names) << c.about;
  // The whole table takes part: each rule is named by some case.
  for (const NamedRule& rule : FleetRules()) {
    bool named = std::any_of(cases.begin(), cases.end(), [&](const Case& c) {
      return c.names.find(std::string(rule.name) + "@") != std::string::npos;
    });
    EXPECT_TRUE(named) << rule.name;
  }
}

TEST(FleetRules, AStormOfDatagramsIsNamedOnceASecondWithItsSender) {
  std::string text;
  for (int i = 0; i < 60; ++i) text += std::to_string(i * 16) + " 2 heard n0 20\n";
  EXPECT_EQ(Named({"60 in a second", text.c_str(), ""}), "");
  for (int i = 0; i < 90; ++i) text += std::to_string(i * 16 + 8) + " 2 heard n1 20\n";
  RuleLimits bounds;
  std::vector<FleetViolation> found = CheckDatagramLimits(Tell(text), bounds);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found[0].description, "gateway 2 was sent 61 datagrams in a second, 31 of them by n0");
}

TEST(Sayings, AreReadAsTheyAreMeantAndNothingBreaksTheReader) {
  std::string fault;
  auto fact =
      ParseLogEvent("fleet at_us=5000000 pid=77 what=holds subject=cold/s-1 amount=2.5 until_us=6000000", 3,
                    4'000'000, &fault);
  ASSERT_TRUE(fact) << fault;
  EXPECT_EQ(fact->at, kSecond);
  EXPECT_EQ(fact->until, 2 * kSecond);
  EXPECT_EQ(fact->gateway, 3);
  EXPECT_EQ(fact->process, 77);
  EXPECT_EQ(fact->subject, "cold/s-1");
  EXPECT_EQ(fact->amount, 2.5);
  EXPECT_FALSE(ParseLogEvent("ready at 127.0.0.1:5000", 0, 0, &fault));
  EXPECT_EQ(fault, "");
  struct Bad {
    const char *line, *why;
  };
  for (const Bad& bad :
       {Bad{"fleet pid=1 what=holds", "at_us is missing"}, Bad{"fleet at_us=1 what=holds", "pid is missing"},
        Bad{"fleet at_us=x pid=1 what=holds", "at_us is missing or not a number"},
        Bad{"fleet at_us=1 pid=1 what=starts", "does not name an event that a gateway logs"},
        Bad{"fleet at_us=1 pid=1 what=holds amount=nan", "not finite"},
        Bad{"fleet at_us=1 pid=1 what=holds what=uses", "a duplicate field"},
        Bad{"fleet at_us=1 pid=1 what=holds noise", "a field without '='"}}) {
    EXPECT_FALSE(ParseLogEvent(bad.line, 0, 0, &fault)) << bad.line;
    EXPECT_NE(fault.find(bad.why), std::string::npos) << bad.line << ": " << fault;
  }
  const std::string sound = "fleet at_us=5000000 pid=77 what=holds subject=b amount=2.5 until_us=6000000";
  Random random(1, Stream::kSeeds);
  for (int i = 0; i < 20000; ++i) {
    std::string line =
        sound.substr(0, static_cast<size_t>(random.UniformInt(static_cast<int>(sound.size()) + 1)));
    for (int n = random.UniformInt(4); n > 0 && !line.empty(); --n)
      line[static_cast<size_t>(random.UniformInt(static_cast<int>(line.size())))] =
          static_cast<char>(random.UniformInt(256));
    ParseLogEvent(line, 0, 0, &fault);
  }
}

TEST(Timeline, HoldsWhoLivedWhatWasWrongAndWhatWasHeld) {
  History history = Tell(
      "0 0 starts\n0 1 starts\n0 0 whole b 10\n50 0 holds b 4\n100 0 stops\n200 0 goes-on\n300 1 ends\n"
      "400 -1 fault cut\n700 -1 heal cut\n800 -1 fault late\n");
  nlohmann::json t = BuildTimeline(history, kSecond);
  EXPECT_EQ(t["lanes"].size(), 3u) << t.dump();
  EXPECT_EQ(t["lanes"][0]["name"], "n0");
  EXPECT_EQ(t["lanes"][0]["state"], "stopped");
  EXPECT_NEAR(t["lanes"][0]["to_s"].get<double>(), 0.2, 1e-9);
  EXPECT_EQ(t["faults"].size(), 2u);
  EXPECT_EQ(t["faults"][1]["to_s"], 1.0);
  EXPECT_EQ(t["sums"]["b"]["points"].size(), 1u);
  EXPECT_EQ(t["sums"]["b"]["points"][0][1], 4.0);
}

}  // namespace
}  // namespace lemonchute::lab
