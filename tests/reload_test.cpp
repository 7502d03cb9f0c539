// Tests for configuration changes of running gateways: the file and SIGHUP, the admin API, the revision log,
// and two processes of one gateway.
#include <fcntl.h>

#include <random>

#include "gateway_site.h"
#include "net/config.h"
#include "net/configuration_manager.h"

namespace {

using namespace rig;  // NOLINT
using lemonchute::net::ConfigurationManager;
using lemonchute::net::RevisionLog;

json ValidConfig(int max_attempts = 6) {
  json config = DefaultConfig(1, 1);
  config["listen"] = "127.0.0.1:5000";
  config["settings"]["tiers-of-service"][1]["store-size"] = 8;  // holds the largest request
  config["settings"]["limits"]["try-limit"] = max_attempts;
  return config;
}

void ReplaceFile(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
}

// The contents of all files in a folder, by file name.
std::map<std::string, std::string> ReadFolder(const std::string& folder) {
  std::map<std::string, std::string> all;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream in(entry.path());
    all[entry.path().filename()] = std::string(std::istreambuf_iterator<char>(in), {});
  }
  return all;
}

// A ConfigurationManager without a gateway: a commit only stores the document in `running_config`.
struct ManagerFixture {
  explicit ManagerFixture(const TempFolder& folder, const json& file = ValidConfig(),
                          RevisionLog::FailureInjector failure_injector = {})
      : path(folder.path() + "/file"), manager(io, path, folder.path(), std::move(failure_injector)) {
    if (!file.is_null()) ReplaceFile(path, file.dump());
    running_config = manager.LoadInitial();
    manager.Start([this](const json& document) -> std::function<void()> {
      if (fail_prepare) throw lemonchute::policy::ProtocolError("no room");
      ++prepare_count;
      return [this, document] { running_config = document; };
    });
  }
  lemonchute::net::AdminResponse Call(const std::string& method, const std::string& target,
                                      const json& body = nullptr) {
    auto response = manager.HandleAdminCall(
        {method, "/control/config" + target, body.is_null() ? "" : body.dump(), true});
    return response ? *response : lemonchute::net::AdminResponse{404, "", ""};
  }
  json Summary() { return json::parse(Call("GET", "").body); }
  long Metric(const std::string& name) {
    long found = -1;
    manager.AppendMetrics([&](const std::string& metric, uint64_t value) {
      if (metric == name) found = static_cast<long>(value);
    });
    return found;
  }
  int MaxAttempts() const { return running_config["settings"]["limits"]["try-limit"].get<int>(); }
  void RunUntil(const std::function<bool()>& done) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kEventTimeoutS);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(done());
  }
  boost::asio::io_context io;
  std::string path;
  ConfigurationManager manager;
  json running_config;
  int prepare_count = 0;
  bool fail_prepare = false;
};

std::string BaseQuery(const json& summary, const std::string& parameters = "") {
  return "?base=" + summary["running"].dump() + parameters;
}

TEST(ConfigurationManager, AppliesConfirmsExpiresAndRollsBackUpdates) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  EXPECT_EQ(fixture.Call("PUT", BaseQuery(fixture.Summary()), ValidConfig(5)).status, 200);
  EXPECT_EQ(fixture.MaxAttempts(), 5);
  EXPECT_EQ(fixture.Metric("config_revision"), 2);
  EXPECT_EQ(fixture.Metric("config_file_differs"), 1);
  EXPECT_EQ(fixture.Call("PUT", "/rollback").status, 200);
  EXPECT_EQ(fixture.MaxAttempts(), 6);
  EXPECT_EQ(fixture.Metric("config_file_differs"), 0);

  EXPECT_EQ(fixture.Call("PUT", BaseQuery(fixture.Summary(), "&confirm_s=0.05"), ValidConfig(4)).status, 200);
  EXPECT_EQ(fixture.MaxAttempts(), 4);
  EXPECT_EQ(fixture.Metric("config_on_trial"), 1);
  fixture.RunUntil([&] { return fixture.MaxAttempts() == 6; });
  EXPECT_EQ(fixture.Metric("config_returned"), 1);
  EXPECT_EQ(fixture.Metric("config_on_trial"), 0);

  EXPECT_EQ(fixture.Call("PUT", BaseQuery(fixture.Summary(), "&confirm_s=600"), ValidConfig(3)).status, 200);
  EXPECT_EQ(fixture.Call("PUT", "/confirm?revision=1").status, 409);
  EXPECT_EQ(fixture.Call("PUT", "/confirm?revision=" + fixture.Summary()["running"].dump()).status, 200);
  EXPECT_FALSE(fixture.Summary().contains("trial"));
  EXPECT_EQ(fixture.Call("PUT", "/rollback?to=2").status, 200);
  EXPECT_EQ(fixture.MaxAttempts(), 5);
  EXPECT_EQ(fixture.Metric("config_put"), 3);
  EXPECT_EQ(fixture.Metric("config_rolled_back"), 2);
  EXPECT_EQ(fixture.Metric("config_applied"), 0) << "no SIGHUP";
}

TEST(ConfigurationManager, RejectionsGiveTheirReasonAndChangeNothing) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  json invalid = ValidConfig(5);
  invalid["settings"]["limits"].erase("cancel");
  json other_address = ValidConfig(5);
  other_address["listen"] = "127.0.0.1:5001";
  const auto before = ReadFolder(folder.path());
  const std::vector<std::tuple<std::string, std::string, json, int, std::string>> calls = {
      {"PUT", "", ValidConfig(5), 400, "base"},
      {"PUT", "?base=x", ValidConfig(5), 400, "base"},
      {"PUT", "?base=1&confirm_s=0", ValidConfig(5), 400, "confirm_s"},
      {"PUT", "?base=1&confirm_s=nan", ValidConfig(5), 400, "confirm_s"},
      {"PUT", "?base=1&confirm_s=1e9", ValidConfig(5), 400, "confirm_s"},
      {"PUT", "?base=7", ValidConfig(5), 409, "revision 7 does not run"},
      {"PUT", "?base=1", invalid, 422, "/settings/limits/cancel"},
      {"PUT", "?base=1", other_address, 422, "needs a restart: /listen"},
      {"PUT", "/check", invalid, 422, "/settings/limits/cancel"},
      {"PUT", "/confirm", nullptr, 400, "revision"},
      {"PUT", "/confirm?revision=1", nullptr, 409, "no revision is on trial"},
      {"PUT", "/rollback", nullptr, 404, "no revision before"},
      {"PUT", "/rollback?to=9", nullptr, 404, "revision 9 is not kept"},
      {"PUT", "/rollback?to=-1", nullptr, 400, "revisions"},
      {"PUT", "/rollback?to=1", nullptr, 409, "runs already"},
      {"GET", "/revisions/9", nullptr, 404, "not kept"},
      {"GET", "/revisions/x", nullptr, 404, "not kept"},
      {"DELETE", "", nullptr, 405, "use"},
      {"GET", "/check", nullptr, 405, "use"},
      {"GET", "/nothing", nullptr, 404, ""}};
  for (const auto& [method, target, body, status, expected_text] : calls) {
    lemonchute::net::AdminResponse response = fixture.Call(method, target, body);
    EXPECT_EQ(response.status, status) << method << target << response.body;
    EXPECT_NE(response.body.find(expected_text), std::string::npos) << target << response.body;
    EXPECT_EQ(fixture.MaxAttempts(), 6) << target;
  }
  EXPECT_EQ(fixture.prepare_count, 0);
  EXPECT_EQ(fixture.Summary()["running"], 1);
  EXPECT_EQ(ReadFolder(folder.path()), before);
  EXPECT_EQ(fixture.Summary()["turned_down"].size(), 7u) << "updates that were parsed";
}

TEST(ConfigurationManager, CheckChangesNothing) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  const auto before = ReadFolder(folder.path());
  lemonchute::net::AdminResponse response = fixture.Call("POST", "/check", ValidConfig(5));
  EXPECT_EQ(response.status, 200) << response.body;
  EXPECT_EQ(
      json::parse(response.body)["changes"],
      json::parse(
          R"([{"at": "/settings/limits/try-limit", "what": "changed", "takes": "live for new requests"}])"));
  EXPECT_EQ(fixture.MaxAttempts(), 6);
  EXPECT_EQ(fixture.prepare_count, 1) << "a check prepares the configuration";
  EXPECT_EQ(ReadFolder(folder.path()), before);
  fixture.fail_prepare = true;
  EXPECT_EQ(fixture.Call("POST", "/check", ValidConfig(5)).status, 422);
}

// Whichever step of an update fails, the state and the files are unchanged, and the next update succeeds.
TEST(ConfigurationManager, FailedUpdateLeavesStateAndFilesUnchanged) {
  for (auto step : {RevisionLog::Step::kOpen, RevisionLog::Step::kWrite, RevisionLog::Step::kSync,
                    RevisionLog::Step::kRename}) {
    for (int error : {ENOSPC, EROFS, EIO}) {
      TempFolder folder;
      bool injecting = false;
      ManagerFixture fixture(folder, ValidConfig(), [&](RevisionLog::Step current) {
        return injecting && current == step ? error : 0;
      });
      const auto before = ReadFolder(folder.path());
      const json summary = fixture.Summary();
      injecting = true;
      lemonchute::net::AdminResponse response = fixture.Call("PUT", "?base=1", ValidConfig(5));
      EXPECT_EQ(response.status, 507);
      EXPECT_NE(response.body.find(std::strerror(error)), std::string::npos) << response.body;
      EXPECT_EQ(fixture.MaxAttempts(), 6);
      EXPECT_EQ(ReadFolder(folder.path()), before);
      json after = fixture.Summary();
      after["turned_down"] = summary["turned_down"];
      EXPECT_EQ(after, summary);
      injecting = false;
      EXPECT_EQ(fixture.Call("PUT", "?base=1", ValidConfig(5)).status, 200);
      EXPECT_EQ(fixture.MaxAttempts(), 5);
    }
  }
  TempFolder folder;
  ManagerFixture fixture(folder);
  const auto before = ReadFolder(folder.path());
  fixture.fail_prepare = true;  // the preparation fails
  EXPECT_EQ(fixture.Call("PUT", "?base=1", ValidConfig(5)).status, 422);
  EXPECT_EQ(fixture.Call("PUT", "?base=1&confirm_s=1", ValidConfig(5)).status, 422);
  EXPECT_EQ(ReadFolder(folder.path()), before);
  EXPECT_EQ(fixture.MaxAttempts(), 6);
  EXPECT_EQ(fixture.io.poll(), 0u) << "no timer was started";
  ReplaceFile(fixture.path, ValidConfig(5).dump());
  fixture.manager.OnReloadSignal();
  EXPECT_EQ(fixture.Metric("config_rejected"), 1);
  EXPECT_EQ(fixture.MaxAttempts(), 6);
}

// A file from the platform is applied even if the revision log can't be written; the write is retried until
// it succeeds.
TEST(ConfigurationManager, SighupIsAppliedOnAFullDisk) {
  TempFolder folder;
  bool injecting = false;
  ManagerFixture fixture(folder, ValidConfig(), [&](RevisionLog::Step step) {
    return injecting && step == RevisionLog::Step::kWrite ? ENOSPC : 0;
  });
  injecting = true;
  ReplaceFile(fixture.path, ValidConfig(5).dump());
  fixture.manager.OnReloadSignal();
  EXPECT_EQ(fixture.MaxAttempts(), 5);
  EXPECT_EQ(fixture.Metric("config_applied"), 1);
  EXPECT_EQ(fixture.Metric("config_unkept"), 1);
  EXPECT_EQ(fixture.Summary()["kept"], false);
  injecting = false;
  fixture.RunUntil([&] {
    fixture.manager.PollRevisionLog();
    return fixture.Summary()["kept"] == true;
  });
  ManagerFixture next(folder, nullptr);
  EXPECT_EQ(next.MaxAttempts(), 5);
}

TEST(ConfigurationManager, SighupEndsATrialAndOutdatesTheBaseOfAPut) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  EXPECT_EQ(fixture.Call("PUT", "?base=1&confirm_s=0.05", ValidConfig(5)).status, 200);
  ReplaceFile(fixture.path, ValidConfig(4).dump());
  fixture.manager.OnReloadSignal();
  EXPECT_EQ(fixture.MaxAttempts(), 4);
  EXPECT_FALSE(fixture.Summary().contains("trial"));
  EXPECT_EQ(fixture.Call("PUT", "?base=2", ValidConfig(3)).status, 409) << "its base revision no longer runs";
  fixture.io.poll();  // runs the handler of the cancelled timer
  fixture.io.restart();
  EXPECT_EQ(fixture.io.run_one_for(std::chrono::seconds(kEventTimeoutS)), 0u)
      << "the trial's timer is cancelled";
  fixture.manager.OnReloadSignal();
  fixture.manager.OnReloadSignal();
  EXPECT_EQ(fixture.Metric("config_applied"), 3);
  EXPECT_EQ(fixture.Summary()["running"], 3) << "an unchanged file creates no revision";
}

// If the rollback of an expired trial fails, the running revision becomes permanent and the rollback is not
// retried.
TEST(ConfigurationManager, FailedRollbackEndsTheTrialAndKeepsTheRevision) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  EXPECT_EQ(fixture.Call("PUT", "?base=1&confirm_s=0.02", ValidConfig(5)).status, 200);
  fixture.fail_prepare = true;
  fixture.RunUntil([&] { return !fixture.Summary().contains("trial"); });
  EXPECT_EQ(fixture.MaxAttempts(), 5);
  EXPECT_EQ(fixture.Metric("config_returned"), 0);
  EXPECT_EQ(fixture.Summary()["turned_down"][0]["from"], "return");
}

TEST(ConfigurationManager, StartsWithTheLastGoodRevisionIfTheFileIsBroken) {
  for (const std::string& broken : {std::string(), std::string("{\"name\": "),
                                    ValidConfig().dump().substr(0, 400), json{{"name", "x"}}.dump()}) {
    TempFolder folder;
    { ManagerFixture fixture(folder); }
    ReplaceFile(folder.path() + "/file", broken);
    ManagerFixture next(folder, nullptr);
    EXPECT_EQ(next.MaxAttempts(), 6);
    EXPECT_EQ(next.running_config["known"], ValidConfig()["known"])
        << "the initial endpoints of the last valid file";
    EXPECT_EQ(next.Metric("config_started_by_record"), 1);
    EXPECT_EQ(next.Summary()["file"], "broken");
    EXPECT_TRUE(next.Summary().contains("file_fault"));
    ReplaceFile(next.path, ValidConfig(5).dump());
    next.manager.OnReloadSignal();
    EXPECT_EQ(next.MaxAttempts(), 5);
    EXPECT_EQ(next.Metric("config_started_by_record"), 0);
  }
}

TEST(ConfigurationManager, DoesNotStartWithoutAValidFileOrRevisionLog) {
  for (const char* record : {"", "{}", "not a record\n"}) {
    TempFolder folder;
    ReplaceFile(folder.path() + "/lb-config.json", record);
    EXPECT_THROW(ManagerFixture(folder, nullptr), lemonchute::policy::ProtocolError);
    ManagerFixture fixture(folder);
    EXPECT_EQ(fixture.Summary()["running"], 1) << "a valid file is enough";
  }
}

// Two processes of one gateway converge on the same revision whichever of them is updated, and a trial
// expires in time whichever of them is still alive.
TEST(ConfigurationManager, TwoProcessesConvergeOnTheSameRevision) {
  TempFolder folder;
  auto old = std::make_unique<ManagerFixture>(folder);
  EXPECT_EQ(old->Call("PUT", "?base=1&confirm_s=3600", ValidConfig(5)).status, 200);
  ManagerFixture next(folder, nullptr);
  EXPECT_EQ(next.MaxAttempts(), 5) << "a new process keeps the operator's update";
  EXPECT_TRUE(next.Summary().contains("trial"));
  EXPECT_EQ(next.Call("PUT", "/confirm?revision=2").status, 200);
  old->manager.PollRevisionLog();
  EXPECT_FALSE(old->Summary().contains("trial"));
  EXPECT_EQ(old->Call("PUT", "?base=2", ValidConfig(4)).status, 200);
  next.manager.PollRevisionLog();
  EXPECT_EQ(next.MaxAttempts(), 4);
  EXPECT_EQ(next.Metric("config_followed"), 1);
  // Both are updated before either polls the revision log.
  EXPECT_EQ(old->Call("PUT", "?base=3", ValidConfig(3)).status, 200);
  EXPECT_EQ(next.Call("PUT", "?base=3", ValidConfig(2)).status, 409) << "the other process was updated first";
  EXPECT_EQ(next.MaxAttempts(), 3);
  ReplaceFile(next.path, ValidConfig(7).dump());
  next.manager.OnReloadSignal();
  old->manager.OnReloadSignal();
  EXPECT_EQ(old->Summary()["history"], next.Summary()["history"]);
  EXPECT_EQ(old->MaxAttempts(), 7);
  // The process that started the trial exits; the other one rolls back in time.
  EXPECT_EQ(old->Call("PUT", BaseQuery(old->Summary(), "&confirm_s=0.05"), ValidConfig(8)).status, 200);
  next.manager.PollRevisionLog();
  old.reset();
  EXPECT_EQ(next.MaxAttempts(), 8);
  next.RunUntil([&] { return next.MaxAttempts() == 7; });
}

TEST(ConfigurationManager, PutsGet503WhileAnotherProcessHoldsTheLock) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  RevisionLog other(folder.path());
  std::optional<RevisionLog::Lock> lock;
  lock.emplace(&other);
  ASSERT_TRUE(lock->held());
  EXPECT_EQ(fixture.Call("PUT", "?base=1", ValidConfig(5)).status, 503);
  ReplaceFile(fixture.path, ValidConfig(4).dump());
  fixture.manager.OnReloadSignal();
  EXPECT_EQ(fixture.MaxAttempts(), 6) << "the reload is retried later";
  fixture.RunUntil([&] { return fixture.MaxAttempts() == 4; });  // a stopped process is not waited for
  lock.reset();
  EXPECT_EQ(fixture.Call("PUT", BaseQuery(fixture.Summary()), ValidConfig(5)).status, 200);
}

TEST(ConfigurationManager, AfterSigtermOnlyTheFileChangesTheConfiguration) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  fixture.manager.StopUpdates();
  EXPECT_EQ(fixture.Call("PUT", "?base=1", ValidConfig(5)).status, 409);
  ReplaceFile(fixture.path, ValidConfig(4).dump());
  fixture.manager.OnReloadSignal();
  EXPECT_EQ(fixture.MaxAttempts(), 4) << "SIGHUP is still handled";
}

// A file beyond the size limit is rejected without being read.
TEST(ConfigurationManager, RejectsAFileOfAHundredMegabytesAtOnce) {
  TempFolder folder;
  ManagerFixture fixture(folder);
  int file = open((fixture.path + ".big").c_str(), O_WRONLY | O_CREAT, 0600);
  ASSERT_EQ(ftruncate(file, 100 << 20), 0);
  close(file);
  std::filesystem::rename(fixture.path + ".big", fixture.path);
  auto before = std::chrono::steady_clock::now();
  fixture.manager.OnReloadSignal();
  EXPECT_LT(std::chrono::steady_clock::now() - before, std::chrono::seconds(1));
  EXPECT_EQ(fixture.Metric("config_rejected"), 1);
}

// Helpers for tests that run the gateway program.
json StartableConfig(int max_attempts = 6) {
  json config = ValidConfig(max_attempts);
  config["listen"] = "127.0.0.1:0";
  return config;
}
json ConfigFor(const GatewayFixture& site, int max_attempts = 6) {
  json config = StartableConfig(max_attempts);
  config["discovery"] = "127.0.0.1:" + std::to_string(site.discovery.port());
  config["counter"] = "127.0.0.1:" + std::to_string(site.counter.port());
  return config;
}
json GetConfig(int admin_port, const std::string& target = "") {
  return json::parse(AdminCall(admin_port, "GET", "/control/config" + target).body);
}
Message PutConfig(int admin_port, const json& config, const std::string& parameters = "") {
  std::string base_revision = GetConfig(admin_port)["running"].dump();
  return AdminCall(admin_port, "PUT", "/control/config?base=" + base_revision + parameters, config.dump());
}

TEST(AdminEndpoint, LimitsBodiesAndRejectsMalformedRequests) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), StartableConfig(),
                      LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  int admin_port = site.gateway->admin_port;
  auto status = [&](const std::string& text) {
    auto caller = Connection::ConnectTo(admin_port);
    return SendRequest(*caller, text).status();
  };
  const std::string put = "PUT /control/config?base=1 HTTP/1.1\r\nHost: ops\r\n";
  EXPECT_EQ(status(put + "\r\n"), 411);
  EXPECT_EQ(status(put + "Content-Length: 131073\r\n\r\n"), 413);
  EXPECT_EQ(status(put + "Transfer-Encoding: chunked\r\n\r\nFFFFFFF\r\n"), 413);
  EXPECT_EQ(status(put + "Content-Length: x\r\n\r\n"), 400);
  EXPECT_EQ(status(put + "X: " + std::string(9000, 'x') + "\r\n\r\n"), 431);
  EXPECT_EQ(status(put + "Content-Length: 1\r\n\r\n{"), 422);
  EXPECT_EQ(status(put + "Content-Length: 131072\r\n\r\n" + std::string(131072, '[')), 422);
  EXPECT_EQ(GetConfig(admin_port)["running"], 1);
  json fresh = GetConfig(admin_port, "/running");
  fresh["settings"]["limits"]["try-limit"] = 2;
  std::string text = fresh.dump(), chunks;
  for (size_t at = 0; at < text.size(); at += 1000) {
    std::string part = text.substr(at, 1000);
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
    chunks += size + part + "\r\n";
  }
  std::vector<std::unique_ptr<Connection>> callers;  // slow callers that never complete their bodies
  for (int i = 0; i < 40; ++i) {
    callers.push_back(Connection::ConnectTo(admin_port));
    callers.back()->Write(put + "Content-Length: 100000\r\n\r\n{\"name\"");
  }
  EXPECT_EQ(status(put + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"), 200);
  EXPECT_EQ(GetConfig(admin_port, "/running"), fresh);
  EXPECT_EQ(GetConfig(admin_port, "/revisions/1")["settings"]["limits"]["try-limit"], 6);
  EXPECT_EQ(ReadMetric(admin_port, "config_revision"), 2);
}

// Changed limits, zones and plans apply at once, and a customer of a removed plan continues under another
// one.
TEST(Reload, LimitsZonesAndPlansApplyWithoutARestart) {
  // The gateway learns which backend is faster, and on a busy machine a measured latency might outweigh the
  // preference for its own zone. At each of the requests below at least one far backend has not answered yet,
  // and costs less than any near backend whatever latency has been measured.
  constexpr int kFarBackends = 12;
  Backend near(RespondsWith(OkResponse("near"))), far(RespondsWith(OkResponse("far")));
  json entries = json::array({EndpointEntry("s1", near.port())});
  for (int i = 0; i < kFarBackends; ++i) {
    entries.push_back(EndpointEntry(std::string("t").append(std::to_string(i)), far.port()));
    entries.back()["zone"] = "c";
  }
  GatewayFixture site(entries, StartableConfig(), LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  int admin_port = site.gateway->admin_port;
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  json config = GetConfig(admin_port, "/running");
  config["settings"]["zones"] = {"b", "c"};
  config["settings"]["zone"] = 1;  // the zone of the far backends
  config["settings"]["tiers-of-service"].erase(0);
  config["settings"]["tiers-of-service"][0]["name"] = "gold";
  config["settings"]["tiers-of-service"][0]["units-per-s"] = 100;
  config["settings"]["tiers-of-service"][0]["store-size"] = 400;
  config["limits"]["sockets"] = 512;
  int lists_before = site.discovery.full_lists_applied.count();
  Message response = PutConfig(admin_port, config);
  ASSERT_EQ(response.status(), 200) << response.body;
  ASSERT_TRUE(site.discovery.full_lists_applied.Wait(lists_before + 1))
      << "parsed again with the new zone names";
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 400) << "plan business is removed";
  for (int i = 0; i < kFarBackends; ++i) {
    std::string request = Request("quote");  // the same customer
    response = SendRequest(*client, request.replace(request.find("business"), 8, "gold"));
    EXPECT_EQ(response.status(), 200);
    EXPECT_EQ(response.body, "far") << "prefers its own zone: " << i;
  }
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/config/rollback").status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
}

// Descriptors limit the connections to backends. A raised limit is used at once.
TEST(Reload, RaisedDescriptorLimitAppliesAtOnce) {
  Event held, go;
  Backend backend([&](const Message&, Connection&) { return held.Notify(), go.Wait(), OkResponse("x"); });
  json config = StartableConfig(), entries = json::array();
  config["limits"]["sockets"] = 64;  // of which 8 are for backends
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}) {
    entries.push_back(EndpointEntry(name, backend.port()));
  }
  GatewayFixture site(entries, config, LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  std::vector<std::unique_ptr<Connection>> clients;
  auto hold = [&](int expected_held) {
    clients.push_back(site.gateway->Connect());
    clients.back()->Write(RequestOfNewCustomer("send-lead"));
    return held.Wait(expected_held);
  };
  for (int i = 1; i <= 8; ++i) ASSERT_TRUE(hold(i));
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), RequestOfNewCustomer("send-lead")).status(), 503);
  json raised = GetConfig(site.gateway->admin_port, "/running");
  raised["limits"]["sockets"] = 256;
  EXPECT_EQ(PutConfig(site.gateway->admin_port, raised).status(), 200);
  EXPECT_TRUE(hold(9));
  go.Notify();
  for (auto& client : clients) EXPECT_EQ(client->Read().status(), 200);
}

// With a broken file, a gateway starts with the last good configuration, logs that and becomes ready.
TEST(Reload, StartsWithTheLastGoodConfigurationIfTheFileIsBroken) {
  TempFolder folder;
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  Backend backend(RespondsWith(OkResponse("x")));
  Discovery discovery;
  discovery.SetList(json::array({EndpointEntry("s1", backend.port())}));
  json config = DefaultConfig(discovery.port(), 1);
  { GatewayProcess first(config, LEMONCHUTE_GATEWAY, 0, environment); }
  GatewayProcess gateway(std::string("{\"name\": \"n0\", "), LEMONCHUTE_GATEWAY, 0, environment);
  ASSERT_NE(gateway.port, 0) << gateway.listen_line;
  EXPECT_NE(gateway.early_log.find("LAST GOOD CONFIGURATION"), std::string::npos) << gateway.early_log;
  UpgradeFixture::AwaitReady(gateway);
  EXPECT_EQ(SendRequest(*gateway.Connect(), Request("quote")).body, "x");
  EXPECT_EQ(ReadMetric(gateway.admin_port, "config_started_by_record"), 1);
}

TEST(Reload, ChecksAFileWithoutListening) {
  TempFolder folder;
  std::string path = folder.path() + "/file";
  auto check = [&](const std::string& text) {
    ReplaceFile(path, text);
    std::string command =
        std::string(LEMONCHUTE_GATEWAY) + " --check " + path + " > " + folder.path() + "/out 2>&1";
    int status = std::system(command.c_str());
    std::ifstream in(folder.path() + "/out");
    return std::pair(WEXITSTATUS(status), std::string(std::istreambuf_iterator<char>(in), {}));
  };
  EXPECT_EQ(check(ValidConfig().dump()), std::pair(0, std::string("0 faults, 0 warnings\n")));
  json invalid = ValidConfig();
  invalid["settings"]["request-classes"][0]["aim-s"] = 9;
  invalid["listen"] = 7;
  auto [status, out] = check(invalid.dump());
  EXPECT_EQ(status, 1);
  EXPECT_NE(out.find("fault: /listen: "), std::string::npos) << out;
  EXPECT_NE(out.find("fault: /settings/request-classes/0/aim-s: "), std::string::npos) << out;
  EXPECT_EQ(check("{").first, 1);
  std::string missing = std::string(LEMONCHUTE_GATEWAY) + " --check " + folder.path() + "/none 2>/dev/null";
  EXPECT_EQ(WEXITSTATUS(std::system(missing.c_str())), 2);
}

// SIGHUP is handled during a drain and during shutdown.
TEST(Reload, SighupIsAppliedWhileDrainingAndShuttingDown) {
  Event held, go;
  Backend backend([&](const Message& request, Connection&) {
    if (request.body == "wait") held.Notify(), go.Wait();
    return OkResponse("x");
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), StartableConfig(),
                      LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  int admin_port = site.gateway->admin_port;
  auto waiting = site.gateway->Connect(), client = site.gateway->Connect();
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/out-of-service").status(), 200);
  json config = ConfigFor(site, 3);
  site.gateway->Reconfigure(config);
  AwaitMetric(admin_port, "config_applied", 1);
  EXPECT_EQ(AdminCall(admin_port, "PUT", "/control/in-service").status(), 200);
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200);
  waiting->Write(Request("send-lead", 1, 3000, "", "wait"));
  ASSERT_TRUE(held.Wait());
  site.gateway->Signal(SIGTERM);
  for (int i = 0; i < 3000 && AdminCall(admin_port, "PUT", "/control/in-service").status() != 409; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(PutConfig(admin_port, ConfigFor(site, 2)).status(), 409);
  site.gateway->Reconfigure(ConfigFor(site, 4));
  AwaitMetric(admin_port, "config_applied", 2);
  go.Notify();
  EXPECT_EQ(waiting->Read().status(), 200);
  EXPECT_EQ(site.gateway->WaitForExit(), 0);
}

// During an upgrade, each process adopts the revisions that the other one applies. A revision put on trial at
// the new process outlives its kill, and the old process rolls it back when the trial ends unconfirmed.
TEST(Upgrade, BothProcessesConvergeOnTheSameRevision) {
  UpgradeFixture upgrade;
  auto old = upgrade.Start();
  UpgradeFixture::AwaitReady(*old);
  json config = GetConfig(old->admin_port, "/running");
  config["settings"]["tiers-of-service"][1]["store-size"] = 8;
  EXPECT_EQ(PutConfig(old->admin_port, config).status(), 200);
  auto next = upgrade.Start();
  UpgradeFixture::AwaitReady(*next);
  EXPECT_EQ(ReadMetric(next->admin_port, "config_revision"), 2);
  config["settings"]["limits"]["try-limit"] = 2;
  EXPECT_EQ(PutConfig(next->admin_port, config, "&confirm_s=1").status(), 200);
  AwaitMetric(old->admin_port, "config_revision", 3);
  EXPECT_EQ(GetConfig(old->admin_port)["history"], GetConfig(next->admin_port)["history"]);
  next->Signal(SIGKILL);
  EXPECT_EQ(next->WaitForExit(), -SIGKILL);
  AwaitMetric(old->admin_port, "config_revision", 4);
  EXPECT_EQ(GetConfig(old->admin_port)["history"][0]["from"], "return");
  EXPECT_EQ(GetConfig(old->admin_port, "/running")["settings"]["limits"]["try-limit"], 6);
}

// Under load, revisions are put, confirmed, left to expire, rolled back and replaced by files at random. Each
// request gets one response, by the rules of one revision, and is sent to a backend at most once.
TEST(Reload, UnderLoadEachRequestGetsOneAnswerUnderOneRevision) {
  for (unsigned seed : {1u, 2u, 3u}) {
    std::mutex mutex;
    std::map<std::string, int> attempts_by_id;
    Backend backend([&](const Message& request, Connection&) {
      std::lock_guard lock(mutex);
      ++attempts_by_id[request.Header("Request-Id")];
      return OkResponse(request.Header("Request-Id"));
    });
    TempFolder folder;
    GatewayProcess::Environment environment = kAdminEnvironment;
    environment["TMPDIR"] = folder.path();
    json initial = StartableConfig();
    json& plan = initial["settings"]["tiers-of-service"][0];
    plan["units-per-s"] = 1e6;
    plan["store-size"] = 1e6;
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), initial, LEMONCHUTE_GATEWAY, 0,
                        environment);
    int admin_port = site.gateway->admin_port;
    std::atomic<bool> done{false};
    std::atomic<int> ok_responses{0}, other_responses{0}, wrong_responses{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < 4; ++client) {
      clients.emplace_back([&, client] {
        auto wire = site.gateway->Connect();
        for (int i = 0; !done; ++i) {
          // Class quote is free in some revisions and single_shot in others; extra exists in some.
          std::string request = Request(i % 3 == 0 ? "extra" : "quote");
          if (i % 3 == 0) request.replace(0, 4, "GET");
          if (i % 7 == client) request.replace(0, 3, "POST");
          size_t at = request.find("Request-Id: ") + 12;
          std::string id = request.substr(at, request.find('\r', at) - at);
          Message response = SendRequest(*wire, request);
          int status = response.status();
          bool allowed = status == 200 || status == 400 || status == 405 || status == 429 || status == 503;
          if (!allowed || (status == 200 && response.body != id)) ++wrong_responses;
          ++(status == 200 ? ok_responses : other_responses);
          if (!wire->IsOpen()) wire = site.gateway->Connect();
        }
      });
    }
    auto put = [&](const json& config, const std::string& parameters) {
      int status = PutConfig(admin_port, config, parameters).status();
      EXPECT_TRUE(status == 200 || status == 409) << status;  // 409: a trial has just been rolled back
    };
    std::mt19937 random(seed);
    for (int i = 0; i < 60; ++i) {
      json config = initial;
      config["discovery"] = "127.0.0.1:" + std::to_string(site.discovery.port());
      config["counter"] = "127.0.0.1:" + std::to_string(site.counter.port());
      json& classes = config["settings"]["request-classes"];
      classes[0]["effect"] = random() % 2 == 0 ? "free" : "single_shot";
      config["settings"]["limits"]["try-limit"] = 1 + random() % 6;
      if (random() % 2 == 0) {
        classes.push_back(classes[0]);
        classes.back()["name"] = "extra";
        classes.back()["effect"] = "free";
      }
      switch (random() % 5) {
        case 0: {
          long applied = ReadMetric(admin_port, "config_applied");
          site.gateway->Reconfigure(config);
          AwaitMetric(admin_port, "config_applied", applied + 1);
          break;
        }
        case 1: AdminCall(admin_port, "PUT", "/control/config/rollback"); break;
        case 2: put(config, "&confirm_s=0.01"); break;
        case 3:
          put(config, "&confirm_s=60");
          AdminCall(admin_port, "PUT",
                    "/control/config/confirm?revision=" + GetConfig(admin_port)["running"].dump());
          break;
        default: put(config, "");
      }
    }
    done = true;
    for (auto& client : clients) client.join();
    EXPECT_EQ(wrong_responses, 0) << "seed " << seed;
    EXPECT_GT(ok_responses, 100);
    EXPECT_GT(other_responses, 0);
    EXPECT_EQ(static_cast<int>(attempts_by_id.size()), ok_responses) << "each response came from a backend";
    for (const auto& [id, attempts] : attempts_by_id) EXPECT_EQ(attempts, 1) << id;
    EXPECT_EQ(ReadMetric(admin_port, "ok.quote") + std::max(0L, ReadMetric(admin_port, "ok.extra")),
              ok_responses);
    EXPECT_EQ(ReadMetric(admin_port, "active"), 0);
  }
}

// 2,000 revisions in a row, each with a new class, plan and zone, leak neither memory nor descriptors.
TEST(Reload, TwoThousandRevisionsLeakNoMemoryOrDescriptors) {
  Backend backend(RespondsWith(OkResponse("x")));
  TempFolder folder;
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), StartableConfig(),
                      LEMONCHUTE_GATEWAY, 0, environment);
  int admin_port = site.gateway->admin_port;
  std::atomic<bool> done{false};
  std::thread load([&] {
    auto wire = site.gateway->Connect();
    while (!done) {
      int status = SendRequest(*wire, Request("quote")).status();
      EXPECT_TRUE(status == 200 || status == 429 || status == 503) << status;
    }
  });
  json config = GetConfig(admin_port, "/running");
  long memory_kb = 0;
  size_t descriptors = 0;
  for (int i = 0; i < 2000; ++i) {
    std::string number = std::to_string(i);
    config["settings"]["request-classes"][1]["name"] = "class-" + number;
    config["settings"]["tiers-of-service"][1]["name"] = "plan-" + number;
    config["settings"]["zones"][1] = "zone-" + number;
    std::string base_revision = std::to_string(i + 1);
    ASSERT_EQ(AdminCall(admin_port, "PUT", "/control/config?base=" + base_revision, config.dump()).status(),
              200)
        << i;
    if (i == 500) memory_kb = site.gateway->PeakMemoryKb(), descriptors = site.gateway->CountDescriptors();
  }
  done = true;
  load.join();
  EXPECT_EQ(ReadMetric(admin_port, "config_revision"), 2001);
#ifndef __SANITIZE_ADDRESS__  // it does not return freed memory
  EXPECT_LE(site.gateway->PeakMemoryKb(), memory_kb + 512) << "kB, after the first 500 revisions";
#endif
  EXPECT_LE(site.gateway->CountDescriptors(), descriptors + 2);
  EXPECT_LE(AdminCall(admin_port, "GET", "/control/counters").body.size(), 8192u);
  EXPECT_EQ(GetConfig(admin_port)["history"].size(), lemonchute::config::kMaxRevisions);
}

}  // namespace
