// The gateway over loopback sockets: each trap that its code guards against, seen from outside.
#include <atomic>
#include <chrono>
#include <memory>

#include "gateway_site.h"
#include "net/counter_client.h"
#include "net/discovery_client.h"
#include "net/peer_process.h"

namespace {

using namespace rig;  // NOLINT

// A port where nothing listens.
int DeadPort() {
  return Server([](Connection&) {}).port();
}

TEST(Gateway, PassesRequestAndAnswerOnUnchangedAndKeepsConnections) {
  Backend backend([](const Message& m, Connection&) {
    return OkResponse("echo:" + m.body, "X-Note: kept\r\nX-Cost-Units: 2\r\n");
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
  Message answer = SendRequest(*client, Request("send-lead?a=b%20c", 1, 3000, "X-Own: 7\r\n", "the body"));
  EXPECT_EQ(answer.status(), 200);
  EXPECT_EQ(answer.body, "echo:the body");
  EXPECT_EQ(answer.Header("X-Note"), "kept");
  Message sent = backend.request(0);
  EXPECT_EQ(sent.head.substr(0, sent.head.find("\r\n")), "POST /send-lead?a=b%20c HTTP/1.1");
  EXPECT_EQ(sent.body, "the body");
  EXPECT_EQ(sent.Header("X-Own"), "7");
  EXPECT_FALSE(sent.Header("Request-Id").empty());
  EXPECT_EQ(sent.head.find("Request-Timeout-Ms"), sent.head.rfind("Request-Timeout-Ms"));
  EXPECT_LE(std::atoi(sent.Header("Request-Timeout-Ms").c_str()), 3000);
  // A connection rests for 10 ms from its answer on, which is past once the answer has been here for longer.
  auto rest = [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); };
  rest();
  EXPECT_EQ(SendRequest(*client, Request("save-scenario", 1, 3000, "", "b")).status(), 200);
  EXPECT_FALSE(backend.request(1).Header("Idempotency-Key").empty());
  rest();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  EXPECT_EQ(backend.connections(), 1);
}

TEST(Gateway, AnswersBadInputItselfAndGoesOn) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto without = [](std::string request, const std::string& header) {
    size_t at = request.find(header + ":");
    return request.erase(at, request.find("\r\n", at) + 2 - at);
  };
  auto with = [](std::string request, const std::string& from, const std::string& to) {
    return request.replace(request.find(from), from.size(), to);
  };
  std::string good = Request("quote"), ready = "GET /-/ready HTTP/1.1\r\n";
  std::vector<std::pair<std::string, int>> cases = {
      {"no http at all\r\n\r\n", 400},
      {"GET /quote HTTP/9.9\r\n\r\n", 400},
      {without(good, "Request-Id"), 400},
      {without(good, "X-Tier"), 400},
      {without(good, "Cookie"), 400},
      {without(good, "Request-Timeout-Ms"), 400},
      {without(good, "X-Call-Terms"), 400},
      {without(Request("save-scenario"), "Idempotency-Key"), 400},
      {with(good, "business", "unheard-of"), 400},
      {with(good, "/quote", "/unheard-of"), 400},
      {with(good, "client=00000000b4d65521", "client=xyz"), 400},
      {with(good, "Ms: 3000", "Ms: soon"), 400},
      {with(good, "Ms: 3000", "Ms: -5"), 400},
      {with(good, "units=1", "units=nan"), 400},
      {with(good, "units=1", "units=-1"), 400},
      {with(good, "spread=1", "spread=0"), 400},
      {with(good, "GET", "POST"), 405},
      {"GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {Request("send-lead", 1, 3000, "Content-Length: 60000000\r\n"), 413},
      {ready + "X-Large: " + std::string(40000, 'h') + "\r\n\r\n", 431},
      {ready + "Content-Length: many\r\n\r\n", 400},
  };
  for (const auto& [text, status] : cases) {
    auto client = site.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, text).status(), status) << text.substr(0, 300);
  }
  EXPECT_EQ(backend.requests.count(), 0);
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, without(good, "X-Tier")).status(), 400);
  EXPECT_EQ(SendRequest(*client, good).status(), 200) << "the framing was sound, so the connection goes on";
}

// Who connects and never comes to a request is answered or closed soon; a client between requests is kept.
// Each odd form of a time-out has one meaning, and none is a budget without end.
TEST(Gateway, ReadsATimeOutInOneWayAndBoundsItByTheClass) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  const std::string field = "Request-Timeout-Ms: ";
  auto with = [&](const std::string& lines) {
    std::string request = RequestOfNewCustomer("quote");
    size_t at = request.find(field);
    return SendRequest(*client, request.replace(at, request.find("\r\n", at) + 2 - at, lines)).status();
  };
  for (const char* value :
       {"", "0", "000", "-1", "+5", "1.5", "1e3", "0x10", "ten", "10 20", "10,20", "10ms"}) {
    EXPECT_EQ(with(field + value + "\r\n"), 400) << value;
  }
  EXPECT_EQ(with(""), 400) << "absent";
  EXPECT_EQ(with(field + "2000\r\n" + field + "2000\r\n"), 400) << "repeated";
  EXPECT_EQ(backend.requests.count(), 0);
  size_t asked = 0;
  auto told = [&](const std::string& value) {
    EXPECT_EQ(with(field + value + "\r\n"), 200) << value;
    return std::atoi(backend.request(asked++).Header("Request-Timeout-Ms").c_str());
  };
  for (const char* value : {"3000", "3001", "600000", "18446744073709551615", "99999999999999999999999999"}) {
    int ms = told(value);
    EXPECT_LE(ms, 3000) << value;
    EXPECT_GT(ms, 2500) << value;
  }
  EXPECT_LE(told("  0900  "), 900);
}

TEST(Gateway, EndsPeersThatNeverAskSoon) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  std::string part = Request("send-lead", 1, 3000, "", "the body");
  std::vector<std::unique_ptr<Connection>> peers;
  auto begun = std::chrono::steady_clock::now();
  for (std::string sent :
       {std::string(), std::string("no http"), part.substr(0, 60), part.substr(0, part.size() - 1)}) {
    peers.push_back(site.gateway->Connect());
    peers.back()->Write(sent);
  }
  for (auto& peer : peers) EXPECT_TRUE(peer->WaitForClose());
  EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(6)) << "2.5 s, on a busy machine";
  EXPECT_EQ(backend.requests.count(), 1);
  EXPECT_TRUE(client->IsOpen());
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  auto large = site.gateway->Connect();
  large->Write("POST /send-lead HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(2000, 'b'));
  EXPECT_EQ(large->Read().status(), 413) << "at its header, also with the first of its bytes";
}

// What a client may also write, and means the same.
TEST(Gateway, TakesEveryLegalSpelling) {
  Backend backend([](const Message& m, Connection&) { return OkResponse(m.body); });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  auto with = [](std::string request, const std::string& from, const std::string& to) {
    return request.replace(request.find(from), from.size(), to);
  };
  std::string good = Request("quote");
  for (const std::string& text :
       {with(good, "GET /quote", "GET HTTP://app.svc:80/quote?a=1"), with(good, "GET /quote", "GET /qu%6Fte"),
        with(good, "Cookie: client", "cOOKIE:\tother=1; x=y\r\nCookie:client"),
        with(good, "00000000b4d65521", "\"b4d65521\""),
        with(good, "units=1,spread=1", "units = 1 , x=2\r\nX-CALL-TERMS:spread=1"), "\r\n\r\n" + good}) {
    EXPECT_EQ(SendRequest(*client, text).status(), 200) << text;
  }
  EXPECT_EQ(backend.request(0).head.substr(0, 24), "GET /quote?a=1 HTTP/1.1\r");
  EXPECT_EQ(backend.request(1).head.substr(0, 12), "GET /qu%6Fte") << "unaltered";
  std::string old = with(Request("quote", 1, 3000, "Connection: Keep-Alive\r\n"), "HTTP/1.1", "HTTP/1.0");
  EXPECT_EQ(SendRequest(*client, old).Header("Connection"), "keep-alive");
  client->Write(Request("send-lead", 1, 3000, "Transfer-Encoding: chunked\r\n") +
                "3;a=\"b\"\r\nabc\r\n02\r\nde\r\n000\r\nX-End: 1\r\n\r\n");
  EXPECT_EQ(client->Read().body, "abcde");
}

// Bytes that come before the answer to the request before them are the next request.
TEST(Gateway, LosesNoPipelinedBytes) {
  Backend backend([](const Message& m, Connection&) { return OkResponse(m.body); });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  std::string third = Request("send-lead", 1, 3000, "", "three");
  client->Write(Request("send-lead", 1, 3000, "", "one") + Request("send-lead", 1, 3000, "", "two") +
                third.substr(0, 40));
  EXPECT_EQ(client->Read().body, "one");
  EXPECT_EQ(client->Read().body, "two");
  client->Write(third.substr(40));
  EXPECT_EQ(client->Read().body, "three");
}

TEST(Gateway, NeverSendsAnUnsafeRequestAgainOnceItMayHaveRun) {
  std::vector<std::string> ends = {"", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                                   "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "garbage\r\n\r\n"};
  for (const std::string& end : ends) {
    Backend backend([end](const Message&, Connection& wire) {
      wire.Write(end);
      return std::string();
    });
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 502) << end;
    EXPECT_EQ(backend.requests.count(), 1) << end;
  }
}

// An answer that says it is longer than any may be is given up at its header, also where the first bytes of
// its body come along: nothing of the stated size is kept room for or read.
TEST(Gateway, GivesUpAnAnswerBeyondTheBodyLimitAtItsHeader) {
  for (std::string head :
       {"Content-Length: 3000000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nb2d05e00\r\n"}) {
    Event given_up;
    Backend backend([&](const Message&, Connection& wire) {
      wire.Write("HTTP/1.1 200 OK\r\n" + head + "the first bytes of a body");
      if (wire.WaitForClose()) given_up.Notify();
      return std::string();
    });
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    client->Write(Request("send-lead", 1, 600000));
    EXPECT_TRUE(given_up.Wait()) << head;
    EXPECT_EQ(client->Read().status(), 502) << head;
  }
}

TEST(Gateway, TakesOnlyNotStartedAsTurnedAway) {
  Backend full(RespondsWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"));
  GatewayFixture site(json::array({EndpointEntry("s1", full.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 503)
      << "it never ran, so asking again is harmless";
}

// What could not be connected to has not run, so another backend may get even an unsafe request.
TEST(Gateway, TriesElsewhereWhatCouldNotConnect) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(
      json::array({EndpointEntry("dead", DeadPort()), EndpointEntry("live", backend.port())}));
  auto client = site.gateway->Connect();
  for (int i = 0; i < 6; ++i) EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200);
  EXPECT_EQ(backend.requests.count(), 6);
}

// A kept connection that the backend has ended, or written to unasked, takes no further request.
TEST(Gateway, ReusesNoStaleConnection) {
  for (std::string after : {"close", "bytes", "header"}) {
    Event closed;
    Backend backend([&](const Message&, Connection& wire) {
      if (after == "header") return OkResponse("x", "Connection: close\r\n");
      wire.Write(OkResponse("x") + (after == "bytes" ? "unasked" : ""));
      if (after == "bytes") {
        if (wire.WaitForClose()) closed.Notify();
      }
      return std::string();
    });
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200) << after;
    if (after == "bytes") {
      EXPECT_TRUE(closed.Wait());
    }
    // The end may cross the next request; from the one after it on the connection is known to be over.
    if (after == "close") SendRequest(*client, Request("quote"));
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200) << after;
  }
}

TEST(Gateway, ClosesKeptConnectionsBeforeTheIdleLimit) {
  Event closed;
  Backend backend([&](const Message&, Connection& wire) {
    wire.Write(OkResponse("x"));
    if (wire.WaitForClose()) closed.Notify();
    return std::string();
  });
  json config = DefaultConfig(0, 0);
  config["settings"]["limits"]["conn-idle-s"] = 0.5;
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), config);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).status(), 200);
  EXPECT_TRUE(closed.Wait());
}

TEST(Gateway, GivesUpASilentBackendInTimeAndClosesItsConnection) {
  Event given_up;
  Backend backend(HangsUntilClosed(&given_up));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("send-lead", 1, 400)).status(), 502);
  EXPECT_TRUE(given_up.Wait());
  EXPECT_EQ(backend.requests.count(), 1);
}

// What is given up is closed before another attempt goes out: never two at once.
TEST(Gateway, ClosesAnAttemptBeforeItSendsTheNext) {
  Event given_up;
  std::atomic<int> seen{0};
  auto answer = [&](const Message&, Connection& wire) {
    if (seen++ == 0) {
      if (wire.WaitForClose()) given_up.Notify();
      return std::string();
    }
    return given_up.Wait() ? OkResponse("second") : std::string();
  };
  Backend one(answer), two(answer);
  GatewayFixture site(json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())}));
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).body, "second");
}

// A connection that comes up after its attempt was given up carries nothing.
TEST(Gateway, SendsNothingOnALateConnection) {
  BlockedListener backend;
  {
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 503);
  }
  // The gateway has ended, so all that it ever sent is here.
  backend.Unblock();
  EXPECT_EQ(backend.ReceivedBytes(), "");
}

TEST(Gateway, CancelsWhatIsOutWhenItsClientHasGone) {
  Event given_up;
  Backend backend(HangsUntilClosed(&given_up));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  client->Write(Request("send-lead", 1, 600000));
  EXPECT_TRUE(backend.requests.Wait());
  client->Close();
  EXPECT_TRUE(given_up.Wait());
}

// The module's refusal comes at once, with the time after which to come back.
TEST(Gateway, RefusesBeyondTheQuotaAtOnceWithRetryAfter) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  Message last;
  for (int i = 0; i < 10 && last.status() != 429; ++i) {
    std::string request = Request("quote", 1, 600000);
    request.replace(request.find("X-Tier: business"), 16, "X-Tier: small");
    last = SendRequest(*client, request);
  }
  EXPECT_EQ(last.status(), 429);
  EXPECT_GT(std::atof(last.Header("Retry-After").c_str()), 0);
}

// If the module says nothing the answer still comes in time, and promises harmlessness only where that is
// known.
TEST(Gateway, AnswersInTimeForAModuleThatIsSilent) {
  Event given_up;
  Backend backend(HangsUntilClosed(&given_up));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_SILENT);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote", 1, 200)).status(), 503);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("send-lead", 1, 200)).status(), 503);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("save-scenario", 1, 200)).status(), 504);
  EXPECT_TRUE(given_up.Wait()) << "what is out at the answer is given up";
}

TEST(Gateway, FollowsDiscovery) {
  Backend one(RespondsWith(OkResponse("one"))), two(RespondsWith(OkResponse("two")));
  GatewayFixture site(json::array({EndpointEntry("a", one.port())}));
  auto client = site.gateway->Connect();
  auto told = [&] {
    EXPECT_TRUE(site.discovery.AwaitListApplied());
    return SendRequest(*client, Request("quote")).body;
  };
  EXPECT_EQ(told(), "one");
  site.discovery.SetList(json::array({EndpointEntry("b", two.port())}));
  EXPECT_EQ(told(), "two") << "what a whole list does not name is gone";
  site.discovery.SetList(json::array({EndpointEntry("b", one.port())}));
  EXPECT_EQ(told(), "one") << "an address may change";
  site.discovery.SetList(
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}), false,
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}));
  EXPECT_EQ(told(), "two") << "nothing new to one that leaves";
  site.discovery.SetList(json::array({EndpointEntry("a", two.port())}), true, {}, "no list");
  EXPECT_EQ(told(), "two") << "garbage changes nothing, and is asked for again";
}

// SIGHUP ends nothing: what is held goes on, and discovery and the counter are those that the file names now.
TEST(Gateway, GoesToTheAddressesOfTheReplacedConfigurationOnSighup) {
  Event held, go;
  Backend one([&](const Message&, Connection&) { return held.Notify(), go.Wait(), OkResponse("one"); });
  Backend two(RespondsWith(OkResponse("two")));
  GatewayFixture site(json::array({EndpointEntry("a", one.port())}));
  Discovery discovery;  // tells of a later version, as a list of one version has one content
  discovery.SetList(json::array({EndpointEntry("a", one.port())}));
  discovery.SetList(json::array({EndpointEntry("b", two.port())}));
  Counter counter([](const std::string&, double) { return BulkString("0"); });
  auto early = site.gateway->Connect(), late = site.gateway->Connect();
  early->Write(Request("send-lead"));
  ASSERT_TRUE(held.Wait());
  site.gateway->Reconfigure(DefaultConfig(discovery.port(), counter.port()));
  ASSERT_TRUE(discovery.AwaitListApplied());
  std::string another = Request("quote", 2);  // of a customer not seen before, which is asked about at once
  EXPECT_EQ(SendRequest(*late, another.replace(another.find("b4d65521"), 8, "b4d65522")).body, "two");
  EXPECT_TRUE(counter.calls.Wait());
  go.Notify();
  EXPECT_EQ(early->Read().body, "one");
  site.gateway->Reconfigure({{"name", "nothing else"}});  // what cannot be read changes nothing
  EXPECT_EQ(SendRequest(*late, Request("quote", 2)).body, "two");
}

TEST(Gateway, ServesByTheKnownListWhileDiscoveryIsSilent) {
  Backend backend(RespondsWith(OkResponse("x")));
  Discovery discovery;
  discovery.SetSilent(true);
  Counter counter([](const std::string&, double) { return BulkString("0"); });
  GatewayProcess gateway(
      DefaultConfig(discovery.port(), counter.port(), json::array({EndpointEntry("s1", backend.port())})));
  auto client = gateway.Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  for (int i = 0; i < 3000; ++i) {  // ready without discovery, once its first call has failed
    if (SendRequest(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(SendRequest(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

// Discovery that can't carry the fleet answers 503. Gateways come again at times of their own, and go on from
// the version that they have: whole lists from all of them would keep it down.
TEST(Discovery, GatewaysThatAreRefusedTogetherDoNotComeAgainTogether) {
  constexpr int kAsks = 6;  // of watches, after the first whole list
  std::chrono::steady_clock::duration sixth[2];
  for (uint64_t seed : {1, 2}) {
    boost::asio::io_context io(1);
    std::atomic<int> watches{0}, whole{0};
    std::string list = json{{"index", 4}, {"snapshot", true}, {"endpoints", json::array()}}.dump();
    Server server([&](Connection& wire) {
      for (Message ask = wire.Read(); ask.complete; ask = wire.Read()) {
        bool watch = ask.head.find("after=4") != std::string::npos;
        ++(watch ? watches : whole);
        wire.Write(whole == 1 && !watch ? OkResponse(list)
                                        : "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      }
    });
    auto site = std::make_shared<const lemonchute::policy::SocketSettings>();
    lemonchute::net::BackendIds ids;
    int failed = 0;
    auto began = std::chrono::steady_clock::now();
    lemonchute::net::DiscoveryClient client(
        io, {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server.port())}, site,
        &ids, [](const lemonchute::net::BackendList&) {},
        [&] {
          if (++failed == kAsks) io.stop();
        },
        seed);
    client.Start();
    io.run();
    sixth[seed - 1] = std::chrono::steady_clock::now() - began;
    client.Stop();
    server.Stop();
    EXPECT_EQ(whole, 1);
    EXPECT_EQ(watches, kAsks);
  }
  auto apart = std::chrono::abs(sixth[0] - sixth[1]);
  EXPECT_GT(apart, std::chrono::milliseconds(100));
}

TEST(Gateway, ServesWithACounterThatFails) {
  for (std::string answer :
       {"", "-BUSY full\r\n", "-ERR no\r\n", "garbage\r\n", "$999999999\r\n", "$3\r\nabc\r\n"}) {
    Backend backend(RespondsWith(OkResponse("x")));
    Discovery discovery;
    discovery.SetList(json::array({EndpointEntry("s1", backend.port())}));
    Counter counter([&](const std::string&, double) { return answer; });
    GatewayProcess gateway(DefaultConfig(discovery.port(), counter.port()));
    EXPECT_TRUE(discovery.AwaitListApplied());
    auto client = gateway.Connect();
    for (int i = 0; i < 8; ++i) EXPECT_EQ(SendRequest(*client, Request("quote", 2)).status(), 200) << answer;
    EXPECT_GT(counter.calls.count(), 0) << answer;
  }
}

TEST(Gateway, OnSigtermFinishesWhatItHoldsAndServesWhatStillComes) {
  Event held, go;
  Backend backend([&](const Message&, Connection&) {
    held.Notify();
    go.Wait();
    return OkResponse("x");
  });
  Backend other([&](const Message& m, Connection&) { return held.Notify(), go.Wait(), OkResponse(m.body); });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port()), EndpointEntry("s2", other.port())}));
  auto client = site.gateway->Connect(), later = site.gateway->Connect();
  client->Write(Request("send-lead", 1, 3000));
  EXPECT_TRUE(held.Wait());
  std::string begun = Request("save-scenario");
  later->Write(begun.substr(0, 50));
  site.gateway->Signal(SIGTERM);
  auto probe = site.gateway->Connect();
  for (int i = 0; i < 3000 && SendRequest(*probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
       ++i) {
  }
  // A new connection, and one that was there before. Like a client, it asks again if the gateway's closing of
  // idle connections has crossed its request.
  later->Write(begun.substr(50));
  EXPECT_TRUE(held.Wait(2));
  std::unique_ptr<Connection> fresh;
  for (int i = 0; i < 50 && held.count() < 3; ++i) {
    fresh = site.gateway->Connect();
    fresh->Write(Request("save-scenario"));
    while (held.count() < 3 && fresh->IsOpen()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_NE(fresh, nullptr);
  go.Notify();
  for (Connection* wire : {client.get(), fresh.get(), later.get()}) {
    Message answer = wire->Read();
    EXPECT_EQ(answer.status(), 200);
    EXPECT_EQ(answer.Header("Connection"), "close");
    EXPECT_TRUE(wire->WaitForClose());
  }
  EXPECT_EQ(site.gateway->WaitForExit(), 0);
}

// More connections than there are descriptors: the longest idle make room, and what waits is taken later.
TEST(Gateway, SurvivesRunningOutOfDescriptors) {
  Backend backend(RespondsWith(OkResponse("x")));
  json config = DefaultConfig(0, 0);
  config["limits"]["sockets"] = 64;
  for (rlim_t limit : {64, 16}) {  // within its budget, and with less than that
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), config, LEMONCHUTE_GATEWAY,
                        limit);
    std::vector<std::unique_ptr<Connection>> idle;
    for (int i = 0; i < 60; ++i) idle.push_back(site.gateway->Connect());
    auto client = site.gateway->Connect();
    if (limit < 64) idle.clear();
    EXPECT_NE(SendRequest(*client, Request("quote")).status(), 0);
    idle.clear();
    int status = 0;
    for (int i = 0; i < 100 && status != 200; ++i)
      status = SendRequest(*site.gateway->Connect(), Request("quote")).status();
    EXPECT_EQ(status, 200);
  }
}

TEST(Gateway, SaysInOneLineWhatSettingIsMissing) {
  json missing = DefaultConfig(1, 1), bad = DefaultConfig(1, 1), list = DefaultConfig(1, 1);
  missing["settings"]["invariants"].erase("cold-from");
  bad["listen"] = "nowhere";
  list["known"] = {{"index", "x"}};
  std::vector<std::pair<std::string, std::string>> cases = {
      {missing.dump(), "/settings/invariants/cold-from"},
      {bad.dump(), "/listen: "},
      {list.dump(), "/known"},
      {"{", "JSON"}};
  for (const auto& [text, word] : cases) {
    GatewayProcess gateway(text, LEMONCHUTE_GATEWAY, 0);
    EXPECT_NE(gateway.WaitForExit(), 0);
    EXPECT_NE(gateway.listen_line.find(word), std::string::npos) << gateway.listen_line;
    EXPECT_EQ(gateway.late_log, "") << "one line";
  }
}

TEST(Ops, AnswersItsCallsAndRefusesOthers) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  int ops = site.gateway->admin_port;
  EXPECT_EQ(AdminCall(ops, "GET", "/control/ready").status(), 200);
  EXPECT_EQ(AdminCall(ops, "GET", "/control/nothing").status(), 404);
  EXPECT_EQ(AdminCall(ops, "GET", "/control/backends/s1").status(), 404);
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/ready").status(), 405);
  EXPECT_EQ(AdminCall(ops, "GET", "/control/out-of-service").status(), 405);
  EXPECT_EQ(AdminCall(ops, "DELETE", "/control/backends/s1/offline").status(), 405);
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/backends/s2/offline").status(), 404);
  auto caller = Connection::ConnectTo(ops);
  EXPECT_EQ(SendRequest(*caller, "no call\r\n\r\n").status(), 400);
  EXPECT_TRUE(caller->WaitForClose());
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(),
            400)
      << "not for clients";
}

// Callers that hold a connection without a whole call give way to one that has something to say.
TEST(Ops, AnswersBesideCallersThatDribble) {
  GatewayFixture site(json::array(), {}, LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  int ops = site.gateway->admin_port;
  std::vector<std::unique_ptr<Connection>> callers;
  for (int i = 0; i < 100; ++i) {
    callers.push_back(Connection::ConnectTo(ops));
    callers.back()->Write("GET /cont");
  }
  EXPECT_EQ(AdminCall(ops, "GET", "/control/ready").status(), 200);
  EXPECT_TRUE(callers.front()->WaitForClose());
}

TEST(Ops, CountsEachEndOnceAndEachAttempt) {
  Event held, go;
  std::atomic<int> seen{0};
  Backend backend([&](const Message&, Connection&) {
    if (++seen == 3) held.Notify(), go.Wait();
    return seen == 2 ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" : OkResponse("x");
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  int ops = site.gateway->admin_port;
  auto client = site.gateway->Connect();
  EXPECT_EQ(ReadMetric(ops, "ok.send-lead"), 0);
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 502);
  client->Write(Request("send-lead"));
  ASSERT_TRUE(held.Wait());
  EXPECT_EQ(ReadMetric(ops, "active"), 1);
  go.Notify();
  EXPECT_EQ(client->Read().status(), 200);
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/backends/s1/offline").status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 503);
  EXPECT_EQ(ReadMetric(ops, "ok.send-lead"), 2);
  EXPECT_EQ(ReadMetric(ops, "errors.send-lead"), 1);
  EXPECT_EQ(ReadMetric(ops, "shed.send-lead"), 1);
  EXPECT_EQ(ReadMetric(ops, "ok.quote"), 0);
  EXPECT_EQ(ReadMetric(ops, "tries"), 3);
  EXPECT_EQ(ReadMetric(ops, "active"), 0);
  EXPECT_EQ(ReadMetric(ops, "pool_size"), 1);
  EXPECT_EQ(ReadMetric(ops, "pool_ejected"), 1);
}

// Taken out by hand: its kept connections end, nothing more goes to it whatever discovery says, also after a
// start with the same folder, until one call back.
TEST(Ops, KeepsABackendOfflineUntilItIsCalledBack) {
  Event closed;
  Backend one([&](const Message&, Connection& wire) {
    wire.Write(OkResponse("one"));
    while (!wire.WaitForClose()) wire.Write(OkResponse("one"));
    closed.Notify();
    return std::string();
  });
  TempFolder folder;
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  json entries = json::array({EndpointEntry("s 1", one.port())});
  auto ask = [](GatewayFixture& site) { return SendRequest(*site.gateway->Connect(), Request("quote")); };
  {
    GatewayFixture site(entries, {}, LEMONCHUTE_GATEWAY, 0, environment);
    EXPECT_EQ(ask(site).body, "one");
    for (int i = 0; i < 2; ++i) {
      EXPECT_EQ(AdminCall(site.gateway->admin_port, "PUT", "/control/backends/s%201/offline").status(), 200);
    }
    EXPECT_TRUE(closed.Wait());
    EXPECT_EQ(ask(site).status(), 503);
    site.discovery.SetList(json::array());
    site.discovery.SetList(entries);
    EXPECT_TRUE(site.discovery.AwaitListApplied());
    EXPECT_EQ(ask(site).status(), 503);
  }
  GatewayFixture site(entries, {}, LEMONCHUTE_GATEWAY, 0, environment);
  EXPECT_EQ(ask(site).status(), 503);
  EXPECT_EQ(AdminCall(site.gateway->admin_port, "PUT", "/control/backends/s%201/online").status(), 200);
  EXPECT_EQ(ReadMetric(site.gateway->admin_port, "pool_ejected"), 0);
  for (int i = 0; i < 3000 && ask(site).status() != 200; ++i) {  // it is met as cold
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(one.requests.count(), 2);
}

TEST(Ops, StartsWithADamagedFileAndSaysNoWhereNothingCanBeKept) {
  TempFolder folder;
  std::ofstream(folder.path() + "/lb-maintenance.json") << "[\"s1\", 7";
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                      environment);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).status(), 200);
  std::filesystem::remove_all(folder.path());
  EXPECT_EQ(AdminCall(site.gateway->admin_port, "PUT", "/control/backends/s1/offline").status(), 500);
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), Request("quote")).status(), 200);
}

// Drained: not ready at once, goes on serving, then lets go of clients' connections, and comes back.
TEST(Ops, DrainsAndComesBack) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  int ops = site.gateway->admin_port;
  auto idle = site.gateway->Connect(), client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*idle, kReadinessRequest).status(), 200);
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/out-of-service").status(), 200);
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 503);
  EXPECT_EQ(AdminCall(ops, "GET", "/control/ready").status(), 503);
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  EXPECT_TRUE(idle->WaitForClose());
  Message answer = SendRequest(*site.gateway->Connect(), Request("quote"));
  EXPECT_EQ(answer.status(), 200);
  EXPECT_EQ(answer.Header("Connection"), "close");
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/in-service").status(), 200);
  client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("quote")).Header("Connection"), "");
}

// A replaced file counts as a whole: classes come and go and change their effect, and what is held goes on as
// it came.
TEST(Reload, TakesClassesAndRulesForWhatComesAfter) {
  Event held, go;
  std::atomic<bool> fails{false};
  Backend backend([&](const Message& m, Connection&) {
    if (m.body == "wait") held.Notify(), go.Wait();
    return fails || m.body == "wait" ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" : OkResponse("x");
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  int ops = site.gateway->admin_port;
  auto early = site.gateway->Connect(), client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("send-lead")).status(), 200);
  early->Write(Request("send-lead", 1, 3000, "", "wait"));
  ASSERT_TRUE(held.Wait());
  json config = DefaultConfig(site.discovery.port(), site.counter.port());
  json& classes = config["settings"]["request-classes"];
  classes[0]["effect"] = "single_shot";  // quote
  classes[2]["name"] = "send-note";      // in place of send-lead
  config["settings"]["limits"]["try-limit"] = 1;
  site.gateway->Reconfigure(config);
  AwaitMetric(ops, "config_applied", 1);
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("send-note")).status(), 200);
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("send-lead")).status(), 400);
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("quote")).status(), 405)
      << "now a class that is not safe, so POST";
  go.Notify();
  EXPECT_EQ(early->Read().status(), 502) << "a single shot that may have run, as when it came";
  EXPECT_EQ(ReadMetric(ops, "ok.send-note"), 1);
  EXPECT_EQ(ReadMetric(ops, "ok.send-lead"), 1) << "a dropped class keeps its counts";
  fails = true;
  int before = backend.requests.count();
  EXPECT_EQ(SendRequest(*client, Request("save-scenario")).status(), 503);
  EXPECT_EQ(backend.requests.count(), before + 1) << "attempts have become fewer";
}

TEST(Reload, TakesNothingFromABrokenFile) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  json good = DefaultConfig(1, 1);  // addresses where nothing is
  good["settings"]["request-classes"][2]["name"] = "send-note";
  std::vector<std::string> files = {"", good.dump().substr(0, good.dump().size() / 2)};
  auto with = [&](const char* pointer, const json& value) {
    json bad = good;
    bad[json::json_pointer(pointer)] = value;
    files.push_back(bad.dump());
  };
  auto without = [&](const char* pointer, const char* key) {
    json bad = good;
    bad[json::json_pointer(pointer)].erase(key);
    files.push_back(bad.dump());
  };
  with("/settings/request-classes/0/hard-limit-s", 0);
  with("/settings/request-classes/2/hard-limit-s", -1.5);
  with("/settings/request-classes/0/hard-limit-s", "3.0");
  with("/settings/request-classes/1/aim-s", nullptr);
  with("/settings/limits/try-limit", 0);
  with("/settings/limits/try-limit", -2);
  with("/settings/limits/try-limit", "many");
  with("/settings/request-classes", json::array());
  without("", "counter");
  without("", "settings");
  without("/settings/limits", "try-limit");
  without("/settings/request-classes/1", "streamed");
  long rejected = 0;
  for (const std::string& file : files) {
    site.gateway->Reconfigure(file);
    AwaitMetric(site.gateway->admin_port, "config_rejected", ++rejected);
    EXPECT_EQ(SendRequest(*site.gateway->Connect(), RequestOfNewCustomer("send-lead")).status(), 200)
        << file.substr(0, 200);
  }
  EXPECT_EQ(ReadMetric(site.gateway->admin_port, "config_applied"), 0);
}

// A body that is longer than what is held, and that shows any byte out of its place.
std::string Long(size_t size) {
  std::string text;
  for (size_t i = 0; text.size() < size; ++i) text += std::to_string(i) + ",";
  return text.substr(0, size);
}

std::string Chunks(const std::string& body, size_t most) {
  std::string text;
  char size[40];
  for (size_t at = 0; at < body.size(); at += most) {
    std::string part = body.substr(at, most);
    std::snprintf(size, sizeof(size), "%zX;note=\"a;b\"\r\n", part.size());
    text += size + part + "\r\n";
  }
  return text;
}

std::string Unchunked(Connection& wire) {
  std::string body;
  for (;;) {
    std::string line = wire.ReadUntil("\r\n");
    size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size == 0) return line == "0\r\n" ? body : "no last chunk";
    if (!wire.ReadUntil(size + 2)) return "cut";
    body += wire.unread.substr(0, size);
    wire.unread.erase(0, size + 2);
  }
}

// A large answer is passed on while it still comes, in whatever way its length is told.
TEST(Stream, PassesALargeAnswerOnAsItComes) {
  std::string body = Long(300000);
  size_t half = 150000;
  for (std::string form : {"length", "chunks", "end"}) {
    Event first;
    Backend backend([&](const Message&, Connection& wire) {
      bool chunks = form == "chunks";
      std::string head = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Note: kept\r\n";
      if (form == "length") head += "Content-Length: 300000\r\n";
      if (chunks) head += "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n";
      wire.Write(head + "\r\n" + (chunks ? Chunks(body.substr(0, half), 1000) : body.substr(0, half)));
      EXPECT_TRUE(first.Wait()) << form;
      wire.Write(chunks ? Chunks(body.substr(half), 70000) + "0\r\nX-End: 1\r\n\r\n" : body.substr(half));
      return std::string();
    });
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                        kAdminEnvironment);
    auto client = site.gateway->Connect();
    client->Write(Request("quote"));
    std::string head = client->ReadUntil("\r\n\r\n");
    EXPECT_EQ(head.substr(0, 15), "HTTP/1.1 200 OK") << form;
    EXPECT_NE(head.find("X-Note: kept"), std::string::npos) << form;
    ASSERT_TRUE(client->ReadUntil(30000)) << form;
    EXPECT_EQ(ReadMetric(site.gateway->admin_port, "active"), 1) << "not ended yet";
    first.Notify();
    if (form == "length") {
      ASSERT_TRUE(client->ReadUntil(body.size()));
      EXPECT_EQ(client->unread, body);
      client->unread.clear();
    } else {
      EXPECT_EQ(Unchunked(*client), body) << form;
      EXPECT_EQ(client->ReadUntil("\r\n"), "\r\n");
    }
    AwaitMetric(site.gateway->admin_port, "ok.quote", 1);
    EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200) << "kept: " << form;
    EXPECT_EQ(backend.requests.count(), 1);
  }
}

// What breaks off after it has begun is neither tried again nor made to look whole.
TEST(Stream, CutsAnAnswerThatBreaksOff) {
  std::string body = Long(100000);
  for (bool chunks : {false, true}) {
    Backend backend([&](const Message&, Connection& wire) {
      wire.Write(std::string("HTTP/1.1 200 OK\r\n") +
                 (chunks ? "Transfer-Encoding: chunked\r\n\r\n" + Chunks(body, 5000)
                         : "Content-Length: 200000\r\n\r\n" + body));
      return std::string();
    });
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                        kAdminEnvironment);
    auto client = site.gateway->Connect();
    client->Write(Request("quote"));
    EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
    if (chunks) {
      EXPECT_EQ(Unchunked(*client), "no last chunk");
    } else {
      while (client->ReadMore()) {
      }
      EXPECT_EQ(client->unread, body);
    }
    AwaitMetric(site.gateway->admin_port, "errors.quote", 1);
    EXPECT_EQ(backend.requests.count(), 1);
  }
}

// A client that does not read holds its backend up, and costs no more memory than one that does.
TEST(Stream, HoldsNoMoreThanAPieceForASlowClient) {
  constexpr size_t kSize = size_t{32} << 20;
  std::atomic<size_t> written{0};
  Backend backend([&](const Message&, Connection& wire) {
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kSize) + "\r\n\r\n");
    std::string part(1 << 20, 'b');
    for (size_t at = 0; at < kSize; written = at) {
      wire.Write(part);
      at += part.size();
    }
    return std::string();
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  client->Write(Request("quote"));
  ASSERT_NE(client->ReadUntil("\r\n\r\n"), "");
  for (size_t last = 1, now = 0; last != now || now == 0;) {  // until its backend has come to rest
    last = written;
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    now = written;
  }
  EXPECT_LT(written, kSize);
  size_t got = client->unread.size();
  client->unread.clear();
  while (got < kSize && client->ReadMore()) {
    got += client->unread.size();
    client->unread.clear();
  }
  EXPECT_EQ(got, kSize);
  EXPECT_GT(site.gateway->PeakMemoryKb(), 0);
  EXPECT_LT(site.gateway->PeakMemoryKb(), 24 << 10);
}

// Where memory is short less is held: what would fit elsewhere is passed on as it comes.
TEST(Stream, HoldsLessWhereMemoryIsShort) {
  std::string body = Long(40000);
  constexpr int kClients = 6;
  Event all, first;
  Backend backend([&](const Message&, Connection& wire) {
    all.Notify();
    EXPECT_TRUE(all.Wait(kClients)) << "each is to have a sixth of the budget";
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + body.substr(0, 20000));
    EXPECT_TRUE(first.Wait());
    wire.Write(body.substr(20000));
    return std::string();
  });
  json config = DefaultConfig(0, 0);
  config["limits"]["memory_mb"] = 1;
  json entries = json::array();
  for (int i = 0; i < 8; ++i)
    entries.push_back(EndpointEntry(std::string("s").append(std::to_string(i)), backend.port()));
  GatewayFixture site(entries, config);
  std::vector<std::unique_ptr<Connection>> clients;
  for (int i = 0; i < kClients; ++i) clients.push_back(site.gateway->Connect());
  for (auto& client : clients) client->Write(RequestOfNewCustomer("quote"));
  for (auto& client : clients) EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
  first.Notify();
  for (auto& client : clients) {
    EXPECT_TRUE(client->ReadUntil(body.size()));
    EXPECT_EQ(client->unread, body);
  }
}

// A large body reaches the backend while it still comes, framed as it came, and only once it was asked for.
TEST(Stream, PassesALargeBodyOnAsItComes) {
  std::string body = Long(300000);
  size_t half = 150000;
  for (bool chunks : {false, true}) {
    Event first, done;
    std::string seen, head;
    Server backend([&](Connection& wire) {
      head = wire.ReadUntil("\r\n\r\n");
      wire.ReadUntil(30000);
      first.Notify();
      if (chunks) {
        seen = Unchunked(wire);
        wire.ReadUntil("\r\n");
      } else {
        wire.ReadUntil(body.size());
        seen = wire.unread;
      }
      wire.Write(OkResponse("done"));
      done.Notify();
      wire.WaitForClose();
    });
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                        kAdminEnvironment);
    auto client = site.gateway->Connect();
    client->Write(Request("send-lead", 1, 3000,
                          std::string("Expect: 100-Continue\r\n") +
                              (chunks ? "Transfer-Encoding: Chunked\r\n" : "Content-Length: 300000\r\n")));
    EXPECT_EQ(client->ReadUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    client->Write(chunks ? Chunks(body.substr(0, half), 999) : body.substr(0, half));
    ASSERT_TRUE(first.Wait()) << chunks;
    EXPECT_EQ(ReadMetric(site.gateway->admin_port, "tries"), 0) << "its last byte is not out";
    client->Write(chunks ? Chunks(body.substr(half), 70000) + "0\r\nX-End: 1\r\n\r\n" : body.substr(half));
    EXPECT_EQ(client->Read().body, "done");
    ASSERT_TRUE(done.Wait());
    EXPECT_EQ(seen, body) << chunks;
    EXPECT_NE(head.find("Request-Id: "), std::string::npos);
    EXPECT_EQ(ReadMetric(site.gateway->admin_port, "tries"), 1);
    EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200) << "kept";
  }
}

// A body that has gone out in part is not held, so it is not sent again; it has not run, so it is refused at
// once.
TEST(Stream, NeverSendsABodyAgainThatIsNotHeld) {
  Server backend([](Connection& wire) { wire.ReadUntil(100000); });
  GatewayFixture site(
      json::array({EndpointEntry("s1", backend.port()), EndpointEntry("s2", backend.port())}));
  auto client = site.gateway->Connect();
  client->Write(Request("save-scenario", 1, 600000, "Content-Length: 300000\r\n"));
  client->Write(Long(200000));
  Message answer = client->Read();
  EXPECT_EQ(answer.status(), 503);
  EXPECT_EQ(answer.Header("Connection"), "close");
  EXPECT_EQ(backend.connections, 1);
}

// Framing that another reader could take otherwise reaches no backend.
TEST(Stream, RefusesFramingInDoubt) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}));
  std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (std::string framing :
       {"Content-Length: 4\r\n" + chunked, chunked + "Content-Length: 4\r\n", chunked + chunked,
        std::string("Transfer-Encoding: gzip, chunked\r\n"),
        std::string("Transfer-Encoding: chunked, identity\r\n"),
        std::string("Content-Length: 4\r\nContent-Length: 5\r\n"), std::string("Content-Length: +4\r\n"),
        std::string("Content-Length : 4\r\n"), std::string("Transfer-Encoding: xchunked\r\n")}) {
    auto client = site.gateway->Connect();
    client->Write(Request("send-lead", 1, 3000, framing) + "0\r\n\r\nGET /quote HTTP/1.1\r\n");
    EXPECT_EQ(client->Read().status(), 400) << framing;
    EXPECT_TRUE(client->WaitForClose()) << framing;
  }
  auto client = site.gateway->Connect();
  std::string old = Request("send-lead", 1, 3000, chunked) + "0\r\n\r\n";
  client->Write(old.replace(old.find("HTTP/1.1"), 8, "HTTP/1.0"));
  EXPECT_EQ(client->Read().status(), 400);
  EXPECT_EQ(backend.requests.count(), 0);
}

// Every connection is answered by the one process or the other: those that the old one took by the old one.
TEST(Upgrade, TheNextProcessTakesOverAndNothingIsTurnedBack) {
  UpgradeFixture upgrade;
  auto old = upgrade.Start();
  UpgradeFixture::AwaitReady(*old);
  auto waiting = old->Connect(), early = old->Connect();
  EXPECT_EQ(SendRequest(*early, Request("quote")).status(), 200);
  waiting->Write(Request("send-lead", 1, 3000, "", "wait"));
  ASSERT_TRUE(upgrade.held.Wait());
  auto next = upgrade.Start();
  EXPECT_EQ(next->port, old->port);
  UpgradeFixture::AwaitReady(*next);
  EXPECT_EQ(SendRequest(*early, Request("quote")).status(), 200) << "beside the next one it serves on";
  old->Signal(SIGTERM);
  Message answer;
  for (int i = 0; i < 3000 && answer.Header("Connection") != "close"; ++i)
    answer = SendRequest(*early, RequestOfNewCustomer("quote"));
  EXPECT_EQ(answer.status(), 200);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(SendRequest(*next->Connect(), RequestOfNewCustomer("quote")).status(), 200) << i;
  upgrade.go.Notify();
  EXPECT_EQ(waiting->Read().status(), 200);
  EXPECT_EQ(old->WaitForExit(), 0);
  old.reset();
  auto client = next->Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200) << "the shared socket goes on listening";
  EXPECT_EQ(ReadMetric(next->admin_port, "errors.quote"), 0);
}

// What an operator tells one process binds the other and the next, also after a kill.
TEST(Upgrade, MaintenanceBindsBothProcesses) {
  UpgradeFixture upgrade;
  auto old = upgrade.Start();
  UpgradeFixture::AwaitReady(*old);
  auto next = upgrade.Start();
  UpgradeFixture::AwaitReady(*next);
  EXPECT_EQ(AdminCall(next->admin_port, "PUT", "/control/backends/s1/offline").status(), 200);
  for (int i = 0; i < 3000 && ReadMetric(old->admin_port, "pool_ejected") != 1; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(ReadMetric(old->admin_port, "pool_ejected"), 1);
  next->Signal(SIGKILL);
  EXPECT_EQ(next->WaitForExit(), -SIGKILL);
  EXPECT_EQ(SendRequest(*old->Connect(), Request("quote")).status(), 503);
  next = upgrade.Start();
  UpgradeFixture::AwaitReady(*next);
  EXPECT_EQ(ReadMetric(next->admin_port, "pool_ejected"), 1);
}

// A file that is there means nothing by itself; a lock on it ends with its holder.
TEST(PeerProcess, IsSeenWhileItLives) {
  TempFolder folder;
  std::ofstream(folder.path() + "/lb-processes") << "left behind";
  lemonchute::net::PeerProcess one(folder.path());
  EXPECT_FALSE(one.Alive());
  {
    lemonchute::net::PeerProcess two(folder.path());
    EXPECT_TRUE(one.Alive());
    EXPECT_TRUE(two.Alive());
  }
  EXPECT_FALSE(one.Alive());
  EXPECT_FALSE(lemonchute::net::PeerProcess("").Alive());
}

// Names of one hash get ids of their own, the same whatever order they come in.
TEST(BackendIds, TellsNamesOfOneHashApart) {
  lemonchute::net::BackendIds one([](std::string_view) { return 7u; }),
      two([](std::string_view) { return 7u; });
  lemonchute::policy::SocketSettings site;
  json ab = {{"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1), EndpointEntry("b", 2)}}};
  json ba = {{"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("b", 2), EndpointEntry("a", 1)}}};
  auto first = lemonchute::net::ParseList(ab, site, &one),
       second = lemonchute::net::ParseList(ba, site, &two);
  EXPECT_NE(first.entries[0].backend.id, first.entries[1].backend.id);
  EXPECT_EQ(first.entries[0].backend.id, second.entries[1].backend.id);
  EXPECT_EQ(first.entries[1].backend.id, second.entries[0].backend.id);
}

// The client of the counter, driven directly: its loop runs until `done`.
struct Calls {
  Calls(int port, double timeout_s)
      : client(io, {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)}, timeout_s, 5,
               [this](lemonchute::policy::CounterResponse a) { answers.push_back(a); }) {}
  void Until(const std::function<bool()>& done) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kEventTimeoutS);
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(done());
  }
  boost::asio::io_context io;
  std::vector<lemonchute::policy::CounterResponse> answers;
  lemonchute::net::CounterClient client;
};

// An answer past its call's time-out is matched to that call, not to the next one on the connection.
TEST(CounterClient, MatchesAnswersInOrderAlsoLateOnes) {
  Event go;
  Counter counter([&](const std::string&, double amount) {
    if (amount == 1) go.Wait();
    return BulkString(std::to_string(amount));
  });
  Calls calls(counter.port(), 0.5);
  calls.client.Call(11, 1, 5);
  calls.Until([&] { return calls.answers.size() == 1; });
  EXPECT_EQ(calls.answers[0].result, lemonchute::policy::AttemptResult::kTimeout) << "it may have been added";
  go.Notify();
  for (int i = 0; i < 20; ++i) {
    calls.client.Call(20 + i, 2 + i, 5);
    calls.Until([&] { return calls.answers.size() == 2 + static_cast<size_t>(i); });
    if (calls.answers.back().result != lemonchute::policy::AttemptResult::kOk) continue;
    EXPECT_EQ(calls.answers.back().counter_name, 20u + i);
    EXPECT_EQ(calls.answers.back().total, 2.0 + i);
  }
}

TEST(CounterClient, TellsWhatWasNeverAddedFromWhatMayHaveBeen) {
  Counter busy([](const std::string&, double) { return std::string("-BUSY\r\n"); });
  Calls turned_away(busy.port(), 30);
  turned_away.client.Call(1, 1, 5);
  turned_away.Until([&] { return turned_away.answers.size() == 1; });
  EXPECT_EQ(turned_away.answers[0].result, lemonchute::policy::AttemptResult::kOverloaded);

  Calls refused(DeadPort(), 30);
  for (int i = 0; i < 200; ++i) refused.client.Call(i, 1, 5);
  refused.Until([&] { return refused.answers.size() == 200; });
  for (const auto& a : refused.answers)
    EXPECT_EQ(a.result, lemonchute::policy::AttemptResult::kConnectFailed);

  Counter broken([](const std::string&, double) { return std::string("?\r\n"); });
  Calls broke(broken.port(), 30);
  broke.client.Call(1, 1, 5);
  broke.Until([&] { return broke.answers.size() == 1; });
  EXPECT_EQ(broke.answers[0].result, lemonchute::policy::AttemptResult::kTimeout);
}

// An unreadable answer ends its connection, not the dealings with a counter that has answered on it before.
TEST(CounterClient, CallsOnAtOnceAfterAnUnreadableAnswer) {
  std::atomic<int> seen{0};
  Counter counter(
      [&](const std::string&, double) { return ++seen % 2 == 1 ? BulkString("5") : "$3\r\nabc\r\n"; });
  Calls calls(counter.port(), 30);
  for (size_t i = 0; i < 20; ++i) {
    calls.client.Call(i, 1, 5);
    calls.Until([&] { return calls.answers.size() == i + 1; });
    EXPECT_EQ(calls.answers[i].result, i % 2 == 0 ? lemonchute::policy::AttemptResult::kOk
                                                  : lemonchute::policy::AttemptResult::kTimeout)
        << i;
  }
}

// A silent counter: what is out is bounded, every call ends, and once it is silent for long the connections
// are opened anew.
TEST(CounterClient, BoundsItsQueuesAndReconnects) {
  std::atomic<bool> silent{true};
  Counter counter([&](const std::string&, double) { return silent ? std::string() : BulkString("5"); });
  Calls calls(counter.port(), 0.05);
  for (int i = 0; i < 5000; ++i) calls.client.Call(i, 1, 5);
  calls.Until([&] { return calls.answers.size() == 5000; });
  EXPECT_LE(counter.calls.count(), 32 * 64);
  EXPECT_LE(counter.connections(), 32);
  silent = false;
  uint64_t name = 10000;
  calls.Until([&] {
    if (calls.answers.back().result == lemonchute::policy::AttemptResult::kOk) return true;
    calls.client.Call(++name, 1, 5);
    size_t before = calls.answers.size();
    calls.Until([&] { return calls.answers.size() > before; });
    return calls.answers.back().result == lemonchute::policy::AttemptResult::kOk;
  });
}

}  // namespace
