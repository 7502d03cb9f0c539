#include "net/heap_usage.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <new>

namespace lemonchute::net {
namespace {

constexpr size_t kAllocationOverheadBytes = sizeof(size_t);  // the allocator's header of each block
constexpr int kTrimThresholdBytes = 256 * 1024;
constexpr int kMmapThresholdBytes = 128 * 1024;  // fixed, so that the allocator doesn't raise it

std::atomic<size_t> bytes_in_use{0}, peak_bytes{0};

void* CountAllocation(void* block) {
  if (block == nullptr) throw std::bad_alloc();
  size_t size = malloc_usable_size(block) + kAllocationOverheadBytes;
  size_t in_use = bytes_in_use.fetch_add(size, std::memory_order_relaxed) + size;
  if (in_use > peak_bytes.load(std::memory_order_relaxed))
    peak_bytes.store(in_use, std::memory_order_relaxed);
  return block;
}

void Free(void* block) noexcept {
  if (block == nullptr) return;
  bytes_in_use.fetch_sub(malloc_usable_size(block) + kAllocationOverheadBytes, std::memory_order_relaxed);
  std::free(block);
}

}  // namespace

size_t HeapBytesInUse() { return bytes_in_use.load(std::memory_order_relaxed); }

size_t PeakHeapBytes() { return peak_bytes.load(std::memory_order_relaxed); }

size_t ResidentBytes() {
  int file = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (file < 0) return 0;
  char text[128] = {};
  ssize_t size = read(file, text, sizeof(text) - 1);
  close(file);
  unsigned long total_pages = 0, resident_pages = 0;
  int fields = size > 0 ? std::sscanf(text, "%lu %lu", &total_pages, &resident_pages) : 0;
  return fields == 2 ? resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

void ReturnFreeHeap() { malloc_trim(0); }

void LimitRetainedHeap() {
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
}

}  // namespace lemonchute::net

// The other forms of new and delete call these (C++17, 17.6.2).
void* operator new(size_t size) { return lemonchute::net::CountAllocation(std::malloc(size)); }
void* operator new(size_t size, std::align_val_t alignment) {
  auto bytes = static_cast<size_t>(alignment);
  return lemonchute::net::CountAllocation(std::aligned_alloc(bytes, (size + bytes - 1) / bytes * bytes));
}
void operator delete(void* block) noexcept { lemonchute::net::Free(block); }
void operator delete(void* block, size_t) noexcept { lemonchute::net::Free(block); }
void operator delete(void* block, std::align_val_t) noexcept { lemonchute::net::Free(block); }
void operator delete(void* block, size_t, std::align_val_t) noexcept { lemonchute::net::Free(block); }
