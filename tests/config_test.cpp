// The configuration without sockets: reading, checking, planning, and the revisions on a manual clock.
#include "net/config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "config/check.h"
#include "config/content_id.h"
#include "config/document.h"
#include "config/plan.h"
#include "config/revision_codec.h"
#include "config/revisions.h"

namespace lemonchute::config {
using net::Config, net::MergedSettings, net::MergeSettings, net::ParseConfig;

namespace {

using nlohmann::json;

std::string Numbered(const char* name, int i) { return std::string(name).append(std::to_string(i)); }

json Class(const char* name) {
  return {{"name", name},        {"effect", "free"},     {"aim-s", 1.2},
          {"hard-limit-s", 3.0}, {"window-s", 3.0},      {"importance", 1.0},
          {"late-share", 0.0},   {"dedup-scope", "all"}, {"streamed", false}};
}
json Plan(const char* name) {
  return {{"name", name},          {"units-per-s", 12.0}, {"store-size", 32.0},  {"never-over-rate", 30.0},
          {"ceiling-burst", 80.0}, {"cap-slack", 8.0},    {"excess-worth", 0.0}, {"over-cost", 0.8},
          {"value-factor", 1.0},   {"parallel", 0}};
}
// A sound file, as the platform writes one.
json Good() {
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
            {"request-classes", {Class("quote"), Class("save")}},
            {"tiers-of-service", {Plan("starter"), Plan("business")}}}}};
}
json With(const char* pointer, const json& value, json document = Good()) {
  document[json::json_pointer(pointer)] = value;
  return document;
}

std::set<std::string> Places(const std::vector<Fault>& faults) {
  std::set<std::string> places;
  for (const Fault& fault : faults) places.insert(fault.at);
  return places;
}
std::set<std::string> Faults(const json& document, Author author = Author::kOperator,
                             const json& initial_settings = nullptr) {
  return Places(CheckConfig(document, author, initial_settings).faults);
}
std::set<std::string> Warnings(const json& document, Author author = Author::kPlatform) {
  return Places(CheckConfig(document, author).warnings);
}
using Set = std::set<std::string>;

TEST(Document, ReadsWhatIsSound) {
  Document document = ReadDocument(Good().dump());
  EXPECT_TRUE(document.faults.empty()) << OneLine(document.faults);
  EXPECT_EQ(document.value, Good());
}

TEST(Document, NamesEveryDoubleKeyAndEveryNumberOutOfRangeInOneGo) {
  Document document =
      ReadDocument(R"({"a": 1e999, "b": {"c/d": [1, 2], "c/d": [0, -1e400, {"x": 1, "x": 2}]}, "a": 3})");
  EXPECT_EQ(Places(document.faults), (Set{"/a", "/b/c~1d", "/b/c~1d/1", "/b/c~1d/2/x"}))
      << OneLine(document.faults);
}

TEST(Document, TurnsDownWhatIsNoObject) {
  for (const char* text :
       {"", " ", "null", "[]", "7", "\"x\"", "{", "{} {}", "{\"a\": NaN}", "{\"a\": Infinity}", "{\"a\": 01}",
        "{'a': 1}", "{\"a\": \"\xff\xfe\"}", "{\"\xc3\": 1}", "\xef\xbb"}) {
    Document document = ReadDocument(text);
    EXPECT_FALSE(document.faults.empty()) << text;
    EXPECT_TRUE(document.value.is_null()) << text;
    EXPECT_EQ(OneLine(document.faults).find('\n'), std::string::npos);
  }
}

TEST(Document, IsBoundedInDepthSizeAndFaults) {
  std::string deep = std::string(1000000, '[');
  EXPECT_NE(OneLine(ReadDocument(deep).faults).find("deeper"), std::string::npos);
  std::string objects;
  for (int i = 0; i < 1000; ++i) objects += "{\"a\":";
  EXPECT_NE(OneLine(ReadDocument(objects).faults).find("deeper"), std::string::npos);
  EXPECT_NE(OneLine(ReadDocument(std::string(101, ' '), 100).faults).find("longer"), std::string::npos);
  std::string twice = "{\"a\": 0";
  for (int i = 0; i < 5000; ++i) twice += ", \"a\": 0";
  EXPECT_EQ(ReadDocument(twice + "}").faults.size(), kMaxFaults);
  std::string huge = "[0";
  for (int i = 0; i < 5000; ++i) huge += ", 1e999";
  EXPECT_LE(ReadDocument("{\"a\": " + huge + "]}").faults.size(), kMaxFaults);
  EXPECT_LT(OneLine(ReadDocument("{\"" + std::string(100000, 'k') + "\": 1e999}").faults).size(), 1000u);
}

TEST(Document, NoCutOrBentTextIsTakenOrHarms) {
  const std::string good = Good().dump();
  for (size_t n = 0; n < good.size(); ++n) {
    EXPECT_FALSE(ReadDocument(good.substr(0, n)).faults.empty()) << n;
  }
  std::mt19937 random(7);
  for (int i = 0; i < 4000; ++i) {
    std::string bent = good;
    for (int k = 0; k < 1 + i % 4; ++k) bent[random() % bent.size()] = static_cast<char>(random());
    Document document = ReadDocument(bent);
    if (!document.faults.empty()) continue;
    Findings found = CheckConfig(document.value, Author::kPlatform);
    if (found.faults.empty()) ParseConfig(document.value);  // what is found sound can be taken
  }
}

TEST(Check, FindsNothingInASoundFile) {
  Findings found = CheckConfig(Good(), Author::kOperator, Good()["settings"]);
  EXPECT_TRUE(found.faults.empty()) << OneLine(found.faults);
  EXPECT_TRUE(found.warnings.empty()) << OneLine(found.warnings);
}

TEST(Check, NamesAllFaultsInOneGo) {
  json bad = Good();
  bad["listen"] = "nowhere";
  bad["seed"] = "xyz";
  bad["limits"]["sockets"] = 1;
  bad["settings"]["limits"].erase("cancel");
  bad["settings"]["limits"]["try-limit"] = 0;
  bad["settings"]["invariants"]["cold-from"] = "0.2";
  bad["settings"]["request-classes"][1]["hard-limit-s"] = -1;
  bad["settings"]["request-classes"][0]["effect"] = "none";
  bad["settings"]["tiers-of-service"][0]["parallel"] = 1.5;
  bad["extensions"] = {{"membersip", true}};
  bad["known"]["endpoints"][0]["status"] = "lost";
  EXPECT_EQ(
      Faults(bad, Author::kPlatform),
      (Set{"/listen", "/seed", "/limits/sockets", "/settings/limits/cancel", "/settings/limits/try-limit",
           "/settings/invariants/cold-from", "/settings/request-classes/1/hard-limit-s",
           "/settings/request-classes/0/effect", "/settings/tiers-of-service/0/parallel",
           "/extensions/membersip", "/known/endpoints/0/status"}));
}

// A slip of an operator's is a doubt in the platform's file, which is not turned down for it.
TEST(Check, KeepsDoubtsApartFromFaults) {
  const std::vector<std::pair<const char*, json>> doubts = {{"/settings/request-classes/0/aim-s", 4.0},
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
  for (const auto& [pointer, value] : doubts) {
    json document = With(pointer, value);
    EXPECT_EQ(Faults(document, Author::kOperator), Set{pointer});
    EXPECT_EQ(Faults(document, Author::kPlatform), Set{}) << pointer;
    EXPECT_EQ(Warnings(document), Set{pointer});
    ParseConfig(document);
  }
  EXPECT_EQ(Warnings(With("/known/endpoints/0/zone", "elsewhere")), Set{"/known/endpoints/0/zone"});
}

TEST(Check, IgnoresUnknownKeysOutsideExtensions) {
  json document = Good();
  document["new"] = {{"x", 1}};
  document["settings"]["request-classes"][0]["aim-stretch"] = 2;
  document["extensions"] = json::object();
  EXPECT_EQ(Faults(document), Set{});
}

TEST(Check, HoldsAFileAgainstWhatTheFirstOneHad) {
  json initial_settings = Good()["settings"];
  initial_settings["request-classes"][0]["aim-stretch"] = 2;  // optional, since not all classes had it
  EXPECT_EQ(Faults(Good(), Author::kPlatform, initial_settings), Set{});
  json document = Good();
  document["settings"].erase("layers");
  document["settings"]["request-classes"][1].erase("streamed");
  document["settings"]["zones"] = json::array();
  EXPECT_EQ(Faults(document, Author::kPlatform, initial_settings),
            (Set{"/settings/layers", "/settings/request-classes/1/streamed", "/settings/zones"}));
  EXPECT_EQ(Faults(document, Author::kPlatform), Set{}) << "at a start";
}

void AllPointers(const json& value, const std::string& at, std::vector<std::string>* out) {
  out->push_back(at);
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) AllPointers(inner, ChildPath(at, key), out);
  } else if (value.is_array()) {
    for (size_t i = 0; i < value.size(); ++i) AllPointers(value[i], ChildPath(at, i), out);
  }
}

// Every key of a good file, bent in every way in turn: it is turned down with its place named, or can be
// taken whole.
TEST(Check, EachMutationIsTakenWholeOrTurnedDownWithItsPlace) {
  const json good = Good();
  std::vector<std::string> pointers;
  AllPointers(good, "", &pointers);
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
  Config running = ParseConfig(good);
  int taken = 0, down = 0;
  auto judge = [&](const json& bent, const std::string& pointer) {
    // A key that two others refer to may be named at one of those.
    Findings found = CheckConfig(bent, Author::kPlatform, good["settings"]);
    if (found.faults.empty()) {
      MergeSettings(running, ParseConfig(bent), {});
      ++taken;
      return;
    }
    ++down;
    bool named = std::any_of(found.faults.begin(), found.faults.end(), [&](const Fault& fault) {
      return fault.at.rfind(pointer, 0) == 0 || pointer.rfind(fault.at, 0) == 0 || fault.at == "/counter";
    });
    EXPECT_TRUE(named) << pointer << " -> " << OneLine(found.faults);
  };
  for (const std::string& pointer : pointers) {
    for (const json& value : values) {
      if (good.at(json::json_pointer(pointer)) == value) continue;
      judge(pointer.empty() ? value : With(pointer.c_str(), value), pointer);
    }
    json::json_pointer at(pointer);
    if (at.empty() || !good.at(at.parent_pointer()).is_object()) continue;
    json bent = good;
    bent[at.parent_pointer()].erase(at.back());
    judge(bent, pointer);
  }
  EXPECT_GT(taken, 200);
  EXPECT_GT(down, 800);
}

TEST(ContentId, IsOfTheContentAndNotOfTheProcess) {
  const std::string id = ContentId(Good());
  EXPECT_EQ(id.size(), 36u);
  EXPECT_EQ(ContentId(json::parse(Good().dump(4))), id);
  json own = Good();
  own["seed"] = "1";
  own["ops"] = "127.0.0.1:1";
  own.erase("known");
  EXPECT_EQ(ContentId(own), id);
  EXPECT_NE(ContentId(With("/settings/limits/try-limit", 5)), id);
}

std::map<std::string, std::string> Planned(const json& had, const json& has) {
  std::map<std::string, std::string> out;
  for (const Change& change : PlanChanges(had, has)) {
    std::string& text = out[change.at];
    text += (text.empty() ? "" : "; ") + change.what + ", " + ToString(change.activation);
  }
  return out;
}
using Map = std::map<std::string, std::string>;

TEST(Plan, MarksEachChange) {
  EXPECT_EQ(Planned(Good(), Good()), Map{});
  json fresh = Good();
  fresh["listen"] = "127.0.0.1:5001";
  fresh["discovery"] = "127.0.0.1:8501";
  fresh["limits"]["sockets"] = 512;
  fresh["ops"] = "127.0.0.1:9";
  fresh["seed"] = "1";
  fresh["known"] = nullptr;
  fresh["settings"]["discovery"] = "on_request";
  fresh["settings"]["zones"].push_back("c");
  fresh["settings"]["limits"]["try-limit"] = 1;
  EXPECT_EQ(Planned(Good(), fresh), (Map{{"/listen", "changed, needs a restart"},
                                         {"/ops", "added, needs a restart"},
                                         {"/settings/discovery", "changed, needs a restart"},
                                         {"/discovery", "changed, live"},
                                         {"/limits/sockets", "changed, live"},
                                         {"/settings/zones", "changed, live"},
                                         {"/settings/limits/try-limit", "changed, live for new requests"}}));
  json live = WithoutRestartChanges(Good(), fresh);
  EXPECT_EQ(live["listen"], Good()["listen"]);
  EXPECT_EQ(live.contains("ops"), false);
  EXPECT_EQ(live["settings"]["discovery"], "pushed");
  EXPECT_EQ(live["discovery"], "127.0.0.1:8501");
}

TEST(Plan, ComparesClassesAndPlansByName) {
  json fresh = Good();
  std::swap(fresh["settings"]["request-classes"][0], fresh["settings"]["request-classes"][1]);
  EXPECT_EQ(Planned(Good(), fresh), Map{});
  fresh["settings"]["request-classes"][1]["effect"] = "guarded";  // quote
  fresh["settings"]["tiers-of-service"][0] = Plan("gold");        // in place of starter
  EXPECT_EQ(Planned(Good(), fresh),
            (Map{{"/settings/request-classes/1/effect", "changed, live for new requests"},
                 {"/settings/tiers-of-service/0", "added, live; removed, live"}}));
}

TEST(Plan, IsBounded) {
  json many = Good();
  for (int i = 0; i < 2000; ++i) many["settings"][Numbered("k", i)] = i;
  many["settings"]["discovery"] = "on_request";
  std::vector<Change> changes = PlanChanges(Good(), many);
  EXPECT_LE(changes.size(), kMaxListedChanges + 1);
  EXPECT_TRUE(std::any_of(changes.begin(), changes.end(),
                          [](const Change& c) { return c.activation == Activation::kRestart; }));
}

// The revisions on a manual clock, with a holder that takes whatever comes next.
struct Keeper {
  explicit Keeper(const json& file = Good())
      : now{1000, 50}, revisions(RevisionHistory::StartFromFile(file, now), file["settings"]) {}
  explicit Keeper(State state, Times at) : now(at), revisions(std::move(state), Good()["settings"]) {}

  Rejection::Kind Refused(const UpdateRequest& request) {
    auto answer = revisions.Propose(request, now);
    auto* no = std::get_if<Rejection>(&answer);
    EXPECT_NE(no, nullptr);
    return no == nullptr ? Rejection::kNoChange : no->kind;
  }
  bool Apply(const UpdateRequest& request) {
    auto answer = revisions.Propose(request, now);
    auto* next = std::get_if<Transition>(&answer);
    if (next == nullptr) return false;
    revisions.Apply(std::move(next->state));
    return true;
  }
  bool File(const json& document) { return Apply({UpdateSource::kFile, document, {}, 0, 0}); }
  bool Put(const json& document, double confirm_within_s = 0) {
    return Apply({UpdateSource::kOperatorUpdate, document, Running(), 0, confirm_within_s});
  }
  bool Back(uint64_t target_revision = 0) {
    return Apply({UpdateSource::kRollback, nullptr, {}, target_revision, 0});
  }
  bool RollbackIfExpired() {
    auto next = revisions.RollbackIfExpired(now);
    if (next) revisions.Apply(std::move(next->state));
    return next.has_value();
  }
  uint64_t Running() const { return revisions.state().running; }
  json Document() const { return revisions.state().Running().document; }
  int Attempts() const { return Document()["settings"]["limits"]["try-limit"].get<int>(); }
  void Pass(double s) { now = {now.system_s + s, now.steady_s + s}; }

  Times now;
  RevisionHistory revisions;
};
json Tries(int most) { return With("/settings/limits/try-limit", most); }

TEST(RevisionHistory, AreNumberedAndKeepHistory) {
  Keeper k;
  EXPECT_EQ(k.Running(), 1u);
  EXPECT_TRUE(k.Put(Tries(5)));
  EXPECT_TRUE(k.File(Tries(4)));
  EXPECT_TRUE(k.Back(2));
  EXPECT_EQ(k.Running(), 4u);
  EXPECT_EQ(k.Attempts(), 5);
  const auto& all = k.revisions.state().revisions;
  ASSERT_EQ(all.size(), 4u);
  EXPECT_EQ(all[0].outcome, "replaced");
  EXPECT_EQ(all[2].outcome, "rolled back");
  EXPECT_EQ(all[3].restored_from, 2u);
  EXPECT_EQ(all[3].id, all[1].id);
  EXPECT_TRUE(k.File(Tries(5))) << "what runs already is taken";
  EXPECT_EQ(k.Running(), 4u) << "and is no new revision";
}

TEST(RevisionHistory, AnOperatorsPutNamesWhatItWasMadeAgainst) {
  Keeper k;
  EXPECT_EQ(k.Refused({UpdateSource::kOperatorUpdate, Tries(5), 7, 0, 0}), Rejection::kStaleBase);
  EXPECT_TRUE(k.Put(Tries(5)));
  EXPECT_EQ(k.Refused({UpdateSource::kOperatorUpdate, Tries(4), 1, 0, 0}), Rejection::kStaleBase);
  EXPECT_EQ(k.Refused({UpdateSource::kOperatorUpdate, With("/settings/request-classes/0/aim-s", 9), 2, 0, 0}),
            Rejection::kInvalid);
  EXPECT_EQ(k.Refused({UpdateSource::kOperatorUpdate, With("/listen", "127.0.0.1:1"), 2, 0, 0}),
            Rejection::kNeedsRestart);
  EXPECT_EQ(k.Refused({UpdateSource::kRollback, nullptr, {}, 9, 0}), Rejection::kRevisionNotFound);
  EXPECT_EQ(k.Refused({UpdateSource::kRollback, nullptr, {}, 2, 0}), Rejection::kNoChange);
  EXPECT_EQ(Keeper().Refused({UpdateSource::kRollback, nullptr, {}, 0, 0}), Rejection::kRevisionNotFound);
  EXPECT_EQ(k.Running(), 2u);
  EXPECT_EQ(k.Attempts(), 5);
}

// A doubt of the platform's own is no reason to turn down an operator's change to something else.
TEST(RevisionHistory, APutIsNotBlamedForDoubtsThatRunAlready) {
  json doubtful = With("/settings/request-classes/0/aim-s", 9);
  Keeper k(doubtful);
  EXPECT_TRUE(k.Put(With("/settings/limits/try-limit", 5, doubtful)));
  EXPECT_EQ(k.Refused({UpdateSource::kOperatorUpdate, With("/settings/request-classes/1/aim-s", 9, doubtful),
                       2, 0, 0}),
            Rejection::kInvalid);
}

TEST(RevisionHistory, TheFilesRestartOnlyPartWaits) {
  Keeper k;
  auto answer =
      k.revisions.Propose({UpdateSource::kFile, With("/listen", "127.0.0.1:1", Tries(5)), {}, 0, 0}, k.now);
  auto& next = std::get<Transition>(answer);
  EXPECT_EQ(next.needs_restart, std::vector<std::string>{"/listen"});
  k.revisions.Apply(std::move(next.state));
  EXPECT_EQ(k.Attempts(), 5);
  EXPECT_EQ(k.Document()["listen"], Good()["listen"]);
}

TEST(RevisionHistory, ATrialReturnsUnlessConfirmed) {
  Keeper k;
  EXPECT_TRUE(k.Put(Tries(5), 10));
  k.Pass(9.9);
  EXPECT_FALSE(k.RollbackIfExpired());
  k.Pass(0.2);
  EXPECT_TRUE(k.RollbackIfExpired());
  EXPECT_EQ(k.Running(), 3u);
  EXPECT_EQ(k.Attempts(), 6);
  EXPECT_EQ(k.revisions.state().revisions[1].outcome, "returned");
  EXPECT_FALSE(k.RollbackIfExpired()) << "once";

  EXPECT_TRUE(k.Put(Tries(5), 10));
  EXPECT_TRUE(std::holds_alternative<Rejection>(k.revisions.Confirm(3)));
  auto answer = k.revisions.Confirm(4);
  k.revisions.Apply(std::move(std::get<Transition>(answer).state));
  k.Pass(100);
  EXPECT_FALSE(k.RollbackIfExpired());
  EXPECT_EQ(k.Attempts(), 5);
  EXPECT_TRUE(std::holds_alternative<Rejection>(k.revisions.Confirm(4))) << "nothing on trial";
}

TEST(RevisionHistory, TheFileEndsATrial) {
  Keeper k;
  EXPECT_TRUE(k.Put(Tries(5), 10));
  EXPECT_TRUE(k.File(Tries(4)));
  k.Pass(100);
  EXPECT_FALSE(k.RollbackIfExpired());
  EXPECT_EQ(k.Attempts(), 4);
  EXPECT_TRUE(k.Put(Tries(3), 10));
  EXPECT_TRUE(k.File(Tries(3))) << "the same as is on trial";
  k.Pass(100);
  EXPECT_FALSE(k.RollbackIfExpired());
  EXPECT_EQ(k.Attempts(), 3);
}

TEST(RevisionHistory, ATrialOnATrialReturnsToTheOneItWasMadeAgainst) {
  Keeper k;
  EXPECT_TRUE(k.Put(Tries(5), 10));
  EXPECT_TRUE(k.Put(Tries(4), 10));
  k.Pass(11);
  EXPECT_TRUE(k.RollbackIfExpired());
  EXPECT_EQ(k.Attempts(), 5);
  k.Pass(11);
  EXPECT_FALSE(k.RollbackIfExpired()) << "the second put took the first one for good";
}

TEST(RevisionHistory, GoingBackKeepsTheAddressesThatThePlatformNamedSince) {
  Keeper k;
  EXPECT_TRUE(k.Put(With("/discovery", "127.0.0.1:1", Tries(5)), 10));
  k.Pass(11);
  EXPECT_TRUE(k.RollbackIfExpired());
  EXPECT_EQ(k.Document()["discovery"], Good()["discovery"]) << "an operator's move is undone";
  EXPECT_TRUE(k.File(With("/discovery", "127.0.0.1:8502", Tries(4))));
  EXPECT_TRUE(k.Back(1));
  EXPECT_EQ(k.Attempts(), 6);
  EXPECT_EQ(k.Document()["discovery"], "127.0.0.1:8502") << "where the platform has moved it";
}

TEST(RevisionHistory, TheTrialSurvivesStepsOfTheSystemsClock) {
  for (double step : {-3600.0, 3600.0}) {
    Keeper k;
    EXPECT_TRUE(k.Put(Tries(5), 10));
    State recorded = *ParseState(SerializeState(k.revisions.state()));
    Keeper next(recorded, {k.now.system_s + 4 + step, k.now.steady_s + 4});
    EXPECT_NEAR(*next.revisions.ConfirmationTimeLeftS(next.now), 6, 1e-9) << step;
    EXPECT_FALSE(next.RollbackIfExpired());
    next.Pass(6.1);
    EXPECT_TRUE(next.RollbackIfExpired());
    EXPECT_EQ(next.Attempts(), 6);
  }
  // The machine has been started anew: the steady clock is another one.
  Keeper k;
  EXPECT_TRUE(k.Put(Tries(5), 10));
  Keeper next(k.revisions.state(), {k.now.system_s + 4, 3});
  EXPECT_NEAR(*next.revisions.ConfirmationTimeLeftS(next.now), 6, 1e-9);
  Keeper stepped(k.revisions.state(), {k.now.system_s - 4000, 3});
  EXPECT_NEAR(*stepped.revisions.ConfirmationTimeLeftS(stepped.now), 10, 1e-9)
      << "never longer than it was given";
}

TEST(RevisionHistory, AStartGoesByTheRecordWhereTheFileIsAsItWas) {
  Keeper k;
  EXPECT_TRUE(k.Put(Tries(5), 10));
  json file = Good();
  file["seed"] = "77";
  State content_unchanged = RevisionHistory::ResumeFromLog(k.revisions.state(), file, k.now);
  EXPECT_EQ(content_unchanged.running, 2u);
  EXPECT_TRUE(content_unchanged.provisional.has_value());
  EXPECT_EQ(content_unchanged.Running().document["seed"], "77") << "its own";
  State broken = RevisionHistory::ResumeFromLog(k.revisions.state(), nullptr, k.now);
  EXPECT_EQ(broken.running, 2u);
  State other = RevisionHistory::ResumeFromLog(k.revisions.state(), Tries(3), k.now);
  EXPECT_EQ(other.running, 3u);
  EXPECT_FALSE(other.provisional.has_value());
  EXPECT_EQ(other.Running().document["settings"]["limits"]["try-limit"], 3);
  EXPECT_GT(other.generation, k.revisions.state().generation) << "the other process follows";
}

TEST(RevisionHistory, OfTwoProcessesTheLaterStateIsFollowed) {
  Keeper one, two(one.revisions.state(), one.now);
  EXPECT_FALSE(two.revisions.AdoptPeerState(one.revisions.state()).has_value());
  EXPECT_TRUE(one.Put(Tries(5), 10));
  auto next = two.revisions.AdoptPeerState(one.revisions.state());
  ASSERT_TRUE(next.has_value());
  EXPECT_FALSE(next->content_unchanged);
  two.revisions.Apply(std::move(next->state));
  EXPECT_EQ(two.Running(), 2u);
  EXPECT_FALSE(one.revisions.AdoptPeerState(two.revisions.state()).has_value());
  auto confirmed = two.revisions.Confirm(2);
  two.revisions.Apply(std::move(std::get<Transition>(confirmed).state));
  next = one.revisions.AdoptPeerState(two.revisions.state());
  ASSERT_TRUE(next.has_value());
  EXPECT_TRUE(next->content_unchanged) << "nothing to prepare";
  EXPECT_FALSE(next->state.provisional.has_value());
}

TEST(RevisionHistory, HistoryIsBoundedInNumberAndBytes) {
  Keeper k;
  json large = Good();
  large["settings"]["layers"] = std::string(200 * 1024, 'x');
  k = Keeper(large);
  EXPECT_TRUE(k.Put(With("/settings/limits/try-limit", 3, large), 1000));
  for (int i = 0; i < 40; ++i) {
    large["settings"]["limits"]["try-limit"] = 2 + i % 7;
    EXPECT_TRUE(k.File(large));
  }
  const State& state = k.revisions.state();
  EXPECT_EQ(state.revisions.size(), kMaxRevisions);
  EXPECT_LE(SerializeState(state).size(), kMaxOldDocumentBytes + 2 * 220 * 1024);
  EXPECT_FALSE(state.Running().document.is_null());
  for (int i = 0; i < 20; ++i) k.revisions.RecordRejection(UpdateSource::kOperatorUpdate, "x", k.now);
  EXPECT_EQ(k.revisions.rejected_updates().size(), 8u);
}

TEST(Record, ComesBackAsItWas) {
  Keeper k;
  EXPECT_TRUE(k.Put(Tries(5), 10));
  EXPECT_EQ(ParseState(SerializeState(k.revisions.state())), k.revisions.state());
}

TEST(Record, WhatIsCutBentOrForeignCountsAsNone) {
  Keeper k;
  EXPECT_TRUE(k.Put(Tries(5), 10));
  const std::string record = SerializeState(k.revisions.state());
  for (size_t n = 0; n < record.size(); ++n) EXPECT_FALSE(ParseState(record.substr(0, n))) << n;
  EXPECT_FALSE(ParseState(record + "x"));
  std::mt19937 random(11);
  for (int i = 0; i < 4000; ++i) {
    std::string bent = record;
    size_t at = random() % bent.size();
    char other = static_cast<char>(random());
    if (bent[at] == other) continue;
    bent[at] = other;
    auto state = ParseState(bent);
    EXPECT_TRUE(!state || *state == k.revisions.state()) << at;  // white space of the head apart
  }
  std::string older = record;
  older.replace(older.find("\"format\":1"), 10, "\"format\":0");
  EXPECT_FALSE(ParseState(older));
  // A right checksum over something else, or over what does not hang together.
  auto sealed = [](const State& state) { return ParseState(SerializeState(state)); };
  State state = k.revisions.state();
  state.provisional->rollback_target = 9;
  EXPECT_FALSE(sealed(state));
  state = k.revisions.state();
  state.running = 1;
  EXPECT_FALSE(sealed(state));
  state = k.revisions.state();
  state.revisions.back().document = nullptr;
  EXPECT_FALSE(sealed(state));
  state.revisions.clear();
  EXPECT_FALSE(sealed(state));
}

// Places in the module's tables.
lemonchute::policy::SettingsIndices All(int n) {
  lemonchute::policy::SettingsIndices all;
  for (int i = 0; i < n; ++i)
    all.classes.insert(i), all.plans.insert(i), all.zones.insert(i), all.kinds.insert(i);
  return all;
}

TEST(Merge, WhatStaysKeepsItsPlace) {
  Config running = ParseConfig(Good());
  json fresh = Good();
  fresh["settings"]["request-classes"] = {Class("note"), Class("save")};
  fresh["settings"]["tiers-of-service"] = {Plan("gold"), Plan("business")};
  fresh["settings"]["zones"] = {"c", "b"};
  fresh["settings"]["zone"] = 1;
  fresh["limits"]["sockets"] = 512;
  MergedSettings used = MergeSettings(running, ParseConfig(fresh), All(2));
  using Names = std::vector<std::string>;
  EXPECT_EQ(used.config.socket_settings.classes, (Names{"", "save", "note"}));
  EXPECT_EQ(used.config.socket_settings.plans, (Names{"", "business", "gold"}));
  EXPECT_EQ(used.config.socket_settings.zones, (Names{"", "b", "c"}));
  EXPECT_EQ(used.config.settings.zone, 1);
  EXPECT_EQ(used.config.settings.classes[0].priority_weight, 0);
  EXPECT_TRUE(used.config.settings.plans[0].removed);
  EXPECT_EQ(used.newly_assigned.classes, std::unordered_set<int>{2});
  EXPECT_EQ(used.config.max_descriptors, 512);
  MergedSettings free = MergeSettings(running, ParseConfig(fresh), {});
  EXPECT_EQ(free.config.socket_settings.classes, (Names{"note", "save"}));
  EXPECT_EQ(free.newly_assigned.plans, std::unordered_set<int>{0});
  MergedSettings needs_restart = MergeSettings(used.config, ParseConfig(fresh), {});
  EXPECT_EQ(needs_restart.config.socket_settings.classes, (Names{"", "save", "note"}))
      << "it stays where it is";
  EXPECT_TRUE(needs_restart.newly_assigned.classes.empty());
  MergedSettings back = MergeSettings(needs_restart.config, ParseConfig(Good()), {});
  EXPECT_EQ(back.config.socket_settings.classes, (Names{"quote", "save"})) << "the place has come back";
}

TEST(Merge, PlacesDoNotGrowWithReloads) {
  Config running = ParseConfig(Good());
  std::mt19937 random(3);
  for (int i = 0; i < 2000; ++i) {
    json fresh = Good();
    json& classes = fresh["settings"]["request-classes"];
    classes[random() % 2]["aim-s"] = 1.0 + static_cast<double>(random() % 100) / 100;
    classes[0]["name"] = Numbered("c", i);
    fresh["settings"]["tiers-of-service"][1]["name"] = Numbered("p", i);
    fresh["settings"]["zones"][1] = Numbered("z", i);
    lemonchute::policy::SettingsIndices in_use;  // some of what was there is still referred to
    for (int place = 0; place < 6; ++place) {
      if (random() % 2 == 0)
        in_use.classes.insert(place), in_use.plans.insert(place), in_use.zones.insert(place);
    }
    running = MergeSettings(running, ParseConfig(fresh), in_use).config;
    EXPECT_LE(running.socket_settings.classes.size(), 8u);
    EXPECT_LE(running.socket_settings.plans.size(), 8u);
    EXPECT_LE(running.socket_settings.zones.size(), 8u);
    ASSERT_EQ(running.socket_settings.classes.size(), running.settings.classes.size());
  }
}

}  // namespace
}  // namespace lemonchute::config
