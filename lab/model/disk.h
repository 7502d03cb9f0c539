// Owns a stand-in for storage that forgets what was not synced: files in memory, and a power loss after which
// of every write that was not synced some part is there, all of it or nothing, and of every name that was not
// synced the old or the new. For deterministic tests beneath a core that keeps state.
#ifndef LEMONCHUTE_LAB_MODEL_DISK_H_
#define LEMONCHUTE_LAB_MODEL_DISK_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/random.h"

namespace lemonchute::lab {

class SimulatedDisk {
 public:
  // `room`: bytes that all files together may hold.
  explicit SimulatedDisk(size_t capacity = SIZE_MAX) : capacity_(capacity) {}

  // Each says whether it was done; a no changes nothing, as with a full or failing disk.
  bool Write(const std::string& name, const std::string& bytes);  // all of the file, in place of what it was
  bool Append(const std::string& name, const std::string& bytes);
  bool Sync(const std::string& name);  // its bytes outlive a power loss
  bool Rename(const std::string& from, const std::string& to);
  bool Remove(const std::string& name);
  bool SyncDirectory();  // so do the names: files made, renamed and removed
  std::optional<std::string> Read(const std::string& name) const;
  std::vector<std::string> ListNames() const;

  // The power goes; what is left is drawn.
  void PowerLoss(Random* random);
  // From here on every change is refused.
  void SetFailing(bool failing) { failing_ = failing; }
  uint64_t syncs() const { return syncs_; }

 private:
  struct File {
    std::string synced_content, content;  // bytes that are safe, and as a reader sees them
    bool overwritten = false;             // written over since the last sync, not only made longer
  };
  bool SetContent(const std::string& name, std::string bytes, bool overwrite);

  const size_t capacity_;
  bool failing_ = false;
  uint64_t syncs_ = 0;
  int last_file_id_ = 0;
  std::map<int, File> files_;
  std::map<std::string, int> directory_,
      synced_directory_;  // as a reader sees them, and as they outlive a power loss
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_DISK_H_
