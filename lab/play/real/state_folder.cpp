// Processes of the lab run without the right to pass by permissions, so that these bind root's too.
#include "play/real/state_folder.h"

#include <filesystem>
#include <fstream>
#include <vector>

namespace lemonchute::lab {
namespace {

namespace fs = std::filesystem;

void Replace(const std::string& with, const std::string& path) {
  fs::permissions(path, fs::perms::owner_all);
  for (const auto& entry : fs::directory_iterator(path)) fs::remove_all(entry.path());
  fs::copy(with, path, fs::copy_options::recursive | fs::copy_options::overwrite_existing);
}

std::vector<fs::path> Files(const std::string& path) {
  std::vector<fs::path> files;
  for (const auto& entry : fs::recursive_directory_iterator(path)) {
    if (entry.is_regular_file()) files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());  // so that a seed spoils the same places
  return files;
}

void FlipABit(const fs::path& file, Random* random) {
  auto size = static_cast<int>(fs::file_size(file));
  if (size == 0) return;
  std::fstream open(file, std::ios::in | std::ios::out | std::ios::binary);
  int at = random->UniformInt(size);
  open.seekg(at);
  char byte = static_cast<char>(open.get());
  open.seekp(at);
  open.put(static_cast<char>(byte ^ (1 << random->UniformInt(8))));
}

}  // namespace

StateFolder::StateFolder(std::string path) : path_(std::move(path)), before_(path_ + "-before") {
  fs::create_directories(path_);
  fs::create_directories(before_);
}

void StateFolder::Starting() {
  std::error_code ignored;  // an unreadable folder has no older copy
  fs::remove_all(before_, ignored);
  fs::copy(path_, before_, fs::copy_options::recursive, ignored);
  fs::create_directories(before_, ignored);
}

void StateFolder::Befall(StateFolderFault what, const StateFolder& other, Random* random) {
  switch (what) {
    case StateFolderFault::kTruncated:
      for (const fs::path& file : Files(path_))
        fs::resize_file(
            file, static_cast<uintmax_t>(random->UniformInt(static_cast<int>(fs::file_size(file)) + 1)));
      break;
    case StateFolderFault::kBitFlipped:
      for (const fs::path& file : Files(path_)) FlipABit(file, random);
      break;
    case StateFolderFault::kOlderCopy: Replace(before_, path_); break;
    case StateFolderFault::kOtherGateways: Replace(other.path_, path_); break;
    case StateFolderFault::kRemoved: fs::remove_all(path_); break;
    case StateFolderFault::kUnreadable:
      for (const fs::path& file : Files(path_)) fs::permissions(file, fs::perms::none);
      break;
    case StateFolderFault::kReadOnly:
      fs::permissions(path_, fs::perms::owner_read | fs::perms::owner_exec);
      for (const fs::path& file : Files(path_)) fs::permissions(file, fs::perms::owner_read);
      break;
    case StateFolderFault::kDiskFull: no_room_ = true; break;
  }
}

}  // namespace lemonchute::lab
