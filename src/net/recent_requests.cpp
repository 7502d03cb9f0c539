#include "net/recent_requests.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <new>

namespace lemonchute::net {
namespace {

// Longer than any client waits, all its retries included.
constexpr auto kRetention = std::chrono::seconds(60);
constexpr auto kTimeUnit = std::chrono::milliseconds(10);
constexpr int kTimeBits = 24;
constexpr uint64_t kTimeMask = (uint64_t{1} << kTimeBits) - 1;
constexpr uint64_t kRetentionUnits = kRetention / kTimeUnit;

// FNV-1a, which both processes of an upgrade compute alike.
uint64_t Hash(std::string_view text) {
  uint64_t hash = 14695981039346656037ULL;
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
  return hash;
}

// The steady clock is the same for all processes of a machine.
uint64_t TimeUnits(Clock::time_point now) {
  return static_cast<uint64_t>(now.time_since_epoch() / kTimeUnit) & kTimeMask;
}

uint64_t Age(uint64_t slot, uint64_t now_units) { return (now_units - slot) & kTimeMask; }
bool HasHash(uint64_t slot, uint64_t hash) { return slot != 0 && (slot ^ hash) >> kTimeBits == 0; }
bool IsFree(uint64_t slot, uint64_t now_units) { return slot == 0 || Age(slot, now_units) > kRetentionUnits; }

uint64_t Load(uint64_t& slot) { return std::atomic_ref(slot).load(std::memory_order_relaxed); }
void Store(uint64_t& slot, uint64_t value) { std::atomic_ref(slot).store(value, std::memory_order_relaxed); }

// Maps the file, or memory of this process if that fails.
void* MapTable(const std::string& path, size_t bytes) {
  int file = path.empty() ? -1 : open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  void* table = MAP_FAILED;
  if (file >= 0 && ftruncate(file, static_cast<off_t>(bytes)) == 0)
    table = mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  if (file >= 0) close(file);
  if (table == MAP_FAILED)
    table = mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (table == MAP_FAILED) throw std::bad_alloc();
  return table;
}

}  // namespace

RecentRequests::RecentRequests(const std::string& folder)
    : slots_(static_cast<uint64_t*>(
          MapTable(folder.empty() ? "" : folder + "/lb-recent-requests", kSlots * sizeof(uint64_t)))) {}

RecentRequests::~RecentRequests() { munmap(slots_, kSlots * sizeof(uint64_t)); }

uint64_t* RecentRequests::Bucket(uint64_t hash) const {
  return slots_ + hash % (kSlots / kSlotsPerBucket) * kSlotsPerBucket;
}

bool RecentRequests::Contains(std::string_view request_id, Clock::time_point now) const {
  uint64_t hash = Hash(request_id), now_units = TimeUnits(now);
  uint64_t* bucket = Bucket(hash);
  for (size_t i = 0; i < kSlotsPerBucket; ++i) {
    uint64_t slot = Load(bucket[i]);
    if (HasHash(slot, hash) && !IsFree(slot, now_units)) return true;
  }
  return false;
}

void RecentRequests::Add(std::string_view request_id, Clock::time_point now) {
  uint64_t hash = Hash(request_id), now_units = TimeUnits(now);
  uint64_t* bucket = Bucket(hash);
  size_t chosen = 0;
  for (size_t i = 0; i < kSlotsPerBucket; ++i) {
    uint64_t slot = Load(bucket[i]);
    if (HasHash(slot, hash) || IsFree(slot, now_units)) {
      chosen = i;
      break;
    }
    if (Age(slot, now_units) > Age(Load(bucket[chosen]), now_units)) chosen = i;
  }
  Store(bucket[chosen], (hash & ~kTimeMask) | now_units);
}

void RecentRequests::Remove(std::string_view request_id) {
  uint64_t hash = Hash(request_id);
  uint64_t* bucket = Bucket(hash);
  for (size_t i = 0; i < kSlotsPerBucket; ++i) {
    if (HasHash(Load(bucket[i]), hash)) Store(bucket[i], 0);
  }
}

}  // namespace lemonchute::net
