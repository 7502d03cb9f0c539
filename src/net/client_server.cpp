#include "net/client_server.h"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

namespace lemonchute::net {
namespace {

// At the connection limit, one in this many connections is evicted if it is idle.
constexpr size_t kEvictionDivisor = 8;
// How often a connection that is not read from for want of memory is looked at again.
constexpr auto kResumeInterval = std::chrono::milliseconds(20);
constexpr auto kLogInterval = std::chrono::seconds(5);  // for each kind of line

// Whether a line may be logged that was logged last at `*logged_at`, which is then updated.
bool TakeLogLine(Clock::time_point* logged_at) {
  auto now = Clock::now();
  if (now < *logged_at + kLogInterval) return false;
  *logged_at = now;
  return true;
}

}  // namespace

ClientServer::ClientServer(asio::io_context& io, size_t max_connections, MemoryBudget& memory,
                           OnRequest on_request, OnClosed on_closed)
    : io_(io),
      listener_(io),
      max_connections_(max_connections),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      memory_(memory),
      resume_timer_(io) {}

ClientServer::~ClientServer() {
  for (auto& [id, connection] : connections_) connection->Detach();
}

void ClientServer::SetMaxConnections(size_t connections) {
  max_connections_ = connections;
  ResumeAccepting();
}

void ClientServer::Accept() {
  listener_.Accept([this](tcp::socket socket) {
    OnAccepted(std::move(socket));
    if (connections_.size() >= max_connections_) EvictIdle();
    accept_paused_ = connections_.size() >= max_connections_;
    if (!accept_paused_) Accept();
  });
}

void ClientServer::ResumeAccepting() {
  if (!accept_paused_ || connections_.size() >= max_connections_) return;
  accept_paused_ = false;
  Accept();
}

// Closes the connections that have been idle longest. A slot becomes free only when the client has closed its
// side or the linger timeout has passed, so several are evicted at once, and none while evictions are
// pending.
void ClientServer::EvictIdle() {
  std::vector<uint64_t> oldest(idle_order_.begin(), idle_order_.end());
  size_t wanted = lingering_connections_ > 0 ? 0 : 1 + max_connections_ / kEvictionDivisor;
  for (size_t i = 0; i < oldest.size() && wanted > 0; ++i) {
    bool just_accepted = oldest[i] == last_id_;
    if (!just_accepted && connections_.at(oldest[i])->CloseIfIdle(kEvictionLinger)) --wanted;
  }
}

void ClientServer::OnAccepted(tcp::socket socket) {
  ConfigureSocket(socket);
  uint64_t id = ++last_id_;
  auto connection = std::make_shared<ClientConnection>(this, id, std::move(socket));
  connections_[id] = connection;
  connection->Start();
}

void ClientServer::OnConnectionClosed(uint64_t id, bool in_flight, CloseReason reason) {
  connections_.erase(id);
  on_closed_(id, in_flight, reason);
  ResumeAccepting();
}

std::shared_ptr<ClientConnection> ClientServer::Find(uint64_t id) const {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : it->second;
}

void ClientServer::Reply(uint64_t id, ClientResponse response) {
  if (auto connection = Find(id)) connection->Reply(response);
}

void ClientServer::Pull(uint64_t id, OnPiece on_piece) {
  if (auto connection = Find(id)) connection->Pull(std::move(on_piece));
}

Clock::time_point ClientServer::IncompleteUntil(uint64_t id) const {
  auto connection = Find(id);
  return connection == nullptr ? Clock::now() : connection->IncompleteUntil();
}

void ClientServer::BeginStream(uint64_t id, const std::string& headers, std::optional<uint64_t> length) {
  if (auto connection = Find(id)) connection->BeginStream(headers, length);
}

void ClientServer::SendPiece(uint64_t id, const std::string& piece, std::function<void()> on_consumed) {
  if (auto connection = Find(id)) connection->SendPiece(piece, std::move(on_consumed));
}

bool ClientServer::IsClientConnected(uint64_t id) const {
  auto connection = Find(id);
  return connection != nullptr && connection->IsClientConnected();
}

void ClientServer::CloseDisconnected(uint64_t id) {
  if (auto connection = Find(id)) connection->Close(CloseReason::kClientEnded);
}

size_t ClientServer::MaxBufferedBytes() const {
  size_t share = buffer_budget_bytes_ / std::max<size_t>(1, connections_.size());
  return std::min(share, memory_.MaxBodyBytes());
}

void ClientServer::PauseReading(uint64_t id) {
  paused_.push_back(id);
  if (paused_.size() == 1) resume_timer_.Start(kResumeInterval, [this] { ResumeReading(); });
}

void ClientServer::CountMemoryRefusal() {
  ++memory_refusals_;
  if (!TakeLogLine(&memory_refusal_logged_at_)) return;
  std::fprintf(stderr,
               "memory is short, requests are refused: %llu so far, heap %zu of %zu bytes, %zu clients\n",
               static_cast<unsigned long long>(memory_refusals_), HeapBytesInUse(), memory_.limit_bytes(),
               connections_.size());
}

void ClientServer::LogSlowReader(uint64_t id, const SendWatch& watch) {
  if (!TakeLogLine(&slow_reader_logged_at_)) return;
  std::fprintf(stderr, "connection=%llu closed, its client is slow: took %llu bytes, %llu wait\n",
               static_cast<unsigned long long>(id), static_cast<unsigned long long>(watch.taken_bytes()),
               static_cast<unsigned long long>(watch.waiting_bytes()));
}

void ClientServer::ResumeReading() {
  for (uint64_t id : std::exchange(paused_, {})) {
    if (auto connection = Find(id)) connection->ResumeReading();
  }
}

bool ClientServer::IsWriting() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->IsWriting(); });
}

void ClientServer::CloseIdle() {
  std::vector<uint64_t> ids(idle_order_.begin(), idle_order_.end());
  for (uint64_t id : ids) {
    if (auto connection = Find(id)) connection->CloseIfIdle(kLingerTimeout);
  }
}

}  // namespace lemonchute::net
