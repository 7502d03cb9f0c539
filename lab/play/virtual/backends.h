// Owns attempts from their sending to their outcome: connections, the ways there and back, and the backends'
// cores in between.
#ifndef LEMONCHUTE_LAB_PLAY_VIRTUAL_BACKENDS_H_
#define LEMONCHUTE_LAB_PLAY_VIRTUAL_BACKENDS_H_

#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "model/backend.h"
#include "play/virtual/world.h"
#include "policy/balancer.h"

namespace lemonchute::lab {

class VirtualBackends {
 public:
  struct Attempt {
    uint32_t id = 0;  // of its try
    uint32_t gateway = 0, backend = 0;
    uint32_t life = 0;  // of the gateway's process
    int number = 0;     // among the try's attempts
    Micros sent = 0;
    policy::AttemptResult result = policy::AttemptResult::kOk;
    bool told = false;     // its outcome has reached the gateway
    bool arrived = false;  // whole at the backend
    bool out = false;      // and no answer to it is written
    bool fresh = false;    // on a connection of its own
    bool unheard = false;  // went nowhere, on a connection that stays open
  };
  // What it has to know of the gateways.
  struct Gateways {
    std::function<void(uint32_t attempt)> outcome;             // an attempt's outcome has come back
    std::function<bool(uint32_t attempt)> wants;               // a good answer would still serve
    std::function<const std::vector<char>&(uint32_t g)> list;  // by backend: 1 where its list says active
  };

  VirtualBackends(VirtualWorld& world, Gateways gateways);

  // The number of a new attempt, of which nothing is sent yet.
  uint32_t Add(Attempt attempt);
  const Attempt& At(uint32_t index) const { return attempts_[index]; }
  void MarkTold(uint32_t index) { attempts_[index].told = true; }
  // Sends it, on an idle connection where there is one; the gateway waits until `due`.
  void Send(uint32_t index, Micros due);
  // Its outcome reaches the gateway at `at`.
  void Over(uint32_t index, Micros at, policy::AttemptResult result);
  // The gateway stops waiting for it.
  void GiveUp(uint32_t index, policy::AttemptResult result);
  // Its outcome has been told: whether its connection is kept.
  void Settle(uint32_t index);
  // The gateway's process has ended with the attempt out, and with all its connections.
  void Drop(uint32_t index);
  void DropIdle(uint32_t gateway);

  void Start(uint32_t backend);
  void End(uint32_t backend);  // what it holds is reset
  void Leave(uint32_t backend) { cores_[backend].MarkLeaving(); }
  void Fail(uint32_t backend, double share) { fails_[backend] = share; }
  void Slow(uint32_t backend, double times);
  void Silent(uint32_t backend, bool silent);
  void Resets(double share) { resets_ = share; }
  bool Room(uint32_t gateway) const;

 private:
  void There(uint32_t index);
  void Close(uint32_t index);
  void CancelThere(uint32_t index);
  void Advance(uint32_t backend);
  void Arm(uint32_t backend);
  void Disconnect(uint32_t backend, int connections = 1);
  Micros Way(uint32_t gateway, uint32_t backend, bool out);
  // One way of the path, and whether bytes pass on it: `out` from the gateway.
  PathState PathOf(uint32_t gateway, uint32_t backend, bool out) const;
  bool Passes(uint32_t gateway, uint32_t backend, bool out) const;

  VirtualWorld& world_;
  Gateways gateways_;
  Random chance_;
  std::vector<Backend> cores_;
  std::vector<Micros> armed_;
  std::vector<int> connections_;
  std::vector<double> fails_;
  std::unordered_set<uint32_t> silent_;
  double resets_ = 0;
  std::vector<Attempt> attempts_;
  std::vector<std::unordered_map<uint32_t, std::vector<Micros>>> idle_;  // by gateway and backend: since when
  std::vector<Backend::Completion> ends_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_VIRTUAL_BACKENDS_H_
