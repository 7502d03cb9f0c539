// Names and content become durable independently, as on a file system: a synced file whose name was not
// synced is lost, and a synced name whose file was not synced holds whatever bytes happened to survive.
#include "model/disk.h"

#include <set>

namespace lemonchute::lab {

bool SimulatedDisk::SetContent(const std::string& name, std::string bytes, bool overwrite) {
  size_t total_bytes = bytes.size();
  for (const auto& [other, file_id] : directory_)
    total_bytes += other == name ? 0 : files_[file_id].content.size();
  if (failing_ || total_bytes > capacity_) return false;
  auto found = directory_.find(name);
  if (found == directory_.end()) found = directory_.emplace(name, ++last_file_id_).first;
  File& file = files_[found->second];
  file.content = std::move(bytes);
  file.overwritten |= overwrite;
  return true;
}

bool SimulatedDisk::Write(const std::string& name, const std::string& bytes) {
  return SetContent(name, bytes, true);
}

bool SimulatedDisk::Append(const std::string& name, const std::string& bytes) {
  return SetContent(name, Read(name).value_or("") + bytes, false);
}

bool SimulatedDisk::Sync(const std::string& name) {
  auto found = directory_.find(name);
  if (failing_ || found == directory_.end()) return false;
  File& file = files_[found->second];
  file.synced_content = file.content, file.overwritten = false;
  ++syncs_;
  return true;
}

bool SimulatedDisk::Rename(const std::string& from, const std::string& to) {
  auto found = directory_.find(from);
  if (failing_ || found == directory_.end()) return false;
  directory_[to] = found->second;
  directory_.erase(from);
  return true;
}

bool SimulatedDisk::Remove(const std::string& name) { return !failing_ && directory_.erase(name) > 0; }

bool SimulatedDisk::SyncDirectory() {
  if (failing_) return false;
  synced_directory_ = directory_;
  ++syncs_;
  return true;
}

std::optional<std::string> SimulatedDisk::Read(const std::string& name) const {
  auto found = directory_.find(name);
  if (found == directory_.end()) return std::nullopt;
  return files_.at(found->second).content;
}

std::vector<std::string> SimulatedDisk::ListNames() const {
  std::vector<std::string> all;
  for (const auto& [name, file_id] : directory_) all.push_back(name);
  return all;
}

void SimulatedDisk::PowerLoss(Random* random) {
  std::set<std::string> names;
  for (const auto& [name, file_id] : directory_) names.insert(name);
  for (const auto& [name, file_id] : synced_directory_) names.insert(name);
  std::map<std::string, int> survivors;
  for (const std::string& name : names) {
    // Each change of a name has reached the disk or not.
    const auto& from = random->Chance(0.5) ? directory_ : synced_directory_;
    auto found = from.find(name);
    if (found != from.end()) survivors[name] = found->second;
  }
  for (auto& [file_id, file] : files_) {
    if (file.content == file.synced_content && !file.overwritten) continue;
    size_t kept =
        file.overwritten ? 0 : file.synced_content.size();  // overwritten content may be lost altogether
    kept += static_cast<size_t>(
        random->UniformInt(static_cast<int>(std::max(file.content.size(), kept) - kept) + 1));
    bool keep_old = file.overwritten && random->Chance(0.5);
    file.content = keep_old ? file.synced_content : file.content.substr(0, kept);
    file.synced_content = file.content, file.overwritten = false;
  }
  directory_ = synced_directory_ = survivors;
}

}  // namespace lemonchute::lab
