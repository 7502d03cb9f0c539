#include "policy/quota/counter_channel.h"

#include <algorithm>

#include "policy/random_source.h"

namespace lemonchute::policy {
namespace {

// Longest time between this gateway's calls to a failing counter, unless that makes more calls per second
// than the counter may get from all gateways together.
constexpr double kMaxCallGapS = 0.3;
constexpr double kMaxFailingCallsPerS = 100;
// Share of the counter's timeout after which a response counts as a sign of congestion.
constexpr double kSlowCallShare = 0.8;
constexpr double kCongestionIncrease = 0.1;
constexpr double kCongestionDecrease = 0.1;
constexpr double kMaxExpiryS = 60.0;
// Spreads customer ids before they are mixed with the window (the FNV prime).
constexpr uint64_t kCustomerFactor = 0x100000001b3ULL;

uint64_t CounterName(const CounterCall& call) {
  uint64_t window = static_cast<uint64_t>(call.counts_attempts ? ~call.window : call.window);
  return MixBits(call.customer_id * kCustomerFactor + MixBits(window));
}

}  // namespace

bool CounterChannel::Send(const CounterCall& call, double expiry_s, int gateway_count, ActionSink* sink) {
  uint64_t name = CounterName(call);
  if (!calls_.try_emplace(name, call).second) return false;
  double max_gap_s = std::max(kMaxCallGapS, gateway_count / kMaxFailingCallsPerS);
  next_call_s_ = call.sent_s + congestion_ * congestion_ * max_gap_s;
  Action& action = sink->Append(ActionKind::kCallCounter);
  action.tag = name;
  action.counter_delta = call.delta;
  action.duration_s = std::min(kMaxExpiryS, expiry_s);
  return true;
}

std::optional<CounterCall> CounterChannel::Take(uint64_t counter_name) {
  auto found = calls_.find(counter_name);
  if (found == calls_.end()) return std::nullopt;
  CounterCall call = found->second;
  calls_.erase(found);
  return call;
}

void CounterChannel::RecordResult(const CounterCall& call, bool succeeded, const Settings& settings,
                                  double now, ActionSink* sink) {
  bool was_unavailable = IsUnavailable(settings);
  bool prompt = succeeded && now - call.sent_s < kSlowCallShare * settings.counter_timeout_s;
  consecutive_failures_ = succeeded ? 0 : consecutive_failures_ + 1;
  congestion_ += prompt ? -kCongestionDecrease * congestion_ : kCongestionIncrease * (1 - congestion_);
  bool is_unavailable = IsUnavailable(settings);
  if (was_unavailable && !is_unavailable) sink->Log("counter answers again");
  if (!was_unavailable && is_unavailable)
    sink->Log("counter is silent: going by this gateway's part of each quota");
}

}  // namespace lemonchute::policy
