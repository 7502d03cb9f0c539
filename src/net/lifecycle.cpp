#include "net/lifecycle.h"

#include <algorithm>
#include <cstdio>
#include <string>

#include "net/resource_limits.h"

namespace lemonchute::net {
namespace {

// Longest time from the start until a process that is alone accepts connections.
constexpr double kMaxStartupS = 10;
// How often the peer process is looked for, and the time that it takes to notice this one.
constexpr double kPeerProcessPollS = 0.1;
constexpr double kPeerNoticeS = 0.3;
// New connections arrive for up to 0.4 s after SIGTERM. Then connections without a request are closed.
constexpr double kLateArrivalS = 0.5;
constexpr double kIdleClosePeriodS = 0.5;
// SIGKILL follows SIGTERM after the longest request deadline, capped at 3 s, plus 0.7 s. The process ends
// 0.1 s before that.
constexpr double kMaxDeadlineAtShutdownS = 3;
constexpr double kShutdownMarginS = 0.6;
// How long before the end of the process the last responses are sent, so that clients can read them.
constexpr double kFinalResponseLeadS = 0.1;
// If SIGKILL does not come, how often it is looked at whether responses are still being written.
constexpr double kResponsePollS = 0.05;

double LongestDeadlineS(const policy::Settings& settings) {
  double longest_s = 0;
  for (const auto& request_class : settings.classes) {
    if (!request_class.removed) longest_s = std::max(longest_s, request_class.deadline_s);
  }
  return longest_s;
}

}  // namespace

Lifecycle::Lifecycle(const Parts& parts)
    : io_(parts.io),
      config_(parts.config),
      process_(parts.process),
      server_(parts.server),
      pool_(parts.pool),
      memory_(parts.memory),
      policy_(parts.policy),
      requests_(parts.requests),
      offline_backends_(parts.offline_backends),
      config_manager_(parts.config_manager),
      members_(parts.members),
      metrics_(parts.metrics),
      started_at_(Clock::now()),
      peer_process_(config_->state_folder),
      peer_process_alive_(peer_process_.Alive()),
      peer_noticed_at_(Clock::now() + Seconds(peer_process_alive_ ? kPeerNoticeS : 0)),
      peer_process_timer_(io_),
      drain_timer_(io_),
      shutdown_timer_(io_) {}

void Lifecycle::Start() {
  inherited_listener_ = config_->passed_socket >= 0 && server_.Adopt(config_->passed_socket);
  if (!inherited_listener_) server_.Listen(config_->listen);
  ApplyResourceLimits();
  if (peer_process_alive_) ReportProcessCount();
  // While a peer process is alive, connections are accepted only once they can be served here. A process that
  // is alone accepts them at once, since no other process would.
  if (!peer_process_alive_) StartAccepting();
  if (!config_->state_folder.empty()) PollPeerProcess();
}

void Lifecycle::StartAccepting() {
  if (process_.accepting) return;
  process_.accepting = true;
  double took_s = std::chrono::duration<double>(Clock::now() - started_at_).count();
  if (took_s > kMaxStartupS && !peer_process_alive_)
    metrics_.invariants.RecordViolation(Invariant::kReadyInTime, "took_s=" + std::to_string(took_s));
  server_.Accept();
}

// Looks for the peer process and for files that it has written.
void Lifecycle::PollPeerProcess() {
  offline_backends_.Refresh();
  config_manager_.PollRevisionLog();
  UpdatePeerProcess();
  if (!peer_process_alive_ || (process_.endpoint_list_known && Clock::now() >= peer_noticed_at_))
    StartAccepting();
  peer_process_timer_.expires_after(Seconds(kPeerProcessPollS));
  peer_process_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) PollPeerProcess();
  });
}

void Lifecycle::UpdatePeerProcess() {
  bool alive = peer_process_.Alive();
  if (alive == peer_process_alive_) return;
  peer_process_alive_ = alive;
  std::fprintf(stderr, alive ? "another process of this gateway has started\n"
                             : "the other process of this gateway has ended\n");
  ApplyResourceLimits();
  ReportProcessCount();
}

void Lifecycle::ReportProcessCount() {
  policy_.Dispatch([this](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnProcessCount(now_s, ProcessCount(), actions);
  });
}

void Lifecycle::ApplyResourceLimits() {
  ResourceLimits limits = ComputeResourceLimits(*config_, ProcessCount());
  server_.SetMaxConnections(limits.client_connections);
  memory_.SetLimit(limits.memory_bytes);
  server_.SetBufferBudget(limits.body_bytes);
  pool_.SetBufferBudget(limits.body_bytes);
  pool_.SetMaxConnections(limits.backend_connections);
}

void Lifecycle::StartDraining() {
  if (process_.draining) return;
  process_.draining = true;
  members_.Leave(false);
  drain_timer_.Start(Seconds(kLateArrivalS), [this] {
    server_.SetCloseAfterResponse(true);
    CloseIdleConnections();
  });
}

void Lifecycle::CloseIdleConnections() {
  server_.CloseIdle();
  CheckShutdown();
  drain_timer_.Start(Seconds(kIdleClosePeriodS), [this] { CloseIdleConnections(); });
}

void Lifecycle::StopDraining() {
  process_.draining = false;
  members_.Return();
  drain_timer_.Cancel();
  server_.SetCloseAfterResponse(false);
}

void Lifecycle::Shutdown() {
  if (process_.IsShuttingDown()) return;
  process_.shutdown_began_at = Clock::now();
  config_manager_.StopUpdates();
  members_.Leave(peer_process_.Alive());
  StartDraining();
  server_.SetCloseAfterResponse(true);  // at once, since a shutdown is final
  // The peer process accepts the connections in the listener's queue.
  if (inherited_listener_) server_.StopAccepting();
  ScheduleEnd();
}

void Lifecycle::ScheduleEnd() {
  double grace_s = std::min(LongestDeadlineS(config_->settings), kMaxDeadlineAtShutdownS) + kShutdownMarginS;
  Clock::time_point end_at = *process_.shutdown_began_at + Seconds(grace_s);
  process_.final_response_at = end_at - Seconds(kFinalResponseLeadS);
  shutdown_timer_.expires_at(*process_.final_response_at);
  shutdown_timer_.async_wait([this, end_at](error_code cancelled) {
    if (cancelled) return;
    requests_.FailAllUnstarted();
    shutdown_timer_.expires_at(end_at);
    shutdown_timer_.async_wait([this](error_code stopped) {
      if (!stopped) EndOnceResponsesAreWritten();
    });
  });
}

// A process that ended by itself would cut off the responses that have begun. Each of them has its own limits
// on a backend that stops and a client that takes too little.
void Lifecycle::EndOnceResponsesAreWritten() {
  if (requests_.unanswered() == 0 && !server_.IsWriting()) return io_.stop();
  shutdown_timer_.expires_after(Seconds(kResponsePollS));
  shutdown_timer_.async_wait([this](error_code stopped) {
    if (!stopped) EndOnceResponsesAreWritten();
  });
}

// Posted, since the connection counts as open until its end has been processed.
void Lifecycle::OnClientClosed() {
  if (process_.IsShuttingDown()) asio::post(io_, [this] { CheckShutdown(); });
}

void Lifecycle::CheckShutdown() {
  if (!process_.IsShuttingDown() || Clock::now() < *process_.shutdown_began_at + Seconds(kLateArrivalS))
    return;
  server_.CloseIdle();
  if (requests_.unanswered() == 0 && server_.HasNoConnections()) io_.stop();
}

}  // namespace lemonchute::net
