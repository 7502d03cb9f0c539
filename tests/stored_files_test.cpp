// Files that outlive a process stay compatible between versions. The expected bytes were written by the
// version before the configuration code's identifiers were renamed.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "config/revision_codec.h"
#include "config/revisions.h"
#include "net/maintenance.h"
#include "net/revision_log.h"

namespace lemonchute {
namespace {

// Revision 1 comes from the file and 2 from an operator, 3 rolls 2 back, and 4 comes from an operator and
// awaits confirmation.
constexpr const char* kRevisionLog =
    R"({"bytes":5042,"crc32":3859363089,"format":1,"kind":"gateway-configuration-record"})"
    "\n"
    R"({"file_counter":"127.0.0.1:6400","file_discovery":"127.0.0.1:8500","file_id":"ec4efb5c-d6ea-5387)"
    R"(-8b10-764bdcf4b972","file_number":1,"known":{"endpoints":[{"address":"127.0.0.1:9000","group":0,)"
    R"("name":"s-1","since_ms":0,"status":"active","type":"std","weight":1.0,"zone":"a"}],"index":41,"s)"
    R"(napshot":true},"revisions":[{"at":1000.5,"document":{"counter":"127.0.0.1:6400","discovery":"127)"
    R"(.0.0.1:8500","limits":{"memory_mb":192,"sockets":1024},"listen":"127.0.0.1:5000","name":"n3","se)"
    R"(ed":"8c1f30d27a5be964","settings":{"discovery":"pushed","invariants":{"ask-within-s":0.5,"cold-f)"
    R"(rom":0.18,"drain-grace-s":1.0,"tip-after-s":1.0,"tip-multiple":2.0,"warm-after-s":17.0},"kinds":)"
    R"(["std"],"limits":{"cancel":true,"conn-idle-s":30.0,"connect-timeout-s":0.25,"max-retry-after-s":)"
    R"(2.0,"parallel-tries":false,"retry-after":true,"try-limit":6},"me":0,"peers-total":1,"prices":{"c)"
    R"(ross-zone":0.02},"request-classes":[{"aim-s":1.2,"dedup-scope":"all","effect":"free","hard-limit)"
    R"(-s":3.0,"importance":1.0,"late-share":0.0,"name":"view","window-s":3.0}],"resolution-s":0.002,"s)"
    R"(pecifics":{"counter-price":0.005,"counter-timeout-s":0.03,"may-count":true,"units-top":8},"tiers)"
    R"(-of-service":[{"cap-slack":8.0,"ceiling-burst":80.0,"excess-worth":0.0,"name":"basic","never-ove)"
    R"(r-rate":30.0,"over-cost":0.8,"parallel":0,"store-size":32.0,"units-per-s":12.0,"value-factor":1.)"
    R"(0}],"zone":0,"zones":["a"]}},"from":"file","id":"ec4efb5c-d6ea-5387-8b10-764bdcf4b972","number":)"
    R"(1,"of":0,"outcome":"replaced"},{"at":1010.5,"document":{"counter":"127.0.0.1:6400","discovery":")"
    R"(127.0.0.1:8500","limits":{"memory_mb":192,"sockets":1024},"listen":"127.0.0.1:5000","name":"n3",)"
    R"("seed":"8c1f30d27a5be964","settings":{"discovery":"pushed","invariants":{"ask-within-s":0.5,"col)"
    R"(d-from":0.18,"drain-grace-s":1.0,"tip-after-s":1.0,"tip-multiple":2.0,"warm-after-s":17.0},"kind)"
    R"(s":["std"],"limits":{"cancel":true,"conn-idle-s":30.0,"connect-timeout-s":0.25,"max-retry-after-)"
    R"(s":2.0,"parallel-tries":false,"retry-after":true,"try-limit":5},"me":0,"peers-total":1,"prices":)"
    R"({"cross-zone":0.02},"request-classes":[{"aim-s":1.2,"dedup-scope":"all","effect":"free","hard-li)"
    R"(mit-s":3.0,"importance":1.0,"late-share":0.0,"name":"view","window-s":3.0}],"resolution-s":0.002)"
    R"(,"specifics":{"counter-price":0.005,"counter-timeout-s":0.03,"may-count":true,"units-top":8},"ti)"
    R"(ers-of-service":[{"cap-slack":8.0,"ceiling-burst":80.0,"excess-worth":0.0,"name":"basic","never-)"
    R"(over-rate":30.0,"over-cost":0.8,"parallel":0,"store-size":32.0,"units-per-s":12.0,"value-factor")"
    R"(:1.0}],"zone":0,"zones":["a"]}},"from":"put","id":"b815dd8d-185a-5c7d-83e1-608708a36f51","number)"
    R"(":2,"of":0,"outcome":"rolled back"},{"at":1020.5,"document":{"counter":"127.0.0.1:6400","discove)"
    R"(ry":"127.0.0.1:8500","limits":{"memory_mb":192,"sockets":1024},"listen":"127.0.0.1:5000","name":)"
    R"("n3","seed":"8c1f30d27a5be964","settings":{"discovery":"pushed","invariants":{"ask-within-s":0.5)"
    R"(,"cold-from":0.18,"drain-grace-s":1.0,"tip-after-s":1.0,"tip-multiple":2.0,"warm-after-s":17.0},)"
    R"("kinds":["std"],"limits":{"cancel":true,"conn-idle-s":30.0,"connect-timeout-s":0.25,"max-retry-a)"
    R"(fter-s":2.0,"parallel-tries":false,"retry-after":true,"try-limit":6},"me":0,"peers-total":1,"pri)"
    R"(ces":{"cross-zone":0.02},"request-classes":[{"aim-s":1.2,"dedup-scope":"all","effect":"free","ha)"
    R"(rd-limit-s":3.0,"importance":1.0,"late-share":0.0,"name":"view","window-s":3.0}],"resolution-s":)"
    R"(0.002,"specifics":{"counter-price":0.005,"counter-timeout-s":0.03,"may-count":true,"units-top":8)"
    R"(},"tiers-of-service":[{"cap-slack":8.0,"ceiling-burst":80.0,"excess-worth":0.0,"name":"basic","n)"
    R"(ever-over-rate":30.0,"over-cost":0.8,"parallel":0,"store-size":32.0,"units-per-s":12.0,"value-fa)"
    R"(ctor":1.0}],"zone":0,"zones":["a"]}},"from":"roll back","id":"ec4efb5c-d6ea-5387-8b10-764bdcf4b9)"
    R"(72","number":3,"of":1,"outcome":"replaced"},{"at":1030.5,"document":{"counter":"127.0.0.1:6400",)"
    R"("discovery":"127.0.0.1:8500","limits":{"memory_mb":192,"sockets":1024},"listen":"127.0.0.1:5000")"
    R"(,"name":"n3","seed":"8c1f30d27a5be964","settings":{"discovery":"pushed","invariants":{"ask-withi)"
    R"(n-s":0.5,"cold-from":0.18,"drain-grace-s":1.0,"tip-after-s":1.0,"tip-multiple":2.0,"warm-after-s)"
    R"(":17.0},"kinds":["std"],"limits":{"cancel":true,"conn-idle-s":30.0,"connect-timeout-s":0.25,"max)"
    R"(-retry-after-s":2.0,"parallel-tries":false,"retry-after":true,"try-limit":4},"me":0,"peers-total)"
    R"(":1,"prices":{"cross-zone":0.02},"request-classes":[{"aim-s":1.2,"dedup-scope":"all","effect":"f)"
    R"(ree","hard-limit-s":3.0,"importance":1.0,"late-share":0.0,"name":"view","window-s":3.0}],"resolu)"
    R"(tion-s":0.002,"specifics":{"counter-price":0.005,"counter-timeout-s":0.03,"may-count":true,"unit)"
    R"(s-top":8},"tiers-of-service":[{"cap-slack":8.0,"ceiling-burst":80.0,"excess-worth":0.0,"name":"b)"
    R"(asic","never-over-rate":30.0,"over-cost":0.8,"parallel":0,"store-size":32.0,"units-per-s":12.0,")"
    R"(value-factor":1.0}],"zone":0,"zones":["a"]}},"from":"put","id":"5aad6a6b-6146-5029-a196-9de41134)"
    R"(fc25","number":4,"of":0,"outcome":"on trial"}],"running":4,"trial":{"back_to":3,"limit":300.0,"n)"
    R"(umber":4,"steady":80.25,"system":1030.5},"turn":4})"
    "\n";

constexpr const char* kMaintenanceList = "[\"s \\\"1\\\"\",\"s-2\",\"\xc3\xa9\"]";

class StoredFiles : public testing::Test {
 protected:
  StoredFiles() {
    std::string pattern = testing::TempDir() + "stored-files-XXXXXX";
    EXPECT_NE(mkdtemp(pattern.data()), nullptr);
    folder_ = pattern;
  }
  ~StoredFiles() override { std::filesystem::remove_all(folder_); }

  void Write(const std::string& name, const std::string& text) {
    std::ofstream(folder_ + "/" + name, std::ios::binary) << text;
  }
  std::string Read(const std::string& name) {
    std::ifstream in(folder_ + "/" + name, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }

  std::string folder_;
};

int MaxAttempts(const config::Revision& revision) {
  return revision.document.at("settings").at("limits").at("try-limit").get<int>();
}

void ExpectStoredRevisions(const config::State& state) {
  EXPECT_EQ(state.generation, 4u);
  EXPECT_EQ(state.running, 4u);
  ASSERT_EQ(state.revisions.size(), 4u);
  const config::Revision &first = state.revisions[0], &second = state.revisions[1],
                         &third = state.revisions[2], &fourth = state.revisions[3];
  EXPECT_EQ(first.source, config::UpdateSource::kFile);
  EXPECT_EQ(first.outcome, "replaced");
  EXPECT_EQ(first.id, "ec4efb5c-d6ea-5387-8b10-764bdcf4b972");
  EXPECT_EQ(first.time_s, 1000.5);
  EXPECT_EQ(MaxAttempts(first), 6);
  EXPECT_EQ(second.source, config::UpdateSource::kOperatorUpdate);
  EXPECT_EQ(second.outcome, "rolled back");
  EXPECT_EQ(MaxAttempts(second), 5);
  EXPECT_EQ(third.source, config::UpdateSource::kRollback);
  EXPECT_EQ(third.restored_from, 1u);
  EXPECT_EQ(third.id, first.id);
  EXPECT_EQ(MaxAttempts(third), 6);
  EXPECT_EQ(fourth.number, 4u);
  EXPECT_EQ(fourth.outcome, "on trial");
  EXPECT_EQ(MaxAttempts(fourth), 4);
  const config::ProvisionalRevision expected_trial{4, 3, {1030.5, 80.25}, 300};
  EXPECT_EQ(state.provisional, expected_trial);
  EXPECT_EQ(state.file_id, first.id);
  EXPECT_EQ(state.file_revision, 1u);
  EXPECT_EQ(state.file_discovery, "127.0.0.1:8500");
  EXPECT_EQ(state.file_counter, "127.0.0.1:6400");
  EXPECT_EQ(state.initial_endpoints.at("index"), 41);
}

TEST_F(StoredFiles, ReadsTheRevisionLogOfThePreviousVersion) {
  Write("lb-config.json", kRevisionLog);
  net::RevisionLog log(folder_);
  const auto state = log.Read();
  ASSERT_TRUE(state);
  ExpectStoredRevisions(*state);
}

TEST_F(StoredFiles, WritesTheRevisionLogByteForByteAsThePreviousVersion) {
  const auto state = config::ParseState(kRevisionLog);
  ASSERT_TRUE(state);
  net::RevisionLog log(folder_);
  EXPECT_EQ(log.Write(*state), "");
  EXPECT_EQ(Read("lb-config.json"), kRevisionLog);
}

TEST_F(StoredFiles, ResumesFromTheRevisionLogOfThePreviousVersion) {
  const auto state = config::ParseState(kRevisionLog);
  ASSERT_TRUE(state);
  nlohmann::json file = state->revisions.front().document;
  const config::Timestamp now{1040.5, 90.25};
  EXPECT_EQ(config::RevisionHistory::ResumeFromLog(*state, file, now), *state);
  config::RevisionHistory revisions(*state, file.at("settings"));
  EXPECT_EQ(revisions.ConfirmationTimeLeftS(now), 290.0);
  EXPECT_FALSE(revisions.RollbackIfExpired(now));
  const auto rollback = revisions.RollbackIfExpired({1330.5, 380.25});
  ASSERT_TRUE(rollback);
  EXPECT_EQ(MaxAttempts(rollback->state.Running()), 6);
}

TEST_F(StoredFiles, ReadsTheMaintenanceListOfThePreviousVersion) {
  Write("lb-maintenance.json", kMaintenanceList);
  net::MaintenanceList maintenance(folder_);
  const std::set<std::string> expected = {"s \"1\"", "s-2", "\xc3\xa9"};
  EXPECT_EQ(maintenance.offline(), expected);
}

TEST_F(StoredFiles, WritesTheMaintenanceListByteForByteAsThePreviousVersion) {
  net::MaintenanceList maintenance(folder_);
  for (const char* name : {"s-2", "s \"1\"", "\xc3\xa9"}) EXPECT_TRUE(maintenance.Set(name, true));
  EXPECT_EQ(Read("lb-maintenance.json"), kMaintenanceList);
}

}  // namespace
}  // namespace lemonchute
