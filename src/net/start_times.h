// Converts the start times of backends to the monotonic clock. Discovery reports them by the wall clock,
// which may be stepped, whereas slow start lasts a span of elapsed time.
#ifndef LEMONCHUTE_NET_START_TIMES_H_
#define LEMONCHUTE_NET_START_TIMES_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lemonchute::net {

/// Converts start times. For each list of discovery: BeginList(), Convert() for each backend, EndList().
class StartTimes {
 public:
  /// @param now_s, wall_s the monotonic and the wall clock as the list is processed, in seconds.
  /// @param from_discovery whether the list comes from discovery, not from the cache. After an earlier list
  ///     from discovery, a start that is new in it is recent.
  void BeginList(double now_s, double wall_s, bool from_discovery);
  /// @param wall_start_s the start by discovery's wall clock, in seconds since the epoch; 0: long ago.
  /// @return the start by the monotonic clock, in seconds; 0: long ago. The result stays the same as long as
  ///     discovery reports the same start.
  double Convert(uint32_t backend, double wall_start_s);
  /// Ends a list that came from discovery, with changes or without.
  void EndList() { last_list_from_discovery_s_ = now_s_; }

 private:
  struct KnownStart {
    double wall_start_s = 0;
    double start_s = 0;
  };

  double AgeS(double wall_start_s) const;

  double now_s_ = 0, wall_s_ = 0;
  bool from_discovery_ = false;
  std::optional<double> last_list_from_discovery_s_;
  std::unordered_map<uint32_t, KnownStart> known_;  // by backend
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_START_TIMES_H_
