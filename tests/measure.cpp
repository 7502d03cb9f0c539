// Figures for docs/ROADMAP.md; no test. `measure PROGRAM cpu` prints the processor time that the gateway
// takes for a request, `measure PROGRAM pause` how long its event loop stands still when the configuration
// changes with 20,000 customers and 200 backends known.
#include <algorithm>
#include <cstdio>

#include "gateway_site.h"

namespace {

using namespace rig;  // NOLINT

constexpr int kBackends = 200, kCustomers = 20000, kClients = 8, kChanges = 60;

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

// Each of `requests` is of the next of `customers`.
int Load(const GatewayProcess& gateway, int requests, int customers) {
  std::atomic<int> next{0}, served{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&] {
      auto wire = gateway.Connect();
      for (int i; (i = next++) < requests;) {
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

int Measure(const char* program, const std::string& what) {
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
  int ops = site.gateway->admin_port;
  Load(*site.gateway, kCustomers, kCustomers);
  if (what == "cpu") {
    double before = CpuS(*site.gateway);
    int served = Load(*site.gateway, 2 * kCustomers, kCustomers);
    std::printf("%.2f us a request, %d served\n", (CpuS(*site.gateway) - before) * 1e6 / (2 * kCustomers),
                served);
    return 0;
  }
  using Clock = std::chrono::steady_clock;
  auto ms = [](Clock::duration d) { return std::chrono::duration<double, std::milli>(d).count(); };
  std::atomic<bool> done{false};
  std::mutex mutex;
  double longest = 0;  // of a client's wait since it was last asked for
  std::thread client([&] {
    auto wire = site.gateway->Connect();
    while (!done) {
      auto begun = Clock::now();
      SendRequest(*wire, kReadinessRequest);
      std::lock_guard lock(mutex);
      longest = std::max(longest, ms(Clock::now() - begun));
    }
  });
  auto taken = [&] {
    std::lock_guard lock(mutex);
    return std::exchange(longest, 0);
  };
  json fresh = json::parse(AdminCall(ops, "GET", "/control/config/running").body);
  std::vector<double> puts, quiet, waits;
  for (int i = 1; i <= kChanges; ++i) {
    fresh["settings"]["tiers-of-service"][0]["units-per-s"] = 10 + i % 5;  // every customer's bucket
    fresh["settings"]["request-classes"][0]["aim-s"] = 1 + i % 2 * 0.1;
    taken();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    quiet.push_back(taken());
    auto begun = Clock::now();
    Message answer = AdminCall(ops, "PUT", "/control/config?base=" + std::to_string(i), fresh.dump());
    puts.push_back(ms(Clock::now() - begun));
    waits.push_back(taken());
    if (answer.status() != 200) std::printf("put: %s\n", answer.body.c_str());
  }
  done = true;
  client.join();
  auto line = [](const char* name, const std::vector<double>& values) {
    std::printf("%s: median %.2f ms, longest %.2f ms of %zu\n", name, Median(values),
                *std::max_element(values.begin(), values.end()), values.size());
  };
  line("a put from call to answer", puts);
  line("a client's wait in that time", waits);
  line("a client's wait in 20 ms without one", quiet);
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
