// Which backends operators have taken out, by name. Kept in a file of the temporary folder, which both
// processes of an upgrade share.
#ifndef LEMONCHUTE_NET_MAINTENANCE_H_
#define LEMONCHUTE_NET_MAINTENANCE_H_

#include <set>
#include <string>

#include "net/file_stamp.h"

namespace lemonchute::net {

class Maintenance {
 public:
  // An empty `folder` keeps nothing. A file that is missing or damaged counts as empty.
  explicit Maintenance(const std::string& folder);

  const std::set<std::string>& offline() const { return offline_; }
  // The file holds it before this returns true; false: it could not be kept, and nothing has changed.
  bool Set(const std::string& name, bool offline);
  // Takes in what the other process has written. True if the file has changed since it was last read.
  bool Refresh();

 private:
  std::string path_;
  std::set<std::string> offline_;
  FileStamp read_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_MAINTENANCE_H_
