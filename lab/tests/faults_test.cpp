// The lab sees real faults: every planted one is named by a checker, and the sound program passes the same
// days.
#include <future>

#include "experiment/compare.h"
#include "tiny.h"

namespace lemonchute::lab {
namespace {

using nlohmann::json;

struct Cut {
  const char *name, *names;  // the rule or the expectation that has to name it
  const char* scenario;
  std::vector<std::string> settings;
};

const std::vector<std::string> kShort = {"day.length_s=5", "day.settle_s=4"};

// In virtual time; the program is the lab round that module.
const std::vector<Cut>& ModuleCuts() {
  static const std::vector<Cut> cuts = {
      {"drain", "drain", "roll", {}},
      {"cold", "cold backend", "join", {"load.use=0.9", "fleet.gateways=20", "counter.calls_per_s=4000"}},
      {"ceiling",
       "ceiling",
       "quiet",
       {"customers.heavy_share=0.3", "customers.heavy_times=8", "load.most_excess=9"}},
      {"unanswered", "one answer", "quiet", {}},
      {"told_twice", "told_at_most", "told", {}},
  };
  return cuts;
}

// On real sockets; the program is the gateway.
const std::vector<Cut>& GatewayCuts() {
  static const std::vector<Cut> cuts = {
      {"copies", "duplicate", "quiet", kShort},
      {"late", "one answer", "quiet", kShort},
      {"tardy", "one answer", "quiet", kShort},
      {"body", "one answer", "quiet", kShort},
      {"crash", "crash", "quiet", kShort},
      {"descriptors", "descriptors", "quiet", kShort},
      {"record", "drain", "ban-upgrade", {}},
      {"figure", "figures", "quiet", kShort},
      {"readiness", "drain of a gateway", "drain-short", {}},
      {"reload", "figures", "retune-short", {}},
  };
  return cuts;
}

std::string Path(const std::string& scenario) {
  std::string shipped = ShippedPath(scenario);
  return std::ifstream(shipped) ? shipped : std::string(LAB_TEST_SCENARIOS) + "/" + scenario + ".toml";
}

json Play(const std::string& lab, const Cut& cut, const std::string& gateway) {
  std::vector<std::string> arguments = {"run", Path(cut.scenario), "--json", "--seeds", "1"};
  for (const std::string& setting : cut.settings) arguments.insert(arguments.end(), {"--set", setting});
  if (!gateway.empty()) arguments.insert(arguments.end(), {"--real", "--gateway", gateway});
  return json::parse(Capture(lab, arguments));
}

// Rules that are broken and expectations that are not held, each between semicolons.
std::string NamedIn(const json& report) {
  std::string names(";");
  for (const json& breach : report.value("breaches", json::array()))
    names += breach["rule"].get<std::string>() + ";";
  for (const json& e : report["expectations"]) names += e["held"] ? "" : e["name"].get<std::string>() + ";";
  return names;
}

bool Names(const std::string& named, const Cut& cut) {
  return named.find(std::string(";").append(cut.names).append(";")) != std::string::npos;
}

TEST(Faults, InTheModuleEachIsNamedAndTheSoundOnePasses) {
  for (const Cut& cut : ModuleCuts()) {
    json bad = Play(std::string(LAB_CUTS) + "/lab_cut_" + cut.name, cut, "");
    EXPECT_TRUE(Names(NamedIn(bad), cut)) << cut.name << ": " << NamedIn(bad);
    json sound = Play(LAB_PROGRAM, cut, "");
    EXPECT_EQ(sound["broken"], 0) << cut.name << ": " << sound.dump().substr(0, 2000);
    EXPECT_FALSE(Names(NamedIn(sound), cut)) << cut.name;
  }
}

// Days on sockets last as long as they last, so all are played side by side.
TEST(Faults, InTheGatewayEachIsNamedAndTheSoundOnePasses) {
  std::vector<std::future<json>> bad, sound;
  std::map<std::string, size_t> days;
  for (const Cut& cut : GatewayCuts()) {
    bad.push_back(std::async(std::launch::async, [&cut] {
      return Play(LAB_PROGRAM, cut, std::string(LAB_CUTS) + "/lab_cut_" + cut.name);
    }));
  }
  for (size_t i = 0; i < bad.size(); ++i) {
    std::string named = NamedIn(bad[i].get());
    EXPECT_TRUE(Names(named, GatewayCuts()[i])) << GatewayCuts()[i].name << ": " << named;
  }
  for (const Cut& cut : GatewayCuts()) {
    if (!days.insert({cut.scenario, 0}).second) continue;
    sound.push_back(std::async(std::launch::async, [&cut] { return Play(LAB_PROGRAM, cut, LAB_GATEWAY); }));
  }
  for (std::future<json>& one : sound) {
    json report = one.get();
    EXPECT_EQ(report["broken"], 0) << report["scenario"] << ": "
                                   << report.value("breaches", json::array()).dump();
    EXPECT_GT(report["counts"]["served"], 100);
    EXPECT_GT(report["figures"]["checked"].get<int>() + report["counts"]["served"].get<int>(), 0);
  }
}

}  // namespace
}  // namespace lemonchute::lab
