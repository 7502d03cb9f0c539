#include "net/backend_pool.h"

#include <chrono>
#include <utility>
#include <vector>

namespace lemonchute::net {

using policy::AttemptResult;

namespace {

// Idle connections are closed after this share of the backend's own idle limit. Otherwise a request could be
// written just as the backend closes the connection and would end in a reset.
constexpr double kIdleTimeoutShare = 0.7;
constexpr double kDefaultIdleS = 5;  // if the settings name no idle limit
// Subtracted from the grace period of a drain, for a stall of the process and the time that a list takes from
// discovery to this process.
constexpr double kDrainGraceMarginS = std::chrono::duration<double>(kMaxProcessStall).count() + 0.05;

}  // namespace

struct BackendPool::Backend {
  tcp::endpoint address;
  bool draining = false;
  Clock::time_point send_until{};                                    // while draining
  std::vector<std::shared_ptr<BackendConnection>> idle_connections;  // least recently used first
};

BackendPool::BackendPool(asio::io_context& io, double idle_s, double connect_timeout_s, double drain_grace_s,
                         size_t max_connections, Metrics* metrics, const MemoryBudget* memory)
    : io_(io), max_connections_(max_connections), metrics_(metrics), memory_(memory) {
  SetLimits(idle_s, connect_timeout_s, drain_grace_s);
}

void BackendPool::SetLimits(double idle_s, double connect_timeout_s, double drain_grace_s) {
  idle_timeout_ = Seconds(idle_s > 0 ? idle_s * kIdleTimeoutShare : kDefaultIdleS);
  connect_timeout_ = Seconds(connect_timeout_s);
  drain_grace_ = Seconds(std::max(0.0, drain_grace_s - kDrainGraceMarginS));
}

BackendPool::~BackendPool() {
  auto in_flight = std::move(in_flight_);
  in_flight_.clear();
  for (auto& [attempt, connection] : in_flight) connection->Abort();
  CloseIdle();
}

BackendPool::Backend* BackendPool::Find(uint32_t id) {
  auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : it->second.get();
}

void BackendPool::Update(uint32_t id, tcp::endpoint address) {
  auto& backend = backends_[id];
  if (backend == nullptr) backend = std::make_unique<Backend>();
  backend->draining = false;
  if (backend->address == address) return;
  backend->address = address;
  CloseIdleConnections(backend.get());  // to the old address
}

void BackendPool::Drain(uint32_t id) {
  Backend* backend = Find(id);
  if (backend == nullptr || backend->draining) return;
  backend->draining = true;
  backend->send_until = Clock::now() + drain_grace_;
  CloseIdleConnections(backend);
}

void BackendPool::Remove(uint32_t id) {
  Drain(id);
  backends_.erase(id);
}

void BackendPool::SetOffline(uint32_t id, bool offline) {
  if (!offline) {
    offline_.erase(id);
    return;
  }
  offline_.insert(id);
  if (Backend* backend = Find(id)) CloseIdleConnections(backend);
}

void BackendPool::CloseIdleConnections(Backend* backend) {
  auto idle = std::move(backend->idle_connections);
  backend->idle_connections.clear();
  for (auto& connection : idle) connection->CloseSocket();
}

void BackendPool::CloseIdle() {
  while (!idle_order_.empty()) idle_order_.front()->RemoveAndClose();
}

bool BackendPool::IsSendAllowed(uint32_t id) {
  const Backend* backend = Find(id);
  if (backend == nullptr || offline_.count(id) != 0) return false;
  return !backend->draining || Clock::now() < backend->send_until;
}

bool BackendPool::IsSendWithinGrace(uint32_t id, Clock::time_point now) {
  const Backend* backend = Find(id);
  if (backend == nullptr || offline_.count(id) != 0) return false;
  return !backend->draining || now < backend->send_until + Seconds(kDrainGraceMarginS) + kDeadlineSlack;
}

bool BackendPool::KeepIdle(uint32_t id, const tcp::endpoint& address,
                           std::shared_ptr<BackendConnection> connection) {
  Backend* backend = Find(id);
  if (backend == nullptr || backend->draining || !IsSendAllowed(id) || backend->address != address)
    return false;
  backend->idle_connections.push_back(std::move(connection));
  return true;
}

void BackendPool::RemoveIdle(uint32_t id, const BackendConnection* connection) {
  Backend* backend = Find(id);
  if (backend == nullptr) return;
  std::erase_if(backend->idle_connections,
                [connection](const auto& idle) { return idle.get() == connection; });
}

bool BackendPool::EnsureConnectionSlot() {
  if (connections_ < max_connections_) return true;
  if (idle_order_.empty()) return false;
  idle_order_.front()->RemoveAndClose();
  return true;
}

std::shared_ptr<BackendConnection> BackendPool::TakeIdle(Backend* backend) {
  auto& idle = backend->idle_connections;
  for (;;) {
    // Ordered by their last response, so the reusable ones come first. The latest of them is taken.
    auto position = std::partition_point(
        idle.begin(), idle.end(),
        [now = Clock::now()](const auto& connection) { return connection->IsReusable(now); });
    if (position == idle.begin()) return nullptr;
    std::shared_ptr<BackendConnection> candidate = std::move(*--position);
    idle.erase(position);
    candidate->LeaveIdleOrder();
    if (candidate->IsUsable()) return candidate;
    candidate->CloseSocket();
  }
}

uint64_t BackendPool::Send(uint32_t id, AttemptMessage message, AttemptLimits limits, Done done,
                           AttemptStream stream) {
  uint64_t attempt = ++last_attempt_;
  std::shared_ptr<BackendConnection> connection;
  if (IsSendAllowed(id)) {
    Backend* backend = Find(id);
    connection = TakeIdle(backend);
    if (connection == nullptr && EnsureConnectionSlot())
      connection = std::make_shared<BackendConnection>(this, id, backend->address);
  }
  if (connection == nullptr) {  // unknown backend, grace period over, or all connections in use
    asio::post(io_, [done = std::move(done)] {
      AttemptEnd end;
      end.result = AttemptResult::kConnectFailed;
      end.cause = AttemptEndCause::kNotConnected;
      done(std::move(end));
    });
    return attempt;
  }
  in_flight_[attempt] = connection;
  connection->Start(attempt, std::move(message), limits, std::move(done), std::move(stream));
  return attempt;
}

bool BackendPool::Cancel(uint64_t attempt, bool* may_have_run) {
  auto it = in_flight_.find(attempt);
  if (it == in_flight_.end()) return false;
  std::shared_ptr<BackendConnection> connection = it->second;
  *may_have_run = connection->may_have_run();
  connection->Abort();
  return true;
}

void BackendPool::FailIfUnwritten(uint64_t attempt) {
  auto it = in_flight_.find(attempt);
  if (it == in_flight_.end() || it->second->may_have_run()) return;
  std::shared_ptr<BackendConnection> connection = it->second;
  connection->FailUnwritten();
}

bool BackendPool::CancelIfConnecting(uint64_t attempt) {
  auto it = in_flight_.find(attempt);
  bool may_have_run = false;
  return it != in_flight_.end() && !it->second->open() && Cancel(attempt, &may_have_run);
}

}  // namespace lemonchute::net
