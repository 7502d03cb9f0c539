// Owns the addresses of one real day: a slice of 127.0.0.0/8 that no other running lab has, with one address
// for each party, so that gateways, agents, counters and backends are told apart.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_SITE_H_
#define LEMONCHUTE_LAB_PLAY_REAL_SITE_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace lemonchute::lab {

class Slice {
 public:
  // Takes the first free slice; throws CannotPlay where there is none.
  explicit Slice(boost::asio::io_context& io);

  boost::asio::ip::tcp::endpoint Gateway(int g) const { return At(1, g, 5000); }
  boost::asio::ip::tcp::endpoint Ops(int g, int process) const {
    return At(1, g, static_cast<unsigned short>(9800 + process));
  }
  boost::asio::ip::tcp::endpoint Agent(int g) const { return At(2, g, 8500); }
  boost::asio::ip::tcp::endpoint Counter(int g) const { return At(3, g, 6400); }
  boost::asio::ip::tcp::endpoint Backend(int b) const { return At(10 + b / 250, b % 250, 9000); }
  // Where a gateway listens for its peers, where they find it, and where one finds all of them.
  boost::asio::ip::tcp::endpoint PeerListen(int g) const { return At(1, g, 7946); }
  boost::asio::ip::tcp::endpoint Peer(int g) const { return At(4, g, 7946); }
  boost::asio::ip::tcp::endpoint AllPeers() const { return At(5, 0, 7946); }
  // The near ends of paths that a relay carries.
  boost::asio::ip::tcp::endpoint AgentVia(int g) const { return At(6, g, 8500); }
  boost::asio::ip::tcp::endpoint CounterVia(int g) const { return At(7, g, 6400); }
  boost::asio::ip::tcp::endpoint BackendVia(int g, int b) const { return At(kVia + g, b, 9000); }
  static constexpr int kVia = 60, kMostVia = 250;  // gateways and backends that have such addresses
  static std::string Text(const boost::asio::ip::tcp::endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
  }

 private:
  boost::asio::ip::tcp::endpoint At(int third, int fourth, unsigned short port) const {
    auto bytes = boost::asio::ip::address_v4::bytes_type{127, static_cast<unsigned char>(slice_),
                                                         static_cast<unsigned char>(third),
                                                         static_cast<unsigned char>(fourth + 1)};
    return {boost::asio::ip::address_v4(bytes), port};
  }
  int slice_ = 0;
  std::optional<boost::asio::ip::tcp::acceptor> lock_;  // held as long as the slice is in use
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_SITE_H_
