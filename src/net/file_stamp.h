// Whether a file has changed since it was last looked at, at the price of one system call; and locks that
// the kernel drops with their holder.
#ifndef LEMONCHUTE_NET_FILE_STAMP_H_
#define LEMONCHUTE_NET_FILE_STAMP_H_

#include <fcntl.h>
#include <sys/stat.h>

#include <cstdint>
#include <string>

namespace lemonchute::net {

// Files are replaced by renaming, so another content is another inode.
struct FileStamp {
  uint64_t inode = 0;
  int64_t seconds = 0, nanoseconds = 0, bytes = 0;
  bool operator==(const FileStamp&) const = default;
};

inline FileStamp StampOf(const std::string& path) {  // all nought where there is none
  struct stat file {};
  if (stat(path.c_str(), &file) != 0) return {};
  return {file.st_ino, file.st_mtim.tv_sec, file.st_mtim.tv_nsec, file.st_size};
}

// A write lock on some bytes, for use with F_OFD_SETLK: of the open file and not of the process id, so that
// it does not end when some other descriptor of the file is closed.
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
