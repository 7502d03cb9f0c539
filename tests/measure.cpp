// Measures the figures of docs/ROADMAP.md; not a test. `measure PROGRAM cpu` prints the gateway's processor
// time per request, `measure PROGRAM pause` how long its event loop is blocked by a configuration update
// while it knows 20,000 customers and 200 backends.
#include <algorithm>
#include <cstdio>

#include "gateway_site.h"

namespace {

using namespace rig;  // NOLINT

constexpr int kBackends = 200, kCustomers = 20000, kClients = 8, kUpdates = 60;

// The processor time that the process has used, in seconds.
double CpuS(const GatewayProcess& process) {
  std::ifstream in("/proc/" + std::to_string(process.pid()) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  double user = 0, system = 0;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Sends `requests` requests over kClients connections, each for the next of `customers` customers in turn.
// @return how many were answered with status 200.
int SendRequests(const GatewayProcess& gateway, int requests, int customers) {
  std::atomic<int> next_request{0}, served{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&] {
      auto wire = gateway.Connect();
      for (int i; (i = next_request++) < requests;) {
        std::string request = Request("quote");
        char customer[9];
        std::snprintf(customer, sizeof(customer), "%08x", i % customers + 1);
        served += SendRequest(*wire, request.replace(request.find("b4d65521"), 8, customer)).status() == 200;
      }
    });
  }
  for (auto& client : clients) client.join();
  return served;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

int Measure(const char* program, const std::string& figure) {
  Backend backend(RespondsWith(OkResponse("x")));
  json entries = json::array();
  for (int i = 0; i < kBackends; ++i)
    entries.push_back(EndpointEntry(std::string("s").append(std::to_string(i)), backend.port()));
  TempFolder folder;
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  json config = DefaultConfig(0, 0);
  config["settings"]["specifics"]["may-count"] = false;
  config["settings"]["tiers-of-service"][1]["store-size"] = 8;
  GatewayFixture site(entries, config, program, 0, environment);
  int admin_port = site.gateway->admin_port;
  SendRequests(*site.gateway, kCustomers, kCustomers);
  if (figure == "cpu") {
    double cpu_before_s = CpuS(*site.gateway);
    int served = SendRequests(*site.gateway, 2 * kCustomers, kCustomers);
    std::printf("%.2f us of processor time per request, %d served\n",
                (CpuS(*site.gateway) - cpu_before_s) * 1e6 / (2 * kCustomers), served);
    return 0;
  }
  using Clock = std::chrono::steady_clock;
  auto ms = [](Clock::duration d) { return std::chrono::duration<double, std::milli>(d).count(); };
  std::atomic<bool> done{false};
  std::mutex mutex;
  double longest_wait_ms = 0;  // of a client's request since take_longest_wait was last called
  std::thread client([&] {
    auto wire = site.gateway->Connect();
    while (!done) {
      auto start = Clock::now();
      SendRequest(*wire, kReadinessRequest);
      std::lock_guard lock(mutex);
      longest_wait_ms = std::max(longest_wait_ms, ms(Clock::now() - start));
    }
  });
  auto take_longest_wait = [&] {
    std::lock_guard lock(mutex);
    return std::exchange(longest_wait_ms, 0);
  };
  json updated = json::parse(AdminCall(admin_port, "GET", "/control/config/running").body);
  std::vector<double> update_ms, idle_wait_ms, update_wait_ms;
  for (int i = 1; i <= kUpdates; ++i) {
    updated["settings"]["tiers-of-service"][0]["units-per-s"] = 10 + i % 5;  // changes every bucket
    updated["settings"]["request-classes"][0]["aim-s"] = 1 + i % 2 * 0.1;
    take_longest_wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    idle_wait_ms.push_back(take_longest_wait());
    auto start = Clock::now();
    Message answer =
        AdminCall(admin_port, "PUT", "/control/config?base=" + std::to_string(i), updated.dump());
    update_ms.push_back(ms(Clock::now() - start));
    update_wait_ms.push_back(take_longest_wait());
    if (answer.status() != 200) std::printf("configuration update failed: %s\n", answer.body.c_str());
  }
  done = true;
  client.join();
  auto print_summary = [](const char* name, const std::vector<double>& values) {
    std::printf("%s: median %.2f ms, longest %.2f ms of %zu\n", name, Median(values),
                *std::max_element(values.begin(), values.end()), values.size());
  };
  print_summary("configuration update", update_ms);
  print_summary("client request during an update", update_wait_ms);
  print_summary("client request during 20 ms without an update", idle_wait_ms);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: measure PROGRAM cpu|pause\n");
    return 2;
  }
  return Measure(argv[1], argv[2]);
}
