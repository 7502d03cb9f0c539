// The durable log of configuration revisions in the folder that a gateway's processes share. Replaced
// atomically, and by one process at a time.
#ifndef LEMONCHUTE_NET_REVISION_LOG_H_
#define LEMONCHUTE_NET_REVISION_LOG_H_

#include <functional>
#include <optional>
#include <string>

#include "config/revision_state.h"
#include "net/file_stamp.h"

namespace lemonchute::net {

/// Reads and replaces the log's file.
class RevisionLog {
 public:
  class Lock;

  enum class Step { kOpen, kWrite, kSync, kRename };
  /// For tests: called before each step; an errno other than 0 makes the step fail with it.
  using FailureInjector = std::function<int(Step)>;

  /// @param folder empty: nothing is stored.
  explicit RevisionLog(const std::string& folder, FailureInjector failure_injector = {});
  ~RevisionLog();
  RevisionLog(const RevisionLog&) = delete;
  RevisionLog& operator=(const RevisionLog&) = delete;

  bool enabled() const { return !path_.empty(); }
  /// Whether another process has written since the last Read() or Write().
  bool Changed() const { return enabled() && StampOf(path_) != last_seen_; }
  /// @return none if there is no log, or none in this program's format.
  std::optional<config::State> Read();
  /// @return an empty string once `state` is on disk; otherwise the reason, and the log is unchanged.
  std::string Write(const config::State& state);

 private:
  // Never waits: the process that holds the lock may be stopped.
  bool TryLock();
  void Unlock();
  void OpenLock();

  std::string path_, lock_path_;
  int lock_descriptor_ = -1;
  FileStamp last_seen_;
  FailureInjector failure_injector_;
};

/// Holds the log's lock while this object exists, unless another process has it. If the lock file can't be
/// opened the lock counts as held, since then no process can write the log either.
class RevisionLog::Lock {
 public:
  explicit Lock(RevisionLog* log) : log_(log), held_(log->TryLock()) {}
  ~Lock() {
    if (held_) log_->Unlock();
  }
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;

  bool held() const { return held_; }

 private:
  RevisionLog* const log_;
  const bool held_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_REVISION_LOG_H_
