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

// A backend behind small socket buffers, which reads its connection at `bytes_per_s`; 0: not at all.
class SlowReader {
 public:
  explicit SlowReader(size_t bytes_per_s) : thread_([this, bytes_per_s] { Run(bytes_per_s); }) {}
  ~SlowReader() {
    stopping_ = true;
    shutdown(listening_.fd, SHUT_RDWR);
    thread_.join();
    close(listening_.fd);
  }
  int port() const { return listening_.port; }

 private:
  static constexpr int kReceiveBufferBytes = 4096;
  static constexpr auto kInterval = std::chrono::milliseconds(20);

  static ListeningSocket ListenWithSmallBuffer() {
    ListeningSocket listening = ListenOnLoopback(/*backlog=*/8);
    setsockopt(listening.fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
    return listening;
  }
  void Run(size_t bytes_per_s) {
    int fd = accept(listening_.fd, nullptr, nullptr);
    std::vector<char> bytes(bytes_per_s * kInterval.count() / 1000);
    while (!stopping_ && (bytes.empty() || recv(fd, bytes.data(), bytes.size(), 0) > 0))
      std::this_thread::sleep_for(kInterval);
    close(fd);
  }

  std::atomic<bool> stopping_{false};
  const ListeningSocket listening_ = ListenWithSmallBuffer();
  std::thread thread_;
};

// Guards against: while a backend accepted nothing, or little, the last byte of a large request was not read,
// so that the client's timeout had not begun, and the response came after up to 10 s.
TEST(SlowBackend, UploadIsAnsweredWithinTheClientsTimeoutAfterItsLastByte) {
  constexpr int kTimeoutMs = 1000;
  constexpr auto kLatest = std::chrono::milliseconds(kTimeoutMs + 550);  // half a second late, and 50 ms
  // More than the buffers between gateway and backend hold, and less than all buffers together.
  const std::string body(4 * kMegabyte, 'b');
  for (size_t bytes_per_s : {0, 100000}) {
    for (bool chunked : {false, true}) {
      SlowReader backend(bytes_per_s);
      GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                             kAdminEnvironment);
      auto client = fixture.gateway->Connect();
      client->Write(chunked ? Request("send-lead", 1, kTimeoutMs, "Transfer-Encoding: chunked\r\n") +
                                  ChunkedBody(body, 50000) + "0\r\n\r\n"
                            : Request("send-lead", 1, kTimeoutMs, "", body));
      auto written_at = Clock::now();
      EXPECT_EQ(client->Read().status(), 503) << "it has not run";
      EXPECT_LT(Clock::now() - written_at, kLatest) << bytes_per_s << " bytes/s, chunked " << chunked;
      EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "ended.request_stalled"), 1)
          << "the backend's failure";
    }
  }
}

// A client may take longer over its body than its timeout, which counts from the last byte, and may pause.
TEST(SlowClient, TimeoutCountsFromTheLastByteOfAnUpload) {
  constexpr int kTimeoutMs = 600;
  for (bool chunked : {false, true}) {
    Server backend([&](Connection& connection) {
      connection.ReadUntil(chunked ? "\r\n0\r\n\r\n" : "the end");
      connection.Write(OkResponse("x"));
      connection.WaitForClose();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    auto client = fixture.gateway->Connect();
    std::string body = std::string(150000, 'b') + "the end";
    std::string text = chunked ? Request("send-lead", 1, kTimeoutMs, "Transfer-Encoding: chunked\r\n") +
                                     ChunkedBody(body, 5000) + "0\r\n\r\n"
                               : Request("send-lead", 1, kTimeoutMs, "", body);
    size_t half = text.size() / 2;
    for (size_t offset = 0; offset < text.size(); offset += 5000) {
      client->Write(text.substr(offset, 5000));
      std::this_thread::sleep_for(
          std::chrono::milliseconds(offset < half && offset + 5000 >= half ? 1200 : 40));
    }
    EXPECT_EQ(client->Read().status(), 200) << chunked;
  }
}

// Guards against: the timeout of a pipelined request began only when the request before it had its response.
TEST(SlowBackend, PipelinedRequestIsAnsweredWithinItsTimeoutAfterItsArrival) {
  constexpr int kTimeoutMs = 1500;
  constexpr auto kLatest = std::chrono::milliseconds(kTimeoutMs + 550);  // half a second late, and 50 ms
  const std::string body(100000, 'b');
  Event connection_closed;
  std::atomic<int> requests{0};
  Backend backend([&](const Message&, Connection& connection) {
    if (++requests > 1) return HangsUntilClosed(&connection_closed)({}, connection);
    std::string text = OkResponse(body);
    connection.Write(text.substr(0, text.size() - 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    return text.substr(text.size() - 1);
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(RequestOfNewCustomer("quote") + Request("send-lead", 1, kTimeoutMs));
  auto written_at = Clock::now();
  EXPECT_EQ(client->Read().body, body);
  EXPECT_EQ(client->Read().status(), 502) << "it may have run";
  EXPECT_EQ(requests, 2);
  EXPECT_LT(Clock::now() - written_at, kLatest);
}

// How a backend gives a response.
struct Bursts {
  std::chrono::milliseconds first_byte_after;
  size_t bytes;
  std::chrono::milliseconds interval;
};

// Requests a response of unknown length, chunked or to the connection's end, from a backend that gives it in
// bursts.
// @return the body that the client receives, or what is missing
std::string ReceiveInBursts(const std::string& body, const Bursts& bursts, bool chunked, int timeout_ms) {
  Backend backend([&](const Message&, Connection& connection) {
    std::this_thread::sleep_for(bursts.first_byte_after);
    connection.Write(std::string("HTTP/1.1 200 OK\r\n") +
                     (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
    for (size_t offset = 0; offset < body.size(); offset += bursts.bytes) {
      std::string burst = body.substr(offset, bursts.bytes);
      connection.Write(chunked ? ChunkedBody(burst, bursts.bytes) : burst);
      std::this_thread::sleep_for(bursts.interval);
    }
    if (chunked) connection.Write("0\r\n\r\n");
    return std::string();
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(Request("quote", 1, timeout_ms));
  EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
  return ReadChunkedBody(*client);
}

// Guards against: a response of unknown length that began in time and kept coming was cut off 0.25 s after
// the client's timeout, since it had not reached the size from which a response counts as large.
TEST(SlowBackend, LargeResponseOfUnknownLengthIsCompletedAfterTheTimeout) {
  constexpr size_t kPieceBytes = 3200;
  constexpr auto kPieceInterval = std::chrono::milliseconds(50);  // 64 KB/s
  const std::string body = NumberedText(50 * kPieceBytes);
  for (bool chunked : {false, true}) {
    const Bursts bursts{std::chrono::milliseconds(600), kPieceBytes, kPieceInterval};
    EXPECT_TRUE(ReceiveInBursts(body, bursts, chunked, 1100) == body) << "chunked " << chunked;
  }
}

// Guards against: a long response of unknown length that came in lumps was cut off while its backend paused.
TEST(SlowBackend, LongResponseInLumpsIsCompletedAfterTheTimeout) {
  constexpr size_t kLumpBytes = 48000;  // less than a response that is judged by its last byte may have
  constexpr auto kPause = std::chrono::milliseconds(1800);
  const std::string body = NumberedText(3 * kLumpBytes);
  for (bool chunked : {false, true}) {
    const Bursts bursts{std::chrono::milliseconds(0), kLumpBytes, kPause};
    EXPECT_TRUE(ReceiveInBursts(body, bursts, chunked, 500) == body) << "chunked " << chunked;
  }
}

// Guards against: a long response of unknown length whose backend paused for 0.3 to 0.4 s, though its rate
// was above that of the slowest peers, was cut off 0.25 s after the client's timeout.
TEST(SlowBackend, LongResponseInBurstsIsCompletedAfterTheTimeout) {
  constexpr int kTimeoutMs = 1000;
  constexpr auto kFirstByte = std::chrono::milliseconds(kTimeoutMs - 100);
  const std::string body = NumberedText(120000);
  for (const Bursts& bursts : {Bursts{kFirstByte, 40000, std::chrono::milliseconds(400)},
                               Bursts{kFirstByte, 20000, std::chrono::milliseconds(300)}}) {
    for (bool chunked : {false, true})
      EXPECT_TRUE(ReceiveInBursts(body, bursts, chunked, kTimeoutMs) == body)
          << bursts.bytes << " bytes each, chunked " << chunked;
  }
}

// What a small response has given before it stops or trickles buys it no more than the half second, and 50
// ms, by which a final response may be late.
TEST(SlowBackend, ResponseOfUnknownLengthThatStopsNearTheTimeoutIsCutOffInTime) {
  constexpr int kTimeoutMs = 1000;
  for (bool trickles : {false, true}) {
    Backend backend([&](const Message&, Connection& connection) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kTimeoutMs - 100));
      connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       ChunkedBody(std::string(trickles ? 20000 : 40000, 'b'), 5000));
      while (trickles && connection.IsOpen()) {
        connection.Write("1\r\nb\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
      connection.WaitForClose();
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    auto client = fixture.gateway->Connect();
    client->Write(Request("quote", 1, kTimeoutMs));
    auto written_at = Clock::now();
    EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
    EXPECT_EQ(ReadChunkedBody(*client), "no last chunk");
    EXPECT_LT(Clock::now() - written_at, std::chrono::milliseconds(kTimeoutMs + 550)) << trickles;
  }
}

// One that stops is cut off before it counts as lost: half a second after the client's timeout, and 50 ms.
TEST(SlowBackend, ResponseOfUnknownLengthThatStopsIsCutOffInTime) {
  constexpr int kTimeoutMs = 600;
  Backend backend([&](const Message&, Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     ChunkedBody(std::string(40000, 'b'), 5000));
    connection.WaitForClose();
    return std::string();
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  auto client = fixture.gateway->Connect();
  client->Write(Request("quote", 1, kTimeoutMs));
  auto written_at = Clock::now();
  EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
  EXPECT_EQ(ReadChunkedBody(*client), "no last chunk");
  EXPECT_LT(Clock::now() - written_at, std::chrono::milliseconds(kTimeoutMs + 550));
  AwaitMetric(fixture.gateway->admin_port, "ended.response_deadline", 1);
}

// Guards against: an attempt kept the long deadline of its upload, so that a response to it could trickle on.
TEST(SlowBackend, ResponseToAnUploadIsCutOffInTime) {
  constexpr int kTimeoutMs = 600;
  const std::string body(100000, 'b');
  Server backend([&](Connection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.ReadUntil(body.size());
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     ChunkedBody(std::string(20000, 'b'), 5000));
    while (connection.IsOpen()) {
      connection.Write("1\r\nb\r\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(Request("send-lead", 1, kTimeoutMs, "", body));
  auto written_at = Clock::now();
  EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
  EXPECT_EQ(ReadChunkedBody(*client), "no last chunk");
  EXPECT_LT(Clock::now() - written_at, std::chrono::milliseconds(kTimeoutMs + 550));
}

// Guards against: an upload that broke while its attempt was being sent left the attempt in flight for ever,
// so that the gateway refused everything after some of them, and freed memory was used.
TEST(MisbehavingClient, UploadThatBreaksAsItIsSentLeavesNoAttemptInFlight) {
  constexpr int kBrokenUploads = 20;
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, LEMONCHUTE_GATEWAY, 0,
                         kAdminEnvironment);
  const std::string broken_body = ChunkedBody(std::string(65600, 'b'), 65600) + "not a size\r\n";
  for (int i = 0; i < kBrokenUploads; ++i) {
    auto first = fixture.gateway->Connect(), uploading = fixture.gateway->Connect();
    // Leaves an idle connection to the backend, so that the attempt is sent within the policy's action.
    EXPECT_EQ(SendRequest(*first, RequestOfNewCustomer("quote")).status(), 200) << i;
    std::this_thread::sleep_for(std::chrono::milliseconds(15));
    std::string head = RequestOfNewCustomer("send-lead");
    head.insert(head.size() - 2, "Transfer-Encoding: chunked\r\n");
    uploading->Write(head + broken_body);
    while (uploading->ReadMore()) {
    }
  }
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, RequestOfNewCustomer("quote")).status(), 200);
  AwaitMetric(fixture.gateway->admin_port, "attempts_in_flight", 0);
  EXPECT_EQ(ReadMetric(fixture.gateway->admin_port, "violations.reentry"), 0);
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
