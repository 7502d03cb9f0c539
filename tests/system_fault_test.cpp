// Tests for gateways whose system calls fail in documented ways or whose wall clock is stepped, and for the
// checks before an attempt is sent.
#include <chrono>
#include <memory>

#include "gateway_site.h"
#include "net/send_guard.h"
#include "net/start_times.h"

namespace {

using namespace rig;  // NOLINT
using Clock = std::chrono::steady_clock;

GatewayProcess::Environment WithFaults(const std::string& faults,
                                       GatewayProcess::Environment environment = {}) {
  environment["LD_PRELOAD"] = LEMONCHUTE_FAULTS_LIBRARY;
  environment["LEMONCHUTE_FAULTS"] = faults;
  return environment;
}

json SingleEndpoint(const Backend& backend) { return json::array({EndpointEntry("s1", backend.port())}); }

// A short write doesn't mean that the socket's buffer is full: the rest must be written without waiting for
// another event from the kernel.
TEST(ShortTransfers, LongRequestsAndResponsesArriveComplete) {
  const std::string body(20000, 'x');
  Backend backend(RespondsWith(OkResponse(body)));
  GatewayFixture site(SingleEndpoint(backend), {}, LEMONCHUTE_GATEWAY, 0,
                      WithFaults("seed=3;send.short=0.9;recv.short=0.3"));
  auto client = site.gateway->Connect();
  Message answer = SendRequest(*client, Request("save-scenario", 1, 1400, "", std::string(3000, 'y')));
  EXPECT_EQ(answer.status(), 200);
  EXPECT_EQ(answer.body, body);
  ASSERT_TRUE(backend.requests.Wait());
  EXPECT_EQ(backend.request(0).body, std::string(3000, 'y'));
}

// An accept() that fails because of one connection must not delay those behind it in the queue. The first
// call finds the queue empty; the second is made once a client has connected, and fails.
TEST(Accepting, AFailedAcceptDoesNotDelayTheNextConnection) {
  Backend backend(RespondsWith(OkResponse("x")));
  for (const char* error : {"ECONNABORTED", "EPROTO", "ENFILE", "EINTR", "EHOSTUNREACH"}) {
    GatewayFixture site(SingleEndpoint(backend), {}, LEMONCHUTE_GATEWAY, 0,
                        WithFaults(std::string("accept.") + error + "=#2"));
    auto client = site.gateway->Connect();
    client->Write(Request("quote"));
    EXPECT_EQ(client->Read().status(), 200) << error;
  }
}

// A transient failure to create, bind or listen on a socket at startup only delays the startup.
TEST(Startup, RetriesTransientSocketErrors) {
  Backend backend(RespondsWith(OkResponse("x")));
  for (const char* faults :
       {"socket.ENFILE=#1-6", "bind.EADDRINUSE=#1-2", "listen.EADDRINUSE=#1", "socket.ENOBUFS=#2"}) {
    GatewayFixture site(SingleEndpoint(backend), {}, LEMONCHUTE_GATEWAY, 0,
                        WithFaults(faults, kAdminEnvironment));
    ASSERT_NE(site.gateway->port, 0) << faults;
    EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).status(), 200) << faults;
    EXPECT_EQ(AdminCall(site.gateway->admin_port, "GET", "/control/ready").status(), 200) << faults;
  }
}

// A SIGHUP that arrives during startup, here while the configuration is read, is handled once the event loop
// runs.
TEST(Startup, SighupDuringStartupIsHandledOnceRunning) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(SingleEndpoint(backend), {}, LEMONCHUTE_GATEWAY, 0,
                      WithFaults("open-read.raise-hup=#1", kAdminEnvironment));
  ASSERT_NE(site.gateway->port, 0);
  AwaitMetric(site.gateway->admin_port, "config_applied", 1);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).status(), 200);
}

// A transient error while the configuration is read, at startup or at SIGHUP, is retried.
TEST(Startup, RetriesTransientReadErrorsOfTheConfiguration) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(SingleEndpoint(backend), {}, LEMONCHUTE_GATEWAY, 0,
                      WithFaults("open-read.EIO=#1-2;open-read.EMFILE=#4-5", kAdminEnvironment));
  ASSERT_NE(site.gateway->port, 0);
  site.gateway->Signal(SIGHUP);
  AwaitMetric(site.gateway->admin_port, "config_applied", 1);
  EXPECT_EQ(ReadMetric(site.gateway->admin_port, "config_rejected"), 0);
}

// A connect() that fails for lack of local resources is retried and not attributed to the backend: no backend
// is ejected.
TEST(Connecting, LocalResourceErrorsDoNotEjectBackends) {
  Backend one(RespondsWith(OkResponse("x"))), two(RespondsWith(OkResponse("x")));
  for (const char* error : {"EADDRNOTAVAIL", "ENETUNREACH", "EINTR"}) {
    GatewayFixture site(json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())}), {},
                        LEMONCHUTE_GATEWAY, 0,
                        WithFaults(std::string("connect.") + error + "=#3-10",
                                   kAdminEnvironment));  // after the connects to the counter and discovery
    auto client = site.gateway->Connect();
    for (int i = 0; i < 5; ++i)
      EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("save-scenario")).status(), 200) << error;
    EXPECT_EQ(ReadMetric(site.gateway->admin_port, "pool_ejected"), 0) << error;
  }
}

// A backend that an operator has taken offline stays offline if the stored list can't be read for a moment at
// startup.
TEST(Disk, OfflineBackendsSurviveTransientReadErrorsAtStartup) {
  Backend one(RespondsWith(OkResponse("x"))), two(RespondsWith(OkResponse("x")));
  TempFolder folder;
  json entries = json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())});
  GatewayProcess::Environment shared_folder = kAdminEnvironment;
  shared_folder["TMPDIR"] = folder.path();
  {
    GatewayFixture site(entries, {}, LEMONCHUTE_GATEWAY, 0, shared_folder);
    EXPECT_EQ(AdminCall(site.gateway->admin_port, "PUT", "/control/backends/s1/offline").status(), 200);
    site.gateway->Signal(SIGKILL);
    EXPECT_EQ(site.gateway->WaitForExit(), -SIGKILL);
  }
  // The third file that is read is the list of offline backends, after the configuration and the revision
  // log.
  for (const char* faults : {"open-read.EIO=#3", "open-read.EMFILE=#3"}) {
    GatewayFixture site(entries, {}, LEMONCHUTE_GATEWAY, 0, WithFaults(faults, shared_folder));
    int requests_before = one.requests.count();
    auto client = site.gateway->Connect();
    for (int i = 0; i < 10; ++i) EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("quote")).status(), 200);
    EXPECT_EQ(one.requests.count(), requests_before) << faults;
    site.gateway->Signal(SIGKILL);
    EXPECT_EQ(site.gateway->WaitForExit(), -SIGKILL);
  }
}

// Each reason alone prevents an attempt from being sent.
TEST(SendGuard, ReportsWhyAnAttemptMustNotBeSent) {
  using namespace lemonchute::net;  // NOLINT
  using lemonchute::policy::Idempotency;
  SendFacts sendable;
  sendable.now = Clock::now();
  sendable.deadline = sendable.now + std::chrono::seconds(1);
  auto check_with = [&](auto change) {
    SendFacts facts = sendable;
    change(facts);
    return CheckSend(facts);
  };
  EXPECT_EQ(CheckSend(sendable), SendVerdict::kSend);
  EXPECT_EQ(check_with([](SendFacts& facts) { facts.answered = true; }), SendVerdict::kAnswered);
  EXPECT_EQ(check_with([](SendFacts& facts) { facts.client_connected = false; }), SendVerdict::kClientGone);
  EXPECT_EQ(check_with([](SendFacts& facts) { facts.now = facts.deadline; }), SendVerdict::kDeadlinePassed);
  EXPECT_EQ(check_with([](SendFacts& facts) { facts.body_buffered = false; }), SendVerdict::kBodyDiscarded);
  EXPECT_EQ(check_with([](SendFacts& facts) { facts.attempts_left = false; }), SendVerdict::kTooManyAttempts);
  EXPECT_EQ(check_with([](SendFacts& facts) { facts.other_in_flight = true; }), SendVerdict::kOtherInFlight);
  EXPECT_EQ(check_with([](SendFacts& facts) { facts.other_in_flight = facts.hedging_allowed = true; }),
            SendVerdict::kSend);
  for (Idempotency idempotency : {Idempotency::kWithinWindow, Idempotency::kNonIdempotent})
    EXPECT_EQ(check_with([&](SendFacts& facts) {
                facts.other_in_flight = facts.hedging_allowed = true, facts.idempotency = idempotency;
              }),
              SendVerdict::kOtherInFlight);
  EXPECT_EQ(check_with([](SendFacts& facts) {
              facts.may_have_run = true, facts.idempotency = Idempotency::kNonIdempotent;
            }),
            SendVerdict::kUnsafeRepeat);
  EXPECT_EQ(check_with([](SendFacts& facts) {
              facts.may_have_run = true, facts.idempotency = Idempotency::kWithinWindow;
            }),
            SendVerdict::kSend);
}

// A start that is reported late keeps its age. One that can't be that old counts as just started, and its
// time does not change afterwards.
TEST(StartTimes, AreStableAndBoundedByTheDiscoveryDelay) {
  lemonchute::net::StartTimes times;
  times.BeginList(100, 1000, false);
  EXPECT_EQ(times.Convert(1, 0), 0);
  EXPECT_EQ(times.Convert(2, 990), 90);  // in the cached list
  times.BeginList(110, 1010, true);
  times.EndList();
  times.BeginList(112, 4612, true);  // the wall clock was stepped by an hour
  EXPECT_EQ(times.Convert(2, 990), 90);
  EXPECT_EQ(times.Convert(3, 1011), 112);  // seems an hour old
  EXPECT_EQ(times.Convert(4, 4605), 105);
  EXPECT_EQ(times.Convert(5, 9000), 112);  // not in the future
  times.EndList();
  times.BeginList(130, 4630, true);
  EXPECT_EQ(times.Convert(3, 1011), 112);
  EXPECT_EQ(times.Convert(6, 4610), 110);  // discovery was unreachable
}

// Discovery reports a backend's start by the wall clock, which may be stepped, on this machine or on all of
// them. A start that a running watch has just reported is recent: the backend must be cold, and be warm once
// the slow start's time is over.
struct ClockStep {
  const char* faults;
  double discovery_ahead_s;  // lead of discovery's clock over the true time
};

void ExpectSlowStartForWarmAfterPeriod(const ClockStep& step) {
  SCOPED_TRACE(std::string(step.faults) + ", discovery ahead by " + std::to_string(step.discovery_ahead_s));
  Backend warm_backend(RespondsWith(OkResponse("x"))), cold_backend(RespondsWith(OkResponse("x")));
  json config = DefaultConfig(0, 0);
  config["settings"]["invariants"]["warm-after-s"] = 2.0;
  GatewayFixture site(SingleEndpoint(warm_backend), config, LEMONCHUTE_GATEWAY, 0, WithFaults(step.faults));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // until the step has happened
  double now_s = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  json entry = EndpointEntry("s2", cold_backend.port());
  entry["since_ms"] = (now_s + step.discovery_ahead_s) * 1000;
  site.discovery.SetList(json::array({entry}));  // the only backend in the list
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

TEST(WallClock, StepsNeitherShortenNorExtendSlowStart) {
  for (const ClockStep& step : {ClockStep{"clock.step=3600@0", 0}, ClockStep{"clock.step=-3600@0", 0},
                                ClockStep{"clock.step=-3600@0.2", -3600},
                                ClockStep{"clock.step=3600@0.2", 3600}, ClockStep{"clock.step=3600@0.2", 0}})
    ExpectSlowStartForWarmAfterPeriod(step);
}

}  // namespace
