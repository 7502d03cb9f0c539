// The stored list of backends that operators have taken out of service. It lies in a file of the temporary
// folder, which both processes of a handover share.
#ifndef LEMONCHUTE_NET_MAINTENANCE_H_
#define LEMONCHUTE_NET_MAINTENANCE_H_

#include <set>
#include <string>

#include "net/file_stamp.h"

namespace lemonchute::net {

/// Backends under maintenance, by name.
class MaintenanceList {
 public:
  /// Reads the file. One that is missing or damaged counts as empty.
  /// @param folder of the file; empty: the list is only in memory.
  explicit MaintenanceList(const std::string& folder);

  const std::set<std::string>& offline() const { return offline_; }
  /// Adds a backend to the list or removes it.
  /// @return whether the file holds the change; if not, nothing has changed.
  bool Set(const std::string& name, bool offline);
  /// Takes in what the peer process has written.
  /// @return whether the file has changed since it was last read.
  bool Refresh();

 private:
  bool Store(const std::set<std::string>& names);

  std::string path_;
  std::set<std::string> offline_;
  FileStamp last_read_;  // of the file as it was last read or written
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_MAINTENANCE_H_
