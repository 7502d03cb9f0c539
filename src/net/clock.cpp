#include "net/clock.h"

#include <chrono>
#include <cmath>

namespace lemonchute::net {
namespace {

using std::chrono::steady_clock;
using std::chrono::system_clock;

// A smaller difference is a gradual adjustment of the wall clock, not a step.
constexpr double kMinClockStepS = 0.5;
// A reading of the wall clock that takes longer than this is repeated.
constexpr auto kMaxClockReading = std::chrono::milliseconds(100);

template <typename Clock>
double SecondsSinceZero() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

}  // namespace

GatewayClock::GatewayClock()
    : epoch_s_(SecondsSinceZero<system_clock>() - SecondsSinceZero<steady_clock>()) {}

double GatewayClock::NowS() const { return epoch_s_ + SecondsSinceZero<steady_clock>(); }

// Reads the wall clock between two readings of the monotonic clock, because the process may be suspended
// while it reads, which would look like a step.
double GatewayClock::WallS() const {
  for (;;) {
    auto before = steady_clock::now();
    double wall_s = SecondsSinceZero<system_clock>();
    if (steady_clock::now() - before < kMaxClockReading) return wall_s;
  }
}

std::optional<double> GatewayClock::DetectWallClockStep() {
  double offset_s = WallS() - NowS();
  if (std::abs(offset_s - wall_offset_s_) < kMinClockStepS) return std::nullopt;
  wall_offset_s_ = offset_s;
  return offset_s;
}

}  // namespace lemonchute::net
