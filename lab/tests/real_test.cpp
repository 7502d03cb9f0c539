// Real days that go wrong in other ways than by a broken rule: each ends, says why, and leaves no process.
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <thread>

#include "experiment/compare.h"
#include "play/real/http.h"
#include "play/real/process.h"
#include "play/real/real_day.h"
#include "processes.h"

namespace lemonchute::lab {
namespace {

RunSpec ShortDay() { return DrawRunSpec(Shipped("quiet", {"day.length_s=2", "day.settle_s=1"}), 1); }

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
  auto why = [&](const RunSpec& day) -> std::string {
    try {
      PlayReal(day, options);
    } catch (const CannotPlay& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(why(ShortDay()),
            "there is no gateway program at /nowhere/gateway: build it, or name it with --gateway");
  EXPECT_NE(why(DrawRunSpec(Shipped("quiet", {"fleet.gateways=101", "fleet.backends=31"}), 1))
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
  RunSpec day = ShortDay();
  day.same_zone_s = day.cross_zone_s = day.client_s = day.handshake_trips = 0;
  nlohmann::json report = PlayReal(day, options);
  EXPECT_EQ(report["broken"], 0);
  EXPECT_EQ(report["play"], "null");
  EXPECT_EQ(report["counts"]["served"], report["counts"]["attempts"]);
  EXPECT_GT(report["lab"]["late_p99_ms"].get<double>(), 0);
}

// The lab's own process stands still again and again while requests are under way.
nlohmann::json PlayHeldUp(const std::string& gateway) {
  constexpr int kStops = 12;
  constexpr useconds_t kStoppedUs = 400'000, kRunsUs = 100'000;
  Keep keep;
  Script script(std::string("exec ") + LAB_PROGRAM + " run " + ShippedPath("quiet") +
                " --real --json --set day.length_s=5 day.settle_s=4 load.use=4 --gateway " + gateway +
                " --logs " + keep.path + "/day");
  Process::Start start;
  start.program = script.path;
  start.log = keep.path + "/report";
  start.descriptors = 4096;
  Process lab(start);
  for (int i = 0; i < 3000 && ChildrenOf(keep.path + "/day") < 3; ++i) usleep(10'000);
  for (int i = 0; i < kStops; ++i) {
    usleep(kRunsUs);
    lab.Signal(SIGSTOP);
    usleep(kStoppedUs);
    lab.Signal(SIGCONT);
  }
  for (int i = 0; i < 3000 && !lab.Ended(); ++i) usleep(10'000);
  return nlohmann::json::parse(Slurp(start.log));
}

// Guards against answers that the lab itself was late to ask for or to read being held against a gateway.
TEST(Real, ALabThatIsHeldUpFindsNoLateAnswerInASoundGatewayAndFindsThoseOfALateOne) {
  auto late = std::async(std::launch::async, PlayHeldUp, LAB_CUTS "/lab_cut_tardy");
  nlohmann::json sound = PlayHeldUp(LAB_GATEWAY);
  EXPECT_EQ(sound["broken"], 0) << sound.value("breaches", nlohmann::json::array()).dump();
  EXPECT_GT(sound["lab"]["late_worst_ms"], 350);
  EXPECT_GT(sound["lab"]["delayed_exchanges"], 0);
  EXPECT_GT(sound["counts"]["served"], 300);
  std::string breaches = late.get().value("breaches", nlohmann::json::array()).dump();
  EXPECT_NE(breaches.find("\"rule\":\"one answer\""), std::string::npos) << breaches;
}

TEST(Real, AnExchangeTellsWhenItsAnswerCameHoweverLateItIsRead) {
  constexpr auto kHeldUp = std::chrono::milliseconds(200);
  asio::io_context server_io, io;
  tcp::acceptor acceptor(server_io, {asio::ip::address_v4::loopback(), 0});
  HttpConnection::Clock::time_point answered_at;
  auto server = std::async(std::launch::async, [&] {
    tcp::socket socket = acceptor.accept();
    char request[64];
    socket.read_some(asio::buffer(request));
    answered_at = HttpConnection::Clock::now();
    asio::write(socket, asio::buffer(HttpAnswer(200, "", "whole")));
  });
  HttpConnection::Answer answer;
  auto connection = std::make_shared<HttpConnection>(io);
  connection->Ask(acceptor.local_endpoint(), "GET / HTTP/1.1\r\n\r\n",
                  [&](const auto& got) { answer = got; });
  while (connection->exchange().written_at == HttpConnection::Clock::time_point()) io.run_one();
  server.get();
  std::this_thread::sleep_for(kHeldUp);
  EXPECT_TRUE(connection->UnreadSince().has_value());
  io.run();
  EXPECT_EQ(answer.body, "whole");
  EXPECT_GE(answer.exchange.read_at - answered_at, kHeldUp);
  EXPECT_GE(answer.exchange.arrived_at, answered_at);
  EXPECT_LT(answer.exchange.arrived_at - answered_at, kHeldUp);
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
