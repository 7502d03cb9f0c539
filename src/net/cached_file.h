// Reads small files that outlive a process.
#ifndef LEMONCHUTE_NET_CACHED_FILE_H_
#define LEMONCHUTE_NET_CACHED_FILE_H_

#include <optional>
#include <string>

namespace lemonchute::net {

/// Reads the whole file. Retries for a few milliseconds, so that a transient read error is not taken for an
/// empty file.
/// @return none if the file can't be read; errno then holds the reason.
std::optional<std::string> ReadCachedFile(const std::string& path);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CACHED_FILE_H_
