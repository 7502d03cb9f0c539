// Backends that operators have taken out of service: applies their stored list to the pool and the policy.
#ifndef LEMONCHUTE_NET_OFFLINE_BACKENDS_H_
#define LEMONCHUTE_NET_OFFLINE_BACKENDS_H_

#include <set>
#include <string>

#include "net/backend_pool.h"
#include "net/discovery_client.h"
#include "net/maintenance.h"
#include "net/policy_dispatcher.h"

namespace lemonchute::net {

enum class SetOfflineResult { kDone, kUnknownBackend, kNotStored };

/// Keeps the stored list, the pool and the policy in agreement. The objects given to the constructor must
/// outlive this one.
class OfflineBackends {
 public:
  /// @param folder where the list is stored; empty: it is kept in memory only.
  OfflineBackends(const std::string& folder, BackendIds& ids, BackendPool& pool, PolicyDispatcher& policy);

  /// Takes a backend out of service or returns it to service. The list is stored before this returns kDone.
  SetOfflineResult Set(const std::string& name, bool offline);
  /// Applies changes that the gateway's other process has stored.
  void Refresh();
  /// Applies the stored list to the pool and the policy.
  void Apply();

 private:
  void ApplyTo(const std::string& name, bool offline);

  BackendIds& ids_;
  BackendPool& pool_;
  PolicyDispatcher& policy_;
  MaintenanceList stored_;
  std::set<std::string> applied_;  // names that the pool and the policy treat as offline
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_OFFLINE_BACKENDS_H_
