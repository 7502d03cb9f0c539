// Tests of the configuration without sockets: parsing, checks, changes, merging, and revisions on a manual
// clock.
#include "net/config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "config/changes.h"
#include "config/check.h"
#include "config/content_id.h"
#include "config/document.h"
#include "config/revision_codec.h"
#include "config/revisions.h"

namespace lemonchute::config {
using net::Config, net::MergedSettings, net::MergeSettings, net::ParseConfig;

namespace {

using nlohmann::json;

std::string NumberedName(const char* name, int i) { return std::string(name).append(std::to_string(i)); }

json RequestClass(const char* name) {
  return {{"name", name},        {"effect", "free"},     {"aim-s", 1.2},
          {"hard-limit-s", 3.0}, {"window-s", 3.0},      {"importance", 1.0},
          {"late-share", 0.0},   {"dedup-scope", "all"}, {"streamed", false}};
}
json CustomerPlan(const char* name) {
  return {{"name", name},          {"units-per-s", 12.0}, {"store-size", 32.0},  {"never-over-rate", 30.0},
          {"ceiling-burst", 80.0}, {"cap-slack", 8.0},    {"excess-worth", 0.0}, {"over-cost", 0.8},
          {"value-factor", 1.0},   {"parallel", 0}};
}
// A valid configuration file, as the platform writes it.
json ValidDocument() {
  return {{"name", "n3"},
          {"listen", "127.0.0.1:5000"},
          {"discovery", "127.0.0.1:8500"},
          {"counter", "127.0.0.1:6400"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"peer_listen", "127.0.0.1:7946"},
          {"peers", {"127.0.0.1:7946", "127.0.0.2:7946"}},
          {"known",
           {{"index", 41},
            {"snapshot", true},
            {"endpoints",
             {{{"name", "s-1"},
               {"address", "127.0.0.1:9000"},
               {"zone", "a"},
               {"type", "std"},
               {"group", 0},
               {"status", "active"},
               {"weight", 1.0},
               {"since_ms", 0}}}}}},
          {"settings",
           {{"me", 0},
            {"peers-total", 2},
            {"zone", 0},
            {"zones", {"a", "b"}},
            {"kinds", {"std"}},
            {"resolution-s", 0.002},
            {"discovery", "pushed"},
            {"layers", {"view"}},
            {"specifics",
             {{"units-top", 8}, {"may-count", true}, {"counter-timeout-s", 0.03}, {"counter-price", 0.005}}},
            {"prices", {{"cross-zone", 0.02}}},
            {"limits",
             {{"cancel", true},
              {"parallel-tries", false},
              {"retry-after", true},
              {"max-retry-after-s", 2.0},
              {"try-limit", 6},
              {"conn-idle-s", 30.0},
              {"connect-timeout-s", 0.25}}},
            {"invariants",
             {{"cold-from", 0.18},
              {"warm-after-s", 17.0},
              {"tip-multiple", 2.0},
              {"tip-after-s", 1.0},
              {"ask-within-s", 10.0},
              {"drain-grace-s", 0.5}}},
            {"request-classes", {RequestClass("quote"), RequestClass("save")}},
            {"tiers-of-service", {CustomerPlan("starter"), CustomerPlan("business")}}}}};
}
json WithValue(const char* pointer, const json& value, json document = ValidDocument()) {
  document[json::json_pointer(pointer)] = value;
  return document;
}

std::set<std::string> FaultPaths(const std::vector<Fault>& faults) {
  std::set<std::string> paths;
  for (const Fault& fault : faults) paths.insert(fault.path);
  return paths;
}
std::set<std::string> CheckFaultPaths(const json& document, Author author = Author::kOperator,
                                      const json& initial_settings = nullptr) {
  return FaultPaths(CheckConfig(document, author, initial_settings).faults);
}
std::set<std::string> CheckWarningPaths(const json& document, Author author = Author::kPlatform) {
  return FaultPaths(CheckConfig(document, author).warnings);
}
using PathSet = std::set<std::string>;

TEST(Document, ParsesAValidDocument) {
  Document document = ReadDocument(ValidDocument().dump());
  EXPECT_TRUE(document.faults.empty()) << FormatFaults(document.faults);
  EXPECT_EQ(document.value, ValidDocument());
}

TEST(Document, ReportsAllDuplicateKeysAndOutOfRangeNumbersAtOnce) {
  Document document =
      ReadDocument(R"({"a": 1e999, "b": {"c/d": [1, 2], "c/d": [0, -1e400, {"x": 1, "x": 2}]}, "a": 3})");
  EXPECT_EQ(FaultPaths(document.faults), (PathSet{"/a", "/b/c~1d", "/b/c~1d/1", "/b/c~1d/2/x"}))
      << FormatFaults(document.faults);
}

TEST(Document, RejectsTextThatIsNotAJsonObject) {
  for (const char* text :
       {"", " ", "null", "[]", "7", "\"x\"", "{", "{} {}", "{\"a\": NaN}", "{\"a\": Infinity}", "{\"a\": 01}",
        "{'a': 1}", "{\"a\": \"\xff\xfe\"}", "{\"\xc3\": 1}", "\xef\xbb"}) {
    Document document = ReadDocument(text);
    EXPECT_FALSE(document.faults.empty()) << text;
    EXPECT_TRUE(document.value.is_null()) << text;
    EXPECT_EQ(FormatFaults(document.faults).find('\n'), std::string::npos);
  }
}

TEST(Document, LimitsDepthSizeAndNumberOfFaults) {
  std::string deep = std::string(1000000, '[');
  EXPECT_NE(FormatFaults(ReadDocument(deep).faults).find("deeper"), std::string::npos);
  std::string objects;
  for (int i = 0; i < 1000; ++i) objects += "{\"a\":";
  EXPECT_NE(FormatFaults(ReadDocument(objects).faults).find("deeper"), std::string::npos);
  EXPECT_NE(FormatFaults(ReadDocument(std::string(101, ' '), 100).faults).find("longer"), std::string::npos);
  std::string twice = "{\"a\": 0";
  for (int i = 0; i < 5000; ++i) twice += ", \"a\": 0";
  EXPECT_EQ(ReadDocument(twice + "}").faults.size(), kMaxFaults);
  std::string huge = "[0";
  for (int i = 0; i < 5000; ++i) huge += ", 1e999";
  EXPECT_LE(ReadDocument("{\"a\": " + huge + "]}").faults.size(), kMaxFaults);
  EXPECT_LT(FormatFaults(ReadDocument("{\"" + std::string(100000, 'k') + "\": 1e999}").faults).size(), 1000u);
}

TEST(Document, RejectsTruncatedTextAndHandlesMutatedTextSafely) {
  const std::string valid = ValidDocument().dump();
  for (size_t n = 0; n < valid.size(); ++n) {
    EXPECT_FALSE(ReadDocument(valid.substr(0, n)).faults.empty()) << n;
  }
  std::mt19937 random(7);
  for (int i = 0; i < 4000; ++i) {
    std::string mutated = valid;
    for (int k = 0; k < 1 + i % 4; ++k) mutated[random() % mutated.size()] = static_cast<char>(random());
    Document document = ReadDocument(mutated);
    if (!document.faults.empty()) continue;
    Findings findings = CheckConfig(document.value, Author::kPlatform);
    if (findings.faults.empty()) ParseConfig(document.value);  // a document without faults can be applied
  }
}

TEST(Check, AcceptsAValidFile) {
  Findings findings = CheckConfig(ValidDocument(), Author::kOperator, ValidDocument()["settings"]);
  EXPECT_TRUE(findings.faults.empty()) << FormatFaults(findings.faults);
  EXPECT_TRUE(findings.warnings.empty()) << FormatFaults(findings.warnings);
}

TEST(Check, ReportsAllFaultsAtOnce) {
  json invalid = ValidDocument();
  invalid["listen"] = "nowhere";
  invalid["seed"] = "xyz";
  invalid["limits"]["sockets"] = 1;
  invalid["settings"]["limits"].erase("cancel");
  invalid["settings"]["limits"]["try-limit"] = 0;
  invalid["settings"]["invariants"]["cold-from"] = "0.2";
  invalid["settings"]["request-classes"][1]["hard-limit-s"] = -1;
  invalid["settings"]["request-classes"][0]["effect"] = "none";
  invalid["settings"]["tiers-of-service"][0]["parallel"] = 1.5;
  invalid["extensions"] = {{"membersip", true}};
  invalid["known"]["endpoints"][0]["status"] = "lost";
  EXPECT_EQ(
      CheckFaultPaths(invalid, Author::kPlatform),
      (PathSet{"/listen", "/seed", "/limits/sockets", "/settings/limits/cancel", "/settings/limits/try-limit",
               "/settings/invariants/cold-from", "/settings/request-classes/1/hard-limit-s",
               "/settings/request-classes/0/effect", "/settings/tiers-of-service/0/parallel",
               "/extensions/membersip", "/known/endpoints/0/status"}));
}

// What is a mistake in an operator's update is only a warning in the platform's file, which is not rejected
// for it.
TEST(Check, QuestionableValuesAreFaultsForOperatorsAndWarningsForThePlatform) {
  const std::vector<std::pair<const char*, json>> questionable = {
      {"/settings/request-classes/0/aim-s", 4.0},
      {"/settings/request-classes/0/aim-s", 0},
      {"/settings/tiers-of-service/1/store-size", 7},
      {"/settings/tiers-of-service/0/ceiling-burst", 2},
      {"/settings/tiers-of-service/0/over-cost", -1},
      {"/settings/request-classes/1/name", "quote"},
      {"/settings/zones/1", "a"},
      {"/settings/zone", 2},
      {"/discovery", "127.0.0.1:5000"},
      {"/counter", "127.0.0.1:5000"},
      {"/ops", "127.0.0.1:5000"}};
  for (const auto& [pointer, value] : questionable) {
    json document = WithValue(pointer, value);
    EXPECT_EQ(CheckFaultPaths(document, Author::kOperator), PathSet{pointer});
    EXPECT_EQ(CheckFaultPaths(document, Author::kPlatform), PathSet{}) << pointer;
    EXPECT_EQ(CheckWarningPaths(document), PathSet{pointer});
    ParseConfig(document);
  }
  EXPECT_EQ(CheckWarningPaths(WithValue("/known/endpoints/0/zone", "elsewhere")),
            PathSet{"/known/endpoints/0/zone"});
}

TEST(Check, IgnoresUnknownKeysOutsideExtensions) {
  json document = ValidDocument();
  document["new"] = {{"x", 1}};
  document["settings"]["request-classes"][0]["aim-stretch"] = 2;
  document["extensions"] = json::object();
  EXPECT_EQ(CheckFaultPaths(document), PathSet{});
}

TEST(Check, RequiresTheFieldsOfTheInitialSettings) {
  json initial_settings = ValidDocument()["settings"];
  initial_settings["request-classes"][0]["aim-stretch"] = 2;  // optional, since not all classes had it
  EXPECT_EQ(CheckFaultPaths(ValidDocument(), Author::kPlatform, initial_settings), PathSet{});
  json document = ValidDocument();
  document["settings"].erase("layers");
  document["settings"]["request-classes"][1].erase("streamed");
  document["settings"]["zones"] = json::array();
  EXPECT_EQ(CheckFaultPaths(document, Author::kPlatform, initial_settings),
            (PathSet{"/settings/layers", "/settings/request-classes/1/streamed", "/settings/zones"}));
  EXPECT_EQ(CheckFaultPaths(document, Author::kPlatform), PathSet{}) << "at a start";
}

void CollectPaths(const json& value, const std::string& path, std::vector<std::string>* out) {
  out->push_back(path);
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) CollectPaths(inner, ChildPath(path, key), out);
  } else if (value.is_array()) {
    for (size_t i = 0; i < value.size(); ++i) CollectPaths(value[i], ChildPath(path, i), out);
  }
}

// Each key of a valid file is set to each of several values and removed. The result is rejected with its path
// named, or can be applied.
TEST(Check, EachMutationIsAcceptedOrRejectedWithItsPath) {
  const json valid = ValidDocument();
  std::vector<std::string> pointers;
  CollectPaths(valid, "", &pointers);
  ASSERT_GT(pointers.size(), 100u);
  const std::vector<json> values = {nullptr,
                                    true,
                                    -1,
                                    0,
                                    1,
                                    2.5,
                                    1e300,
                                    "",
                                    "x",
                                    "127.0.0.1:1",
                                    "127.0.0.1:99999",
                                    json::array(),
                                    json::object(),
                                    {1, 2},
                                    {{"name", 1}}};
  Config running = ParseConfig(valid);
  int accepted = 0, rejected = 0;
  auto check_mutation = [&](const json& mutated, const std::string& pointer) {
    // A mutation that conflicts with another key may be reported at that key's path.
    Findings findings = CheckConfig(mutated, Author::kPlatform, valid["settings"]);
    if (findings.faults.empty()) {
      MergeSettings(running, ParseConfig(mutated), {});
      ++accepted;
      return;
    }
    ++rejected;
    bool named = std::any_of(findings.faults.begin(), findings.faults.end(), [&](const Fault& fault) {
      return fault.path.rfind(pointer, 0) == 0 || pointer.rfind(fault.path, 0) == 0 ||
             fault.path == "/counter";
    });
    EXPECT_TRUE(named) << pointer << " -> " << FormatFaults(findings.faults);
  };
  for (const std::string& pointer : pointers) {
    for (const json& value : values) {
      if (valid.at(json::json_pointer(pointer)) == value) continue;
      check_mutation(pointer.empty() ? value : WithValue(pointer.c_str(), value), pointer);
    }
    json::json_pointer parsed_pointer(pointer);
    if (parsed_pointer.empty() || !valid.at(parsed_pointer.parent_pointer()).is_object()) continue;
    json mutated = valid;
    mutated[parsed_pointer.parent_pointer()].erase(parsed_pointer.back());
    check_mutation(mutated, pointer);
  }
  EXPECT_GT(accepted, 200);
  EXPECT_GT(rejected, 800);
}

TEST(ContentId, IgnoresFormattingAndProcessLocalKeys) {
  const std::string id = ContentId(ValidDocument());
  EXPECT_EQ(id.size(), 36u);
  EXPECT_EQ(ContentId(json::parse(ValidDocument().dump(4))), id);
  json other_process = ValidDocument();
  other_process["seed"] = "1";
  other_process["ops"] = "127.0.0.1:1";
  other_process.erase("known");
  EXPECT_EQ(ContentId(other_process), id);
  EXPECT_NE(ContentId(WithValue("/settings/limits/try-limit", 5)), id);
}

std::map<std::string, std::string> DescribeChanges(const json& before, const json& after) {
  std::map<std::string, std::string> out;
  for (const Change& change : FindChanges(before, after)) {
    std::string& text = out[change.path];
    text += (text.empty() ? "" : "; ") + change.kind + ", " + ToString(change.activation);
  }
  return out;
}
using ChangeMap = std::map<std::string, std::string>;

TEST(Changes, ListsEachChangeWithItsActivation) {
  EXPECT_EQ(DescribeChanges(ValidDocument(), ValidDocument()), ChangeMap{});
  json updated = ValidDocument();
  updated["listen"] = "127.0.0.1:5001";
  updated["discovery"] = "127.0.0.1:8501";
  updated["limits"]["sockets"] = 512;
  updated["ops"] = "127.0.0.1:9";
  updated["seed"] = "1";
  updated["known"] = nullptr;
  updated["settings"]["discovery"] = "on_request";
  updated["settings"]["zones"].push_back("c");
  updated["settings"]["limits"]["try-limit"] = 1;
  EXPECT_EQ(DescribeChanges(ValidDocument(), updated),
            (ChangeMap{{"/listen", "changed, needs a restart"},
                       {"/ops", "added, needs a restart"},
                       {"/settings/discovery", "changed, needs a restart"},
                       {"/discovery", "changed, live"},
                       {"/limits/sockets", "changed, live"},
                       {"/settings/zones", "changed, live"},
                       {"/settings/limits/try-limit", "changed, live for new requests"}}));
  json applicable = WithoutRestartChanges(ValidDocument(), updated);
  EXPECT_EQ(applicable["listen"], ValidDocument()["listen"]);
  EXPECT_EQ(applicable.contains("ops"), false);
  EXPECT_EQ(applicable["settings"]["discovery"], "pushed");
  EXPECT_EQ(applicable["discovery"], "127.0.0.1:8501");
}

TEST(Changes, ComparesClassesAndPlansByName) {
  json updated = ValidDocument();
  std::swap(updated["settings"]["request-classes"][0], updated["settings"]["request-classes"][1]);
  EXPECT_EQ(DescribeChanges(ValidDocument(), updated), ChangeMap{});
  updated["settings"]["request-classes"][1]["effect"] = "guarded";    // quote
  updated["settings"]["tiers-of-service"][0] = CustomerPlan("gold");  // in place of starter
  EXPECT_EQ(DescribeChanges(ValidDocument(), updated),
            (ChangeMap{{"/settings/request-classes/1/effect", "changed, live for new requests"},
                       {"/settings/tiers-of-service/0", "added, live; removed, live"}}));
}

TEST(Changes, LimitsTheNumberOfListedChanges) {
  json many = ValidDocument();
  for (int i = 0; i < 2000; ++i) many["settings"][NumberedName("k", i)] = i;
  many["settings"]["discovery"] = "on_request";
  std::vector<Change> changes = FindChanges(ValidDocument(), many);
  EXPECT_LE(changes.size(), kMaxListedChanges + 1);
  EXPECT_TRUE(std::any_of(changes.begin(), changes.end(),
                          [](const Change& c) { return c.activation == Activation::kRestart; }));
}

// A RevisionHistory on a manual clock. Applies every transition that the history proposes.
struct HistoryHarness {
  explicit HistoryHarness(const json& file = ValidDocument())
      : now{1000, 50}, revisions(RevisionHistory::StartFromFile(file, now), file["settings"]) {}
  explicit HistoryHarness(State state, Timestamp start)
      : now(start), revisions(std::move(state), ValidDocument()["settings"]) {}

  Rejection::Kind RejectionKind(const UpdateRequest& request) {
    auto result = revisions.Propose(request, now);
    auto* rejection = std::get_if<Rejection>(&result);
    EXPECT_NE(rejection, nullptr);
    return rejection == nullptr ? Rejection::kNoChange : rejection->kind;
  }
  bool Apply(const UpdateRequest& request) {
    auto result = revisions.Propose(request, now);
    auto* next = std::get_if<Transition>(&result);
    if (next == nullptr) return false;
    revisions.Apply(std::move(next->state));
    return true;
  }
  bool ApplyFile(const json& document) { return Apply({UpdateSource::kFile, document, {}, 0, 0}); }
  bool ApplyOperatorUpdate(const json& document, double confirm_within_s = 0) {
    return Apply({UpdateSource::kOperatorUpdate, document, Running(), 0, confirm_within_s});
  }
  bool RollBack(uint64_t target_revision = 0) {
    return Apply({UpdateSource::kRollback, nullptr, {}, target_revision, 0});
  }
  bool RollbackIfExpired() {
    auto next = revisions.RollbackIfExpired(now);
    if (next) revisions.Apply(std::move(next->state));
    return next.has_value();
  }
  uint64_t Running() const { return revisions.state().running; }
  json Document() const { return revisions.state().Running().document; }
  int MaxAttempts() const { return Document()["settings"]["limits"]["try-limit"].get<int>(); }
  void AdvanceClock(double elapsed_s) { now = {now.system_s + elapsed_s, now.steady_s + elapsed_s}; }

  Timestamp now;
  RevisionHistory revisions;
};
json WithMaxAttempts(int max_attempts) { return WithValue("/settings/limits/try-limit", max_attempts); }

TEST(RevisionHistory, NumbersRevisionsAndKeepsThem) {
  HistoryHarness history;
  EXPECT_EQ(history.Running(), 1u);
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5)));
  EXPECT_TRUE(history.ApplyFile(WithMaxAttempts(4)));
  EXPECT_TRUE(history.RollBack(2));
  EXPECT_EQ(history.Running(), 4u);
  EXPECT_EQ(history.MaxAttempts(), 5);
  const auto& revisions = history.revisions.state().revisions;
  ASSERT_EQ(revisions.size(), 4u);
  EXPECT_EQ(revisions[0].outcome, "replaced");
  EXPECT_EQ(revisions[2].outcome, "rolled back");
  EXPECT_EQ(revisions[3].restored_from, 2u);
  EXPECT_EQ(revisions[3].id, revisions[1].id);
  EXPECT_TRUE(history.ApplyFile(WithMaxAttempts(5))) << "the content that runs already is accepted";
  EXPECT_EQ(history.Running(), 4u) << "without a new revision";
}

TEST(RevisionHistory, RejectsStaleInvalidAndUnavailableUpdates) {
  HistoryHarness history;
  EXPECT_EQ(history.RejectionKind({UpdateSource::kOperatorUpdate, WithMaxAttempts(5), 7, 0, 0}),
            Rejection::kStaleBase);
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5)));
  EXPECT_EQ(history.RejectionKind({UpdateSource::kOperatorUpdate, WithMaxAttempts(4), 1, 0, 0}),
            Rejection::kStaleBase);
  EXPECT_EQ(history.RejectionKind(
                {UpdateSource::kOperatorUpdate, WithValue("/settings/request-classes/0/aim-s", 9), 2, 0, 0}),
            Rejection::kInvalid);
  EXPECT_EQ(
      history.RejectionKind({UpdateSource::kOperatorUpdate, WithValue("/listen", "127.0.0.1:1"), 2, 0, 0}),
      Rejection::kNeedsRestart);
  EXPECT_EQ(history.RejectionKind({UpdateSource::kRollback, nullptr, {}, 9, 0}),
            Rejection::kRevisionNotFound);
  EXPECT_EQ(history.RejectionKind({UpdateSource::kRollback, nullptr, {}, 2, 0}), Rejection::kNoChange);
  EXPECT_EQ(HistoryHarness().RejectionKind({UpdateSource::kRollback, nullptr, {}, 0, 0}),
            Rejection::kRevisionNotFound);
  EXPECT_EQ(history.Running(), 2u);
  EXPECT_EQ(history.MaxAttempts(), 5);
}

// A questionable value that the platform has configured must not block an operator's change to another key.
TEST(RevisionHistory, AnOperatorUpdateMayKeepQuestionableValuesThatRunAlready) {
  json questionable = WithValue("/settings/request-classes/0/aim-s", 9);
  HistoryHarness history(questionable);
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithValue("/settings/limits/try-limit", 5, questionable)));
  EXPECT_EQ(history.RejectionKind({UpdateSource::kOperatorUpdate,
                                   WithValue("/settings/request-classes/1/aim-s", 9, questionable), 2, 0, 0}),
            Rejection::kInvalid);
}

TEST(RevisionHistory, DefersTheRestartOnlyChangesOfAFile) {
  HistoryHarness history;
  auto result = history.revisions.Propose(
      {UpdateSource::kFile, WithValue("/listen", "127.0.0.1:1", WithMaxAttempts(5)), {}, 0, 0}, history.now);
  auto& next = std::get<Transition>(result);
  EXPECT_EQ(next.needs_restart, std::vector<std::string>{"/listen"});
  history.revisions.Apply(std::move(next.state));
  EXPECT_EQ(history.MaxAttempts(), 5);
  EXPECT_EQ(history.Document()["listen"], ValidDocument()["listen"]);
}

TEST(RevisionHistory, ATrialIsRolledBackUnlessConfirmed) {
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  history.AdvanceClock(9.9);
  EXPECT_FALSE(history.RollbackIfExpired());
  history.AdvanceClock(0.2);
  EXPECT_TRUE(history.RollbackIfExpired());
  EXPECT_EQ(history.Running(), 3u);
  EXPECT_EQ(history.MaxAttempts(), 6);
  EXPECT_EQ(history.revisions.state().revisions[1].outcome, "returned");
  EXPECT_FALSE(history.RollbackIfExpired()) << "a trial is rolled back once";

  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  EXPECT_TRUE(std::holds_alternative<Rejection>(history.revisions.Confirm(3)));
  auto result = history.revisions.Confirm(4);
  history.revisions.Apply(std::move(std::get<Transition>(result).state));
  history.AdvanceClock(100);
  EXPECT_FALSE(history.RollbackIfExpired());
  EXPECT_EQ(history.MaxAttempts(), 5);
  EXPECT_TRUE(std::holds_alternative<Rejection>(history.revisions.Confirm(4))) << "no revision is on trial";
}

TEST(RevisionHistory, AFileUpdateEndsATrial) {
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  EXPECT_TRUE(history.ApplyFile(WithMaxAttempts(4)));
  history.AdvanceClock(100);
  EXPECT_FALSE(history.RollbackIfExpired());
  EXPECT_EQ(history.MaxAttempts(), 4);
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(3), 10));
  EXPECT_TRUE(history.ApplyFile(WithMaxAttempts(3))) << "the content that is on trial";
  history.AdvanceClock(100);
  EXPECT_FALSE(history.RollbackIfExpired());
  EXPECT_EQ(history.MaxAttempts(), 3);
}

TEST(RevisionHistory, ATrialStartedDuringATrialRollsBackToItsBase) {
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(4), 10));
  history.AdvanceClock(11);
  EXPECT_TRUE(history.RollbackIfExpired());
  EXPECT_EQ(history.MaxAttempts(), 5);
  history.AdvanceClock(11);
  EXPECT_FALSE(history.RollbackIfExpired()) << "the second update made the first one permanent";
}

TEST(RevisionHistory, ARollbackKeepsAddressesThatThePlatformChangedSince) {
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithValue("/discovery", "127.0.0.1:1", WithMaxAttempts(5)), 10));
  history.AdvanceClock(11);
  EXPECT_TRUE(history.RollbackIfExpired());
  EXPECT_EQ(history.Document()["discovery"], ValidDocument()["discovery"])
      << "the operator's change is undone";
  EXPECT_TRUE(history.ApplyFile(WithValue("/discovery", "127.0.0.1:8502", WithMaxAttempts(4))));
  EXPECT_TRUE(history.RollBack(1));
  EXPECT_EQ(history.MaxAttempts(), 6);
  EXPECT_EQ(history.Document()["discovery"], "127.0.0.1:8502") << "the platform's later address is kept";
}

TEST(RevisionHistory, TrialTimeSurvivesWallClockStepsAndReboots) {
  for (double step : {-3600.0, 3600.0}) {
    HistoryHarness history;
    EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
    State logged = *ParseState(SerializeState(history.revisions.state()));
    HistoryHarness restarted(logged, {history.now.system_s + 4 + step, history.now.steady_s + 4});
    EXPECT_NEAR(*restarted.revisions.ConfirmationTimeLeftS(restarted.now), 6, 1e-9) << step;
    EXPECT_FALSE(restarted.RollbackIfExpired());
    restarted.AdvanceClock(6.1);
    EXPECT_TRUE(restarted.RollbackIfExpired());
    EXPECT_EQ(restarted.MaxAttempts(), 6);
  }
  // After a reboot the monotonic clock has restarted.
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  HistoryHarness restarted(history.revisions.state(), {history.now.system_s + 4, 3});
  EXPECT_NEAR(*restarted.revisions.ConfirmationTimeLeftS(restarted.now), 6, 1e-9);
  HistoryHarness stepped(history.revisions.state(), {history.now.system_s - 4000, 3});
  EXPECT_NEAR(*stepped.revisions.ConfirmationTimeLeftS(stepped.now), 10, 1e-9)
      << "the time left never exceeds the time given";
}

TEST(RevisionHistory, AStartResumesTheLogWhereTheFileIsUnchanged) {
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  json file = ValidDocument();
  file["seed"] = "77";
  State resumed = RevisionHistory::ResumeFromLog(history.revisions.state(), file, history.now);
  EXPECT_EQ(resumed.running, 2u);
  EXPECT_TRUE(resumed.provisional.has_value());
  EXPECT_EQ(resumed.Running().document["seed"], "77") << "the seed is this process's";
  State broken = RevisionHistory::ResumeFromLog(history.revisions.state(), nullptr, history.now);
  EXPECT_EQ(broken.running, 2u);
  State other = RevisionHistory::ResumeFromLog(history.revisions.state(), WithMaxAttempts(3), history.now);
  EXPECT_EQ(other.running, 3u);
  EXPECT_FALSE(other.provisional.has_value());
  EXPECT_EQ(other.Running().document["settings"]["limits"]["try-limit"], 3);
  EXPECT_GT(other.generation, history.revisions.state().generation) << "the other process must adopt it";
}

TEST(RevisionHistory, AProcessAdoptsThePeersLaterState) {
  HistoryHarness first, second(first.revisions.state(), first.now);
  EXPECT_FALSE(second.revisions.AdoptPeerState(first.revisions.state()).has_value());
  EXPECT_TRUE(first.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  auto next = second.revisions.AdoptPeerState(first.revisions.state());
  ASSERT_TRUE(next.has_value());
  EXPECT_FALSE(next->content_unchanged);
  second.revisions.Apply(std::move(next->state));
  EXPECT_EQ(second.Running(), 2u);
  EXPECT_FALSE(first.revisions.AdoptPeerState(second.revisions.state()).has_value());
  auto confirmed = second.revisions.Confirm(2);
  second.revisions.Apply(std::move(std::get<Transition>(confirmed).state));
  next = first.revisions.AdoptPeerState(second.revisions.state());
  ASSERT_TRUE(next.has_value());
  EXPECT_TRUE(next->content_unchanged) << "nothing to prepare";
  EXPECT_FALSE(next->state.provisional.has_value());
}

TEST(RevisionHistory, LimitsTheHistoryInNumberAndBytes) {
  HistoryHarness history;
  json large = ValidDocument();
  large["settings"]["layers"] = std::string(200 * 1024, 'x');
  history = HistoryHarness(large);
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithValue("/settings/limits/try-limit", 3, large), 1000));
  for (int i = 0; i < 40; ++i) {
    large["settings"]["limits"]["try-limit"] = 2 + i % 7;
    EXPECT_TRUE(history.ApplyFile(large));
  }
  const State& state = history.revisions.state();
  EXPECT_EQ(state.revisions.size(), kMaxRevisions);
  EXPECT_LE(SerializeState(state).size(), kMaxOldDocumentBytes + 2 * 220 * 1024);
  EXPECT_FALSE(state.Running().document.is_null());
  for (int i = 0; i < 20; ++i)
    history.revisions.RecordRejection(UpdateSource::kOperatorUpdate, "x", history.now);
  EXPECT_EQ(history.revisions.rejected_updates().size(), 8u);
}

TEST(RevisionCodec, RoundTripsTheState) {
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  EXPECT_EQ(ParseState(SerializeState(history.revisions.state())), history.revisions.state());
}

TEST(RevisionCodec, RejectsTruncatedDamagedForeignOrInconsistentText) {
  HistoryHarness history;
  EXPECT_TRUE(history.ApplyOperatorUpdate(WithMaxAttempts(5), 10));
  const std::string text = SerializeState(history.revisions.state());
  for (size_t n = 0; n < text.size(); ++n) EXPECT_FALSE(ParseState(text.substr(0, n))) << n;
  EXPECT_FALSE(ParseState(text + "x"));
  std::mt19937 random(11);
  for (int i = 0; i < 4000; ++i) {
    std::string mutated = text;
    size_t index = random() % mutated.size();
    char other = static_cast<char>(random());
    if (mutated[index] == other) continue;
    mutated[index] = other;
    auto state = ParseState(mutated);
    EXPECT_TRUE(!state || *state == history.revisions.state())
        << index;  // white space in the header may differ
  }
  std::string other_format = text;
  other_format.replace(other_format.find("\"format\":1"), 10, "\"format\":0");
  EXPECT_FALSE(ParseState(other_format));
  // The checksum is right, but the state is inconsistent.
  auto round_trip = [](const State& state) { return ParseState(SerializeState(state)); };
  State state = history.revisions.state();
  state.provisional->rollback_target = 9;
  EXPECT_FALSE(round_trip(state));
  state = history.revisions.state();
  state.running = 1;
  EXPECT_FALSE(round_trip(state));
  state = history.revisions.state();
  state.revisions.back().document = nullptr;
  EXPECT_FALSE(round_trip(state));
  state.revisions.clear();
  EXPECT_FALSE(round_trip(state));
}

// The first `count` indices of each list of the settings.
lemonchute::policy::SettingsIndices FirstIndices(int count) {
  lemonchute::policy::SettingsIndices indices;
  for (int i = 0; i < count; ++i)
    indices.classes.insert(i), indices.plans.insert(i), indices.zones.insert(i), indices.kinds.insert(i);
  return indices;
}

TEST(Merge, UnchangedEntriesKeepTheirIndices) {
  Config running = ParseConfig(ValidDocument());
  json updated = ValidDocument();
  updated["settings"]["request-classes"] = {RequestClass("note"), RequestClass("save")};
  updated["settings"]["tiers-of-service"] = {CustomerPlan("gold"), CustomerPlan("business")};
  updated["settings"]["zones"] = {"c", "b"};
  updated["settings"]["zone"] = 1;
  updated["limits"]["sockets"] = 512;
  MergedSettings with_references = MergeSettings(running, ParseConfig(updated), FirstIndices(2));
  using Names = std::vector<std::string>;
  EXPECT_EQ(with_references.config.socket_settings.classes, (Names{"", "save", "note"}));
  EXPECT_EQ(with_references.config.socket_settings.plans, (Names{"", "business", "gold"}));
  EXPECT_EQ(with_references.config.socket_settings.zones, (Names{"", "b", "c"}));
  EXPECT_EQ(with_references.config.settings.zone, 1);
  EXPECT_EQ(with_references.config.settings.classes[0].priority_weight, 0);
  EXPECT_TRUE(with_references.config.settings.plans[0].removed);
  EXPECT_EQ(with_references.newly_assigned.classes, std::unordered_set<int>{2});
  EXPECT_EQ(with_references.config.max_descriptors, 512);
  MergedSettings without_references = MergeSettings(running, ParseConfig(updated), {});
  EXPECT_EQ(without_references.config.socket_settings.classes, (Names{"note", "save"}));
  EXPECT_EQ(without_references.newly_assigned.plans, std::unordered_set<int>{0});
  MergedSettings repeated = MergeSettings(with_references.config, ParseConfig(updated), {});
  EXPECT_EQ(repeated.config.socket_settings.classes, (Names{"", "save", "note"}))
      << "unchanged entries keep their indices";
  EXPECT_TRUE(repeated.newly_assigned.classes.empty());
  MergedSettings restored = MergeSettings(repeated.config, ParseConfig(ValidDocument()), {});
  EXPECT_EQ(restored.config.socket_settings.classes, (Names{"quote", "save"}))
      << "an unused index is used again";
}

TEST(Merge, IndicesDoNotGrowWithReloads) {
  Config running = ParseConfig(ValidDocument());
  std::mt19937 random(3);
  for (int i = 0; i < 2000; ++i) {
    json updated = ValidDocument();
    json& classes = updated["settings"]["request-classes"];
    classes[random() % 2]["aim-s"] = 1.0 + static_cast<double>(random() % 100) / 100;
    classes[0]["name"] = NumberedName("c", i);
    updated["settings"]["tiers-of-service"][1]["name"] = NumberedName("p", i);
    updated["settings"]["zones"][1] = NumberedName("z", i);
    lemonchute::policy::SettingsIndices in_use;  // some of the earlier entries are still referred to
    for (int index = 0; index < 6; ++index) {
      if (random() % 2 == 0)
        in_use.classes.insert(index), in_use.plans.insert(index), in_use.zones.insert(index);
    }
    running = MergeSettings(running, ParseConfig(updated), in_use).config;
    EXPECT_LE(running.socket_settings.classes.size(), 8u);
    EXPECT_LE(running.socket_settings.plans.size(), 8u);
    EXPECT_LE(running.socket_settings.zones.size(), 8u);
    ASSERT_EQ(running.socket_settings.classes.size(), running.settings.classes.size());
  }
}

}  // namespace
}  // namespace lemonchute::config
