// The life of client requests from arrival to response: attempts, deadlines and outcomes.
#ifndef LEMONCHUTE_NET_REQUEST_LIFECYCLE_H_
#define LEMONCHUTE_NET_REQUEST_LIFECYCLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/backend_pool.h"
#include "net/client_server.h"
#include "net/config.h"
#include "net/in_flight_request.h"
#include "net/metrics.h"
#include "net/policy_dispatcher.h"
#include "net/process_state.h"
#include "net/recent_requests.h"
#include "net/request_log.h"
#include "net/timer_queue.h"

namespace lemonchute::net {

/// Owns the requests in flight. Each gets exactly one response, or its client's connection ends first.
///
/// Passes events of the client server and the backend pool to the policy and executes the policy's actions on
/// requests. An event that results from an action is posted, so that it is handled after all actions of the
/// current event.
class RequestLifecycle {
 public:
  /// Dependencies. All must outlive the RequestLifecycle, and so must the callbacks given to them.
  struct Parts {
    asio::io_context& io;
    const std::shared_ptr<const Config>& config;  // the running configuration
    const ProcessState& process;
    ClientServer& server;
    BackendPool& pool;
    PolicyDispatcher& policy;
    TimerQueue& timers;
    Metrics& metrics;
    RecentRequests& recent_requests;
    std::function<void()> on_attempt_end;  // called after the end of an attempt was reported
  };

  explicit RequestLifecycle(Parts parts);

  // Events of the client server.
  void OnClientRequest(uint64_t connection, ClientMessage message, const std::optional<Upload>& upload);
  /// @param unanswered whether a request on the connection has no response yet.
  void OnClientClosed(uint64_t connection, bool unanswered, CloseReason reason);

  // Actions of the policy.
  void SendAttempt(const policy::Action& action);
  void CancelAttempt(uint32_t id, int attempt, uint32_t backend);
  void Reject(const policy::Action& action);
  void Fail(uint32_t id);

  /// Responds to a request that the policy has not decided on shortly before its client gives up.
  void OnResponseDeadline(uint32_t id);
  /// Fails all requests whose response has not begun.
  void FailAllUnstarted();

  /// @return the number of attempts whose end was not reported yet
  size_t CountAttemptsInFlight() const;
  /// @return the number of requests that have no response yet
  size_t unanswered() const { return unanswered_by_connection_.size(); }

 private:
  // When an attempt is checked: when the policy decides on it, and again before its first byte is written.
  enum class SendCheck { kDecided, kWriting };

  InFlightRequest* Find(uint32_t id);
  uint32_t NextId();
  void RespondToHealthCheck(uint64_t connection, std::string_view target);

  void StartResponseTimer(uint32_t id);
  bool IsRepeat(const ClientMessage& message, const ClientCall& call);
  SendVerdict CheckAttempt(const InFlightRequest& request, int attempt, SendCheck when);
  AttemptMessage MakeAttemptMessage(uint32_t id, const InFlightRequest& request, int attempt);
  AttemptStream MakeAttemptStream(uint32_t id, const InFlightRequest& request, int attempt);
  void PullUpload(uint32_t id, std::function<void(RequestPiece)> deliver);
  double OnUploadEnd(uint32_t id);  // returns the time left for the response, in seconds
  Clock::time_point ResponseDeadlineOfUpload(const InFlightRequest& request) const;
  void CheckUploadDeadline(uint32_t id);
  void FailStalledAttempts(uint32_t id);
  bool OnResponseStarted(uint32_t id, int attempt, const std::string& headers,
                         std::optional<uint64_t> length);

  void PostAttemptEnd(uint32_t id, int attempt, uint32_t backend, policy::AttemptResult result,
                      AttemptEndCause cause);
  void OnAttemptEnd(uint32_t id, int attempt, uint32_t backend, AttemptEnd end);
  void ReportOutcome(uint32_t id, int attempt, uint32_t backend, const AttemptEnd& end);

  void Respond(uint32_t id, ClientResponse response);
  void CountResponse(const InFlightRequest& request, int status);
  void FailWithTimeout(uint32_t id);
  void ReportClientGone(uint32_t id);
  void CancelRequest(uint32_t id);
  void EraseIfFinished(uint32_t id);

  asio::io_context& io_;
  const std::shared_ptr<const Config>& config_;
  const ProcessState& process_;
  ClientServer& server_;
  BackendPool& pool_;
  PolicyDispatcher& policy_;
  TimerQueue& timers_;
  Metrics& metrics_;
  RecentRequests& recent_requests_;
  const std::function<void()> on_attempt_end_;
  const RequestLog log_;
  std::unordered_map<uint32_t, InFlightRequest> in_flight_;  // by id
  std::unordered_map<uint64_t, uint32_t> unanswered_by_connection_;
  uint32_t last_id_ = 0;
  uint32_t reporting_id_ = 0;  // the request whose outcome is being reported; 0: none
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_REQUEST_LIFECYCLE_H_
