// The configuration file that the platform writes (LB_CONFIG).
#ifndef LEMONCHUTE_NET_CONFIGURATION_FILE_H_
#define LEMONCHUTE_NET_CONFIGURATION_FILE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/check.h"
#include "config/revision_state.h"
#include "net/file_stamp.h"

namespace lemonchute::net {

/// Reads and checks the file, and compares it with the running revision.
class ConfigurationFile {
 public:
  struct Content {
    nlohmann::json document;  // null if there are faults
    std::vector<config::Fault> faults, warnings;
    bool read_failed = false;  // the file exists and could not be read, which may be temporary
  };
  /// How the file compares with the running revision.
  enum class Status { kAsRunning, kDiffers, kInvalid };

  explicit ConfigurationFile(std::string path) : path_(std::move(path)) {}

  /// Reads and checks the file.
  /// @param initial_settings as for config::CheckConfig.
  Content Read(const nlohmann::json& initial_settings) const;

  /// Reads and checks the file at startup. Blocks for up to 2 s while it can't be read.
  Content ReadAtStart() const;

  /// Reads the file only if it or the running revision has changed since the last call.
  Status CompareWith(const config::State& state, const nlohmann::json& initial_settings);

 private:
  const std::string path_;
  FileStamp compared_stamp_;
  uint64_t compared_generation_ = 0;
  Status status_ = Status::kAsRunning;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CONFIGURATION_FILE_H_
