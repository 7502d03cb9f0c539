/// The configuration revisions of a gateway as plain data.
#ifndef LEMONCHUTE_CONFIG_REVISION_STATE_H_
#define LEMONCHUTE_CONFIG_REVISION_STATE_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lemonchute::config {

inline constexpr size_t kMaxRevisions = 16;
inline constexpr size_t kMaxOldDocumentBytes = size_t{1} << 20;  ///< Of all older revisions together.
inline constexpr double kMaxConfirmWithinS = 86400;              ///< One day.

/// One moment on two clocks, in seconds.
struct Timestamp {
  double system_s = 0;  ///< Wall-clock time.
  double steady_s = 0;  ///< Monotonic clock that all processes of a machine share until it reboots.
  bool operator==(const Timestamp&) const = default;
};

/// Where a revision comes from.
enum class UpdateSource { kFile, kOperatorUpdate, kRollback, kAutomaticRollback };
/// The source as the revision log and the admin API write it.
const char* ToString(UpdateSource source);

struct Revision {
  uint64_t number = 0;
  std::string id;     ///< ContentId of the document.
  double time_s = 0;  ///< Wall-clock time at which it was applied.
  UpdateSource source = UpdateSource::kFile;
  uint64_t restored_from = 0;  ///< Of a rollback: the revision with the same content; 0 for none.
  std::string outcome;         ///< "running", "on trial", "replaced", "rolled back", "returned".
  nlohmann::json document;     ///< Null if it was dropped to bound the history's size.
  bool operator==(const Revision&) const = default;
};

/// A revision on trial ("commit confirmed"): unless it is confirmed in time, `rollback_target` is restored.
struct ProvisionalRevision {
  uint64_t number = 0, rollback_target = 0;
  Timestamp started;
  double confirm_within_s = 0;
  bool operator==(const ProvisionalRevision&) const = default;
};

/// An update that was not applied, for the admin API.
struct RejectedUpdate {
  double time_s = 0;  ///< Wall-clock time.
  UpdateSource source = UpdateSource::kFile;
  std::string reason;
  bool operator==(const RejectedUpdate&) const = default;
};

/// Everything that the revision log stores.
struct State {
  uint64_t generation = 0;  ///< Incremented by every change: the higher of two states is the later one.
  uint64_t running = 0;     ///< Number of the running revision.
  std::vector<Revision> revisions;  ///< Oldest first; the running one is the last.
  std::optional<ProvisionalRevision> provisional;
  /// The platform's file as last applied: its ContentId, the revision that it became, and its addresses.
  std::string file_id;
  uint64_t file_revision = 0;
  nlohmann::json file_discovery, file_counter;
  /// The endpoint list in the file as last applied at a start; null if it had none or one too large to store.
  nlohmann::json initial_endpoints;

  /// @return null for a revision that is not stored.
  const Revision* Find(uint64_t number) const;
  const Revision& Running() const { return revisions.back(); }
  bool operator==(const State&) const = default;
};

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_REVISION_STATE_H_
