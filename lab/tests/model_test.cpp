// The parts of the model, each alone and in virtual time.
#include "model/backend.h"
#include "model/client_router.h"
#include "model/counter.h"
#include "model/discovery.h"
#include "model/ground_truth.h"
#include "tiny.h"

namespace lemonchute::lab {
namespace {

// A backend of the tiny day with another number of cores, slots and places to wait.
struct Rig {
  explicit Rig(int cores = 1, int slots = 1, int queue = 1) : day(TinyDay()) {
    day.backends[0].cores = cores, day.backends[0].slots = slots, day.backends[0].queue = queue;
    backend = std::make_unique<Backend>(day, day.backends[0]);
    backend->Start(0, false);
  }
  // Plays on until `until`; ends as "id@ms", in order.
  std::string Play(Micros until) {
    std::string text;
    while (backend->NextEventAt() <= until) {
      std::vector<Backend::Completion> ends;
      Micros at = backend->NextEventAt();
      backend->Advance(at, &ends);
      for (const Backend::Completion& end : ends)
        text += std::to_string(end.id) + (end.overdue ? "!" : "@") + std::to_string((at + 500) / 1000) + " ";
    }
    std::vector<Backend::Completion> none;
    backend->Advance(until, &none);
    return text;
  }
  RunSpec day;
  std::unique_ptr<Backend> backend;
};

TEST(Backend, SharesItsCoresEvenly) {
  Rig rig(2, 4, 0);
  for (uint64_t id = 1; id <= 4; ++id)
    EXPECT_EQ(rig.backend->Offer(0, {id, 0.1 * static_cast<double>(id)}), Backend::Admission::kAccepted);
  // Four jobs on two cores run at half speed until the first has had its 0.1 s, then at two thirds, then
  // whole.
  EXPECT_EQ(rig.Play(kSecond), "1@200 2@350 3@450 4@550 ");
}

TEST(Backend, WaitsInOrderAndTurnsAwayWhatHasNoRoom) {
  Rig rig(1, 1, 1);
  EXPECT_EQ(rig.backend->Offer(0, {1, 0.1}), Backend::Admission::kAccepted);
  EXPECT_EQ(rig.backend->Offer(0, {2, 0.1}), Backend::Admission::kAccepted);
  EXPECT_EQ(rig.backend->Offer(0, {3, 0.1}), Backend::Admission::kFull);
  EXPECT_EQ(rig.Play(kSecond), "1@100 2@200 ");
  rig.backend->MarkLeaving();
  EXPECT_EQ(rig.backend->Offer(kSecond, {4, 0.1}), Backend::Admission::kFull);
  rig.backend->Stop();
  EXPECT_EQ(rig.backend->Offer(kSecond, {5, 0.1}), Backend::Admission::kDown);
}

TEST(Backend, CrowdingCostsEfficiency) {
  Rig rig(1, 4, 0);
  rig.day.crowding_at = 2, rig.day.crowding_loss = 0.5;
  for (uint64_t id = 1; id <= 4; ++id) rig.backend->Offer(0, {id, 0.1});
  EXPECT_DOUBLE_EQ(rig.backend->Capacity(0), 0.5);  // twice as many as it takes well: half is lost
  EXPECT_EQ(rig.Play(2 * kSecond), "1@800 2@800 3@800 4@800 ");
}

TEST(Backend, CancelStopsWhatWaitsAlwaysAndWhatRunsOnSomeDays) {
  for (bool running : {true, false}) {
    Rig rig(1, 1, 1);
    rig.day.cancel_running = running;
    rig.backend->Offer(0, {1, 0.1});
    rig.backend->Offer(0, {2, 0.1});
    EXPECT_EQ(rig.Play(50'000), "");
    EXPECT_NEAR(rig.backend->Cancel(50'000, 1), running ? 0.05 : 0, 1e-6);
    EXPECT_EQ(rig.Play(kSecond), running ? "2@150 " : "1@100 2@200 ");
  }
}

TEST(Backend, DropsWaitingWorkWhoseTimeIsOver) {
  Rig rig(1, 1, 2);
  rig.day.drops_overdue = true;
  rig.backend->Offer(0, {1, 0.1});
  rig.backend->Offer(0, {2, 0.1, 60'000});
  rig.backend->Offer(0, {3, 0.1, kNever});
  EXPECT_EQ(rig.Play(kSecond), "2!60 1@100 3@200 ");
}

TEST(Backend, WarmsUpEvenly) {
  Rig rig;
  rig.backend->Start(0, true);
  EXPECT_NEAR(rig.backend->Capacity(0), 0.5, 1e-9);
  EXPECT_NEAR(rig.backend->Capacity(5 * kSecond), 0.75, 1e-9);
  EXPECT_NEAR(rig.backend->Capacity(10 * kSecond), 1, 1e-9);
  EXPECT_FALSE(rig.backend->IsCold(10 * kSecond));
}

TEST(Backend, TipsOverAtItsBoundAndNotBefore) {
  // Cold it does 0.5 a second at first; it bears twice that in any second: one second of work.
  Rig rig;
  rig.backend->Start(0, true);
  for (int i = 0; i < 9; ++i) EXPECT_FALSE(rig.backend->RecordColdLoad(i, 0.1, i % 3 != 0)) << i;
  EXPECT_FALSE(rig.backend->RecordColdLoad(9, 0.1, true));  // just what it bears
  auto tip = rig.backend->RecordColdLoad(10, 0.1, true);
  ASSERT_TRUE(tip);
  EXPECT_FALSE(rig.backend->up());
  EXPECT_NEAR(tip->informed_share, 8.0 / 11, 1e-9);
  EXPECT_NEAR(tip->received_s, 1.1, 1e-9);
  EXPECT_NEAR(tip->limit_s, 1, 1e-4);
  Rig spread;  // the same work over two seconds
  spread.backend->Start(0, true);
  for (int i = 0; i < 20; ++i)
    EXPECT_FALSE(spread.backend->RecordColdLoad(Micros{i} * 110'000, 0.1, true)) << i;
}

TEST(Counter, ServesInTurnTurnsAwayALongLineAndForgets) {
  RunSpec day = TinyDay();  // one part, 100 calls a second, a line of 30 ms at most
  Counter counter(day);
  auto first = counter.Call(0, "a", 1, 1000), second = counter.Call(0, "a", 2, 1000);
  EXPECT_EQ(first.at, 10'000);
  EXPECT_EQ(second.at, 20'000);
  EXPECT_EQ(first.total, 1);
  EXPECT_EQ(second.total, 3);
  counter.Call(0, "b", 5, 1000), counter.Call(0, "b", 5, 1000);  // the line is 40 ms now
  EXPECT_EQ(counter.Call(0, "a", 7, 1000).kind, Counter::ReplyKind::kBusy);
  EXPECT_EQ(counter.Call(500'000, "a", 0, 1000).total, 3);    // what was turned away was not added
  EXPECT_EQ(counter.Call(1'100'000, "a", 0, 1000).total, 0);  // forgotten a second after its first call
  counter.Call(2'000'000, "a", 4, 60'000);
  counter.SetDown(true);
  EXPECT_EQ(counter.Call(2'100'000, "a", 1, 1000).kind, Counter::ReplyKind::kNoReply);
  counter.SetDown(false);
  EXPECT_EQ(counter.Call(2'200'000, "a", 1, 1000).total, 1);  // it came back empty
}

TEST(Discovery, TellsInOrderLateAndNotWhileSilent) {
  RunSpec day = TinyDay();
  day.discovery_notice_lo = day.discovery_notice_hi = 3,
  day.discovery_start_notice_lo = day.discovery_start_notice_hi = 1;
  Discovery discovery(day);
  EXPECT_EQ(discovery.Publish(0, {0, ListState::kLeaving, 0}, nullptr), 1);
  discovery.Publish(kSecond, {1, ListState::kActive, kSecond},
                    nullptr);  // would be told at 2 s, but the first is at 3 s
  EXPECT_EQ(discovery.NotifiedAt(0, 1), 3 * kSecond);
  EXPECT_EQ(discovery.NotifiedAt(0, 2), 3 * kSecond);
  EXPECT_EQ(discovery.VersionAt(0, 3 * kSecond - 1), 0);
  EXPECT_EQ(discovery.VersionAt(0, 3 * kSecond), 2);
  EXPECT_EQ(discovery.ListAt(1)[0].state, ListState::kLeaving);
  discovery.SetSilent(true, 4 * kSecond, nullptr);
  std::vector<Micros> told;
  discovery.Publish(4 * kSecond, {0, ListState::kLeft, 0}, &told);
  EXPECT_EQ(told[0], kNever);
  EXPECT_EQ(discovery.VersionAt(0, 9 * kSecond), 2);
  discovery.SetSilent(false, 9 * kSecond, &told);
  EXPECT_EQ(told[1], FromSeconds(9.1));
  EXPECT_EQ(discovery.ListAt(3).size(), 1u);
}

TEST(GroundTruth, AStoreTakesSettlesAndNeverPassesItsBurst) {
  RunSpec day = TinyDay();  // plain: 1 a second, 12 at most
  GroundTruth ground_truth(day);
  double ceiling = 0;
  EXPECT_EQ(ground_truth.Forward(0, 0, 10, &ceiling), QuotaStatus::kWithinQuota);
  EXPECT_EQ(ground_truth.Forward(0, 0, 3, &ceiling), QuotaStatus::kOverRate);     // beyond takes nothing
  EXPECT_EQ(ground_truth.Forward(0, 0, 2, &ceiling), QuotaStatus::kWithinQuota);  // just what is there
  ground_truth.Settle(0, 0, 2, 6);  // it was four more: below nought
  EXPECT_EQ(ground_truth.StatusOf(0, 4 * kSecond, 1), QuotaStatus::kOverRate);
  EXPECT_EQ(ground_truth.StatusOf(0, 5 * kSecond, 1), QuotaStatus::kWithinQuota);
  EXPECT_NEAR(ground_truth.TokenShare(0, 1000 * kSecond), 1, 1e-9);
  EXPECT_EQ(ceiling, 1e9);  // this plan has none
}

TEST(GroundTruth, TheCapCountsAttemptsThatAreOut) {
  RunSpec day = TinyDay();
  ASSERT_EQ(day.plans[1].attempt_cap, 2);
  GroundTruth ground_truth(day);
  ground_truth.OnAttemptSent(1), ground_truth.OnAttemptSent(1);
  EXPECT_EQ(ground_truth.StatusOf(1, 0, 1), QuotaStatus::kOverCap);
  ground_truth.OnAttemptEnded(1);
  EXPECT_EQ(ground_truth.StatusOf(1, 0, 1), QuotaStatus::kWithinQuota);
}

TEST(ClientRouter, KeepsToTheSetAndToWhoIsSeenUp) {
  RunSpec day = DrawRunSpec(Shipped("herd"), 3);
  ClientRouter client_router(day);
  std::map<int, int> seen;
  for (uint32_t i = 0; i < day.arrivals.size(); ++i) {
    const Customer& c = day.customers[day.arrivals[i].customer];
    int g = client_router.PickGateway(i, 0, day.arrivals[i].at);
    ASSERT_LT((g - c.first_gateway + day.gateways) % day.gateways, c.gateway_count);
    ASSERT_EQ(g, client_router.PickGateway(i, 0, day.arrivals[i].at));  // no matter when it is asked
    ++seen[g];
  }
  EXPECT_EQ(seen.size(), static_cast<size_t>(day.gateways));
  client_router.OnGatewayDown(0, 0);
  Micros noticed = FromSeconds(day.front_notice_s);
  for (uint32_t i = 0; i < 500; ++i) EXPECT_NE(client_router.PickGateway(i, 0, noticed), 0);
  for (int g = 1; g < day.gateways; ++g) client_router.OnGatewayDown(g, 0);
  EXPECT_EQ(client_router.PickGateway(0, 0, noticed), -1);
  client_router.OnGatewayReady(0);
  EXPECT_EQ(std::max(client_router.PickGateway(0, 0, noticed), 0), 0);
}

TEST(ClientRouter, ClientsRetryWithinTheirDeadlineAndSomeHeedRetryAfter) {
  RunSpec day = TinyDay({{0, 0}});
  day.retries = 2, day.backoff_s = 0.1, day.backoff_grows = false, day.heeds_retry_after_share = 1,
  day.max_retry_after_s = 1;
  ClientRouter client_router(day);
  auto at = client_router.RetryAt(0, 0, kSecond, 0);
  ASSERT_TRUE(at);
  EXPECT_GE(*at, kSecond + 50'000);
  EXPECT_LE(*at, kSecond + 150'000);
  EXPECT_EQ(*client_router.RetryAt(0, 0, 0, 0.7), 700'000);    // heeded
  EXPECT_EQ(*client_router.RetryAt(0, 0, 0, 60), kSecond);     // no longer than clients heed
  EXPECT_FALSE(client_router.RetryAt(0, 0, 2 * kSecond, 0));   // its deadline is over
  EXPECT_FALSE(client_router.RetryAt(0, 2, kSecond, 0));       // and so are its retries
  EXPECT_EQ(client_router.TryTimeout(0, 1'900'000), 100'000);  // a try's time ends with the client's
}

}  // namespace
}  // namespace lemonchute::lab
