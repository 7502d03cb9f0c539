// The stored list of backends that operators have taken out of service. Its file is in the temporary folder,
// which both processes of a handover share.
#ifndef LEMONCHUTE_NET_MAINTENANCE_H_
#define LEMONCHUTE_NET_MAINTENANCE_H_

#include <set>
#include <string>

#include "net/file_stamp.h"

namespace lemonchute::net {

/// Backends under maintenance, by name.
class MaintenanceList {
 public:
  /// Reads the file. If it is missing or damaged, the list starts empty.
  /// @param folder of the file; empty: the list is kept in memory only.
  explicit MaintenanceList(const std::string& folder);

  const std::set<std::string>& offline() const { return offline_; }
  /// Adds a backend to the list or removes it.
  /// @return false if the change could not be stored; nothing has changed then.
  bool Set(const std::string& name, bool offline);
  /// Rereads the file if the peer process has replaced it. If it is missing or damaged, the list stays as it
  /// is.
  /// @return whether the list was read anew.
  bool Refresh();

 private:
  bool Store(const std::set<std::string>& names);

  std::string path_;
  std::set<std::string> offline_;
  FileStamp last_read_;  // of the file when it was last read or written
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_MAINTENANCE_H_
