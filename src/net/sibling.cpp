#include "net/sibling.h"

#include <fcntl.h>
#include <unistd.h>

#include "net/file_stamp.h"

namespace lemonchute::net {
namespace {

constexpr off_t kMostProcesses = 8;  // a byte each

}  // namespace

Sibling::Sibling(const std::string& folder) {
  if (folder.empty()) return;
  file_ = open((folder + "/lb-processes").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  Hold();
}

Sibling::~Sibling() {
  if (file_ >= 0) close(file_);
}

void Sibling::Hold() {
  for (off_t i = 0; i < kMostProcesses && file_ >= 0 && !holding_; ++i) {
    struct flock lock = ByteLock(i, 1);
    holding_ = fcntl(file_, F_OFD_SETLK, &lock) == 0;
  }
}

bool Sibling::Alive() {
  if (file_ < 0) return false;
  Hold();
  struct flock lock = ByteLock(0, kMostProcesses);
  return fcntl(file_, F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

}  // namespace lemonchute::net
