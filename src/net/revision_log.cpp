#include "net/revision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "config/document.h"
#include "config/revision_codec.h"
#include "net/cached_file.h"
#include "net/descriptor.h"

namespace lemonchute::net {
namespace {

// All parts of a log are bounded; a longer file is not one of this program's.
constexpr int64_t kMaxLogBytes = 4 * static_cast<int64_t>(config::kMaxDocumentBytes);

bool WriteAll(int fd, std::string_view text) {
  while (!text.empty()) {
    ssize_t n = write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    text.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

}  // namespace

RevisionLog::RevisionLog(const std::string& folder, FailureInjector failure_injector)
    : failure_injector_(std::move(failure_injector)) {
  if (folder.empty()) return;
  path_ = folder + "/lb-config.json";
  lock_path_ = folder + "/lb-config.lock";
  OpenLock();
}

// Retried with each TryLock(): without the lock file two processes could write at once.
void RevisionLog::OpenLock() {
  if (lock_descriptor_ < 0) lock_descriptor_ = open(lock_path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
}

RevisionLog::~RevisionLog() {
  if (lock_descriptor_ >= 0) close(lock_descriptor_);
}

bool RevisionLog::TryLock() {
  if (enabled()) OpenLock();
  if (lock_descriptor_ < 0) return true;
  struct flock lock = ByteLock(0, 1);
  return fcntl(lock_descriptor_, F_OFD_SETLK, &lock) == 0 || (errno != EAGAIN && errno != EACCES);
}

void RevisionLog::Unlock() {
  if (lock_descriptor_ < 0) return;
  struct flock lock = ByteLock(0, 1);
  lock.l_type = F_UNLCK;
  fcntl(lock_descriptor_, F_OFD_SETLK, &lock);
}

std::optional<config::State> RevisionLog::Read() {
  if (!enabled()) return std::nullopt;
  FileStamp now = StampOf(path_);
  if (now.bytes > 0 && now.bytes <= kMaxLogBytes) {
    std::optional<std::string> text = ReadCachedFile(path_);
    if (!text) return std::nullopt;  // Changed() stays true, so the read is retried
    last_seen_ = now;
    return config::ParseState(*text);
  }
  last_seen_ = now;
  return std::nullopt;
}

std::string RevisionLog::Write(const config::State& state) {
  if (!enabled()) return "";
  const std::string text = config::SerializeState(state);
  const std::string temporary_path = path_ + ".new";  // one name suffices under the lock
  int failure = 0;
  auto run_step = [&](Step step, auto action) {
    errno = failure_injector_ ? failure_injector_(step) : 0;
    bool done = errno == 0 && action();
    if (!done) failure = errno;
    return done;
  };
  bool written = false;
  {
    int opened = -1;
    run_step(Step::kOpen, [&] {
      opened = open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
      return opened >= 0;
    });
    Descriptor file(opened);
    written = opened >= 0 && run_step(Step::kWrite, [&] { return WriteAll(file.get(), text); }) &&
              run_step(Step::kSync, [&] { return fsync(file.get()) == 0; });
  }
  // The rename is atomic: readers and a start after a crash find the old log or the new one.
  if (written)
    written =
        run_step(Step::kRename, [&] { return std::rename(temporary_path.c_str(), path_.c_str()) == 0; });
  if (!written) {
    unlink(temporary_path.c_str());
    return std::strerror(failure);
  }
  last_seen_ = StampOf(path_);
  return "";
}

}  // namespace lemonchute::net
