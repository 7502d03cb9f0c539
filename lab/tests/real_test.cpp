// Real days that go wrong in other ways than by a broken rule: each ends, says why, and leaves no process.
#include <csignal>
#include <filesystem>
#include <future>

#include "experiment/compare.h"
#include "play/real/process.h"
#include "play/real/real_day.h"
#include "processes.h"

namespace lemonchute::lab {
namespace {

Day ShortDay() { return DrawDay(Shipped("quiet", {"day.length_s=2", "day.settle_s=1"}), 1); }

TEST(Real, AGatewayThatExitsIsNamedAndTheDayEnds) {
  Keep keep;
  Script exits("echo no thanks >&2; exit 3");
  RealOptions options;
  options.program = exits.path, options.folder = keep.path;
  nlohmann::json report = PlayReal(ShortDay(), options);
  std::string text = report["breaches"].dump();
  EXPECT_NE(text.find("gateway 0 exited with status 3"), std::string::npos) << text;
  EXPECT_NE(text.find("gateway 0 did not become ready"), std::string::npos) << text;
  EXPECT_EQ(Slurp(keep.path + "/n0.log"), "no thanks\n");
  EXPECT_EQ(ChildrenOf(keep.path), 0);
  std::string log = Slurp(keep.path + "/lab.log");
  EXPECT_NE(log.find("begins not_ready=3"), std::string::npos) << log;
  EXPECT_NE(log.find("rule=\"crash\""), std::string::npos) << log;
}

TEST(Real, WhatCantBePlayedIsOnePlainSentence) {
  RealOptions options;
  options.program = "/nowhere/gateway";
  auto why = [&](const Day& day) -> std::string {
    try {
      PlayReal(day, options);
    } catch (const CannotPlay& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(why(ShortDay()),
            "there is no gateway program at /nowhere/gateway: build it, or name it with --gateway");
  EXPECT_NE(why(DrawDay(Shipped("quiet", {"fleet.gateways=101", "fleet.backends=31"}), 1))
                .find("at most 100 gateways"),
            std::string::npos);
  options.program = LAB_GATEWAY;
  options.folder = "/proc/none";
  EXPECT_NE(why(ShortDay()).find("cannot make the folder /proc/none"), std::string::npos);
}

TEST(Real, ChildrenAreGoneAfterAnInterruptAndAfterACrashOfTheLab) {
  for (int signal : {SIGINT, SIGKILL}) {
    Keep keep;
    Process::Start start;
    start.program = LAB_PROGRAM;
    start.log = keep.path + "/lab.log";
    // As a program of its own, which is then interrupted or killed.
    Script lab(std::string("exec ") + LAB_PROGRAM + " run " + ShippedPath("quiet") + " --real --gateway " +
               LAB_GATEWAY + " --logs " + keep.path + "/day");
    start.program = lab.path;
    Process process(start);
    auto until = [&](auto what) {
      for (int i = 0; i < 3000 && !what(); ++i)
        usleep(10'000);  // a condition, with a limit far above what it takes
      return what();
    };
    ASSERT_TRUE(until([&] { return ChildrenOf(keep.path + "/day") == 3; }));
    process.Signal(signal);
    EXPECT_TRUE(until([&] { return process.Ended().has_value(); }));
    EXPECT_TRUE(until([&] { return ChildrenOf(keep.path + "/day") == 0; })) << signal;
  }
}

TEST(Real, TheNullRunCostsLittleBesideTheBackends) {
  RealOptions options;
  options.null_run = true;
  Day day = ShortDay();
  day.same_zone_s = day.cross_zone_s = day.client_s = day.handshake_trips = 0;
  nlohmann::json report = PlayReal(day, options);
  EXPECT_EQ(report["broken"], 0);
  EXPECT_EQ(report["play"], "null");
  EXPECT_EQ(report["counts"]["served"], report["counts"]["attempts"]);
  EXPECT_GT(report["lab"]["late_p99_ms"].get<double>(), 0);
}

TEST(Commands, ExitCodesAndFaults) {
  Keep keep;
  std::string broken = keep.path + "/broken.toml";
  std::ofstream(broken) << "name = \"x\"\n[load]\nuse = 99\n";
  struct Case {
    std::string arguments;
    int code;
    const char* says;
  };
  const std::vector<Case> cases = {
      {"check " + ShippedPath("quiet"), 0, ""},
      {"check " + broken, 2, "broken.toml:3: load.use has to lie from 0 to 10"},
      {"check /nowhere.toml", 2, "cannot read /nowhere.toml"},
      {"run " + ShippedPath("quiet") + " --seeds 3..1", 2, "--seeds 3..1"},
      {"run " + ShippedPath("quiet") + " --set load.use=x", 2, "load.use is neither"},
      {"run " + ShippedPath("quiet") + " --real --gateway /nowhere", 3, "no gateway program at /nowhere"},
      {"run " + ShippedPath("quiet") + " --set load.use=0.4", 0, "quiet"},
      {"sweep --key load.use=0.2,0.3 " + ShippedPath("quiet"), 0, "load.use=0.3"},
      {"report " + broken, 2, "is not a line of `run --json`"},
      {"compare --builds " LAB_CUTS " /nowhere " + ShippedPath("quiet"), 3, "cannot start"},
      {"fly", 2, ""},
      {"keys", 0, "backend.cold_s"},
  };
  for (const Case& c : cases) {
    Process::Start start;
    Script lab(std::string("exec ") + LAB_PROGRAM + " " + c.arguments);
    start.program = lab.path;
    start.log = keep.path + "/out";
    std::filesystem::remove(start.log);
    Process process(start);
    std::optional<std::string> how;
    for (int i = 0; i < 6000 && !(how = process.Ended()); ++i) usleep(10'000);
    EXPECT_EQ(how, "exited with status " + std::to_string(c.code)) << c.arguments << ": " << Slurp(start.log);
    EXPECT_NE(Slurp(start.log).find(c.says), std::string::npos) << c.arguments << ": " << Slurp(start.log);
  }
}

}  // namespace
}  // namespace lemonchute::lab
