// The weights of a customer's gateways are ranks in a random order that changes with each epoch of shift_s;
// rank r has weight (r + 1)^-skew. The order is seeded by customer and epoch, so no state is kept.
#include "model/client_router.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::lab {

ClientRouter::ClientRouter(const RunSpec& spec)
    : spec_(&spec), visible_until_(static_cast<size_t>(spec.gateways), kNever) {}

Random ClientRouter::RandomFor(uint32_t arrival, int number, uint64_t purpose) const {
  return Random(spec_->seed, Stream::kClients,
                (static_cast<uint64_t>(arrival) << 8) + (static_cast<uint64_t>(number) << 3) + purpose);
}

int ClientRouter::PickGateway(uint32_t arrival, int number, Micros now) const {
  uint32_t customer = spec_->arrivals[arrival].customer;
  const Customer& customer_spec = spec_->customers[customer];
  // The epochs of different customers are out of phase.
  Random customer_random(spec_->seed, Stream::kClients, (uint64_t{1} << 38) + customer);
  double phase = customer_random.Uniform(0, spec_->shift_s), shift_draw = customer_random.Uniform(0, 1);
  auto epoch = static_cast<uint64_t>((ToSeconds(now) + phase) / spec_->shift_s) + 1;
  for (Micros shift : spec_->shifts) epoch += now >= shift && shift_draw < spec_->shift_share ? 1000 : 0;
  Random shuffle_random(spec_->seed + epoch, Stream::kClients, (uint64_t{1} << 39) + customer);
  std::vector<int> ranks(static_cast<size_t>(customer_spec.gateway_count));
  for (int i = 0; i < customer_spec.gateway_count; ++i) ranks[static_cast<size_t>(i)] = i;
  shuffle_random.Shuffle(&ranks);
  Random random = RandomFor(arrival, number, 0);
  bool hot = now >= spec_->hot_from && now < spec_->hot_to && random.Chance(spec_->hot_share);
  double total = 0;
  std::vector<double> weights(static_cast<size_t>(customer_spec.gateway_count));
  for (int i = 0; i < customer_spec.gateway_count; ++i) {
    auto index = static_cast<size_t>(i);
    int gateway = (customer_spec.first_gateway + i) % spec_->gateways;
    bool up = now < visible_until_[static_cast<size_t>(gateway)];
    weights[index] =
        up ? (hot ? (ranks[index] == 0 ? 1 : 1e-9) : std::pow(ranks[index] + 1, -spec_->skew)) : 0;
    total += weights[index];
  }
  if (total <= 0) return -1;
  double draw = random.Uniform(0, total);
  for (int i = 0; i < customer_spec.gateway_count; ++i) {
    draw -= weights[static_cast<size_t>(i)];
    if (draw < 0 && weights[static_cast<size_t>(i)] > 0)
      return (customer_spec.first_gateway + i) % spec_->gateways;
  }
  for (int i = customer_spec.gateway_count; i-- > 0;) {
    if (weights[static_cast<size_t>(i)] > 0) return (customer_spec.first_gateway + i) % spec_->gateways;
  }
  return -1;
}

void ClientRouter::OnGatewayDown(int gateway, Micros now) {
  Micros& until = visible_until_[static_cast<size_t>(gateway)];
  until = std::min(until, now + FromSeconds(spec_->front_notice_s));
}

void ClientRouter::OnGatewayDraining(int gateway, Micros now) {
  Micros& until = visible_until_[static_cast<size_t>(gateway)];
  // The front polls ten times a second and stops routing 0.2 s after a negative answer.
  until = std::min(until, now + FromSeconds(0.3));
}

void ClientRouter::OnGatewayReady(int gateway) { visible_until_[static_cast<size_t>(gateway)] = kNever; }

Micros ClientRouter::TryTimeout(uint32_t arrival, Micros now) const {
  const Arrival& a = spec_->arrivals[arrival];
  double deadline = spec_->classes[static_cast<size_t>(a.class_index)].deadline_s;
  Micros left = a.at + FromSeconds(deadline) - now;
  return std::max<Micros>(1000,
                          std::min(left, FromSeconds(spec_->try_timeout_share * deadline)) / 1000 * 1000);
}

bool ClientRouter::KeepsConnectionUntilEnd(uint32_t arrival, int number) const {
  return spec_->use_until_end_share > 0 && RandomFor(arrival, number, 4).Chance(spec_->use_until_end_share);
}

std::optional<Micros> ClientRouter::LeavesAfter(uint32_t arrival, int number, Micros timeout) const {
  Random random = RandomFor(arrival, number, 1);
  if (!random.Chance(spec_->impatient_share)) return std::nullopt;
  return FromSeconds(random.Uniform(0.05, 0.8) * ToSeconds(timeout));
}

std::optional<Micros> ClientRouter::RetryAt(uint32_t arrival, int number, Micros now,
                                            double retry_after_s) const {
  if (number >= spec_->retries) return std::nullopt;
  const Arrival& a = spec_->arrivals[arrival];
  Random random = RandomFor(arrival, number, 2), client = RandomFor(arrival, 0, 3);
  double wait =
      spec_->backoff_s * (spec_->backoff_grows ? std::pow(2, number) : 1) * random.Uniform(0.5, 1.5);
  if (retry_after_s > 0 && client.Chance(spec_->heeds_retry_after_share))
    wait = std::max(wait, std::min(retry_after_s, spec_->max_retry_after_s));
  Micros at = now + FromSeconds(wait);
  double deadline = spec_->classes[static_cast<size_t>(a.class_index)].deadline_s;
  // With less than a millisecond left a retry is pointless.
  return at + 1000 < a.at + FromSeconds(deadline) ? std::optional(at) : std::nullopt;
}

}  // namespace lemonchute::lab
