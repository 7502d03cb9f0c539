#include "net/peer_process.h"

#include <fcntl.h>
#include <unistd.h>

#include "net/file_stamp.h"

namespace lemonchute::net {
namespace {

constexpr off_t kMaxProcesses = 8;  // one byte each

}  // namespace

PeerProcess::PeerProcess(const std::string& folder) {
  if (folder.empty()) return;
  path_ = folder + "/lb-processes";
  TakeLock();
}

PeerProcess::~PeerProcess() {
  if (file_ >= 0) close(file_);
}

// Repeated until it succeeds: a file that can't be opened now may be available later. Without a lock of its
// own a process still sees those of others.
void PeerProcess::TakeLock() {
  if (file_ < 0 && !path_.empty()) file_ = open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  for (off_t i = 0; i < kMaxProcesses && file_ >= 0 && !locked_; ++i) {
    struct flock lock = ByteLock(i, 1);
    locked_ = fcntl(file_, F_OFD_SETLK, &lock) == 0;
  }
}

bool PeerProcess::Alive() {
  TakeLock();
  if (file_ < 0) return false;
  struct flock lock = ByteLock(0, kMaxProcesses);
  return fcntl(file_, F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

}  // namespace lemonchute::net
