// A gateway whose system calls fail in documented ways, whose wall clock is stepped, or that is held up for a
// moment.
#include <chrono>
#include <memory>

#include "gateway_site.h"

namespace {

using namespace rig;  // NOLINT
using Clock = std::chrono::steady_clock;

Process::Environment With(const std::string& faults, Process::Environment more = {}) {
  more["LD_PRELOAD"] = LEMONCHUTE_FAULTS_LIBRARY;
  more["LEMONCHUTE_FAULTS"] = faults;
  return more;
}

json One(const Backend& backend) { return json::array({Entry("s1", backend.port())}); }

// A short write says nothing of the room that is left: the rest goes out without a further event from the
// kernel.
TEST(ShortTransfers, LongAnswersAndRequestsArriveWhole) {
  const std::string body(20000, 'x');
  Backend backend(Says(Ok(body)));
  Site site(One(backend), {}, LEMONCHUTE_GATEWAY, 0, With("seed=3;send.short=0.9;recv.short=0.3"));
  auto client = site.gateway->Connect();
  Message answer = Ask(*client, Request("save-scenario", 1, 1400, "", std::string(3000, 'y')));
  EXPECT_EQ(answer.status(), 200);
  EXPECT_EQ(answer.body, body);
  ASSERT_TRUE(backend.requests.Wait());
  EXPECT_EQ(backend.request(0).body, std::string(3000, 'y'));
}

// An accept that fails on account of one connection says nothing of those behind it in the queue. The first
// call finds it empty; the second is made when a client has come.
TEST(Accepting, AnAbortedConnectionDoesNotHoldUpTheNextOne) {
  Backend backend(Says(Ok("x")));
  for (const char* error : {"ECONNABORTED", "EPROTO", "ENFILE", "EINTR", "EHOSTUNREACH"}) {
    Site site(One(backend), {}, LEMONCHUTE_GATEWAY, 0, With(std::string("accept.") + error + "=#2"));
    auto client = site.gateway->Connect();
    client->Write(Request("quote"));
    EXPECT_EQ(client->Read().status(), 200) << error;
  }
}

// A socket that can't be had for a moment at the start delays it and no more.
TEST(Starting, AFailingSocketCallIsTriedAgain) {
  Backend backend(Says(Ok("x")));
  for (const char* faults :
       {"socket.ENFILE=#1-6", "bind.EADDRINUSE=#1-2", "listen.EADDRINUSE=#1", "socket.ENOBUFS=#2"}) {
    Site site(One(backend), {}, LEMONCHUTE_GATEWAY, 0, With(faults, kOps));
    ASSERT_NE(site.gateway->port, 0) << faults;
    EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200) << faults;
    EXPECT_EQ(Call(site.gateway->ops_port, "GET", "/control/ready").status(), 200) << faults;
  }
}

// A signal that comes while the process starts, here as it reads its configuration, counts once it runs.
TEST(Starting, ASignalDuringTheStartIsKeptUntilTheProcessRuns) {
  Backend backend(Says(Ok("x")));
  Site site(One(backend), {}, LEMONCHUTE_GATEWAY, 0, With("open-read.raise-hup=#1", kOps));
  ASSERT_NE(site.gateway->port, 0);
  AwaitFigure(site.gateway->ops_port, "config_applied", 1);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
}

}  // namespace
