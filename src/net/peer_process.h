// Detects whether another process of this gateway is alive, as it is while a release is rolled out.
#ifndef LEMONCHUTE_NET_PEER_PROCESS_H_
#define LEMONCHUTE_NET_PEER_PROCESS_H_

#include <string>

namespace lemonchute::net {

/// Each process locks one byte of a file in the shared folder. The kernel releases the lock when the process
/// ends, however it ends.
class PeerProcess {
 public:
  /// Takes this process's lock.
  /// @param folder if it is empty or can't be written, no peer process is ever detected.
  explicit PeerProcess(const std::string& folder);
  ~PeerProcess();
  PeerProcess(const PeerProcess&) = delete;
  PeerProcess& operator=(const PeerProcess&) = delete;

  /// @return whether another process holds a lock.
  bool Alive();

 private:
  void TakeLock();

  std::string path_;
  int file_ = -1;
  bool locked_ = false;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_PEER_PROCESS_H_
