// Tests for membership between gateway processes: starts, crashes, stalls, partitions, upgrades and hostile
// datagrams, observed through each process's admin endpoint.
#include "peer_fleet.h"

namespace rig {
namespace {

const std::vector<int> kAllMembers = {0, 1, 2, 3, 4};

// The incarnation of `member` in the view of `observer`.
uint32_t Incarnation(const PeerFleet& fleet, int observer, int member) {
  return fleet.Members(observer).at("members").at(static_cast<size_t>(member)).at("incarnation");
}

bool IsPortFree(int port) {
  sockaddr_in at;
  close(MakeLoopbackSocket(&at, port));
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  bool free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return free;
}

TEST(Members, NothingIsBoundSentOrReportedWithoutTheConfigurationKey) {
  PeerFleet fleet(2, json());
  // A free port, so that a process that tried to bind it would succeed.
  sockaddr_in at;
  close(MakeLoopbackSocket(&at, 0));
  int probe = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  ASSERT_EQ(bind(probe, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
  socklen_t size = sizeof(at);
  getsockname(probe, reinterpret_cast<sockaddr*>(&at), &size);
  close(probe);
  fleet.net.SetListenPort(0, ntohs(at.sin_port));
  fleet.StartAll();
  EXPECT_TRUE(IsPortFree(fleet.net.ListenPort(0)));
  json disabled_response = fleet.Members(0);
  EXPECT_EQ(disabled_response, (json{{"on", false}, {"speaks", false}}));
  EXPECT_EQ(AdminCall(fleet.gateways[0]->admin_port, "GET", "/control/counters").body.find("members"),
            std::string::npos);
  EXPECT_EQ(fleet.net.SentCount(), 0);
  // Enabled by SIGHUP it takes part; disabled again it releases the address.
  json enabled = fleet.ConfigOf(0);
  enabled["extensions"] = {{"membership", json::object()}};
  fleet.gateways[0]->Reconfigure(enabled);
  EXPECT_SOON(fleet.net.SentCount() > 0);
  EXPECT_TRUE(fleet.Members(0).at("speaks"));
  fleet.gateways[0]->Reconfigure(fleet.ConfigOf(0));
  EXPECT_SOON(IsPortFree(fleet.net.ListenPort(0)));
  EXPECT_EQ(fleet.Members(0), disabled_response);
  // Enabled once more it rejoins, since it left the fleet but not service.
  fleet.gateways[0]->Reconfigure(enabled);
  EXPECT_SOON(fleet.StateSeenBy(0, 0) == "alive");
}

TEST(Members, CrashesRestartsLeavesAndStallsReachAllMembers) {
  PeerFleet fleet(5);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree(kAllMembers));
  json view = fleet.Members(0);
  EXPECT_EQ(view.at("states").at("alive"), 5);
  EXPECT_EQ(view.at("runs").size(), 1u);  // all run the same program and configuration
  const std::vector<int> others = {0, 1, 3, 4};
  fleet.Kill(2);
  EXPECT_SOON(fleet.AllSee(others, 2, "dead") && fleet.Agree(others));
  EXPECT_EQ(fleet.Members(0).at("states").at("alive"), 4);  // no other member is affected
  // Restarted with another configuration: its incarnation is higher, and the two configurations are listed.
  uint32_t incarnation_before = Incarnation(fleet, 0, 2);
  json changed_config = fleet.ConfigOf(2);
  changed_config["settings"]["prices"]["cross-zone"] = 0.03;
  fleet.Start(2, changed_config);
  EXPECT_SOON(fleet.AllSee(kAllMembers, 2, "alive") && fleet.Agree(kAllMembers));
  EXPECT_GT(Incarnation(fleet, 0, 2), incarnation_before);
  EXPECT_EQ(fleet.Members(0).at("runs").size(), 2u);
  // A stopped process is suspected, or declared dead, and returns once it continues.
  fleet.gateways[1]->Signal(SIGSTOP);
  EXPECT_SOON(fleet.StateSeenBy(0, 1) != "alive");
  fleet.gateways[1]->Signal(SIGCONT);
  EXPECT_SOON(fleet.AllSee(kAllMembers, 1, "alive") && fleet.Agree(kAllMembers));
  // A drain is a planned leave, and a return to service rejoins the fleet.
  AdminCall(fleet.gateways[3]->admin_port, "PUT", "/control/out-of-service");
  EXPECT_SOON(fleet.AllSee(kAllMembers, 3, "left") && fleet.Agree(kAllMembers));
  AdminCall(fleet.gateways[3]->admin_port, "PUT", "/control/in-service");
  EXPECT_SOON(fleet.AllSee(kAllMembers, 3, "alive") && fleet.Agree(kAllMembers));
  // SIGTERM is a planned leave too, and is never reported as a death.
  const std::vector<int> remaining = {0, 1, 2, 3};
  std::vector<long> deaths = fleet.DeathCounts(remaining);
  fleet.gateways[4]->Signal(SIGTERM);
  EXPECT_EQ(fleet.gateways[4]->WaitForExit(), 0);
  fleet.gateways[4].reset();
  EXPECT_SOON(fleet.AllSee(remaining, 4, "left") && fleet.Agree(remaining));
  EXPECT_EQ(fleet.DeathCounts(remaining), deaths);
  fleet.gateways[0]->Signal(SIGTERM);
  EXPECT_EQ(fleet.gateways[0]->WaitForExit(), 0);
  EXPECT_NE(fleet.gateways[0]->late_log.find("members: 2 is dead"), std::string::npos);
  fleet.gateways[0].reset();
  EXPECT_LE(fleet.net.longest_datagram(), 256u);
}

TEST(Members, PartitionsAreDetectedOnBothSidesAndHeal) {
  PeerFleet fleet(5);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree(kAllMembers));
  // Two of five are partitioned off: both detect that they are in the minority, and the other three that they
  // are not.
  fleet.net.SetPasses([](int from, int to) { return (from < 2) == (to < 2); });
  EXPECT_SOON(fleet.Members(0).at("verdict") == "cut off" && fleet.Members(1).at("verdict") == "cut off");
  EXPECT_FALSE(fleet.Members(0).at("usable"));
  EXPECT_SOON(fleet.AllSee({2, 3, 4}, 0, "dead") && fleet.Agree({2, 3, 4}));
  fleet.net.SetPasses([](int, int) { return true; });
  EXPECT_SOON(fleet.Agree(kAllMembers) && fleet.Members(0).at("states").at("alive") == 5);
  // A one-way partition: 0 is heard by all and hears nobody, so it reports that its view is not usable.
  fleet.net.SetPasses([](int, int to) { return to != 0; });
  EXPECT_SOON(fleet.Members(0).at("usable") == false);
  fleet.net.SetPasses([](int, int) { return true; });
  EXPECT_SOON(fleet.Agree(kAllMembers) && fleet.Members(3).at("states").at("alive") == 5);
}

TEST(Members, UpgradeHandsOverTheAddressWithoutReportedDeaths) {
  PeerFleet fleet(3);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree({0, 1, 2}));
  std::vector<long> deaths = fleet.DeathCounts({0, 2});
  auto replacement = fleet.NewProcess(fleet.ConfigOf(1), 1);
  EXPECT_FALSE(PeerFleet::MembersOf(*replacement).at("speaks"));  // only one of the two processes takes part
  EXPECT_TRUE(fleet.Members(1).at("speaks"));
  fleet.gateways[1]->Signal(SIGTERM);
  EXPECT_EQ(fleet.gateways[1]->WaitForExit(), 0);
  fleet.gateways[1] = std::move(replacement);
  EXPECT_SOON(fleet.Agree({0, 1, 2}));
  // The same if the old process is killed.
  replacement = fleet.NewProcess(fleet.ConfigOf(1), 1);
  fleet.Kill(1);
  fleet.gateways[1] = std::move(replacement);
  EXPECT_SOON(fleet.Members(1).at("speaks") == true);
  EXPECT_SOON(fleet.Agree({0, 1, 2}));
  EXPECT_SOON(fleet.AllSee({0, 2}, 1, "alive"));  // a busy machine may suspect it until it has refuted
  EXPECT_EQ(fleet.DeathCounts({0, 2}), deaths);
}

TEST(Members, SighupResizesTheFleetWhilePeerListsDiffer) {
  PeerFleet fleet(4);
  for (int member : {0, 1, 2}) fleet.Start(member, fleet.ConfigOf(member, 3));
  ASSERT_SOON(fleet.Agree({0, 1, 2}));
  fleet.Start(3, fleet.ConfigOf(3, 4));
  fleet.gateways[0]->Reconfigure(fleet.ConfigOf(0, 4));
  // Two members have the longer list and two do not yet; that causes no deaths.
  EXPECT_SOON(fleet.StateSeenBy(0, 3) == "alive" && Incarnation(fleet, 0, 3) > 0);
  EXPECT_EQ(fleet.Members(1).at("members").size(), 3u);
  EXPECT_SOON(ReadMetric(fleet.gateways[1]->admin_port, "members_dropped_stranger") > 0);
  for (int member : {1, 2})
    fleet.gateways[static_cast<size_t>(member)]->Reconfigure(fleet.ConfigOf(member, 4));
  EXPECT_SOON(fleet.Agree({0, 1, 2, 3}) && fleet.Members(1).at("states").at("alive") == 4);
  EXPECT_EQ(fleet.Members(1).at("runs").size(), 1u);
  fleet.Kill(3);
  for (int member : {0, 1, 2})
    fleet.gateways[static_cast<size_t>(member)]->Reconfigure(fleet.ConfigOf(member, 3));
  EXPECT_SOON(fleet.Agree({0, 1, 2}) && fleet.Members(1).at("members").size() == 3);
}

TEST(Members, HostileDatagramsAreDroppedAndCountedByReason) {
  PeerFleet fleet(3);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree({0, 1, 2}));
  std::string valid = fleet.net.LastDatagram(1), other_member = fleet.net.LastDatagram(2);
  int ops = fleet.gateways[0]->admin_port;
  auto dropped = [&](const std::string& reason, long least) {
    return ReadMetric(ops, "members_dropped_" + reason) >= least;
  };
  auto with_byte = [&](size_t at, char to) {
    std::string bytes = valid;
    bytes[at] = to;
    return bytes;
  };
  fleet.net.Inject(-1, 0, valid);
  EXPECT_SOON(dropped("stranger", 1));
  fleet.net.Inject(1, 0, other_member);  // from the address of member 1, with the number 2
  EXPECT_SOON(dropped("misnumbered", 1));
  fleet.net.Inject(1, 0, "");
  fleet.net.Inject(1, 0, std::string(256, 'x').replace(0, 2, "LM"));
  fleet.net.Inject(1, 0, std::string(1200, 'x'));
  fleet.net.Inject(1, 0, with_byte(3, 77));
  fleet.net.Inject(1, 0, with_byte(4, 0x1f));
  fleet.net.Inject(1, 0, valid.substr(0, valid.size() - 1));
  EXPECT_SOON(dropped("length", 2) && dropped("format", 1) && dropped("kind", 1) && dropped("number", 1) &&
              dropped("section", 1));
  // 10,000 in a burst: most are dropped before their updates are read, and the replies stay within the rate
  // limit.
  long sent_before = fleet.net.SentCount();
  for (int i = 0; i < 10000; ++i) fleet.net.Inject(1, 0, valid);
  EXPECT_SOON(dropped("flood", 100));
  EXPECT_LT(fleet.net.SentCount() - sent_before, 10000);
  EXPECT_SOON(fleet.Agree({0, 1, 2}) && fleet.Members(0).at("states").at("alive") == 3);
  auto client = fleet.gateways[0]->Connect();
  EXPECT_EQ(SendRequest(*client, kReadinessRequest).status(), 200);
}

TEST(Members, DuplicateMemberNumbersAreReportedWithoutRepeatedRefutation) {
  PeerFleet fleet(4);
  fleet.StartAll();
  ASSERT_SOON(fleet.Agree({0, 1, 2, 3}));
  // Gateway 0 restarts with the number 2, as with a configuration file that was copied.
  fleet.Kill(0);
  json copied = fleet.ConfigOf(2);
  copied["peer_listen"] = fleet.ConfigOf(0).at("peer_listen");
  fleet.Start(0, copied);
  fleet.net.SetListenPort(0, std::stoi(copied.at("peer_listen").get<std::string>().substr(10)));
  EXPECT_SOON(ReadMetric(fleet.gateways[1]->admin_port, "members_dropped_misnumbered") > 0);
  EXPECT_SOON(ReadMetric(fleet.gateways[0]->admin_port, "members_dropped_claimed") > 0);
  EXPECT_SOON(fleet.Members(0).at("verdict") == "cut off");
  EXPECT_SOON(fleet.Agree({1, 2, 3}) && fleet.AllSee({1, 2, 3}, 2, "alive") &&
              fleet.AllSee({1, 2, 3}, 0, "dead"));
  // The real member keeps its incarnation, however long the other process claims its number.
  uint32_t incarnation_before = Incarnation(fleet, 1, 2);
  long refuted_before = ReadMetric(fleet.gateways[2]->admin_port, "members_refuted");
  long heard_before = ReadMetric(fleet.gateways[2]->admin_port, "members_heard");
  EXPECT_SOON(ReadMetric(fleet.gateways[2]->admin_port, "members_heard") > heard_before + 100);
  EXPECT_LE(ReadMetric(fleet.gateways[2]->admin_port, "members_refuted"), refuted_before + 1);
  EXPECT_LE(Incarnation(fleet, 1, 2), incarnation_before + 1);
}

TEST(Members, InvalidMembershipConfigurationIsRejected) {
  struct Case {
    std::function<void(json&)> invalidate;
    const char* expected_error;
  };
  PeerFleet fleet(2);
  for (const Case& test_case : std::vector<Case>{
           {[](json& config) { config["extensions"]["membership"] = 1; },
            "/extensions/membership: must be an object"},
           {[](json& config) { config["extensions"]["membership"]["x"] = 1; },
            "/extensions/membership/x: is not known"},
           {[](json& config) { config["extensions"]["membership"]["share"] = 2; },
            "must be a number from 0.05 to 1"},
           {[](json& config) { config.erase("peer_listen"); }, "/peer_listen: must be an IPv4 address"},
           {[](json& config) { config["peers"] = 3; }, "/peers: must be a list"},
           {[](json& config) { config["peers"].erase(1); }, "/peers: must hold one address for each"},
           {[](json& config) { config["peers"][1] = "[::1]:5000"; }, "/peers/1: must be an IPv4 address"},
           {[](json& config) { config["peers"][1] = config["peers"][0]; }, "/peers/1: occurs twice"},
           {[](json& config) { config["settings"]["me"] = 2; }, "/settings/me: must be a place in /peers"},
           {[](json& config) { config["settings"]["specifics"].erase("peer-in-per-s"); },
            "/settings/specifics/peer-in-per-s: must be a number"}}) {
    json config = fleet.ConfigOf(0);
    test_case.invalidate(config);
    auto process = fleet.NewProcess(config, 0);
    EXPECT_EQ(process->WaitForExit(), 1) << test_case.expected_error;
    EXPECT_NE(process->listen_line.find(test_case.expected_error), std::string::npos) << process->listen_line;
  }
}

}  // namespace
}  // namespace rig
