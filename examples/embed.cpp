// Minimal use of the decision module: one gateway, one plan, one request from arrival to response.
#include <cstdio>

#include "policy/balancer.h"

namespace policy = lemonchute::policy;

int main() {
  policy::Settings settings;
  settings.gateway_count = 1;
  settings.timer_resolution_s = 0.002;
  settings.discovery_pushes = true;
  settings.max_request_units = 4;
  settings.max_attempts = 3;
  settings.cold_capacity_share = 0.2;
  settings.warm_up_s = 15;
  settings.cold_overload_multiple = 2;
  settings.cold_overload_window_s = 1;
  policy::ClassSettings read;
  read.latency_objective_s = 0.5;
  read.deadline_s = 1.5;
  read.priority_weight = 1;
  settings.classes.push_back(read);
  policy::PlanSettings plan;
  plan.rate_units_per_s = 2;
  plan.burst_units = 6;
  plan.overage_cost = 1;
  plan.price = 1;
  settings.plans.push_back(plan);

  policy::Actions actions;
  double now = 1000;  // the caller's clock, in seconds, the same at every gateway
  policy::Balancer balancer(settings, 42, now, &actions);
  policy::Endpoint backend;
  backend.id = 7;
  balancer.OnEndpointList(now, policy::EndpointListKind::kSnapshot, {backend}, &actions);

  policy::Request request;
  request.id = 1;
  request.customer_id = 99;
  request.time_left_s = 1.2;
  request.units = 1;
  balancer.OnRequest(now, request, &actions);
  for (const policy::Action& action : actions) {
    if (action.kind != policy::ActionKind::kSendAttempt) continue;
    std::printf("send request %u to backend %u\n", action.request_id, action.backend_id);
    policy::AttemptOutcome outcome;
    outcome.request_id = action.request_id;
    outcome.backend_id = action.backend_id;
    outcome.request_finished = true;
    actions.clear();
    balancer.OnAttemptOutcome(now + 0.05, outcome, &actions);
    return 0;
  }
  std::printf("rejected\n");
  return 1;
}
