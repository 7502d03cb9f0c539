// Client of the shared counter: RESP2 calls, pipelined on a few connections.
#ifndef LEMONCHUTE_NET_COUNTER_CLIENT_H_
#define LEMONCHUTE_NET_COUNTER_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "net/socket_io.h"
#include "net/steady_clock.h"
#include "policy/balancer.h"

namespace lemonchute::net {

/// Sends calls to the counter and reports one outcome for each: the total, or how the call failed. Must
/// outlive every handler that it has queued on `io`.
class CounterClient {
 public:
  using Done = std::function<void(policy::CounterResponse)>;

  /// @param done called once for each call, never within Call()
  CounterClient(asio::io_context& io, tcp::endpoint address, double timeout_s, double connect_timeout_s,
                Done done);
  ~CounterClient();

  /// Opens a first connection, so that the first call does not wait for it.
  void Start();
  /// Sends calls to another address from now on. Calls in flight may still be answered by the old one.
  void SetAddress(const tcp::endpoint& address);
  /// Sets the timeouts of later calls and connections.
  void SetLimits(double timeout_s, double connect_timeout_s);
  /// Adds `amount` to a counter and asks for its total.
  /// @param retention_s lifetime of the counter if this call creates it
  void Call(uint64_t counter, double amount, double retention_s);

 private:
  class Connection;
  struct PendingCall {
    uint64_t counter = 0;
    bool completed = false;  // answered or timed out; a later reply is ignored
    bool written = false;    // the counter may have added the amount
    Clock::time_point deadline{};
  };

  Connection* SelectConnection();
  void Complete(const std::shared_ptr<PendingCall>& call, policy::AttemptResult result, double total = 0);
  void ArmTimeouts();
  // Removes the connection; backs off if it failed without ever having replied.
  void OnConnectionClosed(Connection* connection, bool failed);

  asio::io_context& io_;
  tcp::endpoint address_;
  Clock::duration timeout_, connect_timeout_;
  Done done_;
  std::vector<std::shared_ptr<Connection>> connections_;
  // Ordered by deadline, since every call has the same timeout. After the timeout is shortened, earlier calls
  // delay the timeouts of later ones by at most their own remaining time.
  std::deque<std::shared_ptr<PendingCall>> timeout_queue_;
  asio::steady_timer timer_;
  bool timeout_armed_ = false;
  Clock::duration backoff_{};
  Clock::time_point connect_after_{};  // end of the backoff
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_COUNTER_CLIENT_H_
