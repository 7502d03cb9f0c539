// Owns the path of each gateway to every other party, one direction at a time, and the faults on it. Faults
// may overlap: what passes is what all of them let pass.
#ifndef LEMONCHUTE_LAB_MODEL_PATHS_H_
#define LEMONCHUTE_LAB_MODEL_PATHS_H_

#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

// One direction of one path, as all faults together leave it.
struct PathState {
  bool cut = false;                             // nothing arrives; what has been written waits for the heal
  bool black_hole = false;                      // connects, then nothing ever arrives, after the heal neither
  bool resets = false;                          // connections are reset, new ones too
  double delay_s = 0;                           // more than the network's own
  double loss = 0, duplicate = 0, reorder = 0;  // shares of the packets
  double bytes_per_s = 0;                       // 0: no bound

  bool Passes() const { return !cut && !black_hole && !resets; }
};

class Paths {
 public:
  explicit Paths(const RunSpec& spec)
      : spec_(&spec), random_(spec.seed, Stream::kPaths), active_(spec.path_faults.size(), 0) {}

  void SetActive(int fault, bool on) { active_[static_cast<size_t>(fault)] = on ? 1 : 0; }
  // From a gateway to the other end, and back. `other`: a gateway or backend; of no meaning for the rest.
  PathState Outbound(int gateway, RemoteParty remote, int other = 0) const {
    return StateOf(gateway, remote, other, true);
  }
  PathState Inbound(int gateway, RemoteParty remote, int other = 0) const {
    return StateOf(gateway, remote, other, false);
  }
  bool Passes(int gateway, RemoteParty remote, int other = 0) const {
    return Outbound(gateway, remote, other).Passes() && Inbound(gateway, remote, other).Passes();
  }
  // The gateways that a fault befalls at its near ends.
  std::vector<int> GatewaysOf(int fault) const;
  // A packet of a stream: what the faults add to its time. A lost one is sent again by the kernel.
  Micros StreamDelay(const PathState& state, size_t bytes);
  // When each copy of a datagram arrives, from now; none where it is lost. `way`: the network's own time.
  std::vector<Micros> DatagramDelays(int from, int to, Micros network_delay);

 private:
  PathState StateOf(int gateway, RemoteParty remote, int other, bool out) const;

  const RunSpec* spec_;
  Random random_;
  std::vector<char> active_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_PATHS_H_
