#include "config/changes.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>

#include "config/content_id.h"
#include "config/document.h"

namespace lemonchute::config {
namespace {

using nlohmann::json;

// Values that can't change while the process runs.
// /name: logs and operators identify the process by it.
// /listen: a listening socket can't be closed without resetting the connections in its accept queue.
// /ops: during an upgrade each process has its own admin endpoint.
// /settings/discovery: the policy chooses between push and poll once, when it is created.
constexpr std::array<std::string_view, 4> kRestartPaths = {"/name", "/listen", "/ops", "/settings/discovery"};

constexpr std::array<std::string_view, 4> kNewRequestPaths = {
    "/settings/request-classes", "/settings/limits/cancel", "/settings/limits/parallel-tries",
    "/settings/limits/try-limit"};

bool IsWithin(std::string_view path, std::string_view root) {
  return path.substr(0, root.size()) == root && (path.size() == root.size() || path[root.size()] == '/');
}

Activation ActivationOf(std::string_view path) {
  auto within = [path](std::string_view root) { return IsWithin(path, root); };
  if (std::any_of(kRestartPaths.begin(), kRestartPaths.end(), within)) return Activation::kRestart;
  if (std::any_of(kNewRequestPaths.begin(), kNewRequestPaths.end(), within)) return Activation::kNewRequests;
  return Activation::kImmediate;
}

// @return null for an element without a name.
const std::string* NameOf(const json& element) {
  if (!element.is_object()) return nullptr;
  auto name = element.find("name");
  return name != element.end() && name->is_string() ? name->get_ptr<const std::string*>() : nullptr;
}

bool AllNamed(const json& list) {
  return !list.empty() && std::all_of(list.begin(), list.end(),
                                      [](const json& element) { return NameOf(element) != nullptr; });
}

bool IsIgnored(const std::string& parent, std::string_view key) {
  return parent.empty() && IsProcessLocalKey(key) && key != "ops";
}

class Diff {
 public:
  explicit Diff(std::vector<Change>* changes) : changes_(changes) {}

  void Compare(const json& before, const json& after, const std::string& path) {
    if (before.is_object() && after.is_object()) {
      CompareObjects(before, after, path);
    } else if (before.is_array() && after.is_array() && (AllNamed(before) || AllNamed(after))) {
      CompareByName(before, after, path);
    } else if (before != after) {
      Add(path, "changed");
    }
  }

 private:
  using NameIndex = std::unordered_map<std::string, const json*>;

  void Add(const std::string& path, const char* kind) {
    const Activation activation = ActivationOf(path);
    if (changes_->size() < kMaxListedChanges || activation == Activation::kRestart) {
      changes_->push_back({path, activation, kind});
    }
  }

  void CompareObjects(const json& before, const json& after, const std::string& path) {
    for (const auto& [key, value] : before.items()) {
      if (IsIgnored(path, key)) continue;
      auto it = after.find(key);
      it == after.end() ? Add(ChildPath(path, key), "removed") : Compare(value, *it, ChildPath(path, key));
    }
    for (const auto& [key, value] : after.items()) {
      if (!IsIgnored(path, key) && !before.contains(key)) Add(ChildPath(path, key), "added");
    }
  }

  // Maps each name to its first element, which is also the one that all readers of the settings use.
  static NameIndex IndexByName(const json& list) {
    NameIndex index;
    for (const json& element : list) {
      if (const std::string* name = NameOf(element)) index.emplace(*name, &element);
    }
    return index;
  }

  void CompareByName(const json& before, const json& after, const std::string& path) {
    const NameIndex before_index = IndexByName(before), after_index = IndexByName(after);
    for (size_t i = 0; i < after.size(); ++i) {
      const std::string* name = NameOf(after[i]);
      auto it = name == nullptr ? before_index.end() : before_index.find(*name);
      it == before_index.end() ? Add(ChildPath(path, i), "added")
                               : Compare(*it->second, after[i], ChildPath(path, i));
    }
    for (size_t i = 0; i < before.size(); ++i) {
      const std::string* name = NameOf(before[i]);
      if (name == nullptr || after_index.count(*name) == 0) Add(ChildPath(path, i), "removed");
    }
  }

  std::vector<Change>* changes_;
};

}  // namespace

const char* ToString(Activation activation) {
  switch (activation) {
    case Activation::kImmediate: return "live";
    case Activation::kNewRequests: return "live for new requests";
    case Activation::kRestart: return "needs a restart";
  }
  return "";
}

std::vector<Change> FindChanges(const json& running, const json& candidate) {
  std::vector<Change> changes;
  Diff(&changes).Compare(running, candidate, "");
  return changes;
}

json WithoutRestartChanges(const json& running, json candidate) {
  for (std::string_view path : kRestartPaths) {
    json::json_pointer pointer{std::string(path)};
    const json::json_pointer parent = pointer.parent_pointer();
    if (!parent.empty() && !candidate.contains(parent)) continue;
    if (running.contains(pointer)) {
      candidate[pointer] = running.at(pointer);
    } else if (candidate.contains(pointer)) {
      candidate[parent].erase(pointer.back());
    }
  }
  return candidate;
}

}  // namespace lemonchute::config
