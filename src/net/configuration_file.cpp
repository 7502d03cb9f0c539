#include "net/configuration_file.h"

#include <cerrno>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "config/content_id.h"
#include "config/document.h"
#include "net/cached_file.h"

namespace lemonchute::net {
namespace {

constexpr auto kStartRetryDelay = std::chrono::milliseconds(50);
constexpr int kStartRetries = 40;

}  // namespace

ConfigurationFile::Content ConfigurationFile::Read(const nlohmann::json& initial_settings) const {
  Content content;
  if (StampOf(path_).bytes > static_cast<int64_t>(config::kMaxDocumentBytes)) {
    config::AddFault(
        &content.faults, "",
        "the configuration is longer than " + std::to_string(config::kMaxDocumentBytes) + " bytes");
    return content;
  }
  std::optional<std::string> text = ReadCachedFile(path_);
  if (!text) {
    content.read_failed = errno != ENOENT;
    config::AddFault(&content.faults, "", "cannot read the configuration " + path_);
    return content;
  }
  config::Document parsed = config::ReadDocument(*text);
  content.faults = std::move(parsed.faults);
  if (!parsed.value.is_object()) return content;
  config::Findings findings = config::CheckConfig(parsed.value, config::Author::kPlatform, initial_settings);
  for (config::Fault& fault : findings.faults) {
    config::AddFault(&content.faults, std::move(fault.path), std::move(fault.message));
  }
  content.warnings = std::move(findings.warnings);
  if (content.faults.empty()) content.document = std::move(parsed.value);
  return content;
}

ConfigurationFile::Content ConfigurationFile::ReadAtStart() const {
  Content content = Read(nullptr);
  for (int retries = kStartRetries; content.read_failed && retries > 0; --retries) {
    std::this_thread::sleep_for(kStartRetryDelay);
    content = Read(nullptr);
  }
  return content;
}

ConfigurationFile::Status ConfigurationFile::CompareWith(const config::State& state,
                                                         const nlohmann::json& initial_settings) {
  const FileStamp stamp = StampOf(path_);
  if (stamp == compared_stamp_ && state.generation == compared_generation_) return status_;
  compared_stamp_ = stamp;
  compared_generation_ = state.generation;
  const Content content = Read(initial_settings);
  if (content.document.is_null()) {
    status_ = Status::kInvalid;
  } else if (config::ContentId(content.document) == state.Running().id) {
    status_ = Status::kAsRunning;
  } else {
    status_ = Status::kDiffers;
  }
  return status_;
}

}  // namespace lemonchute::net
