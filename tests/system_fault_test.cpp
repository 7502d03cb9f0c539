// A gateway whose system calls fail in documented ways, whose wall clock is stepped, or that is held up for a
// moment.
#include <chrono>
#include <memory>

#include "gateway_site.h"
#include "net/send_guard.h"
#include "net/start_times.h"

namespace {

using namespace rig;  // NOLINT
using Clock = std::chrono::steady_clock;

GatewayProcess::Environment With(const std::string& faults, GatewayProcess::Environment more = {}) {
  more["LD_PRELOAD"] = LEMONCHUTE_FAULTS_LIBRARY;
  more["LEMONCHUTE_FAULTS"] = faults;
  return more;
}

json One(const Backend& backend) { return json::array({EndpointEntry("s1", backend.port())}); }

// A short write says nothing of the room that is left: the rest goes out without a further event from the
// kernel.
TEST(ShortTransfers, LongAnswersAndRequestsArriveWhole) {
  const std::string body(20000, 'x');
  Backend backend(RespondsWith(OkResponse(body)));
  GatewayFixture site(One(backend), {}, LEMONCHUTE_GATEWAY, 0, With("seed=3;send.short=0.9;recv.short=0.3"));
  auto client = site.gateway->Connect();
  Message answer = SendRequest(*client, Request("save-scenario", 1, 1400, "", std::string(3000, 'y')));
  EXPECT_EQ(answer.status(), 200);
  EXPECT_EQ(answer.body, body);
  ASSERT_TRUE(backend.requests.Wait());
  EXPECT_EQ(backend.request(0).body, std::string(3000, 'y'));
}

// An accept that fails on account of one connection says nothing of those behind it in the queue. The first
// call finds it empty; the second is made when a client has come.
TEST(Accepting, AnAbortedConnectionDoesNotHoldUpTheNextOne) {
  Backend backend(RespondsWith(OkResponse("x")));
  for (const char* error : {"ECONNABORTED", "EPROTO", "ENFILE", "EINTR", "EHOSTUNREACH"}) {
    GatewayFixture site(One(backend), {}, LEMONCHUTE_GATEWAY, 0,
                        With(std::string("accept.") + error + "=#2"));
    auto client = site.gateway->Connect();
    client->Write(Request("quote"));
    EXPECT_EQ(client->Read().status(), 200) << error;
  }
}

// A socket that can't be had for a moment at the start delays it and no more.
TEST(Starting, AFailingSocketCallIsTriedAgain) {
  Backend backend(RespondsWith(OkResponse("x")));
  for (const char* faults :
       {"socket.ENFILE=#1-6", "bind.EADDRINUSE=#1-2", "listen.EADDRINUSE=#1", "socket.ENOBUFS=#2"}) {
    GatewayFixture site(One(backend), {}, LEMONCHUTE_GATEWAY, 0, With(faults, kAdminEnvironment));
    ASSERT_NE(site.gateway->port, 0) << faults;
    EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).status(), 200) << faults;
    EXPECT_EQ(AdminCall(site.gateway->admin_port, "GET", "/control/ready").status(), 200) << faults;
  }
}

// A signal that comes while the process starts, here as it reads its configuration, counts once it runs.
TEST(Starting, ASignalDuringTheStartIsKeptUntilTheProcessRuns) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(One(backend), {}, LEMONCHUTE_GATEWAY, 0,
                      With("open-read.raise-hup=#1", kAdminEnvironment));
  ASSERT_NE(site.gateway->port, 0);
  AwaitMetric(site.gateway->admin_port, "config_applied", 1);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).status(), 200);
}

// A configuration that can't be read for a moment, at the start or at SIGHUP, is read again.
TEST(Starting, AConfigurationThatCannotBeReadForAMomentIsReadAgain) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(One(backend), {}, LEMONCHUTE_GATEWAY, 0,
                      With("open-read.EIO=#1-2;open-read.EMFILE=#4-5", kAdminEnvironment));
  ASSERT_NE(site.gateway->port, 0);
  site.gateway->Signal(SIGHUP);
  AwaitMetric(site.gateway->admin_port, "config_applied", 1);
  EXPECT_EQ(ReadMetric(site.gateway->admin_port, "config_rejected"), 0);
}

// A shortage of this machine's is no fault of the backends: a connect is tried again, and no backend is set
// aside.
TEST(Connecting, AShortageOfThisMachineIsNoFaultOfTheBackends) {
  Backend one(RespondsWith(OkResponse("x"))), two(RespondsWith(OkResponse("x")));
  for (const char* error : {"EADDRNOTAVAIL", "ENETUNREACH", "EINTR"}) {
    GatewayFixture site(json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())}), {},
                        LEMONCHUTE_GATEWAY, 0,
                        With(std::string("connect.") + error + "=#3-10",
                             kAdminEnvironment));  // after the counter's and discovery's own
    auto client = site.gateway->Connect();
    for (int i = 0; i < 5; ++i)
      EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("save-scenario")).status(), 200) << error;
    EXPECT_EQ(ReadMetric(site.gateway->admin_port, "pool_ejected"), 0) << error;
  }
}

// What an operator has taken out, or put, is still owed where the folder can't be read for a moment at a
// start.
TEST(Disk, WhatWasKeptOutlivesAReadThatFailsForAMoment) {
  Backend one(RespondsWith(OkResponse("x"))), two(RespondsWith(OkResponse("x")));
  TempFolder folder;
  json entries = json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())});
  GatewayProcess::Environment kept = kAdminEnvironment;
  kept["TMPDIR"] = folder.path();
  {
    GatewayFixture site(entries, {}, LEMONCHUTE_GATEWAY, 0, kept);
    EXPECT_EQ(AdminCall(site.gateway->admin_port, "PUT", "/control/backends/s1/offline").status(), 200);
    site.gateway->Signal(SIGKILL);
    EXPECT_EQ(site.gateway->WaitForExit(), -SIGKILL);
  }
  // The file of the configuration, the record of revisions, the list of what is offline.
  for (const char* faults : {"open-read.EIO=#3", "open-read.EMFILE=#3"}) {
    GatewayFixture site(entries, {}, LEMONCHUTE_GATEWAY, 0, With(faults, kept));
    int before = one.requests.count();
    auto client = site.gateway->Connect();
    for (int i = 0; i < 10; ++i) EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("quote")).status(), 200);
    EXPECT_EQ(one.requests.count(), before) << faults;
    site.gateway->Signal(SIGKILL);
    EXPECT_EQ(site.gateway->WaitForExit(), -SIGKILL);
  }
}

// Each reason holds an attempt back, and nothing else does.
TEST(SendGuard, NamesWhyAnAttemptMayNotGoOut) {
  using namespace lemonchute::net;  // NOLINT
  using lemonchute::policy::Idempotency;
  SendFacts sound;
  sound.now = Clock::now();
  sound.deadline = sound.now + std::chrono::seconds(1);
  auto with = [&](auto change) {
    SendFacts facts = sound;
    change(facts);
    return CheckSend(facts);
  };
  EXPECT_EQ(CheckSend(sound), SendVerdict::kSend);
  EXPECT_EQ(with([](SendFacts& f) { f.answered = true; }), SendVerdict::kAnswered);
  EXPECT_EQ(with([](SendFacts& f) { f.client_connected = false; }), SendVerdict::kClientGone);
  EXPECT_EQ(with([](SendFacts& f) { f.now = f.deadline; }), SendVerdict::kDeadlinePassed);
  EXPECT_EQ(with([](SendFacts& f) { f.body_buffered = false; }), SendVerdict::kBodyDiscarded);
  EXPECT_EQ(with([](SendFacts& f) { f.attempts_left = false; }), SendVerdict::kTooManyAttempts);
  EXPECT_EQ(with([](SendFacts& f) { f.other_in_flight = true; }), SendVerdict::kOtherInFlight);
  EXPECT_EQ(with([](SendFacts& f) { f.other_in_flight = f.hedging_allowed = true; }), SendVerdict::kSend);
  for (Idempotency idempotency : {Idempotency::kWithinWindow, Idempotency::kNonIdempotent})
    EXPECT_EQ(with([&](SendFacts& f) {
                f.other_in_flight = f.hedging_allowed = true, f.idempotency = idempotency;
              }),
              SendVerdict::kOtherInFlight);
  EXPECT_EQ(with([](SendFacts& f) { f.may_have_run = true, f.idempotency = Idempotency::kNonIdempotent; }),
            SendVerdict::kUnsafeRepeat);
  EXPECT_EQ(with([](SendFacts& f) { f.may_have_run = true, f.idempotency = Idempotency::kWithinWindow; }),
            SendVerdict::kSend);
}

// A start that is told late is as old as it is; one that can't be so old counts as just told, and keeps its
// time.
TEST(StartTimes, AreHeldAndNoOlderThanWhatCanHaveBeenKeptBack) {
  lemonchute::net::StartTimes times;
  times.BeginList(100, 1000, false);
  EXPECT_EQ(times.Convert(1, 0), 0);
  EXPECT_EQ(times.Convert(2, 990), 90);  // of the list that a process starts with
  times.BeginList(110, 1010, true);
  times.EndList();
  times.BeginList(112, 4612, true);  // the wall clock was stepped by an hour
  EXPECT_EQ(times.Convert(2, 990), 90);
  EXPECT_EQ(times.Convert(3, 1011), 112);  // it seems an hour old
  EXPECT_EQ(times.Convert(4, 4605), 105);
  EXPECT_EQ(times.Convert(5, 9000), 112);  // not in the future
  times.EndList();
  times.BeginList(130, 4630, true);
  EXPECT_EQ(times.Convert(3, 1011), 112);
  EXPECT_EQ(times.Convert(6, 4610), 110);  // discovery was away
}

// A backend's start is told by the wall clock, which may be stepped, here or on all machines: what has just
// been told of a running watch has just started, and is warm when that time is over.
struct Step {
  const char* faults;
  double told_ahead_s;  // by how much discovery's clock is ahead of the true one
};

void BackendThatHasJustStartedIsColdForItsTimeAndNoLonger(const Step& step) {
  SCOPED_TRACE(std::string(step.faults) + ", discovery ahead by " + std::to_string(step.told_ahead_s));
  Backend warm(RespondsWith(OkResponse("x"))), fresh(RespondsWith(OkResponse("x")));
  json config = DefaultConfig(0, 0);
  config["settings"]["invariants"]["warm-after-s"] = 2.0;
  GatewayFixture site(One(warm), config, LEMONCHUTE_GATEWAY, 0, With(step.faults));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // past the step
  double now_s = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  json started = EndpointEntry("s2", fresh.port());
  started["since_ms"] = (now_s + step.told_ahead_s) * 1000;
  site.discovery.SetList(json::array({started}));  // nothing else is left to send to
  ASSERT_TRUE(site.discovery.AwaitListApplied());
  auto client = site.gateway->Connect();
  auto served = [&] {
    int count = 0;
    for (int i = 0; i < 40; ++i)
      count += SendRequest(*client, RequestOfNewCustomer("quote")).status() == 200 ? 1 : 0;
    return count;
  };
  EXPECT_LE(served(), 3);
  std::this_thread::sleep_for(std::chrono::milliseconds(2200));
  EXPECT_GE(served(), 30);
}

TEST(WallClock, AStepOfItLeavesABackendColdForItsTimeAndNoLonger) {
  for (const Step& step :
       {Step{"clock.step=3600@0", 0}, Step{"clock.step=-3600@0", 0}, Step{"clock.step=-3600@0.2", -3600},
        Step{"clock.step=3600@0.2", 3600}, Step{"clock.step=3600@0.2", 0}})
    BackendThatHasJustStartedIsColdForItsTimeAndNoLonger(step);
}

}  // namespace
