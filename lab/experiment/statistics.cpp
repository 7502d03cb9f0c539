// Plain sums; the resampling draws from the lab's own generator.
#include "experiment/statistics.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "model/random.h"

namespace lemonchute::lab {

double Mean(const std::vector<double>& values) {
  return values.empty()
             ? 0
             : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  size_t middle = values.size() / 2;
  return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

Interval Bootstrap(const std::vector<double>& differences) {
  constexpr int kResamples = 4000;
  constexpr double kBeyond = std::numeric_limits<double>::infinity();
  if (differences.size() < 2) return {Mean(differences), -kBeyond, kBeyond};
  Random random(differences.size(), Stream::kSeeds);
  std::vector<double> means;
  for (int i = 0; i < kResamples; ++i) {
    double sum = 0;
    for (size_t j = 0; j < differences.size(); ++j)
      sum += differences[static_cast<size_t>(random.UniformInt(static_cast<int>(differences.size())))];
    means.push_back(sum / static_cast<double>(differences.size()));
  }
  std::sort(means.begin(), means.end());
  return {Mean(differences), means[kResamples / 40], means[kResamples - 1 - kResamples / 40]};
}

}  // namespace lemonchute::lab
