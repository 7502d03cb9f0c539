#include "net/kept_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <thread>

#include "net/descriptor.h"

namespace lemonchute::net {
namespace {

// Short beside what a process has to become ready, and beside what a request may wait.
constexpr int kTries = 5;
constexpr auto kBetweenTries = std::chrono::milliseconds(2);

std::optional<std::string> ReadOnce(const std::string& path) {
  Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) return std::nullopt;
  std::string text;
  std::array<char, 4096> part;
  for (;;) {
    ssize_t bytes = read(file.get(), part.data(), part.size());
    if (bytes < 0 && errno == EINTR) continue;
    if (bytes < 0) return std::nullopt;
    if (bytes == 0) return text;
    text.append(part.data(), static_cast<size_t>(bytes));
  }
}

}  // namespace

std::optional<std::string> ReadKeptFile(const std::string& path) {
  for (int tried = 1;; ++tried) {
    std::optional<std::string> text = ReadOnce(path);
    if (text || errno == ENOENT || errno == EACCES || tried == kTries) return text;
    std::this_thread::sleep_for(kBetweenTries);
  }
}

}  // namespace lemonchute::net
