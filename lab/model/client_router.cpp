// The weights of a set are ranks in a random order that changes with each epoch of shift_s; rank r weighs
// (r + 1)^-skew. An order is a hash of customer and epoch, so nothing has to be kept.
#include "model/client_router.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::lab {

ClientRouter::ClientRouter(const RunSpec& day)
    : day_(&day), unseen_until_(static_cast<size_t>(day.gateways), kNever) {}

Random ClientRouter::Habits(uint32_t arrival, int number, uint64_t what) const {
  return Random(day_->seed, Stream::kClients,
                (static_cast<uint64_t>(arrival) << 8) + (static_cast<uint64_t>(number) << 3) + what);
}

int ClientRouter::PickGateway(uint32_t arrival, int number, Micros now) const {
  uint32_t customer = day_->arrivals[arrival].customer;
  const Customer& c = day_->customers[customer];
  // The epochs of customers are out of step with one another.
  Random own(day_->seed, Stream::kClients, (uint64_t{1} << 38) + customer);
  double phase = own.Uniform(0, day_->shift_s), part = own.Uniform(0, 1);
  auto epoch = static_cast<uint64_t>((ToSeconds(now) + phase) / day_->shift_s) + 1;
  for (Micros shift : day_->shifts) epoch += now >= shift && part < day_->shift_share ? 1000 : 0;
  Random order(day_->seed + epoch, Stream::kClients, (uint64_t{1} << 39) + customer);
  std::vector<int> rank(static_cast<size_t>(c.gateway_count));
  for (int i = 0; i < c.gateway_count; ++i) rank[static_cast<size_t>(i)] = i;
  order.Shuffle(&rank);
  Random habits = Habits(arrival, number, 0);
  bool hot = now >= day_->hot_from && now < day_->hot_to && habits.Chance(day_->hot_share);
  double total = 0;
  std::vector<double> weight(static_cast<size_t>(c.gateway_count));
  for (int i = 0; i < c.gateway_count; ++i) {
    auto at = static_cast<size_t>(i);
    int gateway = (c.first_gateway + i) % day_->gateways;
    bool up = now < unseen_until_[static_cast<size_t>(gateway)];
    weight[at] = up ? (hot ? (rank[at] == 0 ? 1 : 1e-9) : std::pow(rank[at] + 1, -day_->skew)) : 0;
    total += weight[at];
  }
  if (total <= 0) return -1;
  double x = habits.Uniform(0, total);
  for (int i = 0; i < c.gateway_count; ++i) {
    x -= weight[static_cast<size_t>(i)];
    if (x < 0 && weight[static_cast<size_t>(i)] > 0) return (c.first_gateway + i) % day_->gateways;
  }
  for (int i = c.gateway_count; i-- > 0;) {
    if (weight[static_cast<size_t>(i)] > 0) return (c.first_gateway + i) % day_->gateways;
  }
  return -1;
}

void ClientRouter::OnGatewayDown(int gateway, Micros now) {
  Micros& until = unseen_until_[static_cast<size_t>(gateway)];
  until = std::min(until, now + FromSeconds(day_->front_notice_s));
}

void ClientRouter::OnGatewayDraining(int gateway, Micros now) {
  Micros& until = unseen_until_[static_cast<size_t>(gateway)];
  until = std::min(until, now + FromSeconds(0.3));  // asks ten times a second, and stops 0.2 s after a no
}

void ClientRouter::OnGatewayReady(int gateway) { unseen_until_[static_cast<size_t>(gateway)] = kNever; }

Micros ClientRouter::TryTimeout(uint32_t arrival, Micros now) const {
  const Arrival& a = day_->arrivals[arrival];
  double deadline = day_->classes[static_cast<size_t>(a.class_index)].deadline_s;
  Micros left = a.at + FromSeconds(deadline) - now;
  return std::max<Micros>(1000,
                          std::min(left, FromSeconds(day_->try_timeout_share * deadline)) / 1000 * 1000);
}

bool ClientRouter::KeepsConnectionUntilEnd(uint32_t arrival, int number) const {
  return day_->use_until_end_share > 0 && Habits(arrival, number, 4).Chance(day_->use_until_end_share);
}

std::optional<Micros> ClientRouter::LeavesAfter(uint32_t arrival, int number, Micros patience) const {
  Random habits = Habits(arrival, number, 1);
  if (!habits.Chance(day_->impatient_share)) return std::nullopt;
  return FromSeconds(habits.Uniform(0.05, 0.8) * ToSeconds(patience));
}

std::optional<Micros> ClientRouter::RetryAt(uint32_t arrival, int number, Micros now,
                                            double retry_after_s) const {
  if (number >= day_->retries) return std::nullopt;
  const Arrival& a = day_->arrivals[arrival];
  Random habits = Habits(arrival, number, 2), client = Habits(arrival, 0, 3);
  double wait = day_->backoff_s * (day_->backoff_grows ? std::pow(2, number) : 1) * habits.Uniform(0.5, 1.5);
  if (retry_after_s > 0 && client.Chance(day_->heeds_retry_after_share))
    wait = std::max(wait, std::min(retry_after_s, day_->max_retry_after_s));
  Micros at = now + FromSeconds(wait);
  double deadline = day_->classes[static_cast<size_t>(a.class_index)].deadline_s;
  // With less than a millisecond left there is nothing to wait for.
  return at + 1000 < a.at + FromSeconds(deadline) ? std::optional(at) : std::nullopt;
}

}  // namespace lemonchute::lab
