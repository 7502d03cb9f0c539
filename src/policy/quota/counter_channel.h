/// Calls to the counter service that the gateways share, and their congestion control.
#ifndef LEMONCHUTE_POLICY_QUOTA_COUNTER_CHANNEL_H_
#define LEMONCHUTE_POLICY_QUOTA_COUNTER_CHANNEL_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "policy/action_sink.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// One call, which adds to a counter and reads its total.
struct CounterCall {
  uint64_t customer_id = 0;
  int64_t window = 0;  ///< Of the counter; its epoch if it counts attempts.
  double delta = 0;    ///< Units or attempts.
  bool counts_attempts = false;
  double sent_s = 0;
};

/// Sends the calls. Congestion rises with each call that fails, whether the counter does not respond, rejects
/// or is slow, and falls gradually with each prompt response, so that no burst follows. It makes calls cost
/// more and come less often. If calls are lost at random instead, the cost is older totals.
class CounterChannel {
 public:
  /// @param expiry_s how long the counter keeps the total.
  /// @return false if this counter already has a call in flight.
  bool Send(const CounterCall& call, double expiry_s, int gateway_count, ActionSink* sink);
  /// Removes a call that has ended.
  /// @return the call; nothing if it is unknown.
  std::optional<CounterCall> Take(uint64_t counter_name);
  /// Adjusts the congestion after a call that has ended.
  void RecordResult(const CounterCall& call, bool succeeded, const Settings& settings, double now,
                    ActionSink* sink);

  double congestion() const { return congestion_; }
  double next_call_s() const { return next_call_s_; }
  /// @return whether several calls in a row have failed, or the settings have no counter.
  bool IsUnavailable(const Settings& settings) const {
    return !settings.counter_enabled || consecutive_failures_ >= kUnavailableAfterFailures;
  }

 private:
  static constexpr int kUnavailableAfterFailures = 4;

  std::unordered_map<uint64_t, CounterCall> calls_;  // in flight, by the counter's name
  double next_call_s_ = 0;                           // no calls before this time
  double congestion_ = 0;                            // 0 to 1, in the unit of a call's price
  int consecutive_failures_ = 0;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_QUOTA_COUNTER_CHANNEL_H_
