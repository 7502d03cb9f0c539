/// A deterministic source of random numbers (SplitMix64).
#ifndef LEMONCHUTE_POLICY_RANDOM_SOURCE_H_
#define LEMONCHUTE_POLICY_RANDOM_SOURCE_H_

#include <cstdint>

namespace lemonchute::policy {

/// SplitMix64's increment and output function: spreads the bits of `value` over the result.
inline uint64_t MixBits(uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// The same seed gives the same sequence on every platform.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : state_(seed) {}

  /// @return uniform in [0, 1), with 53 random bits.
  double Uniform() {
    state_ += 0x9e3779b97f4a7c15ULL;
    return static_cast<double>(MixBits(state_) >> 11) * 0x1.0p-53;
  }

 private:
  uint64_t state_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_RANDOM_SOURCE_H_
