// Detects that a file has changed, at the cost of one system call; and describes locks that the kernel
// releases when their holder ends.
#ifndef LEMONCHUTE_NET_FILE_STAMP_H_
#define LEMONCHUTE_NET_FILE_STAMP_H_

#include <fcntl.h>
#include <sys/stat.h>

#include <cstdint>
#include <string>

namespace lemonchute::net {

/// Identifies the content of a file: files are replaced by renaming, so new content has a new inode.
struct FileStamp {
  uint64_t inode = 0;
  int64_t seconds = 0, nanoseconds = 0, bytes = 0;
  bool operator==(const FileStamp&) const = default;
};

inline FileStamp StampOf(const std::string& path) {  // all zero if there is no file
  struct stat file {};
  if (stat(path.c_str(), &file) != 0) return {};
  return {file.st_ino, file.st_mtim.tv_sec, file.st_mtim.tv_nsec, file.st_size};
}

/// Describes a write lock on a byte range, for use with F_OFD_SETLK. Such a lock belongs to the open file and
/// not to the process, so that closing another descriptor of the file does not release it.
inline struct flock ByteLock(off_t from, off_t bytes) {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  lock.l_start = from;
  lock.l_len = bytes;
  return lock;
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_FILE_STAMP_H_
