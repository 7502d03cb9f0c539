#include "net/configuration_manager.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include "net/configuration_api.h"
#include "policy/protocol_error.h"

namespace lemonchute::net {
namespace {

using nlohmann::json;
using policy::ProtocolError;

// Another process holds the revision log's lock only while it writes a small file. A process that holds it
// for longer is stopped (SIGSTOP) and is not waited for.
constexpr auto kLockRetryDelay = std::chrono::milliseconds(10);
constexpr int kLockRetries = 20;
constexpr auto kWriteRetryDelay = std::chrono::seconds(1);
constexpr size_t kMaxLoggedWarnings = 8;  // of one file

// Converts to the type that %llu formats.
unsigned long long ForPrintf(uint64_t number) { return number; }

config::Timestamp Now() {
  auto seconds = [](auto elapsed) { return std::chrono::duration<double>(elapsed).count(); };
  return {seconds(std::chrono::system_clock::now().time_since_epoch()),
          seconds(std::chrono::steady_clock::now().time_since_epoch())};
}

UpdateError::Code ToErrorCode(config::Rejection::Kind kind) {
  switch (kind) {
    case config::Rejection::kInvalid:
    case config::Rejection::kNeedsRestart: return UpdateError::Code::kInvalid;
    case config::Rejection::kStaleBase:
    case config::Rejection::kNoChange: return UpdateError::Code::kConflict;
    case config::Rejection::kRevisionNotFound: return UpdateError::Code::kNotFound;
  }
  return UpdateError::Code::kInvalid;
}

UpdateError ToUpdateError(const config::Rejection& rejection) {
  return {ToErrorCode(rejection.kind), rejection.message, rejection.faults, rejection.changes};
}

UpdateError MakeError(UpdateError::Code code, std::string why) { return {code, std::move(why), {}, {}}; }

}  // namespace

ConfigurationManager::ConfigurationManager(asio::io_context& io, std::string path, const std::string& folder,
                                           RevisionLog::FailureInjector failure_injector)
    : file_(std::move(path)),
      revision_log_(folder, std::move(failure_injector)),
      rollback_timer_(io),
      reload_timer_(io) {}

json ConfigurationManager::LoadInitial() {
  const ConfigurationFile::Content file = file_.ReadAtStart();
  const config::Timestamp now = Now();
  const std::optional<config::State> logged = revision_log_.Read();
  std::optional<config::State> state;
  if (logged) state = config::RevisionHistory::ResumeFromLog(*logged, file.document, now);
  // Another version of the program may have logged a document that is invalid for this one.
  if (state && !config::CheckConfig(state->Running().document, config::Author::kPlatform).faults.empty()) {
    state.reset();
    if (!file.document.is_null()) {
      state = config::RevisionHistory::ResumeFromLog(*logged, file.document, now, true);
    }
  }
  if (!state && file.document.is_null()) throw ProtocolError(config::FormatFaults(file.faults));
  if (!state) state = config::RevisionHistory::StartFromFile(file.document, now);
  json document = state->Running().document;
  document["known"] =
      file.document.is_null() ? state->initial_endpoints : file.document.value("known", json());
  if (file.document.is_null()) {
    start_fault_ = config::FormatFaults(file.faults);
    std::fprintf(stderr,
                 "STARTED BY THE LAST GOOD CONFIGURATION, revision %llu, since the file is broken: %s\n",
                 ForPrintf(state->running), start_fault_.c_str());
  } else if (logged && state->file_id == logged->file_id && state->running != state->file_revision) {
    std::fprintf(stderr, "configuration file unchanged: continuing with revision %llu (%s)\n",
                 ForPrintf(state->running), ToString(state->Running().source));
  }
  unwritten_ = revision_log_.enabled() && (!logged || state->generation != logged->generation);
  revisions_.emplace(std::move(*state), document.value("settings", json()));
  return document;
}

void ConfigurationManager::Start(Prepare prepare) {
  prepare_ = std::move(prepare);
  PollRevisionLog();
  ScheduleRollback();
}

void ConfigurationManager::StopUpdates() { stopped_ = true; }

std::optional<AdminResponse> ConfigurationManager::HandleAdminCall(const AdminRequest& call) {
  return ConfigurationApi(this).Handle(call);
}

void ConfigurationManager::RecordRejection(config::UpdateSource source, const std::string& why) {
  revisions_->RecordRejection(source, why, Now());
  source == config::UpdateSource::kFile ? ++counters_.files_rejected : ++counters_.other_rejected;
}

std::optional<UpdateError> ConfigurationManager::Commit(config::Transition next, Durability durability) {
  std::function<void()> commit = [] {};
  if (!next.content_unchanged) {
    try {
      commit = prepare_(next.state.Running().document);
    } catch (const std::exception& error) {
      return MakeError(UpdateError::Code::kInvalid, error.what());
    }
  }
  const std::string write_error = revision_log_.Write(next.state);
  if (!write_error.empty()) ++counters_.failed_writes;
  if (!write_error.empty() && durability == Durability::kRequired) {
    return MakeError(UpdateError::Code::kNotStored, "cannot be kept: " + write_error);
  }
  if (!write_error.empty()) {
    std::fprintf(stderr, "warning: the configuration is taken, but cannot be kept: %s\n",
                 write_error.c_str());
    next_write_at_ = asio::steady_timer::clock_type::now() + kWriteRetryDelay;
  }
  unwritten_ = !write_error.empty();
  commit();
  revisions_->Apply(std::move(next.state));
  ScheduleRollback();
  return std::nullopt;
}

void ConfigurationManager::OnReloadSignal() { ReloadFile(kLockRetries); }

// Replaces a retry that is pending already, so that several signals reload the file once.
void ConfigurationManager::RetryReload(int attempts_left) {
  reload_timer_.expires_after(kLockRetryDelay);
  reload_timer_.async_wait([this, attempts_left](error_code cancelled) {
    if (!cancelled) ReloadFile(attempts_left);
  });
}

void ConfigurationManager::ReloadFile(int attempts_left) {
  RevisionLog::Lock lock(&revision_log_);
  if (!lock.held() && attempts_left > 0) return RetryReload(attempts_left - 1);
  if (lock.held()) AdoptPeerState();
  ConfigurationFile::Content file = file_.Read(revisions_->initial_settings());
  if (file.read_failed && attempts_left > 0) return RetryReload(attempts_left - 1);
  const std::optional<UpdateError> error = ApplyFile(std::move(file));
  if (!error) return;
  RecordRejection(config::UpdateSource::kFile, error->why);
  std::fprintf(stderr, "configuration file rejected, keeping the running configuration: %s\n",
               error->why.c_str());
}

std::optional<UpdateError> ConfigurationManager::ApplyFile(ConfigurationFile::Content file) {
  if (!file.faults.empty()) return MakeError(UpdateError::Code::kInvalid, config::FormatFaults(file.faults));
  config::UpdateRequest request;
  request.document = std::move(file.document);
  auto proposal = revisions_->Propose(request, Now());
  if (auto* rejection = std::get_if<config::Rejection>(&proposal)) return ToUpdateError(*rejection);
  auto& next = std::get<config::Transition>(proposal);
  std::vector<std::string> needs_restart = std::move(next.needs_restart);
  if (auto error = Commit(std::move(next), Durability::kBestEffort)) return error;
  ++counters_.files_applied;
  needs_restart_ = std::move(needs_restart);
  start_fault_.clear();
  for (size_t i = 0; i < std::min(kMaxLoggedWarnings, file.warnings.size()); ++i) {
    std::fprintf(stderr, "warning: %s\n", config::FormatFaults({file.warnings[i]}).c_str());
  }
  for (const std::string& at : needs_restart_) {
    std::fprintf(stderr, "warning: %s stays as it was until a restart\n", at.c_str());
  }
  std::fprintf(stderr, "configuration reloaded\n");
  return std::nullopt;
}

// Called before any change of this process, so that the change builds on the latest state of all processes.
void ConfigurationManager::AdoptPeerState() {
  if (!revision_log_.Changed()) return;
  const std::optional<config::State> peer = revision_log_.Read();
  if (!peer) return;
  std::optional<config::Transition> next = revisions_->AdoptPeerState(*peer);
  if (!next) {
    unwritten_ = unwritten_ || peer->generation < revisions_->state().generation;
    return;
  }
  std::function<void()> commit = [] {};
  if (!next->content_unchanged) {
    try {
      // The peer applied changes that need a restart when it started; this process can't while it runs.
      commit = prepare_(config::WithoutRestartChanges(revisions_->state().Running().document,
                                                      next->state.Running().document));
    } catch (const std::exception& error) {
      RecordRejection(next->state.Running().source, error.what());
      std::fprintf(stderr, "CANNOT FOLLOW the other process to revision %llu: %s\n",
                   ForPrintf(next->state.running), error.what());
      return;
    }
  }
  commit();
  unwritten_ = false;
  ++counters_.adopted_from_peer;
  std::fprintf(stderr, "adopted revision %llu from the other process\n", ForPrintf(next->state.running));
  revisions_->Apply(std::move(next->state));
  ScheduleRollback();
}

void ConfigurationManager::PollRevisionLog() {
  const bool write_due = unwritten_ && asio::steady_timer::clock_type::now() >= next_write_at_;
  if (!write_due && !revision_log_.Changed()) return;
  RevisionLog::Lock lock(&revision_log_);
  if (!lock.held()) return;  // the next poll retries
  AdoptPeerState();
  if (!unwritten_) return;
  unwritten_ = !revision_log_.Write(revisions_->state()).empty();
  next_write_at_ = asio::steady_timer::clock_type::now() + kWriteRetryDelay;
}

void ConfigurationManager::ScheduleRollback() {
  rollback_timer_.cancel();
  const std::optional<double> left_s = ConfirmationTimeLeftS();
  if (!left_s) return;
  rollback_timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
      std::chrono::duration<double>(std::max(0.0, *left_s))));
  rollback_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) RollBackExpired(kLockRetries);
  });
}

void ConfigurationManager::RollBackExpired(int attempts_left) {
  RevisionLog::Lock lock(&revision_log_);
  if (!lock.held() && attempts_left > 0) {
    rollback_timer_.expires_after(kLockRetryDelay);
    rollback_timer_.async_wait([this, attempts_left](error_code cancelled) {
      if (!cancelled) RollBackExpired(attempts_left - 1);
    });
    return;
  }
  if (lock.held()) AdoptPeerState();
  const std::optional<double> left_s = ConfirmationTimeLeftS();
  if (!left_s) return;
  if (*left_s > 0) return ScheduleRollback();
  const uint64_t expired = revisions_->state().running;
  std::optional<config::Transition> next = revisions_->RollbackIfExpired(Now());
  const std::optional<UpdateError> error =
      next ? Commit(std::move(*next), Durability::kBestEffort)
           : MakeError(UpdateError::Code::kInvalid, "is not sound any more");
  if (!error) {
    ++counters_.automatic_rollbacks;
    std::fprintf(stderr, "revision %llu was not confirmed in time and was rolled back, as revision %llu\n",
                 ForPrintf(expired), ForPrintf(revisions_->state().running));
    return;
  }
  // The running revision becomes permanent; otherwise the rollback would be retried forever.
  RecordRejection(config::UpdateSource::kAutomaticRollback, error->why);
  std::fprintf(stderr, "THE WAY BACK from revision %llu is closed, so it stays: %s\n", ForPrintf(expired),
               error->why.c_str());
  auto confirmation = revisions_->Confirm(expired);
  if (auto* confirmed = std::get_if<config::Transition>(&confirmation)) {
    Commit(std::move(*confirmed), Durability::kBestEffort);
  }
}

ConfigurationManager::UpdateResult ConfigurationManager::DryRun(const config::UpdateRequest& request) const {
  auto proposal = revisions_->Propose(request, Now());
  if (auto* rejection = std::get_if<config::Rejection>(&proposal)) return ToUpdateError(*rejection);
  auto& next = std::get<config::Transition>(proposal);
  if (!next.content_unchanged) {
    try {
      prepare_(next.state.Running().document);  // the commit is discarded
    } catch (const std::exception& error) {
      return MakeError(UpdateError::Code::kInvalid, error.what());
    }
  }
  return AppliedUpdate{std::move(next.warnings), std::move(next.changes)};
}

std::optional<UpdateError> ConfigurationManager::BeginOperatorUpdate(const RevisionLog::Lock& lock) {
  if (!lock.held()) {
    return MakeError(UpdateError::Code::kLocked, "the other process is changing it: try again");
  }
  AdoptPeerState();
  return std::nullopt;
}

ConfigurationManager::UpdateResult ConfigurationManager::CommitOperatorUpdate(
    std::variant<config::Transition, config::Rejection> proposal, config::UpdateSource source) {
  if (auto* rejection = std::get_if<config::Rejection>(&proposal)) {
    RecordRejection(source, rejection->message);
    return ToUpdateError(*rejection);
  }
  auto& next = std::get<config::Transition>(proposal);
  AppliedUpdate applied{std::move(next.warnings), std::move(next.changes)};
  if (auto error = Commit(std::move(next), Durability::kRequired)) {
    RecordRejection(source, error->why);
    return std::move(*error);
  }
  return applied;
}

void ConfigurationManager::LogOperatorUpdate(const char* action) const {
  const config::State& state = revisions_->state();
  std::fprintf(stderr, "operators: %s, revision %llu runs%s\n", action, ForPrintf(state.running),
               state.provisional ? " on trial" : "");
}

ConfigurationManager::UpdateResult ConfigurationManager::Update(const config::UpdateRequest& request) {
  if (stopped_) return MakeError(UpdateError::Code::kConflict, "closing");
  RevisionLog::Lock lock(&revision_log_);
  if (auto error = BeginOperatorUpdate(lock)) return std::move(*error);
  UpdateResult result = CommitOperatorUpdate(revisions_->Propose(request, Now()), request.source);
  if (!std::holds_alternative<AppliedUpdate>(result)) return result;
  const bool rollback = request.source == config::UpdateSource::kRollback;
  rollback ? ++counters_.rolled_back : ++counters_.operator_updates;
  LogOperatorUpdate(ToString(request.source));
  return result;
}

ConfigurationManager::UpdateResult ConfigurationManager::Confirm(uint64_t number) {
  if (stopped_) return MakeError(UpdateError::Code::kConflict, "closing");
  RevisionLog::Lock lock(&revision_log_);
  if (auto error = BeginOperatorUpdate(lock)) return std::move(*error);
  UpdateResult result =
      CommitOperatorUpdate(revisions_->Confirm(number), config::UpdateSource::kOperatorUpdate);
  if (!std::holds_alternative<AppliedUpdate>(result)) return result;
  ++counters_.confirmed;
  LogOperatorUpdate("confirmed");
  return result;
}

void ConfigurationManager::RejectUpdate(const std::string& why) {
  RecordRejection(config::UpdateSource::kOperatorUpdate, why);
}

ConfigurationFile::Status ConfigurationManager::FileStatus() {
  return file_.CompareWith(revisions_->state(), revisions_->initial_settings());
}

std::optional<double> ConfigurationManager::ConfirmationTimeLeftS() const {
  return revisions_->ConfirmationTimeLeftS(Now());
}

void ConfigurationManager::AppendMetrics(
    const std::function<void(const std::string& name, uint64_t value)>& line) {
  const config::State& state = revisions_->state();
  line("config_applied", counters_.files_applied);
  line("config_rejected", counters_.files_rejected);
  line("config_revision", state.running);
  line("config_on_trial", state.provisional ? 1 : 0);
  line("config_file_differs", FileStatus() == ConfigurationFile::Status::kAsRunning ? 0 : 1);
  line("config_needs_restart", needs_restart_.size());
  line("config_started_by_record", start_fault_.empty() ? 0 : 1);
  line("config_put", counters_.operator_updates);
  line("config_refused", counters_.other_rejected);
  line("config_confirmed", counters_.confirmed);
  line("config_rolled_back", counters_.rolled_back);
  line("config_returned", counters_.automatic_rollbacks);
  line("config_followed", counters_.adopted_from_peer);
  line("config_unkept", counters_.failed_writes);
}

}  // namespace lemonchute::net
