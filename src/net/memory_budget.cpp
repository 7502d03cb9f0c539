#include "net/memory_budget.h"

#include <chrono>

namespace lemonchute::net {
namespace {

constexpr auto kResidentInterval = std::chrono::milliseconds(20);
// Shares of the limit, in eighths: from the first on free pages are returned, from the second on nothing more
// is read.
constexpr size_t kTrimEighths = 6, kHighEighths = 7;

}  // namespace

bool MemoryBudget::IsResidentMemoryHigh() {
  auto now = Clock::now();
  if (now < resident_read_at_ + kResidentInterval) return resident_memory_high_;
  resident_read_at_ = now;
  size_t resident_bytes = ResidentBytes();
  if (resident_bytes > resident_limit_bytes_ / 8 * kTrimEighths) {
    ReturnFreeHeap();
    resident_bytes = ResidentBytes();
  }
  resident_memory_high_ = resident_bytes > resident_limit_bytes_ / 8 * kHighEighths;
  return resident_memory_high_;
}

}  // namespace lemonchute::net
