#include "net/start_times.h"

#include <algorithm>

namespace lemonchute::net {
namespace {

// Discovery reports a change after this time at the latest (PROTOCOL).
constexpr double kMaxDiscoveryDelayS = 6;

}  // namespace

void StartTimes::BeginList(double now_s, double wall_s, bool from_discovery) {
  now_s_ = now_s;
  wall_s_ = wall_s;
  from_discovery_ = from_discovery;
}

double StartTimes::Convert(uint32_t backend, double wall_start_s) {
  if (wall_start_s <= 0) return 0;
  KnownStart& known = known_[backend];
  if (known.wall_start_s != wall_start_s) known = {wall_start_s, now_s_ - AgeS(wall_start_s)};
  return known.start_s;
}

// The age by the wall clock, unless that is impossible: a start lies in the past, and a new one is no older
// than the time since discovery's last list plus discovery's delay. If the clocks disagree, the backend
// counts as just started: a warm backend that is taken for cold gets less load for a while, but a cold one
// that is taken for warm is overloaded.
double StartTimes::AgeS(double wall_start_s) const {
  double age_s = std::max(0.0, wall_s_ - wall_start_s);
  bool is_new = from_discovery_ && last_list_from_discovery_s_.has_value();
  return is_new && age_s > now_s_ - *last_list_from_discovery_s_ + kMaxDiscoveryDelayS ? 0 : age_s;
}

}  // namespace lemonchute::net
