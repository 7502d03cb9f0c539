// The few active faults are evaluated on each query, so that thousands of paths need no state of their own.
#include "model/paths.h"

#include <algorithm>

namespace lemonchute::lab {
namespace {

// Shortest time after which the kernel retransmits a lost packet (Linux, TCP_RTO_MIN).
constexpr double kRetransmitTimeoutS = 0.2;
// An overtaken datagram arrives this many delays later, which puts it behind those sent next.
constexpr double kReorderDelayFactor = 4;

bool Contains(const std::vector<int>& numbers, int number) {
  return numbers.empty() || std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

void ApplyFault(const PathFault& fault, PathState* state) {
  auto combined = [](double a, double b) { return 1 - (1 - a) * (1 - b); };
  switch (fault.kind) {
    case PathFaultKind::kCut: state->cut = true; break;
    case PathFaultKind::kBlackHole: state->black_hole = true; break;
    case PathFaultKind::kReset: state->resets = true; break;
    case PathFaultKind::kDelay: state->delay_s += fault.size * 1e-3; break;
    case PathFaultKind::kLoss: state->loss = combined(state->loss, fault.size); break;
    case PathFaultKind::kDuplicate: state->duplicate = combined(state->duplicate, fault.size); break;
    case PathFaultKind::kReorder: state->reorder = combined(state->reorder, fault.size); break;
    case PathFaultKind::kThrottle:
      state->bytes_per_s =
          state->bytes_per_s > 0 ? std::min(state->bytes_per_s, fault.size) : std::max(1.0, fault.size);
      break;
  }
}

}  // namespace

std::vector<int> Paths::GatewaysOf(int fault) const {
  std::vector<int> numbers = spec_->path_faults[static_cast<size_t>(fault)].gateways;
  for (int g = 0; numbers.empty() && g < spec_->gateways; ++g) numbers.push_back(g);
  return numbers;
}

PathState Paths::StateOf(int gateway, RemoteParty remote, int other, bool out) const {
  PathState state;
  if (remote == RemoteParty::kGateways) state.loss = spec_->peer_loss;
  for (size_t i = 0; i < active_.size(); ++i) {
    const PathFault& fault = spec_->path_faults[i];
    if (active_[i] == 0 || fault.remote != remote) continue;
    bool affects_outbound = fault.direction != PathDirection::kIn,
         affects_inbound = fault.direction != PathDirection::kOut;
    bool matches = Contains(fault.gateways, gateway) &&
                   (remote == RemoteParty::kCounter || remote == RemoteParty::kDiscovery ||
                    Contains(fault.others, other));
    bool applies = matches && (out ? affects_outbound : affects_inbound);
    // A path between gateways has two near ends: the same fault seen from the other one.
    if (remote == RemoteParty::kGateways && Contains(fault.gateways, other) &&
        Contains(fault.others, gateway))
      applies |= out ? affects_inbound : affects_outbound;
    if (applies) ApplyFault(fault, &state);
  }
  return state;
}

Micros Paths::StreamDelay(const PathState& state, size_t bytes) {
  if (active_.empty()) return 0;
  double delay = state.delay_s * random_.LognormalFactor(spec_->jitter);
  if (random_.Chance(state.loss)) delay += kRetransmitTimeoutS;
  if (state.bytes_per_s > 0) delay += static_cast<double>(bytes) / state.bytes_per_s;
  return FromSeconds(delay);
}

std::vector<Micros> Paths::DatagramDelays(int from, int to, Micros network_delay) {
  PathState state = Outbound(from, RemoteParty::kGateways, to);
  std::vector<Micros> copies;
  if (!state.Passes() || random_.Chance(state.loss)) return copies;
  size_t copy_count = random_.Chance(state.duplicate) ? 2 : 1;
  for (size_t i = 0; i < copy_count; ++i) {
    Micros delay = network_delay + FromSeconds(state.delay_s * random_.LognormalFactor(spec_->jitter));
    if (random_.Chance(state.reorder)) delay += FromSeconds(kReorderDelayFactor * ToSeconds(delay));
    copies.push_back(delay);
  }
  return copies;
}

}  // namespace lemonchute::lab
