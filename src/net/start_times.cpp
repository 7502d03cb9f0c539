#include "net/start_times.h"

#include <algorithm>

namespace lemonchute::net {
namespace {

// Whatever discovery has to tell is told by so long after it had it (PROTOCOL).
constexpr double kToldWithinS = 6;

}  // namespace

void StartTimes::Listing(double now_s, double wall_s, bool watched) {
  now_s_ = now_s;
  wall_s_ = wall_s;
  watched_ = watched;
}

double StartTimes::Started(uint32_t backend, double since_s) {
  if (since_s <= 0) return 0;
  Known& known = known_[backend];
  if (known.since_s != since_s) known = {since_s, now_s_ - Age(since_s)};
  return known.started_s;
}

// By the wall clock, unless that can't be: a start lies in the past, and one that was not told before is no
// older than what discovery may have kept back since it was heard. Where the clocks disagree the start counts
// as just told: a backend that is taken for too cold gets less for a while, one that is taken for warm falls
// over.
double StartTimes::Age(double since_s) const {
  double age_s = std::max(0.0, wall_s_ - since_s);
  bool news = watched_ && heard_s_.has_value();
  return news && age_s > now_s_ - *heard_s_ + kToldWithinS ? 0 : age_s;
}

}  // namespace lemonchute::net
