// An owned file descriptor.
#ifndef LEMONCHUTE_NET_DESCRIPTOR_H_
#define LEMONCHUTE_NET_DESCRIPTOR_H_

#include <unistd.h>

namespace lemonchute::net {

/// Closes its file descriptor on destruction.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_DESCRIPTOR_H_
