// Connects the membership protocol to its socket (`peer_listen`), the clock, the log, the metrics and the
// admin endpoint.
#ifndef LEMONCHUTE_NET_MEMBERS_H_
#define LEMONCHUTE_NET_MEMBERS_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>

#include "membership/membership.h"
#include "net/admin_server.h"
#include "net/config.h"
#include "net/http.h"

namespace lemonchute::net {

/// The gateway as a member of its fleet. Only one of a gateway's processes takes part, the one that has bound
/// the address. Without the key `membership` under `extensions` nothing is bound and nothing is sent.
class Members {
 public:
  explicit Members(asio::io_context& io);

  /// Applies the configuration: on or off, the peers and the address. Never fails: if the address can't be
  /// bound, this is logged and retried.
  void ApplyConfig(const Config& config) noexcept;
  /// Leaves the fleet as planned and notifies the other members.
  /// @param to_peer_process whether the other process of this gateway is alive. If so it takes over the
  ///     address and the other members notice nothing.
  void Leave(bool to_peer_process);
  /// Returns to the fleet after Leave().
  void Return();

  /// Answers GET /control/members.
  /// @return none for another path.
  std::optional<AdminResponse> HandleAdminCall(const AdminRequest& call) const;
  /// Reports the metrics; none while membership is off.
  void AppendMetrics(const std::function<void(const std::string& name, uint64_t value)>& line) const;

 private:
  using udp = asio::ip::udp;

  void StartMembership();
  void AnnounceLeave();
  void StopMembership();
  void Bind();
  void Read();
  void Tick();
  void ArmTick();
  void Execute(membership::Actions& actions);
  void LogChange(const membership::Change& change);
  void LogView();
  int MemberAt(const udp::endpoint& endpoint) const;
  std::string RenderPage(size_t from, size_t max_members) const;
  nlohmann::json MemberToJson(size_t number, membership::Micros now) const;

  std::optional<PeerConfig> config_;
  std::unordered_map<uint64_t, uint16_t> members_by_address_;  // numbers, by address and port
  std::optional<membership::Membership> membership_;           // set while this process takes part
  udp::socket socket_;
  asio::steady_timer tick_timer_, bind_retry_timer_, view_log_timer_;
  // One byte longer than the longest datagram, to detect longer ones.
  std::array<uint8_t, membership::kMaxDatagramBytes + 1> datagram_;
  bool bind_failure_logged_ = false;
  bool handed_over_ = false, left_fleet_ = false;
  double log_budget_;  // lines that may be logged at log_budget_at_
  membership::Micros log_budget_at_ = 0;
  uint64_t unlogged_changes_ = 0;  // changes since the last one that was logged
  std::optional<uint64_t> logged_view_;
  uint64_t deaths_ = 0, receive_failures_ = 0, send_failed_ = 0;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_MEMBERS_H_
