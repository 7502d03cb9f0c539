// Simulated storage for deterministic tests of components that keep state: files in memory and a simulated
// power loss. After it, a write that was not synced has survived completely, in part or not at all, and a
// name that was not synced is the old or the new one.
#ifndef LEMONCHUTE_LAB_MODEL_DISK_H_
#define LEMONCHUTE_LAB_MODEL_DISK_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/random.h"

namespace lemonchute::lab {

/// In-memory storage that loses what was not synced.
class SimulatedDisk {
 public:
  /// `capacity`: bytes that all files together may hold.
  explicit SimulatedDisk(size_t capacity = SIZE_MAX) : capacity_(capacity) {}

  /// Each operation returns whether it succeeded. A failed one changes nothing, as with a full or failing
  /// disk.
  bool Write(const std::string& name, const std::string& bytes);  // replaces the whole file
  bool Append(const std::string& name, const std::string& bytes);
  bool Sync(const std::string& name);  // makes the file's content durable
  bool Rename(const std::string& from, const std::string& to);
  bool Remove(const std::string& name);
  bool SyncDirectory();  // makes the names durable: created, renamed and removed files
  std::optional<std::string> Read(const std::string& name) const;
  std::vector<std::string> ListNames() const;

  /// Simulates a power loss; `random` decides what survives.
  void PowerLoss(Random* random);
  /// While failing, every change is refused.
  void SetFailing(bool failing) { failing_ = failing; }
  uint64_t syncs() const { return syncs_; }

 private:
  struct File {
    std::string synced_content, content;  // durable bytes, and the bytes as read
    bool overwritten = false;             // since the last sync, rather than only appended to
  };
  bool SetContent(const std::string& name, std::string bytes, bool overwrite);

  const size_t capacity_;
  bool failing_ = false;
  uint64_t syncs_ = 0;
  int last_file_id_ = 0;
  std::map<int, File> files_;
  // File ids by name: as read, and durable.
  std::map<std::string, int> directory_, synced_directory_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_DISK_H_
