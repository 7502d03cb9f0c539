/// Decides which configuration revision runs: handles updates, rollbacks and confirmations, and bounds the
/// history.
///
/// A state machine without I/O or clocks. A proposal returns the next state and changes nothing. The owner
/// prepares that state's configuration, writes the revision log, and only then commits the state by Apply,
/// which can't fail.
#ifndef LEMONCHUTE_CONFIG_REVISIONS_H_
#define LEMONCHUTE_CONFIG_REVISIONS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/changes.h"
#include "config/check.h"
#include "config/revision_state.h"

namespace lemonchute::config {

/// A request to change the running revision.
struct UpdateRequest {
  UpdateSource source = UpdateSource::kFile;
  nlohmann::json document;                ///< Of a file or an operator's update.
  std::optional<uint64_t> base_revision;  ///< The running revision that the operator expects.
  uint64_t target_revision = 0;           ///< Of a rollback; 0 for the revision before the running one.
  double confirm_within_s = 0;            ///< 0 for an update that needs no confirmation.
};

/// Why an update was not applied. Nothing has changed.
struct Rejection {
  enum Kind { kInvalid, kNeedsRestart, kStaleBase, kRevisionNotFound, kNoChange } kind = kInvalid;
  std::string message;
  std::vector<Fault> faults;
  std::vector<Change> changes;
};

/// A step to a new state, not yet applied.
struct Transition {
  State state;
  bool content_unchanged = false;  ///< The running document stays, so there is nothing to prepare.
  std::vector<Fault> warnings;
  std::vector<Change> changes;             ///< All differences from the running document.
  std::vector<std::string> needs_restart;  ///< JSON Pointers of changes that take effect at a restart.
};

/// The revisions of one gateway and the rules by which one replaces another.
class RevisionHistory {
 public:
  /// The first state of a gateway, from a valid file.
  static State StartFromFile(const nlohmann::json& document, Timestamp now);

  /// The state at a start with a revision log. The logged state is resumed if the file is the one that was
  /// last applied, or is invalid (null); any other file becomes a new revision.
  /// @param always_use_file the logged running document can't be used: the file becomes a revision in any
  ///   case.
  static State ResumeFromLog(const State& logged, const nlohmann::json& file, Timestamp now,
                             bool always_use_file = false);

  /// @param initial_settings the settings that the process started with (see CheckConfig).
  RevisionHistory(State state, nlohmann::json initial_settings);

  /// Checks an update and returns the state that it leads to, or why it is rejected.
  std::variant<Transition, Rejection> Propose(const UpdateRequest& request, Timestamp now) const;

  /// Makes the provisional revision permanent.
  std::variant<Transition, Rejection> Confirm(uint64_t number) const;

  /// The rollback of a provisional revision that was not confirmed in time.
  /// @return nothing if none is due, or if the target is no longer valid.
  std::optional<Transition> RollbackIfExpired(Timestamp now) const;

  /// @return nothing without a provisional revision.
  std::optional<double> ConfirmationTimeLeftS(Timestamp now) const;

  /// The step to a state that another process of this gateway has written.
  /// @return nothing if it is no later than this process's.
  std::optional<Transition> AdoptPeerState(const State& peer) const;

  /// Commits the state of a transition.
  void Apply(State&& state) noexcept { state_ = std::move(state); }
  void RecordRejection(UpdateSource source, std::string reason, Timestamp now);

  const State& state() const { return state_; }
  const std::vector<RejectedUpdate>& rejected_updates() const { return rejected_updates_; }
  const nlohmann::json& initial_settings() const { return initial_settings_; }

 private:
  struct Candidate {
    nlohmann::json document;
    uint64_t restored_from = 0;  // 0 for a new document
  };

  std::variant<Candidate, Rejection> SelectRollbackTarget(uint64_t target_revision) const;
  Findings Check(const nlohmann::json& document, UpdateSource source) const;
  // Fills in the state after `candidate` has replaced the running document.
  void SetNextState(const UpdateRequest& request, Candidate candidate, Timestamp now, Transition* next) const;

  State state_;
  nlohmann::json initial_settings_;
  std::vector<RejectedUpdate> rejected_updates_;  // oldest first
};

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_REVISIONS_H_
