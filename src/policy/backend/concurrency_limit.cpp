#include "policy/backend/concurrency_limit.h"

#include <algorithm>

namespace lemonchute::policy {
namespace {

constexpr double kMaxLimit = 200;
// Mean of latency over latency objective below which no queue is assumed.
constexpr double kNoQueueThreshold = 0.2;
// Share of the limit that remains after a decrease, and the least time between two decreases.
constexpr double kDecreaseFactor = 0.7;
constexpr double kMinDecreaseIntervalS = 0.1;

}  // namespace

void ConcurrencyLimit::OnResponse(double objective_ratio, int in_flight, double now) {
  if (objective_ratio > kQueueThreshold) {
    Decrease(in_flight, now);
  } else if (objective_ratio < kNoQueueThreshold && in_flight + 1 >= limit_ / 2) {
    // A limit that is not reached says nothing about the capacity, so it grows only while half of it is in
    // use.
    limit_ = std::min(kMaxLimit, limit_ + std::min(1.0, 1 / limit_));
  }
}

void ConcurrencyLimit::Decrease(int in_flight, double now) {
  if (now - decreased_s_ < kMinDecreaseIntervalS) return;
  decreased_s_ = now;
  limit_ = std::max(1.0, std::min<double>(limit_, in_flight + 1) * kDecreaseFactor);
}

}  // namespace lemonchute::policy
