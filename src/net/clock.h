// The two clocks of a gateway process: a monotonic clock for all decisions, and the wall clock, which may be
// stepped at any time.
#ifndef LEMONCHUTE_NET_CLOCK_H_
#define LEMONCHUTE_NET_CLOCK_H_

#include <optional>

namespace lemonchute::net {

/// Reads both clocks and detects steps of the wall clock.
class GatewayClock {
 public:
  GatewayClock();

  /// @return the monotonic time in seconds since the epoch, as the wall clock had it when this object was
  ///     created
  double NowS() const;

  /// @return the time of the wall clock, in seconds since the epoch
  double WallS() const;

  /// Detects whether the wall clock was stepped since the last step that was returned.
  /// @return by how many seconds the wall clock is now ahead of NowS(); none if it was not stepped
  std::optional<double> DetectWallClockStep();

 private:
  const double epoch_s_;      // wall clock time at the zero of the monotonic clock, as of the start
  double wall_offset_s_ = 0;  // offset of the wall clock from NowS() after the last step
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CLOCK_H_
