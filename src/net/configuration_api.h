// The admin API of the configuration: reads, updates, confirmations and rollbacks below /control/config.
#ifndef LEMONCHUTE_NET_CONFIGURATION_API_H_
#define LEMONCHUTE_NET_CONFIGURATION_API_H_

#include <optional>
#include <string_view>

#include "net/admin_server.h"
#include "net/configuration_manager.h"

namespace lemonchute::net {

/// Parses requests and formats responses; ConfigurationManager does the work.
class ConfigurationApi {
 public:
  /// @param manager not owned; must outlive this object.
  explicit ConfigurationApi(ConfigurationManager* manager) : manager_(manager) {}

  /// @return none if the path does not belong to this API.
  std::optional<AdminResponse> Handle(const AdminRequest& call);

 private:
  AdminResponse Summary();
  AdminResponse StoredRevision(std::string_view number) const;
  AdminResponse Check(const AdminRequest& call) const;
  AdminResponse Put(const AdminRequest& call, std::string_view query);
  AdminResponse RollBack(std::string_view query);
  AdminResponse Confirm(std::string_view query);
  AdminResponse ToResponse(const ConfigurationManager::UpdateResult& result) const;

  ConfigurationManager* const manager_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CONFIGURATION_API_H_
