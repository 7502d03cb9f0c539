// When backends have started, by the monotonic clock. Discovery tells a start by the wall clock, which may be
// stepped on this machine or on all of them; slow start is a span of real time.
#ifndef LEMONCHUTE_NET_START_TIMES_H_
#define LEMONCHUTE_NET_START_TIMES_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lemonchute::net {

class StartTimes {
 public:
  // What is listed from here on, until Listed, was taken in at these readings of the two clocks, in seconds.
  // `watched`: it comes from a discovery that was heard before, so that what is new in it is news.
  void Listing(double now_s, double wall_s, bool watched);
  // The start of a backend that discovery tells as `since_s` of the wall clock; 0 is long ago in both. The
  // same start has the same time for as long as it is told.
  double Started(uint32_t backend, double since_s);
  // An answer of discovery has been taken in, with changes or with none.
  void Listed() { heard_s_ = now_s_; }

 private:
  struct Known {
    double since_s = 0;
    double started_s = 0;
  };

  double Age(double since_s) const;

  double now_s_ = 0, wall_s_ = 0;
  bool watched_ = false;
  std::optional<double> heard_s_;  // when discovery answered last
  std::unordered_map<uint32_t, Known> known_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_START_TIMES_H_
