#include "net/record_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "net/descriptor.h"
#include "net/kept_file.h"

namespace lemonchute::net {
namespace {

// A record is a process's own file of bounded parts; one that is longer is somebody else's.
constexpr int64_t kMostRecord = 4 * static_cast<int64_t>(config::kMostFile);

bool WriteWhole(int fd, std::string_view text) {
  while (!text.empty()) {
    ssize_t n = write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    text.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

}  // namespace

RecordFile::RecordFile(const std::string& folder, Fails fails) : fails_(std::move(fails)) {
  if (folder.empty()) return;
  path_ = folder + "/lb-config.json";
  lock_path_ = folder + "/lb-config.lock";
  OpenLock();
}

// Where it can't be had now, it is asked for again with each lock: without it two processes might write at
// once.
void RecordFile::OpenLock() {
  if (lock_ < 0) lock_ = open(lock_path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
}

RecordFile::~RecordFile() {
  if (lock_ >= 0) close(lock_);
}

bool RecordFile::TryLock() {
  if (kept()) OpenLock();
  if (lock_ < 0) return true;  // nothing can be written there by anybody
  struct flock lock = ByteLock(0, 1);
  return fcntl(lock_, F_OFD_SETLK, &lock) == 0 || (errno != EAGAIN && errno != EACCES);
}

void RecordFile::Unlock() {
  if (lock_ < 0) return;
  struct flock lock = ByteLock(0, 1);
  lock.l_type = F_UNLCK;
  fcntl(lock_, F_OFD_SETLK, &lock);
}

std::optional<config::State> RecordFile::Read() {
  if (!kept()) return std::nullopt;
  FileStamp now = StampOf(path_);
  if (now.bytes > 0 && now.bytes <= kMostRecord) {
    std::optional<std::string> text = ReadKeptFile(path_);
    if (!text) return std::nullopt;  // not seen: it is read again with the next look at it
    seen_ = now;
    return config::ReadRecord(*text);
  }
  seen_ = now;
  return std::nullopt;
}

std::string RecordFile::Write(const config::State& state) {
  if (!kept()) return "";
  const std::string text = config::WriteRecord(state);
  const std::string aside = path_ + ".new";  // one name: whoever holds the lock writes it anew
  int failure = 0;
  auto step = [&](Step which, auto act) {
    errno = fails_ ? fails_(which) : 0;
    bool done = errno == 0 && act();
    if (!done) failure = errno;
    return done;
  };
  bool written = false;
  {
    int opened = -1;
    step(Step::kOpen, [&] {
      opened = open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
      return opened >= 0;
    });
    Descriptor file(opened);
    written = opened >= 0 && step(Step::kWrite, [&] { return WriteWhole(file.get(), text); }) &&
              step(Step::kSync, [&] { return fsync(file.get()) == 0; });
  }
  // A reader, or a start after a kill, finds the old record or the new one.
  if (written) written = step(Step::kRename, [&] { return std::rename(aside.c_str(), path_.c_str()) == 0; });
  if (!written) {
    unlink(aside.c_str());
    return std::strerror(failure);
  }
  seen_ = StampOf(path_);
  return "";
}

}  // namespace lemonchute::net
