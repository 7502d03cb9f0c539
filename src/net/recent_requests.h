// Remembers which requests must not run again.
#ifndef LEMONCHUTE_NET_RECENT_REQUESTS_H_
#define LEMONCHUTE_NET_RECENT_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/steady_clock.h"

namespace lemonchute::net {

/// The ids of non-idempotent requests that are in flight or may have run lately. A client that leaves and
/// sends its request again, to this process or to the other one of an upgrade, must not have it executed
/// twice.
///
/// A table of fixed size, shared by the processes of a gateway through a file. If it overflows, the oldest id
/// of those that compete for a place is forgotten.
class RecentRequests {
 public:
  /// @param folder of the file; empty, or not usable: the table is this process's own
  explicit RecentRequests(const std::string& folder);
  ~RecentRequests();
  RecentRequests(const RecentRequests&) = delete;
  RecentRequests& operator=(const RecentRequests&) = delete;

  bool Contains(std::string_view request_id, Clock::time_point now) const;
  void Add(std::string_view request_id, Clock::time_point now);
  /// Removes a request that surely has not run.
  void Remove(std::string_view request_id);

 private:
  // A slot holds the upper bits of a hash and the time of its entry; 0: empty. It is read and written at
  // once.
  static constexpr size_t kSlots = 16384;
  static constexpr size_t kSlotsPerBucket = 4;

  // The slots that an id may take.
  uint64_t* Bucket(uint64_t hash) const;

  uint64_t* slots_ = nullptr;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_RECENT_REQUESTS_H_
