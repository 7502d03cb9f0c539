// Test fixtures: complete gateways with working peers, and calls to the admin endpoint.
#ifndef LEMONCHUTE_TESTS_GATEWAY_SITE_H_
#define LEMONCHUTE_TESTS_GATEWAY_SITE_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <sstream>

#include "gateway_rig.h"

namespace rig {

// A shared counter service: replies to each call with `handler(name, amount)`, or not at all if that is
// empty.
class Counter {
 public:
  using Handler = std::function<std::string(const std::string&, double)>;
  explicit Counter(Handler handler)
      : server_([this, handler = std::move(handler)](Connection& connection) {
          for (;;) {
            std::vector<std::string> arguments;
            std::string first;
            if (!ReadLine(connection, &first)) return;
            for (int i = 0; i < std::atoi(first.c_str() + 1); ++i) {
              std::string size, argument;
              if (!ReadLine(connection, &size) || !ReadLine(connection, &argument)) return;
              EXPECT_EQ(static_cast<size_t>(std::atoi(size.c_str() + 1)), argument.size());
              arguments.push_back(argument);
            }
            EXPECT_EQ(arguments.size(), 4u);
            EXPECT_LE(arguments[1].size(), 64u);
            calls.Notify();
            connection.Write(handler(arguments[1], std::atof(arguments[2].c_str())));
          }
        }) {}
  int port() const { return server_.port(); }
  int connections() const { return server_.connections; }
  void Stop() { server_.Stop(); }
  Event calls;

 private:
  static bool ReadLine(Connection& connection, std::string* line) {
    size_t end;
    while ((end = connection.unread.find("\r\n")) == std::string::npos) {
      if (!connection.ReadMore()) return false;
    }
    *line = connection.unread.substr(0, end);
    connection.unread.erase(0, end + 2);
    return true;
  }
  Server server_;
};

inline std::string BulkString(const std::string& text) {
  return std::string("$").append(std::to_string(text.size())).append("\r\n" + text + "\r\n");
}

// A gateway with working peers and the given backends.
struct GatewayFixture {
  explicit GatewayFixture(const json& entries, json config = {}, const char* program = LEMONCHUTE_GATEWAY,
                          rlim_t descriptors = 0, const GatewayProcess::Environment& environment = {}) {
    discovery.SetList(entries);
    if (!config.is_object()) config = DefaultConfig(0, 0);
    config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
    config["counter"] = "127.0.0.1:" + std::to_string(counter.port());
    gateway = std::make_unique<GatewayProcess>(config, program, descriptors, environment);
    EXPECT_NE(gateway->port, 0) << gateway->listen_line;
    EXPECT_TRUE(discovery.AwaitListApplied());
  }
  Counter counter{[](const std::string&, double) { return BulkString("0"); }};
  Discovery discovery;
  std::unique_ptr<GatewayProcess> gateway;
};

inline Backend::Handler RespondsWith(const std::string& text) {
  return [text](const Message&, Connection&) { return text; };
}
// Sends no response until the gateway closes the connection.
inline Backend::Handler HangsUntilClosed(Event* connection_closed) {
  return [connection_closed](const Message&, Connection& connection) {
    if (connection.WaitForClose()) connection_closed->Notify();
    return std::string();
  };
}
// One call of the admin endpoint.
inline Message AdminCall(int port, const std::string& method, const std::string& path,
                         const std::string& body = "") {
  auto caller = Connection::ConnectTo(port);
  return SendRequest(*caller, method + " " + path + " HTTP/1.1\r\nHost: ops\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body);
}
inline const std::string kReadinessRequest = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
inline const GatewayProcess::Environment kAdminEnvironment = {{"LB_OPS", "127.0.0.1:0"}};

// The value of a metric at the admin endpoint; -1 if it is not shown.
inline long ReadMetric(int port, const std::string& name) {
  std::istringstream lines(AdminCall(port, "GET", "/control/counters").body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(name + "=", 0) == 0) return std::atol(line.c_str() + name.size() + 1);
  }
  return -1;
}

// A request of a customer that was not used before, so that its quota is unused.
inline std::string RequestOfNewCustomer(const std::string& class_name) {
  static int last = 0;
  std::string request = Request(class_name), customer = std::to_string(10000000 + ++last);
  return request.replace(request.find("b4d65521"), 8, customer);
}

inline void AwaitMetric(int port, const std::string& name, long value) {
  for (int i = 0; i < 3000 && ReadMetric(port, name) != value; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(ReadMetric(port, name), value);
}

// Text in which every position is distinguishable, so that lost or misplaced bytes are detected.
inline std::string NumberedText(size_t size) {
  std::string text;
  for (size_t i = 0; text.size() < size; ++i) text += std::to_string(i) + ",";
  return text.substr(0, size);
}

// `body` in chunks of at most `max_chunk` bytes, with chunk extensions and without the last chunk.
inline std::string ChunkedBody(const std::string& body, size_t max_chunk) {
  std::string text;
  char size[40];
  for (size_t offset = 0; offset < body.size(); offset += max_chunk) {
    std::string piece = body.substr(offset, max_chunk);
    std::snprintf(size, sizeof(size), "%zX;note=\"a;b\"\r\n", piece.size());
    text += size + piece + "\r\n";
  }
  return text;
}

// Reads a chunked body up to its last chunk, or returns a text that says what is missing.
inline std::string ReadChunkedBody(Connection& connection) {
  std::string body;
  for (;;) {
    std::string line = connection.ReadUntil("\r\n");
    size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size == 0) return line == "0\r\n" ? body : "no last chunk";
    if (!connection.ReadUntil(size + 2)) return "cut";
    body += connection.unread.substr(0, size);
    connection.unread.erase(0, size + 2);
  }
}

// The platform's side of an upgrade: starts processes that share a listening socket for clients and a folder.
struct UpgradeFixture {
  UpgradeFixture() { discovery.SetList(json::array({EndpointEntry("s1", backend.port())})); }
  ~UpgradeFixture() { close(socket); }
  std::unique_ptr<GatewayProcess> Start() {
    return std::make_unique<GatewayProcess>(
        DefaultConfig(discovery.port(), counter.port()), LEMONCHUTE_GATEWAY, 0,
        GatewayProcess::Environment{{"LB_OPS", "127.0.0.1:0"}, {"TMPDIR", folder.path()}}, socket);
  }
  static void AwaitReady(const GatewayProcess& process) {
    for (int i = 0; i < 3000 && AdminCall(process.admin_port, "GET", "/control/ready").status() != 200; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(AdminCall(process.admin_port, "GET", "/control/ready").status(), 200);
  }
  Event request_held, release;
  Backend backend{[this](const Message& request, Connection&) {
    if (request.body == "wait") request_held.Notify(), release.Wait();
    return OkResponse("x");
  }};
  Counter counter{[](const std::string&, double) { return BulkString("0"); }};
  Discovery discovery;
  TempFolder folder;
  const int socket = ListenOnLoopback(/*backlog=*/256).fd;
};

}  // namespace rig

#endif  // LEMONCHUTE_TESTS_GATEWAY_SITE_H_
