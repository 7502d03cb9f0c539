// Soaks of a small fleet: planned restarts with the kill at its earliest, series of kills, crowds of slow
// clients, while sound clients keep using their connections. SOAK_SEEDS=FROM-TO plays others than the seeds
// of CI.
#include <cstdio>

#include "soak_site.h"

namespace {

using namespace rig;  // NOLINT

constexpr int kGateways = 3, kBackends = 8, kClientsPerGateway = 6;
constexpr size_t kCrowd = 200;
constexpr auto kLongestDeadline = std::chrono::milliseconds(1200);
constexpr auto kSeriesDelay = std::chrono::milliseconds(100);

json SoakConfig(uint32_t seed, const Discovery& discovery, const Counter& counter) {
  constexpr int kMemoryMb[] = {32, 48, 64};
  json config = DefaultConfig(discovery.port(), counter.port());
  config["limits"]["memory_mb"] = kMemoryMb[seed % 3];
  for (auto& request_class : config["settings"]["request-classes"])
    request_class["hard-limit-s"] = std::chrono::duration<double>(kLongestDeadline).count();
  return config;
}

// Slow heads, uploads that stop, and readers that pause.
std::string CrowdText(size_t i) {
  std::string request = RequestOfNewCustomer(i % 3 == 0 ? "send-lead" : "quote");
  std::string fields;
  while (fields.size() < 12000) fields += "a:\r\n";
  if (i % 3 == 0)
    return request.insert(request.size() - 2, "Content-Length: 400000\r\n") + std::string(200000, 'b');
  request.insert(request.find("Request-Id"), fields);
  return i % 3 == 1 ? request : request.substr(0, 12000);
}

// The signals of one seed: each gateway in turn gets a planned restart or a series of kills.
void SendSignals(uint32_t seed, std::vector<std::unique_ptr<SoakGateway>>& gateways) {
  std::mt19937 random(seed);
  for (auto& gateway : gateways) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300 + random() % 700));
    if (random() % 2 == 0) {
      gateway->Restart(kLongestDeadline);
      continue;
    }
    for (int i = 0; i < 3; ++i) {
      gateway->KillAndStart();
      std::this_thread::sleep_for(kSeriesDelay);
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
}

void Soak(uint32_t seed) {
  SoakRecord record;
  Counter counter([](const std::string&, double) { return BulkString("0"); });
  Discovery discovery;
  std::vector<std::unique_ptr<SoakBackend>> backends;
  json entries = json::array();
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<SoakBackend>(seed * 100 + static_cast<uint32_t>(i), &record));
    entries.push_back(EndpointEntry("s" + std::to_string(i), backends.back()->port()));
  }
  discovery.SetList(entries);
  std::vector<std::unique_ptr<SoakGateway>> gateways;
  for (int i = 0; i < kGateways; ++i)
    gateways.push_back(std::make_unique<SoakGateway>(SoakConfig(seed, discovery, counter), &record));
  std::vector<std::unique_ptr<SoakClient>> clients;
  for (int i = 0; i < kGateways * kClientsPerGateway; ++i)
    clients.push_back(std::make_unique<SoakClient>(
        seed * 1000 + static_cast<uint32_t>(i), gateways[static_cast<size_t>(i % kGateways)].get(), &record));
  std::thread crowd;
  if (seed % 2 == 0) {
    crowd = std::thread([port = gateways.back()->port()] {
      ClientCrowd(port, kCrowd, CrowdText).Run(std::chrono::milliseconds(2500), /*read=*/false);
    });
  }
  SendSignals(seed, gateways);
  if (crowd.joinable()) crowd.join();
  clients.clear();
  gateways.clear();
  backends.clear();
  std::printf("seed %u: %s\n", seed, record.Summary().c_str());
  for (const std::string& rule : record.breaks()) ADD_FAILURE() << "seed " << seed << ": " << rule;
}

// Guards against: a request lost, run twice or answered late while processes are restarted and killed, and a
// process that ends or goes over its memory.
TEST(Soak, SoundClientsLoseNothingAcrossRestartsKillsAndCrowds) {
  unsigned from = 1, to = 4;
  if (const char* seeds = std::getenv("SOAK_SEEDS")) std::sscanf(seeds, "%u-%u", &from, &to);
  for (unsigned seed = from; seed <= to; ++seed) Soak(seed);
}

}  // namespace
