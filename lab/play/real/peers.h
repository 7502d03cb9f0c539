// Owns the only way from one gateway to another: for each gateway the address at which its peers find it, and
// datagrams carried from there to its `peer_listen`, or not.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_PEERS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_PEERS_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <vector>

#include "checker/history.h"
#include "play/real/world.h"

namespace lemonchute::lab {

using tcp = boost::asio::ip::tcp;

class Peers {
 public:
  // Throws boost::system::system_error where an address is taken.
  Peers(World& world, History& history);

  struct Counts {
    uint64_t sent = 0, arrived = 0, lost = 0, too_long = 0, too_many = 0, strangers = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  using udp = boost::asio::ip::udp;
  struct Address {
    explicit Address(udp::socket s) : socket(std::move(s)) {}
    udp::socket socket;
    udp::endpoint sender;
    std::array<char, 65536> datagram;
  };
  void Read(size_t address);
  void Carry(int from, int to, const std::string& bytes);
  void Arrive(int from, int to, const std::string& bytes);
  // The gateway whose `peer_listen` that is; -1: none.
  int GatewayAt(const udp::endpoint& at) const;

  World& world_;
  History& history_;
  std::vector<std::unique_ptr<Address>> addresses_;  // by gateway; the last is everyone's
  std::vector<std::vector<Micros>> heard_;           // by gateway: arrivals of the last second
  Counts counts_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_PEERS_H_
