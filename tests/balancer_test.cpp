#include "policy/balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace lemonchute::policy {
namespace {

// Settings with one plan and three request classes; each test sets what differs.
Settings TestSettings() {
  Settings settings;
  settings.gateway_count = 3;
  settings.timer_resolution_s = 0.002;
  settings.discovery_pushes = true;
  settings.max_request_units = 4;
  settings.counter_enabled = true;
  // Too long to queue requests for the counter; tests of queueing shorten it.
  settings.counter_timeout_s = 0.3;
  settings.cancellation_allowed = true;
  settings.retry_after_allowed = true;
  settings.max_retry_after_s = 2;
  settings.max_attempts = 5;
  settings.cold_capacity_share = 0.2;
  settings.warm_up_s = 16;
  settings.cold_overload_multiple = 2;
  settings.cold_overload_window_s = 1;
  settings.endpoint_poll_interval_s = 10;
  for (Idempotency idempotency :
       {Idempotency::kIdempotent, Idempotency::kWithinWindow, Idempotency::kNonIdempotent}) {
    ClassSettings class_settings;
    class_settings.latency_objective_s = 0.6;
    class_settings.deadline_s = 1.5;
    class_settings.idempotency_window_s = 1.2;
    class_settings.priority_weight = 1;
    class_settings.idempotency = idempotency;
    class_settings.idempotency_scope =
        idempotency == Idempotency::kWithinWindow ? IdempotencyScope::kCell : IdempotencyScope::kAll;
    settings.classes.push_back(class_settings);
  }
  PlanSettings plan;
  plan.rate_units_per_s = 2;
  plan.burst_units = 10;
  plan.overage_cost = 1;
  plan.price = 1;
  settings.plans.push_back(plan);
  return settings;
}

// One gateway's balancer with a list of backends, whose ids count from 50, two in each cell. The caller moves
// the clock and plays clients, backends and counter. Each call replaces `actions` by the actions that it
// causes.
class BalancerHarness {
 public:
  explicit BalancerHarness(const Settings& settings, int backend_count = 4, double start_s = 100)
      : now(start_s), balancer(settings, 7, start_s, &actions) {
    std::vector<Endpoint> endpoints;
    for (int i = 0; i < backend_count; ++i) {
      Endpoint endpoint;
      endpoint.id = 50 + static_cast<uint32_t>(i);
      endpoint.cell = i / 2;
      endpoint.weight = 1;
      endpoints.push_back(endpoint);
    }
    balancer.OnEndpointList(now, EndpointListKind::kCached, endpoints, &actions);
    actions.clear();
  }

  // Returns the request's id.
  uint32_t SubmitRequest(double units = 1, int class_index = 0, double time_left_s = 1.0,
                         uint64_t customer_id = 9, double entry_gateways = 1) {
    Request request;
    request.id = ++last_request_id;
    request.class_index = class_index;
    request.customer_id = customer_id;
    request.time_left_s = time_left_s;
    request.units = units;
    request.entry_gateways = entry_gateways;
    actions.clear();
    balancer.OnRequest(now, request, &actions);
    return request.id;
  }

  const Action* FindAction(ActionKind kind) const {
    auto found = std::find_if(actions.begin(), actions.end(),
                              [&](const Action& action) { return action.kind == kind; });
    return found == actions.end() ? nullptr : &*found;
  }
  bool AttemptSent() const { return FindAction(ActionKind::kSendAttempt) != nullptr; }

  void EndAttempt(uint32_t request_id, uint32_t backend_id, AttemptResult result, int attempt_index = 0,
                  double actual_units = 0) {
    AttemptOutcome outcome;
    outcome.request_id = request_id;
    outcome.attempt_index = attempt_index;
    outcome.result = result;
    outcome.request_finished = result == AttemptResult::kOk;
    outcome.backend_id = backend_id;
    outcome.actual_units = actual_units;
    actions.clear();
    balancer.OnAttemptOutcome(now, outcome, &actions);
  }

  // Submits a request and ends its attempt with success at once, without moving the clock; returns whether an
  // attempt was sent. A call to the counter that the request causes is appended to `counter_calls`.
  bool ServeRequest(double units = 1, uint64_t customer_id = 9, double entry_gateways = 1,
                    double actual_units = 0) {
    uint32_t request_id = SubmitRequest(units, 0, 1.0, customer_id, entry_gateways);
    const Action* send_action = FindAction(ActionKind::kSendAttempt);
    if (const Action* counter_call = FindAction(ActionKind::kCallCounter))
      counter_calls.push_back(*counter_call);
    if (send_action == nullptr) return false;
    uint32_t backend_id = send_action->backend_id;
    EndAttempt(request_id, backend_id, AttemptResult::kOk, 0, actual_units);
    return true;
  }

  void RespondToCounterCall(uint64_t counter_name, double total, AttemptResult result = AttemptResult::kOk) {
    actions.clear();
    balancer.OnCounterResponse(now, CounterResponse{counter_name, total, result}, &actions);
  }

  double now;
  uint32_t last_request_id = 0;
  Actions actions;
  Actions counter_calls;
  Balancer balancer;
};

TEST(TokenBucket, AdmitsABurstAndRefillsAtTheGuaranteedRate) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  BalancerHarness harness(settings);
  harness.now = 100;  // start of a window
  int admitted = 0;
  for (int i = 0; i < 30; ++i) admitted += harness.ServeRequest();
  EXPECT_EQ(admitted, 10);
  harness.now = 102.001;  // two seconds at two units per second
  admitted = 0;
  for (int i = 0; i < 30; ++i) admitted += harness.ServeRequest();
  EXPECT_EQ(admitted, 4);
}

// New settings may reduce the tokens of a bucket and never add any; a class that is added can be used at
// once.
TEST(Settings, ChangeKeepsBucketsAndTheMaxAttemptsOfInFlightRequests) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  BalancerHarness harness(settings);
  for (int i = 0; i < 8; ++i) EXPECT_TRUE(harness.ServeRequest());
  uint32_t open_request_id = harness.SubmitRequest(1, 0, 1.0, 5);
  ASSERT_TRUE(harness.AttemptSent());
  uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  settings.plans[0].burst_units = 20;
  settings.max_attempts = 1;
  settings.classes.push_back(settings.classes[0]);
  harness.balancer.OnSettings(harness.now, harness.balancer.PrepareSettings(settings, {}), &harness.actions);
  int admitted = 0;
  for (int i = 0; i < 30; ++i) admitted += harness.ServeRequest();
  EXPECT_EQ(admitted, 2) << "the tokens left before the change";
  harness.EndAttempt(open_request_id, backend_id, AttemptResult::kError);
  ASSERT_TRUE(harness.AttemptSent()) << "max_attempts is five, as at its arrival";
  EXPECT_TRUE(harness.ServeRequest(1, 77)) << "a customer without a bucket yet";
  uint32_t new_request_id = harness.SubmitRequest(1, 3, 1.0, 78);
  ASSERT_TRUE(harness.AttemptSent());
  harness.EndAttempt(new_request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                     AttemptResult::kError);
  EXPECT_FALSE(harness.AttemptSent()) << "max_attempts is one now";
}

// Whether an attempt may be cancelled depends on the settings at the request's arrival, not on later ones.
TEST(Settings, ChangeKeepsTheCancellationRuleOfInFlightRequests) {
  Settings settings = TestSettings();
  BalancerHarness harness(settings);
  uint32_t old_request_id = harness.SubmitRequest();
  ASSERT_TRUE(harness.AttemptSent());
  settings.cancellation_allowed = false;
  harness.balancer.OnSettings(harness.now, harness.balancer.PrepareSettings(settings, {}), &harness.actions);
  uint32_t new_request_id = harness.SubmitRequest();
  ASSERT_TRUE(harness.AttemptSent());
  harness.actions.clear();
  harness.balancer.OnClientGone(harness.now, old_request_id, &harness.actions);
  EXPECT_NE(harness.FindAction(ActionKind::kCancelAttempt), nullptr);
  harness.actions.clear();
  harness.balancer.OnClientGone(harness.now, new_request_id, &harness.actions);
  EXPECT_EQ(harness.FindAction(ActionKind::kCancelAttempt), nullptr);
}

// The index of a class or plan is in use as long as a request or a customer refers to it.
TEST(Settings, IndicesAreInUseWhileARequestOrCustomerRefersToThem) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  settings.plans.push_back(settings.plans[0]);
  BalancerHarness harness(settings);
  EXPECT_TRUE(harness.balancer.IndicesInUse().classes.empty());
  EXPECT_TRUE(harness.balancer.IndicesInUse().plans.empty());
  EXPECT_EQ(harness.balancer.IndicesInUse().zones.count(0), 1u) << "the zone of the backends";
  uint32_t request_id = harness.SubmitRequest(1, 2);
  uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  EXPECT_EQ(harness.balancer.IndicesInUse().classes, std::unordered_set<int>{2});
  harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
  EXPECT_TRUE(harness.balancer.IndicesInUse().classes.empty());
  EXPECT_EQ(harness.balancer.IndicesInUse().plans, std::unordered_set<int>{0})
      << "the customer is still known";
  harness.now += 100;
  harness.ServeRequest(1, 77);  // a request removes idle customers
  EXPECT_EQ(harness.balancer.IndicesInUse().plans.size(), 1u);
}

TEST(Settings, RenewedIndexResetsItsEstimates) {
  Settings settings = TestSettings();
  BalancerHarness harness(settings);
  for (int i = 0; i < 5; ++i) {
    uint32_t request_id = harness.SubmitRequest();
    uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
    harness.now += 0.01;
    harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
  }
  double initial_mean_s =
      harness.balancer.PrepareSettings(settings, {{0}, {0}, {}, {}}).mean_service_time_s[0];
  EXPECT_LT(harness.balancer.PrepareSettings(settings, {}).mean_service_time_s[0], initial_mean_s);
  EXPECT_DOUBLE_EQ(harness.balancer.PrepareSettings(settings, {{0}, {0}, {}, {}}).mean_units[0], 0);
  EXPECT_GT(harness.balancer.PrepareSettings(settings, {}).mean_units[0], 0);
}

// A customer whose plan is removed moves to the plan that its requests name, and keeps what it has used; it
// moves back if that plan is removed and the old one returns.
TEST(Settings, CustomerOfARemovedPlanAdoptsThePlanOfItsRequests) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  PlanSettings other_plan = settings.plans[0];
  other_plan.burst_units = 20;
  settings.plans.push_back(other_plan);
  BalancerHarness harness(settings);
  auto serve_on_plan = [&](int plan_index) {
    Request request;
    request.id = ++harness.last_request_id;
    request.plan_index = plan_index;
    request.customer_id = 9;
    request.time_left_s = 1;
    request.units = 1;
    harness.actions.clear();
    harness.balancer.OnRequest(harness.now, request, &harness.actions);
    const Action* send_action = harness.FindAction(ActionKind::kSendAttempt);
    if (send_action == nullptr) return false;
    uint32_t backend_id = send_action->backend_id;
    harness.EndAttempt(request.id, backend_id, AttemptResult::kOk);
    return true;
  };
  int admitted = 0;
  for (int i = 0; i < 7; ++i) admitted += serve_on_plan(0);
  ASSERT_EQ(admitted, 7);
  EXPECT_FALSE(serve_on_plan(1)) << "its own plan still exists";
  settings.plans[0].removed = true;
  harness.balancer.OnSettings(harness.now, harness.balancer.PrepareSettings(settings, {}), &harness.actions);
  admitted = 0;
  for (int i = 0; i < 30; ++i) admitted += serve_on_plan(1);
  EXPECT_EQ(admitted, 3) << "tokens left of its burst of ten";
  settings.plans[0].removed = false;
  settings.plans[1].removed = true;
  harness.balancer.OnSettings(harness.now, harness.balancer.PrepareSettings(settings, {}), &harness.actions);
  harness.now += 1.001;  // refills two units
  admitted = 0;
  for (int i = 0; i < 30; ++i) admitted += serve_on_plan(0);
  EXPECT_EQ(admitted, 2);
}

// A cap that is lowered below the attempts in flight rejects requests until enough of them have ended.
TEST(Settings, CapLoweredBelowTheAttemptsInFlightRejectsUntilTheyEnd) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  settings.plans[0].rate_units_per_s = 0;
  settings.plans[0].max_in_flight = 4;
  BalancerHarness harness(settings);
  std::vector<std::pair<uint32_t, uint32_t>> in_flight;
  for (int i = 0; i < 4; ++i) {
    uint32_t request_id = harness.SubmitRequest();
    ASSERT_TRUE(harness.AttemptSent());
    in_flight.emplace_back(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id);
  }
  settings.plans[0].max_in_flight = 2;
  harness.balancer.OnSettings(harness.now, harness.balancer.PrepareSettings(settings, {}), &harness.actions);
  for (int i = 0; i < 2; ++i) {
    harness.SubmitRequest();
    EXPECT_FALSE(harness.AttemptSent());
    harness.EndAttempt(in_flight[static_cast<size_t>(i)].first, in_flight[static_cast<size_t>(i)].second,
                       AttemptResult::kOk);
  }
  harness.SubmitRequest();
  EXPECT_FALSE(harness.AttemptSent()) << "two are in flight";
  harness.EndAttempt(in_flight[2].first, in_flight[2].second, AttemptResult::kOk);
  harness.SubmitRequest();
  EXPECT_TRUE(harness.AttemptSent());
}

TEST(TokenBucket, RejectionOverAKnownQuotaCarriesTheMaximumRetryAfter) {
  Settings settings = TestSettings();
  BalancerHarness harness(settings);
  while (harness.ServeRequest()) {
  }
  ASSERT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kReject)->duration_s, 2);
}

TEST(ExcessShare, IsGrantedOnlyToPlansWithProfitableExcess) {
  for (bool profitable : {false, true}) {
    Settings settings = TestSettings();
    settings.counter_enabled = false;
    settings.plans[0].overage_cost = profitable ? 0 : 1;
    settings.plans[0].excess_value_share = profitable ? 0.3 : 0;
    BalancerHarness harness(settings);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
      harness.now = 100 + i * 0.02;
      for (uint64_t k = 0; k < 5; ++k) harness.ServeRequest(1, 100 + k + 5 * static_cast<uint64_t>(i));
      admitted += harness.ServeRequest();
    }
    if (profitable) {
      EXPECT_GT(admitted, 40);
    } else {
      EXPECT_LE(admitted, 14);
    }
  }
}

TEST(ExcessShare, IsNotGrantedAfterAnOverload) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  settings.plans[0].overage_cost = 0;
  settings.plans[0].excess_value_share = 0.3;
  BalancerHarness harness(settings);
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    harness.now = 100 + i * 0.02;
    for (uint64_t k = 0; k < 5; ++k) harness.ServeRequest(1, 100 + k + 5 * static_cast<uint64_t>(i));
    uint32_t request_id = harness.SubmitRequest(1, 0, 1.0, 1000 + static_cast<uint64_t>(i));
    ASSERT_TRUE(harness.AttemptSent());
    bool overloaded = i % 5 == 0;
    harness.EndAttempt(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                       overloaded ? AttemptResult::kOverloaded : AttemptResult::kOk);
    ASSERT_EQ(harness.AttemptSent(), overloaded);
    if (overloaded)
      harness.EndAttempt(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                         AttemptResult::kOk, 1);
    admitted += harness.ServeRequest();
  }
  EXPECT_LE(admitted, 14);
}

// Guards against: clients that make up a customer for each request made the table of customers grow without
// end.
TEST(Quota, NewCustomersAreRejectedWhileTheTableIsFull) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;  // no customer is kept for the sake of a call
  BalancerHarness gateway(settings);
  constexpr uint64_t kManyCustomers = 20000;
  uint64_t rejected = 0;
  EXPECT_TRUE(gateway.ServeRequest(1, /*customer_id=*/0));
  for (uint64_t customer = 1; customer < kManyCustomers; ++customer) {
    gateway.SubmitRequest(10, 0, 1.0, customer);
    const Action* reject = gateway.FindAction(ActionKind::kReject);
    if (reject != nullptr && reject->reason == RejectReason::kTooManyCustomers) ++rejected;
    const Action* send = gateway.FindAction(ActionKind::kSendAttempt);
    if (send != nullptr) gateway.EndAttempt(send->request_id, send->backend_id, AttemptResult::kOk);
  }
  EXPECT_GT(rejected, 0u);
  EXPECT_LE(rejected, kManyCustomers - 16384);
  EXPECT_TRUE(gateway.ServeRequest(1, /*customer_id=*/0)) << "a known customer is served";
  // Its bucket is full again after 5 s, so that it can be forgotten without a loss.
  gateway.now += 6;
  EXPECT_TRUE(gateway.ServeRequest(1, kManyCustomers));
  // One that used its bucket's tokens just now is remembered.
  EXPECT_TRUE(gateway.ServeRequest(9, /*customer_id=*/0));
  EXPECT_FALSE(gateway.ServeRequest(9, /*customer_id=*/0));
}

TEST(Counter, NewCustomerGetsAnEvenPartAndIsReadAtOnce) {
  BalancerHarness harness(TestSettings());
  int admitted = 0;
  for (int i = 0; i < 10; ++i) admitted += harness.ServeRequest(1, 9, 3);
  EXPECT_GE(admitted, 3);
  EXPECT_LE(admitted, 4);
  ASSERT_EQ(harness.counter_calls.size(), 1u);  // one call in flight per counter
}

TEST(Counter, UnitsOfOtherGatewaysAreTakenFromTheBucket) {
  BalancerHarness harness(TestSettings());
  ASSERT_TRUE(harness.ServeRequest(1, 9, 3));
  harness.RespondToCounterCall(harness.counter_calls[0].tag, 9 + harness.counter_calls[0].counter_delta);
  EXPECT_FALSE(harness.ServeRequest(2, 9, 3));
}

TEST(Counter, BucketCarriesOverToTheNextWindow) {
  BalancerHarness harness(TestSettings(), 4, 104.98);
  ASSERT_TRUE(harness.ServeRequest(1, 9, 3));
  uint64_t counter_name = harness.counter_calls[0].tag;
  harness.now = 104.99;
  harness.RespondToCounterCall(counter_name, 19 + harness.counter_calls[0].counter_delta);
  harness.now = 105.01;  // next window: the bucket stays empty and does not hold a new burst
  int admitted = 0;
  for (int i = 0; i < 10; ++i) admitted += harness.ServeRequest(1, 9, 3);
  EXPECT_LE(admitted, 1);
  ASSERT_GT(harness.counter_calls.size(), 0u);
  harness.now = 130;
  harness.ServeRequest(1, 9, 3);
  ASSERT_GT(harness.counter_calls.size(), 1u);
  EXPECT_NE(harness.counter_calls.back().tag, counter_name);  // each window has its own counter
}

TEST(Counter, WindowAfterAnOverspentOneStartsEmpty) {
  BalancerHarness harness(TestSettings());
  ASSERT_TRUE(harness.ServeRequest(1, 9, 3));
  harness.RespondToCounterCall(harness.counter_calls[0].tag, 2);  // another gateway has sent one
  harness.counter_calls.clear();
  harness.now = 102;
  ASSERT_TRUE(harness.ServeRequest(1, 9, 3));
  ASSERT_EQ(harness.counter_calls.size(), 1u);
  harness.RespondToCounterCall(harness.counter_calls[0].tag, 32);  // twenty units were allowed in this window
  harness.counter_calls.clear();
  int admitted = 0;
  for (int i = 0; i < 8; ++i) {
    harness.now = 105.1 + 0.6 * i;
    admitted += harness.ServeRequest(1, 9, 3);
    // Ten units are allowed in this window; other gateways exceed that.
    for (const Action& call : harness.counter_calls) harness.RespondToCounterCall(call.tag, 12);
    harness.counter_calls.clear();
  }
  EXPECT_LE(admitted, 1);
}

TEST(Counter, ReportsAreLargerBatchesWhileManyTokensAreLeft) {
  Settings settings = TestSettings();
  settings.plans[0].rate_units_per_s = 200;
  settings.plans[0].burst_units = 1000;
  BalancerHarness harness(settings);
  ASSERT_TRUE(harness.ServeRequest(1, 9, 2));
  harness.RespondToCounterCall(harness.counter_calls[0].tag, 2);  // another gateway has sent one
  harness.counter_calls.clear();
  for (int i = 0; i < 100; ++i) ASSERT_TRUE(harness.ServeRequest(1, 9, 2));
  EXPECT_TRUE(harness.counter_calls.empty());
  for (int i = 0; i < 30; ++i) ASSERT_TRUE(harness.ServeRequest(1, 9, 2));
  ASSERT_EQ(harness.counter_calls.size(), 1u);
  EXPECT_GT(harness.counter_calls[0].counter_delta, 100);
}

TEST(Counter, UnitsOfACallThatTimedOutAreNotReportedAgain) {
  BalancerHarness harness(TestSettings());
  ASSERT_TRUE(harness.ServeRequest(4));
  ASSERT_EQ(harness.counter_calls.back().counter_delta, 4);
  harness.RespondToCounterCall(harness.counter_calls.back().tag, 0, AttemptResult::kTimeout);
  harness.now += 0.01;
  ASSERT_TRUE(harness.ServeRequest(1));
  EXPECT_EQ(harness.counter_calls.back().counter_delta, 1);
  // The first call was lost, though it might have been applied.
  harness.RespondToCounterCall(harness.counter_calls.back().tag, 1);
  harness.now += 0.01;
  ASSERT_TRUE(harness.ServeRequest(1));
  EXPECT_EQ(harness.counter_calls.back().counter_delta, 1);
}

TEST(Counter, UnitsOfARejectedCallAreReportedAgain) {
  BalancerHarness harness(TestSettings());
  ASSERT_TRUE(harness.ServeRequest(4));
  harness.RespondToCounterCall(harness.counter_calls.back().tag, 0, AttemptResult::kOverloaded);
  harness.now += 0.01;
  ASSERT_TRUE(harness.ServeRequest(1));
  EXPECT_EQ(harness.counter_calls.back().counter_delta, 5);
}

TEST(Counter, ATotalThatTheCounterLostReturnsNoTokens) {
  BalancerHarness harness(TestSettings());
  ASSERT_TRUE(harness.ServeRequest(1, 9, 3));
  harness.RespondToCounterCall(harness.counter_calls.back().tag,
                               8 + harness.counter_calls.back().counter_delta);
  size_t calls_before = harness.counter_calls.size();
  harness.now = 101.5;
  ASSERT_TRUE(harness.ServeRequest(1, 9, 3));
  ASSERT_GT(harness.counter_calls.size(), calls_before);
  // The counter has lost the other gateways' eight units.
  harness.RespondToCounterCall(harness.counter_calls.back().tag, harness.counter_calls.back().counter_delta);
  int admitted = 0;
  for (int i = 0; i < 10; ++i) admitted += harness.ServeRequest(1, 9, 3);
  EXPECT_EQ(admitted, 0);
}

TEST(Counter, WhileUnavailableThisGatewaysPartAppliesAndCallsAreFew) {
  Settings settings = TestSettings();
  settings.counter_timeout_s = 0.03;
  BalancerHarness harness(settings);
  int admitted = 0, call_count = 0;
  for (int i = 0; i < 1000; ++i) {
    harness.now = 100 + i * 0.05;
    uint32_t request_id = harness.SubmitRequest(1, 0, 1.0, 9, 2);
    const Action* send_action = harness.FindAction(ActionKind::kSendAttempt);
    uint32_t backend_id = send_action != nullptr ? send_action->backend_id : 0;
    if (const Action* counter_call = harness.FindAction(ActionKind::kCallCounter)) {
      ++call_count;
      harness.RespondToCounterCall(counter_call->tag, 0, AttemptResult::kTimeout);
      if (const Action* delayed_send_action = harness.FindAction(ActionKind::kSendAttempt))
        backend_id = delayed_send_action->backend_id;
    }
    if (backend_id != 0) harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
    admitted += backend_id != 0;
  }
  EXPECT_NEAR(admitted, 50 + 5, 7);  // half of two units per second over 50 s, and of a burst
  EXPECT_LT(call_count, 200);
}

// Each gateway that a customer may arrive through admits its part of the quota, however high the demand: a
// customer that keeps retrying rejected requests is not locked out.
TEST(Counter, WithoutACounterThisGatewaysPartAppliesAtAnyDemand) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  settings.gateway_count = 4;
  settings.plans[0].overage_cost = 1.2;
  BalancerHarness harness(settings);
  int admitted = 0;
  for (int i = 0; i < 400; ++i) {
    harness.now = 100 + i * 0.1;
    admitted += harness.ServeRequest(1, 9, 4);
  }
  EXPECT_NEAR(admitted, (10 + 40 * 2) / 4, 2);  // a quarter of a burst and of two units per second over 40 s
}

TEST(Counter, WhileUnavailableADemandRiseIsLimitedToThePartLastRead) {
  BalancerHarness harness(TestSettings());
  double total = 0;
  for (int i = 0; i < 40; ++i) {  // totals read: low use, split evenly between two gateways
    harness.now = 100 + i * 0.5;
    ASSERT_TRUE(harness.ServeRequest(0.25, 9, 2));
    for (Action& call : harness.counter_calls)
      harness.RespondToCounterCall(call.tag, total += 2 * call.counter_delta);
    harness.counter_calls.clear();
    if (std::fmod(harness.now, 5) > 4.4) total = 0;
  }
  double admitted_units = 0, demand_units = 0;
  for (int i = 0; i < 1200; ++i) {  // then calls fail, and demand is far higher
    harness.now += 0.05;
    admitted_units += harness.ServeRequest(0.5, 9, 2) ? 0.5 : 0;
    demand_units += 0.5;
    for (Action& call : harness.counter_calls)
      harness.RespondToCounterCall(call.tag, 0, AttemptResult::kOverloaded);
    harness.counter_calls.clear();
  }
  EXPECT_LT(admitted_units, 60 * 2 * 0.62 + 10);
  EXPECT_GT(admitted_units, 60 * 2 * 0.3);
  EXPECT_GT(demand_units, 500);
}

TEST(Counter, ActualUnitsCorrectTheBucketAndReportsAreNeverNegative) {
  BalancerHarness harness(TestSettings());
  ASSERT_TRUE(harness.ServeRequest(4, 9, 1, 1));
  harness.RespondToCounterCall(harness.counter_calls.back().tag, 4);
  int admitted = 0;
  for (int i = 0; i < 20; ++i) {
    admitted += harness.ServeRequest();
    for (const Action& call : harness.counter_calls) EXPECT_GE(call.counter_delta, 0);
  }
  EXPECT_EQ(admitted, 9);  // ten minus the one unit that the first request actually used
}

TEST(Ceiling, IsSplitOverGatewaysAndStartsEmpty) {
  Settings settings = TestSettings();
  settings.plans[0].rate_units_per_s = 1000;
  settings.plans[0].burst_units = 1000;
  settings.plans[0].ceiling_units_per_s = 30;
  settings.plans[0].ceiling_burst_units = 60;
  settings.plans[0].ceiling_slack_units = 6;
  BalancerHarness harness(settings);
  EXPECT_FALSE(harness.ServeRequest(1, 9, 3));  // just started: earlier use is unknown
  harness.now = 101.001;
  int admitted = 0;
  for (int i = 0; i < 200; ++i) admitted += harness.ServeRequest(1, 9, 3);
  EXPECT_EQ(admitted, 10);
  harness.now = 200;
  admitted = 0;
  for (int i = 0; i < 200; ++i) {
    admitted += harness.ServeRequest(1, 9, 3);
    for (Action& call : harness.counter_calls)
      harness.RespondToCounterCall(call.tag, 0);  // a total of zero does not raise the ceiling
    harness.counter_calls.clear();
  }
  EXPECT_EQ(admitted, 21);  // a third of the ceiling's burst and of 95 % of its slack
}

// Two processes of one gateway share its part of the ceiling.
TEST(Ceiling, IsSharedByTheProcessesOfAGateway) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  settings.plans[0].rate_units_per_s = 1000;
  settings.plans[0].burst_units = 1000;
  settings.plans[0].ceiling_units_per_s = 30;
  settings.plans[0].ceiling_burst_units = 60;
  auto count_admitted = [](BalancerHarness& harness) {
    int admitted = 0;
    for (int i = 0; i < 200; ++i) admitted += harness.ServeRequest(1, 9, 3);
    return admitted;
  };
  BalancerHarness one_process(settings);
  one_process.now += 100;
  EXPECT_EQ(count_admitted(one_process), 20) << "a third of the ceiling's burst";
  BalancerHarness two_processes(settings);
  two_processes.now += 100;
  two_processes.ServeRequest(1, 9, 3);
  two_processes.balancer.OnProcessCount(two_processes.now, 2, &two_processes.actions);
  EXPECT_EQ(count_admitted(two_processes), 10);
  two_processes.now += 1;
  EXPECT_EQ(count_admitted(two_processes), 5) << "half of this gateway's part of the rate";
  two_processes.balancer.OnProcessCount(two_processes.now, 1, &two_processes.actions);
  two_processes.now += 1;
  EXPECT_EQ(count_admitted(two_processes), 10);
}

TEST(ConcurrencyCap, CountsLocalAttempts) {
  Settings settings = TestSettings();
  settings.plans[0].rate_units_per_s = settings.plans[0].burst_units = 0;
  settings.plans[0].max_in_flight = 2;
  BalancerHarness harness(settings);
  uint32_t first_request_id = harness.SubmitRequest();
  ASSERT_TRUE(harness.AttemptSent());
  uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  harness.SubmitRequest();
  ASSERT_TRUE(harness.AttemptSent());
  harness.SubmitRequest();
  EXPECT_FALSE(harness.AttemptSent());
  harness.EndAttempt(first_request_id, backend_id, AttemptResult::kOk);
  harness.SubmitRequest();
  EXPECT_TRUE(harness.AttemptSent());
}

TEST(ConcurrencyCap, AttemptsOfOtherGatewaysAreReadFromTheCounterAndExpire) {
  Settings settings = TestSettings();
  settings.plans[0].rate_units_per_s = settings.plans[0].burst_units = 0;
  settings.plans[0].max_in_flight = 2;
  BalancerHarness harness(settings);
  uint32_t request_id = harness.SubmitRequest(1, 0, 1.0, 9, 2);
  const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
  ASSERT_NE(counter_call, nullptr);
  EXPECT_EQ(counter_call->counter_delta, 1);
  uint64_t counter_name = counter_call->tag;
  uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  harness.RespondToCounterCall(counter_name, 2);  // one attempt of this gateway and one of another
  harness.SubmitRequest(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(harness.AttemptSent());
  harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
  ASSERT_NE(harness.FindAction(ActionKind::kCallCounter), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kCallCounter)->counter_delta, -1);
  harness.RespondToCounterCall(counter_name, 2);
  harness.SubmitRequest(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(harness.AttemptSent());
  harness.now += 3;  // the number read is out of date by now
  harness.SubmitRequest(1, 0, 1.0, 9, 2);
  EXPECT_TRUE(harness.AttemptSent());
}

// A process may stall for up to 0.15 s between reading its clock and writing, so a repeat that could then
// start after its idempotency window is not sent.
TEST(Attempts, RepeatIsNotSentIfAProcessStallCouldCarryItPastItsWindow) {
  for (double window_left_s : {0.2, 0.1}) {
    BalancerHarness harness(TestSettings());
    uint32_t request_id = harness.SubmitRequest(1, 1, 1.5);
    ASSERT_TRUE(harness.AttemptSent());
    harness.now += 1.2 - window_left_s;  // the idempotency window is 1.2 s
    harness.EndAttempt(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                       AttemptResult::kReset);
    EXPECT_EQ(harness.AttemptSent(), window_left_s > 0.15) << window_left_s;
  }
}

TEST(Overload, LastCapacityIsReservedForTheHighestValue) {
  Settings settings = TestSettings();
  settings.classes[1].priority_weight = 10;
  BalancerHarness harness(settings, 2);
  int sent[2] = {0, 0};
  for (int i = 0; i < 40; ++i) {
    harness.SubmitRequest(1, i % 2, 1.0, static_cast<uint64_t>(100 + i));
    sent[i % 2] += harness.AttemptSent();
  }
  EXPECT_GE(sent[1], sent[0] + 2);
  EXPECT_GT(sent[0], 0);
}

TEST(Overload, SlowResponsesDecreaseTheLimitAndFastOnesRestoreIt) {
  BalancerHarness harness(TestSettings(), 1);
  auto submit_burst = [&](uint64_t first_customer_id) {
    std::vector<uint32_t> request_ids;
    for (uint64_t i = 0; i < 50; ++i) {
      uint32_t request_id = harness.SubmitRequest(1, 0, 1.4, first_customer_id + i);
      if (harness.AttemptSent()) request_ids.push_back(request_id);
    }
    return request_ids;
  };
  auto request_ids = submit_burst(1000);
  size_t first_burst_size = request_ids.size();
  for (int round = 0; round < 6; ++round) {
    harness.now += 0.55;
    for (uint32_t request_id : request_ids) harness.EndAttempt(request_id, 50, AttemptResult::kOk);
    request_ids = submit_burst(2000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_LE(request_ids.size(), 1u);
  EXPECT_GT(first_burst_size, 1u);
  for (int round = 0; round < 300; ++round) {
    harness.now += 0.05;
    for (uint32_t request_id : request_ids) harness.EndAttempt(request_id, 50, AttemptResult::kOk);
    request_ids = submit_burst(10000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_GT(request_ids.size(), first_burst_size);
}

// Once the first byte of a streamed response has arrived, its backend counts as free, other attempts of the
// request are cancelled and it is not retried; the duration of the stream does not count as latency.
TEST(IdempotencyRules, StreamedResponseIsJudgedByItsFirstByte) {
  Settings settings = TestSettings();
  settings.hedging_allowed = true;
  BalancerHarness harness(settings, 1);
  uint32_t request_id = harness.SubmitRequest(1, 0, 100);
  ASSERT_TRUE(harness.AttemptSent());
  harness.actions.clear();
  harness.now += 2;
  harness.balancer.OnTimer(harness.now, request_id, &harness.actions);
  ASSERT_TRUE(harness.AttemptSent()) << "a hedged attempt, since the backend is silent";
  harness.now += 0.1;
  harness.actions.clear();
  harness.balancer.OnResponseStarted(harness.now, request_id, 1, &harness.actions);
  ASSERT_NE(harness.FindAction(ActionKind::kCancelAttempt), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kCancelAttempt)->attempt_index, 0);
  harness.EndAttempt(request_id, 50, AttemptResult::kCancelled, 0);
  EXPECT_FALSE(harness.AttemptSent());
  harness.now += 200;
  harness.actions.clear();
  harness.balancer.OnTimer(harness.now, request_id, &harness.actions);
  EXPECT_TRUE(harness.actions.empty()) << "the deadline does not end a started response";
  harness.EndAttempt(request_id, 50, AttemptResult::kOk, 1);
  EXPECT_TRUE(harness.actions.empty());
  int admitted = 0;
  for (uint64_t i = 0; i < 20; ++i) admitted += harness.ServeRequest(1, 70 + i);
  EXPECT_EQ(admitted, 20) << "a long response does not indicate a queue";
}

TEST(IdempotencyRules, RequestWithADiscardedBodyIsNotRetried) {
  BalancerHarness harness(TestSettings());
  uint32_t request_id = harness.SubmitRequest(1, 0);
  ASSERT_TRUE(harness.AttemptSent());
  AttemptOutcome outcome;
  outcome.request_id = request_id;
  outcome.result = AttemptResult::kConnectFailed;
  outcome.backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  outcome.body_discarded = true;
  harness.actions.clear();
  harness.balancer.OnAttemptOutcome(harness.now, outcome, &harness.actions);
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr) << "rejected at once";
}

TEST(IdempotencyRules, IdempotentRequestIsRetriedElsewhereAfterAnError) {
  BalancerHarness harness(TestSettings());
  uint32_t request_id = harness.SubmitRequest();
  uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  harness.EndAttempt(request_id, backend_id, AttemptResult::kError);
  ASSERT_TRUE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kSendAttempt)->backend_id, backend_id);
}

TEST(IdempotencyRules, RequestWithAKeyIsRetriedInItsCellWithinItsWindowAndThenFails) {
  BalancerHarness harness(TestSettings());
  uint32_t request_id = harness.SubmitRequest(1, 1, 1.45);
  uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  harness.EndAttempt(request_id, backend_id, AttemptResult::kError);
  ASSERT_TRUE(harness.AttemptSent());
  uint32_t next_backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  EXPECT_EQ((next_backend_id - 50) / 2, (backend_id - 50) / 2);
  harness.now += 1.25;  // after the window of 1.2 s
  harness.EndAttempt(request_id, next_backend_id, AttemptResult::kError, 1);
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kFail), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kReject), nullptr);
}

TEST(IdempotencyRules, NonIdempotentRequestIsNeitherRetriedNorRejectedOnceItMayHaveRun) {
  BalancerHarness harness(TestSettings());
  uint32_t request_id = harness.SubmitRequest(1, 2);
  harness.EndAttempt(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                     AttemptResult::kOverloaded);
  ASSERT_TRUE(harness.AttemptSent());  // the first attempt has certainly not run
  harness.EndAttempt(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                     AttemptResult::kReset, 1);
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kFail), nullptr);
}

TEST(IdempotencyRules, NoMoreThanMaxAttemptsAreSent) {
  Settings settings = TestSettings();
  settings.max_attempts = 2;
  BalancerHarness harness(settings);
  uint32_t request_id = harness.SubmitRequest();
  harness.EndAttempt(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                     AttemptResult::kOverloaded);
  ASSERT_TRUE(harness.AttemptSent());
  harness.EndAttempt(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id,
                     AttemptResult::kOverloaded, 1);
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
}

TEST(Backends, DrainingOrRemovedOneGetsNoAttempts) {
  BalancerHarness harness(TestSettings(), 2);
  Endpoint endpoint;
  endpoint.id = 50;
  endpoint.state = EndpointState::kDraining;
  harness.balancer.OnEndpointList(harness.now, EndpointListKind::kDelta, {endpoint}, &harness.actions);
  for (int i = 0; i < 3; ++i) {
    harness.SubmitRequest(1, 0, 1.0, static_cast<uint64_t>(20 + i));
    ASSERT_TRUE(harness.AttemptSent());
    EXPECT_EQ(harness.FindAction(ActionKind::kSendAttempt)->backend_id, 51u);
  }
  endpoint.id = 51;
  endpoint.state = EndpointState::kRemoved;
  harness.balancer.OnEndpointList(harness.now, EndpointListKind::kDelta, {endpoint}, &harness.actions);
  harness.SubmitRequest(1, 0, 1.0, 40);
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
}

TEST(Backends, OfflineOneGetsNoAttemptsEvenIfListedAsReady) {
  BalancerHarness harness(TestSettings(), 1);
  uint32_t request_id = harness.SubmitRequest(1, 0);
  ASSERT_TRUE(harness.AttemptSent());
  harness.balancer.OnMaintenance(harness.now, 50, true, &harness.actions);
  EXPECT_EQ(harness.balancer.UnavailableBackends(harness.now), 1);
  harness.EndAttempt(request_id, 50, AttemptResult::kError);
  EXPECT_FALSE(harness.AttemptSent()) << "no retry at the offline backend";
  EXPECT_FALSE(harness.ServeRequest());
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr) << "rejected at once";
  Endpoint endpoint;
  endpoint.id = 50;
  harness.balancer.OnEndpointList(harness.now, EndpointListKind::kSnapshot, {}, &harness.actions);
  harness.balancer.OnEndpointList(harness.now, EndpointListKind::kSnapshot, {endpoint}, &harness.actions);
  EXPECT_FALSE(harness.ServeRequest());
  harness.balancer.OnMaintenance(harness.now, 50, false, &harness.actions);
  EXPECT_EQ(harness.balancer.UnavailableBackends(harness.now), 0);
  int admitted = 0;
  for (int i = 0; i < 50; ++i, harness.now += 0.1)
    admitted += harness.ServeRequest(1, 100 + static_cast<uint64_t>(i));
  EXPECT_GT(admitted, 0);
  EXPECT_LT(admitted, 50) << "it is in slow start";
}

TEST(Backends, SlowStartLimitsTheWorkSent) {
  BalancerHarness harness(TestSettings(), 1);
  Endpoint endpoint;
  endpoint.id = 50;
  endpoint.started_s = 99.9;
  harness.balancer.OnEndpointList(harness.now, EndpointListKind::kDelta, {endpoint}, &harness.actions);
  double admitted_work_s = 0;
  for (int i = 0; i < 500; ++i) {
    harness.now = 100 + i * 0.002;
    // 0.15 s is the estimated service time: a quarter of the objective.
    admitted_work_s += harness.ServeRequest(1, static_cast<uint64_t>(100 + i)) ? 0.15 : 0;
  }
  EXPECT_GT(admitted_work_s, 0);
  // A third of what one core may be sent in a second, and one request.
  EXPECT_LE(admitted_work_s, 2 * 0.27 * 1.0 / 3 + 0.15);
}

// Sends requests one after the other to backend 50, which responds after `response_time_s`; returns how many
// were admitted in ten seconds.
int SteadyThroughput(BalancerHarness* harness, double response_time_s) {
  int admitted = 0;
  double end_s = harness->now + 10;
  while (harness->now < end_s) {
    uint32_t request_id = harness->SubmitRequest(1, 0, 1.4, 100000 + harness->last_request_id);
    if (!harness->AttemptSent()) {
      harness->now += 0.01;
      continue;
    }
    ++admitted;
    harness->now += response_time_s;
    harness->EndAttempt(request_id, 50, AttemptResult::kOk);
  }
  return admitted;
}

TEST(Backends, SlowStartInABusyFleetGetsAFractionOfTheWarmLoad) {
  BalancerHarness harness(TestSettings(), 4);
  std::vector<std::pair<uint32_t, uint32_t>> sent_requests;  // request and backend; responds after 100 ms
  int cold_attempts = 0, sent_attempts = 0;
  for (int i = 0; i < 600; ++i) {
    harness.now = 100 + i * 0.01;  // each warm backend serves 2 to 3.3 of these requests at a time
    if (i == 300) {
      Endpoint endpoint;
      endpoint.id = 50;
      endpoint.started_s = harness.now - 0.1;
      harness.balancer.OnEndpointList(harness.now, EndpointListKind::kDelta, {endpoint}, &harness.actions);
    }
    if (i >= 10 && sent_requests.size() > static_cast<size_t>(i - 10) && sent_requests[i - 10].first != 0) {
      harness.EndAttempt(sent_requests[i - 10].first, sent_requests[i - 10].second, AttemptResult::kOk);
    }
    harness.SubmitRequest(1, 0, 1.0, static_cast<uint64_t>(1000 + i));
    const Action* send_action = harness.FindAction(ActionKind::kSendAttempt);
    sent_requests.push_back(send_action != nullptr
                                ? std::make_pair(harness.last_request_id, send_action->backend_id)
                                : std::make_pair(0u, 0u));
    if (send_action == nullptr || i < 300) continue;
    ++sent_attempts;
    cold_attempts += send_action->backend_id == 50;
  }
  EXPECT_GT(sent_attempts, 200);
  // More than the one-core budget allows in three seconds, and at most the fraction of an even part.
  EXPECT_GT(cold_attempts, 300 * 0.01 * 0.8 / 3 * 0.3 / 0.1 + 4);
  EXPECT_LT(cold_attempts, 300 / 4 * 0.4);
}

TEST(Backends, SlowOneWithoutAQueueStillGetsOneAttemptAtATime) {
  BalancerHarness harness(TestSettings(), 1);
  EXPECT_GE(SteadyThroughput(&harness, 0.2), 40);  // a third of the objective is service time, not a queue
  BalancerHarness slower_harness(TestSettings(), 1);
  EXPECT_LE(SteadyThroughput(&slower_harness, 0.9), 11);  // far beyond the objective: one attempt at a time
}

TEST(Backends, OneThatRefusesOnlySomeConnectionsIsNotInSlowStart) {
  BalancerHarness harness(TestSettings(), 1);
  for (int i = 0; i < 4; ++i) {
    uint32_t request_id = harness.SubmitRequest(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    ASSERT_TRUE(harness.AttemptSent());
    harness.EndAttempt(request_id, 50, i % 3 == 2 ? AttemptResult::kOk : AttemptResult::kConnectFailed);
    harness.now += 0.6;
  }
  EXPECT_GE(SteadyThroughput(&harness, 0.05), 150);
}

TEST(Backends, OneThatReturnsAfterAnOutageIsInSlowStart) {
  BalancerHarness harness(TestSettings(), 1);
  for (int i = 0; i < 12; ++i) {
    uint32_t request_id = harness.SubmitRequest(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    if (harness.AttemptSent()) harness.EndAttempt(request_id, 50, AttemptResult::kConnectFailed);
    harness.now += 0.6;
  }
  EXPECT_LE(SteadyThroughput(&harness, 0.05), 60);
}

TEST(Backends, AreNotEjectedIfTooManyOfThemFail) {
  BalancerHarness harness(TestSettings(), 8);
  int rejected = 0;
  for (int i = 0; i < 60; ++i) {
    harness.now += 0.002;
    uint32_t request_id = harness.SubmitRequest(1, 2, 1.4, static_cast<uint64_t>(100 + i));
    const Action* send_action = harness.FindAction(ActionKind::kSendAttempt);
    rejected += send_action == nullptr;
    if (send_action != nullptr && send_action->backend_id < 54)
      harness.EndAttempt(request_id, send_action->backend_id, AttemptResult::kError);  // four of eight fail
  }
  EXPECT_EQ(rejected, 0);  // without the failing backends the sound ones would be full
}

TEST(Backends, FailingOneIsEjected) {
  BalancerHarness harness(TestSettings(), 3);
  int failed_attempts = 0;
  for (int i = 0; i < 60; ++i) {
    harness.now += 0.005;
    uint32_t request_id = harness.SubmitRequest(1, 2, 1.0, static_cast<uint64_t>(100 + i));
    ASSERT_TRUE(harness.AttemptSent());
    uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
    failed_attempts += backend_id == 50;
    harness.EndAttempt(request_id, backend_id, backend_id == 50 ? AttemptResult::kError : AttemptResult::kOk);
  }
  EXPECT_LE(failed_attempts, 4);
}

TEST(Attempts, RequestFailsShortlyBeforeTheClientsDeadline) {
  BalancerHarness harness(TestSettings());
  uint32_t request_id = harness.SubmitRequest(1, 2, 0.2);
  const Action* timer = harness.FindAction(ActionKind::kStartTimer);
  ASSERT_NE(timer, nullptr);
  EXPECT_LT(timer->duration_s, 0.2);
  EXPECT_GT(timer->duration_s, 0.1);
  uint64_t tag = timer->tag;
  harness.now += timer->duration_s;
  harness.actions.clear();
  harness.balancer.OnTimer(harness.now, tag, &harness.actions);
  ASSERT_NE(harness.FindAction(ActionKind::kFail), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kFail)->request_id, request_id);
  harness.actions.clear();
  harness.balancer.OnTimer(harness.now, tag, &harness.actions);  // the request has already ended
  EXPECT_TRUE(harness.actions.empty());
}

// Half of the backends hang, and non-idempotent requests that were sent to them miss their deadlines. These
// count as failures of the hanging backends; if they counted as overload, requests to the healthy ones would
// be shed.
TEST(Overload, DeadlineMissedAtAHangingBackendDoesNotCountAsOverload) {
  for (bool cancellation_allowed : {false, true}) {
    Settings settings = TestSettings();
    settings.counter_enabled = false;
    settings.cancellation_allowed = cancellation_allowed;
    BalancerHarness harness(settings);
    std::map<uint32_t, std::pair<double, uint32_t>> hanging;  // by request: deadline and backend
    int rejected = 0;
    for (int i = 0; i < 200; ++i) {
      harness.now += 0.5;
      for (auto entry = hanging.begin(); entry != hanging.end();) {
        auto [deadline, backend_id] = entry->second;
        if (harness.now < deadline) {
          ++entry;
          continue;
        }
        harness.actions.clear();
        harness.balancer.OnTimer(deadline, entry->first, &harness.actions);
        harness.EndAttempt(entry->first, backend_id,
                           cancellation_allowed ? AttemptResult::kCancelled : AttemptResult::kTimeout);
        entry = hanging.erase(entry);
      }
      uint32_t request_id = harness.SubmitRequest(1, 2, 1.0, 1000 + static_cast<uint64_t>(i));
      const Action* send_action = harness.FindAction(ActionKind::kSendAttempt);
      if (send_action == nullptr) {
        ++rejected;
      } else if (uint32_t backend_id = send_action->backend_id; backend_id < 52) {
        hanging[request_id] = {harness.now + 0.998, backend_id};
      } else {
        harness.now += 0.13;
        harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
      }
    }
    EXPECT_EQ(rejected, 0) << "cancellation allowed: " << cancellation_allowed;
  }
}

TEST(Attempts, AttemptAtASilentBackendIsCancelledAndRetriedElsewhere) {
  BalancerHarness harness(TestSettings());
  uint32_t request_id = harness.SubmitRequest(1, 0, 1.4);
  uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
  uint64_t tag = harness.FindAction(ActionKind::kStartTimer)->tag;
  harness.now += harness.FindAction(ActionKind::kStartTimer)->duration_s + 0.001;
  harness.actions.clear();
  harness.balancer.OnTimer(harness.now, tag, &harness.actions);
  ASSERT_NE(harness.FindAction(ActionKind::kCancelAttempt), nullptr);
  harness.EndAttempt(request_id, backend_id, AttemptResult::kCancelled);
  ASSERT_TRUE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kSendAttempt)->backend_id, backend_id);
}

// A connection may go silent while its backend responds on others. This shows by responses to attempts that
// were sent later.
TEST(Attempts, AttemptOnASilentConnectionOfALiveBackendIsHedgedOrCancelled) {
  for (bool hedging : {false, true}) {
    Settings settings = TestSettings();
    settings.hedging_allowed = hedging;
    BalancerHarness harness(settings);
    harness.SubmitRequest(1, 0, 1.4);
    uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
    uint64_t tag = harness.FindAction(ActionKind::kStartTimer)->tag;
    double silence_check_s = harness.now + harness.FindAction(ActionKind::kStartTimer)->duration_s + 0.001;
    bool answered = false;
    for (int i = 0; i < 60 && !answered; ++i) {
      harness.now += 0.001;
      uint32_t request_id = harness.SubmitRequest(1, 0, 1.4, 1000 + static_cast<uint64_t>(i));
      ASSERT_TRUE(harness.AttemptSent());
      // Attempts at other backends stay in flight, so that this one is selected again.
      answered = harness.FindAction(ActionKind::kSendAttempt)->backend_id == backend_id;
      if (answered) harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
    }
    ASSERT_TRUE(answered);
    harness.now = silence_check_s;
    harness.actions.clear();
    harness.balancer.OnTimer(harness.now, tag, &harness.actions);
    EXPECT_EQ(harness.AttemptSent(), hedging) << "a hedged attempt is sent if hedging is allowed";
    EXPECT_EQ(harness.FindAction(ActionKind::kCancelAttempt) != nullptr, !hedging)
        << "otherwise the attempt is cancelled first";
  }
}

// Settings of one of a hundred gateways, whose counter timeout is short enough to queue requests for the
// counter.
Settings ManyGatewaySettings() {
  Settings settings = TestSettings();
  settings.gateway_count = 100;
  settings.counter_timeout_s = 0.03;
  return settings;
}

TEST(CounterQueue, RequestIsCountedFirstAndSentOnTheCountersResponse) {
  BalancerHarness harness(ManyGatewaySettings());
  harness.SubmitRequest(2, 0, 1.0, 9, 100);
  EXPECT_FALSE(harness.AttemptSent());
  const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
  ASSERT_NE(counter_call, nullptr);
  EXPECT_EQ(counter_call->counter_delta, 2);
  harness.now += 0.004;
  harness.RespondToCounterCall(counter_call->tag, 4);  // two units are of other gateways
  EXPECT_TRUE(harness.AttemptSent());
}

TEST(CounterQueue, RequestBeyondTheQuotaIsRejectedAndItsUnitsReturned) {
  BalancerHarness harness(ManyGatewaySettings());
  harness.SubmitRequest(2, 0, 1.0, 9, 100);
  const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
  ASSERT_NE(counter_call, nullptr);
  harness.now += 0.004;
  harness.RespondToCounterCall(counter_call->tag, 13);  // other gateways have used the whole burst
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  ASSERT_NE(harness.FindAction(ActionKind::kCallCounter), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kCallCounter)->counter_delta, -2);
}

TEST(CounterQueue, RequestIsEitherSentOrRejectedWhenTheCounterFails) {
  for (AttemptResult result :
       {AttemptResult::kTimeout, AttemptResult::kOverloaded, AttemptResult::kConnectFailed}) {
    BalancerHarness harness(ManyGatewaySettings());
    harness.SubmitRequest(2, 0, 1.0, 9, 100);
    const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
    ASSERT_NE(counter_call, nullptr);
    harness.now += 0.03;
    harness.RespondToCounterCall(counter_call->tag, 0, result);
    EXPECT_NE(harness.AttemptSent(), harness.FindAction(ActionKind::kReject) != nullptr);
  }
}

TEST(CounterQueue, FirstReportInAWindowCarriesTheDebtOfThePreviousOne) {
  Settings settings = ManyGatewaySettings();
  BalancerHarness harness(settings, 4, 100.5);  // early in a window of 5 s
  harness.SubmitRequest(2, 0, 1.0, 9, 100);
  const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
  ASSERT_NE(counter_call, nullptr);
  uint64_t counter_name = counter_call->tag;
  harness.now += 0.004;
  harness.RespondToCounterCall(counter_name, 2);  // the first report in this window
  EXPECT_FALSE(harness.AttemptSent());
  const Action* previous_window_call = harness.FindAction(ActionKind::kCallCounter);
  ASSERT_NE(previous_window_call, nullptr);
  EXPECT_NE(previous_window_call->tag, counter_name);
  EXPECT_EQ(previous_window_call->counter_delta, 0);
  harness.now += 0.004;
  // A burst and all units of the rate were used in the previous window.
  harness.RespondToCounterCall(previous_window_call->tag, 20);
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  ASSERT_NE(harness.FindAction(ActionKind::kCallCounter), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kCallCounter)->tag, counter_name);
  // A debt of ten, minus two that were not sent.
  EXPECT_EQ(harness.FindAction(ActionKind::kCallCounter)->counter_delta, 8);
}

TEST(CounterQueue, RequestWhoseClientHasGoneIsNotSent) {
  BalancerHarness harness(ManyGatewaySettings());
  uint32_t request_id = harness.SubmitRequest(2, 0, 1.0, 9, 100);
  const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
  ASSERT_NE(counter_call, nullptr);
  uint64_t counter_name = counter_call->tag;
  harness.balancer.OnClientGone(harness.now, request_id, &harness.actions);
  harness.now += 0.004;
  harness.RespondToCounterCall(counter_name, 2);
  EXPECT_FALSE(harness.AttemptSent());
  EXPECT_EQ(harness.FindAction(ActionKind::kReject), nullptr);
}

TEST(CounterQueue, RequestWithLittleTimeLeftIsNotQueued) {
  BalancerHarness harness(ManyGatewaySettings());
  harness.SubmitRequest(2, 0, 0.1, 9, 100);
  EXPECT_NE(harness.AttemptSent(), harness.FindAction(ActionKind::kReject) != nullptr);
}

TEST(CounterQueue, CountersResponseDecidesUnderAConcurrencyCap) {
  Settings settings = ManyGatewaySettings();
  settings.plans[0].rate_units_per_s = settings.plans[0].burst_units = 0;
  settings.plans[0].max_in_flight = 2;
  for (double total : {2.0, 3.0}) {
    BalancerHarness harness(settings);
    harness.SubmitRequest(1, 0, 1.0, 9, 100);
    EXPECT_FALSE(harness.AttemptSent());
    const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
    ASSERT_NE(counter_call, nullptr);
    harness.now += 0.004;
    harness.RespondToCounterCall(counter_call->tag, total);
    EXPECT_EQ(harness.AttemptSent(), total <= 2);
  }
}

// A change of the attempts in flight that occurs while congestion control delays calls is reported as soon as
// the next call is allowed.
TEST(ConcurrencyCap, DelayedChangeOfAttemptsIsReportedByTimer) {
  Settings settings = TestSettings();
  settings.plans[0].rate_units_per_s = settings.plans[0].burst_units = 0;
  settings.plans[0].max_in_flight = 20;
  BalancerHarness harness(settings);
  std::vector<std::pair<uint32_t, uint32_t>> in_flight;
  double counter_total = 0;  // of attempts
  auto respond_to_calls = [&](bool slow) {
    for (bool more = true; more;) {
      more = false;
      Actions pending;
      pending.swap(harness.actions);
      for (const Action& action : pending) {
        if (action.kind != ActionKind::kCallCounter) continue;
        harness.now += slow ? 0.29 : 0;  // near the timeout, so that later calls are delayed
        counter_total += action.counter_delta;
        harness.RespondToCounterCall(action.tag, counter_total);
        more = true;
      }
    }
  };
  for (int i = 0; i < 5; ++i) {  // within one epoch
    uint32_t request_id = harness.SubmitRequest(1, 0, 1.0, 9, 2);
    ASSERT_TRUE(harness.AttemptSent());
    in_flight.emplace_back(request_id, harness.FindAction(ActionKind::kSendAttempt)->backend_id);
    respond_to_calls(true);
    harness.now += 0.3;
  }
  uint64_t tag = 0;
  double wait_s = -1;
  for (auto [request_id, backend_id] : in_flight) {
    harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
    for (const Action& action : harness.actions) {
      if (action.kind != ActionKind::kStartTimer || action.tag == request_id) continue;
      tag = action.tag;
      wait_s = action.duration_s;
    }
    respond_to_calls(false);
  }
  ASSERT_GT(wait_s, 0) << "the last change comes too soon after a call and has to wait";
  for (int i = 0; i < 20 && wait_s > 0; ++i) {
    harness.now += wait_s;
    wait_s = -1;
    harness.actions.clear();
    harness.balancer.OnTimer(harness.now, tag, &harness.actions);
    if (const Action* next_timer = harness.FindAction(ActionKind::kStartTimer))
      wait_s = next_timer->duration_s;
    respond_to_calls(false);
  }
  EXPECT_EQ(counter_total, 0) << "no attempt is in flight";
}

// If a plan has a rate and a cap, a queued request reads the total of the cap too: an old number of other
// gateways' attempts must not lead to rejections forever.
TEST(CounterQueue, CapOfAPlanWithARateIsReadAgainWhenItMayBeReached) {
  Settings settings = TestSettings();
  settings.counter_timeout_s = 0.03;
  settings.plans[0].max_in_flight = 2;
  settings.plans[0].burst_units = 100;
  for (double remote_attempts : {0.0, 2.0}) {
    BalancerHarness harness(settings);
    uint32_t first_request_id = harness.SubmitRequest(1, 0, 1.0, 9, 2);
    double reported_attempts = 0;
    auto respond_to_calls = [&](double total_elsewhere) {  // to each call in flight, once
      Actions pending_calls;
      for (const Action& call : harness.actions) {
        if (call.kind == ActionKind::kCallCounter) pending_calls.push_back(call);
      }
      Actions new_actions;
      for (const Action& call : pending_calls) {
        // A window's counter expires after three windows, an epoch's after 8 s.
        bool counts_units = call.duration_s > 10;
        if (!counts_units) reported_attempts += call.counter_delta;
        harness.RespondToCounterCall(
            call.tag, counts_units ? std::max(call.counter_delta, 0.0) : total_elsewhere + reported_attempts);
        new_actions.insert(new_actions.end(), harness.actions.begin(), harness.actions.end());
      }
      harness.actions = new_actions;
      return pending_calls.size();
    };
    while (respond_to_calls(2) > 0) {
    }
    harness.EndAttempt(first_request_id, 50, AttemptResult::kOk);
    while (respond_to_calls(2) > 0) {
    }
    harness.now += 3;  // within the window of 50 s
    harness.SubmitRequest(1, 0, 1.0, 9, 2);
    EXPECT_FALSE(harness.AttemptSent());
    bool sent = false;
    for (int i = 0; i < 4 && respond_to_calls(remote_attempts) > 0; ++i) sent = sent || harness.AttemptSent();
    EXPECT_EQ(sent, remote_attempts < 2);
  }
}

TEST(CounterQueue, CongestedCounterIsCalledLess) {
  int call_counts[2] = {0, 0};
  for (bool congested : {false, true}) {
    BalancerHarness harness(ManyGatewaySettings());
    for (int i = 0; i < 400; ++i) {
      harness.now += 0.25;
      uint32_t request_id = harness.SubmitRequest(1, 0, 1.0, 1000 + static_cast<uint64_t>(i), 100);
      if (const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
          counter_call != nullptr && !harness.AttemptSent()) {
        ++call_counts[congested];
        uint64_t counter_name = counter_call->tag;
        harness.now += congested ? 0.028 : 0.004;
        // Every second customer is beyond its quota.
        harness.RespondToCounterCall(counter_name, i % 2 == 0 ? 1 : 40);
      }
      if (const Action* send_action = harness.FindAction(ActionKind::kSendAttempt))
        harness.EndAttempt(request_id, send_action->backend_id, AttemptResult::kOk);
    }
  }
  EXPECT_GT(call_counts[0], 300);
  EXPECT_LT(call_counts[1], 200);
}

TEST(Fleet, NewBackendIsNotSentARequestByEveryGatewayAtOnce) {
  Settings settings = TestSettings();
  settings.gateway_count = 300;
  settings.counter_enabled = false;
  int sent = 0;
  for (uint64_t gateway = 0; gateway < 300; ++gateway) {
    Actions actions;
    Balancer balancer(settings, 1000 + gateway, 100, &actions);
    Endpoint endpoint;
    endpoint.id = 5;
    endpoint.started_s = 99.9;
    balancer.OnEndpointList(100, EndpointListKind::kCached, {endpoint}, &actions);
    Request request;
    request.id = 1;
    request.time_left_s = 1;
    request.units = 1;
    actions.clear();
    balancer.OnRequest(100.1, request, &actions);
    sent += std::count_if(actions.begin(), actions.end(),
                          [](const Action& action) { return action.kind == ActionKind::kSendAttempt; });
  }
  EXPECT_LT(sent, 10);
}

// Each of many gateways uses only a few fast backends, and its part of a cold backend's budget is less than
// one request at a time. The cold backend must still get what the whole fleet may send it.
TEST(Fleet, BackendInSlowStartGetsTheBudgetOfAllGateways) {
  Settings settings = TestSettings();
  settings.gateway_count = 40;
  settings.counter_enabled = false;
  int cold_attempts = 0, warm_attempts = 0;
  for (uint64_t gateway = 0; gateway < 40; ++gateway) {
    Actions actions;
    Balancer balancer(settings, 1000 + gateway, 100, &actions);
    std::vector<Endpoint> endpoints;
    for (uint32_t backend_id = 50; backend_id < 56; ++backend_id)
      endpoints.push_back({.id = backend_id, .weight = 1});
    balancer.OnEndpointList(100, EndpointListKind::kCached, endpoints, &actions);
    for (uint32_t i = 0; i < 100; ++i) {  // five per second; each ends before the next one
      double now = 100 + i * 0.2;
      if (i == 50) {
        Endpoint restarted{.id = 50, .weight = 1, .started_s = now};
        balancer.OnEndpointList(now, EndpointListKind::kDelta, {restarted}, &actions);
      }
      Request request;
      request.id = i + 1;
      request.customer_id = 1000 + i;
      request.time_left_s = 1;
      request.units = 1;
      actions.clear();
      balancer.OnRequest(now, request, &actions);
      auto send_action = std::find_if(actions.begin(), actions.end(), [](const Action& action) {
        return action.kind == ActionKind::kSendAttempt;
      });
      ASSERT_NE(send_action, actions.end());
      uint32_t backend_id = send_action->backend_id;
      if (i >= 50) (backend_id == 50 ? cold_attempts : warm_attempts) += 1;
      AttemptOutcome outcome;
      outcome.request_id = request.id;
      outcome.result = AttemptResult::kOk;
      outcome.request_finished = true;
      outcome.backend_id = backend_id;
      actions.clear();
      balancer.OnAttemptOutcome(now + (backend_id > 52 ? 0.05 : 0.15), outcome, &actions);
    }
  }
  // On average over these 10 s, a cold backend has half the capacity of a warm one.
  double attempts_per_warm_backend = warm_attempts / 5.0;
  EXPECT_GT(cold_attempts, attempts_per_warm_backend * 0.2);
  EXPECT_LT(cold_attempts, attempts_per_warm_backend * 0.6);
}

// One of many gateways gets a response from a given backend only every few seconds, so a single one has more
// weight than if responses were frequent.
TEST(Fleet, BackendThatBecomesSlowIsAvoidedAfterAFewRareResponses) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  BalancerHarness harness(settings, 2);
  int attempts_while_fast = 0, attempts_while_slow = 0;
  uint32_t preferred_backend = 0;
  for (int i = 0; i < 200; ++i) {  // one request in 3 s
    harness.now += 3;
    uint32_t request_id = harness.SubmitRequest(1, 0, 1.4, 1000 + static_cast<uint64_t>(i));
    ASSERT_TRUE(harness.AttemptSent());
    uint32_t backend_id = harness.FindAction(ActionKind::kSendAttempt)->backend_id;
    if (i == 0) preferred_backend = backend_id;
    (i < 150 ? attempts_while_fast : attempts_while_slow) += backend_id == preferred_backend;
    harness.now += backend_id == preferred_backend ? (i < 150 ? 0.02 : 0.14) : 0.05;
    harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
  }
  EXPECT_GT(attempts_while_fast, 100) << attempts_while_slow;
  EXPECT_LE(attempts_while_slow, 2);
}

// A request that is rejected before the counter has been read may find tokens later, so its client is told to
// return within the latency objective.
TEST(Fleet, OnlyCustomersOverAKnownBucketGetTheMaximumRetryAfter) {
  BalancerHarness harness(ManyGatewaySettings());
  ASSERT_EQ(harness.SubmitRequest(1, 0, 0.1, 9, 100), 1u);  // too little time left to be queued
  ASSERT_TRUE(harness.AttemptSent());
  const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
  ASSERT_NE(counter_call, nullptr);
  uint64_t counter_name = counter_call->tag;
  harness.SubmitRequest(1, 0, 0.1, 9, 100);
  ASSERT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  EXPECT_GT(harness.FindAction(ActionKind::kReject)->duration_s, 0);
  EXPECT_LT(harness.FindAction(ActionKind::kReject)->duration_s, 0.6);
  harness.RespondToCounterCall(counter_name, 40);  // more than the burst
  harness.SubmitRequest(1, 0, 0.1, 9, 100);
  ASSERT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  EXPECT_EQ(harness.FindAction(ActionKind::kReject)->duration_s, 2);
}

TEST(Fleet, SlowResponsesOfAllBackendsLowerTheAdmissionRatio) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  int admitted[2] = {0, 0};
  for (bool slow : {false, true}) {
    BalancerHarness harness(settings, 100);
    for (int i = 0; i < 200; ++i) {  // one request at a time, seldom the same backend twice
      uint32_t request_id = harness.SubmitRequest(1, 0, 1.4, 1000 + static_cast<uint64_t>(i));
      const Action* send_action = harness.FindAction(ActionKind::kSendAttempt);
      uint32_t backend_id = send_action != nullptr ? send_action->backend_id : 0;
      harness.now += slow ? 0.5 : 0.05;
      if (backend_id != 0) harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
      admitted[slow] += backend_id != 0;
    }
  }
  EXPECT_EQ(admitted[0], 200);
  EXPECT_LT(admitted[1], 130);
}

// A gateway that admits nothing gets no responses that could raise the admission ratio again. After slow
// responses, even a class of little value must not be shut out for seconds at more than a few gateways.
TEST(Fleet, AdmissionRatioRecoversWithoutResponses) {
  Settings settings = TestSettings();
  settings.counter_enabled = false;
  settings.classes[0].priority_weight = 0.01;  // almost nothing compared with the other classes
  int starved_gateways = 0;
  for (uint64_t gateway = 0; gateway < 20; ++gateway) {
    BalancerHarness harness(settings, 100, 100 + static_cast<double>(gateway));
    uint64_t customer_id = 1000 * (gateway + 1);
    for (int i = 0; i < 60; ++i) {
      uint32_t request_id = harness.SubmitRequest(1, 1, 1.4, ++customer_id);
      const Action* send_action = harness.FindAction(ActionKind::kSendAttempt);
      uint32_t backend_id = send_action != nullptr ? send_action->backend_id : 0;
      harness.now += 1.2;
      if (backend_id != 0) harness.EndAttempt(request_id, backend_id, AttemptResult::kOk);
    }
    bool any_sent = false;
    for (int i = 0; i < 100; ++i) {  // 4 s
      harness.SubmitRequest(1, 0, 1.4, ++customer_id);
      any_sent |= harness.AttemptSent();
      harness.now += 0.04;
    }
    starved_gateways += any_sent ? 0 : 1;
  }
  EXPECT_LE(starved_gateways, 2);
}

TEST(Input, InvalidCounterTotalsAndEmptyEndpointListsAreHarmless) {
  Settings settings = ManyGatewaySettings();
  settings.gateway_count = 3;
  BalancerHarness harness(settings);
  for (double total :
       {-5.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    harness.RespondToCounterCall(12345, total);  // a counter that was not called
    harness.SubmitRequest(1, 0, 1.0, 9, 1000);   // more entry gateways than gateways
    const Action* counter_call = harness.FindAction(ActionKind::kCallCounter);
    ASSERT_NE(counter_call, nullptr);
    harness.now += 6;
    harness.RespondToCounterCall(counter_call->tag, total);
  }
  harness.balancer.OnEndpointList(harness.now, EndpointListKind::kSnapshot, {}, &harness.actions);
  harness.SubmitRequest(1, 0, 1.0, 77, 1);
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  Endpoint endpoint;
  endpoint.id = 50;
  harness.balancer.OnEndpointList(harness.now, EndpointListKind::kSnapshot, {endpoint}, &harness.actions);
  EXPECT_TRUE(harness.ServeRequest(1, 78, 1));
}

TEST(Input, InvalidRequestsAreRejected) {
  BalancerHarness harness(TestSettings());
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  for (double units : {0.0, -1.0, nan, inf}) {
    harness.SubmitRequest(units);
    EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  }
  for (double time_left_s : {0.0, -1.0, nan}) {
    harness.SubmitRequest(1, 0, time_left_s);
    EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  }
  harness.SubmitRequest(1, 9);
  EXPECT_NE(harness.FindAction(ActionKind::kReject), nullptr);
  BalancerHarness no_backends(TestSettings(), 0);
  no_backends.SubmitRequest();
  EXPECT_NE(no_backends.FindAction(ActionKind::kReject), nullptr);
}

TEST(Input, UnknownIdsAreIgnored) {
  BalancerHarness harness(TestSettings());
  harness.EndAttempt(4711, 50, AttemptResult::kOk);
  harness.balancer.OnClientGone(harness.now, 4711, &harness.actions);
  harness.balancer.OnTimer(harness.now, 4711, &harness.actions);
  harness.balancer.OnResponseStarted(harness.now, 4711, 0, &harness.actions);
  harness.RespondToCounterCall(4711, 3);
  EXPECT_TRUE(harness.actions.empty());
}

}  // namespace
}  // namespace lemonchute::policy
