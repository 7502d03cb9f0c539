// Test support: runs the gateway's own clients of discovery and the counter directly, in the test's process.
#ifndef LEMONCHUTE_TESTS_CLIENT_RUNNERS_H_
#define LEMONCHUTE_TESTS_CLIENT_RUNNERS_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway_rig.h"
#include "net/counter_client.h"
#include "net/discovery_client.h"

namespace rig {

inline std::string ListResponse(uint64_t index, const json& entries, bool full) {
  return OkResponse(json{{"index", index}, {"snapshot", full}, {"endpoints", entries}}.dump(1));  // indented
}

// Runs a discovery client against the given agent until the agent stops the event loop.
struct DiscoveryClientRunner {
  explicit DiscoveryClientRunner(Server::Handler agent) : server(std::move(agent)) {}
  void Run() {
    client.Start();
    auto keep_running = boost::asio::make_work_guard(io);
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

// Drives a counter client directly: runs its event loop until `done`.
struct CounterClientRunner {
  CounterClientRunner(int port, double timeout_s)
      : client(io, {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)}, timeout_s, 5,
               [this](lemonchute::policy::CounterResponse response) { responses.push_back(response); }) {}
  void RunUntil(const std::function<bool()>& done) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kEventTimeoutS);
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(done());
  }
  boost::asio::io_context io;
  std::vector<lemonchute::policy::CounterResponse> responses;
  lemonchute::net::CounterClient client;
};

}  // namespace rig

#endif  // LEMONCHUTE_TESTS_CLIENT_RUNNERS_H_
