// The limit on what the process holds in memory, and what one connection may buffer of it.
#ifndef LEMONCHUTE_NET_MEMORY_BUDGET_H_
#define LEMONCHUTE_NET_MEMORY_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "net/heap_usage.h"
#include "net/http.h"
#include "net/steady_clock.h"

namespace lemonchute::net {

/// One budget for everything on the heap: heads, parsed fields, bodies, responses, tables. The heap in use is
/// compared with the limit wherever bytes are read.
///
/// The less is free, the less may be read at once: a fixed share of what is free, so that each further
/// connection gets less than the one before it. New requests are not read any more while less than a reserve
/// is free. The reserve is for the requests that were taken and have to progress.
///
/// Gaps between allocations are resident as well. So the resident memory is looked at now and then: when it
/// nears the limit, free pages are returned to the system, and if that is not enough no new request is read.
class MemoryBudget {
 public:
  /// @param heap_bytes_in_use reads the heap in use
  explicit MemoryBudget(size_t (*heap_bytes_in_use)() = HeapBytesInUse)
      : heap_bytes_in_use_(heap_bytes_in_use) {}

  /// Sets the process's share of the gateway's memory.
  void SetLimit(size_t resident_bytes) {
    limit_bytes_ = HeapLimit(resident_bytes);
    resident_limit_bytes_ = std::max(kMinResidentBytes, resident_bytes);
  }
  /// @return the most that the heap may hold, in bytes
  size_t limit_bytes() const { return limit_bytes_; }

  /// Whether no further request may be read.
  bool IsExhausted() { return FreeBytes() < limit_bytes_ / kReserveDivisor || IsResidentMemoryHigh(); }
  /// @return the most of a body that one connection may buffer
  size_t MaxBodyBytes() const { return std::clamp(FreeBytes() / kBodyDivisor, kMinPieceBytes, kMaxBody); }
  /// @return the most that one connection may read at once of a message that it passes on piece by piece
  size_t MaxPieceBytes() const {
    return std::clamp(FreeBytes() / kPieceDivisor, kMinPieceBytes, net::kMaxPieceBytes);
  }

  static constexpr size_t kMinPieceBytes = 4096;

 private:
  // Code, libraries, stack and tables of the system: resident and not on the heap.
  static constexpr size_t kProcessBytes = size_t{6} << 20;
  // Of the rest, what may be in use at once. The remainder is for gaps between allocations.
  static constexpr size_t kHeapShareNumerator = 3, kHeapShareDenominator = 4;
  static constexpr size_t kMinHeapBytes = size_t{4} << 20;
  static constexpr size_t kMinResidentBytes = size_t{16} << 20;
  static constexpr size_t kReserveDivisor = 5;
  static constexpr size_t kBodyDivisor = 256;
  static constexpr size_t kPieceDivisor = 1024;  // a connection holds several pieces at once

  bool IsResidentMemoryHigh();
  static size_t HeapLimit(size_t resident_bytes) {
    size_t rest = resident_bytes - std::min(resident_bytes, kProcessBytes);
    return std::max(kMinHeapBytes, rest / kHeapShareDenominator * kHeapShareNumerator);
  }
  size_t FreeBytes() const { return limit_bytes_ - std::min(limit_bytes_, heap_bytes_in_use_()); }

  size_t (*const heap_bytes_in_use_)();
  size_t limit_bytes_ = HeapLimit(0);
  size_t resident_limit_bytes_ = kMinResidentBytes;
  Clock::time_point resident_read_at_{};
  bool resident_memory_high_ = false;  // as read last
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_MEMORY_BUDGET_H_
