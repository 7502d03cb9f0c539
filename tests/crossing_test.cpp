// Two events that cross: a peer holds a byte back, or sends it, at the point where it hurts most.
#include <chrono>
#include <memory>
#include <set>

#include "gateway_site.h"
#include "net/backend_pool.h"
#include "net/discovery_client.h"

namespace {

using namespace rig;  // NOLINT
using Clock = std::chrono::steady_clock;

std::string List(uint64_t index, const json& entries, bool whole) {
  return OkResponse(json{{"index", index}, {"snapshot", whole}, {"endpoints", entries}}.dump(1));  // indented
}

// A discovery client alone, against an agent that the test plays; ends when `agent` says so.
struct LoneClient {
  explicit LoneClient(Server::Handler agent) : server(std::move(agent)) {}
  void Run() {
    client.Start();
    auto stopped = boost::asio::make_work_guard(io);
    io.run();
    client.Stop();
    server.Stop();
  }
  boost::asio::io_context io{1};
  Server server;
  lemonchute::net::BackendIds ids;
  lemonchute::net::DiscoveryClient client{
      io,
      {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server.port())},
      std::make_shared<const lemonchute::policy::SocketSettings>(),
      &ids,
      [](const lemonchute::net::BackendList&) {},
      [] {},
      1};
};

// What a silent watch misses counts as told 6 s after it fell silent: by then a new one must have been
// opened.
TEST(Watch, OneThatFallsSilentIsOpenedAnewBeforeWhatItMissesCounts) {
  Clock::time_point silent, anew;
  LoneClient* lone = nullptr;
  Event opened;
  LoneClient run([&](Connection& wire) {
    for (Message ask = wire.Read(); ask.complete; ask = wire.Read()) {
      if (ask.head.find("after=") == std::string::npos) {
        wire.Write(List(4, json::array(), true));
      } else if (opened.Notify(), opened.count() == 1) {
        silent = Clock::now();  // open, and nothing more on it
      } else {
        anew = Clock::now();
        lone->io.stop();
      }
    }
  });
  lone = &run;
  run.Run();
  EXPECT_EQ(run.server.connections, 2);
  EXPECT_LT(anew - silent, std::chrono::seconds(6));
}

// Calls that were refused before don't make a watch that then falls silent wait for longer.
TEST(Watch, OneThatFallsSilentAfterRefusalsIsOpenedAnewAtOnce) {
  LoneClient* lone = nullptr;
  int watches = 0, whole = 0;
  constexpr int kRefused = 6;
  LoneClient run([&](Connection& wire) {
    for (Message ask = wire.Read(); ask.complete; ask = wire.Read()) {
      if (ask.head.find("after=") == std::string::npos) {
        ++whole;
        wire.Write(List(4, json::array(), true));
      } else if (++watches <= kRefused) {
        wire.Write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      } else if (watches == kRefused + 1) {
        wire.WaitForClose();  // silent until the client gives it up
        return;
      } else {
        lone->io.stop();
      }
    }
  });
  lone = &run;
  run.Run();
  EXPECT_EQ(watches, kRefused + 2);
  EXPECT_EQ(whole, 1) << "the back-off began anew: only after longer gaps the whole list is asked for";
}

// A start goes on from the list that it was given, at once: a whole list and a watch are two calls of each of
// a fleet's gateways, which discovery may not carry, and until it has turned to the second nobody is told.
TEST(Watch, AStartGoesOnFromTheKnownList) {
  Backend old(RespondsWith(OkResponse("old"))), fresh(RespondsWith(OkResponse("fresh")));
  Event asked;
  std::vector<std::string> asks;
  Server agent([&](Connection& wire) {
    for (Message ask = wire.Read(); ask.complete; ask = wire.Read()) {
      asks.push_back(ask.head.substr(0, ask.head.find(" HTTP")));
      bool first = asks.size() == 1;
      if (first)
        wire.Write(List(
            9, json::array({EndpointEntry("a", old.port(), "leaving"), EndpointEntry("b", fresh.port())}),
            false));
      asked.Notify();
    }
  });
  Counter counter([](const std::string&, double) { return BulkString("0"); });
  json config = DefaultConfig(agent.port(), counter.port(), json::array({EndpointEntry("a", old.port())}));
  config["known"]["index"] = 7;
  GatewayProcess gateway(config);
  ASSERT_TRUE(asked.Wait(2));
  EXPECT_EQ(asks[0], "GET /api/targets?after=7&wait_ms=1");
  EXPECT_EQ(asks[1].substr(0, 24), "GET /api/targets?after=9");
  EXPECT_EQ(SendRequest(*gateway.Connect(), Request("quote")).body, "fresh");
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.WaitForExit(), 0);  // before its peers go
}

// Other than the site's: what it takes is `path` in the settings.
json With(std::initializer_list<std::pair<const char*, json>> changes) {
  json config = DefaultConfig(0, 0);
  for (const auto& [path, value] : changes) config["settings"][json::json_pointer(path)] = value;
  return config;
}

// Discovery's agent for a whole fleet within one event loop: refuses every call for a time, then answers.
class FleetAgent {
 public:
  FleetAgent(boost::asio::io_context& io, std::chrono::milliseconds refuses)
      : acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}), until_(Clock::now() + refuses) {
    Accept();
  }
  boost::asio::ip::tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  Clock::time_point until() const { return until_; }
  std::vector<Clock::time_point> refused;

 private:
  struct Talk {
    explicit Talk(boost::asio::ip::tcp::socket from) : socket(std::move(from)) {}
    boost::asio::ip::tcp::socket socket;
    std::string text;
  };
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
      if (error) return;
      Hear(std::make_shared<Talk>(std::move(socket)));
      Accept();
    });
  }
  void Hear(std::shared_ptr<Talk> talk) {
    auto to = boost::asio::dynamic_buffer(talk->text);
    boost::asio::async_read_until(talk->socket, to, "\r\n\r\n", [this, talk](auto error, size_t) {
      if (error) return;
      bool refuse = Clock::now() < until_, watch = talk->text.find("after=") != std::string::npos;
      talk->text.clear();
      if (!refuse && watch) return open_.push_back(talk);  // nothing to tell
      if (refuse) refused.push_back(Clock::now());
      std::string busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
      std::string answer = refuse ? busy : List(4, json::array(), true);
      boost::asio::write(talk->socket, boost::asio::buffer(answer));
      Hear(talk);
    });
  }
  boost::asio::ip::tcp::acceptor acceptor_;
  const Clock::time_point until_;
  std::vector<std::shared_ptr<Talk>> open_;
};

// Whatever came of the calls before, a change counts as told 6 s after discovery could be reached again. A
// fleet that is refused asks for no more than one that is answered, which is a watch a second from each
// gateway.
TEST(Watch, AFleetThatWasRefusedIsToldWithinSixSecondsAndAsksNoMoreThanOneThatIsServed) {
  constexpr auto kOutage = std::chrono::seconds(9), kSettled = std::chrono::seconds(5);
  for (size_t gateways : {1, 30, 350}) {
    boost::asio::io_context io{1};
    FleetAgent agent(io, kOutage);
    std::set<size_t> told;
    std::vector<std::unique_ptr<lemonchute::net::DiscoveryClient>> fleet;
    lemonchute::net::BackendIds ids;
    for (size_t i = 0; i < gateways; ++i) {
      auto on_list = [&, i](const lemonchute::net::BackendList&) {
        if (told.insert(i); told.size() == gateways) io.stop();
      };
      fleet.push_back(std::make_unique<lemonchute::net::DiscoveryClient>(
          io, agent.at(), std::make_shared<const lemonchute::policy::SocketSettings>(), &ids, on_list, [] {},
          i + 1));
      fleet.back()->Start();
    }
    io.run_until(agent.until() + std::chrono::seconds(6));
    EXPECT_EQ(told.size(), gateways);
    auto late = std::count_if(agent.refused.begin(), agent.refused.end(),
                              [&](auto at) { return at >= agent.until() - (kOutage - kSettled); });
    auto seconds = std::chrono::seconds(kOutage - kSettled).count();
    EXPECT_LE(late, 1.2 * static_cast<double>(gateways) * static_cast<double>(seconds) + 3) << gateways;
    for (auto& client : fleet) client->Stop();
  }
}

// Guards against drains that the agent has been told of and a gateway asks for only after their grace: where
// lists are pushed, what the agent gets at the return of discovery counts at once. A process may be held up
// for 0.15 s before it writes, which the grace covers too.
TEST(Watch, AnAgentThatRefusedAndHasPushedListsIsAskedWithinTheGraceOfDrains) {
  constexpr auto kOutage = std::chrono::milliseconds(4200), kGrace = std::chrono::milliseconds(1000);
  constexpr auto kHeldUp = std::chrono::milliseconds(150);
  constexpr size_t kGateways = 60;
  lemonchute::policy::SocketSettings site;
  site.discovery_pushes = true;
  site.drain_grace_s = std::chrono::duration<double>(kGrace).count();
  boost::asio::io_context io{1};
  FleetAgent agent(io, kOutage);
  std::set<size_t> told;
  std::vector<std::unique_ptr<lemonchute::net::DiscoveryClient>> fleet;
  lemonchute::net::BackendIds ids;
  for (size_t i = 0; i < kGateways; ++i) {
    auto on_list = [&, i](const lemonchute::net::BackendList&) { told.insert(i); };
    fleet.push_back(std::make_unique<lemonchute::net::DiscoveryClient>(
        io, agent.at(), std::make_shared<const lemonchute::policy::SocketSettings>(site), &ids, on_list,
        [] {}, i + 1));
    fleet.back()->Start();
  }
  io.run_until(agent.until() + kGrace - kHeldUp);
  EXPECT_EQ(told.size(), kGateways);
  for (auto& client : fleet) client->Stop();
}

// A new configuration moves discovery for a whole fleet at once: each gateway asks for what has changed,
// which discovery carries, and not for a whole list, which it does not.
TEST(Watch, AMovedDiscoveryIsAskedForWhatHasChanged) {
  LoneClient* lone = nullptr;
  std::vector<std::string> asked;
  Server moved([&](Connection& wire) {
    Message ask = wire.Read();
    asked.push_back(ask.head.substr(0, ask.head.find(" HTTP")));
    wire.Write(List(5, json::array(), false));
    wire.Read();
    lone->io.stop();
  });
  LoneClient run([&](Connection& wire) {
    wire.Read();
    wire.Write(List(4, json::array(), true));
    wire.Read();  // its watch
    boost::asio::post(lone->io, [&] {
      lone->client.Move(
          {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(moved.port())});
    });
    wire.WaitForClose();
  });
  lone = &run;
  run.Run();
  moved.Stop();
  ASSERT_EQ(asked.size(), 1u);
  EXPECT_EQ(asked[0].find("GET /api/targets?after=4&"), 0u) << asked[0];
}

// A request that comes on a resting connection just as that is closed: it is not sent on, since its answer
// could reach nobody, and the connection is not reset over it, which would take along what the client has not
// read.
TEST(Closing, ARequestBehindTheHalfCloseIsNeitherSentOnNorResetsTheConnection) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  site.gateway->Signal(SIGTERM);
  EXPECT_TRUE(client->WaitForClose());
  client->Write(Request("quote"));
  EXPECT_EQ(site.gateway->WaitForExit(), 0);
  EXPECT_EQ(client->SocketError(), 0) << "reset";
  EXPECT_EQ(backend.requests.count(), 1);
}

// The platform counts the longest deadline as 3 s where it is longer, and ends the process 0.7 s after that.
TEST(Closing, WhatIsHeldAtTheEndOfTheProcessGetsItsFinalAnswer) {
  Event given_up;
  Backend backend(HangsUntilClosed(&given_up));
  json config = With({{"/request-classes/0/hard-limit-s", 30.0}, {"/request-classes/2/hard-limit-s", 30.0}});
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port()), EndpointEntry("s2", backend.port())}),
                      config);
  auto held = site.gateway->Connect(), late = site.gateway->Connect();
  held->Write(Request("send-lead", 1, 30000));
  ASSERT_TRUE(backend.requests.Wait());
  std::string request = Request("send-lead", 1, 30000);
  late->Write(request.substr(0, 40));
  site.gateway->Signal(SIGTERM);
  auto began = Clock::now();
  auto probe = site.gateway->Connect();
  while (SendRequest(*probe, kReadinessRequest).status() == 200) {
  }
  late->Write(request.substr(40));
  EXPECT_EQ(held->Read().status(), 504);
  EXPECT_EQ(late->Read().status() / 100, 5);
  EXPECT_EQ(site.gateway->WaitForExit(), 0);
  EXPECT_LT(Clock::now() - began, std::chrono::seconds(15)) << "not after the deadlines";
}

// What a client sends while an earlier request of it leaves the buffer is taken as it came.
TEST(Reading, ARequestThatComesBehindOneSentAheadIsTheOneSentOn) {
  Event go;
  Backend backend([&](const Message&, Connection&) { return go.Wait(), OkResponse("x"); });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  client->Write(Request("quote") + Request("quote"));
  ASSERT_TRUE(backend.requests.Wait());  // the second lies in the buffer, and more is waited for
  go.Notify();
  EXPECT_EQ(client->Read().status(), 200);
  EXPECT_EQ(client->Read().status(), 200);
  std::string third = Request("quote");
  EXPECT_EQ(SendRequest(*client, third).status(), 200);
  ASSERT_TRUE(backend.requests.Wait(3));
  Message sent{third.substr(0, third.find("\r\n\r\n") + 2), "", true};
  EXPECT_EQ(backend.request(2).Header("Request-Id"), sent.Header("Request-Id"));
}

// The rest of a long body that comes while the part before it is passed on stays as its client sent it.
TEST(Reading, ALongBodyIsPassedOnAsItsClientSentIt) {
  BlockedListener listener;
  GatewayFixture site(
      json::array({EndpointEntry("s1", listener.port())}),
      With({{"/request-classes/2/hard-limit-s", 600.0}, {"/limits/connect-timeout-s", 600.0}}));
  std::string body;
  for (int i = 0; body.size() < size_t{1} << 17; ++i) body += std::to_string(i) + " ";
  std::string request = Request("send-lead", 1, 600000, "", body);
  size_t head = request.size() - body.size(), before = head + (size_t{24} << 10);  // a piece and a half
  auto client = site.gateway->Connect(), probe = site.gateway->Connect();
  client->Write(request.substr(0, before));
  ASSERT_TRUE(client->WaitUntilDelivered());
  // Each answer is a turn of the event loop in which what has come is read, a chunk at a time.
  for (int turn = 0; turn < 32; ++turn) EXPECT_EQ(SendRequest(*probe, kReadinessRequest).status(), 200);
  listener.Unblock();
  auto backend = listener.Accept();
  backend->ReadUntil("\r\n\r\n");
  ASSERT_TRUE(backend->ReadUntil(before - head));  // all of it has left the buffer, and more is waited for
  client->Write(request.substr(before));
  ASSERT_TRUE(backend->ReadUntil(body.size()));
  EXPECT_TRUE(backend->unread == body);
  backend->Write(OkResponse("x"));
  EXPECT_EQ(client->Read().status(), 200);
}

// A client that has left is noticed whatever it sent ahead.
TEST(Closing, AClientThatLeavesBehindWhatItSentAheadIsNoticed) {
  for (size_t ahead : {size_t{1} << 10, size_t{40} << 10, size_t{1} << 20}) {
    Event given_up;
    Backend backend(HangsUntilClosed(&given_up));
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}),
                        With({{"/request-classes/0/hard-limit-s", 600.0}}), LEMONCHUTE_GATEWAY, 0,
                        kAdminEnvironment);
    auto client = site.gateway->Connect();
    client->Write(Request("quote", 1, 600000));
    ASSERT_TRUE(backend.requests.Wait());
    client->Write(std::string(ahead, 'x'));
    client->Close();
    AwaitMetric(site.gateway->admin_port, "active", 0);
    EXPECT_TRUE(given_up.Wait()) << ahead;
  }
}

// What is sent ahead within bounds is served in its turn; past them the answer says that it is the last.
TEST(Closing, MoreThanIsKeptOfWhatWasSentAheadEndsTheConnectionWithTheAnswer) {
  Event go;
  Backend backend([&](const Message&, Connection&) { return go.Wait(), OkResponse("x"); });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  client->Write(Request("quote"));
  ASSERT_TRUE(backend.requests.Wait());
  std::thread flood([&] { client->Write(std::string(size_t{8} << 20, 'x')); });  // more than sockets hold
  flood.join();
  go.Notify();
  Message answer = client->Read();
  EXPECT_EQ(answer.status(), 200);
  EXPECT_EQ(answer.Header("Connection"), "close");
}

// An attempt whose connection comes up after its client has left is not made, nor does it wait to be, also
// where the settings allow no cancels.
TEST(Attempt, OneThatHasNotConnectedEndsWithItsClient) {
  BlockedListener backend;
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}),
                      With({{"/limits/cancel", false}, {"/limits/connect-timeout-s", 60.0}}),
                      LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  int ops = site.gateway->admin_port;
  AwaitMetric(ops, "active", 0);
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200);
  size_t before = site.gateway->CountDescriptors();
  client->Write(Request("send-lead"));
  AwaitMetric(ops, "active", 1);
  client->Close();
  AwaitMetric(ops, "active", 0);
  for (int i = 0; i < 200 && site.gateway->CountDescriptors() >= before; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_LT(site.gateway->CountDescriptors(), before);
  backend.Unblock();
  site.gateway->Signal(SIGTERM);
  EXPECT_EQ(site.gateway->WaitForExit(), 0);
  EXPECT_EQ(backend.ReceivedBytes(), "");
}

// A backend turns a request away and its client leaves, both while the process stands still: it then finds
// the answer first, and must not send the request on to the next backend for a client that has gone.
TEST(Attempt, NoneIsRepeatedForAClientWhoseEndIsStillWithTheSystem) {
  std::unique_ptr<Connection> client;
  GatewayProcess* gateway = nullptr;
  Event done;
  std::atomic<int> requests{-1};  // counted from when both backends have a connection that is kept
  auto turns_away = [&](const Message&, Connection& wire) {
    if (requests < 0) return OkResponse("x");
    if (requests++ > 0) return std::string();
    gateway->Signal(SIGSTOP);
    wire.Write("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(wire.WaitUntilDelivered());
    client->Close();
    std::this_thread::sleep_for(std::chrono::milliseconds(120));  // over what a rule allows
    gateway->Signal(SIGCONT);
    done.Notify();
    wire.WaitForClose();
    return std::string();
  };
  Backend one(turns_away), two(turns_away);
  GatewayFixture site(json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())}), {},
                      LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  gateway = site.gateway.get();
  client = gateway->Connect();
  while (one.requests.count() == 0 || two.requests.count() == 0) {
    ASSERT_EQ(SendRequest(*client, RequestOfNewCustomer("quote")).status(), 200);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(50));  // for both to have rested
  requests = 0;
  client->Write(RequestOfNewCustomer("quote"));
  ASSERT_TRUE(done.Wait());
  AwaitMetric(gateway->admin_port, "active", 0);
  EXPECT_EQ(requests, 1);
  EXPECT_EQ(ReadMetric(gateway->admin_port, "held_back.client_gone"), 1);
  EXPECT_EQ(ReadMetric(gateway->admin_port, "closed.client_ended"), 1);
}

// What an attempt tells its backend is what is left to the client when it is written, also where its
// connection has come up late, and with a long request no more than the client's own time.
TEST(Attempt, OneOnALateConnectionTellsTheTimeThatIsLeft) {
  constexpr int kTimeoutMs = 20000;
  for (size_t body : {size_t{0}, size_t{100} << 10}) {
    BlockedListener listener;
    GatewayFixture site(
        json::array({EndpointEntry("s1", listener.port())}),
        With({{"/request-classes/2/hard-limit-s", 60.0}, {"/limits/connect-timeout-s", 60.0}}),
        LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
    auto client = site.gateway->Connect();
    auto sent = Clock::now();
    client->Write(Request("send-lead", 1, kTimeoutMs, "", std::string(body, 'x')));
    AwaitMetric(site.gateway->admin_port, "active",
                1);  // its attempt has begun, and asks anew after a second
    listener.Unblock();
    auto backend = listener.Accept();
    auto came = Clock::now();
    Message head{backend->ReadUntil("\r\n\r\n"), "", true};
    auto gone = std::chrono::duration_cast<std::chrono::milliseconds>(came - sent).count();
    int told = std::atoi(head.Header("Request-Timeout-Ms").c_str());
    EXPECT_GT(told, 0);
    EXPECT_LE(told, kTimeoutMs - (body == 0 ? gone - 150 : 0)) << "up after " << gone << " ms";
    ASSERT_TRUE(backend->ReadUntil(body));
    backend->Write(OkResponse("x"));
    EXPECT_EQ(client->Read().status(), 200);
  }
}

// The grace of a drain covers a process that is held up for 0.15 s between its clock and a write.
TEST(Attempt, NoneBeginsWhereBeingHeldUpWouldCarryItPastTheGraceOfADrain) {
  constexpr double kGraceS = 0.5;
  boost::asio::io_context io{1};
  lemonchute::net::Metrics counters;
  Backend backend(RespondsWith(OkResponse("x")));
  lemonchute::net::BackendPool pool(io, 30, 1, kGraceS, 8, &counters);
  pool.SetBufferBudget(1 << 20);
  pool.Update(1, {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(backend.port())});
  pool.Drain(1);
  std::this_thread::sleep_for(std::chrono::milliseconds(350));  // 0.15 s before the end of the grace
  auto result = lemonchute::policy::AttemptResult::kOk;
  pool.Send(1, {Request("quote"), std::string::npos, 1}, {1, 0},
            [&](const lemonchute::net::AttemptEnd& end) {
              result = end.result;
              io.stop();
            },
            {});
  io.run_for(std::chrono::seconds(2));
  EXPECT_EQ(result, lemonchute::policy::AttemptResult::kConnectFailed);
  EXPECT_EQ(backend.requests.count(), 0);
}

// A repeat must come within the window, not only be decided on in it: its connection may come up late.
TEST(Attempt, ARepeatWhoseConnectionComesUpAfterTheWindowIsNotMade) {
  constexpr auto kWindow = std::chrono::milliseconds(400);
  Backend first([](const Message&, Connection&) { return std::string(); });  // ends: it may have run
  BlockedListener second;
  json entries = json::array({EndpointEntry("s1", first.port()), EndpointEntry("s2", second.port())});
  entries[1]["zone"] = "b";  // the first goes to its own zone
  GatewayFixture site(entries, With({{"/request-classes/1/window-s", 0.4},
                                     {"/request-classes/1/hard-limit-s", 20.0},
                                     {"/limits/connect-timeout-s", 60.0}}));
  auto client = site.gateway->Connect();
  client->Write(Request("save-scenario", 1, 20000));
  ASSERT_TRUE(first.requests.Wait());
  std::this_thread::sleep_until(Clock::now() + kWindow);  // from its arrival on, so the window is over
  second.Unblock();
  EXPECT_EQ(client->Read().status(), 503);
  site.gateway->Signal(SIGTERM);
  EXPECT_EQ(site.gateway->WaitForExit(), 0);
  EXPECT_EQ(second.ReceivedBytes(), "");
}

// A second answer some milliseconds late must find no further request on its connection.
TEST(Attempt, ASecondAnswerIsNotTakenForTheNextRequests) {
  boost::asio::io_context io(1);
  lemonchute::net::Metrics counters;
  lemonchute::net::BackendPool pool(io, 30, 1, 1, 16, &counters);
  pool.SetBufferBudget(1 << 20);
  Backend backend([](const Message& m, Connection& wire) {
    bool first = m.head.find("/one") != std::string::npos;
    if (!first) return OkResponse("two");
    wire.Write(OkResponse("one"));
    // Held back until a further request has come on the same connection, or its other side has ended it.
    if (!wire.Read().complete) return std::string();
    return OkResponse("one again");
  });
  pool.Update(1, {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(backend.port())});
  std::string second;
  auto get = [](const char* path) { return std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n"; };
  pool.Send(1, {get("/one")}, {20, 0},
            [&](lemonchute::net::AttemptEnd one) {
              EXPECT_EQ(one.body, "one");
              pool.Send(1, {get("/two")}, {20, 0},
                        [&](lemonchute::net::AttemptEnd two) {
                          second = two.body;
                          io.stop();
                        },
                        {});
            },
            {});
  io.run();
  EXPECT_EQ(second, "two");
  pool.CloseIdle();
}

// A small answer that has begun and never ends is cut soon after its request's time, so that its client can
// tell.
TEST(Attempt, ASmallAnswerThatNeverEndsIsCut) {
  Backend backend([](const Message&, Connection& wire) {
    std::string begun =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" + std::string(0x5000, 'b');
    wire.Write(begun + "\r\n");
    while (wire.IsOpen()) {
      wire.Write("1\r\nb\r\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return std::string();
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  auto client = site.gateway->Connect();
  client->Write(Request("quote", 1, 500));
  EXPECT_NE(client->ReadUntil("200 OK"), "");
  while (client->ReadMore() && client->unread.size() < (1 << 16)) {
  }
  EXPECT_EQ(client->unread.find("\r\n0\r\n"), std::string::npos) << "must not look whole";
  AwaitMetric(site.gateway->admin_port, "errors.quote", 1);
}

// A client that stops in the middle of a request and stays is owed its error or a close within 3 s, also on a
// connection that has served before.
TEST(Closing, AClientThatStopsInALaterRequestsHeadIsClosedWithinThreeSeconds) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  ASSERT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  std::string half = Request("quote");
  client->Write(half.substr(0, half.size() / 2));
  auto stopped = Clock::now();
  EXPECT_TRUE(client->WaitForClose() || client->WaitForClose());
  EXPECT_LT(Clock::now() - stopped, std::chrono::seconds(3));
}

// The same of one that stops in a body that is passed on, whatever it brought just before.
TEST(Closing, AClientThatStopsInALongBodyIsClosedWithinThreeSeconds) {
  Server backend([](Connection& wire) {
    while (wire.ReadMore()) {
    }
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  std::string request = Request("save-scenario", 1, 1400, "", std::string(200000, 'y'));
  client->Write(request.substr(0, 70000));  // more than is held: it is passed on from here
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  client->Write(request.substr(70000, 40000));
  auto stopped = Clock::now();
  while (!client->WaitForClose()) {
  }
  EXPECT_LT(Clock::now() - stopped, std::chrono::seconds(3));
}

// Another customer's settings: a plan that has neither a rate nor a cap is within its quota.
TEST(Settings, APlanWithoutAQuotaIsServed) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(
      json::array({EndpointEntry("s1", backend.port())}),
      With({{"/tiers-of-service/0/units-per-s", 0.0}, {"/tiers-of-service/0/store-size", 0.0}}));
  auto client = site.gateway->Connect();
  for (int spread : {1, 2}) EXPECT_EQ(SendRequest(*client, Request("quote", spread)).status(), 200);
}

}  // namespace
