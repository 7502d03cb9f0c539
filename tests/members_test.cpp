// Membership between processes of the program: starts, deaths, stops, cuts, upgrades and hostile datagrams,
// seen through each one's own door.
#include "peer_fleet.h"

namespace rig {
namespace {

const std::vector<int> kAll = {0, 1, 2, 3, 4};

// A member that runs and says so under its own number, at the others too.
uint32_t Incarnation(const PeerFleet& fleet, int at, int m) {
  return fleet.Members(at).at("members").at(static_cast<size_t>(m)).at("incarnation");
}

bool SocketFree(int port) {
  sockaddr_in at;
  close(MakeLoopbackSocket(&at, port));
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  bool free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return free;
}

TEST(Members, WithoutTheirKeyNothingIsBoundSentOrShown) {
  PeerFleet fleet(2, json());
  // An address that is really free, so that a process that wanted it would have it.
  sockaddr_in at;
  close(MakeLoopbackSocket(&at, 0));
  int probe = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  ASSERT_EQ(bind(probe, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
  socklen_t size = sizeof(at);
  getsockname(probe, reinterpret_cast<sockaddr*>(&at), &size);
  close(probe);
  fleet.net.SetListen(0, ntohs(at.sin_port));
  fleet.StartAll();
  EXPECT_TRUE(SocketFree(fleet.net.Listen(0)));
  json members = fleet.Members(0);
  EXPECT_EQ(members, (json{{"on", false}, {"speaks", false}}));
  EXPECT_EQ(AdminCall(fleet.gateways[0]->admin_port, "GET", "/control/counters").body.find("members"),
            std::string::npos);
  EXPECT_EQ(fleet.net.Sent(), 0);
  // Switched on at SIGHUP it speaks, switched off again it lets go.
  json on = fleet.ConfigOf(0);
  on["extensions"] = {{"membership", json::object()}};
  fleet.gateways[0]->Reconfigure(on);
  EXPECT_SOON(fleet.net.Sent() > 0);
  EXPECT_TRUE(fleet.Members(0).at("speaks"));
  fleet.gateways[0]->Reconfigure(fleet.ConfigOf(0));
  EXPECT_SOON(SocketFree(fleet.net.Listen(0)));
  EXPECT_EQ(fleet.Members(0), members);
  // And on once more: it left the fleet, not service.
  fleet.gateways[0]->Reconfigure(on);
  EXPECT_SOON(fleet.State(0, 0) == "alive");
}

TEST(Members, DeathsReturnsLeavesAndStopsAreKnownToAll) {
  PeerFleet fleet(5);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree(kAll));
  json seen = fleet.Members(0);
  EXPECT_EQ(seen.at("states").at("alive"), 5);
  EXPECT_EQ(seen.at("runs").size(), 1u);  // all run one program by one configuration
  const std::vector<int> others = {0, 1, 3, 4};
  fleet.Kill(2);
  EXPECT_SOON(fleet.All(others, 2, "dead") && fleet.Agree(others));
  EXPECT_EQ(fleet.Members(0).at("states").at("alive"), 4);  // and nobody else
  // Back without memory, with another configuration: above what was believed, and told apart.
  uint32_t before = Incarnation(fleet, 0, 2);
  json other = fleet.ConfigOf(2);
  other["settings"]["prices"]["cross-zone"] = 0.03;
  fleet.Start(2, other);
  EXPECT_SOON(fleet.All(kAll, 2, "alive") && fleet.Agree(kAll));
  EXPECT_GT(Incarnation(fleet, 0, 2), before);
  EXPECT_EQ(fleet.Members(0).at("runs").size(), 2u);
  // A stop is at most a suspicion that has not been answered; whoever goes on is there again.
  fleet.gateways[1]->Signal(SIGSTOP);
  EXPECT_SOON(fleet.State(0, 1) != "alive");
  fleet.gateways[1]->Signal(SIGCONT);
  EXPECT_SOON(fleet.All(kAll, 1, "alive") && fleet.Agree(kAll));
  // A drain is a planned leave, and back in service is back.
  AdminCall(fleet.gateways[3]->admin_port, "PUT", "/control/out-of-service");
  EXPECT_SOON(fleet.All(kAll, 3, "left") && fleet.Agree(kAll));
  AdminCall(fleet.gateways[3]->admin_port, "PUT", "/control/in-service");
  EXPECT_SOON(fleet.All(kAll, 3, "alive") && fleet.Agree(kAll));
  // SIGTERM too, and it is never taken for a death.
  const std::vector<int> left = {0, 1, 2, 3};
  std::vector<long> deaths = fleet.Deaths(left);
  fleet.gateways[4]->Signal(SIGTERM);
  EXPECT_EQ(fleet.gateways[4]->WaitForExit(), 0);
  fleet.gateways[4].reset();
  EXPECT_SOON(fleet.All(left, 4, "left") && fleet.Agree(left));
  EXPECT_EQ(fleet.Deaths(left), deaths);
  fleet.gateways[0]->Signal(SIGTERM);
  EXPECT_EQ(fleet.gateways[0]->WaitForExit(), 0);
  EXPECT_NE(fleet.gateways[0]->late_log.find("members: 2 is dead"), std::string::npos);
  fleet.gateways[0].reset();
  EXPECT_LE(fleet.net.longest(), 256u);
}

TEST(Members, CutsAreSeenFromBothSidesAndHealToOneView) {
  PeerFleet fleet(5);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree(kAll));
  // Two of five are cut off: they know that they may be the ones that are alone, and the three that they are
  // not.
  fleet.net.SetPasses([](int from, int to) { return (from < 2) == (to < 2); });
  EXPECT_SOON(fleet.Members(0).at("verdict") == "cut off" && fleet.Members(1).at("verdict") == "cut off");
  EXPECT_FALSE(fleet.Members(0).at("usable"));
  EXPECT_SOON(fleet.All({2, 3, 4}, 0, "dead") && fleet.Agree({2, 3, 4}));
  fleet.net.SetPasses([](int, int) { return true; });
  EXPECT_SOON(fleet.Agree(kAll) && fleet.Members(0).at("states").at("alive") == 5);
  // One way: 0 is heard by all and hears nobody. Whoever hears nothing is no use, and says so.
  fleet.net.SetPasses([](int, int to) { return to != 0; });
  EXPECT_SOON(fleet.Members(0).at("usable") == false);
  fleet.net.SetPasses([](int, int) { return true; });
  EXPECT_SOON(fleet.Agree(kAll) && fleet.Members(3).at("states").at("alive") == 5);
}

TEST(Members, AnUpgradeHandsTheAddressOverAndNobodyHearsOfADeath) {
  PeerFleet fleet(3);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree({0, 1, 2}));
  std::vector<long> deaths = fleet.Deaths({0, 2});
  auto fresh = fleet.NewProcess(fleet.ConfigOf(1), 1);
  EXPECT_FALSE(PeerFleet::MembersOf(*fresh).at("speaks"));  // one of the two
  EXPECT_TRUE(fleet.Members(1).at("speaks"));
  fleet.gateways[1]->Signal(SIGTERM);
  EXPECT_EQ(fleet.gateways[1]->WaitForExit(), 0);
  fleet.gateways[1] = std::move(fresh);
  EXPECT_SOON(fleet.Agree({0, 1, 2}));
  // Killed beside the other process, likewise.
  fresh = fleet.NewProcess(fleet.ConfigOf(1), 1);
  fleet.Kill(1);
  fleet.gateways[1] = std::move(fresh);
  EXPECT_SOON(fleet.Members(1).at("speaks") == true);
  EXPECT_SOON(fleet.Agree({0, 1, 2}));
  EXPECT_SOON(fleet.All({0, 2}, 1, "alive"));  // until it has refuted, a busy machine may have it suspected
  EXPECT_EQ(fleet.Deaths({0, 2}), deaths);
}

TEST(Members, AFleetGrowsAndShrinksAtSighupWhileListsDiffer) {
  PeerFleet fleet(4);
  for (int m : {0, 1, 2}) fleet.Start(m, fleet.ConfigOf(m, 3));
  ASSERT_SOON(fleet.Agree({0, 1, 2}));
  fleet.Start(3, fleet.ConfigOf(3, 4));
  fleet.gateways[0]->Reconfigure(fleet.ConfigOf(0, 4));
  // Two know of it, and two have not been told yet; nobody dies of that.
  EXPECT_SOON(fleet.State(0, 3) == "alive" && Incarnation(fleet, 0, 3) > 0);
  EXPECT_EQ(fleet.Members(1).at("members").size(), 3u);
  EXPECT_SOON(ReadMetric(fleet.gateways[1]->admin_port, "members_dropped_stranger") > 0);
  for (int m : {1, 2}) fleet.gateways[static_cast<size_t>(m)]->Reconfigure(fleet.ConfigOf(m, 4));
  EXPECT_SOON(fleet.Agree({0, 1, 2, 3}) && fleet.Members(1).at("states").at("alive") == 4);
  EXPECT_EQ(fleet.Members(1).at("runs").size(), 1u);
  fleet.Kill(3);
  for (int m : {0, 1, 2}) fleet.gateways[static_cast<size_t>(m)]->Reconfigure(fleet.ConfigOf(m, 3));
  EXPECT_SOON(fleet.Agree({0, 1, 2}) && fleet.Members(1).at("members").size() == 3);
}

TEST(Members, HostileDatagramsAreDroppedByReasonAndNothingElseSuffers) {
  PeerFleet fleet(3);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree({0, 1, 2}));
  std::string sound = fleet.net.Last(1), other = fleet.net.Last(2);
  int ops = fleet.gateways[0]->admin_port;
  auto counted = [&](const std::string& reason, long least) {
    return ReadMetric(ops, "members_dropped_" + reason) >= least;
  };
  auto bent = [&](size_t at, char to) {
    std::string bytes = sound;
    bytes[at] = to;
    return bytes;
  };
  fleet.net.Inject(-1, 0, sound);
  EXPECT_SOON(counted("stranger", 1));
  fleet.net.Inject(1, 0, other);  // the address of 1 says that it is 2
  EXPECT_SOON(counted("misnumbered", 1));
  fleet.net.Inject(1, 0, "");
  fleet.net.Inject(1, 0, std::string(256, 'x').replace(0, 2, "LM"));
  fleet.net.Inject(1, 0, std::string(1200, 'x'));
  fleet.net.Inject(1, 0, bent(3, 77));
  fleet.net.Inject(1, 0, bent(4, 0x1f));
  fleet.net.Inject(1, 0, sound.substr(0, sound.size() - 1));
  EXPECT_SOON(counted("length", 2) && counted("format", 1) && counted("kind", 1) && counted("number", 1) &&
              counted("section", 1));
  // 10,000 in a burst: most are not even read as words, and what is answered stays within the pace.
  long before = fleet.net.Sent();
  for (int i = 0; i < 10000; ++i) fleet.net.Inject(1, 0, sound);
  EXPECT_SOON(counted("flood", 100));
  EXPECT_LT(fleet.net.Sent() - before, 10000);
  EXPECT_SOON(fleet.Agree({0, 1, 2}) && fleet.Members(0).at("states").at("alive") == 3);
  auto client = fleet.gateways[0]->Connect();
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200);
}

TEST(Members, TwoThatClaimOneNumberAreNamedAndNotFoughtOver) {
  PeerFleet fleet(4);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree({0, 1, 2, 3}));
  // Gateway 0 starts anew and says that it is 2, as a file that was copied would have it.
  fleet.Kill(0);
  json copied = fleet.ConfigOf(2);
  copied["peer_listen"] = fleet.ConfigOf(0).at("peer_listen");
  fleet.Start(0, copied);
  fleet.net.SetListen(0, std::stoi(copied.at("peer_listen").get<std::string>().substr(10)));
  EXPECT_SOON(ReadMetric(fleet.gateways[1]->admin_port, "members_dropped_misnumbered") > 0);
  EXPECT_SOON(ReadMetric(fleet.gateways[0]->admin_port, "members_dropped_claimed") > 0);
  EXPECT_SOON(fleet.Members(0).at("verdict") == "cut off");
  EXPECT_SOON(fleet.Agree({1, 2, 3}) && fleet.All({1, 2, 3}, 2, "alive") && fleet.All({1, 2, 3}, 0, "dead"));
  // What is there goes on under its incarnation, however long the other one claims.
  uint32_t first = Incarnation(fleet, 1, 2);
  long refuted = ReadMetric(fleet.gateways[2]->admin_port, "members_refuted");
  long heard = ReadMetric(fleet.gateways[2]->admin_port, "members_heard");
  EXPECT_SOON(ReadMetric(fleet.gateways[2]->admin_port, "members_heard") > heard + 100);
  EXPECT_LE(ReadMetric(fleet.gateways[2]->admin_port, "members_refuted"), refuted + 1);
  EXPECT_LE(Incarnation(fleet, 1, 2), first + 1);
}

TEST(Members, WhatTheyNeedIsAskedOfTheConfiguration) {
  struct Case {
    std::function<void(json&)> spoil;
    const char* names;
  };
  PeerFleet fleet(2);
  for (const Case& c : std::vector<Case>{
           {[](json& c) { c["extensions"]["membership"] = 1; }, "/extensions/membership: must be an object"},
           {[](json& c) { c["extensions"]["membership"]["x"] = 1; },
            "/extensions/membership/x: is not known"},
           {[](json& c) { c["extensions"]["membership"]["share"] = 2; }, "must be a number from 0.05 to 1"},
           {[](json& c) { c.erase("peer_listen"); }, "/peer_listen: must be an IPv4 address"},
           {[](json& c) { c["peers"] = 3; }, "/peers: must be a list"},
           {[](json& c) { c["peers"].erase(1); }, "/peers: must hold one address for each"},
           {[](json& c) { c["peers"][1] = "[::1]:5000"; }, "/peers/1: must be an IPv4 address"},
           {[](json& c) { c["peers"][1] = c["peers"][0]; }, "/peers/1: occurs twice"},
           {[](json& c) { c["settings"]["me"] = 2; }, "/settings/me: must be a place in /peers"},
           {[](json& c) { c["settings"]["specifics"].erase("peer-in-per-s"); },
            "/settings/specifics/peer-in-per-s: must be a number"}}) {
    json config = fleet.ConfigOf(0);
    c.spoil(config);
    auto process = fleet.NewProcess(config, 0);
    EXPECT_EQ(process->WaitForExit(), 1) << c.names;
    EXPECT_NE(process->listen_line.find(c.names), std::string::npos) << process->listen_line;
  }
}

}  // namespace
}  // namespace rig
