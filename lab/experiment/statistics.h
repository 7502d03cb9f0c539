// Owns the sums over many days: means, medians, and the bootstrap by which a difference is told from noise.
#ifndef LEMONCHUTE_LAB_EXPERIMENT_STATISTICS_H_
#define LEMONCHUTE_LAB_EXPERIMENT_STATISTICS_H_

#include <vector>

namespace lemonchute::lab {

double Mean(const std::vector<double>& values);
// Of an even number of values the mean of the middle two; 0 where there are none.
double Median(std::vector<double> values);

struct Interval {
  double mean = 0, low = 0, high = 0;
  // Whether nought lies outside of it.
  bool Tells() const { return low > 0 || high < 0; }
};
// 95% percentile interval of the mean of paired differences (Efron 1979), of 4,000 resamples with a fixed
// seed: the same differences give the same interval. With fewer than two differences the interval is without
// bounds.
Interval Bootstrap(const std::vector<double>& differences);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_EXPERIMENT_STATISTICS_H_
