// Model of the counter service: named numbers spread over a few partitions, each of which serves its queue of
// calls in order. It replies when a call has been served; time-outs are up to the callers.
#ifndef LEMONCHUTE_LAB_MODEL_COUNTER_H_
#define LEMONCHUTE_LAB_MODEL_COUNTER_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// The shared counter service.
class Counter {
 public:
  enum class ReplyKind { kTotal, kBusy, kNoReply };
  struct Reply {
    ReplyKind kind = ReplyKind::kNoReply;
    Micros at = kNever;  // when the reply is sent; kNever if it is lost
    double total = 0;
  };

  explicit Counter(const RunSpec& spec);

  /// Calls have to be made in order of time. `ttl_ms` is the lifetime of a new name, at most one minute.
  Reply Call(Micros now, std::string_view name, double amount, double ttl_ms);
  /// While down the service does not reply; when it comes back it is empty.
  void SetDown(bool down);
  /// The share of replies that are lost from now on, if larger than the run's permanent share.
  void SetLostShare(double share) { lost_share_ = share; }

 private:
  struct Entry {
    double value = 0;
    Micros expires_at = 0;
  };
  void RemoveExpired(Micros now);

  double service_s_, latency_s_, max_queue_s_, lost_share_, base_lost_share_;
  Random random_;
  std::vector<Micros> busy_until_;
  std::unordered_map<std::string, Entry> entries_;
  Micros last_removal_ = 0;
  bool down_ = false;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_COUNTER_H_
