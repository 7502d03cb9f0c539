// Owns the streams between gateways and the parties behind them on days on which such a path is befallen: a
// listener for each path, bytes both ways, each way with its own faults.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_RELAYS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_RELAYS_H_

#include <array>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "play/real/receive_timestamps.h"
#include "play/real/world.h"

namespace lemonchute::lab {

using tcp = boost::asio::ip::tcp;

// One path: what a gateway connects to, and who is really there.
class Relay {
 public:
  // Listens at `at` from Open() on.
  Relay(World& world, int gateway, RemoteParty far, int other, const tcp::endpoint& at,
        const tcp::endpoint& to);
  ~Relay() { Close(); }
  void Open();     // throws boost::system::system_error where the address is taken
  void Close();    // as its party does that ends: connections are reset, new ones refused
  void Changed();  // a fault on some path began or ended

 private:
  struct Chunk {
    Schedule::Clock::time_point due;
    std::string bytes;
  };
  struct Half {  // one way of a connection
    std::array<char, 16384> part;
    std::deque<Chunk> held;
    size_t bytes = 0;
    Schedule::Clock::time_point last;
    bool reading = false, writing = false, armed = false, ended = false;
  };
  struct Link {
    Link(tcp::socket near_end, asio::io_context& io) : near(std::move(near_end)), far(io) {}
    tcp::socket near, far;
    tcp::endpoint far_end;  // the relay's own, as the party behind it sees it
    Half out, in;
    bool mute = false;    // taken while nothing passed: silent until the heal, then reset
    bool holed = false;   // bytes of it are lost for good: of no use after the heal
    bool joined = false;  // the party behind it has been reached
    bool gone = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  PathState State(bool out) const {
    return out ? world_.paths.Outbound(gateway_, far_, other_) : world_.paths.Inbound(gateway_, far_, other_);
  }
  void Accept();
  void Take(tcp::socket socket);
  void Read(const LinkPtr& link, bool out);
  void OnReadable(const LinkPtr& link, bool out);
  void Keep(const LinkPtr& link, bool out, const Received& received);
  void Pump(const LinkPtr& link, bool out);
  void Reset(const LinkPtr& link);
  void Forget(const LinkPtr& link);

  World& world_;
  const int gateway_, other_;
  const RemoteParty far_;
  const tcp::endpoint at_, to_;
  std::optional<tcp::acceptor> acceptor_;
  std::set<LinkPtr> links_;
};

class Relays {
 public:
  // Opens all paths of the day, where it needs them at all (World::relayed).
  explicit Relays(World& world);
  void Changed();
  void Backend(int backend, bool up);  // the party at the far ends of its paths starts or ends
  size_t paths() const { return relays_.size(); }

 private:
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<std::vector<Relay*>> to_backend_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_RELAYS_H_
