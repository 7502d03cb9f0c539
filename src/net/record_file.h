// The configuration's record in the folder that a gateway's processes share: written whole or not at all,
// and by one of them at a time.
#ifndef LEMONCHUTE_NET_RECORD_FILE_H_
#define LEMONCHUTE_NET_RECORD_FILE_H_

#include <functional>
#include <optional>
#include <string>

#include "config/revisions.h"
#include "net/file_stamp.h"

namespace lemonchute::net {

class RecordFile {
 public:
  enum class Step { kOpen, kWrite, kSync, kRename };
  // Tests: asked before each step, and an errno other than 0 is what the step then fails with.
  using Fails = std::function<int(Step)>;

  explicit RecordFile(const std::string& folder, Fails fails = {});  // an empty folder keeps nothing
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  bool kept() const { return !path_.empty(); }
  // False while another process holds it. Never waits: that process may be stopped.
  bool TryLock();
  void Unlock();
  bool Changed() const { return kept() && StampOf(path_) != seen_; }
  // None where there is no record, or none of this program's.
  std::optional<config::State> Read();
  // Empty once the record holds `state`; else why not, and the one before is untouched.
  std::string Write(const config::State& state);

 private:
  void OpenLock();

  std::string path_, lock_path_;
  int lock_ = -1;
  FileStamp seen_;
  Fails fails_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_RECORD_FILE_H_
