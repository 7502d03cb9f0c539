// What they send: nothing; half of a head; a line that is no HTTP; a length that is no number; a head without
// end; a request without what it needs; a request whose sender ends its side at once.
#include "play/real/misbehaving_peers.h"

#include <array>
#include <boost/asio/write.hpp>
#include <memory>

#include "model/settings.h"

namespace lemonchute::lab {
namespace {

using tcp = boost::asio::ip::tcp;
constexpr Micros kOwedWithin = 3 * kSecond;
constexpr Micros kSlack = 50'000;  // every limit is so much longer on sockets (PROTOCOL)

const std::array<std::string, 8>& Texts() {
  static const std::array<std::string, 8> texts = {
      "",
      "GET /view-orar HTTP/1.1\r\nHost: app.svc\r\nRequest-",
      "\x16\x03\x01\x02\x05 this is no HTTP\r\n\r\n",
      "POST /view-orar HTTP/1.1\r\nHost: app.svc\r\nContent-Length: many\r\n\r\n",
      "GET /view-orar HTTP/1.1\r\nX-Endless: " + std::string(200'000, 'x'),
      "GET /view-orar HTTP/1.1\r\nHost: app.svc\r\n\r\n",
      "GET /view-orar HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: 00\r\nX-Tier: none\r\nCookie: client=zz\r\n"
      "Request-Timeout-Ms: -5\r\nX-Call-Terms: units=x\r\n\r\n",
      "POST /view-orar HTTP/1.1\r\nHost: app.svc\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
  };
  return texts;
}

}  // namespace

struct MisbehavingPeers::Peer {
  Peer(asio::io_context& io, int g) : socket(io), gateway(g) {}
  tcp::socket socket;
  int gateway;
  std::string sends, got;
  std::array<char, 4096> part;
  bool over = false;
};

MisbehavingPeers::MisbehavingPeers(World& world, std::function<bool(int)> owes)
    : world_(world), owes_(std::move(owes)), random_(world.day.seed, Stream::kClients, uint64_t{1} << 37) {}

void MisbehavingPeers::Come(double times_a_second) {
  times_a_second_ = times_a_second;
  ++round_;
  if (times_a_second_ > 0) Next(round_);
}

void MisbehavingPeers::Next(uint64_t round) {
  if (round != round_) return;
  world_.schedule.After(FromSeconds(1 / times_a_second_), [this, round] { Next(round); });
  auto peer = std::make_shared<Peer>(world_.io, random_.UniformInt(world_.day.gateways));
  peer->sends = Texts()[static_cast<size_t>(random_.UniformInt(static_cast<int>(Texts().size())))];
  bool ends = random_.Chance(0.2);
  world_.schedule.After(kOwedWithin + kSlack, [this, peer] { Over(peer, false); });
  peer->socket.async_connect(
      world_.slice.Gateway(peer->gateway), [this, peer, ends](boost::system::error_code error) {
        if (error) return Over(peer, true);  // turned away is dealt with
        asio::async_write(peer->socket, asio::buffer(peer->sends),
                          [peer, ends](boost::system::error_code failed, size_t) {
                            boost::system::error_code ignored;
                            if (!failed && ends && !peer->over)
                              peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
                          });
        Read(peer);
      });
}

void MisbehavingPeers::Read(const std::shared_ptr<Peer>& peer) {
  peer->socket.async_read_some(
      asio::buffer(peer->part), [this, peer](boost::system::error_code error, size_t n) {
        if (peer->over) return;
        peer->got.append(peer->part.data(), n);
        bool answered = peer->got.size() >= 12;  // "HTTP/1.1 400"
        if (answered && peer->got[9] == '2') {
          world_.judge.AddViolation("one answer", world_.Now(), UINT32_MAX,
                                    GatewayName(peer->gateway) +
                                        " served what was no proper request: " + peer->sends.substr(0, 40));
        }
        if (error || answered) return Over(peer, true);
        Read(peer);
      });
}

void MisbehavingPeers::Over(const std::shared_ptr<Peer>& peer, bool dealt_with) {
  if (peer->over) return;
  peer->over = true;
  boost::system::error_code ignored;
  peer->socket.close(ignored);
  if (owes_(peer->gateway)) world_.judge.OnMisbehavingPeer(dealt_with);
}

}  // namespace lemonchute::lab
