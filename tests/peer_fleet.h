/// Several gateway processes, and a proxy for the datagrams between them that the test controls.
#ifndef LEMONCHUTE_TESTS_PEER_FLEET_H_
#define LEMONCHUTE_TESTS_PEER_FLEET_H_

#include <numeric>

#include "gateway_site.h"

namespace rig {

/// A UDP proxy with one address for each member, at which the others find it (`peers`). Forwards or drops
/// each datagram and counts what each member sends.
class PeerNet {
 public:
  explicit PeerNet(int members)
      : listen_ports_(static_cast<size_t>(members), 0), sent_counts_(listen_ports_.size(), 0) {
    for (int m = 0; m < members; ++m) sockets_.push_back(OpenSocket(&ports_.emplace_back()));
    unknown_sender_ = OpenSocket(nullptr);
    if (pipe(stop_pipe_) != 0) ADD_FAILURE() << "pipe";
    thread_ = std::thread([this] { Run(); });
  }
  ~PeerNet() {
    (void)!write(stop_pipe_[1], "x", 1);
    thread_.join();
    for (int fd : sockets_) close(fd);
    for (int fd : {unknown_sender_, stop_pipe_[0], stop_pipe_[1]}) close(fd);
  }
  json Addresses(int members) const {
    json all = json::array();
    for (int m = 0; m < members; ++m)
      all.push_back("127.0.0.1:" + std::to_string(ports_[static_cast<size_t>(m)]));
    return all;
  }
  /// @return the port that the member itself listens on; 0 if not known yet.
  int ListenPort(int m) {
    std::lock_guard lock(mutex_);
    return listen_ports_[static_cast<size_t>(m)];
  }
  void SetListenPort(int m, int port) {
    std::lock_guard lock(mutex_);
    listen_ports_[static_cast<size_t>(m)] = port;
  }
  void SetPasses(std::function<bool(int from, int to)> passes) {
    std::lock_guard lock(mutex_);
    passes_ = std::move(passes);
  }
  long SentCount() {
    std::lock_guard lock(mutex_);
    return std::accumulate(sent_counts_.begin(), sent_counts_.end(), 0L);
  }
  size_t longest_datagram() {
    std::lock_guard lock(mutex_);
    return longest_datagram_;
  }
  /// @return the last datagram that the member sent.
  std::string LastDatagram(int from) {
    std::lock_guard lock(mutex_);
    return last_datagrams_[from];
  }
  /// Sends a datagram as if from a member.
  /// @param from the member; -1 for an address that is no member's.
  void Inject(int from, int to, const std::string& bytes) {
    sockaddr_in at;
    close(MakeLoopbackSocket(&at, ListenPort(to)));
    sendto(from < 0 ? unknown_sender_ : sockets_[static_cast<size_t>(from)], bytes.data(), bytes.size(), 0,
           reinterpret_cast<sockaddr*>(&at), sizeof(at));
  }

 private:
  static int OpenSocket(int* port) {
    sockaddr_in at;
    close(MakeLoopbackSocket(&at, 0));
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    socklen_t size = sizeof(at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    if (port != nullptr) *port = ntohs(at.sin_port);
    return fd;
  }
  void Run() {
    std::vector<pollfd> all;
    for (int fd : sockets_) all.push_back({fd, POLLIN, 0});
    all.push_back({stop_pipe_[0], POLLIN, 0});
    for (;;) {
      poll(all.data(), all.size(), -1);
      if (all.back().revents != 0) return;
      for (size_t to = 0; to < sockets_.size(); ++to) {
        if (all[to].revents != 0) Forward(static_cast<int>(to));
      }
    }
  }
  void Forward(int to) {
    char bytes[2048];
    sockaddr_in sender{};
    socklen_t size = sizeof(sender);
    ssize_t n = recvfrom(sockets_[static_cast<size_t>(to)], bytes, sizeof(bytes), MSG_DONTWAIT,
                         reinterpret_cast<sockaddr*>(&sender), &size);
    if (n < 0) return;
    std::lock_guard lock(mutex_);
    auto at = std::find(listen_ports_.begin(), listen_ports_.end(), ntohs(sender.sin_port));
    if (at == listen_ports_.end()) return;
    auto from = static_cast<int>(at - listen_ports_.begin());
    ++sent_counts_[static_cast<size_t>(from)];
    longest_datagram_ = std::max(longest_datagram_, static_cast<size_t>(n));
    last_datagrams_[from].assign(bytes, static_cast<size_t>(n));
    int port = listen_ports_[static_cast<size_t>(to)];
    if (port == 0 || !passes_(from, to)) return;
    sockaddr_in destination;
    close(MakeLoopbackSocket(&destination, port));
    sendto(sockets_[static_cast<size_t>(from)], bytes, static_cast<size_t>(n), 0,
           reinterpret_cast<sockaddr*>(&destination), sizeof(destination));
  }

  std::vector<int> sockets_, ports_;
  int unknown_sender_ = -1, stop_pipe_[2] = {-1, -1};
  std::mutex mutex_;
  std::vector<int> listen_ports_;
  std::vector<long> sent_counts_;
  size_t longest_datagram_ = 0;
  std::map<int, std::string> last_datagrams_;
  std::function<bool(int, int)> passes_ = [](int, int) { return true; };
  std::thread thread_;
};

/// Gateways 0 to `members` - 1 with a folder each, queried through their admin endpoints.
class PeerFleet {
 public:
  explicit PeerFleet(int members, json extensions = {{"membership", json::object()}})
      : net(members), extensions_(std::move(extensions)), folders_(static_cast<size_t>(members)) {
    discovery_.SetList(json::array({EndpointEntry("s1", backend_.port())}));
    gateways.resize(static_cast<size_t>(members));
  }
  json ConfigOf(int m, int members) {
    json config = DefaultConfig(discovery_.port(), counter_.port());
    config["name"] = "n" + std::to_string(m);
    config["settings"]["me"] = m, config["settings"]["peers-total"] = members;
    // A probe period of 0.1 s, so that the tests need not wait long.
    config["settings"]["specifics"]["peer-in-per-s"] = 240;
    config["peer_listen"] = "127.0.0.1:" + std::to_string(net.ListenPort(m));
    config["peers"] = net.Addresses(members);
    if (!extensions_.is_null()) config["extensions"] = extensions_;
    return config;
  }
  json ConfigOf(int m) { return ConfigOf(m, static_cast<int>(gateways.size())); }
  std::unique_ptr<GatewayProcess> NewProcess(const json& config, int m) {
    return std::make_unique<GatewayProcess>(
        config, LEMONCHUTE_GATEWAY, 0,
        GatewayProcess::Environment{{"LB_OPS", "127.0.0.1:0"},
                                    {"TMPDIR", folders_[static_cast<size_t>(m)].path()}});
  }
  void Start(int m, const json& config) {
    auto& gateway = gateways[static_cast<size_t>(m)];
    gateway = NewProcess(config, m);
    EXPECT_NE(gateway->port, 0) << gateway->listen_line;
    size_t at = gateway->early_log.find("speaks at 127.0.0.1:");
    if (at != std::string::npos)
      net.SetListenPort(m, std::atoi(gateway->early_log.c_str() + gateway->early_log.find(':', at) + 1));
  }
  void Start(int m) { Start(m, ConfigOf(m)); }
  void StartAll() {
    for (size_t m = 0; m < gateways.size(); ++m) Start(static_cast<int>(m));
  }
  void Kill(int m) {
    auto& gateway = gateways[static_cast<size_t>(m)];
    gateway->Signal(SIGKILL);
    EXPECT_EQ(gateway->WaitForExit(), -SIGKILL);
    gateway.reset();
  }
  json Members(int m) const { return MembersOf(*gateways[static_cast<size_t>(m)]); }
  static json MembersOf(const GatewayProcess& process) {
    return json::parse(AdminCall(process.admin_port, "GET", "/control/members").body, nullptr, false);
  }
  /// @return the state of member `m` as the observer sees it.
  std::string StateSeenBy(int observer, int m) const {
    json members = Members(observer).value("members", json::array());
    return static_cast<size_t>(m) < members.size() ? members[static_cast<size_t>(m)].at("state") : "";
  }
  bool AllSee(const std::vector<int>& observers, int m, const std::string& state) const {
    return std::all_of(observers.begin(), observers.end(),
                       [&](int observer) { return StateSeenBy(observer, m) == state; });
  }
  /// @return how many deaths each observer has counted.
  std::vector<long> DeathCounts(const std::vector<int>& observers) const {
    std::vector<long> all;
    for (int observer : observers)
      all.push_back(ReadMetric(gateways[static_cast<size_t>(observer)]->admin_port, "members_deaths"));
    return all;
  }
  /// Whether all observers report the same digest, and that verdict.
  bool Agree(const std::vector<int>& observers, const std::string& verdict = "converged") const {
    json first = Members(observers[0]);
    return std::all_of(observers.begin(), observers.end(), [&](int observer) {
      json view = Members(observer);
      return view.value("verdict", "") == verdict && view.at("digest") == first.value("digest", "");
    });
  }

  PeerNet net;
  std::vector<std::unique_ptr<GatewayProcess>> gateways;

 private:
  json extensions_;
  std::vector<TempFolder> folders_;
  Counter counter_{[](const std::string&, double) { return BulkString("0"); }};
  Backend backend_{RespondsWith(OkResponse("x"))};
  Discovery discovery_;
};

/// Polls until the condition holds.
template <typename Holds>
::testing::AssertionResult Await(const char* what, Holds holds) {
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kEventTimeoutS);
  while (std::chrono::steady_clock::now() < limit) {
    if (holds()) return ::testing::AssertionSuccess();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return ::testing::AssertionFailure() << "still false after " << kEventTimeoutS << " s: " << what;
}
#define EXPECT_SOON(...) EXPECT_TRUE(Await(#__VA_ARGS__, [&] { return __VA_ARGS__; }))
#define ASSERT_SOON(...) ASSERT_TRUE(Await(#__VA_ARGS__, [&] { return __VA_ARGS__; }))

}  // namespace rig

#endif  // LEMONCHUTE_TESTS_PEER_FLEET_H_
