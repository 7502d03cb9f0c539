// The lemonchute program: starts one gateway and handles its signals. With --check FILE it only prints the
// faults and warnings of that configuration.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <fstream>
#include <functional>
#include <string>

#include "net/gateway.h"
#include "net/heap_usage.h"

namespace lemonchute {
namespace {

constexpr int kExitFailure = 1, kExitUsage = 2;

void PrintFindings(const config::Findings& findings) {
  for (const config::Fault& fault : findings.faults)
    std::printf("fault: %s\n", config::FormatFaults({fault}).c_str());
  for (const config::Fault& warning : findings.warnings)
    std::printf("warning: %s\n", config::FormatFaults({warning}).c_str());
  std::printf("%zu faults, %zu warnings\n", findings.faults.size(), findings.warnings.size());
}

// Checks a configuration file as strictly as one that is put by an operator. Returns the exit status.
int CheckFile(const char* path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    std::fprintf(stderr, "lemonchute: cannot read %s\n", path);
    return kExitUsage;
  }
  // Reads one byte more than is allowed, to detect a file that is too long.
  std::string text(config::kMaxDocumentBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(in.gcount()));
  config::Document document = config::ReadDocument(text);
  config::Findings findings;
  if (document.value.is_object()) findings = config::CheckConfig(document.value, config::Author::kOperator);
  findings.faults.insert(findings.faults.begin(), document.faults.begin(), document.faults.end());
  PrintFindings(findings);
  return findings.faults.empty() ? 0 : kExitFailure;
}

void PrintAddresses(const net::Gateway& gateway, const net::Config& config) {
  if (auto admin = gateway.admin_local())
    std::fprintf(stderr, "operators at %s:%d\n", admin->address().to_string().c_str(), admin->port());
  auto local = gateway.local();
  std::fprintf(stderr, "%s listens on %s:%d\n", config.name.c_str(), local.address().to_string().c_str(),
               local.port());
}

// Runs a gateway until SIGTERM or SIGINT has shut it down. Throws if it can't start.
void RunGateway() {
  const char* path = std::getenv("LB_CONFIG");
  if (path == nullptr) throw policy::ProtocolError("LB_CONFIG must name the configuration file");
  net::LimitRetainedHeap();
  boost::asio::io_context io(1);
  // Registered before the configuration is read, so that a signal during startup is handled by the event loop
  // instead of ending the process.
  boost::asio::signal_set shutdown(io, SIGTERM, SIGINT);
  boost::asio::signal_set reload(io, SIGHUP);
  const char* folder = std::getenv("TMPDIR");
  net::ConfigurationManager config_manager(io, path, folder == nullptr ? "" : folder);
  net::Config config = net::ParseConfig(config_manager.LoadInitial());
  net::AddEnvironment(&config);
  net::Gateway gateway(io, config, &config_manager);
  shutdown.async_wait([&](boost::system::error_code error, int) {
    if (error) return;
    std::fprintf(stderr, "closing\n");
    gateway.Shutdown();
  });
  // The platform replaces the configuration file, then sends SIGHUP.
  std::function<void()> await_reload = [&] {
    reload.async_wait([&](boost::system::error_code error, int) {
      if (error) return;
      config_manager.OnReloadSignal();
      await_reload();
    });
  };
  await_reload();
  PrintAddresses(gateway, config);
  io.run();
}

}  // namespace
}  // namespace lemonchute

int main(int argc, char** argv) {
  if (argc == 3 && std::strcmp(argv[1], "--check") == 0) return lemonchute::CheckFile(argv[2]);
  if (argc != 1) {
    std::fprintf(stderr, "usage: lemonchute | lemonchute --check FILE\n");
    return lemonchute::kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    lemonchute::RunGateway();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "lemonchute: %s\n", error.what());
    return lemonchute::kExitFailure;
  }
  return 0;
}
