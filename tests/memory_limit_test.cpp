// A gateway with little memory and hundreds of clients stays under its limit, and answers those who are
// sound.
#include <atomic>
#include <chrono>
#include <string>

#include "client_crowd.h"
#include "gateway_site.h"

namespace {

using namespace rig;  // NOLINT

// The least that a gateway is given (TERMS). MEMORY_LIMIT_MB names another, for the table in
// docs/CAPACITY.md.
const int kMemoryMb = std::getenv("MEMORY_LIMIT_MB") ? std::atoi(std::getenv("MEMORY_LIMIT_MB")) : 32;
constexpr size_t kDescriptors = 1024;          // the most
constexpr size_t kClients = kDescriptors / 3;  // the most that clients hold for requests (TERMS)
constexpr int kBackends = 200;                 // enough that no request is refused for want of capacity

// A gateway at the least memory and its backends.
struct SmallSite {
  explicit SmallSite(Backend::Handler handler) : backend(std::move(handler)) {
    json config = DefaultConfig(0, 0);
    config["limits"]["memory_mb"] = kMemoryMb;
    config["limits"]["sockets"] = kDescriptors;
    json entries = json::array();
    for (int i = 0; i < kBackends; ++i)
      entries.push_back(EndpointEntry(std::string("s").append(std::to_string(i)), backend.port()));
    fixture = std::make_unique<GatewayFixture>(entries, config, LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  }
  long PeakKb() const {
    long peak_kb = fixture->gateway->PeakMemoryKb();
    ::testing::Test::RecordProperty(
        "heap_peak_kb",
        std::to_string(ReadMetric(fixture->gateway->admin_port, "memory.heap_peak_bytes") >> 10));
    ::testing::Test::RecordProperty("peak_kb", std::to_string(peak_kb));
    return peak_kb;
  }
  int port() const { return fixture->gateway->port; }

  Backend backend;
  std::unique_ptr<GatewayFixture> fixture;
};

// A sound client that uses the gateway beside the crowd. Refusals are answers, too.
void ExpectSoundClientIsAnswered(const SmallSite& site) {
  constexpr int kTimeoutMs = 1000;
  auto client = site.fixture->gateway->Connect();
  auto sent_at = std::chrono::steady_clock::now();
  int status = SendRequest(*client, RequestOfNewCustomer("quote")).status();
  EXPECT_TRUE(status == 200 || status == 503) << status;
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, std::chrono::milliseconds(kTimeoutMs + 550));
}

std::string WithHeaders(std::string request, const std::string& headers) {
  return request.insert(request.find("Request-Id"), headers);
}

// Sixteen kilobytes of the shortest fields.
std::string ManyShortFields() {
  std::string fields;
  while (fields.size() < 15000) fields += "a:\r\n";
  return fields;
}

// Guards against: heads that hundreds of clients wrote slowly took more than the limit.
TEST(MemoryLimit, HoldsWithManySlowHeads) {
  SmallSite site(RespondsWith(OkResponse("x")));
  ClientCrowd crowd(site.port(), kClients, [](size_t) {
    std::string request = RequestOfNewCustomer("quote");
    return WithHeaders(request, "X-Long: " + std::string(15000, 'h') + "\r\n").substr(0, 15000);
  });
  crowd.Run(std::chrono::milliseconds(1000), false);
  ExpectSoundClientIsAnswered(site);
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

// Guards against: parsed heads of very many short fields took twenty times their size for each request.
TEST(MemoryLimit, HoldsWithManyShortFields) {
  SmallSite site([](const Message&, Connection&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    return OkResponse("x");
  });
  const std::string fields = ManyShortFields();
  ClientCrowd crowd(site.port(), kClients,
                    [&](size_t) { return WithHeaders(RequestOfNewCustomer("quote"), fields); });
  crowd.Run(std::chrono::milliseconds(800), false);
  ExpectSoundClientIsAnswered(site);
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

// Guards against: uploads that stopped half way each held the buffers of several pieces.
TEST(MemoryLimit, HoldsWithUploadsThatStopHalfWay) {
  SmallSite site(RespondsWith(OkResponse("x")));
  ClientCrowd crowd(site.port(), kClients, [](size_t i) {
    std::string request = RequestOfNewCustomer("send-lead");
    size_t length = i % 2 == 0 ? 1000000 : 60000;
    request = WithHeaders(request, "Content-Length: " + std::to_string(length) + "\r\n");
    return request + std::string(length / 2, 'b');
  });
  crowd.Run(std::chrono::milliseconds(1500), false);
  ExpectSoundClientIsAnswered(site);
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

// Guards against: each client that read a long response slowly held the buffers of several pieces.
TEST(MemoryLimit, HoldsWithSlowReadersOfLongResponses) {
  const std::string body = NumberedText(3000000);
  SmallSite site([&](const Message&, Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + ChunkedBody(body, 50000) +
                     "0\r\n\r\n");
    return std::string();
  });
  ClientCrowd crowd(site.port(), kClients, [](size_t i) {
    std::string request = RequestOfNewCustomer(i % 2 == 0 ? "quote" : "send-lead");
    if (i % 2 == 0) return WithHeaders(request, "X-Long: " + std::string(8000, 'h') + "\r\n");
    size_t length = 1000 + 63000 * i / kClients;
    return WithHeaders(request, "Content-Length: " + std::to_string(length) + "\r\n") +
           std::string(length, 'b');
  });
  crowd.Run(std::chrono::milliseconds(2500), false);
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
  // What was taken is answered: the clients read on and get whole responses or refusals.
  crowd.Run(std::chrono::milliseconds(8000), true, [&](const ClientCrowd::Client& client) {
    return client.ended || client.received_bytes > body.size();
  });
  for (const ClientCrowd::Client& client : crowd.clients())
    EXPECT_FALSE(client.received.empty()) << "a request that was taken got no answer";
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

// Guards against: the kinds above together took more than the limit, though each kind had its own.
TEST(MemoryLimit, HoldsWithAllKindsOfSlowClients) {
  const std::string body = NumberedText(3000000), fields = ManyShortFields();
  SmallSite site([&](const Message&, Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\n" + ManyShortFields() + "\r\n" + body);
    return std::string();
  });
  ClientCrowd crowd(site.port(), kClients, [&](size_t i) {
    std::string read = WithHeaders(RequestOfNewCustomer("quote"), fields);
    std::string sent = WithHeaders(RequestOfNewCustomer("send-lead"), "Content-Length: 1000000\r\n");
    switch (i % 3) {
      case 0: return read;
      case 1: return read.substr(0, 15000);
      default: return sent + std::string(500000, 'b');
    }
  });
  crowd.Run(std::chrono::milliseconds(2000), false);
  ExpectSoundClientIsAnswered(site);
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

// Guards against: answers that are whole in the gateway waited there for clients that did not read.
TEST(MemoryLimit, HoldsWithSlowReadersOfBufferedResponses) {
  const std::string body = NumberedText(64000);
  SmallSite site(RespondsWith(OkResponse(body)));
  // The second request of each connection finds the client's socket full.
  ClientCrowd crowd(site.port(), kClients, [](size_t) {
    std::string requests;
    for (int i = 0; i < 100; ++i) requests += RequestOfNewCustomer("quote");
    return requests;
  });
  crowd.Run(std::chrono::milliseconds(3000), false);
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

// One client that sends requests on one connection as fast as the gateway answers them.
class FloodingClient {
 public:
  FloodingClient(int port, std::function<std::string(uint64_t)> request)
      : thread_([this, port, request = std::move(request)] {
          constexpr int kBatch = 100;  // pipelined; less than a connection's buffer
          std::unique_ptr<Connection> connection;
          while (!stopping_) {
            if (connection == nullptr) connection = Connection::ConnectTo(port);
            std::string batch;
            for (int i = 0; i < kBatch; ++i) batch += request(written_++);
            connection->Write(batch);
            bool complete = true;
            for (int i = 0; i < kBatch && complete; ++i) complete = connection->Read().complete;
            if (!complete) connection.reset();
          }
        }) {}
  ~FloodingClient() {
    stopping_ = true;
    thread_.join();
  }
  uint64_t written() const { return written_; }

 private:
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> written_{0};
  std::thread thread_;
};

std::string OfCustomer(std::string request, uint64_t customer) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(customer));
  return request.replace(request.find("00000000b4d65521"), 16, digits);
}

// A second client sends a request every 20 ms and expects each answer in time.
void ExpectTimelyAnswersBeside(const SmallSite& site, std::function<std::string(uint64_t)> flood) {
  constexpr auto kDuration = std::chrono::seconds(5);
  constexpr auto kLatest = std::chrono::milliseconds(550);  // half a second late, and 50 ms
  FloodingClient flooding(site.port(), std::move(flood));
  auto client = site.fixture->gateway->Connect();
  auto end = std::chrono::steady_clock::now() + kDuration;
  std::chrono::steady_clock::duration longest{};
  while (std::chrono::steady_clock::now() < end) {
    auto sent_at = std::chrono::steady_clock::now();
    int status = SendRequest(*client, Request("quote")).status();
    EXPECT_TRUE(status == 200 || status == 429 || status == 503) << status;
    longest = std::max(longest, std::chrono::steady_clock::now() - sent_at);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_LT(longest, kLatest);
  EXPECT_GT(flooding.written(), 1000u);
  ::testing::Test::RecordProperty("requests", std::to_string(flooding.written()));
  ::testing::Test::RecordProperty(
      "longest_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(longest).count()));
}

// Guards against: a client that made up a new customer for each request made the quota's table grow without
// end, until the process was over its limit.
TEST(MemoryLimit, HoldsUnderEverNewCustomers) {
  SmallSite site(RespondsWith(OkResponse("x")));
  const std::string request = Request("quote", 2);
  ExpectTimelyAnswersBeside(site, [&](uint64_t i) { return OfCustomer(request, i); });
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

// Guards against: a client that sent unsound requests at full speed held up all others.
TEST(MemoryLimit, HoldsUnderUnsoundRequestsAtFullSpeed) {
  SmallSite site(RespondsWith(OkResponse("x")));
  ExpectTimelyAnswersBeside(site, [&](uint64_t i) {
    return "GET /made-up-" + std::to_string(i) + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + std::to_string(i) +
           "\r\n\r\n";
  });
  EXPECT_LT(site.PeakKb(), long{kMemoryMb} << 10);
}

}  // namespace
