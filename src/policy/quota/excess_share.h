/// Distributes capacity that the guaranteed rates leave unused among the customers that demand more.
#ifndef LEMONCHUTE_POLICY_QUOTA_EXCESS_SHARE_H_
#define LEMONCHUTE_POLICY_QUOTA_EXCESS_SHARE_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace lemonchute::policy {

/// One customer's part.
struct ExcessShare {
  int64_t demand_tick = -1;  ///< The last tick in which it sent a request; -1: never.
  double demand_units = 0;   ///< V_i: units requested in that tick.
  double granted_units = 0;  ///< Units that it may use beyond its tokens.
};

/// The paper's share term, applied by ticks of the clock: u_i = V_i / sum V * (W - mu_i), where W is the
/// units that the backends served in the tick and mu_i the customer's tokens. A tick with an overload grants
/// nothing.
class ExcessAllocator {
 public:
  /// Grants the customer its share for the last tick in which it sent a request, and adds to its demand in
  /// the current one.
  void RecordDemand(ExcessShare* share, double units, double tokens, double burst_units, double now);
  void RecordServed(double units, double now) { ticks_[Advance(now) % kTicks].served_units += units; }

  void MarkOverloaded(double now) { ticks_[Advance(now) % kTicks].overloaded = true; }
  /// @return whether this tick or the one before is overloaded.
  bool IsOverloaded(double now);

 private:
  // Length of a tick, as the paper has it for the share term.
  static constexpr double kTickS = 0.1;
  // Ticks kept, so that the last tick of a customer with few requests is still there.
  static constexpr int kTicks = 16;

  struct Tick {
    double demand_units = 0;
    double served_units = 0;
    bool overloaded = false;
  };
  // Clears the ticks that have begun since the last call.
  int64_t Advance(double now) {
    int64_t tick = static_cast<int64_t>(std::floor(now / kTickS));
    for (int64_t t = std::max(current_tick_ + 1, tick - kTicks + 1); t <= tick; ++t)
      ticks_[t % kTicks] = Tick();
    return current_tick_ = tick;
  }

  std::array<Tick, kTicks> ticks_;
  int64_t current_tick_ = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_EXCESS_SHARE_H_
