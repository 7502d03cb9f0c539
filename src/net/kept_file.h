// Reading the files that outlive a process. A failure to read is told apart from what a file holds: what was
// kept there is still owed, so it is tried again for a moment and never taken for an empty file.
#ifndef LEMONCHUTE_NET_KEPT_FILE_H_
#define LEMONCHUTE_NET_KEPT_FILE_H_

#include <optional>
#include <string>

namespace lemonchute::net {

// All bytes of the file; none where it can't be read, or not at once and not within some tries either.
std::optional<std::string> ReadKeptFile(const std::string& path);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_KEPT_FILE_H_
