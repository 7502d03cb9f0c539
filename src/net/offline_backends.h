// Backends that operators have taken out of service: joins their list with the pool and the policy.
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

/// The objects given to the constructor outlive this one.
class OfflineBackends {
 public:
  /// @param folder where the list is stored; empty: only in memory.
  OfflineBackends(const std::string& folder, BackendIds& ids, BackendPool& pool, PolicyDispatcher& policy);

  /// Takes a backend out of service, or back into it. The list is stored before this returns kDone.
  SetOfflineResult Set(const std::string& name, bool offline);
  /// Takes in what the gateway's other process has stored.
  void Refresh();
  /// Brings the pool and the policy up to the list.
  void Apply();

 private:
  void ApplyTo(const std::string& name, bool offline);

  BackendIds& ids_;
  BackendPool& pool_;
  PolicyDispatcher& policy_;
  MaintenanceList stored_;
  std::set<std::string> applied_;  // by name, as the pool and the policy have it
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_OFFLINE_BACKENDS_H_
