// Counts the memory that the process has allocated.
#ifndef LEMONCHUTE_NET_HEAP_USAGE_H_
#define LEMONCHUTE_NET_HEAP_USAGE_H_

#include <cstddef>

namespace lemonchute::net {

/// @return the bytes that were allocated with operator new and are not freed, with the allocator's overhead
size_t HeapBytesInUse();

/// @return the most that HeapBytesInUse has been so far
size_t PeakHeapBytes();

/// @return the resident memory of the process in bytes; 0 if it can't be read
size_t ResidentBytes();

/// Returns free pages of the heap to the system.
void ReturnFreeHeap();

/// Makes the allocator return freed memory to the system early. Called once, before the event loop runs.
void LimitRetainedHeap();

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_HEAP_USAGE_H_
