#include "config/revision_codec.h"

#include <boost/crc.hpp>
#include <cmath>
#include <utility>

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;
constexpr std::string_view kKind = "gateway-configuration-record";
constexpr size_t kMaxHeaderBytes = 1000;

json ToJson(const Revision& revision) {
  return {{"number", revision.number},    {"id", revision.id},
          {"at", revision.time_s},        {"from", ToString(revision.source)},
          {"of", revision.restored_from}, {"outcome", revision.outcome},
          {"document", revision.document}};
}

json ToJson(const ProvisionalRevision& provisional) {
  return {{"number", provisional.number},
          {"back_to", provisional.rollback_target},
          {"system", provisional.started.system_s},
          {"steady", provisional.started.steady_s},
          {"limit", provisional.confirm_within_s}};
}

json ToJson(const State& state) {
  json revisions = json::array();
  for (const Revision& revision : state.revisions) revisions.push_back(ToJson(revision));
  json out = {{"turn", state.generation},           {"running", state.running},
              {"revisions", std::move(revisions)},  {"file_id", state.file_id},
              {"file_number", state.file_revision}, {"file_discovery", state.file_discovery},
              {"file_counter", state.file_counter}, {"known", state.initial_endpoints}};
  if (state.provisional) out["trial"] = ToJson(*state.provisional);
  return out;
}

UpdateSource SourceFromText(const std::string& text) {
  for (UpdateSource source : {UpdateSource::kFile, UpdateSource::kOperatorUpdate, UpdateSource::kRollback,
                              UpdateSource::kAutomaticRollback}) {
    if (text == ToString(source)) return source;
  }
  constexpr int kOtherError = 501;
  throw json::other_error::create(kOtherError, "unknown update source", nullptr);
}

Revision RevisionFromJson(const json& in) {
  Revision revision;
  revision.number = in.at("number").get<uint64_t>();
  revision.id = in.at("id").get<std::string>();
  revision.time_s = in.at("at").get<double>();
  revision.source = SourceFromText(in.at("from").get<std::string>());
  revision.restored_from = in.at("of").get<uint64_t>();
  revision.outcome = in.at("outcome").get<std::string>();
  revision.document = in.at("document");
  return revision;
}

ProvisionalRevision ProvisionalFromJson(const json& in) {
  ProvisionalRevision provisional;
  provisional.number = in.at("number").get<uint64_t>();
  provisional.rollback_target = in.at("back_to").get<uint64_t>();
  provisional.started = {in.at("system").get<double>(), in.at("steady").get<double>()};
  provisional.confirm_within_s = in.at("limit").get<double>();
  return provisional;
}

State StateFromJson(const json& in) {
  State state;
  state.generation = in.at("turn").get<uint64_t>();
  state.running = in.at("running").get<uint64_t>();
  for (const json& revision : in.at("revisions")) state.revisions.push_back(RevisionFromJson(revision));
  state.file_id = in.at("file_id").get<std::string>();
  state.file_revision = in.at("file_number").get<uint64_t>();
  state.file_discovery = in.at("file_discovery");
  state.file_counter = in.at("file_counter");
  state.initial_endpoints = in.at("known");
  if (auto provisional = in.find("trial"); provisional != in.end()) {
    state.provisional = ProvisionalFromJson(*provisional);
  }
  return state;
}

// The provisional revision is the running one, and its rollback target has a document.
bool IsConsistent(const ProvisionalRevision& provisional, const State& state) {
  const Revision* target = state.Find(provisional.rollback_target);
  return provisional.number == state.running && target != nullptr && target->document.is_object() &&
         provisional.confirm_within_s >= 0 && provisional.confirm_within_s <= kMaxConfirmWithinS &&
         std::isfinite(provisional.started.system_s) && std::isfinite(provisional.started.steady_s);
}

// Revision numbers increase, and the running revision is the last one and has its document.
bool IsConsistent(const State& state) {
  if (state.revisions.empty() || state.revisions.size() > kMaxRevisions) return false;
  const Revision& last = state.revisions.back();
  if (last.number != state.running || !last.document.is_object()) return false;
  for (size_t i = 1; i < state.revisions.size(); ++i) {
    if (state.revisions[i].number <= state.revisions[i - 1].number) return false;
  }
  return !state.provisional || IsConsistent(*state.provisional, state);
}

uint32_t Checksum(std::string_view text) {
  boost::crc_32_type sum;
  sum.process_bytes(text.data(), text.size());
  return sum.checksum();
}

json Member(const json& object, const char* key) {
  auto member = object.find(key);
  return member == object.end() ? json() : *member;
}

bool HeaderMatches(const json& header, std::string_view body) {
  return Member(header, "kind") == kKind && Member(header, "format") == kFormat &&
         Member(header, "bytes") == body.size() && Member(header, "crc32") == Checksum(body);
}

}  // namespace

std::string SerializeState(const State& state) {
  const std::string body = ToJson(state).dump(-1, ' ', false, json::error_handler_t::replace);
  const json header = {
      {"kind", kKind}, {"format", kFormat}, {"bytes", body.size()}, {"crc32", Checksum(body)}};
  return header.dump() + "\n" + body + "\n";
}

std::optional<State> ParseState(std::string_view text) {
  const size_t header_end = text.find('\n');
  if (header_end == std::string_view::npos || header_end > kMaxHeaderBytes) return std::nullopt;
  const json header = json::parse(text.substr(0, header_end), nullptr, false);
  if (!header.is_object()) return std::nullopt;
  std::string_view body = text.substr(header_end + 1);
  if (body.empty() || body.back() != '\n') return std::nullopt;
  body.remove_suffix(1);
  if (!HeaderMatches(header, body)) return std::nullopt;
  try {
    State state = StateFromJson(json::parse(body));
    return IsConsistent(state) ? std::optional(std::move(state)) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lemonchute::config
