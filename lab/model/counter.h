// Owns the counter service: numbers by name over a few parts, each a line of calls served in turn. It answers
// when a call has had its turn; time-outs are its callers' affair.
#ifndef LEMONCHUTE_LAB_MODEL_COUNTER_H_
#define LEMONCHUTE_LAB_MODEL_COUNTER_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

class Counter {
 public:
  enum class ReplyKind { kTotal, kBusy, kNoReply };
  struct Reply {
    ReplyKind kind = ReplyKind::kNoReply;
    Micros at = kNever;  // when the answer leaves; never where it is lost
    double total = 0;
  };

  explicit Counter(const RunSpec& spec);

  // Calls have to come in order of time. `keep_ms` is the life of a new name, at most a minute.
  Reply Call(Micros now, std::string_view name, double amount, double ttl_ms);
  // While down it says nothing; when it comes back it is empty.
  void SetDown(bool down);
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
