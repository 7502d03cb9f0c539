// The line of a part is a moment until which it is busy; names that are past their time are swept now and
// then.
#include "model/counter.h"

#include <xxhash.h>

#include <algorithm>

namespace lemonchute::lab {

Counter::Counter(const RunSpec& day)
    : per_call_s_(day.counter_parts / day.counter_calls_per_s),
      call_s_(day.counter_call_s),
      longest_line_s_(day.counter_line_timeouts * day.counter_timeout_s),
      lost_share_(0),
      day_lost_(day.counter_lost_share),
      random_(day.seed, Stream::kNetwork, 1),
      busy_until_(static_cast<size_t>(day.counter_parts), 0) {}

Counter::Reply Counter::Call(Micros now, std::string_view name, double amount, double keep_ms) {
  if (down_) return {};
  Micros& busy = busy_until_[XXH3_64bits(name.data(), name.size()) % busy_until_.size()];
  if (busy > now && ToSeconds(busy - now) > longest_line_s_)
    return {ReplyKind::kBusy, now + FromSeconds(call_s_), 0};
  busy = std::max(busy, now) + FromSeconds(per_call_s_);
  Micros served = busy + FromSeconds(call_s_);
  Number& number = names_[std::string(name)];
  if (number.until <= served) number = {0, served + FromSeconds(std::clamp(keep_ms, 1.0, 60'000.0) * 1e-3)};
  number.value += amount;
  Reply answer{ReplyKind::kTotal, served, number.value};
  Sweep(served);
  if (random_.Chance(std::max(lost_share_, day_lost_))) answer = {};
  return answer;
}

void Counter::SetDown(bool down) {
  if (down_ && !down) names_.clear();
  down_ = down;
}

void Counter::Sweep(Micros now) {
  if (now < swept_ + kSecond) return;
  swept_ = now;
  for (auto at = names_.begin(); at != names_.end();)
    at = at->second.until <= now ? names_.erase(at) : std::next(at);
}

}  // namespace lemonchute::lab
