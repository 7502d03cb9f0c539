#include "net/configuration_api.h"

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "config/document.h"
#include "net/text.h"

namespace lemonchute::net {
namespace {

using nlohmann::json;

constexpr std::string_view kRootPath = "/control/config";
constexpr std::string_view kRevisionsPath = "/revisions/";
constexpr const char* kInvalidConfirmTime =
    "confirm_s must be a number of seconds, above 0 and at most 86400";

AdminResponse JsonResponse(int status, const json& value) {
  return {status, value.dump(1, ' ', false, json::error_handler_t::replace) + "\n", "application/json"};
}

AdminResponse ErrorResponse(int status, const std::string& why) {
  return JsonResponse(status, {{"error", why}});
}

AdminResponse MethodNotAllowed(const std::string& allowed) { return {405, "use " + allowed + "\n"}; }

AdminResponse LengthRequired() { return {411, "send the configuration, with its Content-Length\n"}; }

json ToJson(const std::vector<config::Fault>& faults) {
  json out = json::array();
  for (const config::Fault& fault : faults) out.push_back({{"at", fault.path}, {"why", fault.message}});
  return out;
}

json ToJson(const std::vector<config::Change>& changes) {
  json out = json::array();
  for (const config::Change& change : changes) {
    out.push_back({{"at", change.path}, {"what", change.kind}, {"takes", ToString(change.activation)}});
  }
  return out;
}

json ToJson(const config::Revision& revision) {
  json out = {{"revision", revision.number}, {"id", revision.id},
              {"at", revision.time_s},       {"from", ToString(revision.source)},
              {"outcome", revision.outcome}, {"kept", !revision.document.is_null()}};
  if (revision.restored_from != 0) out["of"] = revision.restored_from;
  return out;
}

json ToJson(const std::vector<config::RejectedUpdate>& rejected_updates) {
  json out = json::array();
  for (const config::RejectedUpdate& rejected : rejected_updates) {
    out.push_back({{"at", rejected.time_s}, {"from", ToString(rejected.source)}, {"why", rejected.reason}});
  }
  return out;
}

const char* ToString(ConfigurationFile::Status status) {
  switch (status) {
    case ConfigurationFile::Status::kAsRunning: return "as it runs";
    case ConfigurationFile::Status::kDiffers: return "differs from what runs";
    case ConfigurationFile::Status::kInvalid: return "broken";
  }
  return "";
}

int HttpStatus(UpdateError::Code code) {
  switch (code) {
    case UpdateError::Code::kInvalid: return 422;
    case UpdateError::Code::kConflict: return 409;
    case UpdateError::Code::kNotFound: return 404;
    case UpdateError::Code::kLocked: return 503;
    case UpdateError::Code::kNotStored: return 507;
  }
  return 422;
}

AdminResponse ErrorResponse(const UpdateError& error) {
  json out = {{"error", error.why}};
  if (!error.faults.empty()) out["faults"] = ToJson(error.faults);
  if (!error.changes.empty()) out["changes"] = ToJson(error.changes);
  return JsonResponse(HttpStatus(error.code), out);
}

UpdateError InvalidDocument(const std::vector<config::Fault>& faults) {
  return {UpdateError::Code::kInvalid, config::FormatFaults(faults), faults, {}};
}

// Reads an optional parameter of the query.
// @return false if it is present but not a number.
bool ReadRevision(std::string_view query, std::string_view name, std::optional<uint64_t>* value) {
  auto text = FindValue(query, '&', name);
  if (!text) return true;
  value->emplace();
  return ParseNumber(*text, &**value);
}

bool ReadConfirmTime(std::string_view query, double* seconds) {
  auto text = FindValue(query, '&', "confirm_s");
  if (!text) return true;
  return ParseNumber(*text, seconds) && std::isfinite(*seconds) && *seconds > 0 &&
         *seconds <= config::kMaxConfirmWithinS;
}

}  // namespace

std::optional<AdminResponse> ConfigurationApi::Handle(const AdminRequest& call) {
  const std::string_view target = call.path;
  std::string_view path = target.substr(0, target.find('?'));
  const std::string_view query =
      path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view();
  if (!path.starts_with(kRootPath)) return std::nullopt;
  path.remove_prefix(kRootPath.size());
  if (!path.empty() && path.front() != '/') return std::nullopt;
  const std::string& method = call.method;
  if (path.empty()) {
    if (method == "GET") return Summary();
    if (method != "PUT") return MethodNotAllowed("GET or PUT");
    return call.declares_body ? Put(call, query) : LengthRequired();
  }
  if (path == "/running") {
    if (method != "GET") return MethodNotAllowed("GET");
    return StoredRevision(std::to_string(manager_->revisions().state().running));
  }
  if (path.starts_with(kRevisionsPath)) {
    if (method != "GET") return MethodNotAllowed("GET");
    return StoredRevision(path.substr(kRevisionsPath.size()));
  }
  if (path == "/check") {
    if (method != "PUT" && method != "POST") return MethodNotAllowed("PUT or POST");
    return call.declares_body ? Check(call) : LengthRequired();
  }
  if (path == "/confirm") return method == "PUT" ? Confirm(query) : MethodNotAllowed("PUT");
  if (path == "/rollback") return method == "PUT" ? RollBack(query) : MethodNotAllowed("PUT");
  return std::nullopt;
}

AdminResponse ConfigurationApi::Summary() {
  const config::State& state = manager_->revisions().state();
  json history = json::array();
  for (auto revision = state.revisions.rbegin(); revision != state.revisions.rend(); ++revision) {
    history.push_back(ToJson(*revision));
  }
  json out = {{"running", state.running},
              {"id", state.Running().id},
              {"file", ToString(manager_->FileStatus())},
              {"needs_restart", manager_->needs_restart()},
              {"started_by_record", !manager_->start_fault().empty()},
              {"kept", manager_->stored()},
              {"history", std::move(history)},
              {"turned_down", ToJson(manager_->revisions().rejected_updates())}};
  if (!manager_->start_fault().empty()) out["file_fault"] = manager_->start_fault();
  if (auto left_s = manager_->ConfirmationTimeLeftS()) {
    out["trial"] = {{"revision", state.provisional->number},
                    {"back_to", state.provisional->rollback_target},
                    {"left_s", *left_s}};
  }
  return JsonResponse(200, out);
}

AdminResponse ConfigurationApi::StoredRevision(std::string_view number) const {
  uint64_t wanted = 0;
  const config::Revision* found =
      ParseNumber(number, &wanted) ? manager_->revisions().state().Find(wanted) : nullptr;
  if (found == nullptr || found->document.is_null()) return ErrorResponse(404, "that revision is not kept");
  return JsonResponse(200, found->document);
}

AdminResponse ConfigurationApi::Check(const AdminRequest& call) const {
  config::Document parsed = config::ReadDocument(call.body);
  if (!parsed.faults.empty()) return ErrorResponse(InvalidDocument(parsed.faults));
  config::UpdateRequest request;
  request.source = config::UpdateSource::kOperatorUpdate;
  request.document = std::move(parsed.value);
  const auto result = manager_->DryRun(request);
  if (auto* error = std::get_if<UpdateError>(&result)) return ErrorResponse(*error);
  const auto& accepted = std::get<AppliedUpdate>(result);
  return JsonResponse(200, {{"running", manager_->revisions().state().running},
                            {"warnings", ToJson(accepted.warnings)},
                            {"changes", ToJson(accepted.changes)}});
}

AdminResponse ConfigurationApi::ToResponse(const ConfigurationManager::UpdateResult& result) const {
  if (auto* error = std::get_if<UpdateError>(&result)) return ErrorResponse(*error);
  const auto& applied = std::get<AppliedUpdate>(result);
  const config::State& state = manager_->revisions().state();
  json out = {{"warnings", ToJson(applied.warnings)},
              {"changes", ToJson(applied.changes)},
              {"running", state.running}};
  if (state.provisional) {
    out["trial"] = {{"back_to", state.provisional->rollback_target},
                    {"left_s", state.provisional->confirm_within_s}};
  }
  if (!manager_->has_revision_log()) out["kept"] = false;
  return JsonResponse(200, out);
}

AdminResponse ConfigurationApi::Put(const AdminRequest& call, std::string_view query) {
  config::UpdateRequest request;
  request.source = config::UpdateSource::kOperatorUpdate;
  if (!ReadRevision(query, "base", &request.base_revision) || !request.base_revision) {
    return ErrorResponse(400, "name the revision that this was made against: ?base=NUMBER");
  }
  if (!ReadConfirmTime(query, &request.confirm_within_s)) return ErrorResponse(400, kInvalidConfirmTime);
  config::Document parsed = config::ReadDocument(call.body);
  if (!parsed.faults.empty()) {
    const UpdateError error = InvalidDocument(parsed.faults);
    manager_->RejectUpdate(error.why);
    return ErrorResponse(error);
  }
  request.document = std::move(parsed.value);
  return ToResponse(manager_->Update(request));
}

AdminResponse ConfigurationApi::RollBack(std::string_view query) {
  config::UpdateRequest request;
  request.source = config::UpdateSource::kRollback;
  std::optional<uint64_t> target;
  if (!ReadRevision(query, "base", &request.base_revision) || !ReadRevision(query, "to", &target)) {
    return ErrorResponse(400, "base and to are revisions");
  }
  if (!ReadConfirmTime(query, &request.confirm_within_s)) return ErrorResponse(400, kInvalidConfirmTime);
  request.target_revision = target.value_or(0);
  return ToResponse(manager_->Update(request));
}

AdminResponse ConfigurationApi::Confirm(std::string_view query) {
  std::optional<uint64_t> number;
  if (!ReadRevision(query, "revision", &number) || !number) {
    return ErrorResponse(400, "name the revision that is confirmed: ?revision=NUMBER");
  }
  return ToResponse(manager_->Confirm(*number));
}

}  // namespace lemonchute::net
