// One socket a gateway serves all its paths: who sent is known by its own address, and the receiver sees it
// come from the sender's address in `peers`.
#include "play/real/peers.h"

#include <algorithm>

#include "model/settings.h"

namespace lemonchute::lab {

Peers::Peers(World& world, History& history)
    : world_(world), history_(history), heard_(static_cast<size_t>(world.day.gateways)) {
  auto open = [&](const tcp::endpoint& at) {
    addresses_.push_back(
        std::make_unique<Address>(udp::socket(world.io, udp::endpoint(at.address(), at.port()))));
    Read(addresses_.size() - 1);
  };
  for (int g = 0; g < world.day.gateways; ++g) open(world.slice.Peer(g));
  open(world.slice.AllPeers());
}

int Peers::GatewayAt(const udp::endpoint& at) const {
  for (int g = 0; g < world_.day.gateways; ++g) {
    tcp::endpoint listen = world_.slice.PeerListen(g);
    if (listen.address() == at.address() && listen.port() == at.port()) return g;
  }
  return -1;
}

void Peers::Read(size_t number) {
  Address& address = *addresses_[number];
  address.socket.async_receive_from(asio::buffer(address.datagram), address.sender,
                                    [this, number, &address](boost::system::error_code error, size_t bytes) {
                                      if (error == asio::error::operation_aborted) return;
                                      int from = GatewayAt(address.sender);
                                      if (!error && from < 0) ++counts_.strangers;
                                      if (!error && from >= 0) {
                                        std::string datagram(address.datagram.data(), bytes);
                                        bool all = number + 1 == addresses_.size();
                                        if (!all) Carry(from, static_cast<int>(number), datagram);
                                        for (int to = 0; all && to < world_.day.gateways; ++to) {
                                          if (to != from) Carry(from, to, datagram);
                                        }
                                      }
                                      Read(number);
                                    });
}

void Peers::Carry(int from, int to, const std::string& bytes) {
  ++counts_.sent;
  history_.Add({world_.Now(), HistoryEventKind::kDatagramSent, from, 0, GatewayName(to),
                static_cast<double>(bytes.size()), 0, kNever});
  if (bytes.size() > kMaxPeerDatagramBytes) {
    ++counts_.too_long;
    return;
  }
  int from_zone = world_.day.gateway_zone[static_cast<size_t>(from)],
      to_zone = world_.day.gateway_zone[static_cast<size_t>(to)];
  std::vector<Micros> copies;
  if (world_.network.Passes(from_zone, to_zone))
    copies = world_.paths.DatagramDelays(from, to, world_.network.OneWayDelay(from_zone, to_zone));
  counts_.lost += copies.empty() ? 1 : 0;
  for (Micros wait : copies) {
    world_.schedule.After(wait, [this, from, to, bytes] { Arrive(from, to, bytes); });
  }
}

// A receiver drops what comes faster than it takes (WIRE). What was sent before a death arrives after it.
void Peers::Arrive(int from, int to, const std::string& bytes) {
  Micros now = world_.Now();
  history_.Add({now, HistoryEventKind::kDatagramReceived, to, 0, GatewayName(from),
                static_cast<double>(bytes.size()), 0, kNever});
  std::vector<Micros>& heard = heard_[static_cast<size_t>(to)];
  heard.erase(heard.begin(),
              std::find_if(heard.begin(), heard.end(), [&](Micros at) { return at + kSecond > now; }));
  heard.push_back(now);
  if (static_cast<double>(heard.size()) > world_.day.peer_in_per_s) {
    ++counts_.too_many;
    return;
  }
  ++counts_.arrived;
  tcp::endpoint listen = world_.slice.PeerListen(to);
  boost::system::error_code ignored;  // nobody listens there, or it is not to be had at this moment
  addresses_[static_cast<size_t>(from)]->socket.send_to(
      asio::buffer(bytes), udp::endpoint(listen.address(), listen.port()), 0, ignored);
}

}  // namespace lemonchute::lab
