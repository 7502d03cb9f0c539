// The connections to the backends and the attempts on them. The pool makes no decisions: it sends each
// attempt to the given backend and reports one outcome for it.
#ifndef LEMONCHUTE_NET_BACKEND_POOL_H_
#define LEMONCHUTE_NET_BACKEND_POOL_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "net/attempt.h"
#include "net/backend_connection.h"
#include "net/http.h"
#include "net/memory_budget.h"
#include "net/metrics.h"
#include "net/steady_clock.h"

namespace lemonchute::net {

/// Owns the connections: busy ones by attempt, idle ones by backend with the least recently used first. Must
/// outlive every handler that its connections have queued on `io`.
///
/// Update, Drain, Remove and SetOffline say which backends may be used; Send and Cancel handle attempts.
class BackendPool {
 public:
  using Done = BackendConnection::Done;

  /// @param idle_s the backends' own idle limit; connections are closed before it
  /// @param drain_grace_s how long a draining backend still accepts new requests
  /// @param max_connections limit on all connections, idle ones included
  /// @param metrics not owned
  /// @param memory limits what the connections buffer; must outlive the pool. None: no such limit
  BackendPool(asio::io_context& io, double idle_s, double connect_timeout_s, double drain_grace_s,
              size_t max_connections, Metrics* metrics, const MemoryBudget* memory = nullptr);
  ~BackendPool();

  /// Marks the backend as ready at `address`.
  void Update(uint32_t backend, tcp::endpoint address);
  /// Marks the backend as draining: it gets new attempts only within the grace period.
  void Drain(uint32_t backend);
  /// Removes the backend: it gets no new attempts.
  void Remove(uint32_t backend);
  /// Takes the backend out of use for an operator, or puts it back, independently of its endpoint state.
  void SetOffline(uint32_t backend, bool offline);

  /// Sends `message` on an idle connection or a new one. `done` runs exactly once, never within this call,
  /// unless Cancel ends the attempt. The limits apply until a streamed response begins; then it only has to
  /// make progress.
  /// @return the id of the attempt, for Cancel
  uint64_t Send(uint32_t backend, AttemptMessage message, AttemptLimits limits, Done done,
                AttemptStream stream);

  /// Closes the attempt's connection at once; its `done` is not called.
  /// @param may_have_run set to whether the backend may have executed the request
  /// @return false if the attempt has ended already
  bool Cancel(uint64_t attempt, bool* may_have_run);
  /// Ends the attempt as a failure of its backend if its request is not written completely. Its `done` runs
  /// within this call.
  void FailIfUnwritten(uint64_t attempt);
  /// Cancels the attempt if it is still connecting.
  /// @return whether it was cancelled
  bool CancelIfConnecting(uint64_t attempt);

  void CloseIdle();
  void SetLimits(double idle_s, double connect_timeout_s, double drain_grace_s);
  void SetMaxConnections(size_t connections) { max_connections_ = connections; }
  /// Limits the total bytes of incomplete responses that the attempts may buffer.
  void SetBufferBudget(size_t bytes) { buffer_budget_bytes_ = bytes; }
  size_t connections() const { return connections_; }

 private:
  friend class BackendConnection;
  struct Backend;

  Backend* Find(uint32_t id);
  void CloseIdleConnections(Backend* backend);
  // Removes a usable idle connection from the backend's list and returns it; null if there is none.
  std::shared_ptr<BackendConnection> TakeIdle(Backend* backend);
  // Closes the least recently used idle connection if the limit is reached. Returns false if none can be
  // closed.
  bool EnsureConnectionSlot();

  // For BackendConnection.
  // One attempt's share of the buffer budget.
  size_t MaxBufferedBytes() const {
    size_t share = buffer_budget_bytes_ / std::max<size_t>(1, in_flight_.size());
    return std::min(share, memory_ == nullptr ? kMaxBody : memory_->MaxBodyBytes());
  }
  // The most that is read at once of a response that is streamed.
  size_t MaxPieceBytes() const { return memory_ == nullptr ? kMaxPieceBytes : memory_->MaxPieceBytes(); }
  bool IsSendAllowed(uint32_t id);
  // Like IsSendAllowed, but applies the limits of the protocol without the margins for a stalled process.
  bool IsSendWithinGrace(uint32_t id, Clock::time_point now);
  // Adds the connection to its backend's idle list. Returns false if it can't serve another attempt.
  bool KeepIdle(uint32_t id, const tcp::endpoint& address, std::shared_ptr<BackendConnection> connection);
  void RemoveIdle(uint32_t id, const BackendConnection* connection);

  asio::io_context& io_;
  Clock::duration idle_timeout_, connect_timeout_, drain_grace_;
  size_t max_connections_, buffer_budget_bytes_ = 0;
  Metrics* metrics_;
  const MemoryBudget* memory_;
  // Valid within one call: bytes of one read, and the output of a parser.
  std::array<char, kMaxPieceBytes> read_buffer_, decode_buffer_;
  size_t connections_ = 0;  // idle, connecting and busy
  uint64_t last_attempt_ = 0;
  std::unordered_map<uint32_t, std::unique_ptr<Backend>> backends_;
  std::unordered_set<uint32_t> offline_;
  std::unordered_map<uint64_t, std::shared_ptr<BackendConnection>> in_flight_;  // by attempt
  std::list<BackendConnection*> idle_order_;                                    // least recently used first
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_BACKEND_POOL_H_
