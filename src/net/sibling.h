// Whether another process of this same gateway is alive, as during an upgrade: each holds a lock on one byte
// of a file in the folder that they share. The kernel drops the lock with its process, however that ends.
#ifndef LEMONCHUTE_NET_SIBLING_H_
#define LEMONCHUTE_NET_SIBLING_H_

#include <string>

namespace lemonchute::net {

class Sibling {
 public:
  explicit Sibling(const std::string& folder);  // empty, or one that can't be written: never another
  ~Sibling();
  Sibling(const Sibling&) = delete;
  Sibling& operator=(const Sibling&) = delete;

  bool Alive();

 private:
  void Hold();

  std::string path_;
  int file_ = -1;
  bool holding_ = false;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_SIBLING_H_
