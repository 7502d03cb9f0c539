// Changing the configuration of running gateways: files and SIGHUP, the operators' calls, the record, and two
// processes of one gateway.
#include <fcntl.h>

#include <random>

#include "gateway_site.h"
#include "net/config.h"
#include "net/configuration_manager.h"

namespace {

using namespace rig;  // NOLINT
using lemonchute::net::ConfigurationManager;
using lemonchute::net::RevisionLog;

json Sound(int tries = 6) {
  json config = DefaultConfig(1, 1);
  config["listen"] = "127.0.0.1:5000";
  config["settings"]["tiers-of-service"][1]["store-size"] = 8;  // holds the largest request
  config["settings"]["limits"]["try-limit"] = tries;
  return config;
}

void Write(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
}

// All that a folder holds, by name.
std::map<std::string, std::string> Contents(const std::string& folder) {
  std::map<std::string, std::string> all;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream in(entry.path());
    all[entry.path().filename()] = std::string(std::istreambuf_iterator<char>(in), {});
  }
  return all;
}

// A keeper alone, with a holder that notes what it is given.
struct Alone {
  explicit Alone(const TempFolder& folder, const json& file = Sound(),
                 RevisionLog::FailureInjector fails = {})
      : path(folder.path() + "/file"), keeper(io, path, folder.path(), std::move(fails)) {
    if (!file.is_null()) Write(path, file.dump());
    runs = keeper.LoadInitial();
    keeper.Start([this](const json& document) -> std::function<void()> {
      if (refuses) throw lemonchute::policy::ProtocolError("no room");
      ++prepared;
      return [this, document] { runs = document; };
    });
  }
  lemonchute::net::AdminResponse Call(const std::string& method, const std::string& target,
                                      const json& body = nullptr) {
    auto answer =
        keeper.HandleAdminCall({method, "/control/config" + target, body.is_null() ? "" : body.dump(), true});
    return answer ? *answer : lemonchute::net::AdminResponse{404, "", ""};
  }
  json Summary() { return json::parse(Call("GET", "").body); }
  long Figure(const std::string& name) {
    long found = -1;
    keeper.ReportMetrics([&](const std::string& n, uint64_t value) {
      if (n == name) found = static_cast<long>(value);
    });
    return found;
  }
  int Tries() const { return runs["settings"]["limits"]["try-limit"].get<int>(); }
  void Until(const std::function<bool()>& done) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kEventTimeoutS);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(done());
  }
  boost::asio::io_context io;
  std::string path;
  ConfigurationManager keeper;
  json runs;
  int prepared = 0;
  bool refuses = false;
};

std::string Base(const json& summary, const std::string& more = "") {
  return "?base=" + summary["running"].dump() + more;
}

TEST(Keeper, PutsConfirmsReturnsAndRollsBack) {
  TempFolder folder;
  Alone one(folder);
  EXPECT_EQ(one.Call("PUT", Base(one.Summary()), Sound(5)).status, 200);
  EXPECT_EQ(one.Tries(), 5);
  EXPECT_EQ(one.Figure("config_revision"), 2);
  EXPECT_EQ(one.Figure("config_file_differs"), 1);
  EXPECT_EQ(one.Call("PUT", "/rollback").status, 200);
  EXPECT_EQ(one.Tries(), 6);
  EXPECT_EQ(one.Figure("config_file_differs"), 0);

  EXPECT_EQ(one.Call("PUT", Base(one.Summary(), "&confirm_s=0.05"), Sound(4)).status, 200);
  EXPECT_EQ(one.Tries(), 4);
  EXPECT_EQ(one.Figure("config_on_trial"), 1);
  one.Until([&] { return one.Tries() == 6; });
  EXPECT_EQ(one.Figure("config_returned"), 1);
  EXPECT_EQ(one.Figure("config_on_trial"), 0);

  EXPECT_EQ(one.Call("PUT", Base(one.Summary(), "&confirm_s=600"), Sound(3)).status, 200);
  EXPECT_EQ(one.Call("PUT", "/confirm?revision=1").status, 409);
  EXPECT_EQ(one.Call("PUT", "/confirm?revision=" + one.Summary()["running"].dump()).status, 200);
  EXPECT_FALSE(one.Summary().contains("trial"));
  EXPECT_EQ(one.Call("PUT", "/rollback?to=2").status, 200);
  EXPECT_EQ(one.Tries(), 5);
  EXPECT_EQ(one.Figure("config_put"), 3);
  EXPECT_EQ(one.Figure("config_rolled_back"), 2);
  EXPECT_EQ(one.Figure("config_applied"), 0) << "no SIGHUP";
}

TEST(Keeper, EachNoNamesItsReasonAndChangesNothing) {
  TempFolder folder;
  Alone one(folder);
  json bad = Sound(5);
  bad["settings"]["limits"].erase("cancel");
  json elsewhere = Sound(5);
  elsewhere["listen"] = "127.0.0.1:5001";
  const auto before = Contents(folder.path());
  const std::vector<std::tuple<std::string, std::string, json, int, std::string>> calls = {
      {"PUT", "", Sound(5), 400, "base"},
      {"PUT", "?base=x", Sound(5), 400, "base"},
      {"PUT", "?base=1&confirm_s=0", Sound(5), 400, "confirm_s"},
      {"PUT", "?base=1&confirm_s=nan", Sound(5), 400, "confirm_s"},
      {"PUT", "?base=1&confirm_s=1e9", Sound(5), 400, "confirm_s"},
      {"PUT", "?base=7", Sound(5), 409, "revision 7 does not run"},
      {"PUT", "?base=1", bad, 422, "/settings/limits/cancel"},
      {"PUT", "?base=1", elsewhere, 422, "needs a restart: /listen"},
      {"PUT", "/check", bad, 422, "/settings/limits/cancel"},
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
  for (const auto& [method, target, body, status, word] : calls) {
    lemonchute::net::AdminResponse answer = one.Call(method, target, body);
    EXPECT_EQ(answer.status, status) << method << target << answer.body;
    EXPECT_NE(answer.body.find(word), std::string::npos) << target << answer.body;
    EXPECT_EQ(one.Tries(), 6) << target;
  }
  EXPECT_EQ(one.prepared, 0);
  EXPECT_EQ(one.Summary()["running"], 1);
  EXPECT_EQ(Contents(folder.path()), before);
  EXPECT_EQ(one.Summary()["turned_down"].size(), 7u) << "those that could be read";
}

TEST(Keeper, ACheckChangesNothing) {
  TempFolder folder;
  Alone one(folder);
  const auto before = Contents(folder.path());
  lemonchute::net::AdminResponse answer = one.Call("POST", "/check", Sound(5));
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(
      json::parse(answer.body)["changes"],
      json::parse(
          R"([{"at": "/settings/limits/try-limit", "what": "changed", "takes": "live for new requests"}])"));
  EXPECT_EQ(one.Tries(), 6);
  EXPECT_EQ(one.prepared, 1) << "as far as that";
  EXPECT_EQ(Contents(folder.path()), before);
  one.refuses = true;
  EXPECT_EQ(one.Call("POST", "/check", Sound(5)).status, 422);
}

// Whatever step of a put fails, all is as it was, and the next one is as good as the first.
TEST(Keeper, AFailingStepLeavesNoTrace) {
  for (auto step : {RevisionLog::Step::kOpen, RevisionLog::Step::kWrite, RevisionLog::Step::kSync,
                    RevisionLog::Step::kRename}) {
    for (int error : {ENOSPC, EROFS, EIO}) {
      TempFolder folder;
      bool fails = false;
      Alone one(folder, Sound(), [&](RevisionLog::Step at) { return fails && at == step ? error : 0; });
      const auto before = Contents(folder.path());
      const json summary = one.Summary();
      fails = true;
      lemonchute::net::AdminResponse answer = one.Call("PUT", "?base=1", Sound(5));
      EXPECT_EQ(answer.status, 507);
      EXPECT_NE(answer.body.find(std::strerror(error)), std::string::npos) << answer.body;
      EXPECT_EQ(one.Tries(), 6);
      EXPECT_EQ(Contents(folder.path()), before);
      json after = one.Summary();
      after["turned_down"] = summary["turned_down"];
      EXPECT_EQ(after, summary);
      fails = false;
      EXPECT_EQ(one.Call("PUT", "?base=1", Sound(5)).status, 200);
      EXPECT_EQ(one.Tries(), 5);
    }
  }
  TempFolder folder;
  Alone one(folder);
  const auto before = Contents(folder.path());
  one.refuses = true;  // the gateway can't prepare it
  EXPECT_EQ(one.Call("PUT", "?base=1", Sound(5)).status, 422);
  EXPECT_EQ(one.Call("PUT", "?base=1&confirm_s=1", Sound(5)).status, 422);
  EXPECT_EQ(Contents(folder.path()), before);
  EXPECT_EQ(one.Tries(), 6);
  EXPECT_EQ(one.io.poll(), 0u) << "no timer either";
  Write(one.path, Sound(5).dump());
  one.keeper.OnReloadSignal();
  EXPECT_EQ(one.Figure("config_rejected"), 1);
  EXPECT_EQ(one.Tries(), 6);
}

// The platform's word is taken even where it can't be kept; it is kept once that is possible.
TEST(Keeper, SighupIsTakenOnAFullDisk) {
  TempFolder folder;
  bool fails = false;
  Alone one(folder, Sound(),
            [&](RevisionLog::Step at) { return fails && at == RevisionLog::Step::kWrite ? ENOSPC : 0; });
  fails = true;
  Write(one.path, Sound(5).dump());
  one.keeper.OnReloadSignal();
  EXPECT_EQ(one.Tries(), 5);
  EXPECT_EQ(one.Figure("config_applied"), 1);
  EXPECT_EQ(one.Figure("config_unkept"), 1);
  EXPECT_EQ(one.Summary()["kept"], false);
  fails = false;
  one.Until([&] {
    one.keeper.PollRevisionLog();
    return one.Summary()["kept"] == true;
  });
  Alone next(folder, nullptr);
  EXPECT_EQ(next.Tries(), 5);
}

TEST(Keeper, SighupEndsATrialAndWinsOverAPut) {
  TempFolder folder;
  Alone one(folder);
  EXPECT_EQ(one.Call("PUT", "?base=1&confirm_s=0.05", Sound(5)).status, 200);
  Write(one.path, Sound(4).dump());
  one.keeper.OnReloadSignal();
  EXPECT_EQ(one.Tries(), 4);
  EXPECT_FALSE(one.Summary().contains("trial"));
  EXPECT_EQ(one.Call("PUT", "?base=2", Sound(3)).status, 409) << "made against what runs no more";
  one.io.poll();  // of the cancelled wait
  one.io.restart();
  EXPECT_EQ(one.io.run_one_for(std::chrono::seconds(kEventTimeoutS)), 0u) << "the trial's timer is gone";
  one.keeper.OnReloadSignal();
  one.keeper.OnReloadSignal();
  EXPECT_EQ(one.Figure("config_applied"), 3);
  EXPECT_EQ(one.Summary()["running"], 3) << "the same file is no new revision";
}

// While the way back can't be gone, what is there stays, and is tried once.
TEST(Keeper, AWayBackThatIsClosedEndsTheTrial) {
  TempFolder folder;
  Alone one(folder);
  EXPECT_EQ(one.Call("PUT", "?base=1&confirm_s=0.02", Sound(5)).status, 200);
  one.refuses = true;
  one.Until([&] { return !one.Summary().contains("trial"); });
  EXPECT_EQ(one.Tries(), 5);
  EXPECT_EQ(one.Figure("config_returned"), 0);
  EXPECT_EQ(one.Summary()["turned_down"][0]["from"], "return");
}

TEST(Keeper, StartsByTheLastGoodConfigurationBesideABrokenFile) {
  for (const std::string& broken : {std::string(), std::string("{\"name\": "), Sound().dump().substr(0, 400),
                                    json{{"name", "x"}}.dump()}) {
    TempFolder folder;
    { Alone one(folder); }
    Write(folder.path() + "/file", broken);
    Alone next(folder, nullptr);
    EXPECT_EQ(next.Tries(), 6);
    EXPECT_EQ(next.runs["known"], Sound()["known"]) << "the list that it had";
    EXPECT_EQ(next.Figure("config_started_by_record"), 1);
    EXPECT_EQ(next.Summary()["file"], "broken");
    EXPECT_TRUE(next.Summary().contains("file_fault"));
    Write(next.path, Sound(5).dump());
    next.keeper.OnReloadSignal();
    EXPECT_EQ(next.Tries(), 5);
    EXPECT_EQ(next.Figure("config_started_by_record"), 0);
  }
}

TEST(Keeper, WithoutAFileAndARecordItDoesNotStart) {
  for (const char* record : {"", "{}", "not a record\n"}) {
    TempFolder folder;
    Write(folder.path() + "/lb-config.json", record);
    EXPECT_THROW(Alone(folder, nullptr), lemonchute::policy::ProtocolError);
    Alone one(folder);
    EXPECT_EQ(one.Summary()["running"], 1) << "a file alone is enough";
  }
}

// Two processes of one gateway: whichever is told, both end on the same revision, and the trial's limit is
// kept by whichever is there.
TEST(Keeper, TwoProcessesEndOnTheSameRevision) {
  TempFolder folder;
  auto old = std::make_unique<Alone>(folder);
  EXPECT_EQ(old->Call("PUT", "?base=1&confirm_s=3600", Sound(5)).status, 200);
  Alone next(folder, nullptr);
  EXPECT_EQ(next.Tries(), 5) << "an operator's put outlives the start";
  EXPECT_TRUE(next.Summary().contains("trial"));
  EXPECT_EQ(next.Call("PUT", "/confirm?revision=2").status, 200);
  old->keeper.PollRevisionLog();
  EXPECT_FALSE(old->Summary().contains("trial"));
  EXPECT_EQ(old->Call("PUT", "?base=2", Sound(4)).status, 200);
  next.keeper.PollRevisionLog();
  EXPECT_EQ(next.Tries(), 4);
  EXPECT_EQ(next.Figure("config_followed"), 1);
  // Both are told at once, without a look at the record in between.
  EXPECT_EQ(old->Call("PUT", "?base=3", Sound(3)).status, 200);
  EXPECT_EQ(next.Call("PUT", "?base=3", Sound(2)).status, 409) << "the other one was faster";
  EXPECT_EQ(next.Tries(), 3);
  Write(next.path, Sound(7).dump());
  next.keeper.OnReloadSignal();
  old->keeper.OnReloadSignal();
  EXPECT_EQ(old->Summary()["history"], next.Summary()["history"]);
  EXPECT_EQ(old->Tries(), 7);
  // The one that set the limit goes; the other one returns in time.
  EXPECT_EQ(old->Call("PUT", Base(old->Summary(), "&confirm_s=0.05"), Sound(8)).status, 200);
  next.keeper.PollRevisionLog();
  old.reset();
  EXPECT_EQ(next.Tries(), 8);
  next.Until([&] { return next.Tries() == 7; });
}

TEST(Keeper, WhileTheOtherProcessHoldsTheRecordPutsAreAskedToComeAgain) {
  TempFolder folder;
  Alone one(folder);
  RevisionLog other(folder.path());
  std::optional<RevisionLog::Lock> lock;
  lock.emplace(&other);
  ASSERT_TRUE(lock->held());
  EXPECT_EQ(one.Call("PUT", "?base=1", Sound(5)).status, 503);
  Write(one.path, Sound(4).dump());
  one.keeper.OnReloadSignal();
  EXPECT_EQ(one.Tries(), 6) << "waits for a moment";
  one.Until([&] { return one.Tries() == 4; });  // a stopped process is not waited for
  lock.reset();
  EXPECT_EQ(one.Call("PUT", Base(one.Summary()), Sound(5)).status, 200);
}

TEST(Keeper, AfterSigtermOperatorsChangeNothing) {
  TempFolder folder;
  Alone one(folder);
  one.keeper.StopUpdates();
  EXPECT_EQ(one.Call("PUT", "?base=1", Sound(5)).status, 409);
  Write(one.path, Sound(4).dump());
  one.keeper.OnReloadSignal();
  EXPECT_EQ(one.Tries(), 4) << "the platform's signal still counts";
}

// A file as large as no file should be is turned down without being read.
TEST(Keeper, TurnsDownAFileOfAHundredMegabytesAtOnce) {
  TempFolder folder;
  Alone one(folder);
  int file = open((one.path + ".big").c_str(), O_WRONLY | O_CREAT, 0600);
  ASSERT_EQ(ftruncate(file, 100 << 20), 0);
  close(file);
  std::filesystem::rename(one.path + ".big", one.path);
  auto before = std::chrono::steady_clock::now();
  one.keeper.OnReloadSignal();
  EXPECT_LT(std::chrono::steady_clock::now() - before, std::chrono::seconds(1));
  EXPECT_EQ(one.Figure("config_rejected"), 1);
}

// The same through the real program.
json ToStart(int tries = 6) {
  json config = Sound(tries);
  config["listen"] = "127.0.0.1:0";
  return config;
}
json SoundFor(const GatewayFixture& site, int tries = 6) {
  json config = ToStart(tries);
  config["discovery"] = "127.0.0.1:" + std::to_string(site.discovery.port());
  config["counter"] = "127.0.0.1:" + std::to_string(site.counter.port());
  return config;
}
json Read(int ops, const std::string& target = "") {
  return json::parse(AdminCall(ops, "GET", "/control/config" + target).body);
}
Message Put(int ops, const json& config, const std::string& more = "") {
  std::string base_revision = Read(ops)["running"].dump();
  return AdminCall(ops, "PUT", "/control/config?base=" + base_revision + more, config.dump());
}

TEST(Door, TakesBodiesOfBoundedSizeAndSaysWhatItMisses) {
  Backend backend(RespondsWith(OkResponse("x")));
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), ToStart(), LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  int ops = site.gateway->admin_port;
  auto status = [&](const std::string& text) {
    auto caller = Connection::ConnectTo(ops);
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
  EXPECT_EQ(Read(ops)["running"], 1);
  json fresh = Read(ops, "/running");
  fresh["settings"]["limits"]["try-limit"] = 2;
  std::string text = fresh.dump(), chunks;
  for (size_t at = 0; at < text.size(); at += 1000) {
    std::string part = text.substr(at, 1000);
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
    chunks += size + part + "\r\n";
  }
  std::vector<std::unique_ptr<Connection>> callers;  // beside callers that dribble their bodies
  for (int i = 0; i < 40; ++i) {
    callers.push_back(Connection::ConnectTo(ops));
    callers.back()->Write(put + "Content-Length: 100000\r\n\r\n{\"name\"");
  }
  EXPECT_EQ(status(put + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"), 200);
  EXPECT_EQ(Read(ops, "/running"), fresh);
  EXPECT_EQ(Read(ops, "/revisions/1")["settings"]["limits"]["try-limit"], 6);
  EXPECT_EQ(ReadMetric(ops, "config_revision"), 2);
}

// Limits, zones and plans take hold at once, and a customer of a dropped plan goes on under another.
TEST(Reload, LimitsZonesAndPlansAreLive) {
  // Which one is quicker is learned as answers come, so that a busy machine might outweigh the zone. Of each
  // further request's far ones one at least has not answered yet, and costs less than any near one whatever
  // that has been seen to take.
  constexpr int kFar = 12;
  Backend near(RespondsWith(OkResponse("near"))), far(RespondsWith(OkResponse("far")));
  json entries = json::array({EndpointEntry("s1", near.port())});
  for (int i = 0; i < kFar; ++i) {
    entries.push_back(EndpointEntry(std::string("t").append(std::to_string(i)), far.port()));
    entries.back()["zone"] = "c";
  }
  GatewayFixture site(entries, ToStart(), LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  int ops = site.gateway->admin_port;
  auto client = site.gateway->Connect();
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
  json config = Read(ops, "/running");
  config["settings"]["zones"] = {"b", "c"};
  config["settings"]["zone"] = 1;  // now in the far one's
  config["settings"]["tiers-of-service"].erase(0);
  config["settings"]["tiers-of-service"][0]["name"] = "gold";
  config["settings"]["tiers-of-service"][0]["units-per-s"] = 100;
  config["settings"]["tiers-of-service"][0]["store-size"] = 400;
  config["limits"]["sockets"] = 512;
  int lists = site.discovery.full_lists_applied.count();
  Message answer = Put(ops, config);
  ASSERT_EQ(answer.status(), 200) << answer.body;
  ASSERT_TRUE(site.discovery.full_lists_applied.Wait(lists + 1)) << "read anew, by the new names of zones";
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 400) << "business is gone";
  for (int i = 0; i < kFar; ++i) {
    std::string request = Request("quote");  // of the same customer
    answer = SendRequest(*client, request.replace(request.find("business"), 8, "gold"));
    EXPECT_EQ(answer.status(), 200);
    EXPECT_EQ(answer.body, "far") << "its own zone goes first: " << i;
  }
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/config/rollback").status(), 200);
  EXPECT_EQ(SendRequest(*client, Request("quote")).status(), 200);
}

// Where descriptors are short, connections to backends are; more of them are of use at once.
TEST(Reload, MoreDescriptorsMakeRoomAtOnce) {
  Event held, go;
  Backend backend([&](const Message&, Connection&) { return held.Notify(), go.Wait(), OkResponse("x"); });
  json config = ToStart(), entries = json::array();
  config["limits"]["sockets"] = 64;  // of which 8 are for backends
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}) {
    entries.push_back(EndpointEntry(name, backend.port()));
  }
  GatewayFixture site(entries, config, LEMONCHUTE_GATEWAY, 0, kAdminEnvironment);
  std::vector<std::unique_ptr<Connection>> clients;
  auto hold = [&](int held_then) {
    clients.push_back(site.gateway->Connect());
    clients.back()->Write(RequestOfNewCustomer("send-lead"));
    return held.Wait(held_then);
  };
  for (int i = 1; i <= 8; ++i) ASSERT_TRUE(hold(i));
  EXPECT_EQ(SendRequest(*site.gateway->Connect(), RequestOfNewCustomer("send-lead")).status(), 503);
  json more = Read(site.gateway->admin_port, "/running");
  more["limits"]["sockets"] = 256;
  EXPECT_EQ(Put(site.gateway->admin_port, more).status(), 200);
  EXPECT_TRUE(hold(9));
  go.Notify();
  for (auto& client : clients) EXPECT_EQ(client->Read().status(), 200);
}

// A start beside a broken file goes by the last good one, says so, and is ready.
TEST(Reload, StartsBesideABrokenFile) {
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
    Write(path, text);
    std::string command =
        std::string(LEMONCHUTE_GATEWAY) + " --check " + path + " > " + folder.path() + "/out 2>&1";
    int status = std::system(command.c_str());
    std::ifstream in(folder.path() + "/out");
    return std::pair(WEXITSTATUS(status), std::string(std::istreambuf_iterator<char>(in), {}));
  };
  EXPECT_EQ(check(Sound().dump()), std::pair(0, std::string("0 faults, 0 warnings\n")));
  json bad = Sound();
  bad["settings"]["request-classes"][0]["aim-s"] = 9;
  bad["listen"] = 7;
  auto [status, out] = check(bad.dump());
  EXPECT_EQ(status, 1);
  EXPECT_NE(out.find("fault: /listen: "), std::string::npos) << out;
  EXPECT_NE(out.find("fault: /settings/request-classes/0/aim-s: "), std::string::npos) << out;
  EXPECT_EQ(check("{").first, 1);
  std::string missing = std::string(LEMONCHUTE_GATEWAY) + " --check " + folder.path() + "/none 2>/dev/null";
  EXPECT_EQ(WEXITSTATUS(std::system(missing.c_str())), 2);
}

// Signals at odd times: in drain, and while the process ends.
TEST(Reload, IsTakenInDrainAndWhileEnding) {
  Event held, go;
  Backend backend([&](const Message& m, Connection&) {
    if (m.body == "wait") held.Notify(), go.Wait();
    return OkResponse("x");
  });
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), ToStart(), LEMONCHUTE_GATEWAY, 0,
                      kAdminEnvironment);
  int ops = site.gateway->admin_port;
  auto waiting = site.gateway->Connect(), client = site.gateway->Connect();
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/out-of-service").status(), 200);
  json config = SoundFor(site, 3);
  site.gateway->Reconfigure(config);
  AwaitMetric(ops, "config_applied", 1);
  EXPECT_EQ(AdminCall(ops, "PUT", "/control/in-service").status(), 200);
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200);
  waiting->Write(Request("send-lead", 1, 3000, "", "wait"));
  ASSERT_TRUE(held.Wait());
  site.gateway->Signal(SIGTERM);
  for (int i = 0; i < 3000 && AdminCall(ops, "PUT", "/control/in-service").status() != 409; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(Put(ops, SoundFor(site, 2)).status(), 409);
  site.gateway->Reconfigure(SoundFor(site, 4));
  AwaitMetric(ops, "config_applied", 2);
  go.Notify();
  EXPECT_EQ(waiting->Read().status(), 200);
  EXPECT_EQ(site.gateway->WaitForExit(), 0);
}

// Two processes of an upgrade: a put on trial outlives the old one, and is taken back in time by the new one.
TEST(Upgrade, BothProcessesEndOnTheSameRevision) {
  UpgradeFixture upgrade;
  auto old = upgrade.Start();
  UpgradeFixture::AwaitReady(*old);
  json config = Read(old->admin_port, "/running");
  config["settings"]["tiers-of-service"][1]["store-size"] = 8;
  EXPECT_EQ(Put(old->admin_port, config).status(), 200);
  auto next = upgrade.Start();
  UpgradeFixture::AwaitReady(*next);
  EXPECT_EQ(ReadMetric(next->admin_port, "config_revision"), 2);
  config["settings"]["limits"]["try-limit"] = 2;
  EXPECT_EQ(Put(next->admin_port, config, "&confirm_s=1").status(), 200);
  AwaitMetric(old->admin_port, "config_revision", 3);
  EXPECT_EQ(Read(old->admin_port)["history"], Read(next->admin_port)["history"]);
  next->Signal(SIGKILL);
  EXPECT_EQ(next->WaitForExit(), -SIGKILL);
  AwaitMetric(old->admin_port, "config_revision", 4);
  EXPECT_EQ(Read(old->admin_port)["history"][0]["from"], "return");
  EXPECT_EQ(Read(old->admin_port, "/running")["settings"]["limits"]["try-limit"], 6);
}

// Revisions put, confirmed, left to return, rolled back and replaced at random under load: each request gets
// one answer, by the rules of one revision, and goes to a backend once.
TEST(Reload, UnderLoadEachRequestHasOneAnswerUnderOneRevision) {
  for (unsigned seed : {1u, 2u, 3u}) {
    std::mutex mutex;
    std::map<std::string, int> seen;
    Backend backend([&](const Message& m, Connection&) {
      std::lock_guard lock(mutex);
      ++seen[m.Header("Request-Id")];
      return OkResponse(m.Header("Request-Id"));
    });
    TempFolder folder;
    GatewayProcess::Environment environment = kAdminEnvironment;
    environment["TMPDIR"] = folder.path();
    json first = ToStart();
    json& plan = first["settings"]["tiers-of-service"][0];
    plan["units-per-s"] = 1e6;
    plan["store-size"] = 1e6;
    GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), first, LEMONCHUTE_GATEWAY, 0,
                        environment);
    int ops = site.gateway->admin_port;
    std::atomic<bool> done{false};
    std::atomic<int> ok{0}, other{0}, wrong{0};
    std::vector<std::thread> clients;
    for (int c = 0; c < 4; ++c) {
      clients.emplace_back([&, c] {
        auto wire = site.gateway->Connect();
        for (int i = 0; !done; ++i) {
          // quote is free in some revisions and single_shot in others; extra is there in some.
          std::string request = Request(i % 3 == 0 ? "extra" : "quote");
          if (i % 3 == 0) request.replace(0, 4, "GET");
          if (i % 7 == c) request.replace(0, 3, "POST");
          size_t at = request.find("Request-Id: ") + 12;
          std::string id = request.substr(at, request.find('\r', at) - at);
          Message answer = SendRequest(*wire, request);
          int status = answer.status();
          bool allowed = status == 200 || status == 400 || status == 405 || status == 429 || status == 503;
          if (!allowed || (status == 200 && answer.body != id)) ++wrong;
          ++(status == 200 ? ok : other);
          if (!wire->IsOpen()) wire = site.gateway->Connect();
        }
      });
    }
    auto put = [&](const json& config, const std::string& more) {
      int status = Put(ops, config, more).status();
      EXPECT_TRUE(status == 200 || status == 409) << status;  // 409: a trial has returned just before
    };
    std::mt19937 random(seed);
    for (int i = 0; i < 60; ++i) {
      json config = first;
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
          long applied = ReadMetric(ops, "config_applied");
          site.gateway->Reconfigure(config);
          AwaitMetric(ops, "config_applied", applied + 1);
          break;
        }
        case 1: AdminCall(ops, "PUT", "/control/config/rollback"); break;
        case 2: put(config, "&confirm_s=0.01"); break;
        case 3:
          put(config, "&confirm_s=60");
          AdminCall(ops, "PUT", "/control/config/confirm?revision=" + Read(ops)["running"].dump());
          break;
        default: put(config, "");
      }
    }
    done = true;
    for (auto& client : clients) client.join();
    EXPECT_EQ(wrong, 0) << "seed " << seed;
    EXPECT_GT(ok, 100);
    EXPECT_GT(other, 0);
    EXPECT_EQ(static_cast<int>(seen.size()), ok) << "a backend made each answer";
    for (const auto& [id, times] : seen) EXPECT_EQ(times, 1) << id;
    EXPECT_EQ(ReadMetric(ops, "ok.quote") + std::max(0L, ReadMetric(ops, "ok.extra")), ok);
    EXPECT_EQ(ReadMetric(ops, "active"), 0);
  }
}

// 2,000 revisions in a row, each with a class, a plan and a zone that were never there: nothing grows.
TEST(Reload, TwoThousandInARowLeaveNothingBehind) {
  Backend backend(RespondsWith(OkResponse("x")));
  TempFolder folder;
  GatewayProcess::Environment environment = kAdminEnvironment;
  environment["TMPDIR"] = folder.path();
  GatewayFixture site(json::array({EndpointEntry("s1", backend.port())}), ToStart(), LEMONCHUTE_GATEWAY, 0,
                      environment);
  int ops = site.gateway->admin_port;
  std::atomic<bool> done{false};
  std::thread load([&] {
    auto wire = site.gateway->Connect();
    while (!done) {
      int status = SendRequest(*wire, Request("quote")).status();
      EXPECT_TRUE(status == 200 || status == 429 || status == 503) << status;
    }
  });
  json config = Read(ops, "/running");
  long memory = 0;
  size_t descriptors = 0;
  for (int i = 0; i < 2000; ++i) {
    std::string n = std::to_string(i);
    config["settings"]["request-classes"][1]["name"] = "class-" + n;
    config["settings"]["tiers-of-service"][1]["name"] = "plan-" + n;
    config["settings"]["zones"][1] = "zone-" + n;
    std::string base_revision = std::to_string(i + 1);
    ASSERT_EQ(AdminCall(ops, "PUT", "/control/config?base=" + base_revision, config.dump()).status(), 200)
        << i;
    if (i == 500) memory = site.gateway->PeakMemoryKb(), descriptors = site.gateway->CountDescriptors();
  }
  done = true;
  load.join();
  EXPECT_EQ(ReadMetric(ops, "config_revision"), 2001);
#ifndef __SANITIZE_ADDRESS__  // which keeps what was freed
  EXPECT_LE(site.gateway->PeakMemoryKb(), memory + 512) << "kB, since the first 500 of them";
#endif
  EXPECT_LE(site.gateway->CountDescriptors(), descriptors + 2);
  EXPECT_LE(AdminCall(ops, "GET", "/control/counters").body.size(), 8192u);
  EXPECT_EQ(Read(ops)["history"].size(), lemonchute::config::kMaxRevisions);
}

}  // namespace
