// Network path of each gateway to every other party, by direction, and the faults on it. Faults may overlap:
// what passes is what all of them let pass.
#ifndef LEMONCHUTE_LAB_MODEL_PATHS_H_
#define LEMONCHUTE_LAB_MODEL_PATHS_H_

#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// One direction of one path under all its active faults.
struct PathState {
  bool cut = false;         // nothing arrives; written data is delivered when the fault ends
  bool black_hole = false;  // connects, but data sent meanwhile never arrives, even after the fault ends
  bool resets = false;      // connections are reset, new ones too
  double delay_s = 0;       // in addition to the network's own delay
  double loss = 0, duplicate = 0, reorder = 0;  // shares of the packets
  double bytes_per_s = 0;                       // 0 means no limit

  bool Passes() const { return !cut && !black_hole && !resets; }
};

/// The network paths of a run and their active faults.
class Paths {
 public:
  explicit Paths(const RunSpec& spec)
      : spec_(&spec), random_(spec.seed, Stream::kPaths), active_(spec.path_faults.size(), 0) {}

  void SetActive(int fault, bool on) { active_[static_cast<size_t>(fault)] = on ? 1 : 0; }
  /// From a gateway to the remote party, and back. `other` is the index of a gateway or backend and is
  /// ignored for the other parties.
  PathState Outbound(int gateway, RemoteParty remote, int other = 0) const {
    return StateOf(gateway, remote, other, true);
  }
  PathState Inbound(int gateway, RemoteParty remote, int other = 0) const {
    return StateOf(gateway, remote, other, false);
  }
  bool Passes(int gateway, RemoteParty remote, int other = 0) const {
    return Outbound(gateway, remote, other).Passes() && Inbound(gateway, remote, other).Passes();
  }
  /// The gateways at the near end of a fault's paths.
  std::vector<int> GatewaysOf(int fault) const;
  /// The delay that the faults add to a stream packet. The kernel retransmits a lost packet.
  Micros StreamDelay(const PathState& state, size_t bytes);
  /// When each copy of a datagram arrives, from now; empty if it is lost. `network_delay`: the delay of the
  /// network itself.
  std::vector<Micros> DatagramDelays(int from, int to, Micros network_delay);

 private:
  PathState StateOf(int gateway, RemoteParty remote, int other, bool out) const;

  const RunSpec* spec_;
  Random random_;
  std::vector<char> active_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_PATHS_H_
