// The few faults that are on are asked one by one: thousands of paths need no state of their own.
#include "model/paths.h"

#include <algorithm>

namespace lemonchute::lab {
namespace {

// The least time after which a kernel sends a lost packet again (Linux, TCP_RTO_MIN).
constexpr double kSentAgainS = 0.2;
// A datagram that is overtaken comes so many of its ways later: behind those that were sent next.
constexpr double kReorderedWays = 4;

bool Names(const std::vector<int>& numbers, int number) {
  return numbers.empty() || std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

void Join(const PathFault& fault, PathState* state) {
  auto either = [](double a, double b) { return 1 - (1 - a) * (1 - b); };
  switch (fault.kind) {
    case PathFaultKind::kCut: state->cut = true; break;
    case PathFaultKind::kBlackHole: state->black_hole = true; break;
    case PathFaultKind::kReset: state->resets = true; break;
    case PathFaultKind::kDelay: state->delay_s += fault.size * 1e-3; break;
    case PathFaultKind::kLoss: state->loss = either(state->loss, fault.size); break;
    case PathFaultKind::kDuplicate: state->duplicate = either(state->duplicate, fault.size); break;
    case PathFaultKind::kReorder: state->reorder = either(state->reorder, fault.size); break;
    case PathFaultKind::kThrottle:
      state->bytes_per_s =
          state->bytes_per_s > 0 ? std::min(state->bytes_per_s, fault.size) : std::max(1.0, fault.size);
      break;
  }
}

}  // namespace

std::vector<int> Paths::GatewaysOf(int fault) const {
  std::vector<int> numbers = day_->path_faults[static_cast<size_t>(fault)].gateways;
  for (int g = 0; numbers.empty() && g < day_->gateways; ++g) numbers.push_back(g);
  return numbers;
}

PathState Paths::StateOf(int gateway, RemoteParty far, int other, bool out) const {
  PathState state;
  if (far == RemoteParty::kGateways) state.loss = day_->peer_loss;
  for (size_t i = 0; i < on_.size(); ++i) {
    const PathFault& fault = day_->path_faults[i];
    if (on_[i] == 0 || fault.remote != far) continue;
    bool there = fault.direction != PathDirection::kIn, back = fault.direction != PathDirection::kOut;
    bool ours =
        Names(fault.gateways, gateway) &&
        (far == RemoteParty::kCounter || far == RemoteParty::kDiscovery || Names(fault.others, other));
    bool hit = ours && (out ? there : back);
    // Between gateways a path has two near ends: the same fault, seen from the other one.
    if (far == RemoteParty::kGateways && Names(fault.gateways, other) && Names(fault.others, gateway))
      hit |= out ? back : there;
    if (hit) Join(fault, &state);
  }
  return state;
}

Micros Paths::StreamDelay(const PathState& state, size_t bytes) {
  if (on_.empty()) return 0;
  double wait = state.delay_s * random_.LognormalFactor(day_->jitter);
  if (random_.Chance(state.loss)) wait += kSentAgainS;
  if (state.bytes_per_s > 0) wait += static_cast<double>(bytes) / state.bytes_per_s;
  return FromSeconds(wait);
}

std::vector<Micros> Paths::DatagramDelays(int from, int to, Micros way) {
  PathState state = Outbound(from, RemoteParty::kGateways, to);
  std::vector<Micros> copies;
  if (!state.Passes() || random_.Chance(state.loss)) return copies;
  size_t number = random_.Chance(state.duplicate) ? 2 : 1;
  for (size_t i = 0; i < number; ++i) {
    Micros wait = way + FromSeconds(state.delay_s * random_.LognormalFactor(day_->jitter));
    if (random_.Chance(state.reorder)) wait += FromSeconds(kReorderedWays * ToSeconds(wait));
    copies.push_back(wait);
  }
  return copies;
}

}  // namespace lemonchute::lab
