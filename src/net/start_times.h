// The start times of backends by the monotonic clock. Discovery names them by the wall clock, which may be
// stepped; slow start takes a span of real time.
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
  /// @param from_discovery whether discovery was heard before, so that what is new in the list is recent.
  void BeginList(double now_s, double wall_s, bool from_discovery);
  /// @param wall_start_s the start by discovery's wall clock, in seconds since the epoch; 0: long ago.
  /// @return the start by the monotonic clock, in seconds; 0: long ago. The same start has the same result
  /// for
  ///     as long as discovery names it.
  double Convert(uint32_t backend, double wall_start_s);
  /// The list came from discovery itself, with changes or with none.
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
