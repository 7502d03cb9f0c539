// Model of the network between machines: delays by zone with jitter, and zones that are cut off from the
// others.
#ifndef LEMONCHUTE_LAB_MODEL_NETWORK_H_
#define LEMONCHUTE_LAB_MODEL_NETWORK_H_

#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// Draws network delays and tracks cut zones.
class Network {
 public:
  explicit Network(const RunSpec& spec)
      : spec_(&spec), random_(spec.seed, Stream::kNetwork), zone_cut_(static_cast<size_t>(spec.zones), 0) {}

  /// Delay in one direction. The counter and discovery are in zone 0.
  Micros OneWayDelay(int from_zone, int to_zone) {
    return DrawDelay(from_zone == to_zone ? spec_->same_zone_s : spec_->cross_zone_s);
  }
  Micros ClientDelay() { return DrawDelay(spec_->client_s); }
  void SetZoneCut(int zone, bool cut) { zone_cut_[static_cast<size_t>(zone)] = cut ? 1 : 0; }
  /// Whether traffic between the zones passes.
  bool Passes(int from_zone, int to_zone) const {
    return from_zone == to_zone ||
           (zone_cut_[static_cast<size_t>(from_zone)] == 0 && zone_cut_[static_cast<size_t>(to_zone)] == 0);
  }

 private:
  Micros DrawDelay(double mean_s) {
    return std::max<Micros>(1, FromSeconds(mean_s * random_.LognormalFactor(spec_->jitter)));
  }

  const RunSpec* spec_;
  Random random_;
  std::vector<char> zone_cut_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_NETWORK_H_
