// Peers that send badly, never end or stop: each gets an error or loses its connection, and nobody else
// notices.
#include <atomic>
#include <chrono>
#include <memory>

#include "client_runners.h"
#include "gateway_site.h"

namespace {

using namespace rig;  // NOLINT
using Clock = std::chrono::steady_clock;

constexpr size_t kMegabyte = size_t{1} << 20;

// Beginnings of chunked bodies whose next element has no end: a chunk's size, its extension, the trailer.
const std::vector<std::string> kEndlessElements = {"0", "1;note=", "5\r\nhello\r\n0\r\nX-Note: "};

// Writes `text` over and over until the peer ends the connection or `limit` bytes are written.
// @return the number of bytes written
size_t WriteEndlessly(Connection& connection, const std::string& text, size_t limit) {
  size_t written = 0;
  for (; written < limit && connection.IsOpen(); written += text.size()) connection.Write(text);
  return written;
}

// Guards against: a response whose chunk size, extension or trailer never ends ended the gateway process.
TEST(MisbehavingBackend, ResponseWhoseFramingNeverEndsFailsOnlyItsOwnRequest) {
  for (const std::string& element : kEndlessElements) {
    Event held, release;
    Backend backend([&](const Message& request, Connection& connection) {
      if (request.head.find("/quote") != std::string::npos) {
        held.Notify();
        EXPECT_TRUE(release.Wait());
        return OkResponse("x");
      }
      connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + element);
      EXPECT_LT(WriteEndlessly(connection, std::string(4000, '0'), 32 * kMegabyte), 32 * kMegabyte);
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                           kAdminEnvironment);
    auto other = fixture.gateway->Connect(), client = fixture.gateway->Connect();
    other->Write(RequestOfNewCustomer("quote"));
    ASSERT_TRUE(held.Wait());
    EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("send-lead")).status(), 502) << element;
    release.Notify();
    EXPECT_EQ(other->Read().status(), 200) << element;
    EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "ended.malformed_response"), 1) << element;
  }
}

// Guards against: a trailer that trickles counted as progress, so that the connections stayed open for hours.
TEST(MisbehavingBackend, TrailerThatTricklesAfterALargeResponseIsCutOff) {
  Backend backend([](const Message&, Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     ChunkedBody(std::string(100000, 'b'), 5000) + "0\r\nX-Note: ");
    while (connection.IsOpen()) {
      connection.Write("x");
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return std::string();
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  auto client = fixture.gateway->Connect();
  client->Write(Request("quote"));
  auto sent_at = Clock::now();
  EXPECT_EQ(ReadChunkedBody(*client).size(), std::string("no last chunk").size());
  EXPECT_LT(Clock::now() - sent_at, std::chrono::seconds(30))
      << "the limit is 10 s without a byte of the body";
  AwaitMetric(fixture.gateway->admin_port, "ended.response_stalled", 1);
}

// Guards against: a call to the admin endpoint whose framing never ends ended the gateway process.
TEST(MisbehavingOperator, CallWhoseFramingNeverEndsGetsAnError) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  for (const std::string& element : kEndlessElements) {
    auto caller = Connection::ConnectTo(fixture.gateway->admin_port);
    caller->Write("PUT /control/config/check HTTP/1.1\r\nHost: ops\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  element + std::string(20000, '0'));
    EXPECT_EQ(caller->Read().status(), 431) << element;
    EXPECT_EQ(AdminCall(fixture.gateway->admin_port, "GET", "/control/ready").status(), 200) << element;
  }
  EXPECT_EQ(SendRequest(*fixture.gateway->Connect(), Request("quote")).status(), 200);
}

// Guards against: a list whose framing never ends was buffered without a limit until its call timed out.
TEST(MisbehavingDiscovery, ListWhoseFramingNeverEndsIsDroppedEarly) {
  constexpr size_t kEnough = 32 * kMegabyte;  // more than the sockets' buffers hold
  for (const std::string& element : kEndlessElements) {
    DiscoveryClientRunner* runner = nullptr;
    size_t accepted = 0;
    DiscoveryClientRunner owned_runner([&](Connection& connection) {
      if (!connection.Read().complete) return;
      if (accepted > 0) return runner->io.stop();  // the next call
      connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + element);
      accepted = WriteEndlessly(connection, std::string(4000, '0'), kEnough);
      connection.WaitForClose();
    });
    runner = &owned_runner;
    owned_runner.Run();
    EXPECT_GT(accepted, 0u);
    EXPECT_LT(accepted, kEnough) << element;
  }
}

// Guards the limits that the way of a client's request already had: an error while the request is buffered, a
// close once a part of it was forwarded.
TEST(MisbehavingClient, BodyWhoseFramingNeverEndsGetsAnErrorOrAClose) {
  Server backend([](Connection& connection) {
    while (connection.ReadMore()) {
    }
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  for (const std::string& element : kEndlessElements) {
    std::string endless = element + std::string(40000, '0');
    std::string request = RequestOfNewCustomer("send-lead");
    request.insert(request.size() - 2, "Transfer-Encoding: chunked\r\n");
    auto small = fixture.gateway->Connect(), large = fixture.gateway->Connect();
    small->Write(request + endless);
    EXPECT_EQ(small->Read().status(), 431) << element;
    large->Write(request + ChunkedBody(std::string(100000, 'b'), 5000) + endless);
    EXPECT_TRUE(large->WaitForClose()) << element;
  }
}

// Guards against: a reply that declares two billion elements kept the event loop busy for seconds.
TEST(MisbehavingCounter, ReplyThatDeclaresAHugeArrayDoesNotBlockTheEventLoop) {
  std::atomic<int> calls{0};
  Counter counter(
      [&](const std::string&, double) { return ++calls == 1 ? "*2147483647\r\n" : BulkString("5"); });
  CounterClientRunner runner(counter.port(), 30);
  auto called_at = Clock::now();
  runner.client.Call(1, 1, 5);
  runner.RunUntil([&] { return runner.responses.size() == 1; });
  EXPECT_EQ(runner.responses[0].result, lemonchute::policy::AttemptResult::kTimeout);
  for (size_t calls_made = 2; runner.responses.back().result != lemonchute::policy::AttemptResult::kOk;) {
    runner.client.Call(calls_made, 1, 5);
    runner.RunUntil([&] { return runner.responses.size() == calls_made; });
    ++calls_made;
  }
  EXPECT_LT(Clock::now() - called_at, std::chrono::seconds(3));
}

}  // namespace
