#include "net/offline_backends.h"

#include <cstdio>
#include <utility>

namespace lemonchute::net {

OfflineBackends::OfflineBackends(const std::string& folder, BackendIds& ids, BackendPool& pool,
                                 PolicyDispatcher& policy)
    : ids_(ids), pool_(pool), policy_(policy), stored_(folder) {}

SetOfflineResult OfflineBackends::Set(const std::string& name, bool offline) {
  if (!ids_.Find(name)) return SetOfflineResult::kUnknownBackend;
  if (!stored_.Set(name, offline)) return SetOfflineResult::kNotStored;
  std::fprintf(stderr, "operators: backend %s %s\n", name.c_str(), offline ? "offline" : "online");
  Apply();
  return SetOfflineResult::kDone;
}

void OfflineBackends::Refresh() {
  if (stored_.Refresh()) Apply();
}

void OfflineBackends::Apply() {
  std::set<std::string> before = std::exchange(applied_, stored_.offline());
  for (const std::string& name : before) {
    if (applied_.count(name) == 0) ApplyTo(name, false);
  }
  for (const std::string& name : applied_) {
    if (before.count(name) == 0) ApplyTo(name, true);
  }
}

void OfflineBackends::ApplyTo(const std::string& name, bool offline) {
  uint32_t id = ids_.GetOrAssign(name);
  pool_.SetOffline(id, offline);
  policy_.Dispatch([id, offline](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnMaintenance(now_s, id, offline, actions);
  });
}

}  // namespace lemonchute::net
