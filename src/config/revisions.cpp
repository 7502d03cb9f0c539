#include "config/revisions.h"

#include <algorithm>
#include <utility>

#include "config/content_id.h"

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr size_t kMaxRejectedUpdates = 8;
constexpr size_t kMaxInitialEndpointsBytes = 256 * 1024;

json Member(const json& document, const char* key) {
  auto member = document.find(key);
  return member == document.end() ? json() : *member;
}

json WithoutInitialEndpoints(const json& document) {
  json out = json::object();
  for (const auto& [key, value] : document.items()) {
    if (key != "known") out[key] = value;
  }
  return out;
}

void RecordAppliedFile(State* state, const json& document, uint64_t number) {
  state->file_id = ContentId(document);
  state->file_revision = number;
  state->file_discovery = Member(document, "discovery");
  state->file_counter = Member(document, "counter");
}

// The endpoint list to start with if the file is invalid at the next start. A large one is not stored.
json StoredInitialEndpoints(const json& document) {
  json known = Member(document, "known");
  return known.dump().size() <= kMaxInitialEndpointsBytes ? known : json();
}

// Bounds the number of revisions, and the total size of the documents of revisions that are neither running
// nor the rollback target.
void TrimHistory(State* state) {
  auto needed = [&](uint64_t number) {
    return number == state->running || (state->provisional && number == state->provisional->rollback_target);
  };
  while (state->revisions.size() > kMaxRevisions) {
    auto oldest = std::find_if(state->revisions.begin(), state->revisions.end(),
                               [&](const Revision& revision) { return !needed(revision.number); });
    state->revisions.erase(oldest);
  }
  size_t bytes = 0;
  for (auto it = state->revisions.rbegin(); it != state->revisions.rend(); ++it) {
    if (needed(it->number) || it->document.is_null()) continue;
    bytes += it->document.dump().size();
    if (bytes > kMaxOldDocumentBytes) it->document = nullptr;
  }
}

const char* OutcomeOfReplaced(UpdateSource replacement) {
  switch (replacement) {
    case UpdateSource::kAutomaticRollback: return "returned";
    case UpdateSource::kRollback: return "rolled back";
    case UpdateSource::kFile:
    case UpdateSource::kOperatorUpdate: return "replaced";
  }
  return "";
}

// Adds a revision and makes it the running one.
// @return its number.
uint64_t AddRevision(State* state, json document, UpdateSource source, uint64_t restored_from,
                     double time_s) {
  Revision revision;
  revision.number = state->revisions.empty() ? 1 : state->revisions.back().number + 1;
  revision.id = ContentId(document);
  revision.time_s = time_s;
  revision.source = source;
  revision.restored_from = restored_from;
  revision.outcome = "running";
  revision.document = WithoutInitialEndpoints(document);
  if (!state->revisions.empty()) state->revisions.back().outcome = OutcomeOfReplaced(source);
  state->running = revision.number;
  state->revisions.push_back(std::move(revision));
  state->provisional.reset();
  return state->running;
}

// Takes the process-local keys from `own`: another process's document has other values for them.
json WithProcessLocalKeys(json document, const json& own) {
  for (const char* key : {"seed", "ops"}) {
    document.erase(key);
    if (auto member = own.find(key); member != own.end()) document[key] = *member;
  }
  return document;
}

// Measured by the monotonic clock, which steps of the wall clock don't affect. A reboot restarts it; only the
// wall clock can be used then.
double ElapsedS(const ProvisionalRevision& provisional, Timestamp now) {
  double elapsed_s = now.steady_s - provisional.started.steady_s;
  if (elapsed_s < 0) elapsed_s = now.system_s - provisional.started.system_s;
  return std::clamp(elapsed_s, 0.0, provisional.confirm_within_s);
}

// Turns the faults that the running document has already into warnings: this update did not introduce them.
void DowngradeRunningFaults(const std::vector<Fault>& running, Findings* findings) {
  auto downgraded = std::stable_partition(
      findings->faults.begin(), findings->faults.end(),
      [&](const Fault& fault) { return std::find(running.begin(), running.end(), fault) == running.end(); });
  findings->warnings.insert(findings->warnings.end(), downgraded, findings->faults.end());
  findings->faults.erase(downgraded, findings->faults.end());
}

Rejection Reject(Rejection::Kind kind, std::string message) { return {kind, std::move(message), {}, {}}; }

std::string RevisionText(uint64_t number) { return "revision " + std::to_string(number); }

std::string Join(const std::vector<std::string>& texts) {
  std::string all;
  for (const std::string& text : texts) all += (all.empty() ? "" : ", ") + text;
  return all;
}

bool IsRollback(UpdateSource source) {
  return source == UpdateSource::kRollback || source == UpdateSource::kAutomaticRollback;
}

}  // namespace

State RevisionHistory::StartFromFile(const json& document, Timestamp now) {
  State state;
  RecordAppliedFile(&state, document, AddRevision(&state, document, UpdateSource::kFile, 0, now.system_s));
  state.initial_endpoints = StoredInitialEndpoints(document);
  state.generation = 1;
  return state;
}

State RevisionHistory::ResumeFromLog(const State& logged, const json& file, Timestamp now,
                                     bool always_use_file) {
  if (file.is_null()) return logged;
  State state = logged;
  if (!always_use_file && ContentId(file) == logged.file_id) {
    Revision& running = state.revisions.back();
    running.document = WithProcessLocalKeys(std::move(running.document), file);
    return state;
  }
  ++state.generation;
  RecordAppliedFile(&state, file, AddRevision(&state, file, UpdateSource::kFile, 0, now.system_s));
  state.initial_endpoints = StoredInitialEndpoints(file);
  TrimHistory(&state);
  return state;
}

RevisionHistory::RevisionHistory(State state, json initial_settings)
    : state_(std::move(state)), initial_settings_(std::move(initial_settings)) {}

std::variant<RevisionHistory::Candidate, Rejection> RevisionHistory::SelectRollbackTarget(
    uint64_t target_revision) const {
  const bool previous = target_revision == 0;
  const Revision* target = previous ? nullptr : state_.Find(target_revision);
  if (previous && state_.revisions.size() > 1) target = &state_.revisions[state_.revisions.size() - 2];
  if (target == nullptr || target->document.is_null()) {
    return Reject(Rejection::kRevisionNotFound,
                  previous ? "there is no revision before" : RevisionText(target_revision) + " is not kept");
  }
  if (target->number == state_.running) {
    return Reject(Rejection::kNoChange, RevisionText(target->number) + " runs already");
  }
  Candidate candidate{target->document, target->number};
  // A rollback keeps addresses of discovery and counter that the platform has set since: once it has moved
  // them, the old ones accept no connections.
  if (state_.file_revision > target->number) {
    candidate.document["discovery"] = state_.file_discovery;
    candidate.document["counter"] = state_.file_counter;
  }
  return candidate;
}

// A rollback is checked as strictly as the platform's configuration: what ran once may run again.
Findings RevisionHistory::Check(const json& document, UpdateSource source) const {
  if (source != UpdateSource::kOperatorUpdate) {
    return CheckConfig(document, Author::kPlatform, initial_settings_);
  }
  Findings findings = CheckConfig(document, Author::kOperator, initial_settings_);
  DowngradeRunningFaults(CheckConfig(state_.Running().document, Author::kPlatform).warnings, &findings);
  return findings;
}

void RevisionHistory::SetNextState(const UpdateRequest& request, Candidate candidate, Timestamp now,
                                   Transition* next) const {
  const Revision& running = state_.Running();
  const bool from_file = request.source == UpdateSource::kFile;
  json document = WithoutRestartChanges(running.document, candidate.document);
  next->state = state_;
  ++next->state.generation;
  next->content_unchanged = ContentId(document) == running.id;
  uint64_t number = state_.running;
  if (next->content_unchanged) {
    next->state.provisional.reset();  // requesting the running content again confirms it
    next->state.revisions.back().outcome = "running";
  } else {
    number =
        AddRevision(&next->state, std::move(document), request.source, candidate.restored_from, now.system_s);
  }
  if (from_file) RecordAppliedFile(&next->state, candidate.document, number);
  if (request.confirm_within_s > 0 && !next->content_unchanged) {
    const double confirm_within_s = std::min(request.confirm_within_s, kMaxConfirmWithinS);
    next->state.provisional = ProvisionalRevision{number, running.number, now, confirm_within_s};
    next->state.revisions.back().outcome = "on trial";
  }
  TrimHistory(&next->state);
}

std::variant<Transition, Rejection> RevisionHistory::Propose(const UpdateRequest& request,
                                                             Timestamp now) const {
  const Revision& running = state_.Running();
  if (request.base_revision && *request.base_revision != state_.running) {
    return Reject(Rejection::kStaleBase, RevisionText(*request.base_revision) + " does not run, but " +
                                             std::to_string(state_.running));
  }
  Candidate candidate{request.document};
  if (IsRollback(request.source)) {
    auto selected = SelectRollbackTarget(request.target_revision);
    if (auto* rejection = std::get_if<Rejection>(&selected)) return std::move(*rejection);
    candidate = std::get<Candidate>(std::move(selected));
  }
  Findings findings = Check(candidate.document, request.source);
  if (!findings.faults.empty()) {
    return Rejection{Rejection::kInvalid, FormatFaults(findings.faults), std::move(findings.faults), {}};
  }
  const bool from_file = request.source == UpdateSource::kFile;
  if (!from_file) {
    candidate.document = WithProcessLocalKeys(std::move(candidate.document), running.document);
  }
  Transition next;
  next.warnings = std::move(findings.warnings);
  next.changes = FindChanges(running.document, candidate.document);
  for (const Change& change : next.changes) {
    if (change.activation == Activation::kRestart) next.needs_restart.push_back(change.path);
  }
  if (!next.needs_restart.empty() && !from_file) {
    return Rejection{Rejection::kNeedsRestart,
                     "needs a restart: " + Join(next.needs_restart),
                     {},
                     std::move(next.changes)};
  }
  SetNextState(request, std::move(candidate), now, &next);
  return next;
}

std::variant<Transition, Rejection> RevisionHistory::Confirm(uint64_t number) const {
  if (!state_.provisional) return Reject(Rejection::kNoChange, "no revision is on trial");
  if (state_.provisional->number != number) {
    return Reject(Rejection::kStaleBase,
                  RevisionText(state_.provisional->number) + " is on trial, not " + std::to_string(number));
  }
  Transition next;
  next.content_unchanged = true;
  next.state = state_;
  ++next.state.generation;
  next.state.provisional.reset();
  next.state.revisions.back().outcome = "running";
  return next;
}

std::optional<double> RevisionHistory::ConfirmationTimeLeftS(Timestamp now) const {
  if (!state_.provisional) return std::nullopt;
  return state_.provisional->confirm_within_s - ElapsedS(*state_.provisional, now);
}

std::optional<Transition> RevisionHistory::RollbackIfExpired(Timestamp now) const {
  auto left_s = ConfirmationTimeLeftS(now);
  if (!left_s || *left_s > 0) return std::nullopt;
  UpdateRequest request;
  request.source = UpdateSource::kAutomaticRollback;
  request.target_revision = state_.provisional->rollback_target;
  auto result = Propose(request, now);
  if (auto* next = std::get_if<Transition>(&result)) return std::move(*next);
  return std::nullopt;
}

std::optional<Transition> RevisionHistory::AdoptPeerState(const State& peer) const {
  if (peer.generation <= state_.generation) return std::nullopt;
  Transition next;
  next.state = peer;
  Revision& running = next.state.revisions.back();
  running.document = WithProcessLocalKeys(std::move(running.document), state_.Running().document);
  next.content_unchanged = running.id == state_.Running().id;
  next.changes = FindChanges(state_.Running().document, running.document);
  return next;
}

void RevisionHistory::RecordRejection(UpdateSource source, std::string reason, Timestamp now) {
  if (rejected_updates_.size() >= kMaxRejectedUpdates) rejected_updates_.erase(rejected_updates_.begin());
  rejected_updates_.push_back({now.system_s, source, std::move(reason)});
}

}  // namespace lemonchute::config
