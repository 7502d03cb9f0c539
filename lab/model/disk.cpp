// Names and bytes are safe apart from each other, as on a file system: a file that was synced and not its
// name is lost, a name that was synced and not its file holds what chance left of the bytes.
#include "model/disk.h"

#include <set>

namespace lemonchute::lab {

bool SimulatedDisk::Put(const std::string& name, std::string bytes, bool over) {
  size_t held = bytes.size();
  for (const auto& [other, number] : names_) held += other == name ? 0 : files_[number].now.size();
  if (fails_ || held > room_) return false;
  auto found = names_.find(name);
  if (found == names_.end()) found = names_.emplace(name, ++last_).first;
  File& file = files_[found->second];
  file.now = std::move(bytes);
  file.torn |= over;
  return true;
}

bool SimulatedDisk::Write(const std::string& name, const std::string& bytes) {
  return Put(name, bytes, true);
}

bool SimulatedDisk::Append(const std::string& name, const std::string& bytes) {
  return Put(name, Read(name).value_or("") + bytes, false);
}

bool SimulatedDisk::Sync(const std::string& name) {
  auto found = names_.find(name);
  if (fails_ || found == names_.end()) return false;
  File& file = files_[found->second];
  file.synced = file.now, file.torn = false;
  ++syncs_;
  return true;
}

bool SimulatedDisk::Rename(const std::string& from, const std::string& to) {
  auto found = names_.find(from);
  if (fails_ || found == names_.end()) return false;
  names_[to] = found->second;
  names_.erase(from);
  return true;
}

bool SimulatedDisk::Remove(const std::string& name) { return !fails_ && names_.erase(name) > 0; }

bool SimulatedDisk::SyncDirectory() {
  if (fails_) return false;
  safe_names_ = names_;
  ++syncs_;
  return true;
}

std::optional<std::string> SimulatedDisk::Read(const std::string& name) const {
  auto found = names_.find(name);
  if (found == names_.end()) return std::nullopt;
  return files_.at(found->second).now;
}

std::vector<std::string> SimulatedDisk::ListNames() const {
  std::vector<std::string> all;
  for (const auto& [name, number] : names_) all.push_back(name);
  return all;
}

void SimulatedDisk::PowerLoss(Random* random) {
  std::set<std::string> names;
  for (const auto& [name, number] : names_) names.insert(name);
  for (const auto& [name, number] : safe_names_) names.insert(name);
  std::map<std::string, int> left;
  for (const std::string& name : names) {
    // Each change of a name has reached the disk or not.
    const auto& from = random->Chance(0.5) ? names_ : safe_names_;
    auto found = from.find(name);
    if (found != from.end()) left[name] = found->second;
  }
  for (auto& [number, file] : files_) {
    if (file.now == file.synced && !file.torn) continue;
    size_t kept = file.torn ? 0 : file.synced.size();  // what is written over may be gone altogether
    kept +=
        static_cast<size_t>(random->UniformInt(static_cast<int>(std::max(file.now.size(), kept) - kept) + 1));
    bool old = file.torn && random->Chance(0.5);
    file.now = old ? file.synced : file.now.substr(0, kept);
    file.synced = file.now, file.torn = false;
  }
  names_ = safe_names_ = left;
}

}  // namespace lemonchute::lab
