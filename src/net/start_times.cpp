#include "net/start_times.h"

#include <algorithm>

namespace lemonchute::net {
namespace {

// By which discovery names a change at the latest (PROTOCOL).
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

// By the wall clock, unless it can't be right: a start lies in the past, and one that is new is no older than
// what discovery may have delayed since it was last heard. Where the clocks disagree the backend counts as
// just started: one that is wrongly taken for cold gets less load for a while, one that is wrongly taken for
// warm is overloaded.
double StartTimes::AgeS(double wall_start_s) const {
  double age_s = std::max(0.0, wall_s_ - wall_start_s);
  bool is_new = from_discovery_ && last_list_from_discovery_s_.has_value();
  return is_new && age_s > now_s_ - *last_list_from_discovery_s_ + kMaxDiscoveryDelayS ? 0 : age_s;
}

}  // namespace lemonchute::net
