#include "net/maintenance.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "net/cached_file.h"

namespace lemonchute::net {

using nlohmann::json;

MaintenanceList::MaintenanceList(const std::string& folder) {
  if (folder.empty()) return;
  path_ = folder + "/lb-maintenance.json";
  Refresh();
}

bool MaintenanceList::Refresh() {
  if (path_.empty()) return false;
  FileStamp current = StampOf(path_);
  if (current == last_read_) return false;
  std::optional<std::string> text = current == FileStamp{} ? std::string() : ReadCachedFile(path_);
  if (!text) return false;  // retried at the next refresh
  last_read_ = current;
  json names = json::parse(*text, nullptr, false);
  if (!names.is_array()) return false;  // damaged: the last list that was read stays in use
  std::set<std::string> offline;
  for (const json& name : names) {
    if (!name.is_string()) return false;
    offline.insert(name.get<std::string>());
  }
  offline_ = std::move(offline);
  return true;
}

bool MaintenanceList::Set(const std::string& name, bool offline) {
  Refresh();  // the peer process may have written meanwhile
  if ((offline_.count(name) != 0) == offline) return true;
  std::set<std::string> names = offline_;
  if (offline) {
    names.insert(name);
  } else {
    names.erase(name);
  }
  if (!path_.empty() && !Store(names)) return false;
  offline_ = std::move(names);
  return true;
}

// Written to a temporary file and renamed: a reader, or a start after a kill, finds the old list or the new
// one.
bool MaintenanceList::Store(const std::set<std::string>& names) {
  std::string temporary = path_ + "." + std::to_string(getpid());
  std::ofstream out(temporary, std::ios::trunc);
  out << json(names).dump();
  out.close();
  if (!out || std::rename(temporary.c_str(), path_.c_str()) != 0) {
    std::remove(temporary.c_str());
    return false;
  }
  last_read_ = StampOf(path_);
  return true;
}

}  // namespace lemonchute::net
