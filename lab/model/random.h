// Random numbers of the lab: a generator with a fixed algorithm (PCG XSL RR 128/64, O'Neill 2014) and the
// distributions of Boost.Random, whose algorithms don't depend on the standard library, so that a seed gives
// the same run on every platform. Streams of one seed are independent: draws of one component never change
// those of another.
#ifndef LEMONCHUTE_LAB_MODEL_RANDOM_H_
#define LEMONCHUTE_LAB_MODEL_RANDOM_H_

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/gamma_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

namespace lemonchute::lab {

/// The component that a stream of random numbers belongs to.
enum class Stream : uint64_t {
  kSite = 1,
  kCustomers,
  kArrivals,
  kTimeline,
  kNetwork,
  kBackends,
  kClients,
  kSeeds,
  kPaths,
  kFaults
};

/// A stream of random numbers, identified by seed, component and part.
class Random {
 public:
  Random(uint64_t seed, Stream stream, uint64_t part = 0)
      : engine_(seed, (static_cast<uint64_t>(stream) << 40) + part) {}

  double Uniform(double lo, double hi) {
    return hi > lo ? boost::random::uniform_real_distribution<double>(lo, hi)(engine_) : lo;
  }
  /// True with probability `share`; draws nothing if it is 0.
  bool Chance(double share) { return share > 0 && Uniform(0, 1) < share; }
  /// From 0 to n - 1; n is at least 1.
  int UniformInt(int n) { return boost::random::uniform_int_distribution<int>(0, n - 1)(engine_); }
  double Exponential(double mean) {
    return mean > 0 ? boost::random::exponential_distribution<double>(1 / mean)(engine_) : 0;
  }
  /// Work of a request: gamma distribution with this mean and coefficient of variation; 1 is exponential.
  double Work(double mean, double cv) {
    if (cv <= 0) return mean;
    return boost::random::gamma_distribution<double>(1 / (cv * cv), mean * cv * cv)(engine_);
  }
  /// Lognormal factor with mean 1 and this coefficient of variation.
  double LognormalFactor(double cv) {
    if (cv <= 0) return 1;
    double variance = std::log1p(cv * cv);
    return boost::random::lognormal_distribution<double>(-variance / 2, std::sqrt(variance))(engine_);
  }
  template <typename T>
  void Shuffle(std::vector<T>* items) {
    for (size_t i = items->size(); i > 1; --i)
      std::swap((*items)[i - 1], (*items)[static_cast<size_t>(UniformInt(static_cast<int>(i)))]);
  }
  uint64_t Bits() { return engine_(); }

 private:
  pcg64 engine_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_RANDOM_H_
