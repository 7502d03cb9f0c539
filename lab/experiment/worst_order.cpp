// Each round plays a hand of neighbours of the worst order so far: a run of it moved elsewhere or turned
// round.
#include "experiment/worst_order.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>

#include "experiment/runner.h"
#include "model/random.h"

namespace lemonchute::lab {
namespace {

constexpr int kHand = 16;  // orders a round

EventConfig* PowerLossOf(Scenario* scenario) {
  for (EventConfig& e : scenario->events) {
    if (e.kind == "power-loss") return &e;
  }
  throw std::invalid_argument("the scenario has no power-loss");
}

std::vector<int> Neighbour(std::vector<int> order, Random* random) {
  auto n = static_cast<int>(order.size());
  if (n < 2) return order;
  auto at = [&](int i) { return order.begin() + i; };
  int from = random->UniformInt(n), to = from + 1 + random->UniformInt(std::max(1, n / 4));
  to = std::min(to, n);
  if (random->Chance(0.5)) {
    std::reverse(at(from), at(to));
    return order;
  }
  std::vector<int> run(at(from), at(to));
  order.erase(at(from), at(to));
  order.insert(at(random->UniformInt(static_cast<int>(order.size()) + 1)), run.begin(), run.end());
  return order;
}

}  // namespace

WorstOrder FindWorstOrder(const Scenario& scenario, const OrderWish& wish) {
  WorstOrder found;
  found.scenario = scenario;
  EventConfig* loss = PowerLossOf(&found.scenario);
  loss->order = "drawn";  // as the targets stand
  std::vector<int> order = loss->targets;
  if (order.empty()) {
    order.resize(static_cast<size_t>(scenario.gateways.lo));
    std::iota(order.begin(), order.end(), 0);
  }
  std::sort(order.begin(), order.end());
  Random random(wish.seed, Stream::kFaults, 2);
  auto play = [&](const std::vector<std::vector<int>>& orders) {
    Batch batch;
    for (const std::vector<int>& one : orders) {
      loss->targets = one;
      batch.scenarios.push_back(found.scenario);
    }
    batch.first_seed = batch.last_seed = wish.seed, batch.jobs = wish.jobs;
    std::vector<OrderCost> costs;
    std::vector<nlohmann::json> reports = Play(batch);
    for (size_t i = 0; i < orders.size(); ++i)
      costs.push_back({orders[i], reports[i].value("lost_to_troubles", 0.0)});
    found.plays += static_cast<int>(orders.size());
    if (wish.progress) wish.progress(std::min(1.0, static_cast<double>(found.plays) / wish.plays));
    return costs;
  };
  auto more = [](const OrderCost& a, const OrderCost& b) { return a.lost < b.lost; };
  std::vector<std::vector<int>> hand = {order, {order.rbegin(), order.rend()}};
  while (static_cast<int>(hand.size()) < kHand) {
    random.Shuffle(&order);
    hand.push_back(order);
  }
  std::vector<OrderCost> first = play(hand);
  found.up = first[0], found.down = first[1];
  for (size_t i = 2; i < first.size(); ++i) found.drawn.push_back(first[i].lost);
  found.worst = *std::max_element(first.begin(), first.end(), more);
  while (found.plays + kHand <= wish.plays) {
    hand.clear();
    for (int i = 0; i < kHand; ++i) hand.push_back(Neighbour(found.worst.order, &random));
    std::vector<OrderCost> costs = play(hand);
    found.worst = std::max(found.worst, *std::max_element(costs.begin(), costs.end(), more), more);
  }
  loss->targets = found.worst.order;
  return found;
}

}  // namespace lemonchute::lab
