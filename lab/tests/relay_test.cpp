// The relays on real sockets, without any process: what a path lets pass, each way by itself.
#include <boost/asio/write.hpp>

#include "checker/rules.h"
#include "play/real/peers.h"
#include "play/real/relays.h"
#include "tiny.h"

namespace lemonchute::lab {
namespace {

using udp = asio::ip::udp;

// Runs the loop until `what` holds; the limit is far above what it takes.
template <typename Condition>
bool Until(World& world, Condition what) {
  auto end = Schedule::Clock::now() + std::chrono::seconds(10);
  while (Schedule::Clock::now() < end) {
    if (what()) return true;
    world.io.restart();
    world.io.run_one_for(std::chrono::milliseconds(20));
  }
  return false;
}

// A gateway's end of one path to the counter, and the counter's end behind a relay, which sends back what
// comes.
class Path {
 public:
  explicit Path(const PathFault& fault)
      : day_(WithFault(fault)),
        world_(day_),
        relay_(world_, 0, RemoteParty::kCounter, 0, Near(), There()),
        acceptor_(world_.io, There()),
        client_(world_.io) {
    Accept();
    relay_.Open();
  }
  void Set(bool on) {
    world_.paths.SetActive(0, on);
    relay_.Changed();
  }
  void Connect() {
    client_.connect(Near());
    Read();
  }
  void Write(const std::string& text) { asio::write(client_, asio::buffer(text)); }
  // Whether all of `text` has come back, or has been seen on the far side, or the client was reset.
  bool Returns(const std::string& text) {
    return Until(world_, [&] { return back_ == text; });
  }
  bool Arrives(const std::string& text) {
    return Until(world_, [&] { return there_ == text; });
  }
  bool Resets() {
    return Until(world_, [&] { return ended_; });
  }
  // Through twenty turns of the clock no more than that has passed.
  bool Waits(size_t there, size_t back) {
    for (int i = 0; i < 20; ++i) {
      bool turned = false;
      world_.schedule.After(1000, [&] { turned = true; });
      if (!Until(world_, [&] { return turned; })) return false;
    }
    return there_.size() == there && back_.size() == back && !ended_;
  }
  int reads() const { return reads_; }

 private:
  static RunSpec WithFault(const PathFault& fault) {
    RunSpec day = TinyDay();
    day.path_faults = {fault};
    return day;
  }
  tcp::endpoint Near() const { return world_.slice.CounterVia(0); }
  tcp::endpoint There() const { return world_.slice.Counter(0); }

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      echo_.push_back(std::make_unique<tcp::socket>(std::move(socket)));
      Echo(echo_.back().get());
      Accept();
    });
  }
  void Echo(tcp::socket* socket) {
    socket->async_read_some(asio::buffer(part_), [this, socket](boost::system::error_code error, size_t n) {
      if (error) return;
      there_.append(part_.data(), n);
      asio::write(*socket, asio::buffer(part_, n));
      Echo(socket);
    });
  }
  void Read() {
    client_.async_read_some(asio::buffer(in_), [this](boost::system::error_code error, size_t n) {
      ended_ = static_cast<bool>(error);
      if (error) return;
      ++reads_;
      back_.append(in_.data(), n);
      Read();
    });
  }

  RunSpec day_;
  World world_;
  Relay relay_;
  tcp::acceptor acceptor_;
  tcp::socket client_;
  std::vector<std::unique_ptr<tcp::socket>> echo_;
  std::array<char, 4096> part_, in_;
  std::string there_, back_;
  int reads_ = 0;
  bool ended_ = false;
};

PathFault Fault(PathFaultKind harm, PathDirection ways = PathDirection::kBoth, double size = 0) {
  return {RemoteParty::kCounter, ways, harm, {0}, {}, size};
}

TEST(Relay, HoldsBackWhatIsCutAndPassesItOnAfterTheHeal) {
  struct Case {
    PathDirection ways;
    size_t there, back;  // bytes of the second word that pass during the cut
  };
  for (const Case& c :
       {Case{PathDirection::kBoth, 0, 0}, Case{PathDirection::kOut, 0, 0}, Case{PathDirection::kIn, 5, 0}}) {
    Path path(Fault(PathFaultKind::kCut, c.ways));
    path.Connect();
    path.Write("first");
    ASSERT_TRUE(path.Returns("first"));
    path.Set(true);
    path.Write("again");
    EXPECT_TRUE(path.Waits(5 + c.there, 5 + c.back)) << static_cast<int>(c.ways);
    path.Set(false);
    EXPECT_TRUE(path.Returns("firstagain"));
  }
}

TEST(Relay, WhatConnectsDuringACutIsSilentAndThenReset) {
  Path path(Fault(PathFaultKind::kCut, PathDirection::kIn));
  path.Set(true);
  path.Connect();
  path.Write("hello");
  EXPECT_TRUE(path.Waits(0, 0));
  path.Set(false);
  EXPECT_TRUE(path.Resets());
}

TEST(Relay, ABlackHoleLosesForGoodAndAResetEndsAtOnce) {
  for (PathFaultKind harm : {PathFaultKind::kBlackHole, PathFaultKind::kReset}) {
    Path path(Fault(harm));
    path.Connect();
    path.Write("first");
    ASSERT_TRUE(path.Returns("first"));
    path.Set(true);
    if (harm == PathFaultKind::kBlackHole) {
      path.Write("again");
      EXPECT_TRUE(path.Waits(5, 5));
      path.Set(false);
    }
    EXPECT_TRUE(path.Resets());
  }
}

TEST(Relay, ATricklePassesAllInManyPieces) {
  Path path(Fault(PathFaultKind::kThrottle, PathDirection::kIn, 2000));
  path.Set(true);
  path.Connect();
  std::string text(1000, 'x');
  path.Write(text);
  EXPECT_TRUE(path.Returns(text));
  EXPECT_GE(path.reads(), 5);  // 100 bytes each 50 ms
}

// Two gateways' ends of the datagrams between them.
struct Pair {
  Pair() : day(TinyDay()), world(day), peers(world, history) {
    for (int g = 0; g < 2; ++g) {
      auto at = world.slice.PeerListen(g);
      sockets.emplace_back(world.io, udp::endpoint(at.address(), at.port()));
      sockets.back().non_blocking(true);
    }
  }
  static udp::endpoint To(const tcp::endpoint& at) { return {at.address(), at.port()}; }
  void Send(int from, const udp::endpoint& to, size_t bytes) {
    sockets[static_cast<size_t>(from)].send_to(asio::buffer(std::string(bytes, 'd')), to);
  }
  // The next datagram at `to`: its length, and where it came from; 0 where none comes.
  size_t Next(int to, udp::endpoint* from) {
    size_t length = 0;
    std::array<char, 1024> bytes;
    Until(world, [&] {
      boost::system::error_code none_yet;
      length = sockets[static_cast<size_t>(to)].receive_from(asio::buffer(bytes), *from, 0, none_yet);
      return length > 0;
    });
    return length;
  }
  RunSpec day;
  World world;
  History history;
  Peers peers;
  std::vector<udp::socket> sockets;
};

TEST(Peers, DatagramsComeFromTheSendersAddressAndTheirBoundsHold) {
  Pair pair;
  udp::endpoint from;
  pair.Send(0, Pair::To(pair.world.slice.Peer(1)), 256);
  EXPECT_EQ(pair.Next(1, &from), 256u);
  EXPECT_EQ(from, Pair::To(pair.world.slice.Peer(0)));
  pair.Send(1, Pair::To(pair.world.slice.AllPeers()), 9);
  EXPECT_EQ(pair.Next(0, &from), 9u);
  EXPECT_EQ(from, Pair::To(pair.world.slice.Peer(1)));
  pair.Send(0, Pair::To(pair.world.slice.Peer(1)), 257);
  udp::socket stranger(pair.world.io, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  stranger.send_to(asio::buffer("?", 1), Pair::To(pair.world.slice.Peer(1)));
  EXPECT_TRUE(Until(pair.world,
                    [&] { return pair.peers.counts().too_long == 1 && pair.peers.counts().strangers == 1; }));
  // One takes 60 in a second; what comes faster is dropped and named.
  for (int i = 0; i < 80; ++i) pair.Send(0, Pair::To(pair.world.slice.Peer(1)), 8);
  EXPECT_TRUE(Until(pair.world, [&] { return pair.peers.counts().too_many >= 20; }));
  pair.history.Sort();
  std::string named;
  for (const FleetViolation& f : CheckFleet(pair.history, RuleLimitsOf(pair.day, pair.world.Now())))
    named += f.description + "; ";
  EXPECT_NE(named.find("gateway 0 sent a datagram of 257 bytes to n1"), std::string::npos) << named;
  EXPECT_NE(named.find("gateway 1 was sent 61 datagrams in a second"), std::string::npos) << named;
}

}  // namespace
}  // namespace lemonchute::lab
