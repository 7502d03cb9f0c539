// The queue of a partition is represented by the time until which it is busy. Expired names are removed at
// most once a second.
#include "model/counter.h"

#include <xxhash.h>

#include <algorithm>

namespace lemonchute::lab {

Counter::Counter(const RunSpec& spec)
    : service_s_(spec.counter_parts / spec.counter_calls_per_s),
      latency_s_(spec.counter_call_s),
      max_queue_s_(spec.counter_line_timeouts * spec.counter_timeout_s),
      lost_share_(0),
      base_lost_share_(spec.counter_lost_share),
      random_(spec.seed, Stream::kNetwork, 1),
      busy_until_(static_cast<size_t>(spec.counter_parts), 0) {}

Counter::Reply Counter::Call(Micros now, std::string_view name, double amount, double ttl_ms) {
  if (down_) return {};
  Micros& busy = busy_until_[XXH3_64bits(name.data(), name.size()) % busy_until_.size()];
  if (busy > now && ToSeconds(busy - now) > max_queue_s_)
    return {ReplyKind::kBusy, now + FromSeconds(latency_s_), 0};
  busy = std::max(busy, now) + FromSeconds(service_s_);
  Micros served = busy + FromSeconds(latency_s_);
  Entry& entry = entries_[std::string(name)];
  if (entry.expires_at <= served) entry = {0, served + FromSeconds(std::clamp(ttl_ms, 1.0, 60'000.0) * 1e-3)};
  entry.value += amount;
  Reply answer{ReplyKind::kTotal, served, entry.value};
  RemoveExpired(served);
  if (random_.Chance(std::max(lost_share_, base_lost_share_))) answer = {};
  return answer;
}

void Counter::SetDown(bool down) {
  if (down_ && !down) entries_.clear();
  down_ = down;
}

void Counter::RemoveExpired(Micros now) {
  if (now < last_removal_ + kSecond) return;
  last_removal_ = now;
  for (auto at = entries_.begin(); at != entries_.end();)
    at = at->second.expires_at <= now ? entries_.erase(at) : std::next(at);
}

}  // namespace lemonchute::lab
