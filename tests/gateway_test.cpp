// Tests of the gateway process over loopback sockets: requests, retries, streaming, reload, admin endpoint
// and upgrade.
#include <atomic>
#include <chrono>
#include <memory>

#include "client_runners.h"
#include "gateway_site.h"
#include "net/peer_process.h"

namespace {

using namespace rig;  // NOLINT

// A port on which nothing listens.
int UnusedPort() {
  return Server([](Connection&) {}).port();
}

TEST(Gateway, ForwardsRequestAndResponseUnchangedAndReusesConnections) {
  Backend backend([](const Message& m, Connection&) {
    return OkResponse("echo:" + m.body, "X-Note: kept\r\nX-Cost-Units: 2\r\n");
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
  Message response = SendRequest(*client, Request("send-lead?a=b%20c", 1, 3000, "X-Own: 7\r\n", "the body"));
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.body, "echo:the body");
  EXPECT_EQ(response.Header("X-Note"), "kept");
  Message sent = backend.request(0);
  EXPECT_EQ(sent.head.substr(0, sent.head.find("\r\n")), "POST /send-lead?a=b%20c HTTP/1.1");
  EXPECT_EQ(sent.body, "the body");
  EXPECT_EQ(sent.Header("X-Own"), "7");
  EXPECT_FALSE(sent.Header("Request-Id").empty());
  EXPECT_EQ(sent.head.find("Request-Timeout-Ms"), sent.head.rfind("Request-Timeout-Ms"));
  EXPECT_LE(std::atoi(sent.Header("Request-Timeout-Ms").c_str()), 3000);
  // A backend connection is not reused until 10 ms after its response. That time has passed once the response
  // has been here for longer.
  auto wait_for_reuse = [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); };
  wait_for_reuse();
  EXPECT_EQ(SendRequest(*client, Request("save-scenario", 1, 3000, "", "b")).status(), 200);
  EXPECT_FALSE(backend.request(1).Header("Idempotency-Key").empty());
  wait_for_reuse();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  EXPECT_EQ(backend.connections(), 1);
}

TEST(Gateway, RejectsInvalidRequestsWithoutContactingABackend) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto without_header = [](std::string request, const std::string& header) {
    size_t at = request.find(header + ":");
    return request.erase(at, request.find("\r\n", at) + 2 - at);
  };
  auto with_replaced = [](std::string request, const std::string& from, const std::string& to) {
    return request.replace(request.find(from), from.size(), to);
  };
  std::string valid = Request("quote"), readiness_head = "GET /-/ready HTTP/1.1\r\n";
  std::vector<std::pair<std::string, int>> cases = {
      {"no http at all\r\n\r\n", 400},
      {"GET /quote HTTP/9.9\r\n\r\n", 400},
      {without_header(valid, "Request-Id"), 400},
      {without_header(valid, "X-Tier"), 400},
      {without_header(valid, "Cookie"), 400},
      {without_header(valid, "Request-Timeout-Ms"), 400},
      {without_header(valid, "X-Call-Terms"), 400},
      {without_header(Request("save-scenario"), "Idempotency-Key"), 400},
      {with_replaced(valid, "business", "unheard-of"), 400},
      {with_replaced(valid, "/quote", "/unheard-of"), 400},
      {with_replaced(valid, "client=00000000b4d65521", "client=xyz"), 400},
      {with_replaced(valid, "Ms: 3000", "Ms: soon"), 400},
      {with_replaced(valid, "Ms: 3000", "Ms: -5"), 400},
      {with_replaced(valid, "units=1", "units=nan"), 400},
      {with_replaced(valid, "units=1", "units=-1"), 400},
      {with_replaced(valid, "spread=1", "spread=0"), 400},
      {with_replaced(valid, "GET", "POST"), 405},
      {"GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {Request("send-lead", 1, 3000, "Content-Length: 60000000\r\n"), 413},
      {readiness_head + "X-Large: " + std::string(40000, 'h') + "\r\n\r\n", 431},
      {readiness_head + "Content-Length: many\r\n\r\n", 400},
  };
  for (const auto& [text, status] : cases) {
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, text).status(), status) << text.substr(0, 300);
  }
  EXPECT_EQ(backend.requests.count(), 0);
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, without_header(valid, "X-Tier")).status(), 400);
  EXPECT_EQ(SendRequest(*client, valid).status(), 200)
      << "the framing was valid, so the connection stays open";
}

// Malformed timeouts are rejected, and no value leads to an unlimited one.
TEST(Gateway, ParsesTheTimeoutStrictlyAndLimitsItByTheClass) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  const std::string field = "Request-Timeout-Ms: ";
  auto status_with = [&](const std::string& lines) {
    std::string request = RequestOfNewCustomer("quote");
    size_t at = request.find(field);
    return SendRequest(*client, request.replace(at, request.find("\r\n", at) + 2 - at, lines)).status();
  };
  for (const char* value :
       {"", "0", "000", "-1", "+5", "1.5", "1e3", "0x10", "ten", "10 20", "10,20", "10ms"}) {
    EXPECT_EQ(status_with(field + value + "\r\n"), 400) << value;
  }
  EXPECT_EQ(status_with(""), 400) << "absent";
  EXPECT_EQ(status_with(field + "2000\r\n" + field + "2000\r\n"), 400) << "repeated";
  EXPECT_EQ(backend.requests.count(), 0);
  size_t served = 0;
  auto announced_ms = [&](const std::string& value) {
    EXPECT_EQ(status_with(field + value + "\r\n"), 200) << value;
    return std::atoi(backend.request(served++).Header("Request-Timeout-Ms").c_str());
  };
  for (const char* value : {"3000", "3001", "600000", "18446744073709551615", "99999999999999999999999999"}) {
    int ms = announced_ms(value);
    EXPECT_LE(ms, 3000) << value;
    EXPECT_GT(ms, 2500) << value;
  }
  EXPECT_LE(announced_ms("  0900  "), 900);
}

// A client that connects and never completes a request gets an error or is closed soon. A client that is idle
// between requests stays connected.
TEST(Gateway, ClosesClientsThatNeverCompleteARequest) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  std::string full_request = Request("send-lead", 1, 3000, "", "the body");
  std::vector<std::unique_ptr<Connection>> silent_clients;
  auto started_at = std::chrono::steady_clock::now();
  for (std::string sent : {std::string(), std::string("no http"), full_request.substr(0, 60),
                           full_request.substr(0, full_request.size() - 1)}) {
    silent_clients.push_back(fixture.gateway->Connect());
    silent_clients.back()->Write(sent);
  }
  for (auto& silent_client : silent_clients) EXPECT_TRUE(silent_client->WaitForClose());
  EXPECT_LT(std::chrono::steady_clock::now() - started_at, std::chrono::seconds(6))
      << "the limit is 2.5 s; the rest allows for a busy machine";
  EXPECT_EQ(backend.requests.count(), 1);
  EXPECT_TRUE(client->IsOpen());
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  auto large = fixture.gateway->Connect();
  large->Write("POST /send-lead HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(2000, 'b'));
  EXPECT_EQ(large->Read().status(), 413) << "rejected at the header, even if body bytes arrive with it";
}

// Different spellings of a request that the HTTP specifications define as equivalent.
TEST(Gateway, AcceptsEquivalentRequestSyntax) {
  Backend backend([](const Message& m, Connection&) { return OkResponse(m.body); });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  auto with_replaced = [](std::string request, const std::string& from, const std::string& to) {
    return request.replace(request.find(from), from.size(), to);
  };
  std::string valid = Request("quote");
  for (const std::string& text :
       {with_replaced(valid, "GET /quote", "GET HTTP://app.svc:80/quote?a=1"),
        with_replaced(valid, "GET /quote", "GET /qu%6Fte"),
        with_replaced(valid, "Cookie: client", "cOOKIE:\tother=1; x=y\r\nCookie:client"),
        with_replaced(valid, "00000000b4d65521", "\"b4d65521\""),
        with_replaced(valid, "units=1,spread=1", "units = 1 , x=2\r\nX-CALL-TERMS:spread=1"),
        "\r\n\r\n" + valid}) {
    EXPECT_EQ(SendRequest(*client, text).status(), 200) << text;
  }
  EXPECT_EQ(backend.request(0).head.substr(0, 24), "GET /quote?a=1 HTTP/1.1\r");
  EXPECT_EQ(backend.request(1).head.substr(0, 12), "GET /qu%6Fte") << "forwarded unchanged";
  std::string http10_request =
      with_replaced(Request("quote", 1, 3000, "Connection: Keep-Alive\r\n"), "HTTP/1.1", "HTTP/1.0");
  EXPECT_EQ(SendRequest(*client, http10_request).Header("Connection"), "keep-alive");
  client->Write(Request("send-lead", 1, 3000, "Transfer-Encoding: chunked\r\n") +
                "3;a=\"b\"\r\nabc\r\n02\r\nde\r\n000\r\nX-End: 1\r\n\r\n");
  EXPECT_EQ(client->Read().body, "abcde");
}

// Bytes that arrive before the response to the previous request belong to the next request.
TEST(Gateway, ServesPipelinedRequestsInOrder) {
  Backend backend([](const Message& m, Connection&) { return OkResponse(m.body); });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  std::string third = Request("send-lead", 1, 3000, "", "three");
  client->Write(Request("send-lead", 1, 3000, "", "one") + Request("send-lead", 1, 3000, "", "two") +
                third.substr(0, 40));
  EXPECT_EQ(client->Read().body, "one");
  EXPECT_EQ(client->Read().body, "two");
  client->Write(third.substr(40));
  EXPECT_EQ(client->Read().body, "three");
}

TEST(Gateway, DoesNotRetryANonIdempotentRequestThatMayHaveRun) {
  std::vector<std::string> broken_responses = {
      "", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "garbage\r\n\r\n"};
  for (const std::string& broken_response : broken_responses) {
    Backend backend([broken_response](const Message&, Connection& connection) {
      connection.Write(broken_response);
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 502) << broken_response;
    EXPECT_EQ(backend.requests.count(), 1) << broken_response;
  }
}

// A response whose announced length exceeds the limit is abandoned at its header, even if the first bytes of
// the body arrive with it: no memory of the announced size is allocated, and the body is not read.
TEST(Gateway, AbandonsAResponseBeyondTheBodyLimitAtItsHeader) {
  for (std::string head :
       {"Content-Length: 3000000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nb2d05e00\r\n"}) {
    Event connection_closed;
    Backend backend([&](const Message&, Connection& connection) {
      connection.Write("HTTP/1.1 200 OK\r\n" + head + "the first bytes of a body");
      if (connection.WaitForClose()) connection_closed.Notify();
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    auto client = fixture.gateway->Connect();
    client->Write(Request("send-lead", 1, 600000));
    EXPECT_TRUE(connection_closed.Wait()) << head;
    EXPECT_EQ(client->Read().status(), 502) << head;
  }
}

TEST(Gateway, ReturnsUnavailableIfTheBackendDidNotStartTheRequest) {
  Backend full(RespondsWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"));
  GatewayFixture fixture(json::array({EndpointEntry("s1", full.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 503)
      << "it did not run, so the client may safely retry";
}

// After a failed connect the request has not run, so even a non-idempotent one may go to another backend.
TEST(Gateway, RetriesOnAnotherBackendAfterAFailedConnect) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(
      json::array({EndpointEntry("dead", UnusedPort()), EndpointEntry("live", backend.port())}));
  auto client = fixture.gateway->Connect();
  for (int i = 0; i < 6; ++i) EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200);
  EXPECT_EQ(backend.requests.count(), 6);
}

// An idle connection that the backend has closed, or on which it has sent unsolicited bytes, is not reused.
TEST(Gateway, DoesNotReuseAStaleConnection) {
  for (std::string after : {"close", "bytes", "header"}) {
    Event closed;
    Backend backend([&](const Message&, Connection& connection) {
      if (after == "header") return OkResponse("x", "Connection: close\r\n");
      connection.Write(OkResponse("x") + (after == "bytes" ? "unasked" : ""));
      if (after == "bytes") {
        if (connection.WaitForClose()) closed.Notify();
      }
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200) << after;
    if (after == "bytes") {
      EXPECT_TRUE(closed.Wait());
    }
    // The close may cross the next request. By the request after that it is known.
    if (after == "close") SendRequest(*client, Request("quote"));
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200) << after;
  }
}

TEST(Gateway, ClosesIdleBackendConnectionsBeforeTheIdleLimit) {
  Event closed;
  Backend backend([&](const Message&, Connection& connection) {
    connection.Write(OkResponse("x"));
    if (connection.WaitForClose()) closed.Notify();
    return std::string();
  });
  json config = DefaultConfig(0, 0);
  config["settings"]["limits"]["conn-idle-s"] = 0.5;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("quote")).status(), 200);
  EXPECT_TRUE(closed.Wait());
}

TEST(Gateway, TimesOutASilentBackendAndClosesItsConnection) {
  Event connection_closed;
  Backend backend(HangsUntilClosed(&connection_closed));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("send-lead", 1, 400)).status(), 502);
  EXPECT_TRUE(connection_closed.Wait());
  EXPECT_EQ(backend.requests.count(), 1);
}

// An abandoned attempt is closed before the next one is sent, so that there are never two at once.
TEST(Gateway, ClosesAnAttemptBeforeItSendsTheNext) {
  Event connection_closed;
  std::atomic<int> requests_seen{0};
  auto respond = [&](const Message&, Connection& connection) {
    if (requests_seen++ == 0) {
      if (connection.WaitForClose()) connection_closed.Notify();
      return std::string();
    }
    return connection_closed.Wait() ? OkResponse("second") : std::string();
  };
  Backend one(respond), two(respond);
  GatewayFixture fixture(json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())}));
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("quote")).body, "second");
}

// Nothing is sent on a connection that opens after its attempt was abandoned.
TEST(Gateway, SendsNothingOnAConnectionThatOpensLate) {
  BlockedListener backend;
  {
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 503);
  }
  // The gateway has exited, so everything that it ever sent has arrived.
  backend.Unblock();
  EXPECT_EQ(backend.ReceivedBytes(), "");
}

TEST(Gateway, CancelsTheAttemptWhenItsClientDisconnects) {
  Event connection_closed;
  Backend backend(HangsUntilClosed(&connection_closed));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(Request("send-lead", 1, 600000));
  EXPECT_TRUE(backend.requests.Wait());
  client->Close();
  EXPECT_TRUE(connection_closed.Wait());
}

// Requests over quota are rejected immediately, with the time after which to retry.
TEST(Gateway, RejectsRequestsOverQuotaWithRetryAfter) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  Message last;
  for (int i = 0; i < 10 && last.status() != 429; ++i) {
    std::string request = Request("quote", 1, 600000);
    request.replace(request.find("X-Tier: business"), 16, "X-Tier: small");
    last = SendRequest(*client, request);
  }
  EXPECT_EQ(last.status(), 429);
  EXPECT_GT(std::atof(last.Header("Retry-After").c_str()), 0);
}

// If the policy never decides, the gateway still responds in time. The status is 503, which means that a
// retry is safe, only if that is known.
TEST(Gateway, RespondsInTimeIfThePolicyNeverDecides) {
  Event connection_closed;
  Backend backend(HangsUntilClosed(&connection_closed));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_SILENT);
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("quote", 1, 200)).status(), 503);
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("send-lead", 1, 200)).status(), 503);
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("save-scenario", 1, 200)).status(), 504);
  EXPECT_TRUE(connection_closed.Wait()) << "the attempt in flight is abandoned with the response";
}

TEST(Gateway, AppliesEndpointListsFromDiscovery) {
  Backend one(RespondsWith(OkResponse("one"))), two(RespondsWith(OkResponse("two")));
  GatewayFixture fixture(json::array({EndpointEntry("a", one.port())}));
  auto client = fixture.gateway->Connect();
  auto served_by = [&] {
    EXPECT_TRUE(fixture.discovery.AwaitListApplied());
    return SendRequest(*client, Request("quote")).body;
  };
  EXPECT_EQ(served_by(), "one");
  fixture.discovery.SetList(json::array({EndpointEntry("b", two.port())}));
  EXPECT_EQ(served_by(), "two") << "a backend that a full list does not contain is removed";
  fixture.discovery.SetList(json::array({EndpointEntry("b", one.port())}));
  EXPECT_EQ(served_by(), "one") << "the address of a backend may change";
  fixture.discovery.SetList(
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}), false,
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}));
  EXPECT_EQ(served_by(), "two") << "a backend that is leaving gets no new requests";
  fixture.discovery.SetList(json::array({EndpointEntry("a", two.port())}), true, {}, "no list");
  EXPECT_EQ(served_by(), "two") << "a malformed list changes nothing and is requested again";
}

// On SIGHUP requests in flight continue, and the gateway switches to the discovery and counter addresses of
// the new file.
TEST(Gateway, UsesTheNewDiscoveryAndCounterAddressesAfterSighup) {
  Event request_held, release;
  Backend one(
      [&](const Message&, Connection&) { return request_held.Notify(), release.Wait(), OkResponse("one"); });
  Backend two(RespondsWith(OkResponse("two")));
  GatewayFixture fixture(json::array({EndpointEntry("a", one.port())}));
  Discovery discovery;  // set twice for a higher index, since one index stands for one content
  discovery.SetList(json::array({EndpointEntry("a", one.port())}));
  discovery.SetList(json::array({EndpointEntry("b", two.port())}));
  Counter counter([](const std::string&, double) { return BulkString("0"); });
  auto early = fixture.gateway->Connect(), late = fixture.gateway->Connect();
  early->Write(Request("send-lead"));
  ASSERT_TRUE(request_held.Wait());
  fixture.gateway->Reconfigure(DefaultConfig(discovery.port(), counter.port()));
  ASSERT_TRUE(discovery.AwaitListApplied());
  std::string other_customer_request =
      Request("quote", 2);  // of a new customer, for whom the counter is called immediately
  EXPECT_EQ(SendRequest(
                *late, other_customer_request.replace(other_customer_request.find("b4d65521"), 8, "b4d65522"))
                .body,
            "two");
  EXPECT_TRUE(counter.calls.Wait());
  release.Notify();
  EXPECT_EQ(early->Read().body, "one");
  fixture.gateway->Reconfigure({{"name", "nothing else"}});  // an invalid file changes nothing
  EXPECT_EQ(SendRequest(*late, Request("quote", 2)).body, "two");
}

TEST(Gateway, ServesFromTheCachedListWhileDiscoveryIsSilent) {
  Backend backend(RespondsWith(OkResponse("x")));
  Discovery discovery;
  discovery.SetSilent(true);
  Counter counter([](const std::string&, double) { return BulkString("0"); });
  GatewayProcess gateway(
      DefaultConfig(discovery.port(), counter.port(), json::array({EndpointEntry("s1", backend.port())})));
  auto client = gateway.Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  for (int i = 0; i < 3000; ++i) {  // ready without discovery once its first call has failed
    if (SendRequest(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(SendRequest(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

// An overloaded discovery responds with 503. Gateways must not retry at the same time, and must continue from
// the index that they have: requests for full lists from all gateways would keep discovery overloaded.
TEST(Discovery, RefusedClientsSpreadTheirRetries) {
  constexpr int kWatchRequests = 6;  // after the first full list
  std::chrono::steady_clock::duration elapsed[2];
  for (uint64_t seed : {1, 2}) {
    boost::asio::io_context io(1);
    std::atomic<int> watch_requests{0}, full_list_requests{0};
    std::string list = json{{"index", 4}, {"snapshot", true}, {"endpoints", json::array()}}.dump();
    Server server([&](Connection& connection) {
      for (Message request = connection.Read(); request.complete; request = connection.Read()) {
        bool watch = request.head.find("after=4") != std::string::npos;
        ++(watch ? watch_requests : full_list_requests);
        connection.Write(full_list_requests == 1 && !watch
                             ? OkResponse(list)
                             : "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      }
    });
    auto socket_settings = std::make_shared<const lemonchute::policy::SocketSettings>();
    lemonchute::net::BackendIds ids;
    int failed = 0;
    auto began = std::chrono::steady_clock::now();
    lemonchute::net::DiscoveryClient client(
        io, {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server.port())},
        socket_settings, &ids, [](const lemonchute::net::BackendList&) {},
        [&] {
          if (++failed == kWatchRequests) io.stop();
        },
        seed);
    client.Start();
    io.run();
    elapsed[seed - 1] = std::chrono::steady_clock::now() - began;
    client.Stop();
    server.Stop();
    EXPECT_EQ(full_list_requests, 1);
    EXPECT_EQ(watch_requests, kWatchRequests);
  }
  auto difference = std::chrono::abs(elapsed[0] - elapsed[1]);
  EXPECT_GT(difference, std::chrono::milliseconds(100));
}

TEST(Gateway, ServesWhileTheCounterFails) {
  for (std::string response :
       {"", "-BUSY full\r\n", "-ERR no\r\n", "garbage\r\n", "$999999999\r\n", "$3\r\nabc\r\n"}) {
    Backend backend(RespondsWith(OkResponse("x")));
    Discovery discovery;
    discovery.SetList(json::array({EndpointEntry("s1", backend.port())}));
    Counter counter([&](const std::string&, double) { return response; });
    GatewayProcess gateway(DefaultConfig(discovery.port(), counter.port()));
    EXPECT_TRUE(discovery.AwaitListApplied());
    auto client = gateway.Connect();
    for (int i = 0; i < 8; ++i)
      EXPECT_EQ(SendRequest(*client, Request("quote", 2)).status(), 200) << response;
    EXPECT_GT(counter.calls.count(), 0) << response;
  }
}

TEST(Gateway, CompletesInFlightRequestsAndServesNewOnesAfterSigterm) {
  Event request_held, release;
  Backend backend([&](const Message&, Connection&) {
    request_held.Notify();
    release.Wait();
    return OkResponse("x");
  });
  Backend second_backend([&](const Message& m, Connection&) {
    return request_held.Notify(), release.Wait(), OkResponse(m.body);
  });
  GatewayFixture fixture(
      json::array({EndpointEntry("s1", backend.port()), EndpointEntry("s2", second_backend.port())}));
  auto client = fixture.gateway->Connect(), delayed = fixture.gateway->Connect();
  client->Write(Request("send-lead", 1, 3000));
  EXPECT_TRUE(request_held.Wait());
  std::string delayed_request = Request("save-scenario");
  delayed->Write(delayed_request.substr(0, 50));
  fixture.gateway->Signal(SIGTERM);
  auto probe = fixture.gateway->Connect();
  for (int i = 0; i < 3000 && SendRequest(*probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
       ++i) {
  }
  // A new connection and an existing one. Like a client, the test retries if the gateway closed the
  // connection as idle while the request was under way.
  delayed->Write(delayed_request.substr(50));
  EXPECT_TRUE(request_held.Wait(2));
  std::unique_ptr<Connection> new_client;
  for (int i = 0; i < 50 && request_held.count() < 3; ++i) {
    new_client = fixture.gateway->Connect();
    new_client->Write(Request("save-scenario"));
    while (request_held.count() < 3 && new_client->IsOpen())
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_NE(new_client, nullptr);
  release.Notify();
  for (Connection* connection : {client.get(), new_client.get(), delayed.get()}) {
    Message response = connection->Read();
    EXPECT_EQ(response.status(), 200);
    EXPECT_EQ(response.Header("Connection"), "close");
    EXPECT_TRUE(connection->WaitForClose());
  }
  EXPECT_EQ(fixture.gateway->WaitForExit(), 0);
}

// With more connections than descriptors, the connections that have been idle longest are evicted, and
// waiting connections are accepted later.
TEST(Gateway, SurvivesRunningOutOfDescriptors) {
  Backend backend(RespondsWith(OkResponse("x")));
  json config = DefaultConfig(0, 0);
  config["limits"]["sockets"] = 64;
  for (rlim_t limit : {64, 16}) {  // as configured, and fewer than configured
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config, LEMONCHUTE_GATEWAY,
                           limit);
    std::vector<std::unique_ptr<Connection>> idle;
    for (int i = 0; i < 60; ++i) idle.push_back(fixture.gateway->Connect());
    auto client = fixture.gateway->Connect();
    if (limit < 64) idle.clear();
    EXPECT_NE(SendRequest(*client, Request("quote")).status(), 0);
    idle.clear();
    int status = 0;
    for (int i = 0; i < 100 && status != 200; ++i)
      status = SendRequest(*fixture.gateway->Connect(), Request("quote")).status();
    EXPECT_EQ(status, 200);
  }
}

TEST(Gateway, ReportsAnInvalidSettingInOneLine) {
  json missing_setting = DefaultConfig(1, 1), bad_address = DefaultConfig(1, 1),
       bad_list = DefaultConfig(1, 1);
  missing_setting["settings"]["invariants"].erase("cold-from");
  bad_address["listen"] = "nowhere";
  bad_list["known"] = {{"index", "x"}};
  std::vector<std::pair<std::string, std::string>> cases = {
      {missing_setting.dump(), "/settings/invariants/cold-from"},
      {bad_address.dump(), "/listen: "},
      {bad_list.dump(), "/known"},
      {"{", "JSON"}};
  for (const auto& [text, expected] : cases) {
    GatewayProcess gateway(text, LEMONCHUTE_GATEWAY, 0);
    EXPECT_NE(gateway.WaitForExit(), 0);
    EXPECT_NE(gateway.listen_line.find(expected), std::string::npos) << gateway.listen_line;
    EXPECT_EQ(gateway.late_log, "") << "only one line is logged";
  }
}

TEST(AdminEndpoint, ServesItsCallsAndRejectsOthers) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  int admin_port = fixture.gateway->admin_port;
  EXPECT_EQ(AdminCall(admin_port, "GET", "/control/ready").status(), 200);
  EXPECT_EQ(AdminCall(admin_port, "GET", "/control/nothing").status(), 404);
  EXPECT_EQ(AdminCall(admin_port, "GET", "/control/backends/s1").status(), 404);
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/ready").status(), 405);
  EXPECT_EQ(AdminCall(admin_port, "GET", "/control/out-of-service").status(), 405);
  EXPECT_EQ(AdminCall(admin_port, "DELETE", "/control/backends/s1/offline").status(), 405);
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/backends/s2/offline").status(), 404);
  auto caller = Connection::ConnectTo(admin_port);
  EXPECT_EQ(SendRequest(*caller, "no call\r\n\r\n").status(), 400);
  EXPECT_TRUE(caller->WaitForClose());
  EXPECT_EQ(
      SendRequest(*fixture.gateway->Connect(), "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(),
      400)
      << "admin calls are not available to clients";
}

// Connections with an incomplete call are closed in favour of a caller that sends a complete one.
TEST(AdminEndpoint, RespondsWhileOtherCallersSendIncompleteCalls) {
  GatewayFixture fixture(json::array(), {}, LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  int admin_port = fixture.gateway->admin_port;
  std::vector<std::unique_ptr<Connection>> callers;
  for (int i = 0; i < 100; ++i) {
    callers.push_back(Connection::ConnectTo(admin_port));
    callers.back()->Write("GET /cont");
  }
  EXPECT_EQ(AdminCall(admin_port, "GET", "/control/ready").status(), 200);
  EXPECT_TRUE(callers.front()->WaitForClose());
}

TEST(AdminEndpoint, CountsEachResponseAndEachAttemptOnce) {
  Event request_held, release;
  std::atomic<int> requests_seen{0};
  Backend backend([&](const Message&, Connection&) {
    if (++requests_seen == 3) request_held.Notify(), release.Wait();
    return requests_seen == 2 ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" : OkResponse("x");
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  int admin_port = fixture.gateway->admin_port;
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(ReadMetric(admin_port, "ok.send-lead"), 0);
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 502);
  client->Write(Request("send-lead"));
  ASSERT_TRUE(request_held.Wait());
  EXPECT_EQ(ReadMetric(admin_port, "active"), 1);
  release.Notify();
  EXPECT_EQ(client->Read().status(), 200);
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/backends/s1/offline").status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("send-lead")).status(), 503);
  EXPECT_EQ(ReadMetric(admin_port, "ok.send-lead"), 2);
  EXPECT_EQ(ReadMetric(admin_port, "errors.send-lead"), 1);
  EXPECT_EQ(ReadMetric(admin_port, "shed.send-lead"), 1);
  EXPECT_EQ(ReadMetric(admin_port, "ok.quote"), 0);
  EXPECT_EQ(ReadMetric(admin_port, "tries"), 3);
  EXPECT_EQ(ReadMetric(admin_port, "active"), 0);
  EXPECT_EQ(ReadMetric(admin_port, "pool_size"), 1);
  EXPECT_EQ(ReadMetric(admin_port, "pool_ejected"), 1);
}

// While a backend is offline its idle connections are closed and it gets no requests, whatever discovery
// reports. This survives a restart with the same folder, until an operator sets the backend online.
TEST(AdminEndpoint, KeepsABackendOfflineUntilItIsSetOnline) {
  Event closed;
  Backend backend([&](const Message&, Connection& connection) {
    connection.Write(OkResponse("one"));
    while (!connection.WaitForClose()) connection.Write(OkResponse("one"));
    closed.Notify();
    return std::string();
  });
  TempFolder folder;
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  json entries = json::array({EndpointEntry("s 1", backend.port())});
  auto send_request = [](GatewayFixture& fixture) {
    return SendRequest(*fixture.gateway->Connect(), Request("quote"));
  };
  {
    GatewayFixture fixture(entries, {}, LEMONCHUTE_GATEWAY, 0, environment);
    EXPECT_EQ(send_request(fixture).body, "one");
    for (int i = 0; i < 2; ++i) {
      EXPECT_EQ(AdminCall(fixture.gateway->admin_port, "PUT", "/control/backends/s%201/offline").status(),
                200);
    }
    EXPECT_TRUE(closed.Wait());
    EXPECT_EQ(send_request(fixture).status(), 503);
    fixture.discovery.SetList(json::array());
    fixture.discovery.SetList(entries);
    EXPECT_TRUE(fixture.discovery.AwaitListApplied());
    EXPECT_EQ(send_request(fixture).status(), 503);
  }
  GatewayFixture fixture(entries, {}, LEMONCHUTE_GATEWAY, 0, environment);
  EXPECT_EQ(send_request(fixture).status(), 503);
  EXPECT_EQ(AdminCall(fixture.gateway->admin_port, "PUT", "/control/backends/s%201/online").status(), 200);
  EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "pool_ejected"), 0);
  for (int i = 0; i < 3000 && send_request(fixture).status() != 200; ++i) {  // it is treated as cold at first
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(backend.requests.count(), 2);
}

TEST(AdminEndpoint, StartsWithADamagedFileAndRejectsChangesItCannotStore) {
  TempFolder folder;
  std::ofstream(folder.path() + "/lb-maintenance.json") << "[\"s1\", 7";
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         environment);
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("quote")).status(), 200);
  std::filesystem::remove_all(folder.path());
  EXPECT_EQ(AdminCall(fixture.gateway->admin_port, "PUT", "/control/backends/s1/offline").status(), 500);
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("quote")).status(), 200);
}

// A drained gateway stops being ready immediately, still serves requests, closes idle client connections and
// can return to service.
TEST(AdminEndpoint, DrainsAndReturnsToService) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  int admin_port = fixture.gateway->admin_port;
  auto idle = fixture.gateway->Connect(), client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*idle, kReadinessRequest).status(), 200);
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/out-of-service").status(), 200);
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 503);
  EXPECT_EQ(AdminCall(admin_port, "GET", "/control/ready").status(), 503);
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  EXPECT_TRUE(idle->WaitForClose());
  Message response = SendRequest(*fixture.gateway->Connect(), Request("quote"));
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.Header("Connection"), "close");
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/in-service").status(), 200);
  client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("quote")).Header("Connection"), "");
}

// A new file applies as a whole: classes are added, removed or change their effect. Requests in flight
// continue under the configuration with which they arrived.
TEST(Reload, AppliesNewClassesAndLimitsToLaterRequestsOnly) {
  Event request_held, release;
  std::atomic<bool> fails{false};
  Backend backend([&](const Message& m, Connection&) {
    if (m.body == "wait") request_held.Notify(), release.Wait();
    return fails || m.body == "wait" ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" : OkResponse("x");
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  int admin_port = fixture.gateway->admin_port;
  auto early = fixture.gateway->Connect(), client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("send-lead")).status(), 200);
  early->Write(Request("send-lead", 1, 3000, "", "wait"));
  ASSERT_TRUE(request_held.Wait());
  json config = DefaultConfig(fixture.discovery.port(), fixture.counter.port());
  json& classes = config["settings"]["request-classes"];
  classes[0]["effect"] = "single_shot";  // quote
  classes[2]["name"] = "send-note";      // replaces send-lead
  config["settings"]["limits"]["try-limit"] = 1;
  fixture.gateway->Reconfigure(config);
  AwaitMetric(admin_port, "config_applied", 1);
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("send-note")).status(), 200);
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("send-lead")).status(), 400);
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("quote")).status(), 405)
      << "the class is no longer idempotent and requires POST";
  release.Notify();
  EXPECT_EQ(early->Read().status(), 502) << "still non-idempotent, as when it arrived, and it may have run";
  EXPECT_EQ(ReadMetric(admin_port, "ok.send-note"), 1);
  EXPECT_EQ(ReadMetric(admin_port, "ok.send-lead"), 1) << "a removed class keeps its counts";
  fails = true;
  int before = backend.requests.count();
  EXPECT_EQ(SendRequest(*client, Request("save-scenario")).status(), 503);
  EXPECT_EQ(backend.requests.count(), before + 1) << "the attempt limit is now 1";
}

TEST(Reload, AppliesNothingFromAnInvalidFile) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  json valid = DefaultConfig(1, 1);  // addresses on which nothing listens
  valid["settings"]["request-classes"][2]["name"] = "send-note";
  std::vector<std::string> files = {"", valid.dump().substr(0, valid.dump().size() / 2)};
  auto add_with = [&](const char* pointer, const json& value) {
    json invalid = valid;
    invalid[json::json_pointer(pointer)] = value;
    files.push_back(invalid.dump());
  };
  auto add_without = [&](const char* pointer, const char* key) {
    json invalid = valid;
    invalid[json::json_pointer(pointer)].erase(key);
    files.push_back(invalid.dump());
  };
  add_with("/settings/request-classes/0/hard-limit-s", 0);
  add_with("/settings/request-classes/2/hard-limit-s", -1.5);
  add_with("/settings/request-classes/0/hard-limit-s", "3.0");
  add_with("/settings/request-classes/1/aim-s", nullptr);
  add_with("/settings/limits/try-limit", 0);
  add_with("/settings/limits/try-limit", -2);
  add_with("/settings/limits/try-limit", "many");
  add_with("/settings/request-classes", json::array());
  add_without("", "counter");
  add_without("", "settings");
  add_without("/settings/limits", "try-limit");
  add_without("/settings/request-classes/1", "streamed");
  long rejected = 0;
  for (const std::string& file : files) {
    fixture.gateway->Reconfigure(file);
    AwaitMetric(fixture.gateway->admin_port, "config_rejected", ++rejected);
    EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), RequestOfNewCustomer("send-lead")).status(), 200)
        << file.substr(0, 200);
  }
  EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "config_applied"), 0);
}

// A large response is forwarded while it is still arriving, whether it is delimited by its length, by chunks
// or by the end of the connection.
TEST(Stream, ForwardsALargeResponseAsItArrives) {
  std::string body = NumberedText(300000);
  size_t half = 150000;
  for (std::string framing : {"length", "chunks", "end"}) {
    Event first_half_received;
    Backend backend([&](const Message&, Connection& connection) {
      bool chunks = framing == "chunks";
      std::string head = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Note: kept\r\n";
      if (framing == "length") head += "Content-Length: 300000\r\n";
      if (chunks) head += "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n";
      connection.Write(head + "\r\n" +
                       (chunks ? ChunkedBody(body.substr(0, half), 1000) : body.substr(0, half)));
      EXPECT_TRUE(first_half_received.Wait()) << framing;
      connection.Write(chunks ? ChunkedBody(body.substr(half), 70000) + "0\r\nX-End: 1\r\n\r\n"
                              : body.substr(half));
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                           kAdminEnvironment);
    auto client = fixture.gateway->Connect();
    client->Write(Request("quote"));
    std::string head = client->ReadUntil("\r\n\r\n");
    EXPECT_EQ(head.substr(0, 15), "HTTP/1.1 200 OK") << framing;
    EXPECT_NE(head.find("X-Note: kept"), std::string::npos) << framing;
    ASSERT_TRUE(client->ReadUntil(30000)) << framing;
    EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "active"), 1) << "the response is not complete yet";
    first_half_received.Notify();
    if (framing == "length") {
      ASSERT_TRUE(client->ReadUntil(body.size()));
      EXPECT_EQ(client->unread, body);
      client->unread.clear();
    } else {
      EXPECT_EQ(ReadChunkedBody(*client), body) << framing;
      EXPECT_EQ(client->ReadUntil("\r\n"), "\r\n");
    }
    AwaitMetric(fixture.gateway->admin_port, "ok.quote", 1);
    EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200)
        << "the connection must stay open: " << framing;
    EXPECT_EQ(backend.requests.count(), 1);
  }
}

// A streamed response that breaks off is not retried, and the client can tell that it is incomplete.
TEST(Stream, CutsOffAResponseThatBreaksOff) {
  std::string body = NumberedText(100000);
  for (bool chunks : {false, true}) {
    Backend backend([&](const Message&, Connection& connection) {
      connection.Write(std::string("HTTP/1.1 200 OK\r\n") +
                       (chunks ? "Transfer-Encoding: chunked\r\n\r\n" + ChunkedBody(body, 5000)
                               : "Content-Length: 200000\r\n\r\n" + body));
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                           kAdminEnvironment);
    auto client = fixture.gateway->Connect();
    client->Write(Request("quote"));
    EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
    if (chunks) {
      EXPECT_EQ(ReadChunkedBody(*client), "no last chunk");
    } else {
      while (client->ReadMore()) {
      }
      EXPECT_EQ(client->unread, body);
    }
    AwaitMetric(fixture.gateway->admin_port, "errors.quote", 1);
    EXPECT_EQ(backend.requests.count(), 1);
  }
}

// Backpressure: a client that does not read stalls its backend and uses no more memory than one that reads.
TEST(Stream, BuffersNoMoreThanAPieceForASlowClient) {
  constexpr size_t kSize = size_t{32} << 20;
  std::atomic<size_t> written{0};
  Backend backend([&](const Message&, Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kSize) + "\r\n\r\n");
    std::string megabyte(1 << 20, 'b');
    for (size_t sent = 0; sent < kSize; written = sent) {
      connection.Write(megabyte);
      sent += megabyte.size();
    }
    return std::string();
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(Request("quote"));
  ASSERT_NE(client->ReadUntil("\r\n\r\n"), "");
  for (size_t previous = 1, current = 0;
       previous != current || current == 0;) {  // until the backend is blocked
    previous = written;
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    current = written;
  }
  EXPECT_LT(written, kSize);
  size_t received = client->unread.size();
  client->unread.clear();
  while (received < kSize && client->ReadMore()) {
    received += client->unread.size();
    client->unread.clear();
  }
  EXPECT_EQ(received, kSize);
  EXPECT_GT(fixture.gateway->PeakMemoryKb(), 0);
  EXPECT_LT(fixture.gateway->PeakMemoryKb(), 24 << 10);
}

// With little memory, responses that would otherwise be buffered are streamed.
TEST(Stream, BuffersLessWhenMemoryIsShort) {
  std::string body = NumberedText(40000);
  constexpr int kClients = 6;
  Event requests_received, first_half_received;
  Backend backend([&](const Message&, Connection& connection) {
    requests_received.Notify();
    EXPECT_TRUE(requests_received.Wait(kClients)) << "each request should get a sixth of the budget";
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + body.substr(0, 20000));
    EXPECT_TRUE(first_half_received.Wait());
    connection.Write(body.substr(20000));
    return std::string();
  });
  json config = DefaultConfig(0, 0);
  config["limits"]["memory_mb"] = 1;
  json entries = json::array();
  for (int i = 0; i < 8; ++i)
    entries.push_back(EndpointEntry(std::string("s").append(std::to_string(i)), backend.port()));
  GatewayFixture fixture(entries, config);
  std::vector<std::unique_ptr<Connection>> clients;
  for (int i = 0; i < kClients; ++i) clients.push_back(fixture.gateway->Connect());
  for (auto& client : clients) client->Write(RequestOfNewCustomer("quote"));
  for (auto& client : clients) EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
  first_half_received.Notify();
  for (auto& client : clients) {
    EXPECT_TRUE(client->ReadUntil(body.size()));
    EXPECT_EQ(client->unread, body);
  }
}

// A large body is forwarded while it is still arriving, with the framing that the client used, and 100
// Continue is sent before it.
TEST(Stream, ForwardsALargeRequestBodyAsItArrives) {
  std::string body = NumberedText(300000);
  size_t half = 150000;
  for (bool chunks : {false, true}) {
    Event first_half_received, done;
    std::string received_body, head;
    Server backend([&](Connection& connection) {
      head = connection.ReadUntil("\r\n\r\n");
      connection.ReadUntil(30000);
      first_half_received.Notify();
      if (chunks) {
        received_body = ReadChunkedBody(connection);
        connection.ReadUntil("\r\n");
      } else {
        connection.ReadUntil(body.size());
        received_body = connection.unread;
      }
      connection.Write(OkResponse("done"));
      done.Notify();
      connection.WaitForClose();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                           kAdminEnvironment);
    auto client = fixture.gateway->Connect();
    client->Write(Request("send-lead", 1, 3000,
                          std::string("Expect: 100-Continue\r\n") +
                              (chunks ? "Transfer-Encoding: Chunked\r\n" : "Content-Length: 300000\r\n")));
    EXPECT_EQ(client->ReadUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    client->Write(chunks ? ChunkedBody(body.substr(0, half), 999) : body.substr(0, half));
    ASSERT_TRUE(first_half_received.Wait()) << chunks;
    EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "tries"), 0) << "the last byte is not written yet";
    client->Write(chunks ? ChunkedBody(body.substr(half), 70000) + "0\r\nX-End: 1\r\n\r\n"
                         : body.substr(half));
    EXPECT_EQ(client->Read().body, "done");
    ASSERT_TRUE(done.Wait());
    EXPECT_EQ(received_body, body) << chunks;
    EXPECT_NE(head.find("Request-Id: "), std::string::npos);
    EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "tries"), 1);
    EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200) << "the connection must stay open";
  }
}

// A body that was sent in part is not buffered, so the request is not retried. It has not run, so it is
// rejected immediately with 503.
TEST(Stream, DoesNotRetryARequestWhoseBodyIsNotBuffered) {
  Server backend([](Connection& connection) { connection.ReadUntil(100000); });
  GatewayFixture fixture(
      json::array({EndpointEntry("s1", backend.port()), EndpointEntry("s2", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(Request("save-scenario", 1, 600000, "Content-Length: 300000\r\n"));
  client->Write(NumberedText(200000));
  Message response = client->Read();
  EXPECT_EQ(response.status(), 503);
  EXPECT_EQ(response.Header("Connection"), "close");
  EXPECT_EQ(backend.connections, 1);
}

// A request whose framing another parser could interpret differently is not forwarded.
TEST(Stream, RejectsAmbiguousFraming) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (std::string framing :
       {"Content-Length: 4\r\n" + chunked, chunked + "Content-Length: 4\r\n", chunked + chunked,
        std::string("Transfer-Encoding: gzip, chunked\r\n"),
        std::string("Transfer-Encoding: chunked, identity\r\n"),
        std::string("Content-Length: 4\r\nContent-Length: 5\r\n"), std::string("Content-Length: +4\r\n"),
        std::string("Content-Length : 4\r\n"), std::string("Transfer-Encoding: xchunked\r\n")}) {
    auto client = fixture.gateway->Connect();
    client->Write(Request("send-lead", 1, 3000, framing) + "0\r\n\r\nGET /quote HTTP/1.1\r\n");
    EXPECT_EQ(client->Read().status(), 400) << framing;
    EXPECT_TRUE(client->WaitForClose()) << framing;
  }
  auto client = fixture.gateway->Connect();
  std::string http10_request = Request("send-lead", 1, 3000, chunked) + "0\r\n\r\n";
  client->Write(http10_request.replace(http10_request.find("HTTP/1.1"), 8, "HTTP/1.0"));
  EXPECT_EQ(client->Read().status(), 400);
  EXPECT_EQ(backend.requests.count(), 0);
}

// Every request is served by one of the two processes; the old one completes those that it has accepted.
TEST(Upgrade, NewProcessTakesOverWithoutRejectingRequests) {
  UpgradeFixture upgrade;
  auto old = upgrade.Start();
  UpgradeFixture::AwaitReady(*old);
  auto waiting = old->Connect(), idle = old->Connect();
  EXPECT_EQ(SendRequest(*idle, Request("quote")).status(), 200);
  waiting->Write(Request("send-lead", 1, 3000, "", "wait"));
  ASSERT_TRUE(upgrade.request_held.Wait());
  auto next = upgrade.Start();
  EXPECT_EQ(next->port, old->port);
  UpgradeFixture::AwaitReady(*next);
  EXPECT_EQ(SendRequest(*idle, Request("quote")).status(), 200)
      << "the old process still serves beside the new one";
  old->Signal(SIGTERM);
  Message response;
  for (int i = 0; i < 3000 && response.Header("Connection") != "close"; ++i)
    response = SendRequest(*idle, RequestOfNewCustomer("quote"));
  EXPECT_EQ(response.status(), 200);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(SendRequest(*next->Connect(), RequestOfNewCustomer("quote")).status(), 200) << i;
  upgrade.release.Notify();
  EXPECT_EQ(waiting->Read().status(), 200);
  EXPECT_EQ(old->WaitForExit(), 0);
  old.reset();
  auto client = next->Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200) << "the shared socket still listens";
  EXPECT_EQ(ReadMetric(next->admin_port, "errors.quote"), 0);
}

// A backend set offline at one process is offline at the other and at later processes, even after a SIGKILL.
TEST(Upgrade, OfflineStateIsSharedByBothProcesses) {
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

// The process file alone does not show a running peer; the lock on it does, and it ends with the process.
TEST(PeerProcess, IsDetectedOnlyWhileItRuns) {
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

// Backend names with equal hashes get distinct ids, which do not depend on their order.
TEST(BackendIds, AssignsDistinctIdsToCollidingNames) {
  lemonchute::net::BackendIds one([](std::string_view) { return 7u; }),
      two([](std::string_view) { return 7u; });
  lemonchute::policy::SocketSettings socket_settings;
  json forward = {
      {"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1), EndpointEntry("b", 2)}}};
  json reversed = {
      {"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("b", 2), EndpointEntry("a", 1)}}};
  auto first = lemonchute::net::ParseBackendList(forward, socket_settings, &one),
       second = lemonchute::net::ParseBackendList(reversed, socket_settings, &two);
  EXPECT_NE(first.entries[0].backend.id, first.entries[1].backend.id);
  EXPECT_EQ(first.entries[0].backend.id, second.entries[1].backend.id);
  EXPECT_EQ(first.entries[1].backend.id, second.entries[0].backend.id);
}

// A reply that arrives after its call has timed out is matched to that call and not to the next one.
TEST(CounterClient, MatchesLateRepliesToTheirOwnCalls) {
  Event release;
  Counter counter([&](const std::string&, double amount) {
    if (amount == 1) release.Wait();
    return BulkString(std::to_string(amount));
  });
  CounterClientRunner runner(counter.port(), 0.5);
  runner.client.Call(11, 1, 5);
  runner.RunUntil([&] { return runner.responses.size() == 1; });
  EXPECT_EQ(runner.responses[0].result, lemonchute::policy::AttemptResult::kTimeout)
      << "the amount may have been added";
  release.Notify();
  for (int i = 0; i < 20; ++i) {
    runner.client.Call(20 + i, 2 + i, 5);
    runner.RunUntil([&] { return runner.responses.size() == 2 + static_cast<size_t>(i); });
    if (runner.responses.back().result != lemonchute::policy::AttemptResult::kOk) continue;
    EXPECT_EQ(runner.responses.back().counter_name, 20u + i);
    EXPECT_EQ(runner.responses.back().total, 2.0 + i);
  }
}

TEST(CounterClient, DistinguishesCallsNotAppliedFromThoseThatMayHaveBeen) {
  Counter busy([](const std::string&, double) { return std::string("-BUSY\r\n"); });
  CounterClientRunner overloaded(busy.port(), 30);
  overloaded.client.Call(1, 1, 5);
  overloaded.RunUntil([&] { return overloaded.responses.size() == 1; });
  EXPECT_EQ(overloaded.responses[0].result, lemonchute::policy::AttemptResult::kOverloaded);

  CounterClientRunner refused(UnusedPort(), 30);
  for (int i = 0; i < 200; ++i) refused.client.Call(i, 1, 5);
  refused.RunUntil([&] { return refused.responses.size() == 200; });
  for (const auto& response : refused.responses)
    EXPECT_EQ(response.result, lemonchute::policy::AttemptResult::kConnectFailed);

  Counter broken([](const std::string&, double) { return std::string("?\r\n"); });
  CounterClientRunner failed(broken.port(), 30);
  failed.client.Call(1, 1, 5);
  failed.RunUntil([&] { return failed.responses.size() == 1; });
  EXPECT_EQ(failed.responses[0].result, lemonchute::policy::AttemptResult::kTimeout);
}

// An unreadable reply ends its connection, but the counter is called again without delay if it has replied on
// that connection before.
TEST(CounterClient, ContinuesImmediatelyAfterAnUnreadableReply) {
  std::atomic<int> seen{0};
  Counter counter(
      [&](const std::string&, double) { return ++seen % 2 == 1 ? BulkString("5") : "$3\r\nabc\r\n"; });
  CounterClientRunner runner(counter.port(), 30);
  for (size_t i = 0; i < 20; ++i) {
    runner.client.Call(i, 1, 5);
    runner.RunUntil([&] { return runner.responses.size() == i + 1; });
    EXPECT_EQ(runner.responses[i].result, i % 2 == 0 ? lemonchute::policy::AttemptResult::kOk
                                                     : lemonchute::policy::AttemptResult::kTimeout)
        << i;
  }
}

// With a silent counter the number of calls in flight is limited, every call ends, and after a long silence
// the connections are reopened.
TEST(CounterClient, LimitsCallsInFlightAndReconnectsAfterALongSilence) {
  std::atomic<bool> silent{true};
  Counter counter([&](const std::string&, double) { return silent ? std::string() : BulkString("5"); });
  CounterClientRunner runner(counter.port(), 0.05);
  for (int i = 0; i < 5000; ++i) runner.client.Call(i, 1, 5);
  runner.RunUntil([&] { return runner.responses.size() == 5000; });
  EXPECT_LE(counter.calls.count(), 32 * 64);
  EXPECT_LE(counter.connections(), 32);
  silent = false;
  uint64_t name = 10000;
  runner.RunUntil([&] {
    if (runner.responses.back().result == lemonchute::policy::AttemptResult::kOk) return true;
    runner.client.Call(++name, 1, 5);
    size_t before = runner.responses.size();
    runner.RunUntil([&] { return runner.responses.size() > before; });
    return runner.responses.back().result == lemonchute::policy::AttemptResult::kOk;
  });
}

}  // namespace
