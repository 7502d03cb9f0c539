// Peers that take bytes slowly: those that keep up the slowest rate of the specification (64 kB a second) are
// served to the end, steady or in gulps, and those that take nothing are given up in a bounded time.
#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

#include "gateway_site.h"
#include "net/in_flight_request.h"
#include "net/peer_rate.h"

namespace {

using namespace rig;  // NOLINT
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr size_t kMegabyte = size_t{1} << 20;
// Longer than the time without progress after which a connection is given up.
constexpr auto kLongerThanAnyTimeout = std::chrono::seconds(14);

// How a peer reads: `bytes_per_s`, as much as it is behind in each interval.
struct Pace {
  size_t bytes_per_s;
  milliseconds interval;
};
constexpr Pace kSteady{68000, milliseconds(50)}, kGulps{128000, milliseconds(2000)},
    kSlowest{64000, milliseconds(50)}, kTrickle{4000, milliseconds(50)};

// Reads and drops bytes at the given pace.
// @return their number; fewer than the pace implies if the connection has ended
size_t ReadAtPace(Connection& connection, Pace pace, Clock::duration time) {
  auto began_at = Clock::now();
  size_t received = 0;
  for (auto elapsed = Clock::duration::zero(); elapsed < time; elapsed = Clock::now() - began_at) {
    auto due = static_cast<size_t>(std::chrono::duration<double>(elapsed).count() *
                                   static_cast<double>(pace.bytes_per_s));
    while (received < due) {
      size_t size = connection.Discard(due - received);
      if (size == 0) return received;
      received += size;
    }
    std::this_thread::sleep_for(pace.interval);
  }
  return received;
}

// Reads and drops up to `size` bytes as fast as they come.
// @return their number; fewer if the connection has ended
size_t ReadQuickly(Connection& connection, size_t size) {
  size_t received = 0;
  for (size_t part = 1; received < size && part > 0; received += part)
    part = connection.Discard(size - received);
  return received;
}

// Several entries of one backend, so that requests which are in flight together don't exceed its limit.
json ManyEntries(const Backend& backend) {
  json entries = json::array();
  for (int i = 0; i < 8; ++i)
    entries.push_back(EndpointEntry(std::string("s").append(std::to_string(i)), backend.port()));
  return entries;
}

// Guards against: a long response to a client that took it all the while was cut off, because no space in the
// socket's send buffer for 10 s counted as a client that takes nothing.
TEST(SlowClient, LongResponseIsCompletedAtTheSlowestRate) {
  constexpr size_t kSize = 8 * kMegabyte;
  Backend backend(RespondsWith(OkResponse(std::string(kSize, 'b'))));
  GatewayFixture fixture(ManyEntries(backend), {}, LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  struct Reader {
    std::string request = RequestOfNewCustomer("quote");
    size_t first_quickly;  // bytes that it reads as fast as they come, which enlarges its receive buffer
    Pace pace;             // after that
    size_t received = 0;   // of the body
  };
  std::vector<Reader> readers = {{.first_quickly = 0, .pace = kSteady},
                                 {.first_quickly = 0, .pace = kGulps},
                                 {.first_quickly = 0, .pace = kSlowest},
                                 {.first_quickly = 2 * kMegabyte, .pace = kSlowest}};
  std::vector<std::thread> threads;
  for (Reader& reader : readers) {
    threads.emplace_back([&] {
      auto client = fixture.gateway->Connect();
      client->Write(reader.request);
      if (client->ReadUntil("\r\n\r\n").rfind("HTTP/1.1 200 ", 0) != 0) return;
      reader.received = client->unread.size() + ReadQuickly(*client, reader.first_quickly);
      reader.received += ReadAtPace(*client, reader.pace, kLongerThanAnyTimeout);
      reader.received += ReadQuickly(*client, kSize - reader.received);
    });
  }
  for (std::thread& thread : threads) thread.join();
  for (const Reader& reader : readers)
    EXPECT_EQ(reader.received, kSize) << reader.pace.bytes_per_s << " bytes/s";
}

// Guards against: the same with small responses, behind others that the client had not read yet.
TEST(SlowClient, SmallResponsesAreCompletedAtTheSlowestRate) {
  constexpr int kRequests = 110;  // more than the sockets' buffers hold the responses of
  Backend backend(RespondsWith(OkResponse(std::string(60000, 'b'))));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  std::string requests;
  for (int i = 0; i < kRequests; ++i) requests += RequestOfNewCustomer("quote");
  auto client = fixture.gateway->Connect();
  client->Write(requests);
  size_t read = 0;
  auto began_at = Clock::now();
  for (; read < kRequests; ++read) {
    Message response = client->Read();
    if (!response.complete) break;
    EXPECT_NE(response.status(), 0);
    if (Clock::now() < began_at + kLongerThanAnyTimeout)
      std::this_thread::sleep_for(milliseconds(1000 * response.body.size() / kSlowest.bytes_per_s));
  }
  EXPECT_EQ(read, kRequests);
}

// A client that takes nothing, or next to nothing, loses its connection, whatever it waits for.
TEST(SlowClient, ThatTakesNothingLosesItsConnection) {
  constexpr auto kLatest = std::chrono::seconds(20);
  Backend backend([](const Message& request, Connection&) {
    bool is_long = request.head.find("/quote") != std::string::npos;
    return OkResponse(std::string(is_long ? 32 * kMegabyte : 60000, 'b'));
  });
  GatewayFixture fixture(ManyEntries(backend), {}, LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  auto silent = fixture.gateway->Connect(), trickling = fixture.gateway->Connect(),
       pipelining = fixture.gateway->Connect();
  silent->Write(RequestOfNewCustomer("quote"));
  trickling->Write(RequestOfNewCustomer("quote"));
  std::string requests;
  for (int i = 0; i < 110; ++i) requests += RequestOfNewCustomer("send-lead");
  pipelining->Write(requests);
  auto began_at = Clock::now();
  std::thread reader([&] { ReadAtPace(*trickling, kTrickle, kLatest); });
  AwaitMetric(fixture.gateway->admin_port, "closed.slow_reader", 3);
  EXPECT_LT(Clock::now() - began_at, kLatest);
  reader.join();
}

// Guards against: a large request whose backend took it all the while failed, because no space in the
// socket's send buffer for 10 s counted as a backend that takes nothing.
TEST(SlowBackend, UploadIsCompletedAtTheSlowestRate) {
  const std::string body(40 * kMegabyte,
                         'b');  // more than the buffers hold, so that its last byte is still to come
  Server backend([&](Connection& connection) {
    if (connection.ReadUntil("\r\n\r\n").empty()) return;
    size_t received = connection.unread.size();
    received += ReadAtPace(connection, kSteady, kLongerThanAnyTimeout);
    received += ReadQuickly(connection, body.size() - received);
    if (received == body.size()) connection.Write(OkResponse("x"));
    connection.WaitForClose();
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  std::thread writer([&] { client->Write(Request("send-lead", 1, 2500, "", body)); });
  EXPECT_EQ(client->Read().status(), 200);
  client->Shutdown();
  writer.join();
}

// The time for an upload allows for the slowest rate, in which 64 kB are 64,000 bytes.
TEST(SlowClient, TimeOfAnUploadAllowsForTheSlowestRate) {
  using namespace lemonchute::net;  // NOLINT
  constexpr uint64_t kSize = 32'000'000;
  constexpr double kTimeoutS = 3, kUnlimitedS = 1e9;
  RequestTimeLimits limits = ComputeTimeLimits(kTimeoutS, ClientMessage{}, Upload{kSize}, kUnlimitedS);
  EXPECT_GE(limits.timeout_s, kSize / 64000.0 + kTimeoutS);
}

// Connects with the segments and buffers of a network rather than of the loopback interface, so that the
// sender's buffer stays small.
std::unique_ptr<Connection> ConnectWithSmallBuffers(int port) {
  constexpr int kSegmentBytes = 1448, kReceiveBufferBytes = 4096;
  sockaddr_in address;
  int fd = MakeLoopbackSocket(&address, port);
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  return std::make_unique<Connection>(fd);
}

// A configuration of some 0.4 MB.
json WithLongPlanNames() {
  json config = DefaultConfig(0, 0);
  json& plans = config["settings"]["tiers-of-service"];
  json plan = plans[0];
  for (int i = 0; i < 200; ++i) {
    plan["name"] = std::to_string(i).append(2000, 'x');
    plans.push_back(plan);
  }
  return config;
}

// Guards against: a long response of the admin endpoint was cut off 1 s after its call, however its caller
// read.
TEST(AdminEndpoint, LongResponseIsCompletedAtTheSlowestRate) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), WithLongPlanNames(),
                         LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  auto caller = ConnectWithSmallBuffers(fixture.gateway->admin_port);
  caller->Write("GET /control/config/running HTTP/1.1\r\nHost: ops\r\n\r\n");
  std::string head = caller->ReadUntil("\r\n\r\n");
  size_t length = std::strtoul(head.c_str() + head.find("Content-Length: ") + 16, nullptr, 10);
  EXPECT_GT(length, 300000u);
  size_t received = caller->unread.size();
  received += ReadAtPace(*caller, kSteady, std::chrono::seconds(3));
  received += ReadQuickly(*caller, length - received);
  EXPECT_EQ(received, length);
}

// A caller that takes nothing loses its connection, and others are answered meanwhile.
TEST(AdminEndpoint, CallerThatTakesNothingLosesItsConnection) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), WithLongPlanNames(),
                         LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  const size_t descriptors = fixture.gateway->CountDescriptors();
  auto caller = ConnectWithSmallBuffers(fixture.gateway->admin_port);
  caller->Write("GET /control/config/running HTTP/1.1\r\nHost: ops\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_EQ(AdminCall(fixture.gateway->admin_port, "GET", "/control/ready").status(), 200);
  std::this_thread::sleep_for(kLongerThanAnyTimeout);
  EXPECT_LE(fixture.gateway->CountDescriptors(), descriptors) << "the caller's connection is still open";
}

json WithShortDeadlines() {
  json config = DefaultConfig(0, 0);
  for (json& request_class : config["settings"]["request-classes"]) request_class["hard-limit-s"] = 0.5;
  return config;
}

// Guards against: the process ended by itself while small responses waited for a slow client, and cut the one
// off that was being written.
TEST(Closing, ResponseThatIsBeingWrittenIsCompletedIfTheKillDoesNotCome) {
  Backend backend(RespondsWith(OkResponse(std::string(60000, 'b'))));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), WithShortDeadlines());
  std::string requests;
  for (int i = 0; i < 110; ++i) requests += RequestOfNewCustomer("quote");
  auto client = fixture.gateway->Connect();
  client->Write(requests);
  std::this_thread::sleep_for(milliseconds(700));  // until the sockets' buffers are full
  fixture.gateway->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2000));  // beyond the end of its grace period, 1.1 s
  while (client->Read().complete) {
  }
  EXPECT_EQ(client->unread.size(), 0u) << "bytes of an incomplete response";
  EXPECT_EQ(fixture.gateway->WaitForExit(), 0);
}

// Guards against: 30 s after its grace period the process ended by itself and cut off a response that its
// backend still gave and its client still took.
TEST(Closing, LongResponseGoesOnAfterSigtermWhileItProgresses) {
  constexpr int kPieces = 18;  // 36 s
  constexpr size_t kPieceBytes = 128000;
  Backend backend([&](const Message&, Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < kPieces; ++i) {
      connection.Write(ChunkedBody(std::string(kPieceBytes, 'b'), kPieceBytes));
      std::this_thread::sleep_for(milliseconds(2000));
    }
    connection.Write("0\r\n\r\n");
    return std::string();
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), WithShortDeadlines());
  auto client = fixture.gateway->Connect();
  client->Write(Request("quote"));
  EXPECT_NE(client->ReadUntil("\r\n\r\n"), "");
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(ReadChunkedBody(*client).size(), kPieces * kPieceBytes);
  EXPECT_EQ(fixture.gateway->WaitForExit(), 0);
}

TEST(PeerRate, CoversPausesThatTheRateAllows) {
  using lemonchute::net::PeerRate;
  const Clock::time_point start{};
  PeerRate rate;
  rate.Reset(start);
  for (int burst = 0; burst < 100; ++burst) {
    auto now = start + std::chrono::seconds(2 * burst);
    EXPECT_GE(rate.covered_until(), now) << burst;
    rate.OnBytes(128000);
  }
  EXPECT_EQ(rate.covered_until(), start + std::chrono::seconds(200));
  rate.OnBytes(64);  // each 50 ms
  EXPECT_LT(rate.covered_until(), start + std::chrono::seconds(200) + milliseconds(50)) << "a trickle";
  rate.LimitTo(start + std::chrono::seconds(10));
  EXPECT_EQ(rate.covered_until(), start + std::chrono::seconds(10));
}

}  // namespace
