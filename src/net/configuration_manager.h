// Applies configuration changes of a running gateway: from the file (SIGHUP), from operators (the admin
// API), from another process of the same gateway (the revision log), and rollbacks of unconfirmed revisions.
//
// Every change takes the same steps: RevisionHistory proposes the next state, the gateway prepares that
// state's configuration, the revision log is written, and then, with nothing left that can fail, the gateway
// and the history commit it.
#ifndef LEMONCHUTE_NET_CONFIGURATION_MANAGER_H_
#define LEMONCHUTE_NET_CONFIGURATION_MANAGER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/revisions.h"
#include "net/admin_server.h"
#include "net/configuration_file.h"
#include "net/revision_log.h"

namespace lemonchute::net {

/// An update that was applied, or, in a dry run, would be.
struct AppliedUpdate {
  std::vector<config::Fault> warnings;
  std::vector<config::Change> changes;
};

/// An update that was not applied, and why.
struct UpdateError {
  enum class Code { kInvalid, kConflict, kNotFound, kLocked, kNotStored };
  Code code = Code::kInvalid;
  std::string why;
  std::vector<config::Fault> faults;
  std::vector<config::Change> changes;
};

/// Owns the revision history and takes every change through the steps above.
class ConfigurationManager {
 public:
  /// Prepares a document and returns the commit, which must not fail. Throws if the preparation fails;
  /// nothing has changed then.
  using Prepare = std::function<std::function<void()>(const nlohmann::json& document)>;
  using UpdateResult = std::variant<AppliedUpdate, UpdateError>;

  /// @param path the configuration file.
  /// @param folder of the revision log; empty for none.
  ConfigurationManager(asio::io_context& io, std::string path, const std::string& folder,
                       RevisionLog::FailureInjector failure_injector = {});

  /// Must be called first. Start() follows once the gateway runs with the result, and all other calls come
  /// after Start().
  /// @return the document to start with: the file's, or the last good one in the revision log.
  /// @throws policy::ProtocolError with all faults if there is neither.
  nlohmann::json LoadInitial();
  void Start(Prepare prepare);

  /// Reloads the file, which may have been replaced (SIGHUP).
  void OnReloadSignal();
  /// Adopts a state that another process has written, and retries a failed write. Must be called
  /// periodically.
  void PollRevisionLog();
  /// Rejects operators' updates from now on, since the process is shutting down.
  void StopUpdates();

  /// @return none for a path outside /control/config.
  std::optional<AdminResponse> HandleAdminCall(const AdminRequest& call);
  void AppendMetrics(const std::function<void(const std::string& name, uint64_t value)>& line);

  /// Operators' updates.
  UpdateResult Update(const config::UpdateRequest& request);
  UpdateResult Confirm(uint64_t number);
  /// Checks and prepares an update without applying it.
  UpdateResult DryRun(const config::UpdateRequest& request) const;
  /// Records an operator's update that could not be parsed.
  void RejectUpdate(const std::string& why);

  const config::RevisionHistory& revisions() const { return *revisions_; }
  const std::vector<std::string>& needs_restart() const { return needs_restart_; }
  /// Faults of the file, if they made this process start with the revision log's document; otherwise empty.
  const std::string& start_fault() const { return start_fault_; }
  bool has_revision_log() const { return revision_log_.enabled(); }
  bool stored() const { return revision_log_.enabled() && !unwritten_; }
  ConfigurationFile::Status FileStatus();
  std::optional<double> ConfirmationTimeLeftS() const;

 private:
  struct Counters {
    uint64_t files_applied = 0, files_rejected = 0;
    uint64_t operator_updates = 0, other_rejected = 0, rolled_back = 0, confirmed = 0;
    uint64_t automatic_rollbacks = 0, adopted_from_peer = 0, failed_writes = 0;
  };
  enum class Durability { kRequired, kBestEffort };

  void ReloadFile(int attempts_left);
  void RetryReload(int attempts_left);
  std::optional<UpdateError> ApplyFile(ConfigurationFile::Content file);
  // Prepares and stores the next state, then commits it.
  std::optional<UpdateError> Commit(config::Transition next, Durability durability);
  UpdateResult CommitOperatorUpdate(std::variant<config::Transition, config::Rejection> proposal,
                                    config::UpdateSource source);
  std::optional<UpdateError> BeginOperatorUpdate(const RevisionLog::Lock& lock);
  void LogOperatorUpdate(const char* action) const;
  void AdoptPeerState();
  void RollBackExpired(int attempts_left);
  void ScheduleRollback();
  void RecordRejection(config::UpdateSource source, const std::string& why);

  ConfigurationFile file_;
  RevisionLog revision_log_;
  std::optional<config::RevisionHistory> revisions_;
  Prepare prepare_;
  asio::steady_timer rollback_timer_, reload_timer_;
  std::vector<std::string> needs_restart_;  // JSON Pointers of changes in the file that need a restart
  std::string start_fault_;
  bool unwritten_ = false;  // the running state is newer than the revision log
  asio::steady_timer::time_point next_write_at_{};
  bool stopped_ = false;
  Counters counters_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CONFIGURATION_MANAGER_H_
