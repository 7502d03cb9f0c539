// Owns peers of a real day that are no clients: they connect and send nothing, or something that is no proper
// request. Each is owed an error or a close within 3 s (TERMS, Connections).
#ifndef LEMONCHUTE_LAB_PLAY_REAL_MISBEHAVING_PEERS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_MISBEHAVING_PEERS_H_

#include <functional>

#include "play/real/world.h"

namespace lemonchute::lab {

class MisbehavingPeers {
 public:
  // `owes`: whether that gateway runs, and is not stopped or ending.
  MisbehavingPeers(World& world, std::function<bool(int gateway)> owes);
  void Come(double times_a_second);  // 0 ends it

 private:
  struct Peer;
  void Next(uint64_t round);
  void Read(const std::shared_ptr<Peer>& peer);
  void Over(const std::shared_ptr<Peer>& peer, bool dealt_with);

  World& world_;
  std::function<bool(int)> owes_;
  Random random_;
  double times_a_second_ = 0;
  uint64_t round_ = 0;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_MISBEHAVING_PEERS_H_
