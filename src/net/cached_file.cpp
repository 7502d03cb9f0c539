#include "net/cached_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <thread>

#include "net/descriptor.h"

namespace lemonchute::net {
namespace {

// The retries block the event loop, so their total time is short compared with a request's deadline.
constexpr int kMaxAttempts = 5;
constexpr auto kRetryDelay = std::chrono::milliseconds(2);

std::optional<std::string> ReadOnce(const std::string& path) {
  Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) return std::nullopt;
  std::string text;
  std::array<char, 4096> chunk;
  for (;;) {
    ssize_t bytes = read(file.get(), chunk.data(), chunk.size());
    if (bytes < 0 && errno == EINTR) continue;
    if (bytes < 0) return std::nullopt;
    if (bytes == 0) return text;
    text.append(chunk.data(), static_cast<size_t>(bytes));
  }
}

}  // namespace

std::optional<std::string> ReadCachedFile(const std::string& path) {
  for (int attempt = 1;; ++attempt) {
    std::optional<std::string> text = ReadOnce(path);
    if (text || errno == ENOENT || errno == EACCES || attempt == kMaxAttempts) return text;
    std::this_thread::sleep_for(kRetryDelay);
  }
}

}  // namespace lemonchute::net
